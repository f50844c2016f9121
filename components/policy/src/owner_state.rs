//! State that all shards of one owner share: the view, the entries, the targets' histories.

use std::{collections::BTreeMap, time::Duration};

use types::{Incarnation, InstanceId, Moment, PermitId, TargetId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    account::TimedReport,
    api::{TargetLoad, View},
    decision_log::DecisionLog,
    length::LengthEstimator,
    tuning::Tuning,
};

/// If the newest clock stamp of an entry was received longer ago than this, a permit based on it
/// would have expired on arrival.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(600);
/// Minimum retry delay in a denial.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Width of the counter in a permit id; the bits above it tell owners apart.
const COUNTER_BITS: u32 = 40;
/// How long after its start or return to service a target's own report does not end cold start.
const RECENT_START: Duration = Duration::from_secs(60);

/// The latest contact with one entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryContact {
    /// The entry's incarnation.
    pub incarnation: Incarnation,
    /// The newest stamp of the entry's clock.
    pub stamp: Moment,
    /// When the stamp was received, on this process's clock.
    pub received_at: Moment,
}

impl EntryContact {
    /// Returns whether a permit based on the newest stamp could still be used.
    #[must_use]
    pub fn is_recent(&self, now: Moment) -> bool {
        now.saturating_sub(self.received_at) <= MAX_CONTACT_AGE
    }
}

/// What is known of a target, whether its shard is owned here or not.
#[derive(Clone, Copy, Debug)]
struct TargetHistory {
    incarnation: Incarnation,
    restarted_at: Option<Moment>,
    report: Option<TimedReport>,
}

/// State that all shards of one owner share.
#[derive(Debug)]
pub struct OwnerState {
    /// The configuration and the target listing in force.
    pub view: View,
    /// Estimates of the lengths of generations.
    pub lengths: LengthEstimator,
    /// Parameters of admission by memory.
    pub tuning: Tuning,
    /// The latest events and decisions.
    pub decision_log: DecisionLog,
    /// Entries that have been in contact.
    pub entries: BTreeMap<InstanceId, EntryContact>,
    targets: BTreeMap<TargetId, TargetHistory>,
    has_view: bool,
    next_permit: PermitId,
    rng: fastrand::Rng,
}

impl OwnerState {
    /// Creates the state of an owner that knows no view, entries or targets.
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

    /// Returns the id of a new permit. It is unique within this owner's incarnation; the upper bits
    /// make it practically unique among owners, so that a late `Done` can't match a permit of a
    /// later owner.
    pub const fn next_permit(&mut self) -> PermitId {
        let permit = self.next_permit;
        self.next_permit += 1;
        permit
    }

    /// Returns `wait` with jitter as a retry delay, so that callers don't all retry at the same
    /// moment.
    pub fn with_jitter(&mut self, wait: Duration) -> Duration {
        wait.max(MIN_RETRY_AFTER)
            .mul_f64(0.9 + 0.2 * self.rng.f64())
    }

    /// Records the contact with an entry. Returns whether it is the first of a new incarnation.
    pub fn record_contact(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: Incarnation,
        stamp: Moment,
    ) -> bool {
        let contact = EntryContact {
            incarnation,
            stamp,
            received_at: now,
        };
        let Some(known) = self.entries.get_mut(from) else {
            self.entries.insert(from.clone(), contact);
            return false;
        };
        if incarnation > known.incarnation {
            *known = contact;
            return true;
        }
        if incarnation == known.incarnation && stamp >= known.stamp {
            *known = contact;
        }
        false
    }

    /// Applies a new view and records which targets are new, restarted or back in service.
    pub fn apply_view(&mut self, now: Moment, view: &View) {
        let was_out = std::mem::take(&mut self.view.data_centres_out);
        let mut targets = BTreeMap::new();
        for target in &view.targets {
            let out = &target.data_centre;
            let returned = was_out.contains(out) && !view.data_centres_out.contains(out);
            let known = self.targets.get(&target.id).copied();
            let same = known.filter(|history| history.incarnation == target.incarnation);
            let started = same.is_none() && self.has_view;
            let restarted_at = if started || returned {
                Some(now)
            } else {
                same.and_then(|history| history.restarted_at)
            };
            let history = TargetHistory {
                incarnation: target.incarnation,
                restarted_at,
                report: known.and_then(|history| history.report),
            };
            targets.insert(target.id.clone(), history);
        }
        self.targets = targets;
        self.has_view = true;
        self.view = view.clone();
    }

    /// Records a target's load report and returns it with the time that it describes.
    pub fn record_report(
        &mut self,
        now: Moment,
        target: &TargetId,
        report: TargetLoad,
    ) -> TimedReport {
        let report = TimedReport {
            taken_at: now.saturating_sub(report.age),
            report,
        };
        if let Some(history) = self.targets.get_mut(target) {
            history.report = Some(report);
        }
        report
    }

    /// Returns the newest load report of a target.
    #[must_use]
    pub fn report(&self, target: &TargetId) -> Option<TimedReport> {
        self.targets.get(target)?.report
    }

    /// Returns whether a target started or returned to service recently.
    #[must_use]
    pub fn is_recently_started(&self, now: Moment, target: &TargetId) -> bool {
        self.targets
            .get(target)
            .and_then(|history| history.restarted_at)
            .is_some_and(|since| now.saturating_sub(since) < RECENT_START)
    }

    /// Returns whether a target started or returned to service with the newest view.
    #[must_use]
    pub fn started_with_this_view(&self, now: Moment, target: &TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|history| history.restarted_at == Some(now))
    }
}
