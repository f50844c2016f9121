//! The quarantine state of one instance for parts of prompts: parts under which targets crashed, and
//! the verdicts on them.
//!
//! Requests that differ may share the part of their prompts that crashes targets. Each crash makes the
//! parts of all runs suspect that had not yet proved sound; a run that proves sound exonerates its parts
//! from all crashes before it began. A part that stays suspect over several crashes is rejected.
//!
//! Crashes alone don't tell which of the parts that were present is the cause, or whether a request that was
//! there crashes targets by itself, with or without parts. A request with a rejected part is rejected
//! outright only if no two parts that it lacks, or requests, explain all crashes under that part as well.
//! Otherwise it may be sound: it is sent as a probe, one at a time over all instances, and its outcome decides.

mod lost_requests;
mod messages;
mod record;

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use types::{Moment, ServiceId};

pub use self::messages::{CountedCrash, PartEvidence, PartVerdict, SoundRun};
use self::{
    lost_requests::LostRequests,
    record::{PartCrash, Record},
};
use crate::{
    fingerprint::Fingerprint,
    state::{BASE_DURATION, MAX_RECORDS, RETAINED_RECORDS, Recipients, verdict_duration},
    verdict::{TargetIncarnation, VerdictKind},
};

/// The most parts that are suspects of one crash; callers make up the parts.
const MAX_SUSPECTS: usize = 48;
/// How long a probe holds back others if its outcome does not become known.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Whether a request may be sent, by the parts of its prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Assessment {
    /// None of its parts is held against it.
    Admitted,
    /// It has this rejected part, but parts that it lacks may be the cause. It may be sent only as a probe.
    Ambiguous(Fingerprint),
    /// It must not be sent, because of this part.
    Rejected(Fingerprint),
}

/// Parts of prompts under which targets crashed, as far as one instance knows. Bounded in size.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    records: HashMap<Fingerprint, Record>,
    /// Keys of `records` in the order of insertion.
    order: VecDeque<Fingerprint>,
    /// When the probe of a service ends at the latest.
    probes: HashMap<ServiceId, Moment>,
    /// The requests that crashed targets were running.
    lost_requests: LostRequests,
}

impl PartQuarantine {
    /// Creates an empty state.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request whose prompt has these shared parts may be sent.
    #[must_use]
    pub fn assess(&self, now: Moment, parts: &[Fingerprint]) -> Assessment {
        let mut assessment = Assessment::Admitted;
        if self.records.is_empty() {
            return assessment;
        }
        for part in parts {
            let record = self.records.get(part);
            let is_rejected =
                |record: &&Record| record.effective_kind(now) == Some(VerdictKind::Rejected);
            let Some(record) = record.filter(is_rejected) else {
                continue;
            };
            let may_be_cause = |other: &Fingerprint, target: &TargetIncarnation| {
                !parts.contains(other) && !self.is_void(other, target)
            };
            if !record.has_other_explanation(may_be_cause) {
                return Assessment::Rejected(*part);
            }
            if assessment == Assessment::Admitted {
                assessment = Assessment::Ambiguous(*part);
            }
        }
        assessment
    }

    /// Starts a probe for a service, unless one is running.
    pub fn try_probe(&mut self, now: Moment, service: &ServiceId) -> bool {
        let is_free = self.probes.get(service).is_none_or(|until| *until <= now);
        if is_free {
            self.probes.insert(service.clone(), now + PROBE_TIMEOUT);
        }
        is_free
    }

    /// Records the crash of a target. Returns verdicts for all instances on parts that become suspected
    /// or rejected, or of which more is known.
    pub fn record_crash(&mut self, now: Moment, evidence: &PartEvidence) -> Vec<PartVerdict> {
        if !evidence.parts.is_empty() {
            self.probes.remove(&evidence.service);
        }
        let at = now.saturating_sub(evidence.age);
        let is_suspect = |part: &&Fingerprint| !self.is_sound(part, at);
        let suspects: Vec<Fingerprint> =
            evidence.parts.iter().filter(is_suspect).copied().collect();
        // All runs that the target had under way are suspects of the same crash.
        let known = self.records.iter().filter(|(_, record)| {
            let mut crashes = record.crashes.iter();
            crashes.any(|crash| crash.incarnation == evidence.incarnation)
        });
        let mut all: BTreeSet<Fingerprint> = known.map(|(part, _)| *part).collect();
        let room = MAX_SUSPECTS.saturating_sub(all.len());
        all.extend(suspects.iter().take(room));
        let requests =
            self.lost_requests
                .record(now, &evidence.incarnation, evidence.request.as_ref());
        let mut verdicts = Vec::new();
        for part in &all {
            let mut companions = &all | &requests;
            companions.remove(part);
            let crash = PartCrash {
                incarnation: evidence.incarnation.clone(),
                run_started: at.saturating_sub(evidence.ran_for),
                at,
                companions,
            };
            let record = self.record_mut(now, &evidence.service, *part);
            if !record.has_same_cause(&crash) && record.add(crash) {
                record.judge(now, true);
                let verdict = record.verdict(now, *part);
                verdicts.extend(verdict.filter(|v| v.kind != VerdictKind::Cleared));
            }
        }
        verdicts
    }

    /// Records that a run which began at `began` has proved sound. Returns clearances and the instances to
    /// send them to.
    pub fn record_sound(
        &mut self,
        now: Moment,
        parts: &[Fingerprint],
        began: Moment,
    ) -> Vec<(PartVerdict, Recipients)> {
        let mut clearances = Vec::new();
        for part in parts {
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            let recipients = match record.effective_kind(now) {
                Some(VerdictKind::Rejected) => Recipients::All,
                Some(VerdictKind::Suspected) => Recipients::Aggregators,
                Some(VerdictKind::Cleared) | None if record.crashes.is_empty() => continue,
                Some(VerdictKind::Cleared) | None => Recipients::Aggregators,
            };
            let number = record.sound_run.map_or(0, |((number, _), _)| number) + 1;
            let id = u64::try_from(began.as_nanos()).unwrap_or(u64::MAX);
            record.exonerate((number, id), began);
            record.judge(now, false);
            let verdict = record.verdict(now, *part);
            let cleared = verdict.filter(|verdict| verdict.kind == VerdictKind::Cleared);
            clearances.extend(cleared.map(|verdict| (verdict, recipients)));
        }
        clearances
    }

    /// Applies a verdict of another instance. Returns whether it changed the state.
    pub fn apply(&mut self, now: Moment, verdict: &PartVerdict) -> bool {
        if verdict.remaining.is_zero() {
            return false;
        }
        let record = self.record_mut(now, &verdict.service, verdict.part);
        let known = record.effective_kind(now);
        let mut has_changed = record.void(verdict.void_crashes.iter().cloned());
        if let Some(run) = verdict.sound_run {
            let (number, began) = ((run.number, run.id), now.saturating_sub(run.age));
            if record.sound_run.is_none_or(|(known, _)| known < number) {
                record.exonerate(number, began);
            }
        }
        let mut is_new = false;
        for counted in &verdict.crashes {
            is_new |= record.add(PartCrash::from_counted(now, counted));
        }
        if verdict.round > record.round {
            record.round = verdict.round;
            record.kind = Some(verdict.kind);
            record.until = now + verdict.remaining.min(verdict_duration(verdict.round));
        }
        record.judge(now, false);
        if record.effective_kind(now) != known {
            record.until = now + verdict.remaining.min(verdict_duration(record.round));
        }
        has_changed |= is_new || record.effective_kind(now) != known;
        if has_changed && record.effective_kind(now) == Some(VerdictKind::Cleared) {
            self.probes.remove(&verdict.service);
        }
        has_changed
    }

    /// All verdicts that are in force.
    #[must_use]
    pub fn verdicts(&self, now: Moment) -> Vec<PartVerdict> {
        let records = self.records.iter();
        records
            .filter_map(|(part, record)| record.verdict(now, *part))
            .collect()
    }

    /// A digest of the verdicts that are in force; 0 if there are none.
    #[must_use]
    pub fn digest(&self, now: Moment) -> u64 {
        let digest = |(part, record): (&Fingerprint, &Record)| {
            let kind = record.effective_kind(now)?;
            let mut hasher = DefaultHasher::new();
            (part, kind as u8).hash(&mut hasher);
            // In an order that does not depend on when an instance heard of them.
            let mut crashes: Vec<&PartCrash> = record.crashes.iter().collect();
            crashes.sort_by_key(|crash| &crash.incarnation);
            for crash in crashes {
                (&crash.incarnation.target, crash.incarnation.started_at).hash(&mut hasher);
                crash.companions.hash(&mut hasher);
            }
            for void in &record.void_crashes {
                (&void.target, void.started_at).hash(&mut hasher);
            }
            Some(hasher.finish())
        };
        let digests = self.records.iter().filter_map(digest);
        digests.fold(0, |all, digest| all ^ digest)
    }

    /// Whether a run with a part that began after a moment has proved sound.
    fn is_sound(&self, part: &Fingerprint, since: Moment) -> bool {
        let record = self.records.get(part);
        record.is_some_and(|record| record.is_sound(since))
    }

    /// Whether a crash no longer counts against a part.
    fn is_void(&self, part: &Fingerprint, target: &TargetIncarnation) -> bool {
        let record = self.records.get(part);
        record.is_some_and(|record| record.void_crashes.contains(target))
    }

    /// The record of a part, created if there is none.
    fn record_mut(&mut self, now: Moment, service: &ServiceId, part: Fingerprint) -> &mut Record {
        if !self.records.contains_key(&part) {
            self.make_room(now);
            self.order.push_back(part);
        }
        let new = || Record::new(service.clone());
        let record = self.records.entry(part).or_insert_with(new);
        record
            .crashes
            .retain(|crash| now.saturating_sub(crash.at) < BASE_DURATION);
        record
    }

    /// Drops expired records, then the oldest ones if there are still too many.
    fn make_room(&mut self, now: Moment) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, record| !record.is_expired(now));
        self.order.retain(|known| self.records.contains_key(known));
        while self.records.len() > RETAINED_RECORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }
}
