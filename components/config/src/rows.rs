//! The rows that store the configuration in the table service.
//!
//! | partition | sort | content |
//! |---|---|---|
//! | `config` | `head` | newest version and the id of the change that made it |
//! | `config/change` | version, 20 digits | the accepted change |
//! | `config/node` | path | the node and the version that last wrote it |
//!
//! A change is one commit over all three. It requires the head to have the version that the change
//! builds on, so one of two racing changes wins, and a reader of the head can rely on the other
//! rows of that version.

use std::sync::Arc;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use stores::{PlatformError, Row, RowKey};
use tree::{Node, NodePath};
use types::ConfigVersion;

/// Partition of the head.
const HEAD_PARTITION: &str = "config";
/// Partition of accepted changes.
pub const CHANGE_PARTITION: &str = "config/change";
/// Partition of nodes.
pub const NODE_PARTITION: &str = "config/node";

/// The newest accepted version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// Number of the version.
    pub version: ConfigVersion,
    /// Id of the change that created the version.
    pub id: Arc<str>,
}

/// A node as stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredNode {
    /// The node.
    pub node: Node,
    /// The version that last wrote the node.
    #[serde(rename = "changed")]
    pub version: ConfigVersion,
}

/// Key of the head.
#[must_use]
pub fn head_key() -> RowKey {
    RowKey::new(HEAD_PARTITION, "head")
}

/// Key of a change.
#[must_use]
pub fn change_key(version: ConfigVersion) -> RowKey {
    RowKey::new(CHANGE_PARTITION, &change_sort_key(version))
}

/// Sort key of a change; the keys sort in the order of versions.
#[must_use]
pub fn change_sort_key(version: ConfigVersion) -> String {
    format!("{version:020}")
}

/// Key of a node.
#[must_use]
pub fn node_key(path: &NodePath) -> RowKey {
    RowKey::new(NODE_PARTITION, path)
}

/// Parses the content of a row.
///
/// # Errors
/// `Malformed` if the content doesn't have this form.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_str(&row.body).map_err(|e| PlatformError::Malformed {
        reason: format!("row {}: {e}", row.key).into(),
    })
}

/// Serialises the content of a row.
///
/// # Errors
/// `Malformed` if the content can't be serialised.
pub fn encode(content: &impl Serialize) -> Result<Arc<str>, PlatformError> {
    serde_json::to_string(content)
        .map(Into::into)
        .map_err(|e| PlatformError::Malformed {
            reason: e.to_string().into(),
        })
}
