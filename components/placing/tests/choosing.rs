//! Which engine a generation gets, and when it is told to wait or to come back.

mod support;

use std::{collections::BTreeSet, time::Duration};

use placing::{Answer, Candidate, Engine, Note, Running, Sync, ranked};
use proptest::prelude::*;
use support::{MEMORY, ask, engine, owner, sent};

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
        .filter_map(|run| sent(owner.ask(now, &ask(run), &engines)))
        .collect();
    assert_eq!(got.len(), 3);
}

#[test]
fn an_engine_near_by_goes_first_while_it_is_as_free() {
    let (mut owner, now) = owner();
    let engines = [engine("far", "dc-2"), engine("near", "dc-1")];
    let first = sent(owner.ask(now, &ask("a"), &engines));
    assert_eq!(first.as_deref(), Some("near"));
    let second = sent(owner.ask(now, &ask("b"), &engines));
    assert_eq!(second.as_deref(), Some("far"));
}

/// Generations of one route get 2,000 tokens long, as the owner has learned, and all begin together.
/// An engine that takes more of them than it can hold at their ends runs out in the middle and
/// reads prompts anew, and callers see pauses of seconds.
#[test]
fn an_engine_does_not_get_more_than_it_can_hold_at_the_worst_moment() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let patient = |run: String| placing::Ask {
        hint: Some(2_000),
        longest: 3_000,
        aim_left: Duration::from_secs(600),
        ..ask(&run)
    };
    for number in 0..200 {
        let ask = patient(format!("before-{number}"));
        assert!(sent(owner.ask(now, &ask, &engines)).is_some());
        let made = Some(2_000);
        owner.note(
            now,
            &Note::Ended {
                run: ask.run,
                doubt: false,
                made,
            },
        );
    }
    let mut taken = 0;
    for number in 0..20 {
        let ask = patient(format!("run-{number}"));
        if sent(owner.ask(now, &ask, &engines)).is_some() {
            taken += 1;
            owner.note(now, &Note::Started { run: ask.run });
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
    let answers: Vec<Answer> = (0..6)
        .map(|n| owner.ask(now, &ask(&format!("run-{n}")), &engines))
        .collect();
    let refused = |answer: &Answer| matches!(answer, Answer::Full { after } if !after.is_zero());
    assert!(!refused(&answers[0]));
    assert!(refused(&answers[5]), "{:?}", answers[5]);
}

/// Memory is full and two wait for it. The more urgent one goes first when some comes free, also
/// if the other asked before.
#[test]
fn the_more_urgent_goes_first_when_memory_comes_free() {
    let (mut owner, mut now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let mut runs = Vec::new();
    for number in 0..20 {
        let mut ask = ask(&format!("run-{number}"));
        ask.hint = Some(2_000);
        ask.aim_left = Duration::from_secs(60);
        now += 100 * MS;
        if sent(owner.ask(now, &ask, &engines)).is_some() {
            runs.push(ask.run);
        }
    }
    let waits = |answer| matches!(answer, Answer::Wait { .. });
    let patient = |run: &str| placing::Ask {
        hint: Some(2_000),
        aim_left: Duration::from_secs(60),
        ..ask(run)
    };
    let late = patient("late");
    let mut urgent = patient("urgent");
    urgent.rank = 0;
    assert!(waits(owner.ask(now, &late, &engines)));
    assert!(waits(owner.ask(now, &urgent, &engines)));
    let run = runs[0].clone();
    owner.note(
        now,
        &Note::Ended {
            run,
            doubt: false,
            made: None,
        },
    );
    now += 10 * MS;
    assert!(waits(owner.ask(now, &late, &engines)));
    assert!(sent(owner.ask(now, &urgent, &engines)).is_some());
}

/// An engine refuses what it should have had room for. Asked again at once it would refuse again,
/// and each refusal costs a part of the budget of second sendings.
#[test]
fn an_engine_that_failed_is_left_alone_for_a_while() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-2")];
    assert_eq!(
        sent(owner.ask(now, &ask("a"), &engines)).as_deref(),
        Some("e-1")
    );
    let run = "a".into();
    owner.note(
        now,
        &Note::Ended {
            run,
            doubt: true,
            made: None,
        },
    );
    assert_eq!(
        sent(owner.ask(now, &ask("b"), &engines)).as_deref(),
        Some("e-2")
    );
    let later = now + 3_000 * MS;
    assert_eq!(
        sent(owner.ask(later, &ask("c"), &engines)).as_deref(),
        Some("e-1")
    );
}

/// An entry dies with the notes that its generations have ended. Their places would stay taken
/// for good, and engines look full that are empty.
#[test]
fn places_of_an_entry_that_is_gone_come_free() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    owner.ask(now, &ask("a"), &engines);
    assert_eq!(owner.loads(now)[0].runs, 1);
    let later = now + 4_000 * MS;
    owner.ask(later, &ask("b"), &engines);
    assert_eq!(owner.loads(later)[0].runs, 1);
    assert!(owner.run("a").is_none());
}

/// An instance that reaches nobody knows only its own generations. An engine that others have
/// filled would take its work into a queue, and its caller wait for somebody else's end.
#[test]
fn an_engine_that_says_it_is_full_gets_nothing() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-2")];
    let full = placing::Report {
        held: MEMORY - 1_000,
        waiting: 0,
    };
    owner.reported(now, &"e-1".into(), full);
    assert_eq!(
        sent(owner.ask(now, &ask("a"), &engines)).as_deref(),
        Some("e-2")
    );
    let queue = placing::Report {
        held: 0,
        waiting: 9,
    };
    owner.reported(now, &"e-1".into(), queue);
    assert_eq!(
        sent(owner.ask(now, &ask("b"), &engines)).as_deref(),
        Some("e-2")
    );
    // What it said long ago says nothing.
    let later = now + 2_500 * MS;
    owner.note(later, &Note::Started { run: "b".into() });
    assert_eq!(
        sent(owner.ask(later, &ask("c"), &engines)).as_deref(),
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
        sent(owner.ask(now, &ask("a"), &engines)).as_deref(),
        Some("dark")
    );
    let waiting = |run: &str, target: &str| Running {
        run: run.into(),
        service: "drafts".into(),
        target: target.into(),
        prompt: 3_000,
        made: 0,
        route: "drafts".into(),
        longest: 2_000,
        hint: None,
        rank: 1,
        started: false,
    };
    // Its entry still waits for it, long after the prompt should have been read.
    let later = now + 1_500 * MS;
    let held = Sync {
        entry: "entry-1".into(),
        shard: ask("a").shard,
        runs: vec![waiting("a", "dark")],
    };
    owner.sync(later, &held);
    assert_eq!(
        sent(owner.ask(later, &ask("b"), &engines)).as_deref(),
        Some("far")
    );
    // The first event came after all.
    owner.note(later, &Note::Started { run: "a".into() });
    assert_eq!(
        sent(owner.ask(later, &ask("c"), &engines)).as_deref(),
        Some("dark")
    );
}

/// A new owner knows nothing of what runs. The entries' syncs tell it, and it must not give an
/// engine's memory out twice.
#[test]
fn a_new_owner_learns_from_the_entries() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-1")];
    let runs = (0..10)
        .map(|n| Running {
            run: format!("run-{n}").into(),
            service: "drafts".into(),
            target: "e-1".into(),
            prompt: 3_000,
            made: 100,
            route: "drafts".into(),
            longest: 2_000,
            hint: None,
            rank: 1,
            started: true,
        })
        .collect();
    let entry = "entry-1".into();
    let shard = ask("a").shard;
    owner.sync(now, &Sync { entry, shard, runs });
    for run in ["a", "b"] {
        let target = sent(owner.ask(now, &ask(run), &engines));
        assert_eq!(target.as_deref(), Some("e-2"));
    }
}

fn candidate(id: &str, capacity: u32) -> Candidate {
    Candidate {
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
        assert_eq!(&*ranked(service, all.clone())[0], "big");
    }
}

/// A large prompt waits that fits nowhere just now. A small one that does fit must not wait behind
/// it while memory lies idle.
#[test]
fn what_fits_does_not_wait_behind_what_does_not() {
    let (mut owner, mut now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-1")];
    let patient = |run: &str, prompt| placing::Ask {
        prompt,
        aim_left: Duration::from_secs(600),
        ..ask(run)
    };
    for (run, prompt) in [("a", 20_000), ("b", 20_000)] {
        assert!(sent(owner.ask(now, &patient(run, prompt), &engines)).is_some());
    }
    let waits = |answer| matches!(answer, Answer::Wait { .. });
    assert!(waits(owner.ask(now, &patient("huge", 25_000), &engines)));
    now += 10 * MS;
    assert!(sent(owner.ask(now, &patient("small", 1_000), &engines)).is_some());
}

/// Many wait for memory. If each asked again as often as one alone, the asks themselves would take
/// all of the owner's time.
#[test]
fn many_that_wait_ask_less_often() {
    let (mut owner, now) = owner();
    let engines: [Engine; 0] = [];
    let after = |answer| match answer {
        Answer::Wait { after } => after,
        _ => Duration::ZERO,
    };
    let first = after(owner.ask(now, &ask("first"), &engines));
    for number in 0..60 {
        owner.ask(now, &ask(&format!("run-{number}")), &engines);
    }
    let last = after(owner.ask(now, &ask("last"), &engines));
    assert!(!first.is_zero() && last >= 3 * first, "{first:?} {last:?}");
}

#[test]
fn a_member_that_goes_moves_only_what_it_owned() {
    let all: Vec<Candidate> = (0..9)
        .map(|n| candidate(&format!("instance-{n}"), 250))
        .collect();
    for service in ["a", "b", "c", "d"] {
        let order = ranked(service, all.clone());
        let without = order[4].clone();
        let rest = all.iter().filter(|c| c.id != without).cloned();
        let now = ranked(service, rest);
        assert_eq!(now[..4], order[..4]);
        assert_eq!(now[4..], order[5..]);
    }
}

/// What happens to an owner.
#[derive(Clone, Debug)]
enum Step {
    Ask { run: u8, prompt: u64, hint: u64 },
    Start(u8),
    End(u8),
    Leave(u8),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (any::<u8>(), 1..6_000_u64, 1..2_500_u64).prop_map(|(run, prompt, hint)| Step::Ask {
            run,
            prompt,
            hint
        }),
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
        let mut asked = BTreeSet::new();
        for step in steps {
            match step {
                Step::Ask { run, prompt, hint } => {
                    let mut ask = ask(&format!("run-{run}"));
                    ask.prompt = prompt;
                    ask.hint = Some(hint);
                    owner.ask(now, &ask, &engines);
                    asked.insert(ask.run);
                }
                Step::Start(run) => {
                    owner.note(now, &Note::Started { run: format!("run-{run}").into() });
                }
                Step::End(run) => {
                    let run = format!("run-{run}").into();
                    owner.note(now, &Note::Ended { run, doubt: false, made: None });
                }
                Step::Leave(number) => {
                    let from = format!("e-{number}").into();
                    let order = owner.next_carry(now, &from, &"dc-1".into(), &engines, &|_, _| false);
                    if let Some(order) = order {
                        owner.carried(&order, placing::Carried::Done);
                    }
                }
                Step::Pass(ms) => now += Duration::from_millis(ms),
            }
            for load in owner.loads(now) {
                prop_assert!(load.runs <= 5, "{load:?}");
            }
        }
        for run in asked {
            owner.note(now, &Note::Ended { run, doubt: false, made: None });
        }
        for load in owner.loads(now) {
            prop_assert_eq!(load.runs, 0);
        }
    }
}
