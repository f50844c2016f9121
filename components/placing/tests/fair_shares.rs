//! Fair shares: what callers of other workspaces see while one workspace sends far more than usual,
//! and the engines have too little room for all.
//!
//! Without shares the engines serve whoever sends most, and callers that send as ever are rejected as
//! often as those that flood.

mod support;

use std::time::Duration;

use placing::{GenerationUpdate, Owner, PlacementAnswer, PlacementRequest, Tuning};
use support::{
    engine,
    load::{Caller, FIRST_WORKSPACE, Kind, Outcome, Workload, Workspaces, simulate_workspaces},
    owner, request,
};
use types::Moment;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
/// When one workspace floods, since the start of the load.
const FLOOD: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(35));
/// Part of the callers of other workspaces that must be served in time, of those that are without the
/// flood.
const KEPT: f64 = 0.95;

/// Short answers: engines are short of time to process prompts. Without a flood they are used to 0.8.
fn short_answers() -> Workload {
    Workload {
        engines: 10,
        interval: 54 * MS,
        duration: 45 * S,
        prefill_tokens_per_ms: 7.0,
        prompt_range: (1_200, 4_800),
        answer_range: (4, 40),
        second: None,
        confirms: true,
    }
}

/// Long answers: engines are short of memory.
fn long_answers() -> Workload {
    Workload {
        interval: 125 * MS,
        answer_range: (100, 1_700),
        ..short_answers()
    }
}

/// Urgent requests beside others.
fn two_kinds() -> Workload {
    Workload {
        second: Some(Kind {
            share: 0.5,
            route_priority: 0,
            objective: 1_500 * MS,
            timeout: 6 * S,
            prompt_range: (1_200, 4_800),
            answer_range: (4, 40),
        }),
        ..short_answers()
    }
}

fn flood(factor: usize) -> Workspaces {
    Workspaces {
        count: 8,
        flood_factor: factor,
        flood: FLOOD,
        seed: None,
        repeats: 0,
        new_owner_at: None,
    }
}

/// Simulates a load; returns the callers that arrive in a period.
fn arrivals(load: &Workload, shared: Workspaces, period: (Duration, Duration)) -> Vec<Caller> {
    with_tuning(load, shared, period, Tuning::default())
}

fn with_tuning(
    load: &Workload,
    shared: Workspaces,
    (from, until): (Duration, Duration),
    tuning: Tuning,
) -> Vec<Caller> {
    let mut callers = simulate_workspaces(load, shared, tuning);
    let start = callers[0].arrived_at;
    callers.retain(|caller| (from..until).contains(&caller.arrived_at.saturating_sub(start)));
    callers
}

fn is_flooding(caller: &Caller) -> bool {
    caller.workspace.as_deref() == Some(FIRST_WORKSPACE)
}

fn others(callers: Vec<Caller>) -> Vec<Caller> {
    callers.into_iter().filter(|it| !is_flooding(it)).collect()
}

fn part(callers: &[Caller], counts: impl Fn(&Caller) -> bool) -> f64 {
    let counted = callers.iter().filter(|caller| counts(caller)).count();
    as_f64(counted) / as_f64(callers.len().max(1))
}

fn in_time(callers: &[Caller]) -> f64 {
    part(callers, |caller| caller.outcome == Some(Outcome::InTime))
}

fn served(callers: &[Caller]) -> f64 {
    part(callers, |caller| caller.first_event_after.is_some())
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// 99th percentile of the time to the first event.
fn p99(callers: &[Caller]) -> Duration {
    let mut times: Vec<Duration> = callers
        .iter()
        .filter_map(|it| it.first_event_after)
        .collect();
    times.sort_unstable();
    times[times.len() * 99 / 100]
}

/// Tokens of all callers that were served.
fn tokens_served(callers: &[Caller]) -> u64 {
    let served = callers.iter().filter(|it| it.first_event_after.is_some());
    served.map(|it| it.prompt_tokens + it.answer_tokens).sum()
}

#[test]
fn a_workspace_at_eight_times_its_rate_takes_nothing_from_the_others() {
    for load in [short_answers(), long_answers(), two_kinds()] {
        let before = in_time(&others(arrivals(&load, flood(1), FLOOD)));
        let beside = in_time(&others(arrivals(&load, flood(8), FLOOD)));
        assert!(beside >= before * KEPT, "{before} before, {beside} beside");
    }
}

#[test]
fn a_workspace_at_eight_times_its_rate_delays_others_by_a_fifth_at_most() {
    for load in [short_answers(), long_answers(), two_kinds()] {
        let before = p99(&others(arrivals(&load, flood(1), FLOOD)));
        let beside = p99(&others(arrivals(&load, flood(8), FLOOD)));
        assert!(
            beside <= before.mul_f64(1.2),
            "{before:?} before, {beside:?} beside"
        );
    }
}

/// There was hardly room for all before: even the other workspaces ask for more than equal parts.
#[test]
fn a_flood_takes_nothing_from_others_that_have_hardly_room_themselves() {
    let load = Workload {
        interval: 40 * MS,
        ..short_answers()
    };
    let before = in_time(&others(arrivals(&load, flood(1), FLOOD)));
    let beside = in_time(&others(arrivals(&load, flood(8), FLOOD)));
    assert!(beside >= before * KEPT, "{before} before, {beside} beside");
}

/// Guards against engines that stand idle for workspaces that don't use them.
#[test]
fn a_flooding_workspace_gets_all_that_the_others_leave() {
    let off = Tuning {
        fair_shares: false,
        ..Tuning::default()
    };
    for load in [short_answers(), long_answers(), two_kinds()] {
        let all = tokens_served(&with_tuning(&load, flood(8), FLOOD, off));
        let shared = tokens_served(&arrivals(&load, flood(8), FLOOD));
        assert!(
            shared * 100 >= all * 97,
            "{all} without shares, {shared} with them"
        );
    }
}

#[test]
fn a_workspace_alone_uses_everything() {
    let alone = Workspaces {
        count: 1,
        ..flood(2)
    };
    let off = Tuning {
        fair_shares: false,
        ..Tuning::default()
    };
    for load in [short_answers(), long_answers()] {
        let without = with_tuning(&load, alone, FLOOD, off);
        let with = arrivals(&load, alone, FLOOD);
        assert_eq!(tokens_served(&with), tokens_served(&without));
    }
}

/// The load is within what the engines bear, and one workspace sends three times as much as each other.
#[test]
fn nothing_changes_while_there_is_room_for_all() {
    let load = Workload {
        interval: 57 * MS,
        ..short_answers()
    };
    let off = Tuning {
        fair_shares: false,
        ..Tuning::default()
    };
    let outcomes = |callers: Vec<Caller>| -> Vec<Option<Duration>> {
        callers.iter().map(|it| it.first_event_after).collect()
    };
    let without = outcomes(with_tuning(&load, flood(3), FLOOD, off));
    assert_eq!(outcomes(arrivals(&load, flood(3), FLOOD)), without);
}

/// Workspaces that send equally often have nothing to leave to each other.
#[test]
fn equal_workspaces_are_served_as_without_shares_under_overload() {
    let off = Tuning {
        fair_shares: false,
        ..Tuning::default()
    };
    for interval in [36, 27] {
        let load = Workload {
            interval: interval * MS,
            ..short_answers()
        };
        let without = in_time(&with_tuning(&load, flood(1), FLOOD, off));
        let with = in_time(&arrivals(&load, flood(1), FLOOD));
        assert!(
            with >= without * KEPT,
            "{without} without shares, {with} with them"
        );
    }
}

#[test]
fn urgent_requests_are_served_no_less_often_than_others_beside_a_flood() {
    let callers = arrivals(&two_kinds(), flood(8), FLOOD);
    let (urgent, long): (Vec<Caller>, Vec<Caller>) =
        callers.into_iter().partition(|it| it.kind.is_some());
    let (urgent, long) = (in_time(&urgent), in_time(&long));
    assert!(urgent >= long, "{urgent} urgent, {long} others");
}

#[test]
fn the_largest_prompts_are_served_half_as_often_as_all_beside_a_flood() {
    for load in [short_answers(), long_answers(), two_kinds()] {
        let callers = arrivals(&load, flood(8), FLOOD);
        let mut sizes: Vec<_> = callers.iter().map(|it| it.prompt_tokens).collect();
        sizes.sort_unstable();
        let large_from = sizes[sizes.len() * 9 / 10];
        let all = served(&callers);
        let large: Vec<Caller> = callers
            .into_iter()
            .filter(|it| it.prompt_tokens >= large_from)
            .collect();
        assert!(served(&large) * 2.0 >= all, "{} of {all}", served(&large));
    }
}

/// Callers of one workspace repeat ten times, within milliseconds, instead of waiting as told.
#[test]
fn callers_that_repeat_at_once_take_nothing_from_the_others() {
    let repeating = Workspaces {
        repeats: 10,
        ..flood(8)
    };
    for load in [short_answers(), long_answers()] {
        let before = in_time(&others(arrivals(&load, flood(1), FLOOD)));
        let beside = in_time(&others(arrivals(&load, repeating, FLOOD)));
        assert!(beside >= before * KEPT, "{before} before, {beside} beside");
    }
}

/// Guards against shares that are lost with their owner: the next one begins without sums.
#[test]
fn a_new_owner_protects_the_others_again() {
    let replaced = Workspaces {
        new_owner_at: Some(20 * S),
        ..flood(8)
    };
    for load in [short_answers(), long_answers()] {
        let period = (20 * S, 35 * S);
        let before = in_time(&others(arrivals(&load, flood(1), period)));
        let beside = in_time(&others(arrivals(&load, replaced, period)));
        assert!(beside >= before * KEPT, "{before} before, {beside} beside");
    }
}

/// Guards against a flood that meets an owner without any sums.
#[test]
fn an_owner_that_has_just_started_protects_the_others() {
    let at_once = Workspaces {
        flood: (Duration::ZERO, 30 * S),
        ..flood(8)
    };
    for load in [short_answers(), long_answers()] {
        let before = in_time(&others(arrivals(&load, flood(1), at_once.flood)));
        let beside = in_time(&others(arrivals(&load, at_once, at_once.flood)));
        assert!(beside >= before * KEPT, "{before} before, {beside} beside");
    }
}

/// Guards against a workspace that pays for a flood long after it.
#[test]
fn a_workspace_that_flooded_is_served_as_before_soon_after() {
    for load in [short_answers(), long_answers()] {
        let after = arrivals(&load, flood(8), (40 * S, 45 * S));
        let own: Vec<Caller> = after.into_iter().filter(is_flooding).collect();
        assert!(in_time(&own) >= KEPT, "{} of {}", in_time(&own), own.len());
    }
}

/// Guards against owners that would need each other's sums: each sees the part of the callers that the
/// hash of their requests sends to its shard.
#[test]
fn owners_of_several_shards_protect_the_others_without_each_others_sums() {
    let shard = |seed, factor| Workspaces {
        seed: Some(seed),
        ..flood(factor)
    };
    for seed in 1..=4 {
        let before = in_time(&others(arrivals(&short_answers(), shard(seed, 1), FLOOD)));
        let beside = in_time(&others(arrivals(&short_answers(), shard(seed, 8), FLOOD)));
        assert!(
            beside >= before * KEPT,
            "{seed}: {before} before, {beside} beside"
        );
    }
}

/// Guards against a cut fleet whose halves judge by each other's demand: each half has its own owner,
/// half of the engines and half of the callers, and the flood reaches one of them.
#[test]
fn each_half_of_a_cut_fleet_keeps_shares_by_itself() {
    let half = Workload {
        engines: 5,
        interval: short_answers().interval * 2,
        ..short_answers()
    };
    let before = in_time(&others(arrivals(&half, flood(1), FLOOD)));
    let flooded = in_time(&others(arrivals(&half, flood(8), FLOOD)));
    assert!(
        flooded >= before * KEPT,
        "{before} before, {flooded} beside"
    );
}

/// Sends ten requests in a second, eight of them from one workspace and one each from two others, to
/// one engine, which processes two prompts in a second. Returns the last answer to each workspace.
fn send_for_a_second(owner: &mut Owner, start: Moment) -> [Option<PlacementAnswer>; 3] {
    let engines = [engine("e-1", "dc-1")];
    let mut last = [None, None, None];
    for number in 0..10_u32 {
        let now = start + 100 * MS * number;
        let workspace = match number {
            4 => 1,
            9 => 2,
            _ => 0,
        };
        let placed = PlacementRequest {
            workspace: Some(format!("workspace-{workspace}").into()),
            ..request(&format!("{start:?}-{number}"))
        };
        let answer = owner.place(now, &placed, &engines);
        // The answer is short, but the engine processes its prompt all the same.
        let ended = GenerationUpdate::Ended {
            generation: placed.generation,
            target_failed: false,
            tokens_generated: None,
        };
        owner.apply_update(now, &ended);
        last[workspace] = Some(answer);
    }
    last
}

/// Guards against a log that says nothing, or the same again and again, of a workspace that makes
/// others wait.
#[test]
fn an_operator_is_told_once_which_workspace_is_above_its_share() {
    let (mut owner, start) = owner();
    let mut last = [None, None, None];
    for second in 0..8 {
        last = send_for_a_second(&mut owner, start + S * second);
    }
    let now = start + 8 * S;
    let above = owner.take_share_changes(now);
    let [change] = above.as_slice() else {
        panic!("{above:?}");
    };
    assert_eq!(change.workspace.as_ref(), FIRST_WORKSPACE);
    assert!(change.is_above && change.others == 2, "{change:?}");
    assert!(owner.take_share_decisions().rejections > 0);
    assert!(owner.take_share_changes(now).is_empty());
    let told = |answer: &Option<PlacementAnswer>| {
        matches!(
            answer,
            Some(PlacementAnswer::Rejected {
                above_share: true,
                ..
            })
        )
    };
    assert!(told(&last[0]), "{last:?}");
    assert!(!told(&last[1]) && !told(&last[2]), "{last:?}");
    let after = owner.take_share_changes(now + 60 * S);
    assert!(
        after.iter().all(|it| !it.is_above) && after.len() == 1,
        "{after:?}"
    );
}

/// Guards against state that grows with the number of workspaces.
#[test]
fn an_owner_knows_a_bounded_number_of_workspaces_and_forgets_them() {
    let (mut owner, now) = owner();
    let engines = [engine("e-1", "dc-1")];
    for number in 0..2_000 {
        let placed = PlacementRequest {
            workspace: Some(format!("workspace-{number}").into()),
            ..request(&format!("run-{number}"))
        };
        owner.place(now, &placed, &engines);
    }
    assert_eq!(owner.workspace_loads(now).len(), 256);
    owner.take_share_changes(now + 120 * S);
    assert!(owner.workspace_loads(now + 120 * S).is_empty());
}

/// Guards against a light workspace that waits behind all requests of a flood because it asks for too little
/// to count: with all slots taken, the one that comes free is its own.
#[test]
fn beside_a_flood_that_takes_all_slots_a_workspace_that_asks_for_little_goes_first() {
    let (mut owner, start) = owner();
    let engines = [placing::Engine {
        slots: 4,
        ..engine("e-1", "dc-1")
    }];
    let asks = |workspace: &str, name: String, waited: Duration| PlacementRequest {
        workspace: Some(workspace.into()),
        prompt_tokens: 100,
        max_tokens: 100,
        length_hint: Some(40),
        objective_left: (2 * S).saturating_sub(waited),
        waited,
        ..request(&name)
    };
    for number in 0..60 {
        let flood = asks("flooding", format!("flood-{number}"), Duration::ZERO);
        owner.place(start + MS * number, &flood, &engines);
    }
    let light = asks("light", "light-0".into(), Duration::ZERO);
    let answer = owner.place(start + 60 * MS, &light, &engines);
    assert!(matches!(answer, PlacementAnswer::Wait { .. }), "{answer:?}");
    let later = start + 120 * MS;
    owner.apply_update(
        later,
        &GenerationUpdate::Ended {
            generation: "flood-0".into(),
            target_failed: false,
            tokens_generated: Some(40),
        },
    );
    for number in 10..14 {
        let waited = later - start - MS * number;
        let flood = asks("flooding", format!("flood-{number}"), waited);
        let answer = owner.place(later, &flood, &engines);
        assert!(support::assigned(answer).is_none(), "flood-{number}");
    }
    let light = asks("light", "light-0".into(), 60 * MS);
    let answer = owner.place(later, &light, &engines);
    assert_eq!(support::assigned(answer), Some("e-1".into()));
}
