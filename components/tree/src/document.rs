//! Many nodes in one file, to bring a tree in or take it out.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::api::{Node, NodePath, Snapshot};

/// A tree, or a part of one, as a document: each path with its node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The nodes as written.
    pub nodes: BTreeMap<NodePath, Node>,
}

/// One change on the way from a tree to a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The node.
    pub path: NodePath,
    /// Its new content; `None` deletes it.
    pub node: Option<Node>,
}

impl Document {
    /// A whole tree as a document.
    #[must_use]
    pub fn new(snapshot: &Snapshot) -> Self {
        Self {
            nodes: snapshot.nodes.clone(),
        }
    }

    /// The changes that bring a tree to this document; with `prune`, nodes that the document
    /// leaves out are deleted. Each node comes after those it needs: written from the top down,
    /// deleted from the bottom up, and workspaces last to be written and first to be deleted,
    /// since their routes name services.
    #[must_use]
    pub fn steps(&self, from: &Snapshot, prune: bool) -> Vec<Step> {
        let mut steps = Vec::new();
        for (path, node) in &self.nodes {
            if from.nodes.get(path) != Some(node) {
                steps.push(Step {
                    path: Arc::clone(path),
                    node: Some(node.clone()),
                });
            }
        }
        if prune {
            let gone = from.nodes.keys().rev();
            steps.extend(gone.filter(|p| !self.nodes.contains_key(*p)).map(delete));
        }
        steps
    }
}

fn delete(path: &NodePath) -> Step {
    Step {
        path: Arc::clone(path),
        node: None,
    }
}
