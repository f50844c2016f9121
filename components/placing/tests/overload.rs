//! More load than engines can take: who waits, who is refused, and who is told to come back when.
//!
//! The pattern is a service at a multiple of what it can serve, with callers that come back once.
//! A server that lets everybody in a little too late serves nobody in time; one that keeps its
//! order serves as many in time as before, and tells the others at once.

mod support;

use std::{collections::BTreeSet, time::Duration};

use placing::{Engine, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest, Tuning};
use support::{
    engine,
    load::{AIM, Caller, Fate, Workload, count, play},
    owner, request, sent,
};
use types::Moment;

const MS: Duration = Duration::from_millis(1);

/// Ten engines, and callers that come so much more often than ten engines can serve.
fn overload(every: Duration) -> Vec<Caller> {
    let load = Workload {
        engines: 10,
        every,
        lasts: Duration::from_secs(40),
        prompt_range: (1_200, 4_800),
        answers: (100, 1_700),
    };
    play(&load, Tuning::default())
}

/// Twice as many callers come as at a load that engines just can't take. Callers notice a server
/// that gives in under load by a first event that comes late for all of them.
#[test]
fn twice_the_load_serves_as_many_in_time() {
    let some = overload(100 * MS);
    let many = overload(50 * MS);
    let (some, many) = (count(&some, Fate::InTime), count(&many, Fate::InTime));
    assert!(many >= some, "{some} of 400, {many} of 800");
}

/// A caller that is refused has lost the time that it was kept. One that can't be served is told so
/// at once, within a quarter of the time in which it hoped for its first event.
#[test]
fn nobody_waits_long_to_be_refused() {
    for every in [100 * MS, 50 * MS] {
        let callers = overload(every);
        let longest_wait = callers.iter().map(|it| it.kept).max();
        assert!(longest_wait <= Some(AIM / 4), "{longest_wait:?}");
    }
}

/// Engines that are busy with late work make the next caller late too. While more come than can be
/// served, at most five in a hundred first events are late.
#[test]
fn late_work_waits_for_engines_that_would_idle() {
    let callers = overload(50 * MS);
    let end = callers.last().map_or(Duration::ZERO, |it| it.came);
    // Those that come back after the load find idle engines.
    let during: Vec<Caller> = callers
        .into_iter()
        .filter(|it| it.told.is_none_or(|back| back < end))
        .collect();
    let (can_meet_objective, late) = (count(&during, Fate::InTime), count(&during, Fate::Late));
    assert!(
        late * 20 <= can_meet_objective + late,
        "{late} of {}",
        can_meet_objective + late
    );
}

/// A gap that comes free fits a small prompt sooner than a large one. Judged each by its own size,
/// callers with large prompts are refused again and again.
#[test]
fn large_prompts_are_served_half_as_often_as_all_at_least() {
    let load = Workload {
        engines: 10,
        every: 12 * MS,
        lasts: Duration::from_secs(40),
        prompt_range: (600, 6_000),
        answers: (4, 40),
    };
    let callers = play(&load, Tuning::default());
    let served = |it: &&Caller| it.fate != Some(Fate::RejectedRequest);
    let mut sizes: Vec<_> = callers.iter().map(|it| it.prompt_tokens).collect();
    sizes.sort_unstable();
    let large_from = sizes[sizes.len() * 9 / 10];
    let large: Vec<&Caller> = callers
        .iter()
        .filter(|it| it.prompt_tokens >= large_from)
        .collect();
    let of_large = large.iter().copied().filter(served).count();
    let of_all = callers.iter().filter(served).count();
    assert!(
        of_large * callers.len() * 2 >= of_all * large.len(),
        "{of_large} of {} against {of_all} of {}",
        large.len(),
        callers.len(),
    );
}

/// Engines whose reading is taken for seconds.
fn fill_prefill_queue(owner: &mut Owner, now: Moment, engines: &[Engine]) {
    for number in 0..engines.len() * 3 {
        let long = PlacementRequest {
            prompt_tokens: 6_000,
            objective_left: Duration::from_secs(600),
            ..request(&format!("before-{number}"))
        };
        assert!(sent(owner.place(now, &long, engines)).is_some());
    }
}

fn told(answer: PlacementAnswer) -> Option<Duration> {
    match answer {
        PlacementAnswer::Rejected { after } => Some(after),
        PlacementAnswer::Assigned { .. } | PlacementAnswer::Wait { .. } => None,
    }
}

/// Many callers are refused at the same moment. Told the same time to come back, they would be a
/// crowd again, and most of them refused a second time.
#[test]
fn callers_that_are_refused_together_come_back_one_after_the_other() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-1")];
    fill_prefill_queue(&mut owner, now, &engines);
    let times: BTreeSet<Duration> = (0..20)
        .filter_map(|n| told(owner.place(now, &request(&format!("c-{n}")), &engines)))
        .collect();
    assert_eq!(times.len(), 20);
    let latest = Duration::from_secs(36) / 3;
    assert!(times.iter().all(|after| *after <= latest), "{times:?}");
}

/// A caller comes back under another id, with all the time of its aim as far as its entry can tell.
/// Taken for new, it would get the place of one that can still be in time.
#[test]
fn a_caller_that_comes_back_is_late_from_its_first_request() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    fill_prefill_queue(&mut owner, now, &engines);
    let first = request("first");
    let after = told(owner.place(now, &first, &engines)).expect("a refusal");
    let later = after.max(2_500 * MS);
    let now = now + later;
    // The engine reads for another second: in time for one that comes now, and late for this one.
    let again = |generation: &str, deadline_left| PlacementRequest {
        digest: first.digest,
        deadline_left,
        ..request(generation)
    };
    for number in 0..6 {
        owner.apply_update(
            now,
            &GenerationUpdate::Ended {
                generation: format!("before-{number}").into(),
                target_failed: false,
                tokens_generated: None,
            },
        );
    }
    let reading = PlacementRequest {
        prompt_tokens: 5_000,
        objective_left: Duration::from_secs(600),
        ..request("reading")
    };
    assert!(sent(owner.place(now, &reading, &engines)).is_some());
    let back = again("back", first.deadline_left - later);
    assert_eq!(sent(owner.place(now, &back, &engines)), None);
    // Another caller asks for the very same.
    let other = again("other", first.deadline_left);
    assert!(sent(owner.place(now, &other, &engines)).is_some());
}

/// Everything that engines hold is taken, and more callers wait than generations will end in time.
/// The last of them would wait only to be refused.
#[test]
fn no_more_wait_for_memory_than_will_find_some() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let mut number = 0;
    loop {
        let patient = PlacementRequest {
            objective_left: Duration::from_secs(600),
            ..request(&format!("before-{number}"))
        };
        if sent(owner.place(now, &patient, &engines)).is_none() {
            break;
        }
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: patient.generation,
            },
        );
        number += 1;
    }
    let now = now + Duration::from_secs(1);
    let answers: Vec<PlacementAnswer> = (0..30)
        .map(|n| owner.place(now, &request(&format!("c-{n}")), &engines))
        .collect();
    let waiting = answers
        .iter()
        .filter(|answer| matches!(answer, PlacementAnswer::Wait { .. }))
        .count();
    assert!(waiting <= number, "{waiting} wait behind {number}");
    assert!(matches!(
        answers.last(),
        Some(PlacementAnswer::Rejected { .. })
    ));
}

/// Lets an owner refuse many callers of the route, on another engine.
fn refuse_many(owner: &mut Owner, now: Moment) {
    let engines = [engine("e-busy", "dc-1")];
    fill_prefill_queue(owner, now, &engines);
    for number in 0..60 {
        let refused = request(&format!("refused-{number}"));
        assert!(told(owner.place(now, &refused, &engines)).is_some());
    }
}

/// Fills an engine so far that two more generations fit.
fn nearly_fill(owner: &mut Owner, now: Moment, engines: &[Engine]) {
    for number in 0..7 {
        let known = PlacementRequest {
            length_hint: Some(600),
            objective_left: Duration::from_secs(600),
            ..request(&format!("held-{number}"))
        };
        assert!(sent(owner.place(now, &known, engines)).is_some());
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: known.generation,
            },
        );
    }
}

/// An ask that can't be in time any more.
fn late(generation: &str) -> PlacementRequest {
    PlacementRequest {
        objective_left: Duration::ZERO,
        ..request(generation)
    }
}

/// Many callers are refused, and an engine has room for two more generations. A caller that is late
/// already is better off a little later; the next one can still be in time, if there is room.
#[test]
fn late_work_leaves_room_for_what_can_be_in_time() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    refuse_many(&mut owner, now);
    nearly_fill(&mut owner, now, &engines);
    assert_eq!(sent(owner.place(now, &late("late"), &engines)), None);
    assert!(sent(owner.place(now, &request("new"), &engines)).is_some());
}

/// Hardly anybody is refused, and a caller that came back is late. Kept out of the last room it would
/// be refused a second time and give up, though nobody else needs that room.
#[test]
fn late_work_takes_the_room_that_nobody_else_needs() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    nearly_fill(&mut owner, now, &engines);
    assert!(sent(owner.place(now, &late("late"), &engines)).is_some());
}

/// A long generation is moved when its engine is reclaimed, and the engine is gone before it has
/// handed over more than a few. One engine begins 0.2 s sooner and holds more of them: the caller
/// does not notice the 0.2 s, and does notice a stream that is cut.
#[test]
fn long_generations_are_spread_over_engines() {
    let (mut owner, now) = owner();
    let full = engine("full", "dc-1");
    let free = engine("free", "dc-1");
    for number in 0..5 {
        let generation = format!("before-{number}");
        assert!(
            sent(owner.place(now, &request(&generation), std::slice::from_ref(&full))).is_some()
                || number > 2
        );
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: generation.into(),
            },
        );
    }
    let reading = PlacementRequest {
        prompt_tokens: 1_400,
        max_tokens: 10,
        length_hint: Some(4),
        ..request("reading")
    };
    assert!(sent(owner.place(now, &reading, std::slice::from_ref(&free))).is_some());
    let got = sent(owner.place(now, &request("next"), &[full, free]));
    assert_eq!(got.as_deref(), Some("free"));
}
