//! How fast a service's engines read prompts and make tokens: learned from what they show.
//!
//! Engines of another make read three times as slowly. Whoever goes on counting with the speed of
//! those before lets everybody in a little too late: half of the first events came late, though
//! the order was right.

use std::time::Duration;

use types::Tokens;

use crate::tuning::as_f64;

/// Prompt tokens that the speed before any was seen is worth.
const PRIOR_READ: f64 = 20_000.0;
/// Made tokens that the token time before any was seen is worth.
const PRIOR_MADE: f64 = 20_000.0;
/// Tokens that are remembered, about; older ones fade.
const MEMORY: f64 = 200_000.0;
/// How far what is learned may lie from what was expected, as a factor either way. What is seen
/// goes through entries that may be frozen or slow.
const FARTHEST: f64 = 6.0;
/// Prompts below this are mostly the fixed part of a first event.
const LEAST_PROMPT: Tokens = 400;

/// How fast a service's engines work.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Prompt tokens read in a millisecond beside a running batch.
    prompt_tokens_per_ms: f64,
    /// Time between two tokens of a generation.
    token_time: Duration,
}

impl Pace {
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
    pub fn read_time(&self, prompt: Tokens) -> Duration {
        Duration::from_secs_f64(as_f64(prompt) / self.prompt_tokens_per_ms / 1_000.0)
    }

    /// Tokens made in a time.
    #[must_use]
    pub fn made_in(&self, time: Duration) -> Tokens {
        let made = time.as_micros() / self.token_time.as_micros().max(1);
        Tokens::try_from(made).unwrap_or(Tokens::MAX)
    }

    /// Time to make tokens.
    #[must_use]
    pub fn time_for(&self, tokens: Tokens) -> Duration {
        let count = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.token_time.saturating_mul(count)
    }
}

/// Tokens, and the time that they took.
#[derive(Clone, Copy, Debug)]
struct Seen {
    tokens: f64,
    /// In milliseconds.
    time: f64,
}

impl Seen {
    fn add(&mut self, tokens: Tokens, time: Duration) {
        self.tokens += as_f64(tokens);
        self.time += time.as_secs_f64() * 1_000.0;
        if self.tokens > MEMORY {
            self.tokens /= 2.0;
            self.time /= 2.0;
        }
    }

    fn per_ms(&self) -> f64 {
        self.tokens / self.time.max(f64::MIN_POSITIVE)
    }
}

/// What engines of one service have shown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Learned {
    expected: Pace,
    read: Seen,
    made: Seen,
}

impl Learned {
    /// Knows nothing but what is expected.
    pub fn new(expected: Pace) -> Self {
        let token_ms = expected.token_time.as_secs_f64() * 1_000.0;
        Self {
            expected,
            read: Seen {
                tokens: PRIOR_READ,
                time: PRIOR_READ / expected.prompt_tokens_per_ms,
            },
            made: Seen {
                tokens: PRIOR_MADE,
                time: PRIOR_MADE * token_ms,
            },
        }
    }

    /// An engine has read a prompt in a time.
    pub fn read(&mut self, prompt: Tokens, time: Duration) {
        let least = self.expected.read_time(prompt).div_f64(FARTHEST);
        let most = self.expected.read_time(prompt).mul_f64(FARTHEST);
        if prompt >= LEAST_PROMPT {
            self.read.add(prompt, time.clamp(least, most));
        }
    }

    /// An engine has made tokens of a generation in a time.
    pub fn made(&mut self, tokens: Tokens, time: Duration) {
        let least = self.expected.time_for(tokens).div_f64(FARTHEST);
        let most = self.expected.time_for(tokens).mul_f64(FARTHEST);
        if tokens > 0 {
            self.made.add(tokens, time.clamp(least, most));
        }
    }

    /// The pace that is to be counted with.
    pub fn pace(&self) -> Pace {
        let token_time = Duration::from_secs_f64(1.0 / self.made.per_ms() / 1_000.0);
        Pace::new(self.read.per_ms(), token_time)
    }
}
