//! Export, import and validation of the tree as a document of many nodes.

use std::sync::Arc;

use config::{Change, ChangeError, Config, Fault};
use hyper::{HeaderMap, Response};
use net::{Body, Reply};

use crate::{
    message::{Document, DocumentOutcome, ValidationResult},
    problem::{CurrentNode, Problem},
    tree_api::{commit, current_node, current_version, operator_name},
};

/// Returns the whole tree as written, without inherited values.
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

/// Writes the nodes of a document that differ from the tree, one after another, parents before
/// their children, since a node needs its parent. The whole document is checked before the first
/// write.
///
/// # Errors
/// As for a single node. The detail says how many nodes were written before; sending the same
/// document again continues from there.
pub async fn write(
    config: &dyn Config,
    headers: &HeaderMap,
    document: Document,
) -> Result<Response<Body>, Problem> {
    let faults = faults(config, &document)?;
    if !faults.is_empty() {
        let error = ChangeError::Invalid { faults };
        return Err(Problem::from_change_error(error, CurrentNode::default()));
    }
    let mut outcome = DocumentOutcome::default();
    for (path, node) in document.nodes {
        let before = current_node(config, &path);
        if before.node.as_ref() == Some(&node) {
            outcome.unchanged.push(path);
            continue;
        }
        let change = Change {
            path: Arc::clone(&path),
            node: Some(node),
            expected_version: before.version,
            operator: operator_name(headers),
        };
        commit(config, change)
            .await
            .map_err(|problem| with_progress(problem, &path, outcome.written.len()))?;
        outcome.written.push(path);
    }
    outcome.version = current_version(config).unwrap_or_default();
    Ok(Reply::json(200, &outcome).done())
}

/// Adds to a problem at which node, and after how many written nodes, the import stopped.
fn with_progress(mut problem: Problem, path: &str, written: usize) -> Problem {
    let detail = &problem.detail;
    problem.detail = format!("{path}: {detail}; {written} nodes were written before").into();
    problem
}

/// Checks whether a document would be accepted, given the current tree.
///
/// # Errors
/// 503 before the first configuration was found.
pub fn validate(config: &dyn Config, document: &Document) -> Result<Response<Body>, Problem> {
    let faults = faults(config, document)?;
    let valid = faults.is_empty();
    Ok(Reply::json(200, &ValidationResult { valid, faults }).done())
}

/// The faults that the tree would have with the nodes of the document.
fn faults(config: &dyn Config, document: &Document) -> Result<Vec<Fault>, Problem> {
    let current = config.current().ok_or_else(not_loaded)?;
    let mut after = current.snapshot.clone();
    for (path, node) in &document.nodes {
        after.nodes.insert(Arc::clone(path), node.clone());
    }
    Ok(tree::check(&after))
}

/// The problem that no configuration is in force yet.
#[must_use]
pub fn not_loaded() -> Problem {
    Problem::new(
        503,
        "not-loaded",
        "No configuration is in force yet",
        "this instance has found no configuration, neither from the table service nor from a peer",
    )
}
