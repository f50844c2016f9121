//! How long generations get: learned from those that ended, and from callers' estimates.
//!
//! Lengths of a route spread like a lognormal. Callers' estimates are right at the median and spread
//! more widely than the lengths themselves, so an estimate moves the expectation by a part of its
//! distance only.

use std::collections::HashMap;

use types::{RouteId, Tokens};

use crate::tuning::{as_f64, round_tokens};

/// Spread of callers' estimates: standard deviation of their logarithm.
const HINT_LOG_STD_DEV: f64 = 1.2;
/// Spread of lengths before any has ended.
const PRIOR_LOG_STD_DEV: f64 = 0.8;
/// Median length before any has ended, as a part of the longest allowed.
const PRIOR_MEDIAN_SHARE: f64 = 0.3;
/// How many ended generations the prior is worth.
const PRIOR_WEIGHT: f64 = 5.0;
/// Ended generations that are remembered, about; older ones fade.
const MAX_WEIGHT: f64 = 500.0;
/// The narrowest spread; with less, one odd generation would seem impossible.
const MIN_LOG_STD_DEV: f64 = 0.1;
/// Steps in which the rest of a generation is summed up.
const INTEGRATION_STEPS: u32 = 24;

/// What is expected of one generation's length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    /// Mean of the logarithm of its tokens.
    log_mean: f64,
    /// Standard deviation of that.
    log_std_dev: f64,
    max_tokens: Tokens,
}

impl LengthEstimate {
    /// The chance that one that has made `made` tokens makes `more` at least.
    #[must_use]
    pub fn survival_probability(&self, tokens_generated: Tokens, more: Tokens) -> f64 {
        if tokens_generated + more >= self.max_tokens {
            return 0.0;
        }
        let now = self.tail_probability(tokens_generated);
        if now <= f64::EPSILON {
            // It outlived all expectation, and may end any moment.
            return 0.5;
        }
        (self.tail_probability(tokens_generated + more) / now).clamp(0.0, 1.0)
    }

    /// Tokens that one that has made `made` still makes on average.
    #[must_use]
    pub fn expected_remaining(&self, tokens_generated: Tokens) -> Tokens {
        let remaining = self.max_tokens.saturating_sub(tokens_generated);
        let step = remaining / Tokens::from(INTEGRATION_STEPS) + 1;
        let mut sum = 0.0;
        let mut at = 0;
        while at < remaining {
            let wide = step.min(remaining - at);
            sum += self.survival_probability(tokens_generated, at + wide / 2) * as_f64(wide);
            at += step;
        }
        round_tokens(sum)
    }

    /// The chance to get longer than so many tokens.
    fn tail_probability(&self, tokens: Tokens) -> f64 {
        if tokens == 0 {
            return 1.0;
        }
        let distance = (as_f64(tokens).ln() - self.log_mean) / self.log_std_dev;
        0.5 * libm::erfc(distance / std::f64::consts::SQRT_2)
    }
}

#[derive(Clone, Copy, Debug)]
struct LogNormalFit {
    weight: f64,
    log_mean: f64,
    /// Sum of squared distances from the mean.
    squared_distances: f64,
}

/// What was learned of each route's lengths.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    routes: HashMap<RouteId, LogNormalFit>,
}

impl LengthEstimator {
    /// Learns from a generation that came to its end.
    pub fn record(&mut self, route: &RouteId, max_tokens: Tokens, tokens_generated: Tokens) {
        if tokens_generated == 0 {
            return;
        }
        let fit = self
            .routes
            .entry(route.clone())
            .or_insert_with(|| prior(max_tokens));
        if fit.weight > MAX_WEIGHT {
            fit.weight /= 2.0;
            fit.squared_distances /= 2.0;
        }
        let seen = as_f64(tokens_generated).ln();
        let before = seen - fit.log_mean;
        fit.weight += 1.0;
        fit.log_mean += before / fit.weight;
        fit.squared_distances += before * (seen - fit.log_mean);
    }

    /// What is expected of a new generation.
    #[must_use]
    pub fn estimate(
        &self,
        route: &str,
        max_tokens: Tokens,
        length_hint: Option<Tokens>,
    ) -> LengthEstimate {
        let fit = self.routes.get(route).copied();
        let fit = fit.unwrap_or_else(|| prior(max_tokens));
        let log_std_dev = (fit.squared_distances / fit.weight)
            .sqrt()
            .max(MIN_LOG_STD_DEV);
        let Some(length_hint) = length_hint.filter(|length_hint| *length_hint > 0) else {
            return LengthEstimate {
                log_mean: fit.log_mean,
                log_std_dev,
                max_tokens,
            };
        };
        let (fitted, hinted) = (log_std_dev.powi(-2), HINT_LOG_STD_DEV.powi(-2));
        let log_mean =
            (fit.log_mean * fitted + as_f64(length_hint).ln() * hinted) / (fitted + hinted);
        LengthEstimate {
            log_mean,
            log_std_dev: (fitted + hinted).powf(-0.5).max(MIN_LOG_STD_DEV),
            max_tokens,
        }
    }
}

fn prior(max_tokens: Tokens) -> LogNormalFit {
    LogNormalFit {
        weight: PRIOR_WEIGHT,
        log_mean: (as_f64(max_tokens.max(2)) * PRIOR_MEDIAN_SHARE)
            .max(1.0)
            .ln(),
        squared_distances: PRIOR_LOG_STD_DEV * PRIOR_LOG_STD_DEV * PRIOR_WEIGHT,
    }
}
