//! Requests that crash the targets that run them.

use std::{sync::Arc, time::Duration};

use ::quarantine::{Evidence, Fingerprint, TargetIncarnation};
use events::Event;
use targets::{Report, TargetError};
use types::{Moment, Refusal, ServiceKind, Standing, Target};

use crate::{gateway::Core, refusals};

/// Times that a target is asked whether it has ended, and the pause between two.
const ASKED: u32 = 8;
const PAUSE: Duration = Duration::from_millis(250);
/// Refused connections in a row after which it has. One that is crowded refuses a single one.
const REFUSALS: u32 = 2;

/// What all instances know of requests that crash targets.
pub trait Quarantine: Send + Sync {
    /// Whether a request must not be sent.
    fn rejects(&self, fingerprint: &Fingerprint) -> bool;

    /// Takes evidence that a target ended while it ran a request.
    fn record_crash(&self, evidence: Evidence);

    /// Notes that a target has served a request whole.
    fn record_success(&self, fingerprint: &Fingerprint);
}

impl Core {
    /// Refuses a request that crashes targets.
    pub fn check(&self, fingerprint: &Fingerprint) -> Result<(), Refusal> {
        if self.quarantine.rejects(fingerprint) {
            return Err(refusals::quarantined());
        }
        Ok(())
    }

    /// Looks into whether a target has ended that lost a request which it ran since `sent`. Keeps
    /// nobody waiting.
    pub fn look_into(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        kind: ServiceKind,
        target: &Target,
        sent: Moment,
    ) {
        let listed = self.admission.find_target(&target.id);
        // One that was about to leave has left.
        if listed.is_none_or(|listed| listed.standing == Standing::Leaving) {
            return;
        }
        let (core, target) = (Arc::clone(self), target.clone());
        let lost = core.admission.now();
        let look = async move {
            if !core.has_ended(kind, &target).await {
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
                age: core.admission.now().saturating_sub(lost),
                ran_for: lost.saturating_sub(sent),
            });
        };
        workers::spawn(look).detach();
    }

    async fn has_ended(&self, kind: ServiceKind, target: &Target) -> bool {
        let mut refusals = 0;
        for _ in 0..ASKED {
            match self.report(kind, target).await {
                Ok(report) => return report.incarnation != target.incarnation,
                Err(TargetError::Unsent { .. }) => refusals += 1,
                Err(_) => refusals = 0,
            }
            if refusals == REFUSALS {
                return true;
            }
            self.timer.sleep(PAUSE).await;
        }
        false
    }

    async fn report(&self, kind: ServiceKind, target: &Target) -> Result<Report, TargetError> {
        match kind {
            ServiceKind::Model => self.engine.report(target).await,
            ServiceKind::Plain => self.plain.report(target).await,
        }
    }
}
