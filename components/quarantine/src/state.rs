//! The quarantine state of one instance: requests that crashed targets, and the verdicts on them.
//!
//! The evidence of all instances is sent to a few aggregators, which sum it up and broadcast their
//! verdicts. The crash of a target counts against every request that it was running. A request is
//! therefore rejected only after several targets have crashed one after the other while running it,
//! and only if no target has completed it in between.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use types::Moment;

use crate::{
    fingerprint::Fingerprint,
    verdict::{Evidence, TargetIncarnation, Verdict, VerdictKind},
};

/// Crashes after which all instances are notified that a request is suspected.
pub(crate) const SUSPECT_CRASHES: usize = 2;
/// Crashes after which a request is rejected.
pub(crate) const REJECT_CRASHES: usize = 3;
/// Crashes of targets that ran a request concurrently count as one if they are less than this
/// apart. They then have a common cause outside of the request: a rack or a data centre fails, and
/// a frequent request is running on all targets there.
pub(crate) const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(100);
/// How long a crash counts as evidence, and how long a verdict of the first round holds.
pub(crate) const BASE_DURATION: Duration = Duration::from_secs(600);
/// Upper bound for the time that a verdict holds; it doubles with each round.
const MAX_DURATION: Duration = Duration::from_secs(7_200);
/// Maximum number of requests for which records are kept.
pub(crate) const MAX_RECORDS: usize = 4_096;
/// Records that are retained when the maximum is reached; the oldest are evicted first.
pub(crate) const RETAINED_RECORDS: usize = 3_584;

/// The instances that a verdict must be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Recipients {
    /// Those that sum up the evidence against the request.
    Aggregators,
    /// All instances.
    All,
}

/// Evidence and verdict on one request.
#[derive(Clone, Debug)]
struct Record {
    round: u32,
    kind: Option<VerdictKind>,
    /// When the verdict expires.
    until: Moment,
    /// Crashes that count against the request.
    crashes: Vec<Crash>,
}

/// The crash of a target that was running a request.
#[derive(Clone, Debug)]
struct Crash {
    incarnation: TargetIncarnation,
    /// Earliest time at which the target may have started the request.
    run_started: Moment,
    at: Moment,
    /// Targets that lost earlier runs of the same attempt.
    earlier: Vec<TargetIncarnation>,
}

impl Crash {
    /// Whether both crashes may have the same cause outside of the request.
    fn shares_cause(&self, other: &Self) -> bool {
        if self.earlier.contains(&other.incarnation) || other.earlier.contains(&self.incarnation) {
            return false;
        }
        let concurrent = self.run_started < other.at && other.run_started < self.at;
        concurrent && self.at.abs_diff(other.at) < SAME_CAUSE_WINDOW
    }
}

impl Record {
    const fn new() -> Self {
        Self {
            round: 1,
            kind: None,
            until: Duration::ZERO,
            crashes: Vec::new(),
        }
    }

    /// The kind of the verdict, unless it has expired.
    fn effective_kind(&self, now: Moment) -> Option<VerdictKind> {
        self.kind.filter(|_| self.until > now)
    }

    /// Whether a rejection has expired only recently. A single crash then shows that the cause
    /// persists, and rejects the request again.
    fn is_on_probation(&self, now: Moment) -> bool {
        self.kind == Some(VerdictKind::Rejected)
            && self.until <= now
            && now < self.until + verdict_duration(self.round)
    }

    /// Whether the record has no effect any more and can be dropped.
    fn is_expired(&self, now: Moment) -> bool {
        self.effective_kind(now).is_none() && !self.is_on_probation(now) && self.crashes.is_empty()
    }

    /// Adds a crash; returns false if it is already counted or shares its cause with one that is.
    fn add(&mut self, crash: Crash) -> bool {
        let known =
            |known: &Crash| known.incarnation == crash.incarnation || known.shares_cause(&crash);
        if self.crashes.iter().any(known) {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    fn drop_expired_crashes(&mut self, now: Moment) {
        self.crashes
            .retain(|crash| now.saturating_sub(crash.at) < BASE_DURATION);
    }

    fn set_verdict(&mut self, now: Moment, kind: VerdictKind) {
        self.kind = Some(kind);
        self.until = now + verdict_duration(self.round);
    }

    fn verdict(&self, now: Moment, fingerprint: Fingerprint) -> Option<Verdict> {
        Some(Verdict {
            fingerprint,
            round: self.round,
            kind: self.effective_kind(now)?,
            remaining: self.until.saturating_sub(now),
        })
    }
}

/// How long a verdict of this round holds.
pub(crate) fn verdict_duration(round: u32) -> Duration {
    let doubled = 2_u32.saturating_pow(round.saturating_sub(1));
    BASE_DURATION.saturating_mul(doubled).min(MAX_DURATION)
}

/// Requests that crashed targets, as far as one instance knows. Bounded in size.
#[derive(Debug, Default)]
pub struct QuarantineState {
    records: HashMap<Fingerprint, Record>,
    /// Keys of `records` in the order of insertion.
    order: VecDeque<Fingerprint>,
}

impl QuarantineState {
    /// Creates an empty state.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request must not be sent to any target.
    #[must_use]
    pub fn rejects(&self, now: Moment, fingerprint: &Fingerprint) -> bool {
        let record = self.records.get(fingerprint);
        record.is_some_and(|record| record.effective_kind(now) == Some(VerdictKind::Rejected))
    }

    /// Records the crash of a target that was running a request. Returns a verdict for all
    /// instances if the crash makes the request suspected or rejected.
    pub fn record_crash(&mut self, now: Moment, evidence: Evidence) -> Option<Verdict> {
        let fingerprint = evidence.fingerprint;
        let at = now.saturating_sub(evidence.age);
        let crash = Crash {
            incarnation: evidence.incarnation,
            run_started: at.saturating_sub(evidence.ran_for),
            at,
            earlier: evidence.earlier,
        };
        let record = self.record_mut(now, fingerprint);
        record.drop_expired_crashes(now);
        if !record.add(crash) || record.effective_kind(now) == Some(VerdictKind::Rejected) {
            return None;
        }
        let again = record.is_on_probation(now);
        if again {
            record.round += 1;
        } else if record.kind == Some(VerdictKind::Cleared)
            && record.crashes.len() >= SUSPECT_CRASHES
        {
            // The next round overrides the clearance at instances that have received it.
            record.round += 1;
            record.kind = None;
        }
        if again || record.crashes.len() >= REJECT_CRASHES {
            record.set_verdict(now, VerdictKind::Rejected);
        } else if record.crashes.len() >= SUSPECT_CRASHES {
            record.set_verdict(now, VerdictKind::Suspected);
        } else {
            return None;
        }
        record.verdict(now, fingerprint)
    }

    /// Records that a target has completed a request. Returns a clearance and the instances to send
    /// it to, or `None` if there was no evidence against the request.
    pub fn record_success(
        &mut self,
        now: Moment,
        fingerprint: &Fingerprint,
    ) -> Option<(Verdict, Recipients)> {
        let record = self.records.get_mut(fingerprint)?;
        let recipients = match record.effective_kind(now) {
            Some(VerdictKind::Rejected) => Recipients::All,
            Some(VerdictKind::Suspected) => Recipients::Aggregators,
            Some(VerdictKind::Cleared) | None if record.crashes.is_empty() => return None,
            Some(VerdictKind::Cleared) | None => Recipients::Aggregators,
        };
        record.crashes.clear();
        record.set_verdict(now, VerdictKind::Cleared);
        Some((record.verdict(now, *fingerprint)?, recipients))
    }

    /// Applies a verdict of another instance. Returns whether it changed the state.
    pub fn apply(&mut self, now: Moment, verdict: &Verdict) -> bool {
        if verdict.remaining.is_zero() {
            return false;
        }
        let record = self.record_mut(now, verdict.fingerprint);
        let known = (record.round, record.effective_kind(now));
        if known >= (verdict.round, Some(verdict.kind)) {
            return false;
        }
        record.round = verdict.round;
        record.kind = Some(verdict.kind);
        record.until = now + verdict.remaining.min(verdict_duration(verdict.round));
        if verdict.kind == VerdictKind::Cleared {
            record.crashes.clear();
        }
        true
    }

    /// All verdicts that are in force.
    #[must_use]
    pub fn verdicts(&self, now: Moment) -> Vec<Verdict> {
        let verdicts = self.records.iter();
        verdicts
            .filter_map(|(fingerprint, record)| record.verdict(now, *fingerprint))
            .collect()
    }

    /// A digest of the verdicts that are in force, independent of their order and of the time until
    /// they expire. Instances with equal digests need not exchange verdicts.
    #[must_use]
    pub fn digest(&self, now: Moment) -> u64 {
        let digest = |verdict: &Verdict| {
            let mut hasher = DefaultHasher::new();
            (verdict.fingerprint, verdict.round, verdict.kind as u8).hash(&mut hasher);
            hasher.finish()
        };
        self.verdicts(now)
            .iter()
            .fold(0, |all, verdict| all ^ digest(verdict))
    }

    /// The record of a request, created if there is none.
    fn record_mut(&mut self, now: Moment, fingerprint: Fingerprint) -> &mut Record {
        if !self.records.contains_key(&fingerprint) {
            self.make_room(now);
            self.order.push_back(fingerprint);
        }
        self.records.entry(fingerprint).or_insert_with(Record::new)
    }

    /// Drops expired records, then the oldest ones if there are still too many.
    fn make_room(&mut self, now: Moment) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| {
            record.drop_expired_crashes(now);
            !record.is_expired(now)
        });
        self.order.retain(|known| self.records.contains_key(known));
        while self.records.len() > RETAINED_RECORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }
}
