//! How much of an engine's memory its generations will take at the worst moment to come.
//!
//! Promising each generation the memory of its end wastes most of it, for they don't end together:
//! when one is at its longest, others have gone. So the sum is looked at over the coming tokens:
//! at each point what those that still run hold then, weighed by the chance that they do, and a
//! margin for the spread of that sum.

use types::Tokens;

use crate::{length::Length, tuning::as_f64};

/// Points ahead, in tokens of each generation, at which the sum is looked at.
const AHEAD: [Tokens; 9] = [0, 60, 120, 240, 480, 800, 1_200, 1_500, 1_900];
/// Standard deviations of the sum that are added. With none, one engine in two would be fuller
/// than promised at its worst moment.
const MARGIN: f64 = 1.0;

/// One generation or copy in an engine's memory.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// Tokens of its prompt.
    pub prompt: Tokens,
    /// Tokens made so far.
    pub made: Tokens,
    /// What is expected of its length.
    pub length: Length,
}

/// Tokens held at the worst moment to come.
#[must_use]
pub fn peak(holders: &[Holder]) -> f64 {
    AHEAD
        .iter()
        .map(|ahead| held(holders, *ahead))
        .fold(0.0, f64::max)
}

/// Tokens held if each generation kept its memory to the end of all.
#[must_use]
pub fn all_ends(holders: &[Holder]) -> f64 {
    let end = |holder: &Holder| {
        let made = holder.made;
        as_f64(holder.prompt + made + holder.length.rest(made))
    };
    holders.iter().map(end).sum()
}

fn held(holders: &[Holder], ahead: Tokens) -> f64 {
    let mut sum = 0.0;
    let mut variance = 0.0;
    for holder in holders {
        let chance = if ahead == 0 {
            1.0
        } else {
            holder.length.survives(holder.made, ahead)
        };
        let size = as_f64(holder.prompt + holder.made + ahead);
        sum += size * chance;
        variance += size * size * chance * (1.0 - chance);
    }
    sum + MARGIN * variance.sqrt()
}
