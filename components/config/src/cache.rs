//! The configuration cached by one instance. Its version never decreases.

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

/// Accepted changes that an instance retains for its peers.
pub const MAX_RECENT_CHANGES: usize = 512;

/// A full tree, as read from the table service or received from a peer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedTree {
    /// All nodes, and the version of the tree.
    pub snapshot: Snapshot,
    /// The version that last wrote each node.
    pub node_versions: BTreeMap<NodePath, ConfigVersion>,
}

impl VersionedTree {
    /// Applies the next accepted change.
    ///
    /// # Errors
    /// If the change is not the next one.
    pub fn apply(&mut self, entry: &HistoryEntry) -> Result<(), DeltaError> {
        self.snapshot.apply(&delta(entry))?;
        self.record_version(entry);
        Ok(())
    }

    /// Records the version that wrote the node of `entry`.
    pub fn record_version(&mut self, entry: &HistoryEntry) {
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

/// The configuration cached by one instance, and the overrides that apply to it.
#[derive(Default)]
pub struct ConfigCache {
    tree: Arc<VersionedTree>,
    rules: Option<Arc<Rules>>,
    current: Option<Arc<CurrentConfig>>,
    recent_changes: VecDeque<HistoryEntry>,
    overrides: Overrides,
}

/// The rules of the accepted configuration, with the data centres added that overrides take out.
struct WithOverrides {
    rules: Arc<Rules>,
    out: Vec<DataCentreId>,
}

impl EffectiveConfig for WithOverrides {
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
    /// The configuration in effect; `None` until the first one was loaded.
    #[must_use]
    pub fn current(&self) -> Option<Arc<CurrentConfig>> {
        self.current.clone()
    }

    /// Merges overrides and returns those that were new.
    pub fn apply_overrides(&mut self, orders: &[Override], now: Moment) -> Vec<Override> {
        let mut new = orders.to_vec();
        new.retain(|order| self.overrides.apply(order, now));
        if !new.is_empty() {
            self.publish();
        }
        new
    }

    /// Removes overrides whose time is up.
    pub fn expire_overrides(&mut self, now: Moment) {
        if self.overrides.expire(now) {
            self.publish();
        }
    }

    /// All overrides known to this instance.
    #[must_use]
    pub const fn overrides(&self) -> &Overrides {
        &self.overrides
    }

    /// Data centres that overrides take out at present.
    #[must_use]
    pub fn overridden(&self) -> Vec<DataCentreId> {
        let node_version = |id: &DataCentreId| self.node_version(&data_centre_path(id));
        self.overrides.data_centres_out(node_version)
    }

    /// The accepted version that last wrote a node; `None` if the node does not exist.
    #[must_use]
    pub fn node_version(&self, path: &str) -> Option<ConfigVersion> {
        self.tree.node_versions.get(path).copied()
    }

    /// The version in effect; `None` until the first one was loaded.
    #[must_use]
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|_| self.tree.snapshot.version)
    }

    /// The accepted tree.
    #[must_use]
    pub fn tree(&self) -> Arc<VersionedTree> {
        Arc::clone(&self.tree)
    }

    /// Applies accepted changes that are not applied yet and returns whether there were any.
    ///
    /// # Errors
    /// If changes are missing in between. Those before the gap have been applied.
    pub fn apply_changes(&mut self, entries: &[HistoryEntry]) -> Result<bool, DeltaError> {
        let mut is_changed = false;
        let mut result = Ok(());
        for entry in entries {
            match Arc::make_mut(&mut self.tree).apply(entry) {
                Ok(()) => {
                    self.retain(entry);
                    is_changed = true;
                }
                // Already applied: an older version is never applied again.
                Err(DeltaError::Old { .. }) => {}
                Err(error) => {
                    result = Err(error);
                    break;
                }
            }
        }
        if is_changed {
            self.activate();
        }
        result.map(|()| is_changed)
    }

    /// Replaces the tree by a newer one and returns whether it was newer.
    pub fn replace_tree(&mut self, tree: VersionedTree) -> bool {
        if self.version().is_some_and(|v| tree.snapshot.version <= v) {
            return false;
        }
        self.tree = Arc::new(tree);
        self.recent_changes.clear();
        self.activate();
        true
    }

    /// Returns what a peer at `version` is missing.
    #[must_use]
    pub fn since(&self, version: ConfigVersion) -> Update {
        let have = self.tree.snapshot.version;
        let oldest = self
            .recent_changes
            .front()
            .map_or(have.saturating_add(1), |e| e.version);
        if version.saturating_add(1) >= oldest {
            let newer = self.recent_changes.iter().filter(|e| e.version > version);
            return Update::Changes(newer.cloned().collect());
        }
        Update::Full(self.tree.snapshot.clone(), self.tree.node_versions.clone())
    }

    fn retain(&mut self, entry: &HistoryEntry) {
        self.recent_changes.push_back(entry.clone());
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    fn activate(&mut self) {
        let new = self.tree.snapshot.version;
        if let Some(before) = &self.rules {
            let old = before.version();
            assert!(
                new > old,
                "configuration {new} would replace {old}: an accepted configuration never reverts"
            );
        }
        self.rules = Some(Arc::new(Rules::new(&self.tree.snapshot)));
        self.publish();
    }

    /// Rebuilds the current configuration from the rules and the overrides.
    fn publish(&mut self) {
        let Some(rules) = self.rules.clone() else {
            return;
        };
        let mut out = rules.data_centres_out();
        out.extend(self.overridden());
        out.sort();
        out.dedup();
        self.current = Some(Arc::new(CurrentConfig {
            snapshot: self.tree.snapshot.clone(),
            effective: Box::new(WithOverrides { rules, out }),
        }));
    }
}
