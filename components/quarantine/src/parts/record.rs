//! What one instance knows of one part.

use std::{collections::BTreeSet, time::Duration};

use types::{Moment, ServiceId};

use crate::{
    fingerprint::Fingerprint,
    parts::messages::{CountedCrash, PartVerdict, SoundRun},
    state::{REJECT_CRASHES, SAME_CAUSE_WINDOW, SUSPECT_CRASHES, verdict_duration},
    verdict::{TargetIncarnation, VerdictKind},
};

/// The most crashes that are kept for one part.
const MAX_COUNTED_CRASHES: usize = 12;
/// The most crashes that are remembered as void for one part.
const MAX_VOID_CRASHES: usize = 32;

/// The crash of a target under runs with one part.
#[derive(Clone, Debug)]
pub(super) struct PartCrash {
    pub incarnation: TargetIncarnation,
    /// Earliest time at which the target may have started such a run.
    pub run_started: Moment,
    pub at: Moment,
    /// What else may be the cause: the other parts that were suspect, and whole requests.
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
    /// Targets whose crashes no longer count. Other instances get them with the verdict: which crashes lie
    /// before a sound run is decided once, and not again by times that each instance knows less exactly.
    pub void_crashes: BTreeSet<TargetIncarnation>,
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
            void_crashes: BTreeSet::new(),
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

    /// Whether at most two of the parts that may be the cause of a crash explain all crashes as well.
    pub fn has_other_explanation(
        &self,
        may_be_cause: impl Fn(&Fingerprint, &TargetIncarnation) -> bool,
    ) -> bool {
        let causes = |crash: &PartCrash| {
            let companions = crash.companions.iter();
            let suspects = companions.filter(|part| may_be_cause(part, &crash.incarnation));
            suspects.copied().collect::<BTreeSet<_>>()
        };
        let sets: Vec<_> = self.crashes.iter().map(causes).collect();
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
        if self.void_crashes.contains(&crash.incarnation) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        let surplus = self.crashes.len().saturating_sub(MAX_COUNTED_CRASHES);
        self.crashes.drain(..surplus);
        true
    }

    /// Whether a crash may have the same cause, outside of the requests, as another one that counts.
    pub fn has_same_cause(&self, crash: &PartCrash) -> bool {
        let mut others = self.crashes.iter();
        let is_known = others
            .clone()
            .any(|other| other.incarnation == crash.incarnation);
        !is_known && others.any(|other| other.shares_cause(crash))
    }

    /// Sets the verdict that follows from the crashes, and renews it if `is_renewed`.
    pub fn judge(&mut self, now: Moment, is_renewed: bool) {
        let known = self.effective_kind(now);
        let is_in_force = self.round > 1 && known == Some(VerdictKind::Rejected);
        let kind = match self.crashes.len() {
            0 if self.void_crashes.is_empty() => return,
            1.. if self.is_on_probation(now) => {
                self.round += 1;
                VerdictKind::Rejected
            }
            1.. if is_in_force => VerdictKind::Rejected,
            REJECT_CRASHES.. => VerdictKind::Rejected,
            SUSPECT_CRASHES.. => VerdictKind::Suspected,
            _ if self.void_crashes.is_empty() => return,
            _ => VerdictKind::Cleared,
        };
        if is_renewed || known != Some(kind) {
            self.kind = Some(kind);
            self.until = now + verdict_duration(self.round);
        }
    }

    /// Declares crashes void; returns whether any of them counted or was not known to be void.
    pub fn void(&mut self, incarnations: impl IntoIterator<Item = TargetIncarnation>) -> bool {
        let before = self.void_crashes.len();
        self.void_crashes.extend(incarnations);
        while self.void_crashes.len() > MAX_VOID_CRASHES {
            self.void_crashes.pop_first();
        }
        self.crashes
            .retain(|crash| !self.void_crashes.contains(&crash.incarnation));
        self.void_crashes.len() > before
    }

    /// Records a run that proved sound, and declares the crashes before it began void.
    pub fn exonerate(&mut self, number: RunNumber, began: Moment) {
        let latest = self.sound_run.map_or(began, |(_, known)| known.max(began));
        self.sound_run = Some((number, latest));
        let earlier = self.crashes.iter().filter(|crash| crash.at < began);
        let earlier: Vec<_> = earlier.map(|crash| crash.incarnation.clone()).collect();
        self.void(earlier);
    }

    pub fn verdict(&self, now: Moment, part: Fingerprint) -> Option<PartVerdict> {
        let crashes = self.crashes.iter();
        Some(PartVerdict {
            service: self.service.clone(),
            part,
            round: self.round,
            kind: self.effective_kind(now)?,
            crashes: crashes.map(|crash| crash.counted(now)).collect(),
            void_crashes: self.void_crashes.clone(),
            sound_run: self.sound_run.map(|((number, id), began)| SoundRun {
                number,
                id,
                age: now.saturating_sub(began),
            }),
            remaining: self.until.saturating_sub(now),
        })
    }
}
