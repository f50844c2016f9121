//! Engines of one service that differ in speed, and engines whose speed changes.

mod support;

use std::time::Duration;

use placing::{
    ActiveGeneration, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest, RelativeSpeed,
    StateSync, Tuning,
};
use support::{
    assigned, engine,
    load::{Outcome, SpeedAt, Workload, count, simulate_with_speeds},
    owner, request,
};
use types::{Moment, TargetId};

const MS: Duration = Duration::from_millis(1);
/// Time for a prompt of 3,000 tokens at the configured speed.
const USUAL: Duration = Duration::from_millis(430);

/// Nine engines that are asked for more prompts than they can process in time.
fn prompt_load(interval: Duration) -> Workload {
    Workload {
        engines: 9,
        interval,
        duration: Duration::from_secs(60),
        prefill_tokens_per_ms: 7.0,
        prompt_range: (1_200, 4_800),
        answer_range: (20, 60),
        second: None,
        confirms: true,
    }
}

fn without_engine_speeds() -> Tuning {
    Tuning {
        learns_engine_speeds: false,
        ..Tuning::default()
    }
}

/// Callers served in time.
fn in_time(load: &Workload, tuning: Tuning, speed: SpeedAt) -> usize {
    count(&simulate_with_speeds(load, tuning, speed), Outcome::InTime)
}

/// Sends a prompt of 3,000 tokens to an engine; its first event arrives after `took`.
fn run_prompt(
    owner: &mut Owner,
    now: &mut Moment,
    target: &str,
    took: Duration,
    work_time_percent: Option<u32>,
) {
    let request = PlacementRequest {
        objective_left: Duration::from_secs(600),
        ..request(&format!("{}{}", &target[..1], now.as_millis()))
    };
    let engines = [engine(target, "dc-1")];
    assert!(assigned(owner.place(*now, &request, &engines)).is_some());
    *now += took;
    start(owner, *now, &request.generation, work_time_percent);
    end(owner, *now, &request.generation);
}

fn start(owner: &mut Owner, now: Moment, generation: &str, work_time_percent: Option<u32>) {
    let started = GenerationUpdate::Started {
        generation: generation.into(),
        work_time_percent,
    };
    owner.apply_update(now, &started);
}

fn end(owner: &mut Owner, now: Moment, generation: &str) {
    let ended = GenerationUpdate::Ended {
        generation: generation.into(),
        target_failed: false,
        tokens_generated: None,
    };
    owner.apply_update(now, &ended);
}

fn run_prompts(owner: &mut Owner, now: &mut Moment, target: &str, count: usize, took: Duration) {
    for _ in 0..count {
        run_prompt(owner, now, target, took, None);
    }
}

/// Speed of an engine relative to its service's mean; `None` if it was not measured.
fn speed(owner: &Owner, now: Moment, target: &str) -> Option<RelativeSpeed> {
    let loads = owner.loads(now);
    loads.iter().find(|load| &*load.target == target)?.speed
}

/// Engine that a request is assigned to. The assignment is given back.
fn choice(owner: &mut Owner, now: Moment, targets: &[&str]) -> Option<TargetId> {
    let engines: Vec<_> = targets.iter().map(|id| engine(id, "dc-1")).collect();
    let target = assigned(owner.place(now, &request("next"), &engines));
    end(owner, now, "next");
    target
}

/// Callers ask for 1.4 and 1.05 times what engines of 0.5, 1 and 1.7 can do. With one speed for all,
/// fast engines are idle while first events of slow ones are late.
#[test]
fn engines_of_three_speeds_serve_what_the_sum_of_their_speeds_allows() {
    for interval in [30 * MS, 40 * MS] {
        let load = prompt_load(interval);
        let mixed = in_time(&load, Tuning::default(), |n, _| [0.5, 1.0, 1.7][n % 3]);
        let even = in_time(&load, Tuning::default(), |_, _| 3.2 / 3.0);
        assert!(mixed * 100 >= even * 95, "{mixed} mixed, {even} even");
    }
}

/// Engines are equally fast, and callers ask for more than they can do. Errors in the measurement of
/// single engines cost nothing.
#[test]
fn equal_engines_serve_as_many_as_without_speeds_of_their_own() {
    let load = prompt_load(30 * MS);
    let own = in_time(&load, Tuning::default(), |_, _| 1.0);
    let common = in_time(&load, without_engine_speeds(), |_, _| 1.0);
    assert!(own * 100 >= common * 99, "{own} own, {common} common");
}

/// Three of nine engines are at half of their speed for a third of the time. What was measured before
/// makes first events late until it is dropped.
#[test]
fn engines_that_halve_and_come_back_serve_no_less_than_with_a_common_speed() {
    let halving: SpeedAt = |n, at| {
        let is_slow = n < 3 && (20..40).contains(&at.as_secs());
        if is_slow { 0.5 } else { 1.0 }
    };
    let load = prompt_load(40 * MS);
    let own = in_time(&load, Tuning::default(), halving);
    let common = in_time(&load, without_engine_speeds(), halving);
    assert!(own >= common, "{own} own, {common} common");
}

/// An engine's machine gets other work for a minute. Its speed must be known within a few prompts, and
/// again when the work is gone.
#[test]
fn an_engine_that_halves_is_known_within_five_prompts_and_so_is_its_return() {
    let (mut owner, mut now) = owner();
    for _ in 0..15 {
        run_prompts(&mut owner, &mut now, "a", 1, USUAL);
        run_prompts(&mut owner, &mut now, "b", 1, USUAL);
    }
    run_prompts(&mut owner, &mut now, "a", 5, 2 * USUAL);
    let slow = speed(&owner, now, "a").expect("it was measured");
    assert!((40..=65).contains(&slow.prefill_percent), "{slow:?}");
    run_prompts(&mut owner, &mut now, "a", 5, USUAL);
    let usual = speed(&owner, now, "a").expect("it was measured");
    assert!((90..=115).contains(&usual.prefill_percent), "{usual:?}");
}

/// Most prompts go to the fast engine. The mean of the service is that of its engines, so that a new
/// engine is not expected to be as fast as the busiest.
#[test]
fn the_mean_of_a_service_is_not_that_of_its_busiest_engine() {
    let (mut owner, mut now) = owner();
    for _ in 0..25 {
        run_prompts(&mut owner, &mut now, "fast", 5, USUAL);
        run_prompts(&mut owner, &mut now, "slow", 1, 3 * USUAL);
    }
    let fast = speed(&owner, now, "fast").expect("it was measured");
    // Equal weights give 150; weights by tokens 113.
    assert!(fast.prefill_percent >= 130, "{fast:?}");
}

/// An entry is frozen for some seconds and then reports first events that have long arrived. Taken for
/// the speed of the engine, they would keep work off it.
#[test]
fn late_reports_of_a_frozen_entry_do_not_make_an_engine_slow() {
    let (mut owner, mut now) = owner();
    for _ in 0..15 {
        run_prompts(&mut owner, &mut now, "a", 1, USUAL);
        run_prompts(&mut owner, &mut now, "b", 1, USUAL);
    }
    run_prompts(&mut owner, &mut now, "a", 3, 2_900 * MS);
    let after = speed(&owner, now, "a").expect("it was measured");
    assert!(after.prefill_percent >= 95, "{after:?}");
}

/// An engine restarts under its id on another machine. Nothing of the old one's speed may count.
#[test]
fn a_restarted_engine_counts_as_fast_as_the_mean() {
    let (mut owner, mut now) = owner();
    run_prompts(&mut owner, &mut now, "a", 15, 3 * USUAL);
    run_prompts(&mut owner, &mut now, "b", 15, USUAL);
    assert_eq!(choice(&mut owner, now, &["a", "b"]).as_deref(), Some("b"));
    owner.remove_engine(&"a".into());
    assert_eq!(speed(&owner, now, "a"), None);
    assert_eq!(choice(&mut owner, now, &["a", "b"]).as_deref(), Some("a"));
}

/// An owner is lost while engines process prompts. The new one doesn't know since when, so it must not
/// take the time since the first sync for their speed.
#[test]
fn a_new_owner_learns_no_speed_from_prompts_that_it_did_not_assign() {
    let (mut owner, mut now) = owner();
    let adopted = |number: u32| ActiveGeneration {
        generation: format!("adopted-{number}").into(),
        service: "drafts".into(),
        target: "a".into(),
        prompt_tokens: 3_000,
        tokens_generated: 0,
        route: "drafts".into(),
        max_tokens: 2_000,
        length_hint: None,
        priority: 1,
        started: false,
        longest_pause: Duration::ZERO,
    };
    let sync = StateSync {
        entry: "entry-1".into(),
        shard: request("any").shard,
        generations: (0..8).map(adopted).collect(),
    };
    owner.apply_sync(now, &sync);
    for number in 0..8 {
        now += 20 * MS;
        start(&mut owner, now, &format!("adopted-{number}"), None);
    }
    assert_eq!(speed(&owner, now, "a"), None);
    run_prompts(&mut owner, &mut now, "b", 15, USUAL);
    run_prompts(&mut owner, &mut now, "a", 15, 2 * USUAL);
    let own = speed(&owner, now, "a").expect("it was measured");
    assert!(own.prefill_percent < 80, "{own:?}");
}

/// An engine reports that work takes 2.5 times as long at this moment. The next request goes elsewhere;
/// half a second later the report says nothing any more.
#[test]
fn a_reported_slowdown_counts_for_a_moment_only() {
    let (mut owner, mut now) = owner();
    for _ in 0..15 {
        run_prompts(&mut owner, &mut now, "a", 1, USUAL);
        run_prompts(&mut owner, &mut now, "b", 1, USUAL);
    }
    assert_eq!(choice(&mut owner, now, &["a", "b"]).as_deref(), Some("a"));
    run_prompt(&mut owner, &mut now, "a", USUAL, Some(250));
    assert_eq!(choice(&mut owner, now, &["a", "b"]).as_deref(), Some("b"));
    now += 500 * MS;
    assert_eq!(choice(&mut owner, now, &["a", "b"]).as_deref(), Some("a"));
}

/// An engine reports a slowdown with each first event that was slow. Learned as its own speed as well,
/// the slowdown would count twice.
#[test]
fn samples_under_a_reported_slowdown_say_little_of_the_usual_speed() {
    let measure = |percent: Option<u32>| {
        let (mut owner, mut now) = owner();
        for _ in 0..15 {
            run_prompts(&mut owner, &mut now, "a", 1, USUAL);
            run_prompts(&mut owner, &mut now, "b", 1, USUAL);
        }
        for _ in 0..3 {
            run_prompt(&mut owner, &mut now, "a", USUAL * 5 / 2, percent);
        }
        speed(&owner, now, "a").expect("it was measured")
    };
    assert!(measure(None).prefill_percent < 70);
    assert!(measure(Some(250)).prefill_percent >= 85);
}

/// An engine's speed swings around the bound at which it counts as slow. Each report is a log line.
#[test]
fn a_swinging_engine_is_reported_at_most_every_ten_seconds() {
    let (mut owner, mut now) = owner();
    run_prompts(&mut owner, &mut now, "b", 15, USUAL);
    let began = now;
    let mut reports = Vec::new();
    for round in 0..100 {
        let took = if round / 5 % 2 == 0 { 4 * USUAL } else { USUAL };
        run_prompts(&mut owner, &mut now, "a", 1, took);
        run_prompts(&mut owner, &mut now, "b", 1, USUAL);
        reports.extend(owner.take_speed_changes(now));
    }
    let at_most = (now - began).as_secs() / 10 + 1;
    let on_a = reports.iter().filter(|report| &*report.target == "a");
    let on_a: Vec<bool> = on_a.map(|report| report.is_slow).collect();
    assert_eq!(on_a.first(), Some(&true));
    assert!(on_a.windows(2).all(|pair| pair[0] != pair[1]), "{on_a:?}");
    assert!(on_a.len() as u64 <= at_most, "{} reports", on_a.len());
}

/// The fast engine's memory is full, and the slow one has room but would miss the objective. The request
/// waits for the fast one instead of being rejected.
#[test]
fn a_request_that_is_too_much_for_a_slow_engine_waits_for_a_fast_one() {
    let (mut owner, mut now) = owner();
    for _ in 0..15 {
        run_prompts(&mut owner, &mut now, "fast", 1, USUAL);
        run_prompts(&mut owner, &mut now, "slow", 1, 3 * USUAL);
    }
    let relaxed = |generation: &str| PlacementRequest {
        max_tokens: 40,
        objective_left: Duration::from_secs(60),
        ..request(generation)
    };
    let (fast, slow) = (engine("fast", "dc-1"), engine("slow", "dc-1"));
    let mut number = 0;
    while assigned(owner.place(
        now,
        &relaxed(&format!("run-{number}")),
        std::slice::from_ref(&fast),
    ))
    .is_some()
    {
        start(&mut owner, now, &format!("run-{number}"), None);
        number += 1;
    }
    let urgent = PlacementRequest {
        objective_left: 2 * USUAL,
        ..request("urgent")
    };
    let answer = owner.place(now, &urgent, &[fast, slow]);
    assert!(matches!(answer, PlacementAnswer::Wait { .. }), "{answer:?}");
}
