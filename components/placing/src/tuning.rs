//! Parameters of the placement decisions.

use std::time::Duration;

use serde::{Deserialize, Deserializer};
use types::Tokens;

use crate::throughput::Throughput;

/// Parameters of the placement decisions, and switches for single parts of them. Operators can set
/// each of them; durations are given in milliseconds there.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Prompt tokens that an engine processes per millisecond while a batch is running; used until
    /// its speed is measured.
    pub prompt_tokens_per_ms: f64,
    /// Time between two tokens of a generation; used until it is measured.
    #[serde(rename = "token_time_ms", deserialize_with = "millis")]
    pub token_time: Duration,
    /// Share of an engine's memory that the projected peak may take. The rest is for generations
    /// that become longer than expected; without it engines preempt, and process prompts again.
    pub memory_share: f64,
    /// The same share for generations that run longer than `short_generation`. When an engine shuts
    /// down, the others need room for the generations that migrate.
    pub long_share: f64,
    /// The same share for requests that can no longer meet their objective, where many requests of
    /// the route are rejected: those that still can go first. Without rejections it is
    /// `long_share`.
    pub late_share: f64,
    /// A generation that is expected to end within this time ends before a reclaimed engine stops.
    #[serde(rename = "short_for_ms", deserialize_with = "millis")]
    pub short_generation: Duration,
    /// Share of the engines' prefill capacity that is available to callers that retry.
    #[serde(rename = "return_share")]
    pub retry_share: f64,
    /// Part of its objective that a request leaves to more urgent ones, as a multiple of the difference
    /// of their rejected shares. 0 switches this off.
    pub deference: f64,
    /// Penalty for an engine in another data centre, as additional time to the first event: traffic
    /// between data centres has a price, and migrations take twice as long.
    #[serde(rename = "distance_ms", deserialize_with = "millis")]
    pub remote_penalty: Duration,
    /// Penalty for an engine with full memory, proportionally less where it is emptier. A reclaimed
    /// engine can hand over only so many generations before it stops, so generations are spread
    /// over engines even where this delays a first event a little.
    #[serde(rename = "crowding_ms", deserialize_with = "millis")]
    pub memory_pressure_penalty: Duration,
    /// Penalty for an engine on which one answer is expected to pause for longer than its route allows,
    /// as additional time to the first event. 0 switches this off.
    #[serde(rename = "pause_penalty_ms", deserialize_with = "millis")]
    pub pause_penalty: Duration,
    /// How long an engine is given no work after it rejected or failed a request.
    #[serde(rename = "doubt_ms", deserialize_with = "millis")]
    pub failure_cooldown: Duration,
    /// Maximum age of an engine's load report.
    #[serde(rename = "report_life_ms", deserialize_with = "millis")]
    pub report_max_age: Duration,
    /// Interval at which a waiting entry retries.
    #[serde(rename = "wait_ms", deserialize_with = "millis")]
    pub wait_interval: Duration,
    /// Number of waiting requests for each further increase of the interval: it doubles from this
    /// number on, triples from twice the number, and so on.
    #[serde(rename = "wait_crowd")]
    pub waiting_per_step: u32,
    /// Maximum interval at which a waiting entry retries.
    #[serde(rename = "wait_most_ms", deserialize_with = "millis")]
    pub max_wait_interval: Duration,
    /// How long a late request waits for an engine where no requests are rejected.
    #[serde(rename = "late_wait_calm_ms", deserialize_with = "millis")]
    pub late_wait_uncontended: Duration,
    /// The same where many are rejected. With a longer wait the caller would be better off with an
    /// early rejection.
    #[serde(rename = "late_wait_ms", deserialize_with = "millis")]
    pub late_wait_contended: Duration,
    /// An engine counts as idle while its prefill backlog is shorter than this.
    #[serde(rename = "idle_slack_ms", deserialize_with = "millis")]
    pub idle_slack: Duration,
    /// A waiting request is dropped if it was not repeated for this long.
    #[serde(rename = "wait_life_ms", deserialize_with = "millis")]
    pub waiting_expiry: Duration,
    /// A generation is dropped if its entry did not confirm it for this long.
    #[serde(rename = "run_life_ms", deserialize_with = "millis")]
    pub generation_expiry: Duration,
    /// Whether retries are recognized, and count as late from the caller's first attempt.
    #[serde(rename = "knows_returning")]
    pub recognizes_retries: bool,
    /// Whether a small prompt must find more room than it needs where many requests of its route
    /// are rejected.
    #[serde(rename = "levels_sizes")]
    pub levels_prompt_sizes: bool,
    /// Whether the engines' throughput is measured.
    #[serde(rename = "learns_pace")]
    pub learns_throughput: bool,
    /// Whether the speed of each engine is measured beside that of its service. Without it every
    /// engine counts as fast as the service's mean.
    pub learns_engine_speeds: bool,
    /// Whether lengths are estimated from finished generations.
    pub learns_lengths: bool,
    /// Whether callers' length hints are used.
    #[serde(rename = "takes_hints")]
    pub uses_length_hints: bool,
    /// Whether memory is reserved by the projected peak; otherwise by the sum of all final sizes.
    #[serde(rename = "sums_by_moment")]
    pub uses_peak_memory: bool,
    /// Whether waiting requests are served in order of priority and waiting time.
    #[serde(rename = "takes_turns")]
    pub orders_waiting: bool,
    /// Whether workspaces that ask for more than their fair share leave room to the others while
    /// requests wait or are rejected.
    pub fair_shares: bool,
    /// Whether a request is rejected at once if its prompt cannot be processed in time.
    #[serde(rename = "refuses_by_forecast")]
    pub rejects_by_forecast: bool,
    /// Whether generations with the longest remaining time migrate first; otherwise the order is
    /// arbitrary.
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
            deference: 16.0,
            remote_penalty: Duration::from_millis(40),
            memory_pressure_penalty: Duration::from_millis(1_000),
            pause_penalty: Duration::from_millis(1_500),
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
            learns_engine_speeds: true,
            learns_lengths: true,
            uses_length_hints: true,
            uses_peak_memory: true,
            orders_waiting: true,
            fair_shares: true,
            rejects_by_forecast: true,
            migrates_longest_first: true,
        }
    }
}

impl Tuning {
    /// Reasons why the values are invalid; empty if they are valid.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut must = |is_valid: bool, what: &str| {
            if !is_valid {
                faults.push(what.to_owned());
            }
        };
        let prefill_speed = self.prompt_tokens_per_ms;
        must(
            prefill_speed.is_finite() && prefill_speed > 0.0,
            "prompt_tokens_per_ms must be greater than 0",
        );
        must(
            !self.token_time.is_zero(),
            "token_time_ms must be greater than 0",
        );
        for (share, name) in [
            (self.memory_share, "memory_share"),
            (self.long_share, "long_share"),
            (self.late_share, "late_share"),
            (self.retry_share, "return_share"),
        ] {
            must(
                share > 0.0 && share <= 1.0,
                &format!("{name} must be greater than 0 and at most 1"),
            );
        }
        must(
            self.deference.is_finite() && self.deference >= 0.0,
            "deference must not be negative",
        );
        must(
            !self.wait_interval.is_zero(),
            "wait_ms must be greater than 0",
        );
        must(
            self.wait_interval <= self.max_wait_interval
                && self.max_wait_interval < self.waiting_expiry,
            "wait_ms must not exceed wait_most_ms, and wait_most_ms must be less than wait_life_ms",
        );
        must(
            self.waiting_per_step > 0,
            "wait_crowd must be greater than 0",
        );
        faults
    }

    /// Throughput that is assumed of engines before any was measured.
    #[must_use]
    pub const fn throughput(&self) -> Throughput {
        Throughput::new(self.prompt_tokens_per_ms, self.token_time)
    }
}

/// Deserializes a duration given in milliseconds.
fn millis<'de, D: Deserializer<'de>>(source: D) -> Result<Duration, D::Error> {
    u64::deserialize(source).map(Duration::from_millis)
}

/// Rounds a sum of tokens to a count.
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

/// Converts a count of tokens; these are far below the 52 bits that are exact.
#[must_use]
pub(crate) fn as_f64(tokens: Tokens) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = tokens as f64;
    value
}
