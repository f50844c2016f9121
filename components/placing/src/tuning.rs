//! Figures that the decisions rest on.

use std::time::Duration;

use types::Tokens;

/// Figures that the decisions rest on.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Prompt tokens that an engine reads in a millisecond beside a running batch. Engines read
    /// 14 where nothing else runs; with a batch each chunk of 112 tokens waits for a step, and
    /// a prompt of 3,000 tokens took 0.43 to 0.46 s in trials.
    pub prompt_tokens_per_ms: f64,
    /// Time between two tokens of a generation: a step of 7 ms and what a batch of some ten adds.
    pub token_time: Duration,
    /// Part of an engine's memory that may be taken at the worst moment to come. The rest is for
    /// generations that get longer than expected; without it the engine preempts, and reads
    /// prompts anew.
    pub memory_share: f64,
    /// What an engine in another data centre costs, as if its first event came so much later:
    /// bytes between data centres are priced, and moves take twice as long.
    pub distance: Duration,
    /// What an engine costs whose memory is full, in the same sense; less where it is emptier.
    /// It spreads generations, so that fewer are hit when one engine leaves.
    pub crowding: Duration,
    /// What an engine that joined just now costs in the same sense; it reads slowly at first.
    pub newness: Duration,
    /// How long an engine counts as new.
    pub new_for: Duration,
    /// How long an engine gets nothing after it refused or failed a request.
    pub doubt: Duration,
    /// How long an engine's own report counts.
    pub report_life: Duration,
    /// Time that each generation in an engine's queue stands for: to read a prompt of 2,700 tokens.
    pub queued_read: Duration,
    /// How soon an entry asks again that was told to wait.
    pub wait: Duration,
    /// Asks that wait before each is told to wait twice as long; with twice as many, three times.
    pub wait_crowd: u32,
    /// The longest time that an entry is told to wait before it asks again.
    pub wait_most: Duration,
    /// How long a caller that is late already waits for an engine. Longer, and the caller is
    /// better off knowing.
    pub late_wait: Duration,
    /// An engine counts as idle whose queue of prompts is shorter than this.
    pub idle_slack: Duration,
    /// A waiting ask that was not repeated for so long is forgotten.
    pub wait_life: Duration,
    /// A run that its entry did not confirm for so long is forgotten.
    pub run_life: Duration,
    /// A generation that is expected to end within this time is not moved: the move itself
    /// takes about as long.
    pub least_rest: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            prompt_tokens_per_ms: 7.0,
            token_time: Duration::from_micros(9_000),
            memory_share: 0.95,
            distance: Duration::from_millis(40),
            crowding: Duration::from_millis(300),
            newness: Duration::from_millis(200),
            new_for: Duration::from_millis(1_500),
            doubt: Duration::from_millis(1_000),
            report_life: Duration::from_millis(1_800),
            queued_read: Duration::from_millis(390),
            wait: Duration::from_millis(40),
            wait_crowd: 15,
            wait_most: Duration::from_millis(200),
            late_wait: Duration::from_millis(1_000),
            idle_slack: Duration::from_millis(150),
            wait_life: Duration::from_millis(400),
            run_life: Duration::from_secs(3),
            least_rest: Duration::from_millis(200),
        }
    }
}

impl Tuning {
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

/// A count as a fraction's part; counts of tokens are far below the 52 bits that are exact.
#[must_use]
pub(crate) fn as_f64(tokens: Tokens) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = tokens as f64;
    value
}
