//! Changes of single nodes, applied to a snapshot in the order of their versions.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use types::ConfigVersion;

use crate::api::{Node, NodePath, Snapshot};

/// One accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// The version that the change creates.
    pub version: ConfigVersion,
    /// Path of the node.
    pub path: NodePath,
    /// New content of the node; `None` deletes it.
    pub node: Option<Node>,
}

/// Why a change can't be applied to a snapshot.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum DeltaError {
    /// The snapshot already contains the change.
    #[display("version {version} is not newer than {have}")]
    Old {
        /// Version of the change.
        version: ConfigVersion,
        /// Version of the snapshot.
        have: ConfigVersion,
    },
    /// Changes between the two versions are missing.
    #[display("changes are missing between version {have} and {version}")]
    Gap {
        /// Version of the change.
        version: ConfigVersion,
        /// Version of the snapshot.
        have: ConfigVersion,
    },
}

impl Snapshot {
    /// Applies the next change.
    ///
    /// # Errors
    /// If the change is not the next one; the snapshot is not modified then.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        let (version, have) = (delta.version, self.version);
        if version <= have {
            return Err(DeltaError::Old { version, have });
        }
        if version != have.saturating_add(1) {
            return Err(DeltaError::Gap { version, have });
        }
        self.write(&delta.path, delta.node.as_ref());
        self.version = version;
        Ok(())
    }

    /// Sets or deletes a node without changing the version.
    pub fn write(&mut self, path: &NodePath, node: Option<&Node>) {
        match node {
            Some(node) => self.nodes.insert(path.clone(), node.clone()),
            None => self.nodes.remove(path),
        };
    }
}
