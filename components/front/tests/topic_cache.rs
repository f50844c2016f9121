//! Rows as they are known, and passed on from instance to instance.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use front::{Row, TopicUpdate, store::topic_cache::TopicCache};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn row(key: &str, value: Option<&str>, version: u64) -> Row {
    Row {
        key: key.into(),
        value: value.map(|text| text.as_bytes().into()),
        version,
    }
}

fn whole(version: u64, rows: Vec<Row>) -> TopicUpdate {
    TopicUpdate {
        rows,
        version,
        after: 0,
        is_full: true,
    }
}

fn changes(after: u64, version: u64, rows: Vec<Row>) -> TopicUpdate {
    TopicUpdate {
        rows,
        version,
        after,
        is_full: false,
    }
}

#[test]
fn what_a_whole_read_does_not_name_is_dropped() {
    let cache = TopicCache::new();
    cache.apply(
        &whole(5, vec![row("a", Some("1"), 3), row("b", Some("2"), 5)]),
        SECOND,
    );
    let changed = cache.apply(&whole(9, vec![row("b", Some("2"), 5)]), 2 * SECOND);
    assert_eq!(changed, [row("a", None, 9)]);
    assert_eq!(cache.version(), Some(9));
}

/// A reader has read everything at version 9, and a follower knows version 7. What was dropped between
/// the reader can't tell; told everything instead, a hundred followers fill a narrow link for seconds.
#[test]
fn a_whole_read_does_not_reach_further_back() {
    let cache = TopicCache::new();
    cache.apply(&whole(9, vec![row("a", Some("1"), 3)]), SECOND);
    cache.apply(&changes(9, 12, vec![row("b", Some("2"), 12)]), 2 * SECOND);
    assert_eq!(cache.history_start(), 9);
}

/// Changes come that begin further on than what is known, as after a lost answer. Taken, a row
/// that changed between would be missed for good, a key that was taken away, say.
#[test]
fn changes_after_a_gap_are_not_taken() {
    let cache = TopicCache::new();
    cache.apply(&whole(5, vec![row("a", Some("1"), 3)]), SECOND);
    let changed = cache.apply(&changes(7, 8, vec![row("b", Some("2"), 8)]), 2 * SECOND);
    assert!(changed.is_empty());
    assert_eq!(cache.version(), Some(5));
    // Nor does it confirm what is known.
    assert_eq!(cache.confirmed_at(), Some(SECOND));
}

/// A peer that lies behind answers after one that does not.
#[test]
fn older_news_changes_and_confirms_nothing() {
    let cache = TopicCache::new();
    cache.apply(&whole(9, vec![row("a", Some("new"), 9)]), SECOND);
    let changed = cache.apply(&whole(4, vec![row("a", Some("old"), 4)]), 5 * SECOND);
    assert!(changed.is_empty());
    assert_eq!(cache.confirmed_at(), Some(SECOND));
}

#[test]
fn news_is_what_the_asker_lacks() {
    let cache = TopicCache::new();
    assert!(cache.update_since(None).is_none());
    cache.apply(&whole(5, vec![row("a", Some("1"), 3)]), SECOND);
    cache.apply(&changes(5, 6, vec![row("b", Some("2"), 6)]), 2 * SECOND);
    let (news, read) = cache.update_since(Some(5)).expect("news");
    assert_eq!(news, changes(5, 6, vec![row("b", Some("2"), 6)]));
    assert_eq!(read, 2 * SECOND);
    let (news, _) = cache.update_since(None).expect("news");
    assert!(news.is_full);
    assert_eq!(news.rows.len(), 2);
    // One who knows more than this instance, from a store that was set back, is told everything.
    let (news, _) = cache.update_since(Some(70)).expect("news");
    assert!(news.is_full);
}

/// What a store of one table went through: for each version, the key that was written or dropped.
type History = Vec<(u8, Option<u8>)>;

/// The rows as of a version.
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
    /// Two instances follow a store and each other in any order, from any version, whole or by
    /// changes. What one knows is always exactly the store's state at the version that it names.
    #[test]
    fn knowledge_is_the_state_of_some_moment_and_never_goes_back(
        history in prop::collection::vec((0..5_u8, prop::option::of(any::<u8>())), 1..25),
        steps in prop::collection::vec((0..4_u8, any::<prop::sample::Index>(), any::<bool>()), 1..40),
    ) {
        let shelves = [TopicCache::new(), TopicCache::new()];
        let mut read = SECOND;
        for (step, at, first) in steps {
            read += SECOND;
            let number = usize::from(first);
            let (mine, other) = (&shelves[number], &shelves[1 - number]);
            let before = mine.version();
            let now = at.index(history.len()) + 1;
            let version = u64::try_from(now).expect("a small number");
            let rows = state(&history, now);
            match step {
                0 => {
                    let all = rows.into_values().filter(|row| row.value.is_some()).collect();
                    mine.apply(&whole(version, all), read);
                }
                1 | 2 => {
                    let after = before.unwrap_or_default().min(version);
                    let new = rows.into_values().filter(|row| row.version > after).collect();
                    mine.apply(&changes(after, version, new), read);
                }
                _ => {
                    if let Some((news, confirmed)) = other.update_since(mine.version()) {
                        mine.apply(&news, confirmed);
                    }
                }
            }
            prop_assert!(mine.version() >= before);
            if let Some((news, _)) = mine.update_since(None) {
                let at = usize::try_from(news.version).expect("a small number");
                let known: BTreeMap<Arc<str>, Option<Arc<[u8]>>> =
                    news.rows.into_iter().map(|row| (row.key, row.value)).collect();
                let want: BTreeMap<Arc<str>, Option<Arc<[u8]>>> = state(&history, at)
                    .into_values()
                    .filter(|row| row.value.is_some())
                    .map(|row| (row.key, row.value))
                    .collect();
                prop_assert_eq!(known, want);
            }
        }
    }
}

/// An instance that has lost its source kept those that follow it waiting for news that it would be
/// the last to hear.
#[test]
fn who_waits_is_woken_when_the_source_is_lost() {
    smol::block_on(async {
        let cache = Arc::new(TopicCache::new());
        let waiter = {
            let cache = Arc::clone(&cache);
            smol::spawn(async move { cache.wait_for_change(Duration::from_secs(60)).await })
        };
        // Until it waits, a wake-up would pass unheard.
        while !waiter.is_finished() {
            cache.set_source_lost(true);
            cache.set_source_lost(false);
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    });
}
