//! Import and export of a tree as one document.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::api::{Node, NodePath, Snapshot};

/// A tree, or a part of one, as a document: each path with its node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The nodes by their paths.
    pub nodes: BTreeMap<NodePath, Node>,
}

/// One change needed to make a tree equal to a document.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeChange {
    /// Path of the node.
    pub path: NodePath,
    /// New content of the node; `None` deletes it.
    pub node: Option<Node>,
}

impl Document {
    /// Exports a tree.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        Self {
            nodes: snapshot.nodes.clone(),
        }
    }

    /// Returns the changes that make the tree `from` equal to this document. With `prune`, nodes
    /// that are missing from the document are deleted. Every node is written after the nodes that
    /// it depends on and deleted before them: workspaces are written last and deleted first,
    /// because their routes refer to services.
    #[must_use]
    pub fn changes_from(&self, from: &Snapshot, prune: bool) -> Vec<NodeChange> {
        let mut changes = Vec::new();
        for (path, node) in &self.nodes {
            if from.nodes.get(path) != Some(node) {
                changes.push(NodeChange {
                    path: Arc::clone(path),
                    node: Some(node.clone()),
                });
            }
        }
        if prune {
            let removed = from.nodes.keys().rev();
            changes.extend(removed.filter(|p| !self.nodes.contains_key(*p)).map(delete));
        }
        changes
    }
}

fn delete(path: &NodePath) -> NodeChange {
    NodeChange {
        path: Arc::clone(path),
        node: None,
    }
}
