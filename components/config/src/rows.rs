//! The rows that keep the configuration in the table service.
//!
//! | partition | sort | content |
//! |---|---|---|
//! | `config` | `head` | newest version and the id of the change that made it |
//! | `config/change` | version, 20 digits | the accepted change |
//! | `config/node` | path | the node as written, and the version that wrote it |
//!
//! A change is one commit over all three: the head must have the version that the change builds
//! on, so of two racing changes one wins, and whoever reads the head knows that the other rows
//! of that version are there.

use std::sync::Arc;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use stores::{PlatformError, Row, RowKey};
use tree::{Node, NodePath};
use types::ConfigVersion;

/// Partition of the head.
const HEAD: &str = "config";
/// Partition of accepted changes.
pub const CHANGES: &str = "config/change";
/// Partition of nodes.
pub const NODES: &str = "config/node";

/// The newest version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The version.
    pub version: ConfigVersion,
    /// The change that made it.
    pub id: Arc<str>,
}

/// A node as kept.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredNode {
    /// The node as written.
    pub node: Node,
    /// The version that wrote it.
    pub changed: ConfigVersion,
}

/// Key of the head.
#[must_use]
pub fn head_key() -> RowKey {
    RowKey::new(HEAD, "head")
}

/// Key of a change.
#[must_use]
pub fn change_key(version: ConfigVersion) -> RowKey {
    RowKey::new(CHANGES, &change_sort(version))
}

/// Place of a change among all changes.
#[must_use]
pub fn change_sort(version: ConfigVersion) -> String {
    format!("{version:020}")
}

/// Key of a node.
#[must_use]
pub fn node_key(path: &NodePath) -> RowKey {
    RowKey::new(NODES, path)
}

/// Reads the content of a row.
///
/// # Errors
/// Tells that the content is not of this form.
pub fn read_body<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_str(&row.body).map_err(|e| PlatformError::Malformed {
        reason: format!("row {}: {e}", row.key).into(),
    })
}

/// Writes the content of a row.
///
/// # Errors
/// Tells that the content can't be written.
pub fn body(content: &impl Serialize) -> Result<Arc<str>, PlatformError> {
    serde_json::to_string(content)
        .map(Into::into)
        .map_err(|e| PlatformError::Malformed {
            reason: e.to_string().into(),
        })
}
