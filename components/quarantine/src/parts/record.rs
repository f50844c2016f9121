//! What one instance knows of one part.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use types::{Moment, ServiceId};

use crate::{
    fingerprint::Fingerprint,
    parts::messages::{CountedCrash, PartVerdict, SoundRun},
    state::{REJECT_CRASHES, SAME_CAUSE_WINDOW, SUSPECT_CRASHES, verdict_duration},
    verdict::{TargetIncarnation, VerdictKind},
};

/// The most crashes that are kept for one part.
const MAX_COUNTED_CRASHES: usize = 8;
/// The most crashes that are remembered as void for one part.
const MAX_VOID_CRASHES: usize = 16;

/// The crash of a target under runs with one part.
#[derive(Clone, Debug)]
pub(super) struct PartCrash {
    pub incarnation: TargetIncarnation,
    /// Earliest time at which the target may have started such a run.
    pub run_started: Moment,
    pub at: Moment,
    /// The other parts that were suspect.
    pub companions: BTreeSet<Fingerprint>,
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

    pub fn from_counted(now: Moment, counted: &CountedCrash) -> Self {
        let at = now.saturating_sub(counted.age);
        Self {
            incarnation: counted.incarnation.clone(),
            run_started: at.saturating_sub(counted.ran_for),
            at,
            companions: counted.companions.clone(),
        }
    }
}

/// Number and id of a run that proved sound.
pub(super) type RunNumber = (u64, u64);

/// Evidence and verdict on one part.
#[derive(Clone, Debug)]
pub(super) struct Record {
    service: ServiceId,
    pub round: u32,
    pub kind: Option<VerdictKind>,
    /// When the verdict expires.
    pub until: Moment,
    /// The latest crashes that count against the part.
    pub crashes: Vec<PartCrash>,
    /// Targets whose crashes no longer count. Another instance may still report them, and each report
    /// dates a crash later by its delay.
    void_crashes: VecDeque<TargetIncarnation>,
    /// Number and id of the latest run with the part that proved sound, and when it began.
    pub sound_run: Option<(RunNumber, Moment)>,
}

impl Record {
    pub const fn new(service: ServiceId) -> Self {
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
    pub fn effective_kind(&self, now: Moment) -> Option<VerdictKind> {
        self.kind.filter(|_| self.until > now)
    }

    /// Whether a rejection has expired only recently. A single crash then rejects the part again.
    fn is_on_probation(&self, now: Moment) -> bool {
        self.kind == Some(VerdictKind::Rejected)
            && self.until <= now
            && now < self.until + verdict_duration(self.round)
    }

    /// Whether the record has no effect any more and can be dropped.
    pub fn is_expired(&self, now: Moment) -> bool {
        self.effective_kind(now).is_none() && !self.is_on_probation(now) && self.crashes.is_empty()
    }

    /// Whether a run that began after a moment has proved sound.
    pub fn is_sound(&self, since: Moment) -> bool {
        self.sound_run.is_some_and(|(_, began)| began > since)
    }

    /// Whether at most two parts that a request lacks explain all crashes as well.
    pub fn has_other_explanation(&self, parts: &[Fingerprint]) -> bool {
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
    pub fn add(&mut self, crash: PartCrash) -> bool {
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
    pub fn judge(&mut self, now: Moment) {
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
    pub fn exonerate(&mut self, now: Moment, number: RunNumber, began: Moment) -> bool {
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

    pub fn verdict(&self, now: Moment, part: Fingerprint) -> Option<PartVerdict> {
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
