//! Rejections in the store, which survive if all instances are lost at the same time.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use ::quarantine::{
    CountedCrash, Fingerprint, PartVerdict, SoundRun, TargetIncarnation, Verdict, VerdictKind,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use timer::boot_time;
use types::{Moment, ServiceId, millis};

use crate::{
    quarantine::{aggregation, parts},
    state::{Front, unix_millis},
};

/// Attempts to write or delete a record.
const MAX_ATTEMPTS: u32 = 20;
/// Mean pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Time between two writes of an instance: there may be a hundred records, and the store may have just come
/// back.
const WRITE_SPACING: Duration = Duration::from_millis(100);

/// Spaces out an instance's writes of records.
#[derive(Debug, Default)]
pub struct WritePace {
    /// When the next write may begin.
    next_at: Mutex<Moment>,
}

impl WritePace {
    /// Reserves the next write; returns how long to wait for it.
    pub fn reserve(&self, now: Moment) -> Duration {
        let mut next_at = self.next_at.lock();
        let at = now.max(*next_at);
        *next_at = at + WRITE_SPACING;
        at.saturating_sub(now)
    }
}

/// A stored rejection of a request, or of a part of prompts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineRecord {
    /// The request or the part.
    pub fingerprint: Fingerprint,
    /// The round of the verdict.
    pub round: u32,
    /// When the rejection expires, in Unix milliseconds.
    pub until_ms: u64,
    /// What is known of the part; none if the rejection is of a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<RejectedPart>,
}

/// What a stored rejection tells of a part of prompts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RejectedPart {
    /// The service.
    pub service: ServiceId,
    /// The latest crashes that count against the part; their ages are as of the writing.
    pub crashes: Vec<CountedCrash>,
    /// Targets whose crashes no longer count.
    pub void_crashes: BTreeSet<TargetIncarnation>,
    /// The latest run that had proved sound; its age is as of the writing.
    pub sound_run: Option<SoundRun>,
    /// When the record was written, in Unix milliseconds.
    pub written_ms: u64,
}

/// Writes a rejection to the store in the background, or deletes one that was lifted.
pub fn persist(front: &Arc<Front>, verdict: &Verdict) {
    let record = QuarantineRecord {
        fingerprint: verdict.fingerprint,
        round: verdict.round,
        until_ms: unix_millis().saturating_add(millis(verdict.remaining)),
        part: None,
    };
    write(front, record, verdict.kind);
}

/// Writes the rejection of a part to the store in the background, or deletes one that was lifted.
pub fn persist_part(front: &Arc<Front>, verdict: &PartVerdict) {
    let now_ms = unix_millis();
    let record = QuarantineRecord {
        fingerprint: verdict.part,
        round: verdict.round,
        until_ms: now_ms.saturating_add(millis(verdict.remaining)),
        part: Some(RejectedPart {
            service: Arc::clone(&verdict.service),
            crashes: verdict.crashes.clone(),
            void_crashes: verdict.void_crashes.clone(),
            sound_run: verdict.sound_run,
            written_ms: now_ms,
        }),
    };
    write(front, record, verdict.kind);
}

fn write(front: &Arc<Front>, record: QuarantineRecord, kind: VerdictKind) {
    let front = Arc::clone(front);
    let writing = async move {
        for _ in 0..MAX_ATTEMPTS {
            smol::Timer::after(front.record_pace.reserve(boot_time())).await;
            let result = match kind {
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
    let now_ms = unix_millis();
    let remaining = Duration::from_millis(record.until_ms.saturating_sub(now_ms));
    if remaining.is_zero() {
        let name = record.fingerprint.to_string();
        let is_first = front.peers.owners(&name).first() == Some(&front.cfg.instance);
        if is_first {
            write(front, record.clone(), VerdictKind::Cleared);
        }
        return;
    }
    match &record.part {
        None => aggregation::apply_verdicts(
            front,
            &[Verdict {
                fingerprint: record.fingerprint,
                round: record.round,
                kind: VerdictKind::Rejected,
                remaining,
            }],
        ),
        Some(part) => {
            let since = Duration::from_millis(now_ms.saturating_sub(part.written_ms));
            let mut verdict = PartVerdict {
                service: Arc::clone(&part.service),
                part: record.fingerprint,
                round: record.round,
                kind: VerdictKind::Rejected,
                crashes: part.crashes.clone(),
                void_crashes: part.void_crashes.clone(),
                sound_run: part.sound_run,
                remaining,
            };
            verdict
                .crashes
                .iter_mut()
                .for_each(|crash| crash.age += since);
            verdict
                .sound_run
                .iter_mut()
                .for_each(|run| run.age += since);
            parts::apply_verdicts(front, &[verdict]);
        }
    }
}
