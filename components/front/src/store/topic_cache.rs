//! The rows of one topic of the store, as this instance knows them: for itself, and for other
//! instances that follow the topic here in place of the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender, bounded};
use parking_lot::{Mutex, MutexGuard};
use timer::{Timer, boot_time};
use types::Moment;

use crate::instances::wire::{Row, TopicUpdate};

/// How long it is remembered that a row was dropped. One who follows from further back is told
/// everything anew.
const DROPPED_FOR: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<Arc<str>, Row>,
    /// When dropped rows were dropped.
    dropped: BTreeMap<Arc<str>, Moment>,
    /// Changes up to here are in.
    version: u64,
    /// Drops up to here may have been forgotten.
    forgotten: u64,
    /// When the read was sent that confirmed it last.
    read: Option<Moment>,
    /// This instance has no source at present.
    lost: bool,
    waiting: Vec<Sender<()>>,
}

/// The rows of one topic.
#[derive(Debug, Default)]
pub struct TopicCache {
    rows: Mutex<Rows>,
}

impl TopicCache {
    /// Knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Where to go on following, if anything is known.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        let rows = self.rows.lock();
        rows.read.map(|_| rows.version)
    }

    /// When the read was sent that confirmed it last.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Moment> {
        self.rows.lock().read
    }

    /// Takes news that was true at `read`; tells which rows it changed. Older news changes
    /// nothing, whoever brings it: knowledge never goes back.
    pub fn apply(&self, news: &TopicUpdate, read: Moment) -> Vec<Row> {
        let mut rows = self.rows.lock();
        let changed = if news.is_full {
            take_whole(&mut rows, news)
        } else {
            take_changes(&mut rows, news)
        };
        let fits = rows.version == news.version;
        if fits {
            rows.read = rows.read.max(Some(read));
        }
        forget_dropped(&mut rows);
        wake(rows);
        changed
    }

    /// Notes whether this instance has no source. Nobody is kept waiting for news that it would be
    /// the last to hear.
    pub fn set_source_lost(&self, lost: bool) {
        let mut rows = self.rows.lock();
        if rows.lost != lost {
            rows.lost = lost;
            wake(rows);
        }
    }

    /// Whether this instance has no source.
    #[must_use]
    pub fn is_source_lost(&self) -> bool {
        self.rows.lock().lost
    }

    /// The version since which all changes can be told from here; to one who asks from further back
    /// everything would have to be told.
    #[must_use]
    pub fn history_start(&self) -> u64 {
        self.rows.lock().forgotten
    }

    /// What has changed since a version, or everything; and when the read was sent that
    /// confirmed it.
    #[must_use]
    pub fn update_since(&self, after: Option<u64>) -> Option<(TopicUpdate, Moment)> {
        let rows = self.rows.lock();
        let read = rows.read?;
        let since = after.filter(|after| *after >= rows.forgotten && *after <= rows.version);
        let list = rows.rows.values();
        let chosen: Vec<Row> = match since {
            Some(after) => list.filter(|row| row.version > after).cloned().collect(),
            None => list.filter(|row| row.value.is_some()).cloned().collect(),
        };
        let news = TopicUpdate {
            rows: chosen,
            version: rows.version,
            after: since.unwrap_or_default(),
            is_full: since.is_none(),
        };
        Some((news, read))
    }

    /// Waits until the cache was confirmed or changed, or lost its source, at most this long.
    pub async fn wait_for_change(&self, limit: Duration) {
        let rx = self.waiter();
        // Whether it was confirmed or not, the one who waits gets what there is.
        let _ = Timer::new().within(limit, rx.recv()).await;
    }

    fn waiter(&self) -> Receiver<()> {
        let (tx, rx) = bounded(1);
        self.rows.lock().waiting.push(tx);
        rx
    }
}

fn wake(mut rows: MutexGuard<'_, Rows>) {
    let waiting = std::mem::take(&mut rows.waiting);
    drop(rows);
    for waiter in waiting {
        // Fails only where the one who waited has gone.
        let _ = waiter.try_send(());
    }
}

fn take_whole(rows: &mut Rows, news: &TopicUpdate) -> Vec<Row> {
    if news.version < rows.version {
        return Vec::new();
    }
    let named: BTreeMap<&str, &Row> = news.rows.iter().map(|row| (&*row.key, row)).collect();
    let mut changed: Vec<Row> = Vec::new();
    for row in rows.rows.values() {
        if row.value.is_some() && !named.contains_key(&*row.key) {
            changed.push(Row {
                value: None,
                version: news.version,
                key: Arc::clone(&row.key),
            });
        }
    }
    changed.extend(news.rows.iter().filter(|row| is_new(rows, row)).cloned());
    put(rows, &changed);
    rows.version = news.version;
    // A whole read does not tell what was dropped before it. One who follows from further back
    // would never hear of those drops, and must be told everything.
    rows.forgotten = news.version;
    changed
}

fn take_changes(rows: &mut Rows, news: &TopicUpdate) -> Vec<Row> {
    // From further on than what is known: something between would be missed.
    if news.after > rows.version || news.version < rows.version {
        return Vec::new();
    }
    let changed: Vec<Row> = news
        .rows
        .iter()
        .filter(|row| is_new(rows, row))
        .cloned()
        .collect();
    put(rows, &changed);
    rows.version = news.version;
    changed
}

fn is_new(rows: &Rows, row: &Row) -> bool {
    let known = rows.rows.get(&row.key);
    known.is_none_or(|known| known.version < row.version && *known != *row)
}

fn put(rows: &mut Rows, changed: &[Row]) {
    let now = boot_time();
    for row in changed {
        if row.value.is_none() {
            rows.dropped.insert(Arc::clone(&row.key), now);
        } else {
            rows.dropped.remove(&row.key);
        }
        rows.rows.insert(Arc::clone(&row.key), row.clone());
    }
}

fn forget_dropped(rows: &mut Rows) {
    let oldest = boot_time().saturating_sub(DROPPED_FOR);
    let due: Vec<Arc<str>> = rows
        .dropped
        .iter()
        .filter(|(_, at)| **at < oldest)
        .map(|(key, _)| Arc::clone(key))
        .collect();
    for key in due {
        rows.dropped.remove(&key);
        if let Some(row) = rows.rows.remove(&key) {
            rows.forgotten = rows.forgotten.max(row.version);
        }
    }
}
