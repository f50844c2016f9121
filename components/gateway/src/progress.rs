//! How often progress is reported.

use std::time::Duration;

use types::{Moment, Tokens};

/// Tokens after which progress is reported.
const TOKENS: Tokens = 32;
/// Time after which progress is reported.
const TIME: Duration = Duration::from_millis(100);

/// Spares the decisions a report for each token: their lock would be taken a hundred thousand
/// times a second.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    reported: Tokens,
    at: Moment,
}

impl Pace {
    /// Starts with a report of `produced` tokens.
    pub const fn new(produced: Tokens, now: Moment) -> Self {
        Self {
            reported: produced,
            at: now,
        }
    }

    /// Whether a report is due; if so it counts as made.
    pub fn due(&mut self, produced: Tokens, now: Moment) -> bool {
        let many = produced >= self.reported + TOKENS;
        let late = now.saturating_sub(self.at) >= TIME;
        if many || late {
            *self = Self::new(produced, now);
        }
        many || late
    }
}
