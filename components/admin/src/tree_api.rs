//! Reading and changing single nodes of the configuration tree.

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
    message::{Accepted, InForceValues, Written},
    problem::{Now, Problem},
};

/// Who made a change, if the operator does not say.
const NAMELESS: &str = "operator";
/// Longest name of an operator.
const WHO_LIMIT: usize = 100;

/// Who makes a change, by the `From` header.
#[must_use]
pub fn who(headers: &HeaderMap) -> Arc<str> {
    let name = headers.get(FROM).and_then(|value| value.to_str().ok());
    let name = name.map_or(NAMELESS, str::trim);
    name.chars().take(WHO_LIMIT).collect::<String>().into()
}

/// What a node is at present.
#[must_use]
pub fn now(config: &dyn Config, path: &str) -> Now {
    let current = config.current();
    let node = current.and_then(|current| current.snapshot.nodes.get(path).cloned());
    Now {
        version: node.as_ref().and_then(|_| config.node_version(path)),
        node,
    }
}

/// Reads a node as written.
///
/// # Errors
/// 404 if nobody has written it.
pub fn read(config: &dyn Config, path: &NodePath) -> Result<Response<Body>, Problem> {
    let now = now(config, path);
    let node = now.node.ok_or_else(|| unwritten(path))?;
    let written = Written {
        path: Arc::clone(path),
        version: now.version,
        node,
    };
    Ok(with_etag(Reply::json(200, &written), now.version).done())
}

/// Reads the values in force at a path and where each comes from.
///
/// # Errors
/// 404 if no node can stand there, 503 before the first configuration was found.
pub fn in_force(config: &dyn Config, path: &NodePath) -> Result<Response<Body>, Problem> {
    let current = config.current().ok_or_else(not_loaded)?;
    let values = origins(&current.snapshot, path).ok_or_else(|| no_place(path))?;
    let in_force = InForceValues {
        path: Arc::clone(path),
        version: current.snapshot.version,
        values,
    };
    Ok(Reply::json(200, &in_force).done())
}

/// Writes or deletes a node if it is as the operator saw it.
///
/// # Errors
/// 412 if somebody else changed it, 422 if the change is not valid, 428 if the request does not
/// say what the operator saw, 503 if the table service is down, 504 if the outcome is unknown.
pub async fn write(
    config: &dyn Config,
    headers: &HeaderMap,
    path: NodePath,
    node: Option<Node>,
) -> Result<Response<Body>, Problem> {
    let change = Change {
        path: Arc::clone(&path),
        node,
        expected_version: seen(headers)?,
        operator: who(headers),
    };
    let version = commit(config, change).await?;
    let reply = Reply::json(200, &Accepted { version });
    Ok(with_etag(reply, Some(version)).done())
}

/// Commits a change and logs what became of it.
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
            let now = now(config, &path);
            emit(&Event::ChangeRefused { who, path, reason });
            Err(Problem::of_change(error, now))
        }
    }
}

/// The version of the configuration in force.
#[must_use]
pub fn current_version(config: &dyn Config) -> Option<ConfigVersion> {
    config.current().map(|current| current.snapshot.version)
}

/// Reads the preconditions: `If-Match` with the version that the operator saw, or
/// `If-None-Match: *` for a node that must not exist yet.
fn seen(headers: &HeaderMap) -> Result<Option<ConfigVersion>, Problem> {
    let text = |name: HeaderName| headers.get(name).map(|value| value.to_str().unwrap_or(""));
    match (text(IF_MATCH), text(IF_NONE_MATCH)) {
        (Some(tag), None) => read_etag(tag).map(Some),
        (None, Some("*")) => Ok(None),
        (None, None) => Err(Problem::new(
            428,
            "precondition-required",
            "The request must say what you saw",
            "send If-Match with the ETag of the node as you read it, or If-None-Match: * for a \
             node that must not exist yet",
        )),
        _ => Err(bad_precondition()),
    }
}

fn read_etag(text: &str) -> Result<ConfigVersion, Problem> {
    let digits = text
        .trim()
        .strip_prefix('"')
        .and_then(|t| t.strip_suffix('"'));
    digits
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(bad_precondition)
}

fn bad_precondition() -> Problem {
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

fn unwritten(path: &str) -> Problem {
    let detail = format!("nobody has written {path}");
    Problem::new(404, "not-found", "There is no such node", detail)
}

fn no_place(path: &str) -> Problem {
    let detail = format!(
        "{path} is none of /, /data-centres/D, /services/S, /services/S/routes/R, /workspaces/W, \
         /workspaces/W/routes/S/R"
    );
    Problem::new(404, "not-found", "No node can stand there", detail)
}
