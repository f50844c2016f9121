//! Estimates how long answers will be, from finished generations and from callers' length hints.
//!
//! The lengths of a route follow a log-normal distribution. Callers' hints are unbiased in the
//! median but vary more widely than the lengths themselves, so a hint shifts the estimate only part
//! of the way.

use std::collections::HashMap;

use types::{RouteId, Tokens};

use crate::tuning::{as_f64, round_tokens};

/// Standard deviation of the logarithm of callers' hints.
const HINT_LOG_STD_DEV: f64 = 1.2;
/// Standard deviation of the logarithm of lengths before any generation of a route has finished.
const PRIOR_LOG_STD_DEV: f64 = 0.8;
/// Median length before any generation has finished, as a share of the maximum length.
const PRIOR_MEDIAN_SHARE: f64 = 0.3;
/// Weight of the prior, in finished generations.
const PRIOR_WEIGHT: f64 = 5.0;
/// Approximate number of finished generations that an estimate covers; older ones lose weight.
const MAX_WEIGHT: f64 = 500.0;
/// Lower bound of the standard deviation. Below it a single outlier would have a probability of
/// practically zero.
const MIN_LOG_STD_DEV: f64 = 0.1;
/// Number of steps in the numeric integration of the remaining length.
const INTEGRATION_STEPS: u32 = 24;

/// Estimated distribution of the length of one generation: log-normal, truncated at the maximum
/// length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    /// Mean of the logarithm of the length in tokens.
    log_mean: f64,
    /// Standard deviation of the logarithm of the length.
    log_std_dev: f64,
    max_tokens: Tokens,
}

impl LengthEstimate {
    /// Probability that a generation with `tokens_generated` tokens generates at least `more`
    /// further tokens.
    #[must_use]
    pub fn survival_probability(&self, tokens_generated: Tokens, more: Tokens) -> f64 {
        if tokens_generated.saturating_add(more) >= self.max_tokens {
            return 0.0;
        }
        let current = self.tail_probability(tokens_generated);
        if current <= f64::EPSILON {
            // Longer than the distribution allows for: it may end at any moment.
            return 0.5;
        }
        (self.tail_probability(tokens_generated.saturating_add(more)) / current).clamp(0.0, 1.0)
    }

    /// Expected number of further tokens of a generation that has `tokens_generated` tokens.
    #[must_use]
    pub fn expected_remaining(&self, tokens_generated: Tokens) -> Tokens {
        let remaining = self.max_tokens.saturating_sub(tokens_generated);
        let step = remaining / Tokens::from(INTEGRATION_STEPS) + 1;
        let part = |index: u32| {
            let offset = step.saturating_mul(Tokens::from(index)).min(remaining);
            let width = step.min(remaining - offset);
            self.survival_probability(tokens_generated, offset + width / 2) * as_f64(width)
        };
        round_tokens((0..INTEGRATION_STEPS).map(part).sum())
    }

    /// Probability of more than `tokens` tokens.
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
    /// Sum of the squared deviations from the mean.
    squared_deviations: f64,
}

/// Length distributions of all routes, updated with each finished generation.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    routes: HashMap<RouteId, LogNormalFit>,
}

impl LengthEstimator {
    /// Records the length of a finished generation.
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
            fit.squared_deviations /= 2.0;
        }
        let log_length = as_f64(tokens_generated).ln();
        let deviation = log_length - fit.log_mean;
        fit.weight += 1.0;
        fit.log_mean += deviation / fit.weight;
        fit.squared_deviations += deviation * (log_length - fit.log_mean);
    }

    /// Length estimate for a new generation.
    #[must_use]
    pub fn estimate(
        &self,
        route: &str,
        max_tokens: Tokens,
        length_hint: Option<Tokens>,
    ) -> LengthEstimate {
        let fit = self.routes.get(route).copied();
        let fit = fit.unwrap_or_else(|| prior(max_tokens));
        let log_std_dev = (fit.squared_deviations / fit.weight)
            .sqrt()
            .max(MIN_LOG_STD_DEV);
        let Some(length_hint) = length_hint.filter(|length_hint| *length_hint > 0) else {
            return LengthEstimate {
                log_mean: fit.log_mean,
                log_std_dev,
                max_tokens,
            };
        };
        let (fit_precision, hint_precision) = (log_std_dev.powi(-2), HINT_LOG_STD_DEV.powi(-2));
        let log_mean = (fit.log_mean * fit_precision + as_f64(length_hint).ln() * hint_precision)
            / (fit_precision + hint_precision);
        LengthEstimate {
            log_mean,
            log_std_dev: (fit_precision + hint_precision)
                .powf(-0.5)
                .max(MIN_LOG_STD_DEV),
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
        squared_deviations: PRIOR_LOG_STD_DEV * PRIOR_LOG_STD_DEV * PRIOR_WEIGHT,
    }
}
