//! Caches of instances that follow a store and one another, while the store comes back from older
//! copies. A model without network: answers come late, are lost, or are of an earlier era.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use front::{Row, TopicUpdate, store::topic_cache::TopicCache};
use proptest::prelude::*;
use types::StoreVersion;

const SECOND: Duration = Duration::from_secs(1);

/// The store: its rows, with the numbers that wrote them.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    number: u64,
    rows: BTreeMap<u8, (Option<u8>, u64)>,
}

impl Store {
    fn write(&mut self, key: u8, value: Option<u8>) {
        self.number += 1;
        self.rows.insert(key, (value, self.number));
    }

    fn row(&self, key: u8) -> Row {
        let (value, number) = self.rows[&key];
        Row {
            key: format!("k{key}").into(),
            value: value.map(|value| Arc::from([value])),
            version: StoreVersion::new(self.era, number),
        }
    }

    fn version(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.number)
    }

    fn state(&self) -> Values {
        let all = self.rows.keys().map(|key| self.row(*key));
        let existing = all.filter(|row| row.value.is_some());
        existing.map(|row| (row.key, row.value)).collect()
    }

    /// What a call of an instance that knows a version gets: changes, or all rows if the store has no
    /// changes since that version.
    fn answer(&self, after: Option<StoreVersion>) -> TopicUpdate {
        let after = after.filter(|after| after.era == self.era && after.number <= self.number);
        let all = self.rows.keys().map(|key| self.row(*key));
        let rows = match after {
            Some(after) => all.filter(|row| row.version > after).collect(),
            None => all.filter(|row| row.value.is_some()).collect(),
        };
        TopicUpdate {
            rows,
            version: self.version(),
            after: after.unwrap_or_default(),
            is_full: after.is_none(),
        }
    }
}

/// The values of existing rows.
type Values = BTreeMap<Arc<str>, Option<Arc<[u8]>>>;

/// The version and the rows of a cache.
fn cached(cache: &TopicCache) -> Option<(StoreVersion, Values)> {
    let (update, _) = cache.update_since(None)?;
    let rows = update.rows.into_iter().map(|row| (row.key, row.value));
    Some((update.version, rows.collect()))
}

/// A step of the model; numbers select instances and earlier states.
#[derive(Clone, Debug)]
enum Step {
    Write(u8, Option<u8>),
    /// The store comes back from a copy of so many states before.
    Restore(u8),
    /// An instance asks the store; the answer arrives at once.
    Ask(u8),
    /// An instance gets an answer that the store gave so many states before.
    LateAnswer(u8, u8),
    /// An instance asks another one.
    AskPeer(u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..5_u8, prop::option::of(any::<u8>())).prop_map(|(k, v)| Step::Write(k, v)),
        1 => (1..8_u8).prop_map(Step::Restore),
        3 => (0..3_u8).prop_map(Step::Ask),
        2 => (0..3_u8, 0..12_u8).prop_map(|(i, back)| Step::LateAnswer(i, back)),
        4 => (0..3_u8, 0..3_u8).prop_map(|(i, peer)| Step::AskPeer(i, peer)),
    ]
}

proptest! {
    /// Guards against state of two eras in one cache, against an earlier era that overrules a later
    /// one, and against changes that a follower misses because numbers are given out again.
    #[test]
    fn caches_hold_a_state_of_the_store_and_never_go_back_to_an_earlier_era(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut store = Store { era: 1, ..Store::default() };
        // Every state that the store ever had, in the order of time.
        let mut past = vec![store.clone()];
        let caches = [TopicCache::new(), TopicCache::new(), TopicCache::new()];
        let mut now = SECOND;
        for step in steps {
            now += SECOND;
            let before: Vec<_> = caches.iter().map(TopicCache::version).collect();
            match step {
                Step::Write(key, value) => store.write(key, value),
                Step::Restore(back) => {
                    let era = store.era + 1;
                    store = past[past.len().saturating_sub(1 + usize::from(back))].clone();
                    store.era = era;
                }
                Step::Ask(instance) => {
                    let cache = &caches[usize::from(instance)];
                    cache.apply(&store.answer(cache.version()), now);
                    prop_assert_eq!(cached(cache), Some((store.version(), store.state())));
                }
                Step::LateAnswer(instance, back) => {
                    let cache = &caches[usize::from(instance)];
                    let old = &past[past.len().saturating_sub(1 + usize::from(back))];
                    cache.apply(&old.answer(cache.version()), now - SECOND);
                }
                Step::AskPeer(instance, peer) => {
                    let (cache, peer) = (&caches[usize::from(instance)], &caches[usize::from(peer)]);
                    if let Some((update, confirmed_at)) = peer.update_since(cache.version()) {
                        cache.apply(&update, confirmed_at);
                    }
                }
            }
            past.push(store.clone());
            for (cache, before) in caches.iter().zip(before) {
                prop_assert!(cache.version() >= before);
                if let Some((version, rows)) = cached(cache) {
                    let is_state = past
                        .iter()
                        .any(|it| it.version() == version && it.state() == rows);
                    prop_assert!(is_state, "{version}: {rows:?}");
                }
            }
        }
    }
}

/// Guards against full updates for all followers after a restore: the rows that differ are enough.
#[test]
fn a_follower_gets_only_what_differs_in_the_later_era() {
    let mut store = Store {
        era: 1,
        ..Store::default()
    };
    for key in 0..100 {
        store.write(key, Some(1));
    }
    let copy = store.clone();
    store.write(7, Some(2));
    let (reader, follower) = (TopicCache::new(), TopicCache::new());
    reader.apply(&store.answer(None), SECOND);
    follower.apply(&store.answer(None), SECOND);
    let mut restored = Store { era: 2, ..copy };
    restored.write(8, Some(3));
    reader.apply(&restored.answer(reader.version()), 2 * SECOND);
    let (update, _) = reader.update_since(follower.version()).expect("an update");
    assert!(!update.is_full);
    assert_eq!(update.rows.len(), 2, "the lost change and the new one");
    follower.apply(&update, 2 * SECOND);
    assert_eq!(cached(&follower), cached(&reader));
    assert_eq!(
        cached(&follower),
        Some((restored.version(), restored.state()))
    );
}
