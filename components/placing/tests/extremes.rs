//! Sizes and times from outside may have any value. A decision on them ends after a bounded number of
//! steps, and no sum overflows.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use placing::{
    ActiveGeneration, GenerationUpdate, LengthEstimator, LoadReport, Owner, PlacementAnswer,
    PlacementRequest, StateSync,
    memory::{Allocation, peak_tokens, sum_of_final_tokens},
};
use proptest::prelude::*;
use types::{
    Bounded, Tokens,
    bounded::{MAX_COUNT, MAX_TIME},
};

use crate::support::{engine, owner, request};

mod support;

/// Time in which a decision on one request must be made.
const MAX_DECISION_TIME: Duration = Duration::from_millis(500);

/// Numbers of 64 bits, many of them near the ends of the range.
fn extreme() -> impl Strategy<Value = u64> {
    prop_oneof![
        0_u64..4,
        Just(MAX_COUNT),
        (0_u64..64).prop_map(|below| u64::MAX - below),
        (0_u32..64).prop_map(|shift| 1_u64 << shift),
        any::<u64>(),
    ]
}

fn extreme_time() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(Duration::MAX),
        extreme().prop_map(Duration::from_nanos),
        extreme().prop_map(Duration::from_secs),
    ]
}

/// Encodes a value and decodes it, as between two instances.
fn received<T: serde::Serialize + serde::de::DeserializeOwned>(sent: &T) -> T {
    let buf = rmp_serde::to_vec(sent).expect("encodes");
    rmp_serde::from_slice(&buf).expect("decodes")
}

prop_compose! {
    fn extreme_request()(
        prompt_tokens in extreme(),
        max_tokens in extreme(),
        length_hint in proptest::option::of(extreme()),
        times in [extreme_time(), extreme_time(), extreme_time()],
        max_pause in proptest::option::of(extreme_time()),
        number in 0..8,
    ) -> PlacementRequest {
        let [objective_left, deadline_left, waited] = times;
        PlacementRequest {
            prompt_tokens,
            max_tokens,
            length_hint,
            objective_left,
            deadline_left,
            waited,
            max_pause,
            ..request(&format!("g-{number}"))
        }
    }
}

/// Guards against an estimate that steps past the largest number and never ends.
#[test]
fn the_largest_output_is_estimated_in_a_bounded_number_of_steps() {
    let lengths = LengthEstimator::default();
    for below in 0..30 {
        let estimate = lengths.estimate("drafts", Tokens::MAX - below, None);
        let begun = Instant::now();
        assert!(estimate.expected_remaining(0) >= estimate.expected_remaining(Tokens::MAX));
        assert!(begun.elapsed() < MAX_DECISION_TIME);
    }
}

proptest! {
    #[test]
    fn estimates_of_any_size_end_and_do_not_overflow(
        prompt_tokens in extreme(),
        tokens_generated in extreme(),
        max_tokens in extreme(),
        hint in proptest::option::of(extreme()),
    ) {
        let mut lengths = LengthEstimator::default();
        lengths.record(&"drafts".into(), max_tokens, tokens_generated);
        let length = lengths.estimate("drafts", max_tokens, hint);
        let survival = length.survival_probability(tokens_generated, max_tokens);
        prop_assert!((0.0..=1.0).contains(&survival));
        let allocation = Allocation { prompt_tokens, tokens_generated, length };
        prop_assert!(!peak_tokens(&[allocation, allocation]).is_nan());
        prop_assert!(!sum_of_final_tokens(&[allocation, allocation]).is_nan());
    }

    #[test]
    fn received_numbers_are_bounded(sent in extreme_request()) {
        let got = received(&sent);
        prop_assert_eq!(got.prompt_tokens, sent.prompt_tokens.bounded());
        prop_assert_eq!(got.max_tokens, sent.max_tokens.bounded());
        prop_assert_eq!(got.length_hint, sent.length_hint.bounded());
        prop_assert!(got.objective_left <= MAX_TIME && got.deadline_left <= MAX_TIME);
        prop_assert!(got.waited <= MAX_TIME);
        prop_assert!(got.max_pause.is_none_or(|pause| pause <= MAX_TIME));
        let answer = received(&PlacementAnswer::Wait { after: sent.waited });
        prop_assert_eq!(answer, PlacementAnswer::Wait { after: sent.waited.bounded() });
    }

    #[test]
    fn an_owner_decides_on_any_received_request_and_state(
        requests in proptest::collection::vec(extreme_request(), 1..6),
        held in extreme(),
        queued in any::<u32>(),
        generated in extreme(),
        longest_pause in extreme_time(),
    ) {
        let (mut owner, start) = owner();
        let engines = [engine("e-1", "dc-1"), engine("e-2", "dc-2")];
        let begun = Instant::now();
        for (number, sent) in requests.iter().enumerate() {
            let now = start + Duration::from_millis(u64::try_from(number).unwrap_or(0) * 300);
            let request = received(sent);
            let report = received(&LoadReport { tokens_held: held, queued });
            owner.record_report(now, &engines[0].id, report);
            let answer = owner.place(now, &request, &engines);
            let completion = owner.completion_probability(&request, request.deadline_left);
            prop_assert!((0.0..=1.0).contains(&completion));
            if let PlacementAnswer::Assigned { target } = answer {
                hold(&mut owner, now, &request, &target, generated, longest_pause);
            }
        }
        prop_assert!(begun.elapsed() < MAX_DECISION_TIME * 6);
    }
}

/// Reports an assigned generation as its entry does, and ends it.
fn hold(
    owner: &mut Owner,
    now: types::Moment,
    request: &PlacementRequest,
    target: &types::TargetId,
    generated: Tokens,
    longest_pause: Duration,
) {
    let started = GenerationUpdate::Started {
        generation: Arc::clone(&request.generation),
        work_time_percent: Some(u32::MAX),
    };
    owner.apply_update(now, &received(&started));
    let sync = StateSync {
        entry: Arc::clone(&request.entry),
        shard: request.shard.clone(),
        generations: vec![ActiveGeneration {
            generation: Arc::clone(&request.generation),
            service: Arc::clone(&request.shard.service),
            target: Arc::clone(target),
            prompt_tokens: request.prompt_tokens,
            tokens_generated: generated,
            route: Arc::clone(&request.route),
            max_tokens: request.max_tokens,
            length_hint: request.length_hint,
            priority: request.priority,
            started: true,
            longest_pause,
        }],
    };
    for ahead in [Duration::from_millis(1), Duration::from_secs(2)] {
        owner.apply_sync(now + ahead, &received(&sync));
    }
    let ended = GenerationUpdate::Ended {
        generation: Arc::clone(&request.generation),
        target_failed: false,
        tokens_generated: Some(generated),
    };
    owner.apply_update(now + Duration::from_secs(3), &received(&ended));
}
