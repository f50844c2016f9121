//! Updates applied to the cache in any order: the version never decreases.

use std::time::Duration;

use config::{
    HistoryEntry, Override,
    cache::{ConfigCache, VersionedTree},
};
use proptest::prelude::*;

use crate::common::{change, service};

const VERSIONS: u64 = 12;

/// All accepted changes up to `VERSIONS`, in order.
fn history() -> Vec<HistoryEntry> {
    let entry = |version: u64| {
        let path = format!("/services/s{}", version % 3);
        let node = if version.is_multiple_of(5) {
            None
        } else {
            service(version)
        };
        HistoryEntry {
            version,
            at: std::time::SystemTime::UNIX_EPOCH,
            change: change(&path, node, None),
            id: version.to_string().into(),
        }
    };
    (1..=VERSIONS).map(entry).collect()
}

fn tree_at(version: u64) -> VersionedTree {
    let mut tree = VersionedTree::default();
    for entry in history().iter().filter(|e| e.version <= version) {
        tree.apply(entry).expect("the next one");
    }
    tree
}

#[derive(Clone, Debug)]
enum Update {
    Changes(u64, u64),
    Full(u64),
}

fn update() -> impl Strategy<Value = Update> {
    prop_oneof![
        (0..VERSIONS, 1..5_u64).prop_map(|(after, count)| Update::Changes(after, count)),
        (0..=VERSIONS).prop_map(Update::Full),
    ]
}

proptest! {
    // A peer with another program version, or a faulty one, sends numbers out of any range. The
    // instance that receives them must not crash.
    #[test]
    fn no_number_from_a_peer_causes_a_panic(
        requested in prop_oneof![Just(u64::MAX), any::<u64>(), 0..20_u64],
        sent in prop_oneof![Just(u64::MAX), any::<u64>(), 0..20_u64],
        left in any::<u64>(),
    ) {
        let mut cache = ConfigCache::default();
        prop_assert!(cache.replace_tree(tree_at(5)));
        let mut invalid = history();
        for entry in &mut invalid {
            entry.version = sent.wrapping_add(entry.version);
        }
        // Depending on the numbers, they apply or are rejected.
        let _ = cache.apply_changes(&invalid);
        let mut last = tree_at(6);
        last.snapshot.version = sent;
        cache.replace_tree(last);
        let order = Override {
            data_centre: "d".into(),
            out: true,
            sequence: sent,
            issued_by: "peer".into(),
            operator: "operator".into(),
            base_version: sent,
            time_left: Duration::from_secs(left),
        };
        cache.apply_overrides(&[order], Duration::from_secs(1));
        let next = cache.overrides().next_sequence("d");
        prop_assert!(next >= 1);
        if let config::Update::Changes(entries) = cache.since(requested) {
            prop_assert!(entries.iter().all(|e| e.version > requested));
        }
        prop_assert!(cache.version() >= Some(5));
    }

    // Peers that were paused or are behind send old trees and old changes, with gaps and more than
    // once. Applying one of them would bring back a workspace or a data centre as it was before.
    #[test]
    fn no_order_of_updates_reverts_the_configuration(
        updates in prop::collection::vec(update(), 1..30),
    ) {
        let history = history();
        let mut cache = ConfigCache::default();
        for update in updates {
            let before = cache.version();
            match update {
                Update::Changes(after, count) => {
                    let some: Vec<HistoryEntry> = history
                        .iter()
                        .filter(|e| e.version > after && e.version <= after + count)
                        .cloned()
                        .collect();
                    // A gap is reported to the caller, and no change after it is applied.
                    let gap = cache.apply_changes(&some).is_err();
                    let have = before.unwrap_or(0);
                    prop_assert_eq!(gap, !some.is_empty() && after > have);
                }
                Update::Full(version) => {
                    let newer = before.is_none_or(|have| version > have);
                    prop_assert_eq!(cache.replace_tree(tree_at(version)), newer);
                }
            }
            prop_assert!(cache.version() >= before);
            let expected = tree_at(cache.version().unwrap_or(0));
            prop_assert_eq!(&*cache.tree(), &expected);
            let effective = cache.current().map(|current| current.effective.version());
            prop_assert_eq!(effective, cache.version());
        }
    }
}
