//! Projects the peak memory use of the generations on an engine.
//!
//! Reserving the final size of every generation wastes most of the memory, because generations do
//! not end together: by the time one is at its longest, others have finished. The projection
//! therefore looks at several points ahead. At each point it sums the memory of all generations,
//! weighted by the probability that they still run then, and adds a margin for the variance of the
//! sum.

use types::Tokens;

use crate::{length::LengthEstimate, tuning::as_f64};

/// Points of the projection, in tokens that each generation generates from now on.
const LOOKAHEAD_TOKENS: [Tokens; 9] = [0, 60, 120, 240, 480, 800, 1_200, 1_500, 1_900];
/// Margin in standard deviations of the sum. Without a margin, one engine in two would exceed the
/// projection at its peak.
const MARGIN_STD_DEVS: f64 = 1.0;

/// Memory of one generation, or of the copy of one, on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Allocation {
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens generated so far.
    pub tokens_generated: Tokens,
    /// Estimate of the answer's length.
    pub length: LengthEstimate,
}

/// Projected peak of the tokens in memory.
#[must_use]
pub fn peak_tokens(allocations: &[Allocation]) -> f64 {
    LOOKAHEAD_TOKENS
        .iter()
        .map(|ahead| expected_tokens(allocations, *ahead))
        .fold(0.0, f64::max)
}

/// Tokens in memory if every generation kept its memory until all have ended.
#[must_use]
pub fn sum_of_final_tokens(allocations: &[Allocation]) -> f64 {
    let final_tokens = |allocation: &Allocation| {
        let tokens_generated = allocation.tokens_generated;
        as_f64(
            allocation
                .prompt_tokens
                .saturating_add(tokens_generated)
                .saturating_add(allocation.length.expected_remaining(tokens_generated)),
        )
    };
    allocations.iter().map(final_tokens).sum()
}

fn expected_tokens(allocations: &[Allocation], ahead: Tokens) -> f64 {
    let mut sum = 0.0;
    let mut variance = 0.0;
    for allocation in allocations {
        let probability = if ahead == 0 {
            1.0
        } else {
            allocation
                .length
                .survival_probability(allocation.tokens_generated, ahead)
        };
        let held = allocation
            .prompt_tokens
            .saturating_add(allocation.tokens_generated);
        let size = as_f64(held.saturating_add(ahead));
        sum += size * probability;
        variance += size * size * probability * (1.0 - probability);
    }
    sum + MARGIN_STD_DEVS * variance.sqrt()
}
