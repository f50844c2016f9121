//! Which engine a generation gets, and when it is told to wait or to come back.

mod support;

use std::{collections::BTreeSet, time::Duration};

use placing::{
    ActiveGeneration, Engine, GenerationUpdate, OwnerCandidate, PlacementAnswer, StateSync,
    rank_owners,
};
use proptest::prelude::*;
use support::{MEMORY, engine, owner, request, sent};

const MS: Duration = Duration::from_millis(1);

/// Two callers come at the same moment. On one engine the second prompt would be read after the
/// first, and its caller wait twice as long, while another engine idles.
#[test]
fn prompts_that_come_together_go_to_different_engines() {
    let (mut owner, now) = owner();
    let engines = [
        engine("e-1", "dc-1"),
        engine("e-2", "dc-1"),
        engine("e-3", "dc-1"),
    ];
    let got: BTreeSet<_> = ["a", "b", "c"]
        .into_iter()
        .filter_map(|generation| sent(owner.place(now, &request(generation), &engines)))
        .collect();
    assert_eq!(got.len(), 3);
}

#[test]
fn an_engine_near_by_goes_first_while_it_is_as_free() {
    let (mut owner, now) = owner();
    let engines = [engine("far", "dc-2"), engine("near", "dc-1")];
    let first = sent(owner.place(now, &request("a"), &engines));
    assert_eq!(first.as_deref(), Some("near"));
    let second = sent(owner.place(now, &request("b"), &engines));
    assert_eq!(second.as_deref(), Some("far"));
}

/// Generations of one route get 2,000 tokens long, as the owner has learned, and all begin together.
/// An engine that takes more of them than it can hold at their ends runs out in the middle and
/// reads prompts anew, and callers see pauses of seconds.
#[test]
fn an_engine_does_not_get_more_than_it_can_hold_at_the_worst_moment() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let patient = |generation: String| placing::PlacementRequest {
        length_hint: Some(2_000),
        max_tokens: 3_000,
        objective_left: Duration::from_secs(600),
        ..request(&generation)
    };
    for number in 0..200 {
        let request = patient(format!("before-{number}"));
        assert!(sent(owner.place(now, &request, &engines)).is_some());
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
    let mut taken = 0;
    for number in 0..20 {
        let request = patient(format!("run-{number}"));
        if sent(owner.place(now, &request, &engines)).is_some() {
            taken += 1;
            owner.apply_update(
                now,
                &GenerationUpdate::Started {
                    generation: request.generation,
                },
            );
        }
    }
    assert!(taken >= 5, "{taken}");
    assert!(taken * 5_000 <= MEMORY, "{taken}");
}

/// A queue of prompts is so long that one more can't be read in time. Its caller is told at once,
/// for waiting would not help: its own time runs as fast as the queue shrinks.
#[test]
fn a_prompt_that_cannot_be_read_in_time_is_refused_at_once() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let answers: Vec<PlacementAnswer> = (0..6)
        .map(|n| owner.place(now, &request(&format!("run-{n}")), &engines))
        .collect();
    let refused = |answer: &PlacementAnswer| matches!(answer, PlacementAnswer::Rejected { after } if !after.is_zero());
    assert!(!refused(&answers[0]));
    assert!(refused(&answers[5]), "{:?}", answers[5]);
}

/// Memory is full and two wait for it. The more urgent one goes first when some comes free, also
/// if the other asked before.
#[test]
fn the_more_urgent_goes_first_when_memory_comes_free() {
    let (mut owner, mut now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let mut generations = Vec::new();
    for number in 0..20 {
        let mut request = request(&format!("run-{number}"));
        request.length_hint = Some(2_000);
        request.objective_left = Duration::from_secs(60);
        now += 100 * MS;
        if sent(owner.place(now, &request, &engines)).is_some() {
            generations.push(request.generation);
        }
    }
    let waits = |answer| matches!(answer, PlacementAnswer::Wait { .. });
    let patient = |generation: &str| placing::PlacementRequest {
        length_hint: Some(2_000),
        objective_left: Duration::from_secs(60),
        ..request(generation)
    };
    let late = patient("late");
    let mut urgent = patient("urgent");
    urgent.priority = 0;
    assert!(waits(owner.place(now, &late, &engines)));
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
    assert!(waits(owner.place(now, &late, &engines)));
    assert!(sent(owner.place(now, &urgent, &engines)).is_some());
}

/// An engine refuses what it should have had room for. Asked again at once it would refuse again,
/// and each refusal costs a part of the budget of second sendings.
#[test]
fn an_engine_that_failed_is_left_alone_for_a_while() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-2")];
    assert_eq!(
        sent(owner.place(now, &request("a"), &engines)).as_deref(),
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
        sent(owner.place(now, &request("b"), &engines)).as_deref(),
        Some("e-2")
    );
    let later = now + 3_000 * MS;
    assert_eq!(
        sent(owner.place(later, &request("c"), &engines)).as_deref(),
        Some("e-1")
    );
}

/// An entry dies with the notes that its generations have ended. Their places would stay taken
/// for good, and engines look full that are empty.
#[test]
fn places_of_an_entry_that_is_gone_come_free() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    owner.place(now, &request("a"), &engines);
    assert_eq!(owner.loads(now)[0].generations, 1);
    let later = now + 4_000 * MS;
    owner.place(later, &request("b"), &engines);
    assert_eq!(owner.loads(later)[0].generations, 1);
    assert!(owner.generation("a").is_none());
}

/// An instance that reaches nobody knows only its own generations. An engine that others have
/// filled would take its work into a queue, and its caller wait for somebody else's end.
#[test]
fn an_engine_that_says_it_is_full_gets_nothing() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-2")];
    let full = placing::LoadReport {
        tokens_held: MEMORY - 1_000,
        queued: 0,
    };
    owner.record_report(now, &"e-1".into(), full);
    assert_eq!(
        sent(owner.place(now, &request("a"), &engines)).as_deref(),
        Some("e-2")
    );
    let queue = placing::LoadReport {
        tokens_held: 0,
        queued: 9,
    };
    owner.record_report(now, &"e-1".into(), queue);
    assert_eq!(
        sent(owner.place(now, &request("b"), &engines)).as_deref(),
        Some("e-2")
    );
    // What it said long ago says nothing.
    let later = now + 2_500 * MS;
    owner.apply_update(
        later,
        &GenerationUpdate::Started {
            generation: "b".into(),
        },
    );
    assert_eq!(
        sent(owner.place(later, &request("c"), &engines)).as_deref(),
        Some("e-1")
    );
}

/// An engine goes dark, and is listed for some seconds still. Each prompt that is sent there waits
/// for nothing; by the account it looks emptier from moment to moment.
#[test]
fn an_engine_that_owes_a_first_event_gets_no_more_while_others_are_free() {
    let (mut owner, now) = owner();
    let engines = [engine("dark", "dc-1"), engine("far", "dc-2")];
    assert_eq!(
        sent(owner.place(now, &request("a"), &engines)).as_deref(),
        Some("dark")
    );
    let waiting = |generation: &str, target: &str| ActiveGeneration {
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
    };
    // Its entry still waits for it, long after the prompt should have been read.
    let later = now + 1_500 * MS;
    let held = StateSync {
        entry: "entry-1".into(),
        shard: request("a").shard,
        generations: vec![waiting("a", "dark")],
    };
    owner.apply_sync(later, &held);
    assert_eq!(
        sent(owner.place(later, &request("b"), &engines)).as_deref(),
        Some("far")
    );
    // The first event came after all.
    owner.apply_update(
        later,
        &GenerationUpdate::Started {
            generation: "a".into(),
        },
    );
    assert_eq!(
        sent(owner.place(later, &request("c"), &engines)).as_deref(),
        Some("dark")
    );
}

/// A new owner knows nothing of what runs. The entries' syncs tell it, and it must not give an
/// engine's memory out twice.
#[test]
fn a_new_owner_learns_from_the_entries() {
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
        let target = sent(owner.place(now, &request(generation), &engines));
        assert_eq!(target.as_deref(), Some("e-2"));
    }
}

fn candidate(id: &str, capacity: u32) -> OwnerCandidate {
    OwnerCandidate {
        id: id.into(),
        capacity,
    }
}

/// Instances are of unequal size. A small one that owns answers late when it is asked often, and
/// entries that get no answer decide for themselves.
#[test]
fn the_strongest_owns() {
    let all = [
        candidate("small-1", 120),
        candidate("big", 500),
        candidate("small-2", 120),
    ];
    for service in ["a", "b", "c", "d"] {
        assert_eq!(&*rank_owners(service, all.clone())[0], "big");
    }
}

/// A large prompt waits that fits nowhere just now. A small one that does fit must not wait behind
/// it while memory lies idle.
#[test]
fn what_fits_does_not_wait_behind_what_does_not() {
    let (mut owner, mut now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-1")];
    let patient = |generation: &str, prompt_tokens| placing::PlacementRequest {
        prompt_tokens,
        objective_left: Duration::from_secs(600),
        ..request(generation)
    };
    for (generation, prompt_tokens) in [("a", 20_000), ("b", 20_000)] {
        assert!(sent(owner.place(now, &patient(generation, prompt_tokens), &engines)).is_some());
    }
    let waits = |answer| matches!(answer, PlacementAnswer::Wait { .. });
    assert!(waits(owner.place(now, &patient("huge", 25_000), &engines)));
    now += 10 * MS;
    assert!(sent(owner.place(now, &patient("small", 1_000), &engines)).is_some());
}

/// Many wait for memory. If each asked again as often as one alone, the asks themselves would take
/// all of the owner's time.
#[test]
fn many_that_wait_ask_less_often() {
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
fn a_member_that_goes_moves_only_what_it_owned() {
    let all: Vec<OwnerCandidate> = (0..9)
        .map(|n| candidate(&format!("instance-{n}"), 250))
        .collect();
    for service in ["a", "b", "c", "d"] {
        let order = rank_owners(service, all.clone());
        let without = order[4].clone();
        let rest = all.iter().filter(|c| c.id != without).cloned();
        let now = rank_owners(service, rest);
        assert_eq!(now[..4], order[..4]);
        assert_eq!(now[4..], order[5..]);
    }
}

/// What happens to an owner.
#[derive(Clone, Debug)]
enum Step {
    Place {
        generation: u8,
        prompt_tokens: u64,
        length_hint: u64,
    },
    Start(u8),
    End(u8),
    Leave(u8),
    Pass(u64),
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
        (0..4_u8).prop_map(Step::Leave),
        (1..900_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    /// Any order of asks, starts, ends and departures: no engine gets more generations and copies
    /// than it has places, and everything that ends leaves nothing behind.
    #[test]
    fn places_are_never_given_out_twice_nor_lost(steps in prop::collection::vec(step(), 1..120)) {
        let (mut owner, mut now) = owner();
        let engines: Vec<Engine> = (0..4)
            .map(|n| Engine { slots: 5, ..engine(&format!("e-{n}"), "dc-1") })
            .collect();
        let mut evaluated = BTreeSet::new();
        for step in steps {
            match step {
                Step::Place { generation, prompt_tokens, length_hint } => {
                    let mut request = request(&format!("run-{generation}"));
                    request.prompt_tokens = prompt_tokens;
                    request.length_hint = Some(length_hint);
                    owner.place(now, &request, &engines);
                    evaluated.insert(request.generation);
                }
                Step::Start(generation) => {
                    owner.apply_update(now, &GenerationUpdate::Started { generation: format!("run-{generation}").into() });
                }
                Step::End(generation) => {
                    let generation = format!("run-{generation}").into();
                    owner.apply_update(now, &GenerationUpdate::Ended { generation, target_failed: false, tokens_generated: None });
                }
                Step::Leave(number) => {
                    let from = format!("e-{number}").into();
                    let order = owner.next_migration(now, &from, &"dc-1".into(), &engines, &|_, _| false);
                    if let Some(order) = order {
                        owner.finish_migration(&order, placing::MigrationOutcome::Done);
                    }
                }
                Step::Pass(ms) => now += Duration::from_millis(ms),
            }
            for load in owner.loads(now) {
                prop_assert!(load.generations <= 5, "{load:?}");
            }
        }
        for generation in evaluated {
            owner.apply_update(now, &GenerationUpdate::Ended { generation, target_failed: false, tokens_generated: None });
        }
        for load in owner.loads(now) {
            prop_assert_eq!(load.generations, 0);
        }
    }
}
