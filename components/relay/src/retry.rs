//! Retry state of a stream's connection since its last token.

use std::time::Duration;

use reach::Absence;
use types::Moment;

use crate::gap_estimator::TOKEN_GAP_BOUNDS;

/// Consecutive refused connections after which an engine counts as gone.
const MAX_CONSECUTIVE_REFUSALS: u32 = 6;
/// Delay before the second attempt to resume; it doubles with each further attempt.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Most times that the idle timeout is doubled for silent connections.
const MAX_TIMEOUT_DOUBLINGS: u32 = 8;

/// Counts of failures since the last token.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryState {
    /// Connections that went silent.
    silent_connections: u32,
    /// Refused connections since the last one that was accepted.
    consecutive_refusals: u32,
    /// Time since the first of them.
    absence: Absence,
    /// Attempts to resume.
    attempts: u32,
}

impl RetryState {
    /// Whether the stream has not had to be resumed since its last token.
    pub const fn is_initial(&self) -> bool {
        self.attempts == 0
    }

    /// Records that a connection went silent.
    pub const fn record_silence(&mut self) {
        self.silent_connections += 1;
    }

    /// Records that an attempt to resume begins.
    pub const fn record_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Records that a connection was accepted.
    pub const fn record_connection(&mut self) {
        self.consecutive_refusals = 0;
        self.absence.record_contact();
    }

    /// Records that a connection was refused; returns whether the engine now counts as gone.
    pub fn record_refusal(&mut self, now: Moment) -> bool {
        self.consecutive_refusals += 1;
        self.absence.record_no_connection(now);
        self.consecutive_refusals >= MAX_CONSECUTIVE_REFUSALS && self.absence.shows_end(now)
    }

    /// Returns the idle timeout of the current connection, based on the estimated `timeout` and
    /// doubled for each silent connection. If a new connection is silent too, the engine itself
    /// has stopped, for instance by a preemption, and reconnecting more often does not help.
    pub fn idle_timeout(&self, timeout: Duration) -> Duration {
        let extended =
            timeout.saturating_mul(1 << self.silent_connections.min(MAX_TIMEOUT_DOUBLINGS));
        extended.min(TOKEN_GAP_BOUNDS.max.max(timeout))
    }

    /// Returns the delay before the next attempt. The first attempt has none; later delays are
    /// randomized so that all streams of a broken connection do not reconnect at the same time.
    /// One that would show that the engine has ended is not delayed further.
    pub fn next_delay(&self, now: Moment) -> Duration {
        let Some(doublings) = self.attempts.checked_sub(1) else {
            return Duration::ZERO;
        };
        let delay = INITIAL_BACKOFF.saturating_mul(1 << doublings.min(10));
        let jitter = fastrand::f64().mul_add(0.5, 0.5);
        let delay = delay.min(MAX_BACKOFF).mul_f64(jitter);
        match self.absence.time_left(now) {
            Some(left) if self.consecutive_refusals >= MAX_CONSECUTIVE_REFUSALS => delay.min(left),
            _ => delay,
        }
    }
}
