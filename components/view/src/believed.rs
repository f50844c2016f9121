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
pub type Age = Option<Moment>;

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
    Reborn(Arc<Target>),
    /// A data centre gets no more work.
    Closed(DataCentreId),
    /// A data centre gets work again.
    Opened(DataCentreId),
}

#[derive(Debug, Default)]
struct Beliefs {
    rules: Option<Arc<Rules>>,
    rules_read: Age,
    targets: Arc<BTreeMap<TargetId, Arc<Target>>>,
    /// The same by service: each request looks at the targets of its own only.
    by_service: HashMap<ServiceId, BTreeMap<TargetId, Arc<Target>>>,
    targets_read: Age,
    /// Listings that lapsed while the store was away, and until when they are believed.
    lapsed: BTreeMap<TargetId, Moment>,
    closed: BTreeSet<DataCentreId>,
}

/// The beliefs of one instance. Its one lock is held for look-ups and updates only.
#[derive(Debug, Default)]
pub struct View {
    beliefs: RwLock<Beliefs>,
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
        self.beliefs.read().rules.clone()
    }

    /// When the read was sent that last confirmed the configuration.
    #[must_use]
    pub fn rules_read(&self) -> Age {
        self.beliefs.read().rules_read
    }

    /// When the read was sent that last confirmed the targets.
    #[must_use]
    pub fn targets_read(&self) -> Age {
        self.beliefs.read().targets_read
    }

    /// All targets that are listed, those that leave among them.
    #[must_use]
    pub fn targets(&self) -> Arc<BTreeMap<TargetId, Arc<Target>>> {
        Arc::clone(&self.beliefs.read().targets)
    }

    /// Targets of a service that may get new work, as far as listings and the operator tell.
    #[must_use]
    pub fn usable(&self, service: &str) -> Vec<Arc<Target>> {
        let beliefs = self.beliefs.read();
        let Some(targets) = beliefs.by_service.get(service) else {
            return Vec::new();
        };
        let fits = |target: &&Arc<Target>| {
            target.takes_work() && !beliefs.closed.contains(&target.data_centre)
        };
        targets.values().filter(fits).cloned().collect()
    }

    /// Targets of a service that are listed, those that leave among them.
    #[must_use]
    pub fn count_of(&self, service: &str) -> usize {
        let beliefs = self.beliefs.read();
        beliefs.by_service.get(service).map_or(0, BTreeMap::len)
    }

    /// A listed target.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<Arc<Target>> {
        self.beliefs.read().targets.get(id).cloned()
    }

    /// Whether a target may get new work, as far as listings and the operator tell.
    #[must_use]
    pub fn takes_work(&self, target: &Target) -> bool {
        target.takes_work() && !self.beliefs.read().closed.contains(&target.data_centre)
    }

    /// Whether an operator has taken a data centre out.
    #[must_use]
    pub fn is_closed(&self, data_centre: &str) -> bool {
        self.beliefs.read().closed.contains(data_centre)
    }

    /// Notes that configuration and evacuations were confirmed by a read sent at `read`.
    pub fn confirm_rules(&self, read: Moment) {
        let mut beliefs = self.beliefs.write();
        beliefs.rules_read = beliefs.rules_read.max(Some(read));
    }

    /// Notes that the targets were confirmed by a read sent at `read`.
    pub fn confirm_targets(&self, read: Moment) {
        let mut beliefs = self.beliefs.write();
        beliefs.targets_read = beliefs.targets_read.max(Some(read));
    }

    /// Takes a configuration, unless one as new is in force already: a configuration never goes
    /// back, whoever tells it.
    pub fn learn_rules(&self, rules: Rules) -> Option<Change> {
        let mut beliefs = self.beliefs.write();
        let from = beliefs.rules.as_ref().map(|rules| rules.version);
        if from.is_some_and(|version| version >= rules.version) {
            return None;
        }
        let to = rules.version;
        beliefs.rules = Some(Arc::new(rules));
        Some(Change::Rules { from, to })
    }

    /// Takes word on whether a data centre is taken out.
    pub fn learn_closed(&self, data_centre: &DataCentreId, closed: bool) -> Option<Change> {
        let mut beliefs = self.beliefs.write();
        if closed {
            let new = beliefs.closed.insert(Arc::clone(data_centre));
            return new.then(|| Change::Closed(Arc::clone(data_centre)));
        }
        let was = beliefs.closed.remove(data_centre);
        was.then(|| Change::Opened(Arc::clone(data_centre)))
    }

    /// Takes the listing of a target.
    pub fn learn_target(&self, target: Target) -> Option<Change> {
        let mut beliefs = self.beliefs.write();
        let id = Arc::clone(&target.id);
        beliefs.lapsed.remove(&id);
        let now = Arc::new(target);
        let before = beliefs.put(&now);
        let Some(before) = before else {
            return now.takes_work().then_some(Change::Joined(now));
        };
        let reborn = now.born.is_some() && before.born.is_some() && now.born != before.born;
        if reborn {
            return Some(Change::Reborn(now));
        }
        match (before.takes_work(), now.takes_work()) {
            (true, false) => Some(Change::Leaving(now)),
            (false, true) => Some(Change::Joined(now)),
            _ => None,
        }
    }

    /// Takes word from somebody else than the store that a target leaves. Its listing, which may be
    /// older than that word, says nothing against it until it changes.
    pub fn hear_leaving(&self, id: &TargetId) -> Option<Change> {
        let mut beliefs = self.beliefs.write();
        let target = beliefs.targets.get(id).filter(|t| t.takes_work())?;
        let leaving = Arc::new(Target {
            standing: ServingState::Leaving,
            ..Target::clone(target)
        });
        beliefs.put(&leaving);
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
        let mut beliefs = self.beliefs.write();
        let standing = beliefs.targets.get(id)?.standing;
        let believed = outage_end.map(|at| at + LAPSE_GRACE);
        if let Some(until) = believed.filter(|until| *until > now && standing == ServingState::Live)
        {
            beliefs.lapsed.insert(Arc::clone(id), until);
            return None;
        }
        remove(&mut beliefs, id)
    }

    /// Forgets lapsed listings that nobody renewed in time.
    pub fn expire_lapsed(&self, now: Moment) -> Vec<Change> {
        let mut beliefs = self.beliefs.write();
        let due: Vec<TargetId> = beliefs
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| Arc::clone(id))
            .collect();
        due.iter()
            .filter_map(|id| {
                beliefs.lapsed.remove(id);
                remove(&mut beliefs, id)
            })
            .collect()
    }
}

impl Beliefs {
    /// Puts a target in; tells what was known of it.
    fn put(&mut self, target: &Arc<Target>) -> Option<Arc<Target>> {
        let targets = Arc::make_mut(&mut self.targets);
        let before = targets.insert(Arc::clone(&target.id), Arc::clone(target));
        // An id may come back as another service's.
        if let Some(before) = before.as_ref().filter(|b| b.service != target.service) {
            self.drop_from_service(before);
        }
        let same = self.by_service.entry(Arc::clone(&target.service));
        let same = same.or_default();
        same.insert(Arc::clone(&target.id), Arc::clone(target));
        before
    }

    fn drop_from_service(&mut self, target: &Target) {
        if let Some(same) = self.by_service.get_mut(&target.service) {
            same.remove(&target.id);
            if same.is_empty() {
                self.by_service.remove(&target.service);
            }
        }
    }
}

fn remove(beliefs: &mut Beliefs, id: &TargetId) -> Option<Change> {
    let targets = Arc::make_mut(&mut beliefs.targets);
    let was = targets.remove(id)?;
    beliefs.drop_from_service(&was);
    was.takes_work().then_some(Change::Leaving(was))
}
