//! Evidence that is stored, so that it survives the loss of all instances.

use serde::{Deserialize, Serialize};
use types::{StoreVersion, VersionId};

use crate::evidence::Evidence;

/// The evidence of all instances at some moment of a rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoint {
    /// The version that is rolled out.
    pub to: VersionId,
    /// Revision of the order.
    pub order: StoreVersion,
    /// When it was made, in Unix milliseconds.
    pub at_ms: u64,
    /// The evidence.
    pub evidence: Evidence,
}
