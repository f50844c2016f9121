//! Updates in any order: what is in force only goes forward.

use std::time::Duration;

use config::{
    HistoryEntry, Override,
    cache::{ConfigCache, VersionedTree},
};
use proptest::prelude::*;

use crate::common::{change, service};

const VERSIONS: u64 = 12;

/// The one true history.
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

fn whole_at(version: u64) -> VersionedTree {
    let mut whole = VersionedTree::default();
    for entry in history().iter().filter(|e| e.version <= version) {
        whole.apply(entry).expect("the next one");
    }
    whole
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
    // A peer of another version, or one with a fault, asks for or sends numbers that make no
    // sense. The instance that reads them must go on.
    #[test]
    fn no_number_of_a_peer_makes_an_instance_panic(
        asked in prop_oneof![Just(u64::MAX), any::<u64>(), 0..20_u64],
        sent in prop_oneof![Just(u64::MAX), any::<u64>(), 0..20_u64],
        left in any::<u64>(),
    ) {
        let mut held = ConfigCache::default();
        prop_assert!(held.take_whole(whole_at(5)));
        let mut strange = history();
        for entry in &mut strange {
            entry.version = sent.wrapping_add(entry.version);
        }
        // Whether they fit depends on the numbers.
        let _ = held.take_changes(&strange);
        let mut last = whole_at(6);
        last.snapshot.version = sent;
        held.take_whole(last);
        let order = Override {
            data_centre: "d".into(),
            out: true,
            sequence: sent,
            issued_by: "peer".into(),
            operator: "operator".into(),
            base_version: sent,
            time_left: Duration::from_secs(left),
        };
        held.take_overrides(&[order], Duration::from_secs(1));
        let next = held.overrides().next_number("d");
        prop_assert!(next >= 1);
        if let config::Update::Changes(entries) = held.since(asked) {
            prop_assert!(entries.iter().all(|e| e.version > asked));
        }
        prop_assert!(held.version() >= Some(5));
    }

    // Peers that were paused or are behind send old trees and old changes, with gaps and twice. A
    // user would notice a workspace or a data centre that is back as it was before.
    #[test]
    fn no_order_of_updates_takes_the_configuration_back(
        updates in prop::collection::vec(update(), 1..30),
    ) {
        let history = history();
        let mut held = ConfigCache::default();
        for update in updates {
            let before = held.version();
            match update {
                Update::Changes(after, count) => {
                    let some: Vec<HistoryEntry> = history
                        .iter()
                        .filter(|e| e.version > after && e.version <= after + count)
                        .cloned()
                        .collect();
                    // A gap is told to the caller, and nothing behind it is applied.
                    let gap = held.take_changes(&some).is_err();
                    let have = before.unwrap_or(0);
                    prop_assert_eq!(gap, !some.is_empty() && after > have);
                }
                Update::Full(version) => {
                    let newer = before.is_none_or(|have| version > have);
                    prop_assert_eq!(held.take_whole(whole_at(version)), newer);
                }
            }
            prop_assert!(held.version() >= before);
            let expected = whole_at(held.version().unwrap_or(0));
            prop_assert_eq!(&*held.whole(), &expected);
            let in_force = held.current().map(|current| current.effective.version());
            prop_assert_eq!(in_force, held.version());
        }
    }
}
