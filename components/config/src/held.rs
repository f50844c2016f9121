//! What one instance holds of the configuration: its version only grows.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use tree::{Delta, DeltaError, NodePath, Rules, Snapshot};
use types::ConfigVersion;

use crate::api::{Current, Entry, Update};

/// Accepted changes that an instance keeps for its peers.
pub const KEPT_CHANGES: usize = 512;

/// A whole tree as read from the table service or a peer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Whole {
    /// The nodes.
    pub snapshot: Snapshot,
    /// The version that last wrote each node.
    pub changed: BTreeMap<NodePath, ConfigVersion>,
}

impl Whole {
    /// Puts the next accepted change in.
    ///
    /// # Errors
    /// Tells that the change is not the next one.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), DeltaError> {
        self.snapshot.apply(&delta(entry))?;
        self.note(entry);
        Ok(())
    }

    /// Takes note of which version wrote the node.
    pub fn note(&mut self, entry: &Entry) {
        let path = &entry.change.path;
        match entry.change.node {
            Some(_) => self.changed.insert(Arc::clone(path), entry.version),
            None => self.changed.remove(path),
        };
    }
}

fn delta(entry: &Entry) -> Delta {
    Delta {
        version: entry.version,
        path: Arc::clone(&entry.change.path),
        node: entry.change.node.clone(),
    }
}

/// The configuration of one instance.
#[derive(Default)]
pub struct Held {
    whole: Whole,
    current: Option<Arc<Current>>,
    kept: VecDeque<Entry>,
}

impl Held {
    /// What is in force; `None` before the first was found.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Current>> {
        self.current.clone()
    }

    /// The version in force; `None` before the first was found.
    #[must_use]
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|_| self.whole.snapshot.version)
    }

    /// The tree as written.
    #[must_use]
    pub const fn whole(&self) -> &Whole {
        &self.whole
    }

    /// Puts accepted changes in force, those that are not known yet; tells whether any was new.
    ///
    /// # Errors
    /// Tells that changes are missing in between. Those before the gap are in force then.
    pub fn take_changes(&mut self, entries: &[Entry]) -> Result<bool, DeltaError> {
        let mut taken = false;
        let mut result = Ok(());
        for entry in entries {
            match self.whole.apply(entry) {
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
    pub fn take_whole(&mut self, whole: Whole) -> bool {
        if self.version().is_some_and(|v| whole.snapshot.version <= v) {
            return false;
        }
        self.whole = whole;
        self.kept.clear();
        self.put_in_force();
        true
    }

    /// What a peer at `version` needs to come up to date.
    #[must_use]
    pub fn since(&self, version: ConfigVersion) -> Update {
        let have = self.whole.snapshot.version;
        let oldest = self.kept.front().map_or(have + 1, |e| e.version);
        if version + 1 >= oldest {
            let newer = self.kept.iter().filter(|e| e.version > version);
            return Update::Changes(newer.cloned().collect());
        }
        Update::Whole(self.whole.snapshot.clone(), self.whole.changed.clone())
    }

    fn keep(&mut self, entry: &Entry) {
        self.kept.push_back(entry.clone());
        if self.kept.len() > KEPT_CHANGES {
            self.kept.pop_front();
        }
    }

    fn put_in_force(&mut self) {
        let snapshot = self.whole.snapshot.clone();
        if let Some(before) = &self.current {
            let (old, new) = (before.snapshot.version, snapshot.version);
            assert!(
                new > old,
                "configuration {new} would replace {old}: an accepted configuration never reverts"
            );
        }
        let in_force = Box::new(Rules::new(&snapshot));
        self.current = Some(Arc::new(Current { snapshot, in_force }));
    }
}
