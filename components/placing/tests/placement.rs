//! Choice of an engine, and when a request is told to wait or is rejected.

mod support;

use std::{collections::BTreeSet, time::Duration};

use placing::{
    ActiveGeneration, Engine, GenerationUpdate, OwnerCandidate, PlacementAnswer, StateSync,
    rank_owners,
};
use proptest::prelude::*;
use support::{MEMORY, assigned, engine, owner, request};

const MS: Duration = Duration::from_millis(1);

/// Two callers arrive at the same moment. On one engine, the second prompt would be processed after
/// the first, while another engine is idle.
#[test]
fn concurrent_prompts_go_to_different_engines() {
    let (mut owner, now) = owner();
    let engines = [
        engine("e-1", "dc-1"),
        engine("e-2", "dc-1"),
        engine("e-3", "dc-1"),
    ];
    let targets: BTreeSet<_> = ["a", "b", "c"]
        .into_iter()
        .filter_map(|generation| assigned(owner.place(now, &request(generation), &engines)))
        .collect();
    assert_eq!(targets.len(), 3);
}

#[test]
fn an_engine_in_the_same_data_centre_is_preferred_at_equal_load() {
    let (mut owner, now) = owner();
    let engines = [engine("far", "dc-2"), engine("near", "dc-1")];
    let first = assigned(owner.place(now, &request("a"), &engines));
    assert_eq!(first.as_deref(), Some("near"));
    let second = assigned(owner.place(now, &request("b"), &engines));
    assert_eq!(second.as_deref(), Some("far"));
}

/// The answers of a route are 2,000 tokens long, as the owner has measured, and all start together.
/// An engine that admits more of them than fit at their final size runs out of memory, preempts
/// generations and processes prompts again; callers see pauses of seconds.
#[test]
fn the_projected_peak_fits_into_the_memory_of_an_engine() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let relaxed = |generation: String| placing::PlacementRequest {
        length_hint: Some(2_000),
        max_tokens: 3_000,
        objective_left: Duration::from_secs(600),
        ..request(&generation)
    };
    for number in 0..200 {
        let request = relaxed(format!("before-{number}"));
        assert!(assigned(owner.place(now, &request, &engines)).is_some());
        let tokens_generated = Some(2_000);
        owner.apply_update(
            now,
            &GenerationUpdate::Ended {
                generation: request.generation,
                target_failed: false,
                tokens_generated,
            },
        );
    }
    let mut admitted = 0;
    for number in 0..20 {
        let request = relaxed(format!("run-{number}"));
        if assigned(owner.place(now, &request, &engines)).is_some() {
            admitted += 1;
            owner.apply_update(
                now,
                &GenerationUpdate::Started {
                    generation: request.generation,
                    work_time_percent: None,
                },
            );
        }
    }
    assert!(admitted >= 5, "{admitted}");
    assert!(admitted * 5_000 <= MEMORY, "{admitted}");
}

/// The prefill backlog is so long that one more prompt cannot be processed in time. The caller is
/// told at once, because its time left shrinks as fast as the backlog.
#[test]
fn a_prompt_that_cannot_be_processed_in_time_is_rejected_at_once() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let answers: Vec<PlacementAnswer> = (0..6)
        .map(|n| owner.place(now, &request(&format!("run-{n}")), &engines))
        .collect();
    let is_rejected = |answer: &PlacementAnswer| matches!(answer, PlacementAnswer::Rejected { after, .. } if !after.is_zero());
    assert!(!is_rejected(&answers[0]));
    assert!(is_rejected(&answers[5]), "{:?}", answers[5]);
}

/// Memory is full and two requests wait. When memory comes free, the one with the higher priority
/// goes first, even if the other one asked earlier.
#[test]
fn freed_memory_goes_to_the_highest_priority() {
    let (mut owner, mut now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let mut generations = Vec::new();
    for number in 0..20 {
        let mut request = request(&format!("run-{number}"));
        request.length_hint = Some(2_000);
        request.objective_left = Duration::from_secs(60);
        now += 100 * MS;
        if assigned(owner.place(now, &request, &engines)).is_some() {
            generations.push(request.generation);
        }
    }
    let waits = |answer| matches!(answer, PlacementAnswer::Wait { .. });
    let relaxed = |generation: &str| placing::PlacementRequest {
        length_hint: Some(2_000),
        objective_left: Duration::from_secs(60),
        ..request(generation)
    };
    let normal = relaxed("late");
    let mut urgent = relaxed("urgent");
    urgent.priority = 0;
    assert!(waits(owner.place(now, &normal, &engines)));
    assert!(waits(owner.place(now, &urgent, &engines)));
    let generation = generations[0].clone();
    owner.apply_update(
        now,
        &GenerationUpdate::Ended {
            generation,
            target_failed: false,
            tokens_generated: None,
        },
    );
    now += 10 * MS;
    assert!(waits(owner.place(now, &normal, &engines)));
    assert!(assigned(owner.place(now, &urgent, &engines)).is_some());
}

/// An engine rejects a request although it should have room. If it were asked again at once it
/// would reject again, and each rejection uses up retry budget.
#[test]
fn a_failed_engine_gets_no_work_during_its_cooldown() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-2")];
    assert_eq!(
        assigned(owner.place(now, &request("a"), &engines)).as_deref(),
        Some("e-1")
    );
    let generation = "a".into();
    owner.apply_update(
        now,
        &GenerationUpdate::Ended {
            generation,
            target_failed: true,
            tokens_generated: None,
        },
    );
    assert_eq!(
        assigned(owner.place(now, &request("b"), &engines)).as_deref(),
        Some("e-2")
    );
    let later = now + 3_000 * MS;
    assert_eq!(
        assigned(owner.place(later, &request("c"), &engines)).as_deref(),
        Some("e-1")
    );
}

/// An entry fails before it reports the end of its generations. If they were kept, their slots
/// would stay occupied, and empty engines would look full.
#[test]
fn slots_of_a_failed_entry_are_released() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    owner.place(now, &request("a"), &engines);
    assert_eq!(owner.loads(now)[0].generations, 1);
    let later = now + 4_000 * MS;
    owner.place(later, &request("b"), &engines);
    assert_eq!(owner.loads(later)[0].generations, 1);
    assert!(owner.generation("a").is_none());
}

/// An instance that cannot reach any other knows only its own generations. Without the engine's
/// report, its request would queue on an engine that others have filled.
#[test]
fn an_engine_that_reports_full_load_gets_no_work() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-2")];
    let full_load = placing::LoadReport {
        tokens_held: MEMORY - 1_000,
        queued: 0,
    };
    owner.record_report(now, &"e-1".into(), full_load);
    assert_eq!(
        assigned(owner.place(now, &request("a"), &engines)).as_deref(),
        Some("e-2")
    );
    let queued_load = placing::LoadReport {
        tokens_held: 0,
        queued: 9,
    };
    owner.record_report(now, &"e-1".into(), queued_load);
    assert_eq!(
        assigned(owner.place(now, &request("b"), &engines)).as_deref(),
        Some("e-2")
    );
    // The report has expired.
    let later = now + 2_500 * MS;
    owner.apply_update(
        later,
        &GenerationUpdate::Started {
            generation: "b".into(),
            work_time_percent: None,
        },
    );
    assert_eq!(
        assigned(owner.place(later, &request("c"), &engines)).as_deref(),
        Some("e-1")
    );
}

/// An engine fails silently and stays listed for some seconds. By the owner's estimate its prefill
/// backlog keeps shrinking, so it would attract every new request.
#[test]
fn an_engine_with_an_overdue_first_event_is_avoided() {
    let (mut owner, now) = owner();
    let engines = [engine("dark", "dc-1"), engine("far", "dc-2")];
    assert_eq!(
        assigned(owner.place(now, &request("a"), &engines)).as_deref(),
        Some("dark")
    );
    let unstarted = |generation: &str, target: &str| ActiveGeneration {
        generation: generation.into(),
        service: "drafts".into(),
        target: target.into(),
        prompt_tokens: 3_000,
        tokens_generated: 0,
        route: "drafts".into(),
        max_tokens: 2_000,
        length_hint: None,
        priority: 1,
        started: false,
        longest_pause: Duration::ZERO,
    };
    // The entry still waits, long after the prompt should have been processed.
    let later = now + 1_500 * MS;
    let sync = StateSync {
        entry: "entry-1".into(),
        shard: request("a").shard,
        generations: vec![unstarted("a", "dark")],
    };
    owner.apply_sync(later, &sync);
    assert_eq!(
        assigned(owner.place(later, &request("b"), &engines)).as_deref(),
        Some("far")
    );
    // The first event arrives after all.
    owner.apply_update(
        later,
        &GenerationUpdate::Started {
            generation: "a".into(),
            work_time_percent: None,
        },
    );
    assert_eq!(
        assigned(owner.place(later, &request("c"), &engines)).as_deref(),
        Some("dark")
    );
}

/// A new owner does not know what runs. It must rebuild its state from the entries' syncs, and not
/// assign the same memory twice.
#[test]
fn a_new_owner_rebuilds_its_state_from_syncs() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-1")];
    let generations = (0..10)
        .map(|n| ActiveGeneration {
            generation: format!("run-{n}").into(),
            service: "drafts".into(),
            target: "e-1".into(),
            prompt_tokens: 3_000,
            tokens_generated: 100,
            route: "drafts".into(),
            max_tokens: 2_000,
            length_hint: None,
            priority: 1,
            started: true,
            longest_pause: Duration::ZERO,
        })
        .collect();
    let entry = "entry-1".into();
    let shard = request("a").shard;
    owner.apply_sync(
        now,
        &StateSync {
            entry,
            shard,
            generations,
        },
    );
    for generation in ["a", "b"] {
        let target = assigned(owner.place(now, &request(generation), &engines));
        assert_eq!(target.as_deref(), Some("e-2"));
    }
}

fn candidate(id: &str, capacity: u32) -> OwnerCandidate {
    OwnerCandidate {
        id: id.into(),
        capacity,
    }
}

/// Instances differ in capacity. A small owner answers late under many requests, and entries
/// without an answer place generations on their own.
#[test]
fn the_instance_with_the_largest_capacity_is_the_owner() {
    let all = [
        candidate("small-1", 120),
        candidate("big", 500),
        candidate("small-2", 120),
    ];
    for service in ["a", "b", "c", "d"] {
        assert_eq!(&*rank_owners(service, all.clone())[0], "big");
    }
}

/// A large request waits because it fits on no engine now. A small one that fits must not wait
/// behind it while memory is unused.
#[test]
fn a_request_that_fits_does_not_wait_behind_one_that_does_not() {
    let (mut owner, mut now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-1")];
    let relaxed = |generation: &str, prompt_tokens| placing::PlacementRequest {
        prompt_tokens,
        objective_left: Duration::from_secs(600),
        ..request(generation)
    };
    for (generation, prompt_tokens) in [("a", 20_000), ("b", 20_000)] {
        assert!(
            assigned(owner.place(now, &relaxed(generation, prompt_tokens), &engines)).is_some()
        );
    }
    let waits = |answer| matches!(answer, PlacementAnswer::Wait { .. });
    assert!(waits(owner.place(now, &relaxed("huge", 25_000), &engines)));
    now += 10 * MS;
    assert!(assigned(owner.place(now, &relaxed("small", 1_000), &engines)).is_some());
}

/// Many requests wait for memory. If each asked again at the shortest interval, the requests
/// themselves would take all of the owner's time.
#[test]
fn the_wait_interval_grows_with_the_number_of_waiting_requests() {
    let (mut owner, now) = owner();
    let engines: [Engine; 0] = [];
    let after = |answer| match answer {
        PlacementAnswer::Wait { after } => after,
        _ => Duration::ZERO,
    };
    let first = after(owner.place(now, &request("first"), &engines));
    for number in 0..60 {
        owner.place(now, &request(&format!("run-{number}")), &engines);
    }
    let last = after(owner.place(now, &request("last"), &engines));
    assert!(!first.is_zero() && last >= 3 * first, "{first:?} {last:?}");
}

#[test]
fn removing_an_instance_moves_only_its_own_shards() {
    let all: Vec<OwnerCandidate> = (0..9)
        .map(|n| candidate(&format!("instance-{n}"), 250))
        .collect();
    for service in ["a", "b", "c", "d"] {
        let order = rank_owners(service, all.clone());
        let removed = order[4].clone();
        let remaining = all.iter().filter(|c| c.id != removed).cloned();
        let now = rank_owners(service, remaining);
        assert_eq!(now[..4], order[..4]);
        assert_eq!(now[4..], order[5..]);
    }
}

/// An event that the owner has to handle.
#[derive(Clone, Debug)]
enum Step {
    Place {
        generation: u8,
        prompt_tokens: u64,
        length_hint: u64,
    },
    Start(u8),
    End(u8),
    Migrate(u8),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (any::<u8>(), 1..6_000_u64, 1..2_500_u64).prop_map(
            |(generation, prompt_tokens, length_hint)| Step::Place {
                generation,
                prompt_tokens,
                length_hint
            }
        ),
        any::<u8>().prop_map(Step::Start),
        any::<u8>().prop_map(Step::End),
        (0..4_u8).prop_map(Step::Migrate),
        (1..900_u64).prop_map(Step::Advance),
    ]
}

proptest! {
    /// For any order of requests, starts, ends and migrations: no engine gets more generations and
    /// copies than it has slots, and nothing stays behind after all have ended.
    #[test]
    fn slots_are_never_assigned_twice_nor_leaked(steps in prop::collection::vec(step(), 1..120)) {
        let (mut owner, mut now) = owner();
        let engines: Vec<Engine> = (0..4)
            .map(|n| Engine { slots: 5, ..engine(&format!("e-{n}"), "dc-1") })
            .collect();
        let mut placed = BTreeSet::new();
        for step in steps {
            match step {
                Step::Place { generation, prompt_tokens, length_hint } => {
                    let mut request = request(&format!("run-{generation}"));
                    request.prompt_tokens = prompt_tokens;
                    request.length_hint = Some(length_hint);
                    owner.place(now, &request, &engines);
                    placed.insert(request.generation);
                }
                Step::Start(generation) => {
                    owner.apply_update(
                        now,
                        &GenerationUpdate::Started {
                            generation: format!("run-{generation}").into(),
                            work_time_percent: None,
                        },
                    );
                }
                Step::End(generation) => {
                    let generation = format!("run-{generation}").into();
                    owner.apply_update(
                        now,
                        &GenerationUpdate::Ended {
                            generation,
                            target_failed: false,
                            tokens_generated: None,
                        },
                    );
                }
                Step::Migrate(number) => {
                    let from = format!("e-{number}").into();
                    let migration =
                        owner.next_migration(now, &from, &"dc-1".into(), &engines, &|_, _| false);
                    if let Some(migration) = migration {
                        owner.finish_migration(&migration, placing::MigrationOutcome::Done);
                    }
                }
                Step::Advance(ms) => now += Duration::from_millis(ms),
            }
            for load in owner.loads(now) {
                prop_assert!(load.generations <= 5, "{load:?}");
            }
        }
        for generation in placed {
            owner.apply_update(
                now,
                &GenerationUpdate::Ended {
                    generation,
                    target_failed: false,
                    tokens_generated: None,
                },
            );
        }
        for load in owner.loads(now) {
            prop_assert_eq!(load.generations, 0);
        }
    }
}
