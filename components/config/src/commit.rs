//! Commits one change. Of racing changes exactly one wins, and a lost answer is resolved.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use stores::{PlatformError, Write};
use timer::Timer;
use tree::{Snapshot, check};
use types::ConfigVersion;

use crate::{
    api::{Change, ChangeError, Fault, HistoryEntry},
    cache::VersionedTree,
    store::Store,
};

/// Attempts of a change that loses against changes of other nodes.
const MAX_ATTEMPTS: usize = 8;
/// Time spent on resolving a lost answer.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// First pause between two attempts to resolve a lost answer; it doubles each time.
const RESOLVE_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two attempts to resolve a lost answer.
const MAX_RESOLVE_PAUSE: Duration = Duration::from_millis(500);

/// Result of one attempt to commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The change is accepted.
    Accepted,
    /// Another change was accepted under this version.
    Superseded,
}

/// Validates the tree as it would be after a change.
///
/// # Errors
/// All faults that the change would add, and all faults of the changed node itself. Faults that
/// exist elsewhere must not keep an operator from changing something else.
pub fn validate(tree: &VersionedTree, change: &Change) -> Result<(), Vec<Fault>> {
    let mut next: Snapshot = tree.snapshot.clone();
    next.write(&change.path, change.node.as_ref());
    let before = check(&tree.snapshot);
    let mut faults = check(&next);
    faults.retain(|fault| !before.contains(fault) || is_at(fault, &change.path));
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

fn is_at(fault: &Fault, path: &str) -> bool {
    let remainder = fault.path.strip_prefix(path);
    remainder.is_some_and(|remainder| remainder.is_empty() || remainder.starts_with('#'))
}

/// Checks that the node was not changed since the operator read it.
///
/// # Errors
/// A conflict with the version that last wrote the node.
pub fn check_expected_version(tree: &VersionedTree, change: &Change) -> Result<(), ChangeError> {
    let now = tree.node_versions.get(&change.path).copied();
    if now == change.expected_version {
        Ok(())
    } else {
        Err(ChangeError::Conflict { now })
    }
}

/// Builds the history entry for a change that would create `version`.
#[must_use]
pub fn new_entry(version: ConfigVersion, change: &Change, id: Arc<str>) -> HistoryEntry {
    HistoryEntry {
        version,
        at: SystemTime::now(),
        change: change.clone(),
        id,
    }
}

/// Number of attempts for one change.
#[must_use]
pub const fn max_attempts() -> usize {
    MAX_ATTEMPTS
}

/// Tries to commit `entry` as the newest change.
///
/// # Errors
/// `StoreUnavailable` if the change was certainly not accepted, `Unknown` if that can't be
/// determined.
pub async fn try_commit(
    store: &Store,
    timer: &Timer,
    entry: &HistoryEntry,
) -> Result<Attempt, ChangeError> {
    let writes = match store.prepare_writes(entry).await {
        Ok(writes) => writes,
        Err(PlatformError::Conflict) => return Ok(Attempt::Superseded),
        Err(_) => return Err(ChangeError::StoreUnavailable),
    };
    match store.commit(&writes).await {
        Ok(()) => Ok(Attempt::Accepted),
        Err(PlatformError::Conflict) => Ok(Attempt::Superseded),
        Err(PlatformError::Busy { .. } | PlatformError::Unavailable { .. }) => {
            Err(ChangeError::StoreUnavailable)
        }
        Err(PlatformError::Unknown { .. } | PlatformError::Malformed { .. }) => {
            resolve_unknown(store, timer, entry, &writes).await
        }
    }
}

/// Determines the outcome of a commit whose answer was lost.
///
/// Reading the row back is not enough: a commit that is still in flight would be taken for lost,
/// the operator would be told so, and it could still take effect afterwards. Committing the same
/// writes again closes this gap: whichever of the two arrives first makes the conditions of the
/// other fail, and the id in the change row then shows whose change it was.
async fn resolve_unknown(
    store: &Store,
    timer: &Timer,
    entry: &HistoryEntry,
    writes: &[Write],
) -> Result<Attempt, ChangeError> {
    let deadline = timer.now() + RESOLVE_TIMEOUT;
    let mut pause = RESOLVE_PAUSE;
    while timer.now() < deadline {
        timer.sleep(pause).await;
        pause = (pause * 2).min(MAX_RESOLVE_PAUSE);
        match store.commit(writes).await {
            Ok(()) => return Ok(Attempt::Accepted),
            Err(PlatformError::Conflict) => {}
            Err(_) => continue,
        }
        if let Ok(Some(found)) = store.read_change(entry.version).await {
            return Ok(if found.id == entry.id {
                Attempt::Accepted
            } else {
                Attempt::Superseded
            });
        }
    }
    Err(ChangeError::Unknown)
}
