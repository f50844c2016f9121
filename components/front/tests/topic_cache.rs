//! The cache of a topic: which updates it applies, and which it passes on.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use front::{Row, TopicUpdate, store::topic_cache::TopicCache};
use proptest::prelude::*;
use types::StoreVersion;

const SECOND: Duration = Duration::from_secs(1);

/// A version of the first era.
const fn v(number: u64) -> StoreVersion {
    StoreVersion::new(1, number)
}

fn row(key: &str, value: Option<&str>, version: u64) -> Row {
    row_at(key, value, v(version))
}

fn row_at(key: &str, value: Option<&str>, version: StoreVersion) -> Row {
    Row {
        key: key.into(),
        value: value.map(|text| text.as_bytes().into()),
        version,
    }
}

fn full(version: u64, rows: Vec<Row>) -> TopicUpdate {
    TopicUpdate {
        rows,
        version: v(version),
        after: v(0),
        is_full: true,
    }
}

fn changes(after: u64, version: u64, rows: Vec<Row>) -> TopicUpdate {
    TopicUpdate {
        rows,
        version: v(version),
        after: v(after),
        is_full: false,
    }
}

#[test]
fn a_full_update_deletes_the_rows_that_it_does_not_contain() {
    let cache = TopicCache::new();
    cache.apply(
        &full(5, vec![row("a", Some("1"), 3), row("b", Some("2"), 5)]),
        SECOND,
    );
    let changed = cache.apply(&full(9, vec![row("b", Some("2"), 5)]), 2 * SECOND);
    assert_eq!(changed, [row("a", None, 9)]);
    assert_eq!(cache.version(), Some(v(9)));
}

/// A reader has all rows as of version 9, and a follower is at version 7. The reader does not know
/// the deletions in between, and full updates for a hundred followers would saturate a narrow link
/// for seconds. So the history must start at version 9.
#[test]
fn the_history_starts_with_the_last_full_update() {
    let cache = TopicCache::new();
    cache.apply(&full(9, vec![row("a", Some("1"), 3)]), SECOND);
    cache.apply(&changes(9, 12, vec![row("b", Some("2"), 12)]), 2 * SECOND);
    assert_eq!(cache.history_start(), v(9));
}

/// After a lost answer, changes may begin after the cached version. If they were applied, a row
/// that changed in between, such as a revoked key, would never be updated.
#[test]
fn changes_after_a_gap_are_ignored() {
    let cache = TopicCache::new();
    cache.apply(&full(5, vec![row("a", Some("1"), 3)]), SECOND);
    let changed = cache.apply(&changes(7, 8, vec![row("b", Some("2"), 8)]), 2 * SECOND);
    assert!(changed.is_empty());
    assert_eq!(cache.version(), Some(v(5)));
    // The update does not confirm the cached version either.
    assert_eq!(cache.confirmed_at(), Some(SECOND));
}

/// A peer that is behind may answer after one that is current.
#[test]
fn an_older_update_changes_and_confirms_nothing() {
    let cache = TopicCache::new();
    cache.apply(&full(9, vec![row("a", Some("new"), 9)]), SECOND);
    let changed = cache.apply(&full(4, vec![row("a", Some("old"), 4)]), 5 * SECOND);
    assert!(changed.is_empty());
    assert_eq!(cache.confirmed_at(), Some(SECOND));
}

#[test]
fn an_update_contains_what_the_follower_lacks() {
    let cache = TopicCache::new();
    assert!(cache.update_since(None).is_none());
    cache.apply(&full(5, vec![row("a", Some("1"), 3)]), SECOND);
    cache.apply(&changes(5, 6, vec![row("b", Some("2"), 6)]), 2 * SECOND);
    let (update, confirmed_at) = cache.update_since(Some(v(5))).expect("an update");
    assert_eq!(update, changes(5, 6, vec![row("b", Some("2"), 6)]));
    assert_eq!(confirmed_at, 2 * SECOND);
    let (update, _) = cache.update_since(None).expect("an update");
    assert!(update.is_full);
    assert_eq!(update.rows.len(), 2);
    // A follower may be ahead of this instance if the store was reset; it gets a full update.
    let (update, _) = cache.update_since(Some(v(70))).expect("an update");
    assert!(update.is_full);
}

/// The history of a table: for each version, the key that was written or deleted.
type History = Vec<(u8, Option<u8>)>;

/// The rows as of a version, including deleted ones.
fn state(history: &History, version: usize) -> BTreeMap<Arc<str>, Row> {
    let mut rows = BTreeMap::new();
    for (at, (key, value)) in history.iter().take(version).enumerate() {
        let key: Arc<str> = format!("k{key}").into();
        let text = value.map(|v| v.to_string());
        let version = u64::try_from(at + 1).expect("a small number");
        rows.insert(Arc::clone(&key), row(&key, text.as_deref(), version));
    }
    rows
}

proptest! {
    /// Two instances follow the store and each other in any order, from any version, with full
    /// updates and with changes. Each cache always equals the store's state at the cached version.
    #[test]
    fn a_cache_equals_the_state_at_its_version_and_never_goes_back(
        history in prop::collection::vec((0..5_u8, prop::option::of(any::<u8>())), 1..25),
        steps in prop::collection::vec((0..4_u8, any::<prop::sample::Index>(), any::<bool>()), 1..40),
    ) {
        let caches = [TopicCache::new(), TopicCache::new()];
        let mut read = SECOND;
        for (step, at, first) in steps {
            read += SECOND;
            let number = usize::from(first);
            let (own, other) = (&caches[number], &caches[1 - number]);
            let before = own.version();
            let now = at.index(history.len()) + 1;
            let version = u64::try_from(now).expect("a small number");
            let rows = state(&history, now);
            match step {
                0 => {
                    let all = rows.into_values().filter(|row| row.value.is_some()).collect();
                    own.apply(&full(version, all), read);
                }
                1 | 2 => {
                    let after = before.map_or(0, |before| before.number).min(version);
                    let new = rows.into_values().filter(|row| row.version > v(after)).collect();
                    own.apply(&changes(after, version, new), read);
                }
                _ => {
                    if let Some((update, confirmed_at)) = other.update_since(own.version()) {
                        own.apply(&update, confirmed_at);
                    }
                }
            }
            prop_assert!(own.version() >= before);
            if let Some((update, _)) = own.update_since(None) {
                let at = usize::try_from(update.version.number).expect("a small number");
                let known: BTreeMap<Arc<str>, Option<Arc<[u8]>>> =
                    update.rows.into_iter().map(|row| (row.key, row.value)).collect();
                let expected: BTreeMap<Arc<str>, Option<Arc<[u8]>>> = state(&history, at)
                    .into_values()
                    .filter(|row| row.value.is_some())
                    .map(|row| (row.key, row.value))
                    .collect();
                prop_assert_eq!(known, expected);
            }
        }
    }
}

/// An instance that loses its source must not keep its followers waiting, since it would be the
/// last to get changes.
#[test]
fn waiting_followers_are_woken_when_the_source_is_lost() {
    smol::block_on(async {
        let cache = Arc::new(TopicCache::new());
        let waiter = {
            let cache = Arc::clone(&cache);
            smol::spawn(async move { cache.wait_for_change(Duration::from_secs(60)).await })
        };
        // A wake-up before the task waits has no effect, so it is repeated.
        while !waiter.is_finished() {
            cache.set_source_lost(true);
            cache.set_source_lost(false);
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    });
}
