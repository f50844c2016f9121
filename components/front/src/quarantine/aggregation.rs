//! Sums up what all instances see of requests that crash targets, and tells all what comes of it.
//!
//! No instance alone sees enough of a request that comes to another one each time. So evidence goes to
//! the request's keepers, the first in an order by its fingerprint. Verdict of what they find goes to each
//! instance at once, and with the syncs to those that were not reached or have just started.

use std::sync::Arc;

use ::quarantine::{Evidence, Fingerprint, Recipients, Verdict, VerdictKind};
use events::{Event, emit};
use timer::boot_time;
use types::InstanceId;

use crate::{
    callers::refusal::millis,
    instances::{
        notify::{NOTIFY_TIMEOUT, notify, notify_all},
        wire::{Message, Reply},
    },
    quarantine::record,
    state::Front,
};

/// Instances that sum up the evidence against one request: another one, should the first end.
const KEEPERS: usize = 2;

impl Front {
    /// Whether a request must not be sent to any target.
    #[must_use]
    pub fn rejects(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantine.lock().rejects(boot_time(), fingerprint)
    }
}

/// Takes evidence in that this instance has found.
pub fn found(front: &Arc<Front>, evidence: Evidence) {
    front.metrics.target_crashes.inc();
    for keeper in keepers(front, &evidence.fingerprint) {
        notify(front, keeper, Message::TargetCrashed(evidence.clone()));
    }
    take(front, evidence);
}

/// Takes evidence in; tells all instances what comes of it.
pub fn take(front: &Arc<Front>, evidence: Evidence) {
    let verdict = front.quarantine.lock().record_crash(boot_time(), evidence);
    let Some(verdict) = verdict else {
        return;
    };
    log(&verdict);
    notify_all(front, &Message::Verdicts(vec![verdict]));
    if verdict.kind == VerdictKind::Rejected && is_first_keeper(front, &verdict.fingerprint) {
        record::keep(front, &verdict);
    }
}

/// Notes that a target has served a request whole.
pub fn served(front: &Arc<Front>, fingerprint: &Fingerprint) {
    let served = front
        .quarantine
        .lock()
        .record_success(boot_time(), fingerprint);
    match served {
        None => {}
        Some((verdict, Recipients::Aggregators)) => {
            for keeper in keepers(front, fingerprint) {
                notify(front, keeper, Message::Verdicts(vec![verdict]));
            }
        }
        Some((verdict, Recipients::All)) => {
            log(&verdict);
            notify_all(front, &Message::Verdicts(vec![verdict]));
            record::keep(front, &verdict);
        }
    }
}

/// Takes another instance's words.
pub fn learn(front: &Front, words: &[Verdict]) {
    let now = boot_time();
    for verdict in words {
        if front.quarantine.lock().apply(now, verdict) {
            log(verdict);
        }
    }
}

/// What an instance is told that knows what `mark` stands for.
#[must_use]
pub fn words_beside(front: &Front, mark: u64) -> Vec<Verdict> {
    let now = boot_time();
    let state = front.quarantine.lock();
    if state.digest(now) == mark {
        return Vec::new();
    }
    state.verdicts(now)
}

/// Learns what the owner that took a sync knows, and tells it what it does not know.
pub async fn reconcile(front: &Front, owner: &InstanceId, reply: Option<&Reply>) {
    let Some(Reply::Members {
        verdicts: words,
        quarantine_digest: quarantine,
        ..
    }) = reply
    else {
        return;
    };
    learn(front, words);
    let mine = words_beside(front, *quarantine);
    if !mine.is_empty() {
        // Lost, it is told with the next sync.
        let _ = front
            .peers
            .call(owner, &Message::Verdicts(mine), NOTIFY_TIMEOUT)
            .await;
    }
}

/// Whether this instance is the first of those that sum up the evidence against a request.
#[must_use]
pub fn is_first_keeper(front: &Front, fingerprint: &Fingerprint) -> bool {
    let order = front.peers.owners(&fingerprint.to_string());
    order.first() == Some(&front.cfg.instance)
}

/// The other instances that sum up the evidence against a request.
fn keepers(front: &Front, fingerprint: &Fingerprint) -> Vec<InstanceId> {
    let mut keepers = front.peers.owners(&fingerprint.to_string());
    keepers.truncate(KEEPERS);
    keepers.retain(|id| *id != front.cfg.instance);
    keepers
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
