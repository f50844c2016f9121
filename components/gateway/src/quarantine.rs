//! Detects requests that crash the targets that run them, and refuses them.

use std::{sync::Arc, time::Duration};

use ::quarantine::{Assessment, Evidence, Fingerprint, PartEvidence, TargetIncarnation};
use async_channel::{Receiver, bounded};
use events::Event;
use futures_lite::future;
use reach::Absence;
use targets::{TargetError, TargetReport};
use types::{Moment, Refusal, ServiceId, ServiceKind, ServingState, Target};

use crate::{gateway::Core, prompt_parts::SharedParts, refusals};

/// Load reports requested from a target to find out whether it has crashed.
const CRASH_CHECKS: u32 = 8;
/// Pause between two of these checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs of one request that may be lost before its crash checks are awaited: a single loss is mostly
/// a network fault, and the retry must not wait for the check.
const UNCHECKED_LOSSES: usize = 1;

/// Checks whether targets have crashed that lost the runs of one request.
#[derive(Debug, Default)]
pub struct CrashChecks {
    /// One for each lost run; closed when its check has ended.
    pending: Vec<Receiver<()>>,
    /// The targets of the lost runs.
    targets: Vec<TargetIncarnation>,
}

impl CrashChecks {
    async fn settle(&self) {
        if self.pending.len() <= UNCHECKED_LOSSES {
            return;
        }
        for check in &self.pending {
            // Nothing is ever sent: `recv` fails once the check has ended.
            let _ = check.recv().await;
        }
    }
}

/// Whether a load report shows that an incarnation of a target has ended, `since_failure` after the
/// target last failed; none if the report doesn't tell. Reports lag, so that one which arrives after
/// a restart may still describe the incarnation that crashed.
#[must_use]
pub fn shows_crash(
    report: &TargetReport,
    incarnation: u64,
    since_failure: Duration,
) -> Option<bool> {
    if report.incarnation != incarnation {
        return Some(true);
    }
    (report.age < since_failure).then_some(false)
}

/// A run that was lost with the connection to its target.
pub struct LostRun {
    /// Identifies the request across retries.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that have not proved sound.
    pub shared_parts: SharedParts,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// When the request was sent.
    pub sent_at: Moment,
}

/// Quarantine of requests that crash targets, shared by all instances.
pub trait Quarantine: Send + Sync {
    /// Whether the request is quarantined and must not be sent.
    fn rejects(&self, fingerprint: &Fingerprint) -> bool;

    /// Records evidence that a target crashed while it ran a request.
    fn record_crash(&self, evidence: Evidence);

    /// Records that a target has answered a request completely.
    fn record_success(&self, fingerprint: &Fingerprint);

    /// Whether a request whose prompt has these shared parts may be sent.
    fn assess_parts(&self, parts: &[Fingerprint]) -> Assessment;

    /// Whether a request to a service may be sent as a probe now. The right to it may arrive only some
    /// time after it was requested.
    fn try_probe(&self, service: &ServiceId) -> bool;

    /// Records evidence that a target crashed while it ran a request whose prompt had not proved sound.
    fn record_part_crash(&self, evidence: &PartEvidence);

    /// Records that a run whose answer began `age` ago has proved its prompt sound.
    fn record_sound_parts(&self, parts: &[Fingerprint], age: Duration);
}

impl Core {
    /// Refuses a quarantined request.
    pub fn check_quarantine(&self, fingerprint: &Fingerprint) -> Result<(), Refusal> {
        if self.quarantine.rejects(fingerprint) {
            return Err(refusals::quarantined());
        }
        Ok(())
    }

    /// Waits for a request's crash checks if several of its runs were lost, at most until its
    /// deadline. Otherwise it could crash every target of a service before the first crash is known.
    pub async fn settle_crash_checks(&self, checks: &CrashChecks, deadline: Moment) {
        let timeout = self.timer.sleep(self.time_left(deadline));
        future::or(checks.settle(), timeout).await;
    }

    /// Checks in the background whether a target has crashed that lost a run of a request, after the
    /// runs in `checks` were lost; adds the check to those.
    pub fn detect_crash_again(
        self: &Arc<Self>,
        checks: &mut CrashChecks,
        run: LostRun,
        target: &Target,
    ) {
        let earlier = checks.targets.clone();
        let check = self.detect_crash(run, target, earlier);
        checks.pending.push(check);
        checks.targets.push(incarnation(target));
    }

    /// Checks in the background whether a target has crashed that lost a run, and records the evidence if
    /// so. `earlier` are the targets that lost earlier runs of the same
    /// attempt. The returned channel is closed when the check has ended.
    pub fn detect_crash(
        self: &Arc<Self>,
        run: LostRun,
        target: &Target,
        earlier: Vec<TargetIncarnation>,
    ) -> Receiver<()> {
        let (running, done) = bounded(1);
        let listed = self.admission.find_target(&target.id);
        // A target that is leaving, or no longer listed, ended on purpose.
        if listed.is_none_or(|listed| listed.state == ServingState::Leaving) {
            return done;
        }
        let (core, target) = (Arc::clone(self), target.clone());
        let lost_at = core.admission.now();
        let check = async move {
            let _running = running;
            if !core.has_crashed(run.kind, &target, lost_at).await {
                return;
            }
            events::emit(&Event::TargetEnded {
                id: "-".into(),
                fingerprint: run.fingerprint.to_string().into(),
                parts: run.shared_parts.names(),
                target: Arc::clone(&target.id),
                events: 0,
            });
            let age = core.admission.now().saturating_sub(lost_at);
            let ran_for = lost_at.saturating_sub(run.sent_at);
            core.quarantine.record_part_crash(&PartEvidence {
                service: target.service.clone(),
                parts: run.shared_parts.to_vec(),
                incarnation: incarnation(&target),
                age,
                ran_for,
                request: Some(run.fingerprint),
            });
            core.quarantine.record_crash(Evidence {
                fingerprint: run.fingerprint,
                incarnation: incarnation(&target),
                age,
                ran_for,
                earlier,
            });
        };
        workers::spawn(check).detach();
        done
    }

    /// Whether the target has a new incarnation or refuses connections after it lost a run at
    /// `lost_at`.
    async fn has_crashed(&self, kind: ServiceKind, target: &Target, lost_at: Moment) -> bool {
        let mut absence = Absence::default();
        // A report made before the last failure may describe the incarnation that has ended.
        let mut failed_at = lost_at;
        for _ in 0..CRASH_CHECKS {
            match self.load_report(kind, target).await {
                Ok(report) => {
                    let since_failure = self.admission.now().saturating_sub(failed_at);
                    if let Some(crashed) = shows_crash(&report, target.incarnation, since_failure) {
                        return crashed;
                    }
                    absence.record_contact();
                }
                Err(e) => {
                    failed_at = self.admission.now();
                    match e {
                        TargetError::Unsent { .. } => absence.record_no_connection(failed_at),
                        _ => absence.record_contact(),
                    }
                }
            }
            if absence.shows_end(self.admission.now()) && self.reaches_another(kind, target).await {
                return true;
            }
            self.timer.sleep(CHECK_INTERVAL).await;
        }
        false
    }

    /// Whether another target of the service answers. If none does, this instance's own network may be
    /// the reason why the first one refuses connections.
    async fn reaches_another(&self, kind: ServiceKind, target: &Target) -> bool {
        match self.admission.another_target(target) {
            Some(another) => self.load_report(kind, &another).await.is_ok(),
            None => true,
        }
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

fn incarnation(target: &Target) -> TargetIncarnation {
    TargetIncarnation {
        target: Arc::clone(&target.id),
        started_at: Some(target.incarnation),
    }
}
