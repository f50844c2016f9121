//! Figures that the decisions rest on, and which of their parts are in use.

use std::time::Duration;

use serde::{Deserialize, Deserializer};
use types::Tokens;

use crate::throughput::Throughput;

/// Figures that the decisions rest on, and which of their parts are in use. Operators can set each
/// of them; times are in milliseconds there.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Prompt tokens that an engine reads in a millisecond beside a running batch, until it has
    /// shown its own speed.
    pub prompt_tokens_per_ms: f64,
    /// Time between two tokens of a generation, until engines have shown theirs.
    #[serde(rename = "token_time_ms", deserialize_with = "millis")]
    pub token_time: Duration,
    /// Part of an engine's memory that may be taken at the worst moment to come. The rest is for
    /// generations that get longer than expected; without it the engine preempts, and reads
    /// prompts anew.
    pub memory_share: f64,
    /// The same for generations that run longer than `short_for`: when an engine leaves, the
    /// others must have room for what runs there.
    pub long_share: f64,
    /// The same for work that can't be in time any more, where many of its route are refused: what
    /// comes next and can be in time goes first. Where nobody is refused it is as for long ones.
    pub late_share: f64,
    /// A generation that is expected to end within this time is over before an engine that is
    /// reclaimed is gone.
    #[serde(rename = "short_for_ms", deserialize_with = "millis")]
    pub short_generation: Duration,
    /// Part of the engines' reading time that callers get who were told to come back.
    #[serde(rename = "return_share")]
    pub retry_share: f64,
    /// What an engine in another data centre costs, as if its first event came so much later:
    /// bytes between data centres are priced, and moves take twice as long.
    #[serde(rename = "distance_ms", deserialize_with = "millis")]
    pub remote_penalty: Duration,
    /// What an engine costs whose memory is full, in the same sense; less where it is emptier.
    /// An engine that is reclaimed can hand over only so many generations before it is gone, so
    /// they are spread, also where that costs a little of a first event's time.
    #[serde(rename = "crowding_ms", deserialize_with = "millis")]
    pub memory_pressure_penalty: Duration,
    /// How long an engine gets nothing after it refused or failed a request.
    #[serde(rename = "doubt_ms", deserialize_with = "millis")]
    pub failure_cooldown: Duration,
    /// How long an engine's own report counts.
    #[serde(rename = "report_life_ms", deserialize_with = "millis")]
    pub report_max_age: Duration,
    /// How soon an entry asks again that was told to wait.
    #[serde(rename = "wait_ms", deserialize_with = "millis")]
    pub wait_interval: Duration,
    /// Asks that wait before each is told to wait twice as long; with twice as many, three times.
    #[serde(rename = "wait_crowd")]
    pub waiting_per_step: u32,
    /// The longest time that an entry is told to wait before it asks again.
    #[serde(rename = "wait_most_ms", deserialize_with = "millis")]
    pub max_wait_interval: Duration,
    /// How long a caller that is late already waits for an engine where nobody is refused.
    #[serde(rename = "late_wait_calm_ms", deserialize_with = "millis")]
    pub late_wait_uncontended: Duration,
    /// The same where many are refused. Longer, and the caller is better off knowing.
    #[serde(rename = "late_wait_ms", deserialize_with = "millis")]
    pub late_wait_contended: Duration,
    /// An engine counts as idle whose queue of prompts is shorter than this.
    #[serde(rename = "idle_slack_ms", deserialize_with = "millis")]
    pub idle_slack: Duration,
    /// A waiting ask that was not repeated for so long is forgotten.
    #[serde(rename = "wait_life_ms", deserialize_with = "millis")]
    pub waiting_expiry: Duration,
    /// A run that its entry did not confirm for so long is forgotten.
    #[serde(rename = "run_life_ms", deserialize_with = "millis")]
    pub generation_expiry: Duration,
    /// Whether callers that come back are known again, and count as late from their first request.
    #[serde(rename = "knows_returning")]
    pub recognizes_retries: bool,
    /// Whether a small prompt must find more room than its own where many of its route are refused.
    #[serde(rename = "levels_sizes")]
    pub levels_prompt_sizes: bool,
    /// Whether the engines' pace is learned.
    #[serde(rename = "learns_pace")]
    pub learns_throughput: bool,
    /// Whether lengths are learned from generations that ended.
    pub learns_lengths: bool,
    /// Whether callers' estimates of lengths count.
    #[serde(rename = "takes_hints")]
    pub uses_length_hints: bool,
    /// Whether memory is promised for the worst moment to come, not for the sum of all ends.
    #[serde(rename = "sums_by_moment")]
    pub uses_peak_memory: bool,
    /// Whether those that wait have turns, by rank and waiting time.
    #[serde(rename = "takes_turns")]
    pub orders_waiting: bool,
    /// Whether a prompt is refused at once that can't be read in time.
    #[serde(rename = "refuses_by_forecast")]
    pub rejects_by_forecast: bool,
    /// Whether generations are moved off engines that leave the longest rest first; else as they
    /// come.
    #[serde(rename = "moves_longest_first")]
    pub migrates_longest_first: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            prompt_tokens_per_ms: 7.0,
            token_time: Duration::from_millis(9),
            memory_share: 0.95,
            long_share: 0.9,
            late_share: 0.7,
            short_generation: Duration::from_millis(1_500),
            retry_share: 0.25,
            remote_penalty: Duration::from_millis(40),
            memory_pressure_penalty: Duration::from_millis(1_000),
            failure_cooldown: Duration::from_millis(1_000),
            report_max_age: Duration::from_millis(1_800),
            wait_interval: Duration::from_millis(40),
            waiting_per_step: 15,
            max_wait_interval: Duration::from_millis(200),
            late_wait_uncontended: Duration::from_millis(1_000),
            late_wait_contended: Duration::from_millis(200),
            idle_slack: Duration::from_millis(150),
            waiting_expiry: Duration::from_millis(400),
            generation_expiry: Duration::from_secs(3),
            recognizes_retries: true,
            levels_prompt_sizes: true,
            learns_throughput: true,
            learns_lengths: true,
            uses_length_hints: true,
            uses_peak_memory: true,
            orders_waiting: true,
            rejects_by_forecast: true,
            migrates_longest_first: true,
        }
    }
}

impl Tuning {
    /// What is wrong with its figures, one text a fault.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut must = |contains: bool, what: &str| {
            if !contains {
                faults.push(what.to_owned());
            }
        };
        let speed = self.prompt_tokens_per_ms;
        must(
            speed.is_finite() && speed > 0.0,
            "prompt_tokens_per_ms must be more than 0",
        );
        must(
            !self.token_time.is_zero(),
            "token_time_ms must be more than 0",
        );
        for (share, name) in [
            (self.memory_share, "memory_share"),
            (self.long_share, "long_share"),
            (self.late_share, "late_share"),
            (self.retry_share, "return_share"),
        ] {
            must(
                share > 0.0 && share <= 1.0,
                &format!("{name} must be more than 0 and 1 at most"),
            );
        }
        must(!self.wait_interval.is_zero(), "wait_ms must be more than 0");
        must(
            self.wait_interval <= self.max_wait_interval
                && self.max_wait_interval < self.waiting_expiry,
            "wait_ms, wait_most_ms and wait_life_ms must each be longer than the one before",
        );
        must(self.waiting_per_step > 0, "wait_crowd must be more than 0");
        faults
    }

    /// The pace that is expected of engines that have shown nothing yet.
    #[must_use]
    pub const fn throughput(&self) -> Throughput {
        Throughput::new(self.prompt_tokens_per_ms, self.token_time)
    }
}

/// A time that is written in milliseconds.
fn millis<'de, D: Deserializer<'de>>(source: D) -> Result<Duration, D::Error> {
    u64::deserialize(source).map(Duration::from_millis)
}

/// A sum of tokens as a count.
#[must_use]
pub(crate) fn round_tokens(sum: f64) -> Tokens {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and far below 52 bits"
    )]
    let tokens = sum.max(0.0).round() as Tokens;
    tokens
}

/// A count as a fraction's part; counts of tokens are far below the 52 bits that are exact.
#[must_use]
pub(crate) fn as_f64(tokens: Tokens) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = tokens as f64;
    value
}
