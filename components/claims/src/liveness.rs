//! What claims need to know about other instances.

use types::{Incarnation, InstanceId};

/// Knowledge about the incarnations of instances.
pub trait Liveness: Send + Sync {
    /// Whether this incarnation of the instance has certainly ended; `false` if that is uncertain.
    /// Retries of a call whose claimant has ended get the outcome `unknown`; as long as it is
    /// uncertain, they wait.
    fn has_ended(&self, instance: &InstanceId, incarnation: Incarnation) -> bool;
}
