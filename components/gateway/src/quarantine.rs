//! Detects requests that crash the targets that run them, and refuses them.

use std::{sync::Arc, time::Duration};

use ::quarantine::{Evidence, Fingerprint, TargetIncarnation};
use events::Event;
use targets::{TargetError, TargetReport};
use types::{Moment, Refusal, ServiceKind, ServingState, Target};

use crate::{gateway::Core, refusals};

/// Load reports requested from a target to find out whether it has crashed.
const CRASH_CHECKS: u32 = 8;
/// Pause between two of these checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive refused connections after which a target counts as crashed. An overloaded target
/// may refuse a single connection.
const MAX_CONSECUTIVE_REFUSALS: u32 = 2;

/// Quarantine of requests that crash targets, shared by all instances.
pub trait Quarantine: Send + Sync {
    /// Whether the request is quarantined and must not be sent.
    fn rejects(&self, fingerprint: &Fingerprint) -> bool;

    /// Records evidence that a target crashed while it ran a request.
    fn record_crash(&self, evidence: Evidence);

    /// Records that a target has answered a request completely.
    fn record_success(&self, fingerprint: &Fingerprint);
}

impl Core {
    /// Refuses a quarantined request.
    pub fn check_quarantine(&self, fingerprint: &Fingerprint) -> Result<(), Refusal> {
        if self.quarantine.rejects(fingerprint) {
            return Err(refusals::quarantined());
        }
        Ok(())
    }

    /// Checks in the background whether a target has crashed that lost a request sent at `sent_at`,
    /// and records the evidence if so.
    pub fn detect_crash(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        kind: ServiceKind,
        target: &Target,
        sent_at: Moment,
    ) {
        let listed = self.admission.find_target(&target.id);
        // A target that is leaving, or no longer listed, ended on purpose.
        if listed.is_none_or(|listed| listed.state == ServingState::Leaving) {
            return;
        }
        let (core, target) = (Arc::clone(self), target.clone());
        let lost_at = core.admission.now();
        let check = async move {
            if !core.has_crashed(kind, &target).await {
                return;
            }
            events::emit(&Event::TargetEnded {
                id: "-".into(),
                fingerprint: fingerprint.to_string().into(),
                target: Arc::clone(&target.id),
                events: 0,
            });
            let incarnation = TargetIncarnation {
                target: target.id,
                started_at: Some(target.incarnation),
            };
            core.quarantine.record_crash(Evidence {
                fingerprint,
                incarnation,
                age: core.admission.now().saturating_sub(lost_at),
                ran_for: lost_at.saturating_sub(sent_at),
            });
        };
        workers::spawn(check).detach();
    }

    /// Whether the target has a new incarnation or refuses connections.
    async fn has_crashed(&self, kind: ServiceKind, target: &Target) -> bool {
        let mut refusals = 0;
        for _ in 0..CRASH_CHECKS {
            match self.load_report(kind, target).await {
                Ok(report) => return report.incarnation != target.incarnation,
                Err(TargetError::Unsent { .. }) => refusals += 1,
                Err(_) => refusals = 0,
            }
            if refusals == MAX_CONSECUTIVE_REFUSALS {
                return true;
            }
            self.timer.sleep(CHECK_INTERVAL).await;
        }
        false
    }

    async fn load_report(
        &self,
        kind: ServiceKind,
        target: &Target,
    ) -> Result<TargetReport, TargetError> {
        match kind {
            ServiceKind::Model => self.engine.report(target).await,
            ServiceKind::Plain => self.plain.report(target).await,
        }
    }
}
