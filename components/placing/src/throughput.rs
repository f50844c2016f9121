//! How fast a service's engines read prompts and make tokens: learned from what they show.
//!
//! Engines of another make read three times as slowly. Whoever goes on counting with the speed of
//! those before lets everybody in a little too late: half of the first events came late, though
//! the order was right.

use std::time::Duration;

use types::Tokens;

use crate::tuning::as_f64;

/// Prompt tokens that the speed before any was seen is worth.
const PRIOR_PREFILL_TOKENS: f64 = 20_000.0;
/// Made tokens that the token time before any was seen is worth.
const PRIOR_DECODE_TOKENS: f64 = 20_000.0;
/// Tokens that are remembered, about; older ones fade.
const WINDOW_TOKENS: f64 = 200_000.0;
/// How far what is learned may lie from what was expected, as a factor either way. What is seen
/// goes through entries that may be frozen or slow.
const MAX_DEVIATION: f64 = 6.0;
/// Prompts below this are mostly the fixed part of a first event.
const MIN_PREFILL_TOKENS: Tokens = 400;

/// How fast a service's engines work.
#[derive(Clone, Copy, Debug)]
pub struct Throughput {
    /// Prompt tokens read in a millisecond beside a running batch.
    prompt_tokens_per_ms: f64,
    /// Time between two tokens of a generation.
    token_time: Duration,
}

impl Throughput {
    /// A pace.
    #[must_use]
    pub const fn new(prompt_tokens_per_ms: f64, token_time: Duration) -> Self {
        Self {
            prompt_tokens_per_ms,
            token_time,
        }
    }

    /// Time to read a prompt.
    #[must_use]
    pub fn prefill_time(&self, prompt_tokens: Tokens) -> Duration {
        Duration::from_secs_f64(as_f64(prompt_tokens) / self.prompt_tokens_per_ms / 1_000.0)
    }

    /// Tokens made in a time.
    #[must_use]
    pub fn tokens_in(&self, time: Duration) -> Tokens {
        let tokens_generated = time.as_micros() / self.token_time.as_micros().max(1);
        Tokens::try_from(tokens_generated).unwrap_or(Tokens::MAX)
    }

    /// Time to make tokens.
    #[must_use]
    pub fn decode_time(&self, tokens: Tokens) -> Duration {
        let count = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.token_time.saturating_mul(count)
    }
}

/// Tokens, and the time that they took.
#[derive(Clone, Copy, Debug)]
struct RateTotals {
    tokens: f64,
    /// In milliseconds.
    time_ms: f64,
}

impl RateTotals {
    fn add(&mut self, tokens: Tokens, time: Duration) {
        self.tokens += as_f64(tokens);
        self.time_ms += time.as_secs_f64() * 1_000.0;
        if self.tokens > WINDOW_TOKENS {
            self.tokens /= 2.0;
            self.time_ms /= 2.0;
        }
    }

    fn per_ms(&self) -> f64 {
        self.tokens / self.time_ms.max(f64::MIN_POSITIVE)
    }
}

/// What engines of one service have shown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ThroughputEstimator {
    prior: Throughput,
    prefill: RateTotals,
    decode: RateTotals,
}

impl ThroughputEstimator {
    /// Knows nothing but what is expected.
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

    /// An engine has read a prompt in a time.
    pub fn record_prefill(&mut self, prompt_tokens: Tokens, time: Duration) {
        let least = self
            .prior
            .prefill_time(prompt_tokens)
            .div_f64(MAX_DEVIATION);
        let most = self
            .prior
            .prefill_time(prompt_tokens)
            .mul_f64(MAX_DEVIATION);
        if prompt_tokens >= MIN_PREFILL_TOKENS {
            self.prefill.add(prompt_tokens, time.clamp(least, most));
        }
    }

    /// An engine has made tokens of a generation in a time.
    pub fn record_decode(&mut self, tokens: Tokens, time: Duration) {
        let least = self.prior.decode_time(tokens).div_f64(MAX_DEVIATION);
        let most = self.prior.decode_time(tokens).mul_f64(MAX_DEVIATION);
        if tokens > 0 {
            self.decode.add(tokens, time.clamp(least, most));
        }
    }

    /// The pace that is to be counted with.
    pub fn throughput(&self) -> Throughput {
        let token_time = Duration::from_secs_f64(1.0 / self.decode.per_ms() / 1_000.0);
        Throughput::new(self.prefill.per_ms(), token_time)
    }
}
