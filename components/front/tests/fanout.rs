//! The tree through which changes spread: which instances follow which, the traffic between data
//! centres, and how old the state of instances gets while some fail or lose the store.

use std::{collections::BTreeMap, sync::Arc};

use front::store::{
    fanout::{Role, TreePosition, position},
    sources::STORE_WAIT,
};
use proptest::prelude::*;
use types::millis;

use crate::followers::{DATA_CENTRES, Illness, STEP, Simulation, name, number, ranking};

mod followers;

fn positions(count: usize) -> Vec<TreePosition> {
    let position_of = |me| position(&name(me), &ranking(me, count, |_| true), me % 2 == 0);
    (0..count).map(position_of).collect()
}

/// If hundreds of instances followed the two readers directly, each change would enter a data
/// centre once per instance in it.
#[test]
fn changes_enter_a_data_centre_once_per_relay() {
    let positions = positions(195);
    let crossing = |(me, position): (usize, &TreePosition)| {
        let first = number(position.upstream.first().expect("an upstream instance"));
        position.role != Role::Reader && first % DATA_CENTRES != me % DATA_CENTRES
    };
    let crossings = (0..).zip(&positions).filter(|pair| crossing(*pair)).count();
    assert!(crossings <= 2 * DATA_CENTRES, "{crossings}");
}

#[test]
fn an_instance_has_at_most_half_of_a_data_centre_and_the_relays_as_followers() {
    let mut followers: BTreeMap<usize, usize> = BTreeMap::new();
    for position in positions(195)
        .iter()
        .filter(|position| position.role != Role::Reader)
    {
        *followers.entry(number(&position.upstream[0])).or_default() += 1;
    }
    let max = followers.values().max().expect("followers");
    assert!(*max <= 195 / DATA_CENTRES / 2 + 2 + DATA_CENTRES, "{max}");
}

#[test]
fn the_two_relays_of_a_data_centre_follow_different_readers() {
    let positions = positions(195);
    // Instances 2 and 7 rank first in a data centre without readers.
    assert_eq!(positions[2].role, Role::Relay);
    assert_eq!(positions[7].role, Role::Relay);
    assert_ne!(positions[2].upstream[0], positions[7].upstream[0]);
}

#[test]
fn in_small_data_centres_all_instances_follow_the_readers() {
    for (me, position) in positions(9).iter().enumerate() {
        let expected = if me < 2 { Role::Reader } else { Role::Leaf };
        assert_eq!(position.role, expected);
        assert!(position.upstream.iter().all(|id| number(id) < 2));
    }
}

/// The age of state up to which keys are honoured: a part of the revocation limit of five seconds.
const MAX_KEY_AGE: u64 = 4_600;
/// Time after a return of the store in which calls are counted.
const RESTORE_WINDOW: u64 = 2_000;
/// Calls that an instance may make in that time for one of its three topics; 40 for all.
const MAX_CALLS: usize = 13;

#[test]
fn without_failures_a_level_of_the_tree_adds_no_wait() {
    let mut simulation = Simulation::new(195, 1);
    simulation.run(5_000);
    let oldest = simulation.run(10_000);
    assert!(oldest.0 <= 2 * millis(STORE_WAIT) + 10 * STEP, "{oldest:?}");
}

/// The store refuses both readers permanently and serves all others.
#[test]
fn keys_are_honoured_everywhere_while_the_store_refuses_both_readers() {
    let mut simulation = Simulation::new(195, 2);
    simulation.run(3_000);
    simulation.set_illness([0, 1], Illness::Refused);
    let oldest = simulation.run(15_000);
    assert!(oldest.0 < MAX_KEY_AGE, "{oldest:?}");
}

/// Instances whose readers were behind alternated between these and the store without a pause, and called the
/// store hundreds of times a second.
#[test]
fn readers_that_are_behind_do_not_multiply_the_calls_to_the_store() {
    for count in [4, 9, 60, 195] {
        for behind in [vec![0], vec![1], vec![0, 1]] {
            let mut simulation = Simulation::new(count, 3);
            simulation.run(5_000);
            simulation.behind = behind.clone();
            simulation.store_calls.fill(0);
            simulation.run(RESTORE_WINDOW);
            let most = simulation.store_calls.iter().max().expect("instances");
            assert!(
                *most <= MAX_CALLS,
                "{count} instances, {behind:?} behind: {most} calls by one in {RESTORE_WINDOW} ms"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Instances fail at any time, including readers, relays and a whole data centre. The others
    /// must go on honouring keys.
    #[test]
    fn keys_are_honoured_when_instances_fail(
        seed in any::<u64>(),
        at in 3_000..5_000_u64,
        failed in prop::collection::btree_set(0..20_usize, 1..6),
        failed_data_centre in prop::option::of(0..DATA_CENTRES),
    ) {
        let mut simulation = Simulation::new(100, seed);
        simulation.run(at);
        simulation.set_illness(failed, Illness::Frozen);
        if let Some(failed_data_centre) = failed_data_centre {
            let failed = (0..100).filter(|n| n % DATA_CENTRES == failed_data_centre);
            simulation.set_illness(failed, Illness::Frozen);
        }
        let oldest = simulation.run(8_000);
        prop_assert!(oldest.0 < MAX_KEY_AGE, "{oldest:?}");
    }

    /// The store refuses any third of all instances.
    #[test]
    fn keys_are_honoured_while_the_store_refuses_a_third_of_all(seed in any::<u64>()) {
        let mut simulation = Simulation::new(100, seed);
        simulation.run(4_000);
        let mut all: Vec<usize> = (0..100).collect();
        simulation.rng.shuffle(&mut all);
        simulation.set_illness(all[..33].iter().copied(), Illness::Refused);
        let oldest = simulation.run(9_000);
        prop_assert!(oldest.0 < MAX_KEY_AGE, "{oldest:?}");
    }
}

#[test]
fn no_instance_follows_itself() {
    for (me, position) in positions(195).iter().enumerate() {
        assert!(!position.upstream.contains(&Arc::clone(&name(me))));
    }
}
