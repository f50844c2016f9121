//! How fast engines read and make tokens, as an owner learns it.

mod support;

use std::time::Duration;

use placing::{ActiveGeneration, GenerationUpdate, Owner, PlacementRequest, StateSync, Tuning};
use support::{engine, owner, request, sent};
use types::Moment;

const MS: Duration = Duration::from_millis(1);

/// Plays prompts of 3,000 tokens one after the other; each first event comes after `read`.
fn read_prompts(owner: &mut Owner, mut now: Moment, count: usize, read: Duration) -> Moment {
    let engines = [engine("e-1", "dc-1")];
    for number in 0..count {
        let request = PlacementRequest {
            objective_left: Duration::from_secs(600),
            ..request(&format!("read-{number}"))
        };
        assert!(sent(owner.place(now, &request, &engines)).is_some());
        now += read;
        let generation = request.generation;
        owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation: generation.clone(),
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

/// How many of five prompts that come together one engine is given.
fn taken_together(owner: &mut Owner, now: Moment) -> usize {
    let engines = [engine("e-1", "dc-1")];
    (0..5)
        .filter(|n| sent(owner.place(now, &request(&format!("now-{n}")), &engines)).is_some())
        .count()
}

/// Engines of another make read a prompt of 3,000 tokens in 1.2 s, not in 0.43. Counted with the
/// speed of those before, an engine is given four prompts to read within 1.8 s, and three of four
/// callers hear late.
#[test]
fn engines_that_read_slowly_are_given_fewer_prompts() {
    let (mut owner, now) = owner();
    let now = read_prompts(&mut owner, now, 40, 430 * MS);
    assert_eq!(taken_together(&mut owner, now), 4);
    let (mut owner, now) = support::owner();
    let now = read_prompts(&mut owner, now, 40, 1_200 * MS);
    assert_eq!(taken_together(&mut owner, now), 1);
}

/// An entry is frozen for a minute and tells of first events only then. Taken for the engines'
/// speed, that would have every caller refused for as long as it is remembered.
#[test]
fn word_that_comes_a_minute_late_does_not_stop_a_service() {
    let (mut owner, now) = owner();
    let now = read_prompts(&mut owner, now, 40, 430 * MS);
    let now = read_prompts(&mut owner, now, 1, 60_000 * MS);
    assert!(taken_together(&mut owner, now) >= 3);
}

/// Generations get their tokens every 27 ms, not every 9, and run three times as long. An owner
/// that takes them for nearly done lets more wait for their memory than will find some.
#[test]
fn slow_generations_are_expected_to_end_later() {
    let mut owner = Owner::new(Tuning::default());
    let next = request("next");
    let before = owner.completion_probability(&next, Duration::from_secs(8));
    let mut now = Duration::from_secs(100);
    for round in 1..60 {
        now += 700 * MS;
        let running = |n: u32| ActiveGeneration {
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
        };
        let sync = StateSync {
            entry: "entry-1".into(),
            shard: next.shard.clone(),
            generations: (0..30).map(running).collect(),
        };
        owner.apply_sync(now, &sync);
    }
    let after = owner.completion_probability(&next, Duration::from_secs(8));
    assert!(after < before / 1.5, "{before} before, {after} after");
}
