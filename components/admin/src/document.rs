//! Documents of many nodes: import, export, validation.

use std::sync::Arc;

use config::{Change, Config, Fault};
use hyper::{HeaderMap, Response};
use net::{Body, Reply};
use tree::{Node, NodePath};

use crate::{
    message::{Document, DocumentOutcome, Verdict},
    problem::Problem,
    tree_api::{current_version, now, who},
};

/// The whole tree as written.
///
/// # Errors
/// 503 before the first configuration was found.
pub fn read(config: &dyn Config) -> Result<Response<Body>, Problem> {
    let current = config.current().ok_or_else(not_loaded)?;
    let document = Document {
        version: Some(current.snapshot.version),
        nodes: current.snapshot.nodes.clone(),
    };
    let etag = format!("\"{}\"", current.snapshot.version);
    Ok(Reply::json(200, &document)
        .with_header("etag", &etag)
        .done())
}

/// Writes the nodes of a document that differ from the tree, one after another: upper ones first,
/// since a node must not come before the one that it stands below.
///
/// # Errors
/// As for a single node. The detail tells how many nodes had been written by then; sending the
/// same document again goes on from there.
pub async fn write(
    config: &dyn Config,
    headers: &HeaderMap,
    document: Document,
) -> Result<Response<Body>, Problem> {
    let mut outcome = DocumentOutcome::default();
    for (path, node) in document.nodes {
        let before = now(config, &path);
        if before.node.as_ref() == Some(&node) {
            outcome.unchanged.push(path);
            continue;
        }
        let change = Change {
            path: Arc::clone(&path),
            node: Some(node),
            seen: before.version,
            who: who(headers),
        };
        match config.change(change).await {
            Ok(_) => outcome.written.push(path),
            Err(error) => {
                let mut problem = Problem::of_change(error, now(config, &path));
                let count = outcome.written.len();
                let detail = &problem.detail;
                problem.detail =
                    format!("{path}: {detail}; {count} nodes were written before").into();
                return Err(problem);
            }
        }
    }
    outcome.version = current_version(config).unwrap_or_default();
    Ok(Reply::json(200, &outcome).done())
}

/// Tells whether the nodes of a document would be accepted, each by itself.
#[must_use]
pub fn validate(config: &dyn Config, document: Document) -> Response<Body> {
    let faults: Vec<Fault> = document
        .nodes
        .into_iter()
        .flat_map(|(path, node)| faults_of(config, path, node))
        .collect();
    let valid = faults.is_empty();
    Reply::json(200, &Verdict { valid, faults }).done()
}

fn faults_of(config: &dyn Config, path: NodePath, node: Node) -> Vec<Fault> {
    let change = Change {
        seen: now(config, &path).version,
        path,
        node: Some(node),
        who: "".into(),
    };
    config.check(&change).err().unwrap_or_default()
}

/// Tells that no configuration is in force yet.
#[must_use]
pub fn not_loaded() -> Problem {
    Problem::new(
        503,
        "not-loaded",
        "No configuration is in force yet",
        "this instance has found no configuration, neither from the table service nor from a peer",
    )
}
