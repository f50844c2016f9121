//! Estimates of lengths and of peak memory.

use placing::{
    LengthEstimator,
    memory::{Allocation, peak_tokens},
};
use proptest::prelude::*;
use types::Tokens;

const MAX_TOKENS: Tokens = 2_236;

#[test]
fn a_finished_generation_changes_the_estimate_of_its_route_only() {
    let mut lengths = LengthEstimator::default();
    let before = lengths
        .estimate("drafts", MAX_TOKENS, None)
        .expected_remaining(0);
    for _ in 0..200 {
        lengths.record(&"drafts".into(), MAX_TOKENS, 100);
    }
    let after = lengths
        .estimate("drafts", MAX_TOKENS, None)
        .expected_remaining(0);
    assert!(before > 500, "{before}");
    assert!((90..130).contains(&after), "{after}");
    assert_eq!(
        lengths
            .estimate("tags", MAX_TOKENS, None)
            .expected_remaining(0),
        before
    );
}

/// Callers' hints are wrong by a factor of three either way. If they were taken at face value, low
/// ones would overfill engines and high ones would leave them empty.
#[test]
fn a_length_hint_shifts_the_estimate_partially() {
    let mut lengths = LengthEstimator::default();
    for tokens_generated in [200, 400, 600, 800, 1_200] {
        for _ in 0..40 {
            lengths.record(&"drafts".into(), MAX_TOKENS, tokens_generated);
        }
    }
    let without_hint = lengths
        .estimate("drafts", MAX_TOKENS, None)
        .expected_remaining(0);
    let low = lengths
        .estimate("drafts", MAX_TOKENS, Some(30))
        .expected_remaining(0);
    let high = lengths
        .estimate("drafts", MAX_TOKENS, Some(20_000))
        .expected_remaining(0);
    assert!(
        low < without_hint && without_hint < high,
        "{low} {without_hint} {high}"
    );
    assert!(
        low > without_hint / 3 && high < without_hint * 3,
        "{low} {without_hint} {high}"
    );
}

/// Generations that started together reach their final sizes together. Those that started one after
/// the other do not, so more of them fit.
#[test]
fn staggered_generations_need_less_than_the_sum_of_their_final_sizes() {
    let mut lengths = LengthEstimator::default();
    for _ in 0..200 {
        lengths.record(&"drafts".into(), MAX_TOKENS, 1_000);
    }
    let length = lengths.estimate("drafts", MAX_TOKENS, None);
    let allocation = |tokens_generated| Allocation {
        prompt_tokens: 100,
        tokens_generated,
        length,
    };
    let simultaneous: Vec<Allocation> = (0..8).map(|_| allocation(0)).collect();
    let staggered: Vec<Allocation> = (0..8).map(|n| allocation(n * 120)).collect();
    let final_tokens = 8.0 * 1_100.0;
    assert!(
        peak_tokens(&simultaneous) > 0.8 * final_tokens,
        "{}",
        peak_tokens(&simultaneous)
    );
    assert!(
        peak_tokens(&staggered) < 0.8 * final_tokens,
        "{}",
        peak_tokens(&staggered)
    );
}

proptest! {
    /// Probabilities stay between 0 and 1 and never rise with the distance, and the expected
    /// remaining length stays within the maximum.
    #[test]
    fn estimates_stay_within_bounds(
        finished in prop::collection::vec(1..5_000_u64, 0..60),
        length_hint in prop::option::of(0..100_000_u64),
        tokens_generated in 0..5_000_u64,
        more in 0..5_000_u64,
        max_tokens in 1..5_000_u64,
    ) {
        let mut lengths = LengthEstimator::default();
        for tokens_generated in finished {
            lengths.record(&"r".into(), max_tokens, tokens_generated);
        }
        let length = lengths.estimate("r", max_tokens, length_hint);
        let probability = length.survival_probability(tokens_generated, more);
        prop_assert!((0.0..=1.0).contains(&probability));
        prop_assert!(
            length.survival_probability(tokens_generated, more + 50) <= probability + 1e-9
        );
        prop_assert!(
            length.expected_remaining(tokens_generated)
                <= max_tokens.saturating_sub(tokens_generated)
        );
    }

    /// The projected peak is never below the current use, and never falls when a generation is
    /// added.
    #[test]
    fn the_peak_never_falls_with_one_more_generation(
        sizes in prop::collection::vec((1..6_000_u64, 0..2_000_u64), 1..12),
    ) {
        let length = LengthEstimator::default().estimate("r", MAX_TOKENS, None);
        let all: Vec<Allocation> = sizes
            .iter()
            .map(|(prompt_tokens, tokens_generated)| Allocation {
                prompt_tokens: *prompt_tokens,
                tokens_generated: *tokens_generated,
                length,
            })
            .collect();
        let now: u64 = sizes.iter().map(|(prompt, generated)| prompt + generated).sum();
        #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
        let now = now as f64;
        prop_assert!(peak_tokens(&all) >= now - 1e-6);
        prop_assert!(peak_tokens(&all) >= peak_tokens(&all[1..]) - 1e-6);
    }
}
