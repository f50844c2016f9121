//! State of the system as one instance knows it: the newest configuration, the targets and the data
//! centres that are closed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use parking_lot::RwLock;
use types::{
    ConfigVersion, DataCentreId, Moment, ServiceId, ServingState, TargetId, VersionChoice,
};

use crate::{rules::Rules, target::Target};

/// How long after an outage of the store a listing that expired meanwhile is retained. Targets
/// renew their listings within about two seconds of the store's return; one that has not by then is
/// gone.
const EXPIRED_LISTING_GRACE: Duration = Duration::from_millis(2200);

/// Number of departures that are remembered. Those of listed targets are remembered in any case.
const MAX_DEPARTURES: usize = 4_096;

/// Time at which the read that last confirmed the state was sent; `None` before the first.
pub type LastRead = Option<Moment>;

/// A change of the known state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Another version of the configuration is in force.
    Rules {
        /// Previous version, if there was one.
        from: Option<ConfigVersion>,
        /// Version in force now.
        to: ConfigVersion,
    },
    /// A target that accepts work was listed.
    Joined(Arc<Target>),
    /// A target is shutting down, or is no longer listed.
    Leaving(Arc<Target>),
    /// A target restarted under the same id.
    Restarted(Arc<Target>),
    /// A data centre was closed and gets no new work.
    Closed(DataCentreId),
    /// A data centre was opened again.
    Opened(DataCentreId),
}

/// The notice of one incarnation of a target that it is shutting down. Only a later incarnation ends
/// it: a listing that says otherwise is older, whenever it arrives.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Start of the incarnation, if known.
    started_at: Option<u64>,
    /// When it became known here.
    since: Moment,
}

impl Departure {
    /// Whether an incarnation that started at this time has departed: this one or an earlier one.
    fn covers(&self, started_at: Option<u64>) -> bool {
        match (self.started_at, started_at) {
            (Some(departed), Some(started_at)) => started_at <= departed,
            _ => true,
        }
    }
}

#[derive(Debug, Default)]
struct ViewState {
    rules: Option<Arc<Rules>>,
    rules_read_at: LastRead,
    targets: Arc<BTreeMap<TargetId, Arc<Target>>>,
    /// The same targets by service, because each request considers those of one service only.
    by_service: HashMap<ServiceId, BTreeMap<TargetId, Arc<Target>>>,
    targets_read_at: LastRead,
    /// Listings that expired during an outage of the store, and how long they are retained.
    expired: BTreeMap<TargetId, Moment>,
    /// Targets that are shutting down, also those that are no longer listed.
    departures: BTreeMap<TargetId, Departure>,
    closed: BTreeSet<DataCentreId>,
}

/// State of the system as one instance knows it. The lock is held for lookups and updates only.
#[derive(Debug, Default)]
pub struct View {
    inner: RwLock<ViewState>,
}

impl View {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Configuration in force.
    #[must_use]
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.inner.read().rules.clone()
    }

    /// Time at which the read that last confirmed the configuration was sent.
    #[must_use]
    pub fn rules_read_at(&self) -> LastRead {
        self.inner.read().rules_read_at
    }

    /// Time at which the read that last confirmed the targets was sent.
    #[must_use]
    pub fn targets_read_at(&self) -> LastRead {
        self.inner.read().targets_read_at
    }

    /// All listed targets, including those that are shutting down.
    #[must_use]
    pub fn targets(&self) -> Arc<BTreeMap<TargetId, Arc<Target>>> {
        Arc::clone(&self.inner.read().targets)
    }

    /// Targets of a service that may be given new work, according to their listings and to the
    /// closed data centres.
    #[must_use]
    pub fn usable_targets(&self, service: &str) -> Vec<Arc<Target>> {
        let state = self.inner.read();
        let Some(targets) = state.by_service.get(service) else {
            return Vec::new();
        };
        let is_usable = |target: &&Arc<Target>| {
            target.accepts_work() && !state.closed.contains(&target.data_centre)
        };
        targets.values().filter(is_usable).cloned().collect()
    }

    /// Number of listed targets of a service, including those that are shutting down.
    #[must_use]
    pub fn target_count(&self, service: &str) -> usize {
        let state = self.inner.read();
        state.by_service.get(service).map_or(0, BTreeMap::len)
    }

    /// Whether any listed target of a service, including those that are shutting down, has a version of
    /// a choice.
    #[must_use]
    pub fn has_version(&self, service: &str, choice: &VersionChoice) -> bool {
        let state = self.inner.read();
        let targets = state.by_service.get(service).into_iter().flatten();
        let mut versions = targets.map(|(_, target)| &target.version);
        versions.any(|version| choice.allows(version))
    }

    /// Listed target of the given id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<Arc<Target>> {
        self.inner.read().targets.get(id).cloned()
    }

    /// Whether a target may be given new work, according to its listing and to the closed data
    /// centres.
    #[must_use]
    pub fn accepts_work(&self, target: &Target) -> bool {
        target.accepts_work() && !self.inner.read().closed.contains(&target.data_centre)
    }

    /// Whether an operator has closed a data centre.
    #[must_use]
    pub fn is_closed(&self, data_centre: &str) -> bool {
        self.inner.read().closed.contains(data_centre)
    }

    /// Records that the configuration and the closed data centres were confirmed by a read sent at
    /// `read`.
    pub fn confirm_rules(&self, read: Moment) {
        let mut state = self.inner.write();
        state.rules_read_at = state.rules_read_at.max(Some(read));
    }

    /// Records that the targets were confirmed by a read sent at `read`.
    pub fn confirm_targets(&self, read: Moment) {
        let mut state = self.inner.write();
        state.targets_read_at = state.targets_read_at.max(Some(read));
    }

    /// Applies a configuration unless its version is in force already, or a newer one is. The
    /// version never decreases, whatever the source.
    pub fn apply_rules(&self, rules: Rules) -> Option<Change> {
        let mut state = self.inner.write();
        let from = state.rules.as_ref().map(|rules| rules.version);
        if from.is_some_and(|version| version >= rules.version) {
            return None;
        }
        let to = rules.version;
        state.rules = Some(Arc::new(rules));
        Some(Change::Rules { from, to })
    }

    /// Records whether a data centre is closed.
    pub fn apply_closed(&self, data_centre: &DataCentreId, closed: bool) -> Option<Change> {
        let mut state = self.inner.write();
        if closed {
            let new = state.closed.insert(Arc::clone(data_centre));
            return new.then(|| Change::Closed(Arc::clone(data_centre)));
        }
        let removed = state.closed.remove(data_centre);
        removed.then(|| Change::Opened(Arc::clone(data_centre)))
    }

    /// Applies the listing of a target. An incarnation that is known to be shutting down stays so,
    /// whatever the listing says.
    pub fn apply_target(&self, now: Moment, mut target: Target) -> Option<Change> {
        let mut state = self.inner.write();
        let listed = state.targets.get(&target.id);
        if listed.is_some_and(|listed| target.is_earlier_incarnation_of(listed)) {
            return None;
        }
        state.expired.remove(&target.id);
        state.apply_departure(now, &mut target);
        let updated = Arc::new(target);
        let previous = state.insert(&updated);
        let Some(previous) = previous else {
            return updated.accepts_work().then_some(Change::Joined(updated));
        };
        let restarted = updated.started_at.is_some()
            && previous.started_at.is_some()
            && updated.started_at != previous.started_at;
        if restarted {
            return Some(Change::Restarted(updated));
        }
        match (previous.accepts_work(), updated.accepts_work()) {
            (true, false) => Some(Change::Leaving(updated)),
            (false, true) => Some(Change::Joined(updated)),
            _ => None,
        }
    }

    /// Marks a target as shutting down on a report from a source other than the store. The report is
    /// about the incarnation that started at `started_at`, if known; about the listed one otherwise.
    pub fn mark_leaving(
        &self,
        now: Moment,
        id: &TargetId,
        started_at: Option<u64>,
    ) -> Option<Change> {
        let mut state = self.inner.write();
        let listed = state.targets.get(id).cloned();
        let incarnation = started_at.or(listed.as_ref().and_then(|target| target.started_at));
        state.record_departure(now, id, incarnation);
        let is_departed = |target: &Arc<Target>| {
            let departure = state.departures.get(id);
            target.accepts_work() && departure.is_some_and(|it| it.covers(target.started_at))
        };
        let target = listed.filter(is_departed)?;
        let leaving = Arc::new(Target {
            state: ServingState::Leaving,
            ..Target::clone(&target)
        });
        state.insert(&leaving);
        Some(Change::Leaving(leaving))
    }

    /// Since when a target is known to be shutting down or gone; none if it is in service.
    #[must_use]
    pub fn departed_since(&self, now: Moment, target: &Target) -> Option<Moment> {
        let state = self.inner.read();
        let departure = state.departures.get(&target.id);
        let departure = departure.filter(|departure| departure.covers(target.started_at));
        if let Some(departure) = departure {
            return Some(departure.since);
        }
        (!state.targets.contains_key(&target.id)).then_some(now)
    }

    /// Removes the listing of a target. `outage_end` is the end of the store's last outage, in
    /// which the listing may have expired although the target is healthy. Such listings are
    /// retained for a while; otherwise all targets would be lost at once.
    pub fn unlist_target(
        &self,
        id: &TargetId,
        now: Moment,
        outage_end: Option<Moment>,
    ) -> Option<Change> {
        let mut state = self.inner.write();
        let serving_state = state.targets.get(id)?.state;
        let retained_until = outage_end.map(|at| at + EXPIRED_LISTING_GRACE);
        if let Some(until) =
            retained_until.filter(|until| *until > now && serving_state == ServingState::Live)
        {
            state.expired.insert(Arc::clone(id), until);
            return None;
        }
        remove(&mut state, id)
    }

    /// Removes the expired listings that were not renewed in time.
    pub fn remove_expired_listings(&self, now: Moment) -> Vec<Change> {
        let mut state = self.inner.write();
        let ids: Vec<TargetId> = state
            .expired
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        ids.iter()
            .filter_map(|id| {
                state.expired.remove(id);
                remove(&mut state, id)
            })
            .collect()
    }
}

impl ViewState {
    /// Applies what is known of a listed target's departure to its listing, or records what the
    /// listing says of it.
    fn apply_departure(&mut self, now: Moment, target: &mut Target) {
        let departure = self.departures.get(&target.id);
        if departure.is_some_and(|departure| departure.covers(target.started_at)) {
            target.state = ServingState::Leaving;
        } else if target.state == ServingState::Leaving {
            self.record_departure(now, &target.id, target.started_at);
        } else {
            self.departures.remove(&target.id);
        }
    }

    fn record_departure(&mut self, now: Moment, id: &TargetId, started_at: Option<u64>) {
        let known = self.departures.get(id);
        if known.is_some_and(|departure| departure.covers(started_at)) {
            return;
        }
        if self.departures.len() >= MAX_DEPARTURES {
            self.forget_oldest_departure();
        }
        let departure = Departure {
            started_at,
            since: now,
        };
        self.departures.insert(Arc::clone(id), departure);
    }

    fn forget_oldest_departure(&mut self) {
        let unlisted = self.departures.iter();
        let unlisted = unlisted.filter(|(id, _)| !self.targets.contains_key(*id));
        let oldest = unlisted.min_by_key(|(_, departure)| departure.since);
        if let Some(id) = oldest.map(|(id, _)| Arc::clone(id)) {
            self.departures.remove(&id);
        }
    }

    /// Inserts or replaces a target; returns the previous listing.
    fn insert(&mut self, target: &Arc<Target>) -> Option<Arc<Target>> {
        let targets = Arc::make_mut(&mut self.targets);
        let previous = targets.insert(Arc::clone(&target.id), Arc::clone(target));
        // An id may be reused by another service.
        if let Some(previous) = previous.as_ref().filter(|b| b.service != target.service) {
            self.remove_from_service(previous);
        }
        let service_targets = self.by_service.entry(Arc::clone(&target.service));
        let service_targets = service_targets.or_default();
        service_targets.insert(Arc::clone(&target.id), Arc::clone(target));
        previous
    }

    fn remove_from_service(&mut self, target: &Target) {
        if let Some(service_targets) = self.by_service.get_mut(&target.service) {
            service_targets.remove(&target.id);
            if service_targets.is_empty() {
                self.by_service.remove(&target.service);
            }
        }
    }
}

fn remove(state: &mut ViewState, id: &TargetId) -> Option<Change> {
    let targets = Arc::make_mut(&mut state.targets);
    let removed = targets.remove(id)?;
    state.remove_from_service(&removed);
    removed.accepts_work().then_some(Change::Leaving(removed))
}
