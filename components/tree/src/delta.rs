//! Changes of one node, put into a snapshot in the order of their versions.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use types::ConfigVersion;

use crate::api::{Node, NodePath, Snapshot};

/// One accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// The version that it makes.
    pub version: ConfigVersion,
    /// The node.
    pub path: NodePath,
    /// Its new content; `None` deletes it.
    pub node: Option<Node>,
}

/// Why a change can't be put into a snapshot.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum DeltaError {
    /// The snapshot has it already.
    #[display("version {version} is not newer than {have}")]
    Old {
        /// Version of the change.
        version: ConfigVersion,
        /// Version of the snapshot.
        have: ConfigVersion,
    },
    /// Changes between the two are missing.
    #[display("changes are missing between version {have} and {version}")]
    Gap {
        /// Version of the change.
        version: ConfigVersion,
        /// Version of the snapshot.
        have: ConfigVersion,
    },
}

impl Snapshot {
    /// Puts the next change in.
    ///
    /// # Errors
    /// Tells that the change is not the next one; the snapshot stays as it was.
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

    /// Writes or deletes a node and leaves the version as it is.
    pub fn write(&mut self, path: &NodePath, node: Option<&Node>) {
        match node {
            Some(node) => self.nodes.insert(path.clone(), node.clone()),
            None => self.nodes.remove(path),
        };
    }
}
