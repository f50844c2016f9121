//! Moving generations off an engine that leaves.

mod support;

use std::time::Duration;

use placing::{Engine, GenerationUpdate, MigrationOutcome, Owner};
use support::{engine, owner, request, sent};
use types::Moment;

const MS: Duration = Duration::from_millis(1);

/// Generations of these lengths, all begun on the engine `old`.
fn running(owner: &mut Owner, now: Moment, lengths: &[u64]) {
    let old = [engine("old", "dc-1")];
    for (number, length) in lengths.iter().enumerate() {
        let mut request = request(&format!("run-{number}"));
        request.length_hint = Some(*length);
        request.objective_left = Duration::from_secs(60);
        assert!(sent(owner.place(now, &request, &old)).is_some());
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: request.generation,
            },
        );
    }
}

fn next(owner: &mut Owner, now: Moment, engines: &[Engine]) -> Option<placing::Migration> {
    owner.next_migration(now, &"old".into(), &"dc-1".into(), engines, &|_, _| false)
}

/// An engine has two seconds left, and its link copies one generation after the other. Those with
/// the longest rest are surely lost if they stay; a short rest may end by itself.
#[test]
fn the_longest_rest_is_moved_first() {
    let (mut owner, now) = owner();
    running(&mut owner, now, &[100, 2_000, 800]);
    let new = [engine("new", "dc-1")];
    let mut order = Vec::new();
    while let Some(migration) = next(&mut owner, now, &new) {
        owner.finish_migration(&migration, MigrationOutcome::Done);
        order.push(migration.generation.to_string());
    }
    assert_eq!(order, ["run-1", "run-2", "run-0"]);
}

/// Copies between data centres take twice as long, and time is what a leaving engine lacks.
#[test]
fn a_destination_in_the_same_data_centre_goes_first() {
    let (mut owner, now) = owner();
    running(&mut owner, now, &[1_000]);
    let new = [engine("far", "dc-2"), engine("near", "dc-1")];
    let migration = next(&mut owner, now, &new).expect("a move");
    assert_eq!(&*migration.to, "near");
}

/// Two engines leave at once. Their copies would queue behind each other at one destination.
#[test]
fn moves_under_way_keep_off_each_others_links() {
    let (mut owner, now) = owner();
    running(&mut owner, now, &[1_000, 1_000]);
    let new = [engine("new-1", "dc-1"), engine("new-2", "dc-1")];
    let first = next(&mut owner, now, &new).expect("a move");
    let second = next(&mut owner, now, &new).expect("a move");
    assert_ne!(first.generation, second.generation);
    assert_ne!(first.to, second.to);
}

/// A generation that has not begun can't be moved: the engine knows no such run. Its caller loses
/// nothing as long as it is looked at again once it has begun.
#[test]
fn what_has_not_begun_is_moved_once_it_has() {
    let (mut owner, now) = owner();
    let old = [engine("old", "dc-1")];
    owner.place(now, &request("a"), &old);
    let new = [engine("new", "dc-1")];
    assert!(next(&mut owner, now, &new).is_none());
    let later = now + 450 * MS;
    owner.apply_update(
        later,
        &GenerationUpdate::Started {
            generation: "a".into(),
        },
    );
    assert!(next(&mut owner, later, &new).is_some());
}

/// The destination has no room after all. The generation still runs where it was, and the next
/// best destination is tried.
#[test]
fn a_destination_without_room_is_not_tried_again() {
    let (mut owner, now) = owner();
    running(&mut owner, now, &[1_000]);
    let new = [engine("near", "dc-1"), engine("far", "dc-2")];
    let first = next(&mut owner, now, &new).expect("a move");
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
        .next_migration(now, &"old".into(), &"dc-1".into(), &new, &is_excluded)
        .expect("a move");
    assert_eq!(&*second.to, "far");
}

#[test]
fn a_moved_generation_counts_where_it_runs_now() {
    let (mut owner, now) = owner();
    running(&mut owner, now, &[1_000]);
    let new = [engine("new", "dc-1")];
    let migration = next(&mut owner, now, &new).expect("a move");
    owner.finish_migration(&migration, MigrationOutcome::Done);
    assert!(!owner.has_generations_on(&"old".into()));
    assert!(owner.has_generations_on(&"new".into()));
}
