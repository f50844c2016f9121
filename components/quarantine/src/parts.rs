//! The quarantine state of one instance for parts of prompts: parts under which targets crashed, and
//! the verdicts on them.
//!
//! Requests that differ may share the part of their prompts that crashes targets. Each crash makes the
//! parts of all runs suspect that had not yet proved sound; a run that proves sound exonerates its parts
//! from all crashes before it began. A part that stays suspect over several crashes is rejected.
//!
//! Crashes alone don't tell which of the parts that were present is the cause. A request with a rejected
//! part is rejected outright only if no two parts that it lacks explain all crashes under that part as
//! well. Otherwise it may be sound: it is sent as a probe, one at a time over all instances, and its outcome
//! decides.

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use types::{Moment, ServiceId};

use crate::{
    fingerprint::Fingerprint,
    state::{
        BASE_DURATION, MAX_RECORDS, REJECT_CRASHES, RETAINED_RECORDS, Recipients,
        SAME_CAUSE_WINDOW, SUSPECT_CRASHES, verdict_duration,
    },
    verdict::{TargetIncarnation, VerdictKind},
};

/// The most crashes that are kept for one part.
const MAX_COUNTED_CRASHES: usize = 8;
/// The most crashes that are remembered as void for one part.
const MAX_VOID_CRASHES: usize = 16;
/// How long a probe holds back others if its outcome does not become known.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Evidence that a target crashed while it was running a request that had not proved sound.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartEvidence {
    /// The service of the target.
    pub service: ServiceId,
    /// The parts of the request's prompt that other requests may share.
    pub parts: Vec<Fingerprint>,
    /// The target process that crashed.
    pub incarnation: TargetIncarnation,
    /// Time since the connection to the target was lost.
    pub age: Duration,
    /// Upper bound on the time for which the target had been running the request by then.
    pub ran_for: Duration,
}

/// A crash that counts against a part, as it is sent to other instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CountedCrash {
    /// The target process that crashed.
    pub incarnation: TargetIncarnation,
    /// Time since then.
    pub age: Duration,
    /// Upper bound on the time for which the target had been running a request with the part.
    pub ran_for: Duration,
    /// The other parts that were suspect.
    pub companions: BTreeSet<Fingerprint>,
}

/// A run that proved sound, as it is sent to other instances. Its number and id identify it: its age grows
/// with each delay on the way, and must not count as that of another run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SoundRun {
    /// Higher than that of the sound runs that its instance knew of.
    pub number: u64,
    /// Tells runs with the same number apart.
    pub id: u64,
    /// Time since it began.
    pub age: Duration,
}

/// A verdict on one part, as it is sent to other instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartVerdict {
    /// The service.
    pub service: ServiceId,
    /// The part.
    pub part: Fingerprint,
    /// Incremented each time that the part is rejected again after a rejection has expired.
    pub round: u32,
    /// Whether requests with the part may be sent.
    pub kind: VerdictKind,
    /// The latest crashes that count against the part.
    pub crashes: Vec<CountedCrash>,
    /// The latest run with the part that proved sound.
    pub sound_run: Option<SoundRun>,
    /// Time until the verdict expires.
    pub remaining: Duration,
}

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

/// The crash of a target under runs with one part.
#[derive(Clone, Debug)]
struct PartCrash {
    incarnation: TargetIncarnation,
    /// Earliest time at which the target may have started such a run.
    run_started: Moment,
    at: Moment,
    /// The other parts that were suspect.
    companions: BTreeSet<Fingerprint>,
}

impl PartCrash {
    /// Whether both crashes may have the same cause outside of the requests.
    fn shares_cause(&self, other: &Self) -> bool {
        let concurrent = self.run_started < other.at && other.run_started < self.at;
        concurrent && self.at.abs_diff(other.at) < SAME_CAUSE_WINDOW
    }

    fn counted(&self, now: Moment) -> CountedCrash {
        CountedCrash {
            incarnation: self.incarnation.clone(),
            age: now.saturating_sub(self.at),
            ran_for: self.at.saturating_sub(self.run_started),
            companions: self.companions.clone(),
        }
    }

    fn from_counted(now: Moment, counted: &CountedCrash) -> Self {
        let at = now.saturating_sub(counted.age);
        Self {
            incarnation: counted.incarnation.clone(),
            run_started: at.saturating_sub(counted.ran_for),
            at,
            companions: counted.companions.clone(),
        }
    }
}

/// Evidence and verdict on one part.
#[derive(Clone, Debug)]
struct Record {
    service: ServiceId,
    round: u32,
    kind: Option<VerdictKind>,
    /// When the verdict expires.
    until: Moment,
    /// The latest crashes that count against the part.
    crashes: Vec<PartCrash>,
    /// Targets whose crashes no longer count. Another instance may still report them, and each report
    /// dates a crash later by its delay.
    void_crashes: VecDeque<TargetIncarnation>,
    /// Number and id of the latest run with the part that proved sound, and when it began.
    sound_run: Option<((u64, u64), Moment)>,
}

impl Record {
    const fn new(service: ServiceId) -> Self {
        Self {
            service,
            round: 1,
            kind: None,
            until: Duration::ZERO,
            crashes: Vec::new(),
            void_crashes: VecDeque::new(),
            sound_run: None,
        }
    }

    /// The kind of the verdict, unless it has expired.
    fn effective_kind(&self, now: Moment) -> Option<VerdictKind> {
        self.kind.filter(|_| self.until > now)
    }

    /// Whether a rejection has expired only recently. A single crash then rejects the part again.
    fn is_on_probation(&self, now: Moment) -> bool {
        self.kind == Some(VerdictKind::Rejected)
            && self.until <= now
            && now < self.until + verdict_duration(self.round)
    }

    /// Whether the record has no effect any more and can be dropped.
    fn is_expired(&self, now: Moment) -> bool {
        self.effective_kind(now).is_none() && !self.is_on_probation(now) && self.crashes.is_empty()
    }

    /// Whether a run that began after a moment has proved sound.
    fn is_sound(&self, since: Moment) -> bool {
        self.sound_run.is_some_and(|(_, began)| began > since)
    }

    /// Whether at most two parts that a request lacks explain all crashes as well.
    fn has_other_explanation(&self, parts: &[Fingerprint]) -> bool {
        let lacking = |crash: &PartCrash| {
            let companions = crash.companions.iter();
            let lacking = companions.filter(|part| !parts.contains(part));
            lacking.copied().collect::<BTreeSet<_>>()
        };
        let sets: Vec<_> = self.crashes.iter().map(lacking).collect();
        let Some((first, others)) = sets.split_first() else {
            return false;
        };
        first.iter().any(|one| {
            let rest = others.iter().filter(|set| !set.contains(one));
            let common = rest.cloned().reduce(|common, set| &common & &set);
            common.is_none_or(|common| !common.is_empty())
        })
    }

    /// Counts a crash, or adds to the suspects beside it. Returns whether anything has changed.
    fn add(&mut self, crash: PartCrash) -> bool {
        let same = |known: &&mut PartCrash| known.incarnation == crash.incarnation;
        if let Some(known) = self.crashes.iter_mut().find(same) {
            let before = known.companions.len();
            known.companions.extend(crash.companions);
            return known.companions.len() > before;
        }
        if self.is_sound(crash.at) || self.void_crashes.contains(&crash.incarnation) {
            return false;
        }
        if self.crashes.iter().any(|known| known.shares_cause(&crash)) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        let surplus = self.crashes.len().saturating_sub(MAX_COUNTED_CRASHES);
        self.crashes.drain(..surplus);
        true
    }

    /// Sets the verdict that follows from the crashes, if it is stricter than the present one.
    fn judge(&mut self, now: Moment) {
        let known = self.effective_kind(now);
        if self.is_on_probation(now) {
            self.round += 1;
            self.set_verdict(now, VerdictKind::Rejected);
        } else if self.crashes.len() >= REJECT_CRASHES {
            self.set_verdict(now, VerdictKind::Rejected);
        } else if self.crashes.len() >= SUSPECT_CRASHES && known != Some(VerdictKind::Rejected) {
            self.set_verdict(now, VerdictKind::Suspected);
        }
    }

    fn set_verdict(&mut self, now: Moment, kind: VerdictKind) {
        self.kind = Some(kind);
        self.until = now + verdict_duration(self.round);
    }

    /// Drops the crashes before a run began that proved sound. Sets the verdict that the part is cleared if
    /// too few are left; returns whether it is.
    fn exonerate(&mut self, now: Moment, number: (u64, u64), began: Moment) -> bool {
        let latest = self.sound_run.map_or(began, |(_, known)| known.max(began));
        self.sound_run = Some((number, latest));
        let (void, rest) = self.crashes.drain(..).partition(|crash| crash.at < began);
        self.crashes = rest;
        let void: Vec<PartCrash> = void;
        self.void_crashes
            .extend(void.into_iter().map(|crash| crash.incarnation));
        let surplus = self.void_crashes.len().saturating_sub(MAX_VOID_CRASHES);
        self.void_crashes.drain(..surplus);
        let is_cleared = self.crashes.len() < SUSPECT_CRASHES;
        if is_cleared {
            self.set_verdict(now, VerdictKind::Cleared);
        } else if self.crashes.len() < REJECT_CRASHES {
            self.set_verdict(now, VerdictKind::Suspected);
        }
        is_cleared
    }

    fn verdict(&self, now: Moment, part: Fingerprint) -> Option<PartVerdict> {
        let crashes = self.crashes.iter();
        Some(PartVerdict {
            service: self.service.clone(),
            part,
            round: self.round,
            kind: self.effective_kind(now)?,
            crashes: crashes.map(|crash| crash.counted(now)).collect(),
            sound_run: self.sound_run.map(|((number, id), began)| SoundRun {
                number,
                id,
                age: now.saturating_sub(began),
            }),
            remaining: self.until.saturating_sub(now),
        })
    }
}

/// Parts of prompts under which targets crashed, as far as one instance knows. Bounded in size.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    records: HashMap<Fingerprint, Record>,
    /// Keys of `records` in the order of insertion.
    order: VecDeque<Fingerprint>,
    /// When the probe of a service ends at the latest.
    probes: HashMap<ServiceId, Moment>,
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
            if !record.has_other_explanation(parts) {
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
        self.probes.remove(&evidence.service);
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
        all.extend(&suspects);
        let mut verdicts = Vec::new();
        for part in &all {
            let mut companions = all.clone();
            companions.remove(part);
            let crash = PartCrash {
                incarnation: evidence.incarnation.clone(),
                run_started: at.saturating_sub(evidence.ran_for),
                at,
                companions,
            };
            let record = self.record_mut(now, &evidence.service, *part);
            if record.add(crash) {
                record.judge(now);
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
            if record.exonerate(now, (number, id), began) {
                let verdict = record.verdict(now, *part);
                clearances.extend(verdict.map(|verdict| (verdict, recipients)));
            }
            self.remove_companion(*part, began);
        }
        clearances
    }

    /// Applies a verdict of another instance. Returns whether it changed the state.
    pub fn apply(&mut self, now: Moment, verdict: &PartVerdict) -> bool {
        if verdict.remaining.is_zero() {
            return false;
        }
        let mut has_changed = false;
        if let Some(run) = verdict.sound_run {
            let (number, began) = ((run.number, run.id), now.saturating_sub(run.age));
            let record = self.record_mut(now, &verdict.service, verdict.part);
            let was_cleared = record.effective_kind(now) == Some(VerdictKind::Cleared);
            if record.sound_run.is_none_or(|(known, _)| known < number) {
                has_changed = record.exonerate(now, number, began) && !was_cleared;
                self.remove_companion(verdict.part, began);
            }
            if has_changed {
                self.probes.remove(&verdict.service);
            }
        }
        let mut is_newer = false;
        for counted in &verdict.crashes {
            let mut crash = PartCrash::from_counted(now, counted);
            crash
                .companions
                .retain(|part| !self.is_sound(part, crash.at));
            let record = self.record_mut(now, &verdict.service, verdict.part);
            is_newer |= record.add(crash);
        }
        let record = self.record_mut(now, &verdict.service, verdict.part);
        let known = record
            .effective_kind(now)
            .filter(|kind| *kind != VerdictKind::Cleared);
        let known_run = record.sound_run.map(|(number, _)| number);
        let is_current = verdict.sound_run.map(|run| (run.number, run.id)) >= known_run;
        if verdict.kind == VerdictKind::Cleared {
            return has_changed;
        }
        if is_current && known < Some(verdict.kind) && !record.crashes.is_empty() {
            record.round = record.round.max(verdict.round);
            record.kind = Some(verdict.kind);
            record.until = now + verdict.remaining.min(verdict_duration(verdict.round));
            return true;
        }
        if is_newer {
            record.judge(now);
        }
        has_changed || is_newer
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
            for crash in &record.crashes {
                (&crash.incarnation.target, crash.incarnation.started_at).hash(&mut hasher);
                crash.companions.hash(&mut hasher);
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

    /// Removes a part that proved sound from the suspects of crashes before that run began.
    fn remove_companion(&mut self, part: Fingerprint, began: Moment) {
        for record in self.records.values_mut() {
            let earlier = record.crashes.iter_mut().filter(|crash| crash.at < began);
            earlier.for_each(|crash| {
                crash.companions.remove(&part);
            });
        }
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
