//! Detects that the process was paused.

use std::time::Duration;

/// Detects gaps between calls that are made regularly.
///
/// A process that was paused (by SIGSTOP, or with its machine) continues with stale state: that it
/// owns shards, that peers are alive. It would grant permits that another instance grants too. A
/// pause shows as a jump of the clock between two calls, so code that acts on such state first
/// checks for one.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last: Duration,
    limit: Duration,
}

impl PauseDetector {
    /// Starts at `now`; a gap longer than `limit` counts as a pause.
    #[must_use]
    pub const fn new(now: Duration, limit: Duration) -> Self {
        Self { last: now, limit }
    }

    /// Records the time. Returns the length of the gap since the last call if it counts as a pause.
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        (gap > self.limit).then_some(gap)
    }
}
