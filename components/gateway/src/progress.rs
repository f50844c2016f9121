//! Limits how often progress is reported to admission.

use std::time::Duration;

use types::{Moment, Tokens};

/// Tokens after which a report is due.
const TOKEN_INTERVAL: Tokens = 32;
/// Time after which a report is due.
const TIME_INTERVAL: Duration = Duration::from_millis(100);

/// Limits the rate of progress reports. A report for each token would take the lock of the
/// placement policy a hundred thousand times per second.
#[derive(Clone, Copy, Debug)]
pub struct ProgressThrottle {
    reported: Tokens,
    reported_at: Moment,
}

impl ProgressThrottle {
    /// Creates a throttle whose last report was `produced` tokens at `now`.
    pub const fn new(produced: Tokens, now: Moment) -> Self {
        Self {
            reported: produced,
            reported_at: now,
        }
    }

    /// Whether a report is due. If so, it counts as made.
    pub fn is_due(&mut self, produced: Tokens, now: Moment) -> bool {
        let enough_tokens = produced >= self.reported + TOKEN_INTERVAL;
        let enough_time = now.saturating_sub(self.reported_at) >= TIME_INTERVAL;
        if enough_tokens || enough_time {
            *self = Self::new(produced, now);
        }
        enough_tokens || enough_time
    }
}
