//! What claims need to know of other instances.

use types::{Incarnation, InstanceId};

/// Tells of the lives of instances.
pub trait Liveness: Send + Sync {
    /// Whether this life of the instance has ended for certain; `false` in doubt. A repeat whose
    /// claimant is gone is told `unknown`; while in doubt it waits.
    fn has_ended(&self, instance: &InstanceId, incarnation: Incarnation) -> bool;
}
