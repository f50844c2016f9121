//! How much of an engine's memory its generations will take at the worst moment to come.
//!
//! Promising each generation the memory of its end wastes most of it, for they don't end together:
//! when one is at its longest, others have gone. So the sum is looked at over the coming tokens:
//! at each point what those that still run hold then, weighed by the chance that they do, and a
//! margin for the spread of that sum.

use types::Tokens;

use crate::{length::LengthEstimate, tuning::as_f64};

/// Points ahead, in tokens of each generation, at which the sum is looked at.
const LOOKAHEAD_TOKENS: [Tokens; 9] = [0, 60, 120, 240, 480, 800, 1_200, 1_500, 1_900];
/// Standard deviations of the sum that are added. With none, one engine in two would be fuller
/// than promised at its worst moment.
const MARGIN_STD_DEVS: f64 = 1.0;

/// One generation or copy in an engine's memory.
#[derive(Clone, Copy, Debug)]
pub struct Allocation {
    /// Tokens of its prompt.
    pub prompt_tokens: Tokens,
    /// Tokens made so far.
    pub tokens_generated: Tokens,
    /// What is expected of its length.
    pub length: LengthEstimate,
}

/// Tokens held at the worst moment to come.
#[must_use]
pub fn peak_tokens(allocations: &[Allocation]) -> f64 {
    LOOKAHEAD_TOKENS
        .iter()
        .map(|ahead| expected_tokens(allocations, *ahead))
        .fold(0.0, f64::max)
}

/// Tokens held if each generation kept its memory to the end of all.
#[must_use]
pub fn sum_of_final_tokens(allocations: &[Allocation]) -> f64 {
    let end = |allocation: &Allocation| {
        let tokens_generated = allocation.tokens_generated;
        as_f64(
            allocation.prompt_tokens
                + tokens_generated
                + allocation.length.expected_remaining(tokens_generated),
        )
    };
    allocations.iter().map(end).sum()
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
        let size = as_f64(allocation.prompt_tokens + allocation.tokens_generated + ahead);
        sum += size * probability;
        variance += size * size * probability * (1.0 - probability);
    }
    sum + MARGIN_STD_DEVS * variance.sqrt()
}
