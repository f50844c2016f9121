//! What all shards of one owner share.

use std::{collections::BTreeMap, time::Duration};

use types::{Incarnation, InstanceId, Moment, PermitId, TargetId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    account::TimedReport,
    api::{EngineReport, View},
    decision_log::DecisionLog,
    length::LengthEstimator,
    tuning::Tuning,
};

/// An entry's clock that was heard longer ago than this makes a grant useless on arrival.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(600);
/// Least time to come back that is told to anybody.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The bits of a permit's number that count; those above tell owners apart.
const COUNTER_BITS: u32 = 40;
/// How long after its start or return a target isn't believed to be warm on its own word.
const RECENT_START: Duration = Duration::from_secs(60);

/// What is known of one entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryContact {
    /// Which life of it.
    pub incarnation: Incarnation,
    /// The newest stamp of its clock.
    pub stamp: Moment,
    /// When that was heard, on this process's clock.
    pub received_at: Moment,
}

impl EntryContact {
    /// Tells whether a grant on its newest stamp would still be of use.
    #[must_use]
    pub fn is_recent(&self, now: Moment) -> bool {
        now.saturating_sub(self.received_at) <= MAX_CONTACT_AGE
    }
}

/// What this instance knows of a target whether it owns its shard or not.
#[derive(Clone, Copy, Debug)]
struct TargetHistory {
    incarnation: Incarnation,
    restarted_at: Option<Moment>,
    report: Option<TimedReport>,
}

/// What all shards of one owner share.
#[derive(Debug)]
pub struct OwnerState {
    /// Configuration and list in force.
    pub view: View,
    /// What is known of lengths.
    pub lengths: LengthEstimator,
    /// What decisions about memory are tuned by.
    pub tuning: Tuning,
    /// The last events and actions.
    pub decision_log: DecisionLog,
    /// Entries that were heard.
    pub entries: BTreeMap<InstanceId, EntryContact>,
    targets: BTreeMap<TargetId, TargetHistory>,
    has_view: bool,
    next_permit: PermitId,
    rng: fastrand::Rng,
}

impl OwnerState {
    /// Starts with nothing known.
    #[must_use]
    pub fn new(me: &InstanceId, incarnation: Incarnation, seed: u64, tuning: Tuning) -> Self {
        Self {
            view: View::default(),
            lengths: LengthEstimator::new(),
            tuning,
            decision_log: DecisionLog::new(),
            entries: BTreeMap::new(),
            targets: BTreeMap::new(),
            has_view: false,
            next_permit: xxh3_64_with_seed(me.as_bytes(), incarnation) << COUNTER_BITS,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The number of a new permit: unique for this owner's life, and the upper bits make it
    /// practically unique among owners, so that a late `Done` can't hit a later owner's permit.
    pub const fn next_permit(&mut self) -> PermitId {
        let permit = self.next_permit;
        self.next_permit += 1;
        permit
    }

    /// A time to come back: not at once, and not all at the same moment.
    pub fn with_jitter(&mut self, wait: Duration) -> Duration {
        wait.max(MIN_RETRY_AFTER)
            .mul_f64(0.9 + 0.2 * self.rng.f64())
    }

    /// Takes a sign of an entry; tells whether it is the first of a new life.
    pub fn record_contact(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: Incarnation,
        stamp: Moment,
    ) -> bool {
        let fresh = EntryContact {
            incarnation,
            stamp,
            received_at: now,
        };
        let Some(peer) = self.entries.get_mut(from) else {
            self.entries.insert(from.clone(), fresh);
            return false;
        };
        if incarnation > peer.incarnation {
            *peer = fresh;
            return true;
        }
        if incarnation == peer.incarnation && stamp >= peer.stamp {
            *peer = fresh;
        }
        false
    }

    /// Takes a new view; remembers which targets are new, restarted or back in service.
    pub fn apply_view(&mut self, now: Moment, view: &View) {
        let was_out = std::mem::take(&mut self.view.data_centres_out);
        let mut facts = BTreeMap::new();
        for target in &view.targets {
            let out = &target.data_centre;
            let returned = was_out.contains(out) && !view.data_centres_out.contains(out);
            let known = self.targets.get(&target.id).copied();
            let same = known.filter(|fact| fact.incarnation == target.incarnation);
            let started = same.is_none() && self.has_view;
            let restarted_at = if started || returned {
                Some(now)
            } else {
                same.and_then(|fact| fact.restarted_at)
            };
            let fact = TargetHistory {
                incarnation: target.incarnation,
                restarted_at,
                report: known.and_then(|fact| fact.report),
            };
            facts.insert(target.id.clone(), fact);
        }
        self.targets = facts;
        self.has_view = true;
        self.view = view.clone();
    }

    /// Takes a target's report.
    pub fn record_report(
        &mut self,
        now: Moment,
        target: &TargetId,
        report: EngineReport,
    ) -> TimedReport {
        let report = TimedReport {
            taken_at: now.saturating_sub(report.age),
            report,
        };
        if let Some(fact) = self.targets.get_mut(target) {
            fact.report = Some(report);
        }
        report
    }

    /// The newest report of a target.
    #[must_use]
    pub fn report(&self, target: &TargetId) -> Option<TimedReport> {
        self.targets.get(target)?.report
    }

    /// Tells whether a target started or came back only lately.
    #[must_use]
    pub fn is_recently_started(&self, now: Moment, target: &TargetId) -> bool {
        self.targets
            .get(target)
            .and_then(|fact| fact.restarted_at)
            .is_some_and(|since| now.saturating_sub(since) < RECENT_START)
    }

    /// Tells whether a target came back with the newest view.
    #[must_use]
    pub fn started_with_this_view(&self, now: Moment, target: &TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|fact| fact.restarted_at == Some(now))
    }
}
