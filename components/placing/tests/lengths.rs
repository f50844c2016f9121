//! What is expected of lengths, and of memory.

use placing::{
    LengthEstimator,
    memory::{Allocation, peak_tokens},
};
use proptest::prelude::*;
use types::Tokens;

const MAX_TOKENS: Tokens = 2_236;

#[test]
fn what_ended_moves_the_expectation_of_its_route_only() {
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

/// Callers' estimates are off by a factor of three either way. Believed in full, an engine is
/// overfilled by those that are too low, and left empty for those that are too high.
#[test]
fn an_estimate_moves_the_expectation_a_little() {
    let mut lengths = LengthEstimator::default();
    for tokens_generated in [200, 400, 600, 800, 1_200] {
        for _ in 0..40 {
            lengths.record(&"drafts".into(), MAX_TOKENS, tokens_generated);
        }
    }
    let plain = lengths
        .estimate("drafts", MAX_TOKENS, None)
        .expected_remaining(0);
    let low = lengths
        .estimate("drafts", MAX_TOKENS, Some(30))
        .expected_remaining(0);
    let high = lengths
        .estimate("drafts", MAX_TOKENS, Some(20_000))
        .expected_remaining(0);
    assert!(low < plain && plain < high, "{low} {plain} {high}");
    assert!(low > plain / 3 && high < plain * 3, "{low} {plain} {high}");
}

/// Generations that began together are at their longest together; those that began one after the
/// other are not, and more of them fit.
#[test]
fn generations_of_different_ages_take_less_than_the_sum_of_their_ends() {
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
    let together: Vec<Allocation> = (0..8).map(|_| allocation(0)).collect();
    let spread: Vec<Allocation> = (0..8).map(|n| allocation(n * 120)).collect();
    let ends = 8.0 * 1_100.0;
    assert!(
        peak_tokens(&together) > 0.8 * ends,
        "{}",
        peak_tokens(&together)
    );
    assert!(
        peak_tokens(&spread) < 0.8 * ends,
        "{}",
        peak_tokens(&spread)
    );
}

proptest! {
    /// Chances are chances, they only fall with the distance, and a rest is never more than what
    /// is allowed.
    #[test]
    fn expectations_stay_within_bounds(
        ended in prop::collection::vec(1..5_000_u64, 0..60),
        length_hint in prop::option::of(0..100_000_u64),
        tokens_generated in 0..5_000_u64,
        more in 0..5_000_u64,
        max_tokens in 1..5_000_u64,
    ) {
        let mut lengths = LengthEstimator::default();
        for tokens_generated in ended {
            lengths.record(&"r".into(), max_tokens, tokens_generated);
        }
        let length = lengths.estimate("r", max_tokens, length_hint);
        let probability = length.survival_probability(tokens_generated, more);
        prop_assert!((0.0..=1.0).contains(&probability));
        prop_assert!(length.survival_probability(tokens_generated, more + 50) <= probability + 1e-9);
        prop_assert!(length.expected_remaining(tokens_generated) <= max_tokens.saturating_sub(tokens_generated));
    }

    /// The worst moment is never better than now, and one more never makes it better.
    #[test]
    fn one_more_never_takes_less(sizes in prop::collection::vec((1..6_000_u64, 0..2_000_u64), 1..12)) {
        let length = LengthEstimator::default().estimate("r", MAX_TOKENS, None);
        let all: Vec<Allocation> = sizes
            .iter()
            .map(|(prompt_tokens, tokens_generated)| Allocation { prompt_tokens: *prompt_tokens, tokens_generated: *tokens_generated, length })
            .collect();
        let now: u64 = sizes.iter().map(|(prompt_tokens, tokens_generated)| prompt_tokens + tokens_generated).sum();
        #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
        let now = now as f64;
        prop_assert!(peak_tokens(&all) >= now - 1e-6);
        prop_assert!(peak_tokens(&all) >= peak_tokens(&all[1..]) - 1e-6);
    }
}
