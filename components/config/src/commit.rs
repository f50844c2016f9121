//! Getting one change accepted: exactly one winner, and a lost answer is settled.

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

/// Attempts against other operators' changes of other nodes.
const ATTEMPTS: usize = 8;
/// Time spent on settling a lost answer.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// First pause between two tries to settle; it doubles.
const SETTLE_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two tries to settle.
const SETTLE_PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// What became of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The change is accepted.
    Accepted,
    /// Somebody else's change made this version.
    Overtaken,
}

/// Checks that a change fits a tree.
///
/// # Errors
/// All that is wrong with the tree as it would be and was not wrong before. Faults that stood
/// there already must not keep an operator from changing something else.
pub fn fits(whole: &VersionedTree, change: &Change) -> Result<(), Vec<Fault>> {
    let mut next: Snapshot = whole.snapshot.clone();
    next.write(&change.path, change.node.as_ref());
    let before = check(&whole.snapshot);
    let mut faults = check(&next);
    faults.retain(|fault| !before.contains(fault) || is_at(fault, &change.path));
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

fn is_at(fault: &Fault, path: &str) -> bool {
    let rest = fault.path.strip_prefix(path);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('#'))
}

/// Checks that a change still fits what the operator saw.
///
/// # Errors
/// A conflict that names the version that last wrote the node.
pub fn seen(whole: &VersionedTree, change: &Change) -> Result<(), ChangeError> {
    let now = whole.node_versions.get(&change.path).copied();
    if now == change.expected_version {
        Ok(())
    } else {
        Err(ChangeError::Conflict { now })
    }
}

/// Makes the entry that would be the next one.
#[must_use]
pub fn entry(version: ConfigVersion, change: &Change, id: Arc<str>) -> HistoryEntry {
    HistoryEntry {
        version,
        at: SystemTime::now(),
        change: change.clone(),
        id,
    }
}

/// Number of attempts that a change gets.
#[must_use]
pub const fn attempts() -> usize {
    ATTEMPTS
}

/// Tries to make `entry` the newest change.
///
/// # Errors
/// `StoreUnavailable` if it certainly was not accepted, `Unknown` if that can't be told.
pub async fn attempt(
    store: &Store,
    timer: &Timer,
    entry: &HistoryEntry,
) -> Result<Attempt, ChangeError> {
    let writes = match store.writes(entry).await {
        Ok(writes) => writes,
        Err(PlatformError::Conflict) => return Ok(Attempt::Overtaken),
        Err(_) => return Err(ChangeError::StoreUnavailable),
    };
    match store.commit(&writes).await {
        Ok(()) => Ok(Attempt::Accepted),
        Err(PlatformError::Conflict) => Ok(Attempt::Overtaken),
        Err(PlatformError::Busy { .. } | PlatformError::Unavailable { .. }) => {
            Err(ChangeError::StoreUnavailable)
        }
        Err(PlatformError::Unknown { .. } | PlatformError::Malformed { .. }) => {
            settle(store, timer, entry, &writes).await
        }
    }
}

/// Finds out what became of a commit whose answer was lost.
///
/// Reading back alone would not do: a commit that is still on its way would be taken for lost,
/// the operator told so, and it would take effect afterwards. Committing the same writes again
/// leaves no such gap: the first of the two to arrive makes the conditions of the other fail, and
/// the change row then tells by its id whose change it was.
async fn settle(
    store: &Store,
    timer: &Timer,
    entry: &HistoryEntry,
    writes: &[Write],
) -> Result<Attempt, ChangeError> {
    let end = timer.now() + SETTLE_TIME;
    let mut pause = SETTLE_PAUSE;
    while timer.now() < end {
        timer.sleep(pause).await;
        pause = (pause * 2).min(SETTLE_PAUSE_LIMIT);
        match store.commit(writes).await {
            Ok(()) => return Ok(Attempt::Accepted),
            Err(PlatformError::Conflict) => {}
            Err(_) => continue,
        }
        if let Ok(Some(found)) = store.change(entry.version).await {
            return Ok(if found.id == entry.id {
                Attempt::Accepted
            } else {
                Attempt::Overtaken
            });
        }
    }
    Err(ChangeError::Unknown)
}
