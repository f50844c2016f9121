//! How soon a change of the store is in force everywhere while two instances that others follow are
//! ill, and how many calls to the store that takes.

use front::store::sources::{CHANGE_LIMIT, PATIENCE, STORE_WAIT};
use proptest::prelude::*;
use types::millis;

use crate::followers::{Illness, STEP, Simulation};

mod followers;

/// Numbers of instances of small and large deployments.
const DEPLOYMENTS: [usize; 4] = [3, 9, 60, 195];
/// Calm time before the first illness.
const CALM: u64 = 5_000;
/// Longest time between the two illnesses, and between the second one and the change.
const MAX_GAP: u64 = 1_700;

fn illness() -> impl Strategy<Value = Illness> {
    prop_oneof![
        Just(Illness::Frozen),
        Just(Illness::Mute),
        Just(Illness::Lost),
        Just(Illness::Refused),
        (100..600_u64).prop_map(Illness::Slow),
    ]
}

/// Time between two illnesses, or from the second one to the change: often short, so that nobody has
/// noticed the first one yet.
fn gap() -> impl Strategy<Value = u64> {
    prop_oneof![0..120_u64, 0..MAX_GAP]
}

/// Makes two instances ill, one after the other, then changes the store. Returns the sound instances that
/// lack the change when it must be in force.
fn late_instances(
    simulation: &mut Simulation,
    ill: [usize; 2],
    illnesses: [Illness; 2],
    gaps: [u64; 2],
) -> Vec<usize> {
    for ((ill, illness), gap) in ill.into_iter().zip(illnesses).zip(gaps) {
        simulation.set_illness([ill], illness);
        simulation.run(gap);
    }
    simulation.changed_at = simulation.now;
    simulation.run(millis(CHANGE_LIMIT) - STEP);
    simulation.without_change()
}

/// Guards against a follower that waits for a reader without the store, then for a silent one, and only then
/// reads the store.
#[test]
fn a_change_is_in_force_in_time_while_one_reader_has_lost_the_store_and_the_other_is_silent() {
    for count in DEPLOYMENTS {
        for seed in 0..12 {
            for ill in [[0, 1], [1, 0]] {
                let mut simulation = Simulation::new(count, seed);
                simulation.run(CALM + seed * 70);
                let illnesses = [Illness::Lost, Illness::Frozen];
                let late = late_instances(&mut simulation, ill, illnesses, [50, 50]);
                assert!(late.is_empty(), "{count}, seed {seed}, {ill:?}: {late:?}");
            }
        }
    }
}

proptest! {
    /// Guards against waits for one source after the other whose sum exceeds the limit of a change.
    #[test]
    fn a_change_is_in_force_in_time_whichever_two_sources_are_ill(
        seed in any::<u64>(),
        count in prop::sample::select(&DEPLOYMENTS[..]),
        // Readers and relays rank first.
        ill in [0..22_usize, 0..22_usize],
        illnesses in [illness(), illness()],
        gaps in [gap(), gap()],
        are_readers in any::<bool>(),
    ) {
        let mut simulation = Simulation::new(count, seed);
        simulation.run(CALM);
        let ill = if are_readers { [0, 1] } else { ill.map(|number| number % count) };
        let late = late_instances(&mut simulation, ill, illnesses, gaps);
        prop_assert!(late.is_empty(), "{count}, {ill:?} {illnesses:?}: {late:?}");
    }
}

/// Without illness only the two readers call the store, once in each wait.
#[test]
fn on_a_calm_day_only_the_readers_call_the_store() {
    for count in DEPLOYMENTS {
        let mut simulation = Simulation::new(count, 7);
        simulation.run(CALM);
        simulation.store_calls.fill(0);
        simulation.run(20_000);
        let calls: usize = simulation.store_calls.iter().sum();
        let most = 2 * (20_000 / usize::try_from(millis(STORE_WAIT)).unwrap_or(1) + 1);
        assert!(calls <= most, "{count}: {calls}");
        assert_eq!(
            simulation.store_calls[2..].iter().sum::<usize>(),
            0,
            "{count}"
        );
    }
}

/// With two ill readers no instance calls the store more often than a reader does, and a short time more
/// after each failure.
#[test]
fn with_two_ill_readers_calls_to_the_store_are_bounded() {
    let window = 10_000;
    for count in DEPLOYMENTS {
        for illness in [
            Illness::Frozen,
            Illness::Lost,
            Illness::Refused,
            Illness::Slow(500),
        ] {
            let mut simulation = Simulation::new(count, 11);
            simulation.run(CALM);
            simulation.set_illness([0, 1], illness);
            simulation.store_calls.fill(0);
            simulation.run(window);
            let sound = &simulation.store_calls[2..];
            let most = sound.iter().max().copied().unwrap_or_default();
            let allowed = 2 * usize::try_from(window / millis(STORE_WAIT)).unwrap_or(0);
            assert!(most <= allowed, "{count}, {illness:?}: {most} by one");
        }
    }
}

/// Instances that call a lost store in a round: readers, relays, and the mean number of leaves.
const CALLERS: usize = 2 + 10 + 8;
/// Calls to the store of one instance in a round.
const ATTEMPTS: usize = 2;
/// Rounds in the time of the test, with the longest mean pause between them.
const ROUNDS: usize = 10_000 / 600 + 1;

/// While the store answers nobody, the end of the patience leads to one call of each instance more.
#[test]
fn a_lost_store_is_not_called_by_all_instances_again_and_again() {
    for count in DEPLOYMENTS {
        let mut simulation = Simulation::new(count, 13);
        simulation.run(CALM);
        simulation.set_illness(0..count, Illness::Refused);
        simulation.run(2 * millis(PATIENCE));
        simulation.store_calls.fill(0);
        simulation.run(10_000);
        let calls: usize = simulation.store_calls.iter().sum();
        assert!(calls <= CALLERS * ATTEMPTS * ROUNDS, "{count}: {calls}");
    }
}
