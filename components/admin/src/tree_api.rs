//! Reading and writing of single nodes of the configuration tree.

use std::sync::Arc;

use config::{Change, Config};
use events::{Event, emit};
use hyper::{
    HeaderMap, Response,
    header::{FROM, HeaderName, IF_MATCH, IF_NONE_MATCH},
};
use net::{Body, Reply};
use tree::{Node, NodePath, origins};
use types::ConfigVersion;

use crate::{
    document::not_loaded,
    message::{Accepted, EffectiveValues, WrittenNode},
    problem::{CurrentNode, Problem},
};

/// Name of an operator whose request has no `From` header.
const DEFAULT_OPERATOR_NAME: &str = "operator";
/// Maximum length of an operator's name, in characters.
const MAX_OPERATOR_NAME_LEN: usize = 100;

/// Returns the operator's name from the `From` header, truncated to the maximum length.
#[must_use]
pub fn operator_name(headers: &HeaderMap) -> Arc<str> {
    let name = headers.get(FROM).and_then(|value| value.to_str().ok());
    let name = name.map_or(DEFAULT_OPERATOR_NAME, str::trim);
    name.chars()
        .take(MAX_OPERATOR_NAME_LEN)
        .collect::<String>()
        .into()
}

/// Returns the current state of a node.
#[must_use]
pub fn current_node(config: &dyn Config, path: &str) -> CurrentNode {
    let current = config.current();
    let node = current.and_then(|current| current.snapshot.nodes.get(path).cloned());
    CurrentNode {
        version: node.as_ref().and_then(|_| config.node_version(path)),
        node,
    }
}

/// Reads a node as written.
///
/// # Errors
/// 404 if the node does not exist.
pub fn read(config: &dyn Config, path: &NodePath) -> Result<Response<Body>, Problem> {
    let now = current_node(config, path);
    let node = now.node.ok_or_else(|| no_such_node(path))?;
    let written = WrittenNode {
        path: Arc::clone(path),
        version: now.version,
        node,
    };
    Ok(with_etag(Reply::json(200, &written), now.version).done())
}

/// Reads the values in force at a path and the node that sets each.
///
/// # Errors
/// 404 if the path is not a valid one, 503 before the first configuration was found.
pub fn effective_values(config: &dyn Config, path: &NodePath) -> Result<Response<Body>, Problem> {
    let current = config.current().ok_or_else(not_loaded)?;
    let values = origins(&current.snapshot, path).ok_or_else(|| invalid_path(path))?;
    let effective = EffectiveValues {
        path: Arc::clone(path),
        version: current.snapshot.version,
        values,
    };
    Ok(Reply::json(200, &effective).done())
}

/// Writes a node, or deletes it if `node` is `None`, provided that it still has the version that
/// the operator read.
///
/// # Errors
/// 412 if the node has another version, 422 if the change is not valid, 400 or 428 if the
/// precondition is malformed or missing, 503 if the table service is unavailable, 504 if the
/// outcome is unknown.
pub async fn write(
    config: &dyn Config,
    headers: &HeaderMap,
    path: NodePath,
    node: Option<Node>,
) -> Result<Response<Body>, Problem> {
    let change = Change {
        path: Arc::clone(&path),
        node,
        expected_version: expected_version(headers)?,
        operator: operator_name(headers),
    };
    let version = commit(config, change).await?;
    let reply = Reply::json(200, &Accepted { version });
    Ok(with_etag(reply, Some(version)).done())
}

/// Commits a change and logs its outcome.
///
/// # Errors
/// As [`write()`].
pub async fn commit(config: &dyn Config, change: Change) -> Result<ConfigVersion, Problem> {
    let (path, who) = (Arc::clone(&change.path), Arc::clone(&change.operator));
    match config.change(change).await {
        Ok(version) => {
            emit(&Event::ChangeAccepted { who, path, version });
            Ok(version)
        }
        Err(error) => {
            let reason = error.to_string().into();
            let now = current_node(config, &path);
            emit(&Event::ChangeRefused { who, path, reason });
            Err(Problem::from_change_error(error, now))
        }
    }
}

/// Returns the version of the configuration in force.
#[must_use]
pub fn current_version(config: &dyn Config) -> Option<ConfigVersion> {
    config.current().map(|current| current.snapshot.version)
}

/// Reads the precondition of a change: `If-Match` with the version that the operator read, or
/// `If-None-Match: *` for a node that must not exist yet, which gives `None`.
fn expected_version(headers: &HeaderMap) -> Result<Option<ConfigVersion>, Problem> {
    let text = |name: HeaderName| headers.get(name).map(|value| value.to_str().unwrap_or(""));
    match (text(IF_MATCH), text(IF_NONE_MATCH)) {
        (Some(tag), None) => parse_etag(tag).map(Some),
        (None, Some("*")) => Ok(None),
        (None, None) => Err(Problem::new(
            428,
            "precondition-required",
            "The request must say what you saw",
            "send If-Match with the ETag of the node as you read it, or If-None-Match: * for a \
             node that must not exist yet",
        )),
        _ => Err(malformed_precondition()),
    }
}

fn parse_etag(text: &str) -> Result<ConfigVersion, Problem> {
    let digits = text
        .trim()
        .strip_prefix('"')
        .and_then(|t| t.strip_suffix('"'));
    digits
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(malformed_precondition)
}

fn malformed_precondition() -> Problem {
    Problem::new(
        400,
        "precondition",
        "The precondition can't be read",
        "send either If-Match with an ETag like \"17\", or If-None-Match: *",
    )
}

fn with_etag(reply: Reply, version: Option<ConfigVersion>) -> Reply {
    match version {
        Some(version) => reply.with_header("etag", &format!("\"{version}\"")),
        None => reply,
    }
}

fn no_such_node(path: &str) -> Problem {
    let detail = format!("nobody has written {path}");
    Problem::new(404, "not-found", "There is no such node", detail)
}

fn invalid_path(path: &str) -> Problem {
    let detail = format!(
        "{path} is none of /, /data-centres/D, /services/S, /services/S/routes/R, /workspaces/W, \
         /workspaces/W/routes/S/R"
    );
    Problem::new(404, "not-found", "No node can stand there", detail)
}
