//! What one instance holds of the configuration: its version only grows.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use tree::{Delta, DeltaError, EffectiveConfig, NodePath, RouteRule, Rules, Snapshot};
use types::{ConfigVersion, DataCentreId, Moment, ServiceId, WorkspaceId};

use crate::{
    api::{CurrentConfig, HistoryEntry, Update},
    overrides::{Override, Overrides},
};

/// Accepted changes that an instance keeps for its peers.
pub const KEPT_CHANGES: usize = 512;

/// A whole tree as read from the table service or a peer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedTree {
    /// The nodes.
    pub snapshot: Snapshot,
    /// The version that last wrote each node.
    pub node_versions: BTreeMap<NodePath, ConfigVersion>,
}

impl VersionedTree {
    /// Puts the next accepted change in.
    ///
    /// # Errors
    /// Tells that the change is not the next one.
    pub fn apply(&mut self, entry: &HistoryEntry) -> Result<(), DeltaError> {
        self.snapshot.apply(&delta(entry))?;
        self.note(entry);
        Ok(())
    }

    /// Takes note of which version wrote the node.
    pub fn note(&mut self, entry: &HistoryEntry) {
        let path = &entry.change.path;
        match entry.change.node {
            Some(_) => self.node_versions.insert(Arc::clone(path), entry.version),
            None => self.node_versions.remove(path),
        };
    }
}

fn delta(entry: &HistoryEntry) -> Delta {
    Delta {
        version: entry.version,
        path: Arc::clone(&entry.change.path),
        node: entry.change.node.clone(),
    }
}

/// The configuration of one instance.
#[derive(Default)]
pub struct ConfigCache {
    whole: Arc<VersionedTree>,
    rules: Option<Arc<Rules>>,
    current: Option<Arc<CurrentConfig>>,
    kept: VecDeque<HistoryEntry>,
    overrides: Overrides,
}

/// The rules of the accepted configuration, and what overrides keep out besides.
struct Overridden {
    rules: Arc<Rules>,
    out: Vec<DataCentreId>,
}

impl EffectiveConfig for Overridden {
    fn version(&self) -> ConfigVersion {
        self.rules.version()
    }

    fn workspace(&self, hash: &str) -> Option<WorkspaceId> {
        self.rules.workspace(hash)
    }

    fn model(&self, workspace: &WorkspaceId, model: &str, route: &str) -> Option<RouteRule> {
        self.rules.model(workspace, model, route)
    }

    fn plain(&self, workspace: &WorkspaceId, method: &str, path: &str) -> Option<RouteRule> {
        self.rules.plain(workspace, method, path)
    }

    fn service(&self, service: &ServiceId) -> Option<RouteRule> {
        self.rules.service(service)
    }

    fn services(&self) -> Vec<ServiceId> {
        self.rules.services()
    }

    fn data_centres_out(&self) -> Vec<DataCentreId> {
        self.out.clone()
    }
}

/// Path of a data centre's node.
#[must_use]
pub fn data_centre_path(data_centre: &str) -> NodePath {
    format!("/data-centres/{data_centre}").into()
}

impl ConfigCache {
    /// What is in force; `None` before the first was found.
    #[must_use]
    pub fn current(&self) -> Option<Arc<CurrentConfig>> {
        self.current.clone()
    }

    /// Takes overrides; gives back those that were new.
    pub fn take_overrides(&mut self, orders: &[Override], now: Moment) -> Vec<Override> {
        let mut news = orders.to_vec();
        news.retain(|order| self.overrides.take(order, now));
        if !news.is_empty() {
            self.show();
        }
        news
    }

    /// Ends overrides whose time is up.
    pub fn expire_overrides(&mut self, now: Moment) {
        if self.overrides.expire(now) {
            self.show();
        }
    }

    /// What is known of overrides.
    #[must_use]
    pub const fn overrides(&self) -> &Overrides {
        &self.overrides
    }

    /// Data centres that overrides keep out at present.
    #[must_use]
    pub fn overridden(&self) -> Vec<DataCentreId> {
        let changed = |id: &DataCentreId| self.node_version(&data_centre_path(id));
        self.overrides.data_centres_out(changed)
    }

    /// The accepted version that last wrote a node.
    #[must_use]
    pub fn node_version(&self, path: &str) -> Option<ConfigVersion> {
        self.whole.node_versions.get(path).copied()
    }

    /// The version in force; `None` before the first was found.
    #[must_use]
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|_| self.whole.snapshot.version)
    }

    /// The tree as written.
    #[must_use]
    pub fn whole(&self) -> Arc<VersionedTree> {
        Arc::clone(&self.whole)
    }

    /// Puts accepted changes in force, those that are not known yet; tells whether any was new.
    ///
    /// # Errors
    /// Tells that changes are missing in between. Those before the gap are in force then.
    pub fn take_changes(&mut self, entries: &[HistoryEntry]) -> Result<bool, DeltaError> {
        let mut taken = false;
        let mut result = Ok(());
        for entry in entries {
            match Arc::make_mut(&mut self.whole).apply(entry) {
                Ok(()) => {
                    self.keep(entry);
                    taken = true;
                }
                // Known already: a smaller version is never applied.
                Err(DeltaError::Old { .. }) => {}
                Err(error) => {
                    result = Err(error);
                    break;
                }
            }
        }
        if taken {
            self.put_in_force();
        }
        result.map(|()| taken)
    }

    /// Puts a whole tree in force if it is newer; tells whether it was.
    pub fn take_whole(&mut self, whole: VersionedTree) -> bool {
        if self.version().is_some_and(|v| whole.snapshot.version <= v) {
            return false;
        }
        self.whole = Arc::new(whole);
        self.kept.clear();
        self.put_in_force();
        true
    }

    /// What a peer at `version` needs to come up to date.
    #[must_use]
    pub fn since(&self, version: ConfigVersion) -> Update {
        let have = self.whole.snapshot.version;
        let oldest = self
            .kept
            .front()
            .map_or(have.saturating_add(1), |e| e.version);
        if version.saturating_add(1) >= oldest {
            let newer = self.kept.iter().filter(|e| e.version > version);
            return Update::Changes(newer.cloned().collect());
        }
        Update::Full(
            self.whole.snapshot.clone(),
            self.whole.node_versions.clone(),
        )
    }

    fn keep(&mut self, entry: &HistoryEntry) {
        self.kept.push_back(entry.clone());
        if self.kept.len() > KEPT_CHANGES {
            self.kept.pop_front();
        }
    }

    fn put_in_force(&mut self) {
        let new = self.whole.snapshot.version;
        if let Some(before) = &self.rules {
            let old = before.version();
            assert!(
                new > old,
                "configuration {new} would replace {old}: an accepted configuration never reverts"
            );
        }
        self.rules = Some(Arc::new(Rules::new(&self.whole.snapshot)));
        self.show();
    }

    /// Puts the rules together with what overrides keep out.
    fn show(&mut self) {
        let Some(rules) = self.rules.clone() else {
            return;
        };
        let mut out = rules.data_centres_out();
        out.extend(self.overridden());
        out.sort();
        out.dedup();
        self.current = Some(Arc::new(CurrentConfig {
            snapshot: self.whole.snapshot.clone(),
            effective: Box::new(Overridden { rules, out }),
        }));
    }
}
