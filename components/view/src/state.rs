//! The beliefs of one instance: newest configuration, targets, evacuated data centres.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use parking_lot::RwLock;
use types::{ConfigVersion, DataCentreId, Moment, ServiceId, ServingState, TargetId};

use crate::{rules::Rules, target::Target};

/// How long after an outage of the store a listing that lapsed meanwhile is still believed.
/// Targets list themselves again within about two seconds of the store's return; one that is
/// still missing then is gone.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// Age of a belief: when the read that confirmed it last was sent.
pub type LastRead = Option<Moment>;

/// What a new belief changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Another version of the configuration is in force.
    Rules {
        /// The version before, if there was one.
        from: Option<ConfigVersion>,
        /// The version in force now.
        to: ConfigVersion,
    },
    /// A target is listed that takes work.
    Joined(Arc<Target>),
    /// A target has begun to leave, or is no longer listed.
    Leaving(Arc<Target>),
    /// A target began a new life under its old id.
    Restarted(Arc<Target>),
    /// A data centre gets no more work.
    Closed(DataCentreId),
    /// A data centre gets work again.
    Opened(DataCentreId),
}

#[derive(Debug, Default)]
struct ViewState {
    rules: Option<Arc<Rules>>,
    rules_read_at: LastRead,
    targets: Arc<BTreeMap<TargetId, Arc<Target>>>,
    /// The same by service: each request looks at the targets of its own only.
    by_service: HashMap<ServiceId, BTreeMap<TargetId, Arc<Target>>>,
    targets_read_at: LastRead,
    /// Listings that lapsed while the store was away, and until when they are believed.
    lapsed: BTreeMap<TargetId, Moment>,
    closed: BTreeSet<DataCentreId>,
}

/// The beliefs of one instance. Its one lock is held for look-ups and updates only.
#[derive(Debug, Default)]
pub struct View {
    inner: RwLock<ViewState>,
}

impl View {
    /// Believes nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force.
    #[must_use]
    pub fn rules(&self) -> Option<Arc<Rules>> {
        self.inner.read().rules.clone()
    }

    /// When the read was sent that last confirmed the configuration.
    #[must_use]
    pub fn rules_read_at(&self) -> LastRead {
        self.inner.read().rules_read_at
    }

    /// When the read was sent that last confirmed the targets.
    #[must_use]
    pub fn targets_read_at(&self) -> LastRead {
        self.inner.read().targets_read_at
    }

    /// All targets that are listed, those that leave among them.
    #[must_use]
    pub fn targets(&self) -> Arc<BTreeMap<TargetId, Arc<Target>>> {
        Arc::clone(&self.inner.read().targets)
    }

    /// Targets of a service that may get new work, as far as listings and the operator tell.
    #[must_use]
    pub fn usable_targets(&self, service: &str) -> Vec<Arc<Target>> {
        let state = self.inner.read();
        let Some(targets) = state.by_service.get(service) else {
            return Vec::new();
        };
        let fits = |target: &&Arc<Target>| {
            target.accepts_work() && !state.closed.contains(&target.data_centre)
        };
        targets.values().filter(fits).cloned().collect()
    }

    /// Targets of a service that are listed, those that leave among them.
    #[must_use]
    pub fn target_count(&self, service: &str) -> usize {
        let state = self.inner.read();
        state.by_service.get(service).map_or(0, BTreeMap::len)
    }

    /// A listed target.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<Arc<Target>> {
        self.inner.read().targets.get(id).cloned()
    }

    /// Whether a target may get new work, as far as listings and the operator tell.
    #[must_use]
    pub fn accepts_work(&self, target: &Target) -> bool {
        target.accepts_work() && !self.inner.read().closed.contains(&target.data_centre)
    }

    /// Whether an operator has taken a data centre out.
    #[must_use]
    pub fn is_closed(&self, data_centre: &str) -> bool {
        self.inner.read().closed.contains(data_centre)
    }

    /// Notes that configuration and evacuations were confirmed by a read sent at `read`.
    pub fn confirm_rules(&self, read: Moment) {
        let mut state = self.inner.write();
        state.rules_read_at = state.rules_read_at.max(Some(read));
    }

    /// Notes that the targets were confirmed by a read sent at `read`.
    pub fn confirm_targets(&self, read: Moment) {
        let mut state = self.inner.write();
        state.targets_read_at = state.targets_read_at.max(Some(read));
    }

    /// Takes a configuration, unless one as new is in force already: a configuration never goes
    /// back, whoever tells it.
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

    /// Takes word on whether a data centre is taken out.
    pub fn apply_closed(&self, data_centre: &DataCentreId, closed: bool) -> Option<Change> {
        let mut state = self.inner.write();
        if closed {
            let new = state.closed.insert(Arc::clone(data_centre));
            return new.then(|| Change::Closed(Arc::clone(data_centre)));
        }
        let was = state.closed.remove(data_centre);
        was.then(|| Change::Opened(Arc::clone(data_centre)))
    }

    /// Takes the listing of a target.
    pub fn apply_target(&self, target: Target) -> Option<Change> {
        let mut state = self.inner.write();
        let id = Arc::clone(&target.id);
        state.lapsed.remove(&id);
        let now = Arc::new(target);
        let before = state.insert(&now);
        let Some(before) = before else {
            return now.accepts_work().then_some(Change::Joined(now));
        };
        let restarted = now.started_at.is_some()
            && before.started_at.is_some()
            && now.started_at != before.started_at;
        if restarted {
            return Some(Change::Restarted(now));
        }
        match (before.accepts_work(), now.accepts_work()) {
            (true, false) => Some(Change::Leaving(now)),
            (false, true) => Some(Change::Joined(now)),
            _ => None,
        }
    }

    /// Takes word from somebody else than the store that a target leaves. Its listing, which may be
    /// older than that word, says nothing against it until it changes.
    pub fn mark_leaving(&self, id: &TargetId) -> Option<Change> {
        let mut state = self.inner.write();
        let target = state.targets.get(id).filter(|t| t.accepts_work())?;
        let leaving = Arc::new(Target {
            state: ServingState::Leaving,
            ..Target::clone(target)
        });
        state.insert(&leaving);
        Some(Change::Leaving(leaving))
    }

    /// Takes word that a target is no longer listed. `outage_end` tells when the store came back
    /// from an outage that may have let the listing lapse: the target itself may be well, and
    /// all targets at once would be lost if each lapse were believed.
    pub fn unlist_target(
        &self,
        id: &TargetId,
        now: Moment,
        outage_end: Option<Moment>,
    ) -> Option<Change> {
        let mut state = self.inner.write();
        let serving_state = state.targets.get(id)?.state;
        let retained_until = outage_end.map(|at| at + LAPSE_GRACE);
        if let Some(until) =
            retained_until.filter(|until| *until > now && serving_state == ServingState::Live)
        {
            state.lapsed.insert(Arc::clone(id), until);
            return None;
        }
        remove(&mut state, id)
    }

    /// Forgets lapsed listings that nobody renewed in time.
    pub fn expire_lapsed(&self, now: Moment) -> Vec<Change> {
        let mut state = self.inner.write();
        let due: Vec<TargetId> = state
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        due.iter()
            .filter_map(|id| {
                state.lapsed.remove(id);
                remove(&mut state, id)
            })
            .collect()
    }
}

impl ViewState {
    /// Puts a target in; tells what was known of it.
    fn insert(&mut self, target: &Arc<Target>) -> Option<Arc<Target>> {
        let targets = Arc::make_mut(&mut self.targets);
        let before = targets.insert(Arc::clone(&target.id), Arc::clone(target));
        // An id may come back as another service's.
        if let Some(before) = before.as_ref().filter(|b| b.service != target.service) {
            self.remove_from_service(before);
        }
        let same = self.by_service.entry(Arc::clone(&target.service));
        let same = same.or_default();
        same.insert(Arc::clone(&target.id), Arc::clone(target));
        before
    }

    fn remove_from_service(&mut self, target: &Target) {
        if let Some(same) = self.by_service.get_mut(&target.service) {
            same.remove(&target.id);
            if same.is_empty() {
                self.by_service.remove(&target.service);
            }
        }
    }
}

fn remove(state: &mut ViewState, id: &TargetId) -> Option<Change> {
    let targets = Arc::make_mut(&mut state.targets);
    let was = targets.remove(id)?;
    state.remove_from_service(&was);
    was.accepts_work().then_some(Change::Leaving(was))
}
