//! A cache of one topic of the store, for this instance and for those that follow the topic here
//! instead of at the store.
//!
//! The cache always holds the state of the topic at some version of the store, and never goes back
//! to an earlier version.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender, bounded};
use parking_lot::{Mutex, MutexGuard};
use timer::{Timer, boot_time};
use types::Moment;

use crate::instances::wire::{Row, TopicUpdate};

/// How long deleted rows are remembered. A follower that is further behind gets a full update.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(30);

/// The cached state.
#[derive(Debug, Default)]
struct Rows {
    /// All rows, including those remembered as deleted.
    rows: BTreeMap<Arc<str>, Row>,
    /// When each deleted row was deleted.
    deleted_at: BTreeMap<Arc<str>, Moment>,
    /// The store version of this state.
    version: u64,
    /// The version after which all deletions are remembered.
    history_start: u64,
    /// When the last read that confirmed this state was sent.
    confirmed_at: Option<Moment>,
    /// This instance has no source at present.
    source_lost: bool,
    /// Woken by any change or confirmation.
    waiters: Vec<Sender<()>>,
}

/// The cached rows of one topic.
#[derive(Debug, Default)]
pub struct TopicCache {
    rows: Mutex<Rows>,
}

impl TopicCache {
    /// An empty cache.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The cached version, if there is one.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
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
        wake(rows);
        changed
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
    pub fn history_start(&self) -> u64 {
        self.rows.lock().history_start
    }

    /// The changes since version `after`, or a full update if they are not cached; and when the
    /// read that confirmed them was sent. None if the cache is empty.
    #[must_use]
    pub fn update_since(&self, after: Option<u64>) -> Option<(TopicUpdate, Moment)> {
        let rows = self.rows.lock();
        let confirmed_at = rows.confirmed_at?;
        let since = after.filter(|after| *after >= rows.history_start && *after <= rows.version);
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
    changed.extend(update.rows.iter().filter(|row| is_new(rows, row)).cloned());
    insert(rows, &changed);
    rows.version = update.version;
    // A full update does not contain earlier deletions. A follower that is further behind would
    // never get those, so it needs a full update.
    rows.history_start = update.version;
    changed
}

fn apply_changes(rows: &mut Rows, update: &TopicUpdate) -> Vec<Row> {
    // Changes that begin after the cached version would leave a gap.
    if update.after > rows.version || update.version < rows.version {
        return Vec::new();
    }
    let changed: Vec<Row> = update
        .rows
        .iter()
        .filter(|row| is_new(rows, row))
        .cloned()
        .collect();
    insert(rows, &changed);
    rows.version = update.version;
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
