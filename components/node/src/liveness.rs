//! Whether the instance that claimed an idempotency key can still be at work.

use std::{sync::Arc, time::Duration};

use claims::Liveness;
use types::{Incarnation, InstanceId};

use crate::core::Core;

/// An instance that just started has not heard everybody yet and calls nobody gone.
const SETTLED: Duration = Duration::from_secs(5);

/// Judges by membership.
pub struct Heard {
    core: Arc<Core>,
}

impl Heard {
    /// Makes it.
    #[must_use]
    pub const fn new(core: Arc<Core>) -> Self {
        Self { core }
    }
}

impl Liveness for Heard {
    fn gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.core.with_members(|members, now| {
            now >= SETTLED
                && !members.is_isolated(now)
                && !members.may_be_running(now, instance, incarnation)
        })
    }
}
