//! Determines whether an instance that claimed an idempotency key may still be running the call.

use std::{sync::Arc, time::Duration};

use claims::Liveness;
use types::{Incarnation, InstanceId};

use crate::core::Core;

/// Grace period after the start in which no instance counts as gone, because heartbeats of some
/// may not have arrived yet.
const STARTUP_GRACE: Duration = Duration::from_secs(5);

/// Liveness of instances according to membership.
pub struct MemberLiveness {
    core: Arc<Core>,
}

impl MemberLiveness {
    /// Creates the liveness check.
    #[must_use]
    pub const fn new(core: Arc<Core>) -> Self {
        Self { core }
    }
}

impl Liveness for MemberLiveness {
    fn has_ended(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.core.with_members(|members, now| {
            now >= STARTUP_GRACE
                && !members.is_isolated(now)
                && !members.may_be_running(now, instance, incarnation)
        })
    }
}
