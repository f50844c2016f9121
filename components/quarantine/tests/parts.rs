//! Parts of prompts that crash targets, at many instances.

mod support;

use support::{Case, Seen, Simulation, Way};

/// Requests with a crashing part that may be sent later than the contact time after its fifth crash.
const MAX_LATE: usize = 3;
/// Cases of each size, unless the environment names another number.
const CASES: u64 = 25;
/// Environment variable with the number of cases of each size.
const CASES_VARIABLE: &str = "PART_CASES";
/// Sound requests from which on their share counts.
const MIN_SOUND: usize = 20;

fn case_count() -> u64 {
    let value = std::env::var(CASES_VARIABLE).ok();
    value.and_then(|value| value.parse().ok()).unwrap_or(CASES)
}

fn simulate(seed: u64, instances: usize, disturbances: usize) -> Seen {
    Simulation::new(Case::draw(seed, instances, disturbances, Way::Companions)).run()
}

fn check(seed: u64, instances: usize, disturbances: usize) {
    let seen = simulate(seed, instances, disturbances);
    let case = format!("seed {seed}, {instances} instances: {seen:?}");
    assert!(seen.late.iter().all(|late| *late <= MAX_LATE), "{case}");
    if seen.sound >= MIN_SOUND {
        assert!(seen.sound_sent * 2 >= seen.sound, "{case}");
    }
}

/// Guards against requests that have only one part of their prompts in common and crash target after target,
/// and against rejecting sound requests that share another part with them.
#[test]
fn a_part_that_crashes_targets_is_rejected_and_sound_requests_are_not() {
    for seed in 0..case_count() {
        for instances in [3, 9, 60] {
            check(seed, instances, 0);
        }
    }
}

/// Guards against instances that exchange verdicts for ever because their states never become the same.
#[test]
fn all_instances_have_the_same_verdicts_in_the_end() {
    for seed in 30_000..30_000 + case_count() {
        for instances in [3, 9, 40] {
            let seen = simulate(seed, instances, 4);
            let case = format!("seed {seed}, {instances} instances: {seen:?}");
            assert_eq!(seen.digests, 1, "{case}");
        }
    }
}

/// Guards against verdicts on parts that are lost together with an aggregator, or never reach an instance
/// which was partitioned when they were sent.
#[test]
fn verdicts_on_parts_survive_partitions_and_restarts() {
    for seed in 10_000..10_000 + case_count() {
        for instances in [3, 9, 40] {
            check(seed, instances, 8);
        }
    }
}

fn simulate_all(way: Way) -> Seen {
    let mut all = Seen::default();
    for seed in 20_000..20_000 + case_count() {
        let seen = Simulation::new(Case::draw(seed, 9, 0, way)).run();
        all.crashes.extend(seen.crashes);
        all.late.extend(seen.late);
        all.sound += seen.sound;
        all.sound_sent += seen.sound_sent;
    }
    all
}

/// Guards against a simulation in which the bound holds whatever is done.
#[test]
fn parts_crash_many_targets_if_they_are_not_told_apart() {
    let seen = simulate_all(Way::Ignore);
    assert!(seen.late.iter().all(|late| *late > MAX_LATE), "{seen:?}");
    let crashes: usize = seen.crashes.iter().sum();
    assert!(crashes > 10 * seen.crashes.len(), "{seen:?}");
}

/// Guards against a change that rejects sound requests for want of a probe.
#[test]
fn no_other_way_serves_more_sound_requests() {
    let chosen = simulate_all(Way::Companions);
    let lost = |seen: &Seen| seen.sound - seen.sound_sent;
    for way in [Way::AnyPart, Way::HoldSuspects] {
        let other = simulate_all(way);
        assert!(
            lost(&chosen) <= lost(&other),
            "{way:?}: {chosen:?}, {other:?}"
        );
    }
}
