//! What this instance knows of rollouts, and what it counts for them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rollouts::{
    Answer, Directive, Evidence, Exposure, ExposureLimits, Order, Outcome, Report, Rollout,
};
use timer::boot_time;
use types::{Moment, RouteId, ServiceId, StoreVersion, TargetId, VersionChoice, VersionId};
use view::Target;
use workers::Latch;

use crate::rollouts::record::RolloutRecord;

/// How long the latencies of a target do not count after it was listed: it is still warming up.
const WARM_UP: Duration = Duration::from_secs(2);

/// One service's rollout.
#[derive(Debug)]
pub struct LocalRollout {
    /// The order.
    pub order: Order,
    /// When the order appeared; none if it was there when this instance started.
    pub appeared_at: Option<Moment>,
    /// Whether the operator has taken the order back.
    pub is_withdrawn: bool,
    /// What this instance sends to the new version.
    pub exposure: Exposure,
    /// Answers that this instance has got.
    pub evidence: Evidence,
    /// Versions of earlier orders that have not succeeded.
    pub abandoned: BTreeSet<VersionId>,
    /// The account of all instances, if this instance coordinates the rollout.
    pub coordinated: Option<Rollout>,
    /// Whether a task that reads or writes the rollout's record is under way.
    pub is_recording: bool,
    /// Whether generations are being migrated off the other versions.
    pub is_migrating: bool,
    /// The last order before this one whose rollout ended.
    ended_before: Option<EndedOrder>,
    /// When targets of the new version were first listed.
    listed_at: HashMap<TargetId, Moment>,
}

/// An order whose rollout has ended.
#[derive(Clone, Debug)]
struct EndedOrder {
    to: VersionId,
    revision: StoreVersion,
    outcome: Outcome,
}

impl EndedOrder {
    fn is_recorded_by(&self, record: &RolloutRecord) -> bool {
        record.is_of_order(&self.to, self.revision)
    }
}

impl LocalRollout {
    /// The order as one whose rollout has ended, if it has.
    fn ended(&self) -> Option<EndedOrder> {
        Some(EndedOrder {
            to: Arc::clone(&self.order.to),
            revision: self.order.revision,
            outcome: self.exposure.outcome()?,
        })
    }

    /// The versions that a request may go to if it does not go to the new one.
    fn without_new(&self) -> VersionChoice {
        let mut excluded = self.abandoned.clone();
        excluded.insert(Arc::clone(&self.order.to));
        VersionChoice::Without(excluded)
    }

    /// The versions that a request may go to if this instance has not decided about it.
    fn undecided(&self) -> VersionChoice {
        match self.exposure.outcome() {
            Some(Outcome::Succeeded) => VersionChoice::Only(Arc::clone(&self.order.to)),
            Some(Outcome::RolledBack) | None => self.without_new(),
        }
    }

    /// Whether a target was listed long enough ago.
    fn has_warmed_up(&self, now: Moment, target: &TargetId) -> bool {
        let listed_at = self.listed_at.get(target);
        listed_at.is_none_or(|at| *at + WARM_UP <= now)
    }

    /// The report for the coordinator.
    #[must_use]
    pub fn report(&self, now: Moment, from: Arc<str>, started_at: u64) -> Report {
        let (arrivals, exposed) = (self.exposure.arrivals(), self.exposure.exposed());
        Report {
            order: self.order.clone(),
            from,
            started_at,
            age: self.appeared_at.map(|at| now.saturating_sub(at)),
            outcome: self.exposure.outcome(),
            evidence: self.evidence.clone().with_requests(arrivals, exposed),
        }
    }
}

/// The rollouts that this instance knows.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: Mutex<BTreeMap<ServiceId, LocalRollout>>,
    /// Whether there is any, so that requests need no lock at other times.
    any: AtomicBool,
    /// Opened with the first order.
    pub first_order: Latch,
    /// Versions of each service's targets that are known.
    versions: Mutex<BTreeMap<ServiceId, BTreeSet<VersionId>>>,
    /// Versions whose targets were listed before a read of the operator's rows could show why, and
    /// when that was. Their order may still be on its way.
    unexplained: Mutex<HashMap<(ServiceId, VersionId), Moment>>,
    any_unexplained: AtomicBool,
}

impl Rollouts {
    /// Applies an order. `appeared_at` is when it appeared; none if it was there at the start. Returns
    /// whether it is new.
    pub fn order(&self, order: Order, appeared_at: Option<Moment>, limits: ExposureLimits) -> bool {
        let mut rollouts = self.by_service.lock();
        let mut abandoned = BTreeSet::new();
        let mut ended_before = None;
        if let Some(known) = rollouts.get_mut(&order.service) {
            if known.order.is_rewritten_as(&order) {
                known.order.revision = order.revision;
                return false;
            }
            if known.order.revision >= order.revision && !known.is_withdrawn {
                return false;
            }
            let is_running = known.exposure.outcome().is_none() && !known.is_withdrawn;
            if is_running && known.order.to == order.to {
                // The same order again: the rollout goes on with its first deadline.
                known.order.revision = order.revision;
                return false;
            }
            ended_before = known.ended().or_else(|| known.ended_before.clone());
            abandoned.clone_from(&known.abandoned);
            if known.exposure.outcome() != Some(Outcome::Succeeded) {
                abandoned.insert(Arc::clone(&known.order.to));
            }
            abandoned.remove(&order.to);
        }
        let service = Arc::clone(&order.service);
        let rollout = LocalRollout {
            order,
            appeared_at,
            is_withdrawn: false,
            exposure: Exposure::new(limits, fastrand::f64()),
            evidence: Evidence::default(),
            abandoned,
            ended_before,
            coordinated: None,
            is_recording: false,
            is_migrating: false,
            listed_at: HashMap::new(),
        };
        rollouts.insert(service, rollout);
        self.any.store(true, Ordering::Release);
        self.first_order.open();
        true
    }

    /// Records that the operator's order for a service is gone. Returns whether there was one.
    pub fn withdraw(&self, service: &ServiceId) -> bool {
        let mut rollouts = self.by_service.lock();
        let Some(rollout) = rollouts.get_mut(service) else {
            return false;
        };
        if let Some(coordinated) = &mut rollout.coordinated {
            coordinated.withdraw();
        }
        !std::mem::replace(&mut rollout.is_withdrawn, true)
    }

    /// Stops requests to a version that is about to be rolled back.
    pub fn suspend(&self, service: &ServiceId, version: &VersionId) {
        self.with(service, |rollout| {
            if rollout.order.to == *version {
                rollout.exposure.apply(boot_time(), Directive::Suspended);
            }
        });
    }

    /// Whether a target's version gets no further requests: it was rolled back, or is about to be.
    #[must_use]
    pub fn is_stopped(&self, target: &Target) -> bool {
        self.with(&target.service, |rollout| {
            rollout.order.to == target.version && rollout.exposure.is_stopped()
        })
        .unwrap_or(false)
    }

    /// Applies the end of a rollout. Returns whether it was not known.
    pub fn end(&self, service: &ServiceId, version: &VersionId, outcome: Outcome) -> bool {
        self.with(service, |rollout| {
            let is_same = rollout.order.to == *version;
            if is_same && let Some(coordinated) = &mut rollout.coordinated {
                coordinated.end(outcome);
            }
            is_same
                && rollout
                    .exposure
                    .apply(Duration::ZERO, Directive::Ended(outcome))
        })
        .unwrap_or(false)
    }

    /// How the rollout that a record stands for has ended, if this instance knows that it has.
    #[must_use]
    pub fn end_of(&self, record: &RolloutRecord) -> Option<Outcome> {
        self.with(&record.service, |rollout| {
            let known = [rollout.ended(), rollout.ended_before.clone()];
            let mut ended = known.into_iter().flatten();
            ended
                .find(|order| order.is_recorded_by(record))
                .map(|order| order.outcome)
        })
        .flatten()
    }

    /// Calls a function with a service's rollout, if there is one.
    pub fn with<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut LocalRollout) -> T,
    ) -> Option<T> {
        if !self.any.load(Ordering::Acquire) {
            return None;
        }
        self.by_service.lock().get_mut(service).map(f)
    }

    /// Whether no rollout is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.any.load(Ordering::Acquire)
    }

    /// The services with a rollout.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceId> {
        self.by_service.lock().keys().cloned().collect()
    }

    /// Drops rollouts that have ended and whose orders are gone. `is_replaced` tells whether no target
    /// of a version that must not be used is listed any more.
    pub fn retain(&self, is_replaced: impl Fn(&ServiceId, &VersionChoice) -> bool) {
        let mut rollouts = self.by_service.lock();
        rollouts.retain(|service, rollout| {
            let is_over = rollout.is_withdrawn && rollout.exposure.outcome().is_some();
            !(is_over && is_replaced(service, &rollout.undecided()))
        });
        self.any.store(!rollouts.is_empty(), Ordering::Release);
    }

    /// Chooses the versions for the next request to a service. The second value is whether it counts
    /// as exposed to the new version.
    #[must_use]
    pub fn choose(&self, now: Moment, service: &ServiceId) -> (VersionChoice, bool) {
        self.with(service, |rollout| {
            if rollout.exposure.take(now, fastrand::f64()) {
                (VersionChoice::Only(Arc::clone(&rollout.order.to)), true)
            } else {
                (rollout.without_new(), false)
            }
        })
        .unwrap_or_default()
    }

    /// The versions for a request to a service that does not go to a version under way.
    #[must_use]
    pub fn without_new(&self, service: &ServiceId) -> VersionChoice {
        self.with(service, |rollout| rollout.undecided())
            .unwrap_or_default()
    }

    /// Takes back a request that was not sent to the new version after all.
    pub fn give_back(&self, service: &ServiceId) {
        self.with(service, |rollout| rollout.exposure.give_back());
    }

    /// The versions to which a generation can be migrated from an engine of a version.
    #[must_use]
    pub fn destinations(&self, now: Moment, source: &Target) -> VersionChoice {
        self.with(&source.service, |rollout| {
            let is_old = source.version != rollout.order.to;
            if is_old && rollout.exposure.migrates(now) {
                VersionChoice::Only(Arc::clone(&rollout.order.to))
            } else {
                VersionChoice::Only(Arc::clone(&source.version))
            }
        })
        .unwrap_or_default()
    }

    /// Keeps the targets that a request with this choice may go to. `has_listed` tells whether any listed
    /// target of the service, also one that is shutting down, has a version of a choice.
    pub fn filter(
        &self,
        service: &ServiceId,
        choice: &VersionChoice,
        targets: &mut Vec<Arc<Target>>,
        has_listed: impl Fn(&VersionChoice) -> bool,
    ) {
        if self.any_unexplained.load(Ordering::Acquire) {
            let unexplained = self.unexplained.lock();
            targets.retain(|target| {
                let version = (Arc::clone(&target.service), Arc::clone(&target.version));
                !unexplained.contains_key(&version)
            });
        }
        let choice = match choice {
            // The sender may not know of the rollout yet.
            VersionChoice::Any => self.without_new(service),
            choice => choice.clone(),
        };
        if choice == VersionChoice::Any {
            return;
        }
        let is_rolled_back = self
            .with(service, |rollout| {
                rollout.exposure.outcome() == Some(Outcome::RolledBack)
            })
            .unwrap_or(false);
        // After a success an instance that has not heard of it sees no other version any more.
        if !is_rolled_back && !has_listed(&choice) {
            return;
        }
        targets.retain(|target| choice.allows(&target.version));
    }

    /// Counts a request that is sent to a target.
    pub fn record_sent(&self, target: &Target) {
        self.with(&target.service, |rollout| rollout.exposure.record_sent());
    }

    /// Counts an answer of a target. Returns whether the target runs the new version; none if its
    /// service has no rollout.
    pub fn record_answer(
        &self,
        now: Moment,
        target: &Target,
        is_cold: bool,
        route: &RouteId,
        answer: Answer,
    ) -> Option<bool> {
        self.with(&target.service, |rollout| {
            if target.version != rollout.order.to {
                rollout.evidence.record_old(route, answer);
                return false;
            }
            let is_warm = !is_cold && rollout.has_warmed_up(now, &target.id);
            let answer = Answer {
                latency: answer.latency.filter(|_| is_warm),
                ..answer
            };
            rollout.evidence.record_new(route, &target.id, answer);
            true
        })
    }

    /// Whether a target of a version under way was listed long enough ago to have warmed up.
    #[must_use]
    pub fn has_warmed_up(&self, now: Moment, target: &Target) -> bool {
        let has = self.with(&target.service, |rollout| {
            rollout.has_warmed_up(now, &target.id)
        });
        has.unwrap_or(true)
    }

    /// Counts the mean time between two events of a generation.
    pub fn record_gap(&self, target: &Target, route: &RouteId, gap: Duration) {
        self.with(&target.service, |rollout| {
            if target.version == rollout.order.to {
                rollout.evidence.record_new_gap(route, &target.id, gap);
            } else {
                rollout.evidence.record_old_gap(route, gap);
            }
        });
    }

    /// Records that a target is listed. If its version is new to the service and no order explains it,
    /// its targets are not used until a later read of the operator's rows has shown that there is none.
    pub fn record_listed(&self, now: Moment, target: &Target) {
        let mut versions = self.versions.lock();
        let known = versions.entry(Arc::clone(&target.service)).or_default();
        let is_first = known.is_empty();
        let is_new = known.insert(Arc::clone(&target.version));
        drop(versions);
        let is_ordered = self.with(&target.service, |rollout| {
            let is_ordered = rollout.order.to == target.version;
            if is_ordered {
                rollout
                    .listed_at
                    .entry(Arc::clone(&target.id))
                    .or_insert(now);
            }
            is_ordered
        });
        if is_new && !is_first && is_ordered != Some(true) {
            let version = (Arc::clone(&target.service), Arc::clone(&target.version));
            self.unexplained.lock().insert(version, now);
            self.any_unexplained.store(true, Ordering::Release);
        }
    }

    /// Records that the operator's rows were confirmed by a read sent at `read`: orders that precede
    /// earlier listings are known by now.
    pub fn confirm_orders(&self, read: Moment) {
        if !self.any_unexplained.load(Ordering::Acquire) {
            return;
        }
        let mut unexplained = self.unexplained.lock();
        unexplained.retain(|_, seen| *seen >= read);
        self.any_unexplained
            .store(!unexplained.is_empty(), Ordering::Release);
    }
}
