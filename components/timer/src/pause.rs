//! Tells when the process did not run for a while.

use std::time::Duration;

/// Notices gaps between calls that should come often.
///
/// A process that was stopped (SIGSTOP, a frozen machine) still believes what it knew before:
/// that it owns shards, that peers are alive. It would hand out permits that somebody else hands
/// out too. One sees it as a jump of the clock between two ticks; so whoever acts on what it
/// knows asks here first.
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

    /// Takes note of the time; tells the length of the pause if there was one.
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        (gap > self.limit).then_some(gap)
    }
}
