//! When a target that can't be asked counts as ended.
//!
//! A refused, reset or silent connection says little: a target at its connection limit refuses or resets new
//! connections while it works on what it has. One that has ended does so for good.

use std::time::Duration;

use types::Moment;

/// How long nothing may have reached a target until it counts as ended. What ran there goes on elsewhere within
/// two seconds, of which the rest is for starting it.
pub const ABSENCE_TIME: Duration = Duration::from_millis(1_400);

/// The time since which a target has not been reached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Absence {
    since: Option<Moment>,
}

impl Absence {
    /// An absence that began at a moment, if one did.
    #[must_use]
    pub const fn new(since: Option<Moment>) -> Self {
        Self { since }
    }

    /// Records a sign of life: a connection opened, even if it was closed at once, or something arrived.
    pub const fn record_contact(&mut self) {
        self.since = None;
    }

    /// Records that a connection did not open.
    pub fn record_no_connection(&mut self, now: Moment) {
        self.since.get_or_insert(now);
    }

    /// Takes a later sign of life into account.
    #[must_use]
    pub fn after(self, contact: Option<Moment>) -> Self {
        Self {
            since: self
                .since
                .map(|since| contact.map_or(since, |at| at.max(since))),
        }
    }

    /// Time until it shows that the target has ended; none if the target was reached last.
    #[must_use]
    pub fn time_left(&self, now: Moment) -> Option<Duration> {
        let since = self.since?;
        Some(ABSENCE_TIME.saturating_sub(now.saturating_sub(since)))
    }

    /// Whether it shows that the target has ended.
    #[must_use]
    pub fn shows_end(&self, now: Moment) -> bool {
        self.time_left(now).is_some_and(|left| left.is_zero())
    }
}
