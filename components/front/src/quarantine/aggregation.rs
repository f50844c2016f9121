//! Sums up the evidence that all instances find against requests which crash targets, and sends the
//! verdicts to all instances.
//!
//! A request that is retried at another instance each time never shows enough evidence at any one
//! of them. Evidence is therefore sent to the request's aggregators, the first instances in an
//! order that depends on its fingerprint. Verdicts are sent to all instances at once; instances
//! that were not reached, or have just started, get them with the next sync.

use std::sync::Arc;

use ::quarantine::{Evidence, Fingerprint, Recipients, Verdict, VerdictKind};
use events::{Event, emit};
use timer::boot_time;
use types::{InstanceId, millis};

use crate::{
    instances::{
        notify::{NOTIFY_TIMEOUT, notify, notify_all},
        wire::{Message, Reply},
    },
    quarantine::{parts, record},
    state::Front,
};

/// Aggregators of one request. A second one is there in case the first one stops.
const AGGREGATORS: usize = 2;

impl Front {
    /// Whether a request must not be sent to any target.
    #[must_use]
    pub fn rejects(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantine.lock().rejects(boot_time(), fingerprint)
    }
}

/// Reports evidence that this instance has found.
pub fn report_evidence(front: &Arc<Front>, evidence: Evidence) {
    front.metrics.target_crashes.inc();
    for aggregator in aggregators(front, &evidence.fingerprint) {
        notify(front, aggregator, Message::TargetCrashed(evidence.clone()));
    }
    apply_evidence(front, evidence);
}

/// Applies evidence; sends the verdict to all instances if there is one.
pub fn apply_evidence(front: &Arc<Front>, evidence: Evidence) {
    let verdict = front.quarantine.lock().record_crash(boot_time(), evidence);
    let Some(verdict) = verdict else {
        return;
    };
    log(&verdict);
    notify_all(front, &Message::Verdicts(vec![verdict]));
    if verdict.kind == VerdictKind::Rejected && is_first_aggregator(front, &verdict.fingerprint) {
        record::persist(front, &verdict);
    }
}

/// Reports that a target has completed a request.
pub fn report_success(front: &Arc<Front>, fingerprint: &Fingerprint) {
    let clearance = front
        .quarantine
        .lock()
        .record_success(boot_time(), fingerprint);
    match clearance {
        None => {}
        Some((verdict, Recipients::Aggregators)) => {
            for aggregator in aggregators(front, fingerprint) {
                notify(front, aggregator, Message::Verdicts(vec![verdict]));
            }
        }
        Some((verdict, Recipients::All)) => {
            log(&verdict);
            notify_all(front, &Message::Verdicts(vec![verdict]));
            record::persist(front, &verdict);
        }
    }
}

/// Applies the verdicts of another instance.
pub fn apply_verdicts(front: &Front, verdicts: &[Verdict]) {
    let now = boot_time();
    for verdict in verdicts {
        if front.quarantine.lock().apply(now, verdict) {
            log(verdict);
        }
    }
}

/// A digest of the verdicts on requests and on parts of prompts. Instances with equal digests need not
/// exchange verdicts.
#[must_use]
pub fn digest(front: &Front) -> u64 {
    let now = boot_time();
    let of_requests = front.quarantine.lock().digest(now);
    of_requests ^ front.part_quarantine.lock().digest(now)
}

/// The verdicts on requests to send to an instance whose state has this digest: none if it is the same as here.
#[must_use]
pub fn verdicts_unless_known(front: &Front, digest: u64) -> Vec<Verdict> {
    if self::digest(front) == digest {
        return Vec::new();
    }
    front.quarantine.lock().verdicts(boot_time())
}

/// Exchanges verdicts with the owner that has answered a sync: applies those that it has sent, and
/// sends it the local ones if its state differs.
pub async fn reconcile(front: &Front, owner: &InstanceId, reply: Option<&Reply>) {
    let Some(Reply::Members {
        verdicts,
        quarantine_digest,
        ..
    }) = reply
    else {
        return;
    };
    apply_verdicts(front, verdicts);
    if digest(front) != *quarantine_digest {
        parts::exchange(front, owner).await;
    }
    let local = verdicts_unless_known(front, *quarantine_digest);
    if !local.is_empty() {
        // If this is lost, the next sync makes up for it.
        let _ = front
            .peers
            .call(owner, &Message::Verdicts(local), NOTIFY_TIMEOUT)
            .await;
    }
}

/// Whether this instance is the first aggregator of a request.
#[must_use]
pub fn is_first_aggregator(front: &Front, fingerprint: &Fingerprint) -> bool {
    let order = front.peers.owners(&fingerprint.to_string());
    order.first() == Some(&front.cfg.instance)
}

/// The aggregators of a request without this instance.
fn aggregators(front: &Front, fingerprint: &Fingerprint) -> Vec<InstanceId> {
    let mut aggregators = front.peers.owners(&fingerprint.to_string());
    aggregators.truncate(AGGREGATORS);
    aggregators.retain(|id| *id != front.cfg.instance);
    aggregators
}

fn log(verdict: &Verdict) {
    let fingerprint = verdict.fingerprint.to_string().into();
    match verdict.kind {
        VerdictKind::Suspected => {}
        VerdictKind::Rejected => emit(&Event::RequestsQuarantined {
            fingerprint,
            for_ms: millis(verdict.remaining),
        }),
        VerdictKind::Cleared => emit(&Event::QuarantineLifted { fingerprint }),
    }
}
