//! Events that strangers can cause as often as they like.

use std::time::{Duration, Instant};

use events::{Event, emit};
use parking_lot::Mutex;

/// Least time between two log lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Logs an event at most once a second.
///
/// Whoever reaches the admin address can send wrong keys by the thousand. If each were logged, the
/// lines that matter would drown in them, and a log service that charges by volume would charge
/// for them.
#[derive(Default)]
pub struct Throttle {
    last: Mutex<Option<Instant>>,
}

impl Throttle {
    /// Makes one that has logged nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Logs the event unless one was logged within the last second.
    pub fn emit(&self, event: &Event) {
        if self.take_turn(Instant::now()) {
            emit(event);
        }
    }

    fn take_turn(&self, now: Instant) -> bool {
        let mut last = self.last.lock();
        if last.is_some_and(|last| now.duration_since(last) < PERIOD) {
            return false;
        }
        *last = Some(now);
        true
    }
}
