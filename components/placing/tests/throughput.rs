//! Measurement of how fast engines process prompts and generate tokens.

mod support;

use std::time::Duration;

use placing::{ActiveGeneration, GenerationUpdate, Owner, PlacementRequest, StateSync, Tuning};
use support::{assigned, engine, owner, request};
use types::Moment;

const MS: Duration = Duration::from_millis(1);

/// Runs prompts of 3,000 tokens one after the other; each first event arrives after `prefill`.
fn run_prompts(owner: &mut Owner, mut now: Moment, count: usize, prefill: Duration) -> Moment {
    let engines = [engine("e-1", "dc-1")];
    for number in 0..count {
        let request = PlacementRequest {
            objective_left: Duration::from_secs(600),
            ..request(&format!("read-{number}"))
        };
        assert!(assigned(owner.place(now, &request, &engines)).is_some());
        now += prefill;
        let generation = request.generation;
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: generation.clone(),
                work_time_percent: None,
            },
        );
        let ended = GenerationUpdate::Ended {
            generation,
            target_failed: false,
            tokens_generated: None,
        };
        owner.apply_update(now, &ended);
    }
    now
}

/// Number of five simultaneous requests that one engine is assigned.
fn admitted_together(owner: &mut Owner, now: Moment) -> usize {
    let engines = [engine("e-1", "dc-1")];
    (0..5)
        .filter(|n| assigned(owner.place(now, &request(&format!("now-{n}")), &engines)).is_some())
        .count()
}

/// Engines of another model need 1.2 s for a prompt of 3,000 tokens instead of 0.43 s. By the speed
/// of the previous model an engine would get four prompts within the objective of 1.8 s, and three
/// of the four first events would be late.
#[test]
fn engines_with_slow_prefill_get_fewer_prompts() {
    let (mut owner, now) = owner();
    let now = run_prompts(&mut owner, now, 40, 430 * MS);
    assert_eq!(admitted_together(&mut owner, now), 4);
    let (mut owner, now) = support::owner();
    let now = run_prompts(&mut owner, now, 40, 1_200 * MS);
    assert_eq!(admitted_together(&mut owner, now), 1);
}

/// An entry is frozen for a minute and reports first events only afterwards. Taken as engine speed,
/// this sample would make the owner reject all requests for as long as it is remembered.
#[test]
fn an_update_that_is_a_minute_late_does_not_block_a_service() {
    let (mut owner, now) = owner();
    let now = run_prompts(&mut owner, now, 40, 430 * MS);
    let now = run_prompts(&mut owner, now, 1, 60_000 * MS);
    assert!(admitted_together(&mut owner, now) >= 3);
}

/// Engines need 27 ms for a token instead of 9 ms, so generations run three times as long. An owner
/// that expects them to end soon lets more requests wait for memory than will get some.
#[test]
fn slow_generations_are_expected_to_end_later() {
    let mut owner = Owner::new(Tuning::default());
    let next = request("next");
    let before = owner.completion_probability(&next, Duration::from_secs(8));
    let mut now = Duration::from_secs(100);
    for round in 1..60 {
        now += 700 * MS;
        let active = |n: u32| ActiveGeneration {
            generation: format!("run-{n}").into(),
            service: "drafts".into(),
            target: format!("e-{}", n % 4).into(),
            prompt_tokens: 3_000,
            tokens_generated: round * 26,
            route: "drafts".into(),
            max_tokens: 2_000,
            length_hint: Some(1_000),
            priority: 1,
            started: true,
            longest_pause: Duration::ZERO,
        };
        let sync = StateSync {
            entry: "entry-1".into(),
            shard: next.shard.clone(),
            generations: (0..30).map(active).collect(),
        };
        owner.apply_sync(now, &sync);
    }
    let after = owner.completion_probability(&next, Duration::from_secs(8));
    assert!(after < before / 1.5, "{before} before, {after} after");
}
