//! Rejections in the store, which survive if all instances are lost at the same time.

use std::{sync::Arc, time::Duration};

use ::quarantine::{Fingerprint, Verdict, VerdictKind};
use serde::{Deserialize, Serialize};

use crate::{
    quarantine::aggregation,
    state::{Front, unix_millis},
};
use types::millis;

/// Attempts to write or delete a record.
const MAX_ATTEMPTS: u32 = 20;
/// Mean pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// A stored rejection of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The round of the verdict.
    pub round: u32,
    /// When the rejection expires, in Unix milliseconds.
    pub until_ms: u64,
}

/// Writes a rejection to the store in the background, or deletes one that was lifted.
pub fn persist(front: &Arc<Front>, verdict: &Verdict) {
    let (front, verdict) = (Arc::clone(front), *verdict);
    let record = QuarantineRecord {
        fingerprint: verdict.fingerprint,
        round: verdict.round,
        until_ms: unix_millis().saturating_add(millis(verdict.remaining)),
    };
    let writing = async move {
        for _ in 0..MAX_ATTEMPTS {
            let result = match verdict.kind {
                VerdictKind::Rejected => front.store.put_quarantine_record(&record).await,
                VerdictKind::Suspected | VerdictKind::Cleared => {
                    front.store.delete_quarantine_record(&record).await
                }
            };
            if result.is_ok() {
                return;
            }
            smol::Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
        }
    };
    workers::spawn(writing).detach();
}

/// Applies a rejection that was read from the store; deletes it there if it has expired.
pub fn apply_stored(front: &Arc<Front>, record: &QuarantineRecord) {
    let left = record.until_ms.saturating_sub(unix_millis());
    let verdict = Verdict {
        fingerprint: record.fingerprint,
        round: record.round,
        kind: VerdictKind::Rejected,
        remaining: Duration::from_millis(left),
    };
    if left > 0 {
        aggregation::apply_verdicts(front, &[verdict]);
    } else if aggregation::is_first_aggregator(front, &record.fingerprint) {
        let cleared = Verdict {
            kind: VerdictKind::Cleared,
            ..verdict
        };
        persist(front, &cleared);
    }
}
