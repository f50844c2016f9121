//! Figures that the decisions rest on, and which of their parts are in use.

use std::time::Duration;

use serde::{Deserialize, Deserializer};
use types::Tokens;

use crate::pace::Pace;

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
    pub short_for: Duration,
    /// Part of the engines' reading time that callers get who were told to come back.
    pub return_share: f64,
    /// What an engine in another data centre costs, as if its first event came so much later:
    /// bytes between data centres are priced, and moves take twice as long.
    #[serde(rename = "distance_ms", deserialize_with = "millis")]
    pub distance: Duration,
    /// What an engine costs whose memory is full, in the same sense; less where it is emptier.
    /// An engine that is reclaimed can hand over only so many generations before it is gone, so
    /// they are spread, also where that costs a little of a first event's time.
    #[serde(rename = "crowding_ms", deserialize_with = "millis")]
    pub crowding: Duration,
    /// How long an engine gets nothing after it refused or failed a request.
    #[serde(rename = "doubt_ms", deserialize_with = "millis")]
    pub doubt: Duration,
    /// How long an engine's own report counts.
    #[serde(rename = "report_life_ms", deserialize_with = "millis")]
    pub report_life: Duration,
    /// How soon an entry asks again that was told to wait.
    #[serde(rename = "wait_ms", deserialize_with = "millis")]
    pub wait: Duration,
    /// Asks that wait before each is told to wait twice as long; with twice as many, three times.
    pub wait_crowd: u32,
    /// The longest time that an entry is told to wait before it asks again.
    #[serde(rename = "wait_most_ms", deserialize_with = "millis")]
    pub wait_most: Duration,
    /// How long a caller that is late already waits for an engine where nobody is refused.
    #[serde(rename = "late_wait_calm_ms", deserialize_with = "millis")]
    pub late_wait_calm: Duration,
    /// The same where many are refused. Longer, and the caller is better off knowing.
    #[serde(rename = "late_wait_ms", deserialize_with = "millis")]
    pub late_wait: Duration,
    /// An engine counts as idle whose queue of prompts is shorter than this.
    #[serde(rename = "idle_slack_ms", deserialize_with = "millis")]
    pub idle_slack: Duration,
    /// A waiting ask that was not repeated for so long is forgotten.
    #[serde(rename = "wait_life_ms", deserialize_with = "millis")]
    pub wait_life: Duration,
    /// A run that its entry did not confirm for so long is forgotten.
    #[serde(rename = "run_life_ms", deserialize_with = "millis")]
    pub run_life: Duration,
    /// Whether callers that come back are known again, and count as late from their first request.
    pub knows_returning: bool,
    /// Whether a small prompt must find more room than its own where many of its route are refused.
    pub levels_sizes: bool,
    /// Whether the engines' pace is learned.
    pub learns_pace: bool,
    /// Whether lengths are learned from generations that ended.
    pub learns_lengths: bool,
    /// Whether callers' estimates of lengths count.
    pub takes_hints: bool,
    /// Whether memory is promised for the worst moment to come, not for the sum of all ends.
    pub sums_by_moment: bool,
    /// Whether those that wait have turns, by rank and waiting time.
    pub takes_turns: bool,
    /// Whether a prompt is refused at once that can't be read in time.
    pub refuses_by_forecast: bool,
    /// Whether generations are moved off engines that leave the longest rest first; else as they
    /// come.
    pub moves_longest_first: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            prompt_tokens_per_ms: 7.0,
            token_time: Duration::from_millis(9),
            memory_share: 0.95,
            long_share: 0.9,
            late_share: 0.7,
            short_for: Duration::from_millis(1_500),
            return_share: 0.25,
            distance: Duration::from_millis(40),
            crowding: Duration::from_millis(1_000),
            doubt: Duration::from_millis(1_000),
            report_life: Duration::from_millis(1_800),
            wait: Duration::from_millis(40),
            wait_crowd: 15,
            wait_most: Duration::from_millis(200),
            late_wait_calm: Duration::from_millis(1_000),
            late_wait: Duration::from_millis(200),
            idle_slack: Duration::from_millis(150),
            wait_life: Duration::from_millis(400),
            run_life: Duration::from_secs(3),
            knows_returning: true,
            levels_sizes: true,
            learns_pace: true,
            learns_lengths: true,
            takes_hints: true,
            sums_by_moment: true,
            takes_turns: true,
            refuses_by_forecast: true,
            moves_longest_first: true,
        }
    }
}

impl Tuning {
    /// What is wrong with its figures, one text a fault.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, what: &str| {
            if !holds {
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
            (self.return_share, "return_share"),
        ] {
            must(
                share > 0.0 && share <= 1.0,
                &format!("{name} must be more than 0 and 1 at most"),
            );
        }
        must(!self.wait.is_zero(), "wait_ms must be more than 0");
        must(
            self.wait <= self.wait_most && self.wait_most < self.wait_life,
            "wait_ms, wait_most_ms and wait_life_ms must each be longer than the one before",
        );
        must(self.wait_crowd > 0, "wait_crowd must be more than 0");
        faults
    }

    /// The pace that is expected of engines that have shown nothing yet.
    #[must_use]
    pub const fn pace(&self) -> Pace {
        Pace::new(self.prompt_tokens_per_ms, self.token_time)
    }
}

/// A time that is written in milliseconds.
fn millis<'de, D: Deserializer<'de>>(source: D) -> Result<Duration, D::Error> {
    u64::deserialize(source).map(Duration::from_millis)
}

/// A sum of tokens as a count.
#[must_use]
pub(crate) fn whole(sum: f64) -> Tokens {
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
