//! Overload: which requests wait, which are rejected, and when rejected callers retry.
//!
//! The scenario is a service under a multiple of its capacity, with callers that retry once. A
//! server that admits slightly too much serves no request in time. One that keeps the order of
//! requests, and rejects at once what it cannot serve, serves as many in time as before.

mod support;

use std::{collections::BTreeSet, time::Duration};

use placing::{Engine, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest, Tuning};
use support::{
    assigned, engine,
    load::{Caller, Kind, OBJECTIVE, Outcome, Workload, count, simulate},
    owner, request,
};
use types::Moment;

const MS: Duration = Duration::from_millis(1);

/// Simulates ten engines and callers that arrive at the given interval.
fn overload(interval: Duration) -> Vec<Caller> {
    let load = Workload {
        engines: 10,
        interval,
        duration: Duration::from_secs(40),
        prefill_tokens_per_ms: 7.0,
        prompt_range: (1_200, 4_800),
        answer_range: (100, 1_700),
        second: None,
        confirms: false,
    };
    simulate(&load, Tuning::default())
}

/// The load is doubled from a level that already exceeds capacity. If the server gives way under
/// load, the first events of all callers are late.
#[test]
fn doubling_the_load_does_not_reduce_what_is_served_in_time() {
    let base = overload(100 * MS);
    let doubled = overload(50 * MS);
    let (base, doubled) = (
        count(&base, Outcome::InTime),
        count(&doubled, Outcome::InTime),
    );
    assert!(doubled >= base, "{base} of 400, {doubled} of 800");
}

/// A rejected caller has lost the time that it waited. It must be told within a quarter of the
/// objective.
#[test]
fn rejections_come_early() {
    for interval in [100 * MS, 50 * MS] {
        let callers = overload(interval);
        let longest_wait = callers.iter().map(|caller| caller.longest_wait).max();
        assert!(longest_wait <= Some(OBJECTIVE / 4), "{longest_wait:?}");
    }
}

/// Engines that are busy with late requests make the following ones late too. While the load
/// exceeds capacity, at most five percent of the first events may be late.
#[test]
fn late_requests_only_use_idle_engines() {
    let callers = overload(50 * MS);
    let end = callers
        .last()
        .map_or(Duration::ZERO, |caller| caller.arrived_at);
    // Callers that retry after the end of the load find idle engines.
    let during: Vec<Caller> = callers
        .into_iter()
        .filter(|caller| caller.retry_at.is_none_or(|retry_at| retry_at < end))
        .collect();
    let (in_time, late) = (
        count(&during, Outcome::InTime),
        count(&during, Outcome::Late),
    );
    assert!(late * 20 <= in_time + late, "{late} of {}", in_time + late);
}

/// Freed memory is more likely to fit a small prompt than a large one. If each request is judged by
/// its own size, large prompts are rejected again and again.
#[test]
fn large_prompts_are_served_at_least_half_as_often_as_all() {
    let load = Workload {
        engines: 10,
        interval: 12 * MS,
        duration: Duration::from_secs(40),
        prefill_tokens_per_ms: 7.0,
        prompt_range: (600, 6_000),
        answer_range: (4, 40),
        second: None,
        confirms: false,
    };
    let callers = simulate(&load, Tuning::default());
    let served = |caller: &&Caller| caller.outcome != Some(Outcome::Rejected);
    let mut sizes: Vec<_> = callers.iter().map(|caller| caller.prompt_tokens).collect();
    sizes.sort_unstable();
    let large_from = sizes[sizes.len() * 9 / 10];
    let large: Vec<&Caller> = callers
        .iter()
        .filter(|caller| caller.prompt_tokens >= large_from)
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

/// Short urgent requests beside long ones of workspaces with the same priority; the interval is that
/// between two callers. Returns the urgent ones and the others.
fn short_urgent_beside_long(interval: Duration) -> (Vec<Caller>, Vec<Caller>) {
    let load = Workload {
        engines: 8,
        interval,
        duration: Duration::from_secs(40),
        prefill_tokens_per_ms: 7.5,
        prompt_range: (1_200, 4_800),
        answer_range: (200, 1_300),
        second: Some(Kind {
            share: 0.66,
            route_priority: 0,
            objective: Duration::from_millis(1_500),
            timeout: Duration::from_secs(6),
            prompt_range: (1_500, 3_600),
            answer_range: (4, 20),
        }),
        confirms: true,
    };
    let callers = simulate(&load, Tuning::default());
    callers
        .into_iter()
        .partition(|caller| caller.kind.is_some())
}

/// Intervals of callers that ask for a little more, and for a third more, than the engines bear.
const OVERLOADED: Duration = Duration::from_millis(41);
const HEAVILY_OVERLOADED: Duration = Duration::from_millis(33);

fn share_in_time(callers: &[Caller]) -> f64 {
    let in_time = u32::try_from(count(callers, Outcome::InTime)).unwrap_or_default();
    let all = u32::try_from(callers.len()).unwrap_or(u32::MAX);
    f64::from(in_time) / f64::from(all)
}

/// Guards against less urgent requests whose longer objective lets them queue behind a backlog with
/// which urgent ones are too late: those were rejected more often.
#[test]
fn urgent_requests_with_a_shorter_objective_are_served_no_less_often() {
    for interval in [OVERLOADED, HEAVILY_OVERLOADED] {
        let (urgent, long) = short_urgent_beside_long(interval);
        let (urgent, long) = (share_in_time(&urgent), share_in_time(&long));
        assert!(
            urgent >= long,
            "{interval:?}: {urgent} urgent, {long} long in time"
        );
    }
}

/// Guards against urgent requests that get less the heavier the load of all kinds is.
#[test]
fn more_load_leaves_as_many_urgent_requests_in_time() {
    let (urgent, _) = short_urgent_beside_long(OVERLOADED);
    let (more_urgent, _) = short_urgent_beside_long(HEAVILY_OVERLOADED);
    let (base, more) = (
        count(&urgent, Outcome::InTime),
        count(&more_urgent, Outcome::InTime),
    );
    assert!(
        more >= base,
        "{base} of {}, {more} of {}",
        urgent.len(),
        more_urgent.len()
    );
}

/// Gives the engines a prefill backlog of several seconds.
fn fill_prefill_queue(owner: &mut Owner, now: Moment, engines: &[Engine]) {
    for number in 0..engines.len() * 3 {
        let long = PlacementRequest {
            prompt_tokens: 6_000,
            objective_left: Duration::from_secs(600),
            ..request(&format!("before-{number}"))
        };
        assert!(assigned(owner.place(now, &long, engines)).is_some());
    }
}

fn retry_delay(answer: PlacementAnswer) -> Option<Duration> {
    match answer {
        PlacementAnswer::Rejected { after, .. } => Some(after),
        PlacementAnswer::Assigned { .. } | PlacementAnswer::Wait { .. } => None,
    }
}

/// Many callers are rejected at the same moment. If all retried at the same time, most would be
/// rejected again.
#[test]
fn callers_rejected_together_retry_at_different_times() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-1")];
    fill_prefill_queue(&mut owner, now, &engines);
    let times: BTreeSet<Duration> = (0..20)
        .filter_map(|n| retry_delay(owner.place(now, &request(&format!("c-{n}")), &engines)))
        .collect();
    assert_eq!(times.len(), 20);
    let latest = Duration::from_secs(36) / 3;
    assert!(times.iter().all(|after| *after <= latest), "{times:?}");
}

/// A caller retries under another request id, and its entry grants it the whole objective. If the
/// retry counted as a new request, it would take the place of one that can still meet its
/// objective.
#[test]
fn lateness_of_a_retry_counts_from_the_first_attempt() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    fill_prefill_queue(&mut owner, now, &engines);
    let first = request("first");
    let after =
        retry_delay(owner.place(now, &first, &engines)).expect("the first request is rejected");
    let later = after.max(2_500 * MS);
    let now = now + later;
    // The prefill backlog is one second: in time for a new request, too late for the retry.
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
    let other_prompt = PlacementRequest {
        prompt_tokens: 5_000,
        objective_left: Duration::from_secs(600),
        ..request("reading")
    };
    assert!(assigned(owner.place(now, &other_prompt, &engines)).is_some());
    let retry = again("back", first.deadline_left - later);
    assert_eq!(assigned(owner.place(now, &retry, &engines)), None);
    // Another caller sends an identical request.
    let other = again("other", first.deadline_left);
    assert!(assigned(owner.place(now, &other, &engines)).is_some());
}

/// All memory is occupied, and more callers wait than generations will end in time. The last of
/// them would wait only to be rejected.
#[test]
fn no_more_requests_wait_than_memory_is_expected_for() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    let mut number = 0;
    loop {
        let relaxed = PlacementRequest {
            objective_left: Duration::from_secs(600),
            ..request(&format!("before-{number}"))
        };
        if assigned(owner.place(now, &relaxed, &engines)).is_none() {
            break;
        }
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: relaxed.generation,
                work_time_percent: None,
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

/// Makes an owner reject many requests of the route, on another engine.
fn reject_many(owner: &mut Owner, now: Moment) {
    let engines = [engine("e-busy", "dc-1")];
    fill_prefill_queue(owner, now, &engines);
    for number in 0..60 {
        let rejected = request(&format!("refused-{number}"));
        assert!(retry_delay(owner.place(now, &rejected, &engines)).is_some());
    }
}

/// Fills an engine until two more generations fit.
fn nearly_fill(owner: &mut Owner, now: Moment, engines: &[Engine]) {
    for number in 0..7 {
        let hinted = PlacementRequest {
            length_hint: Some(600),
            objective_left: Duration::from_secs(600),
            ..request(&format!("held-{number}"))
        };
        assert!(assigned(owner.place(now, &hinted, engines)).is_some());
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: hinted.generation,
                work_time_percent: None,
            },
        );
    }
}

/// A request that can no longer meet its objective.
fn late(generation: &str) -> PlacementRequest {
    PlacementRequest {
        objective_left: Duration::ZERO,
        ..request(generation)
    }
}

/// Many requests are rejected, and an engine has room for two more generations. The request that is
/// late already has to wait, so that the next one can meet its objective.
#[test]
fn late_requests_leave_room_for_those_that_can_meet_the_objective() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    reject_many(&mut owner, now);
    nearly_fill(&mut owner, now, &engines);
    assert_eq!(assigned(owner.place(now, &late("late"), &engines)), None);
    assert!(assigned(owner.place(now, &request("new"), &engines)).is_some());
}

/// Hardly any requests are rejected, and a caller that retried is late. Without the remaining
/// memory it would be rejected again and give up, although no other request needs that memory.
#[test]
fn late_requests_use_all_memory_while_few_are_rejected() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    nearly_fill(&mut owner, now, &engines);
    assert!(assigned(owner.place(now, &late("late"), &engines)).is_some());
}

/// Long generations migrate when their engine is reclaimed, and the engine stops before it has
/// handed over more than a few. The engine that would start 0.2 s sooner holds more of them.
/// Callers do not notice 0.2 s, but they do notice a stream that is truncated.
#[test]
fn long_generations_are_spread_over_engines() {
    let (mut owner, now) = owner();
    let full = engine("full", "dc-1");
    let free = engine("free", "dc-1");
    for number in 0..5 {
        let generation = format!("before-{number}");
        assert!(
            assigned(owner.place(now, &request(&generation), std::slice::from_ref(&full)))
                .is_some()
                || number > 2
        );
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: generation.into(),
                work_time_percent: None,
            },
        );
    }
    let other_prompt = PlacementRequest {
        prompt_tokens: 1_400,
        max_tokens: 10,
        length_hint: Some(4),
        ..request("reading")
    };
    assert!(assigned(owner.place(now, &other_prompt, std::slice::from_ref(&free))).is_some());
    let target = assigned(owner.place(now, &request("next"), &[full, free]));
    assert_eq!(target.as_deref(), Some("free"));
}
