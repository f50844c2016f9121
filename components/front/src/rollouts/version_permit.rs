//! The choice of a version for one sending of a request.

use std::sync::Arc;

use rollouts::Answer;
use timer::boot_time;
use types::{Moment, ServiceId, VersionChoice};
use view::Target;

use crate::{callers::call::Call, metrics::RolloutLabels, state::Front};

impl Front {
    /// Whether a target has warmed up, so that its times tell something of its version.
    pub fn is_warm(&self, target: &Target) -> bool {
        let now = boot_time();
        let is_cold = self.cold_targets.lock().is_cold(now, &target.id);
        !is_cold && self.rollouts.has_warmed_up(now, target)
    }

    /// Counts an answer of a target to a call that was sent at `sent_at`, or that none came in time, as
    /// evidence on the target's version.
    pub fn record_answer(&self, call: &Call, target: &Target, sent_at: Moment, failed: bool) {
        let now = boot_time();
        let is_cold = self.cold_targets.lock().is_cold(now, &target.id);
        let answer = Answer {
            failed,
            latency: Some(now.saturating_sub(sent_at)),
        };
        let route = &call.route.name;
        let Some(is_new) = self
            .rollouts
            .record_answer(now, target, is_cold, route, answer)
        else {
            return;
        };
        let labels = RolloutLabels {
            version: if is_new { "new" } else { "old" },
            outcome: if failed { "failed" } else { "answered" },
        };
        self.metrics.rollout_answers.get_or_create(&labels).inc();
    }
}

/// The versions that one sending of a request may go to. A request that was meant for a version under
/// way is given back if it was not sent there.
pub struct VersionPermit {
    front: Arc<Front>,
    service: ServiceId,
    choice: VersionChoice,
    is_exposed: bool,
}

impl VersionPermit {
    /// Chooses the versions for the next sending to a service.
    #[must_use]
    pub fn new(front: &Arc<Front>, service: &ServiceId) -> Self {
        let (choice, is_exposed) = front.rollouts.choose(boot_time(), service);
        Self {
            front: Arc::clone(front),
            service: Arc::clone(service),
            choice,
            is_exposed,
        }
    }

    /// The versions.
    #[must_use]
    pub const fn choice(&self) -> &VersionChoice {
        &self.choice
    }

    /// Chooses the other versions instead, because no target of a version under way takes the request.
    /// Returns whether that changes anything.
    pub fn avoid_new(&mut self) -> bool {
        if !std::mem::take(&mut self.is_exposed) {
            return false;
        }
        self.front.rollouts.give_back(&self.service);
        let choice = self.front.rollouts.without_new(&self.service);
        let is_other = choice != self.choice;
        self.choice = choice;
        is_other
    }

    /// Records that the request is sent now.
    pub fn use_up(mut self) {
        self.is_exposed = false;
    }
}

impl Drop for VersionPermit {
    fn drop(&mut self) {
        if self.is_exposed {
            self.front.rollouts.give_back(&self.service);
        }
    }
}
