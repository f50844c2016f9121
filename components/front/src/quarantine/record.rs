//! Rejections in the store: all instances may be lost at the same moment.

use std::{sync::Arc, time::Duration};

use ::quarantine::{Fingerprint, Verdict, VerdictKind};
use serde::{Deserialize, Serialize};

use crate::{
    callers::refusal::millis,
    quarantine::aggregation,
    state::{Front, unix_millis},
};

/// Tries to write a rejection or to drop one.
const TRIES: u32 = 20;
/// Mean pause between them.
const AGAIN: Duration = Duration::from_millis(700);

/// A rejection as it is kept.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often it was rejected.
    pub round: u32,
    /// Until when, in Unix milliseconds.
    pub until_ms: u64,
}

/// Writes a rejection to the store, or drops one that was lifted.
pub fn keep(front: &Arc<Front>, verdict: &Verdict) {
    let (front, verdict) = (Arc::clone(front), *verdict);
    let kept = QuarantineRecord {
        fingerprint: verdict.fingerprint,
        round: verdict.round,
        until_ms: unix_millis().saturating_add(millis(verdict.remaining)),
    };
    let keeping = async move {
        for _ in 0..TRIES {
            let done = match verdict.kind {
                VerdictKind::Rejected => front.store.put_quarantine_record(&kept).await,
                VerdictKind::Suspected | VerdictKind::Cleared => {
                    front.store.delete_quarantine_record(&kept).await
                }
            };
            if done.is_ok() {
                return;
            }
            smol::Timer::after(AGAIN.mul_f64(0.5 + fastrand::f64())).await;
        }
    };
    workers::spawn(keeping).detach();
}

/// Takes a rejection that was found in the store; drops it if its time is over.
pub fn found(front: &Arc<Front>, kept: &QuarantineRecord) {
    let left = kept.until_ms.saturating_sub(unix_millis());
    let verdict = Verdict {
        fingerprint: kept.fingerprint,
        round: kept.round,
        kind: VerdictKind::Rejected,
        remaining: Duration::from_millis(left),
    };
    if left > 0 {
        aggregation::learn(front, &[verdict]);
    } else if aggregation::is_first_keeper(front, &kept.fingerprint) {
        let lapsed = Verdict {
            kind: VerdictKind::Cleared,
            ..verdict
        };
        keep(front, &lapsed);
    }
}
