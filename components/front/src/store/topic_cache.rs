//! A cache of one topic of the store, for this instance and for those that follow the topic here
//! instead of at the store.
//!
//! The cache always holds the state of the topic at some version of the store, and never goes back
//! to an earlier version. When the store comes back from an older copy, the cache takes over the
//! state of the later era; rows that are the same there keep their versions, so that followers get
//! only those that differ.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender, bounded};
use net::{Budget, Share};
use parking_lot::{Mutex, MutexGuard};
use timer::{Timer, boot_time};
use types::{Moment, StoreVersion};

use crate::instances::wire::{Row, TopicUpdate};

/// How long deleted rows are remembered. A follower that is further behind gets a full update.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(30);

/// The versions of one era between which all changes are cached. A follower at another version of that
/// era has rows, or lacks deletions, of which this cache knows nothing.
#[derive(Clone, Copy, Debug)]
struct CachedEra {
    first: StoreVersion,
    /// The version at which the era was left; none if it is the current one.
    last: Option<StoreVersion>,
}

/// The cached state.
#[derive(Debug, Default)]
struct Rows {
    /// All rows, including those remembered as deleted.
    rows: BTreeMap<Arc<str>, Row>,
    /// When each deleted row was deleted.
    deleted_at: BTreeMap<Arc<str>, Moment>,
    /// The store version of this state.
    version: StoreVersion,
    /// The version after which all deletions are remembered.
    history_start: StoreVersion,
    /// The cached versions of each era since the first restore.
    eras: BTreeMap<u64, CachedEra>,
    /// When the last read that confirmed this state was sent.
    confirmed_at: Option<Moment>,
    /// This instance has no source at present.
    source_lost: bool,
    /// Woken by any change or confirmation.
    waiters: Vec<Sender<()>>,
}

impl Rows {
    /// Whether all changes since a version are cached.
    fn has_changes_since(&self, after: StoreVersion) -> bool {
        if after < self.history_start || after > self.version {
            return false;
        }
        match self.eras.get(&after.era) {
            Some(era) => after >= era.first && era.last.is_none_or(|last| after <= last),
            None => after.era == self.version.era,
        }
    }

    /// Moves to a version, and remembers where an earlier era was left.
    fn move_to(&mut self, version: StoreVersion) {
        if version.era > self.version.era {
            let left = self.version;
            let first = self.history_start;
            let era = self
                .eras
                .entry(left.era)
                .or_insert(CachedEra { first, last: None });
            era.last = Some(left);
            let entered = CachedEra {
                first: version,
                last: None,
            };
            self.eras.insert(version.era, entered);
        }
        self.version = version;
        let oldest = self.history_start.era;
        self.eras.retain(|era, _| *era >= oldest);
    }
}

/// The cached rows of one topic. Of its locks that of the rows is taken first.
#[derive(Debug, Default)]
pub struct TopicCache {
    rows: Mutex<Rows>,
    /// The memory of the rows.
    memory: Mutex<Option<Share>>,
}

impl TopicCache {
    /// An empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the budget that the rows count against.
    #[must_use]
    pub fn with_memory(mut self, memory: &Budget) -> Self {
        self.memory = Mutex::new(Some(memory.share()));
        self
    }

    /// The cached version, if there is one.
    #[must_use]
    pub fn version(&self) -> Option<StoreVersion> {
        let rows = self.rows.lock();
        rows.confirmed_at.map(|_| rows.version)
    }

    /// When the last read that confirmed the cached version was sent.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.rows.lock().confirmed_at
    }

    /// Applies an update from a read that was sent at `read_at`, and returns the rows that it
    /// changed. An update to an older version is ignored, whatever its source.
    pub fn apply(&self, update: &TopicUpdate, read_at: Moment) -> Vec<Row> {
        let mut rows = self.rows.lock();
        let changed = if update.is_full {
            apply_full(&mut rows, update)
        } else {
            apply_changes(&mut rows, update)
        };
        let is_current = rows.version == update.version;
        if is_current {
            rows.confirmed_at = rows.confirmed_at.max(Some(read_at));
        }
        expire_tombstones(&mut rows);
        if !changed.is_empty() {
            self.count_memory(&rows);
        }
        wake(rows);
        changed
    }

    /// Counts the rows. Rows for which the budget has no room are kept all the same: the instance can't serve
    /// without them, and less is then left for others.
    fn count_memory(&self, rows: &Rows) {
        if let Some(memory) = self.memory.lock().as_mut() {
            let size = rows.rows.values().map(Row::size).sum();
            // Counted again with the next change.
            let _ = memory.resize(size);
        }
    }

    /// Records whether this instance has no source, and wakes all that wait: an instance without a
    /// source should not keep its followers waiting.
    pub fn set_source_lost(&self, source_lost: bool) {
        let mut rows = self.rows.lock();
        if rows.source_lost != source_lost {
            rows.source_lost = source_lost;
            wake(rows);
        }
    }

    /// Whether this instance has no source.
    #[must_use]
    pub fn is_source_lost(&self) -> bool {
        self.rows.lock().source_lost
    }

    /// The version from which on all changes are cached. A follower that is further behind would
    /// need a full update.
    #[must_use]
    pub fn history_start(&self) -> StoreVersion {
        self.rows.lock().history_start
    }

    /// The changes since version `after`, or a full update if they are not cached; and when the
    /// read that confirmed them was sent. None if the cache is empty.
    #[must_use]
    pub fn update_since(&self, after: Option<StoreVersion>) -> Option<(TopicUpdate, Moment)> {
        let rows = self.rows.lock();
        let confirmed_at = rows.confirmed_at?;
        let since = after.filter(|after| rows.has_changes_since(*after));
        let all = rows.rows.values();
        let selected: Vec<Row> = match since {
            Some(after) => all.filter(|row| row.version > after).cloned().collect(),
            None => all.filter(|row| row.value.is_some()).cloned().collect(),
        };
        let update = TopicUpdate {
            rows: selected,
            version: rows.version,
            after: since.unwrap_or_default(),
            is_full: since.is_none(),
        };
        Some((update, confirmed_at))
    }

    /// Whether a row is cached.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        let rows = self.rows.lock();
        rows.rows.get(key).is_some_and(|row| row.value.is_some())
    }

    /// Waits until the cache is changed or confirmed, or its source is lost or back, for at most
    /// `timeout`.
    pub async fn wait_for_change(&self, timeout: Duration) {
        let rx = self.waiter();
        // After a timeout the caller uses the cache as it is.
        let _ = Timer::new().within(timeout, rx.recv()).await;
    }

    fn waiter(&self) -> Receiver<()> {
        let (tx, rx) = bounded(1);
        self.rows.lock().waiters.push(tx);
        rx
    }
}

fn wake(mut rows: MutexGuard<'_, Rows>) {
    let waiters = std::mem::take(&mut rows.waiters);
    drop(rows);
    for waiter in waiters {
        // Fails only if the waiting task was dropped.
        let _ = waiter.try_send(());
    }
}

fn apply_full(rows: &mut Rows, update: &TopicUpdate) -> Vec<Row> {
    if update.version < rows.version {
        return Vec::new();
    }
    let listed: BTreeMap<&str, &Row> = update.rows.iter().map(|row| (&*row.key, row)).collect();
    let mut changed: Vec<Row> = Vec::new();
    for row in rows.rows.values() {
        if row.value.is_some() && !listed.contains_key(&*row.key) {
            changed.push(Row {
                value: None,
                version: update.version,
                key: Arc::clone(&row.key),
            });
        }
    }
    let is_restored = rows.confirmed_at.is_some() && update.version.era > rows.version.era;
    for row in &update.rows {
        let cached = rows.rows.get(&row.key);
        let is_same = cached.is_some_and(|cached| cached.value == row.value);
        let is_later = cached.is_none_or(|cached| cached.version < row.version);
        if is_same && (is_restored || !is_later) {
            continue;
        }
        let mut row = row.clone();
        // The source may have the row with a version of an earlier era, by which followers would not
        // get it.
        if !is_later || (is_restored && row.version.era < update.version.era) {
            row.version = update.version;
        }
        changed.push(row);
    }
    insert(rows, &changed);
    if !is_restored {
        // A full update does not contain earlier deletions. A follower that is further behind would
        // never get those, so it needs a full update.
        rows.history_start = update.version;
    }
    rows.move_to(update.version);
    changed
}

fn apply_changes(rows: &mut Rows, update: &TopicUpdate) -> Vec<Row> {
    // Changes that begin after the cached version would leave a gap, and so would those of a later
    // era that begin before it: what was cached in between may not exist there.
    let leaves_gap = update.after > rows.version
        || (update.version.era > rows.version.era && update.after < rows.version);
    if leaves_gap || update.version < rows.version {
        return Vec::new();
    }
    let changed: Vec<Row> = update
        .rows
        .iter()
        .filter(|row| is_new(rows, row))
        .cloned()
        .collect();
    insert(rows, &changed);
    rows.move_to(update.version);
    changed
}

fn is_new(rows: &Rows, row: &Row) -> bool {
    let cached = rows.rows.get(&row.key);
    cached.is_none_or(|cached| cached.version < row.version && *cached != *row)
}

fn insert(rows: &mut Rows, changed: &[Row]) {
    let now = boot_time();
    for row in changed {
        if row.value.is_none() {
            rows.deleted_at.insert(Arc::clone(&row.key), now);
        } else {
            rows.deleted_at.remove(&row.key);
        }
        rows.rows.insert(Arc::clone(&row.key), row.clone());
    }
}

fn expire_tombstones(rows: &mut Rows) {
    let oldest = boot_time().saturating_sub(TOMBSTONE_RETENTION);
    let expired: Vec<Arc<str>> = rows
        .deleted_at
        .iter()
        .filter(|(_, at)| **at < oldest)
        .map(|(key, _)| Arc::clone(key))
        .collect();
    for key in expired {
        rows.deleted_at.remove(&key);
        if let Some(row) = rows.rows.remove(&key) {
            rows.history_start = rows.history_start.max(row.version);
        }
    }
}
