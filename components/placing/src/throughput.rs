//! Measures how fast the engines of a service process prompts and generate tokens.
//!
//! Engine models differ in prefill speed by a factor of three. An owner that went on with the speed
//! of the previous model admitted slightly too many requests, and half of the first events were
//! late although the order of requests was right.

use std::time::Duration;

use types::{
    Tokens,
    bounded::{Bounded, MAX_TIME},
};

use crate::tuning::as_f64;

/// Weight of the configured prefill speed, in prompt tokens.
const PRIOR_PREFILL_TOKENS: f64 = 20_000.0;
/// Weight of the configured token time, in generated tokens.
const PRIOR_DECODE_TOKENS: f64 = 20_000.0;
/// Approximate number of tokens that a measurement covers; older ones lose weight.
const WINDOW_TOKENS: f64 = 200_000.0;
/// Maximum factor between a sample and the configured value. Samples pass through entries that may
/// be frozen or slow.
const MAX_DEVIATION: f64 = 6.0;
/// Shorter prompts are ignored: most of their time to the first event is fixed overhead.
pub(crate) const MIN_PREFILL_TOKENS: Tokens = 400;

/// Speed of one engine, or the mean of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throughput {
    /// Prompt tokens processed per millisecond while a batch is running.
    prompt_tokens_per_ms: f64,
    /// Time between two tokens of a generation.
    token_time: Duration,
}

impl Throughput {
    /// Creates a throughput from both speeds.
    #[must_use]
    pub const fn new(prompt_tokens_per_ms: f64, token_time: Duration) -> Self {
        Self {
            prompt_tokens_per_ms,
            token_time,
        }
    }

    /// Prompt tokens processed per millisecond.
    pub(crate) const fn prompt_tokens_per_ms(&self) -> f64 {
        self.prompt_tokens_per_ms
    }

    /// Time between two tokens of a generation.
    pub(crate) const fn token_time(&self) -> Duration {
        self.token_time
    }

    /// Tokens that one generation generates per millisecond.
    pub(crate) fn generated_tokens_per_ms(&self) -> f64 {
        1.0 / (self.token_time.as_secs_f64() * 1_000.0)
    }

    /// Time to process a prompt.
    #[must_use]
    pub fn prefill_time(&self, prompt_tokens: Tokens) -> Duration {
        let seconds = as_f64(prompt_tokens) / self.prompt_tokens_per_ms / 1_000.0;
        Duration::try_from_secs_f64(seconds).map_or(MAX_TIME, Bounded::bounded)
    }

    /// Number of tokens that one generation generates in `time`.
    #[must_use]
    pub fn tokens_in(&self, time: Duration) -> Tokens {
        let tokens_generated = time.as_micros() / self.token_time.as_micros().max(1);
        Tokens::try_from(tokens_generated).unwrap_or(Tokens::MAX)
    }

    /// Time to generate `tokens` tokens.
    #[must_use]
    pub fn decode_time(&self, tokens: Tokens) -> Duration {
        let count = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.token_time.saturating_mul(count).bounded()
    }
}

/// Tokens and the time that they took, with exponential decay.
#[derive(Clone, Copy, Debug)]
struct RateTotals {
    tokens: f64,
    /// Time in milliseconds.
    time_ms: f64,
}

impl RateTotals {
    fn add(&mut self, tokens: Tokens, time: Duration, weight: f64) {
        self.tokens += as_f64(tokens) * weight;
        self.time_ms += time.as_secs_f64() * 1_000.0 * weight;
        if self.tokens > WINDOW_TOKENS {
            self.tokens /= 2.0;
            self.time_ms /= 2.0;
        }
    }

    fn per_ms(&self) -> f64 {
        self.tokens / self.time_ms.max(f64::MIN_POSITIVE)
    }
}

/// Throughput of one service's engines, measured on top of a configured prior.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ThroughputEstimator {
    prior: Throughput,
    prefill: RateTotals,
    decode: RateTotals,
}

impl ThroughputEstimator {
    /// Starts with the configured throughput and no samples.
    pub fn new(prior: Throughput) -> Self {
        let token_ms = prior.token_time.as_secs_f64() * 1_000.0;
        Self {
            prior,
            prefill: RateTotals {
                tokens: PRIOR_PREFILL_TOKENS,
                time_ms: PRIOR_PREFILL_TOKENS / prior.prompt_tokens_per_ms,
            },
            decode: RateTotals {
                tokens: PRIOR_DECODE_TOKENS,
                time_ms: PRIOR_DECODE_TOKENS * token_ms,
            },
        }
    }

    /// Records the time that an engine took for a prompt. A weight of 1 is that of a sample of an
    /// engine that is as busy as the others.
    pub fn record_prefill(&mut self, prompt_tokens: Tokens, time: Duration, weight: f64) {
        let min = self
            .prior
            .prefill_time(prompt_tokens)
            .div_f64(MAX_DEVIATION);
        let max = self
            .prior
            .prefill_time(prompt_tokens)
            .mul_f64(MAX_DEVIATION);
        if prompt_tokens >= MIN_PREFILL_TOKENS {
            self.prefill
                .add(prompt_tokens, time.clamp(min, max), weight);
        }
    }

    /// Records the time that an engine took for some tokens of a generation.
    pub fn record_decode(&mut self, tokens: Tokens, time: Duration, weight: f64) {
        let min = self.prior.decode_time(tokens).div_f64(MAX_DEVIATION);
        let max = self.prior.decode_time(tokens).mul_f64(MAX_DEVIATION);
        if tokens > 0 {
            self.decode.add(tokens, time.clamp(min, max), weight);
        }
    }

    /// Current estimate of the throughput.
    pub fn throughput(&self) -> Throughput {
        let token_time = Duration::from_secs_f64(1.0 / self.decode.per_ms() / 1_000.0);
        Throughput::new(self.prefill.per_ms(), token_time)
    }
}
