//! How long generations get: learned from those that ended, and from callers' estimates.
//!
//! Lengths of a route spread like a lognormal. Callers' estimates are right at the median and spread
//! more widely than the lengths themselves, so an estimate moves the expectation by a part of its
//! distance only.

use std::collections::HashMap;

use types::{RouteId, Tokens};

use crate::tuning::{as_f64, whole};

/// Spread of callers' estimates: standard deviation of their logarithm.
const HINT_SPREAD: f64 = 1.2;
/// Spread of lengths before any has ended.
const PRIOR_SPREAD: f64 = 0.8;
/// Median length before any has ended, as a part of the longest allowed.
const PRIOR_SHARE: f64 = 0.3;
/// How many ended generations the prior is worth.
const PRIOR_WEIGHT: f64 = 5.0;
/// Ended generations that are remembered, about; older ones fade.
const MEMORY: f64 = 500.0;
/// The narrowest spread; with less, one odd generation would seem impossible.
const LEAST_SPREAD: f64 = 0.1;
/// Steps in which the rest of a generation is summed up.
const STEPS: u32 = 24;

/// What is expected of one generation's length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Length {
    /// Mean of the logarithm of its tokens.
    mean: f64,
    /// Standard deviation of that.
    spread: f64,
    longest: Tokens,
}

impl Length {
    /// The chance that one that has made `made` tokens makes `more` at least.
    #[must_use]
    pub fn survives(&self, made: Tokens, more: Tokens) -> f64 {
        if made + more >= self.longest {
            return 0.0;
        }
        let now = self.chance(made);
        if now <= f64::EPSILON {
            // It outlived all expectation, and may end any moment.
            return 0.5;
        }
        (self.chance(made + more) / now).clamp(0.0, 1.0)
    }

    /// Tokens that one that has made `made` still makes on average.
    #[must_use]
    pub fn rest(&self, made: Tokens) -> Tokens {
        let left = self.longest.saturating_sub(made);
        let step = left / Tokens::from(STEPS) + 1;
        let mut sum = 0.0;
        let mut at = 0;
        while at < left {
            let wide = step.min(left - at);
            sum += self.survives(made, at + wide / 2) * as_f64(wide);
            at += step;
        }
        whole(sum)
    }

    /// The chance to get longer than so many tokens.
    fn chance(&self, tokens: Tokens) -> f64 {
        if tokens == 0 {
            return 1.0;
        }
        let distance = (as_f64(tokens).ln() - self.mean) / self.spread;
        0.5 * libm::erfc(distance / std::f64::consts::SQRT_2)
    }
}

#[derive(Clone, Copy, Debug)]
struct Fit {
    weight: f64,
    mean: f64,
    /// Sum of squared distances from the mean.
    squares: f64,
}

/// What was learned of each route's lengths.
#[derive(Debug, Default)]
pub struct Lengths {
    routes: HashMap<RouteId, Fit>,
}

impl Lengths {
    /// Learns from a generation that came to its end.
    pub fn ended(&mut self, route: &RouteId, longest: Tokens, made: Tokens) {
        if made == 0 {
            return;
        }
        let fit = self
            .routes
            .entry(route.clone())
            .or_insert_with(|| prior(longest));
        if fit.weight > MEMORY {
            fit.weight /= 2.0;
            fit.squares /= 2.0;
        }
        let seen = as_f64(made).ln();
        let before = seen - fit.mean;
        fit.weight += 1.0;
        fit.mean += before / fit.weight;
        fit.squares += before * (seen - fit.mean);
    }

    /// What is expected of a new generation.
    #[must_use]
    pub fn expect(&self, route: &str, longest: Tokens, hint: Option<Tokens>) -> Length {
        let fit = self.routes.get(route).copied();
        let fit = fit.unwrap_or_else(|| prior(longest));
        let spread = (fit.squares / fit.weight).sqrt().max(LEAST_SPREAD);
        let Some(hint) = hint.filter(|hint| *hint > 0) else {
            return Length {
                mean: fit.mean,
                spread,
                longest,
            };
        };
        let (known, told) = (spread.powi(-2), HINT_SPREAD.powi(-2));
        let mean = (fit.mean * known + as_f64(hint).ln() * told) / (known + told);
        Length {
            mean,
            spread: (known + told).powf(-0.5).max(LEAST_SPREAD),
            longest,
        }
    }
}

fn prior(longest: Tokens) -> Fit {
    Fit {
        weight: PRIOR_WEIGHT,
        mean: (as_f64(longest.max(2)) * PRIOR_SHARE).max(1.0).ln(),
        squares: PRIOR_SPREAD * PRIOR_SPREAD * PRIOR_WEIGHT,
    }
}
