//! Migration of generations off an engine that shuts down.

mod support;

use std::time::Duration;

use placing::{Engine, GenerationUpdate, MigrationOutcome, Owner};
use support::{assigned, engine, owner, request};
use types::Moment;

const MS: Duration = Duration::from_millis(1);

/// Starts generations of the given lengths on the engine `old`.
fn start_generations(owner: &mut Owner, now: Moment, lengths: &[u64]) {
    let old = [engine("old", "dc-1")];
    for (number, length) in lengths.iter().enumerate() {
        let mut request = request(&format!("run-{number}"));
        request.length_hint = Some(*length);
        request.objective_left = Duration::from_secs(60);
        assert!(assigned(owner.place(now, &request, &old)).is_some());
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: request.generation,
                work_time_percent: None,
            },
        );
    }
}

fn next_migration(
    owner: &mut Owner,
    now: Moment,
    engines: &[Engine],
) -> Option<placing::Migration> {
    owner.next_migration(now, &"old".into(), &"dc-1".into(), engines, &|_, _| false)
}

/// The engine stops in two seconds, and its link copies one generation at a time. Generations with
/// a long remaining time are certain to be truncated if they stay; those with a short one may
/// finish.
#[test]
fn generations_with_the_longest_remaining_time_migrate_first() {
    let (mut owner, now) = owner();
    start_generations(&mut owner, now, &[100, 2_000, 800]);
    let destinations = [engine("new", "dc-1")];
    let mut migrated = Vec::new();
    while let Some(migration) = next_migration(&mut owner, now, &destinations) {
        owner.finish_migration(&migration, MigrationOutcome::Done);
        migrated.push(migration.generation.to_string());
    }
    assert_eq!(migrated, ["run-1", "run-2", "run-0"]);
}

/// A copy between data centres takes twice as long, and the engine stops soon.
#[test]
fn a_destination_in_the_same_data_centre_is_preferred() {
    let (mut owner, now) = owner();
    start_generations(&mut owner, now, &[1_000]);
    let destinations = [engine("far", "dc-2"), engine("near", "dc-1")];
    let migration = next_migration(&mut owner, now, &destinations).expect("a migration");
    assert_eq!(&*migration.to, "near");
}

/// Two engines shut down at once. At a common destination, their copies would queue behind each
/// other.
#[test]
fn concurrent_migrations_use_different_destinations() {
    let (mut owner, now) = owner();
    start_generations(&mut owner, now, &[1_000, 1_000]);
    let destinations = [engine("new-1", "dc-1"), engine("new-2", "dc-1")];
    let first = next_migration(&mut owner, now, &destinations).expect("a migration");
    let second = next_migration(&mut owner, now, &destinations).expect("a migration");
    assert_ne!(first.generation, second.generation);
    assert_ne!(first.to, second.to);
}

/// The engine does not know a generation that has not started, so it cannot be migrated yet. It
/// must be considered again once it has started.
#[test]
fn a_generation_migrates_only_once_it_has_started() {
    let (mut owner, now) = owner();
    let old = [engine("old", "dc-1")];
    owner.place(now, &request("a"), &old);
    let destinations = [engine("new", "dc-1")];
    assert!(next_migration(&mut owner, now, &destinations).is_none());
    let later = now + 450 * MS;
    owner.apply_update(
        later,
        &GenerationUpdate::Started {
            generation: "a".into(),
            work_time_percent: None,
        },
    );
    assert!(next_migration(&mut owner, later, &destinations).is_some());
}

/// The planned destination turns out to have no room. The generation still runs on its engine, and
/// the next best destination is tried.
#[test]
fn a_destination_without_room_is_not_tried_again() {
    let (mut owner, now) = owner();
    start_generations(&mut owner, now, &[1_000]);
    let destinations = [engine("near", "dc-1"), engine("far", "dc-2")];
    let first = next_migration(&mut owner, now, &destinations).expect("a migration");
    owner.finish_migration(&first, MigrationOutcome::NoRoom);
    assert_eq!(
        owner
            .generation("run-0")
            .map(|generation| generation.target.to_string())
            .as_deref(),
        Some("old")
    );
    let is_excluded = |_: &placing::GenerationId, to: &types::TargetId| *to == first.to;
    let second = owner
        .next_migration(
            now,
            &"old".into(),
            &"dc-1".into(),
            &destinations,
            &is_excluded,
        )
        .expect("a migration");
    assert_eq!(&*second.to, "far");
}

#[test]
fn a_migrated_generation_counts_on_its_destination() {
    let (mut owner, now) = owner();
    start_generations(&mut owner, now, &[1_000]);
    let destinations = [engine("new", "dc-1")];
    let migration = next_migration(&mut owner, now, &destinations).expect("a migration");
    owner.finish_migration(&migration, MigrationOutcome::Done);
    assert!(!owner.has_generations_on(&"old".into()));
    assert!(owner.has_generations_on(&"new".into()));
}
