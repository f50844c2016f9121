//! Rate limiting of events that unauthenticated clients can trigger.

use std::time::{Duration, Instant};

use events::{Event, emit};
use parking_lot::Mutex;

/// Minimum time between two log lines.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Logs an event at most once a second.
///
/// Anyone who can reach the admin address can send thousands of wrong keys. Logging each of them
/// would hide the relevant lines and cost money at a log service that charges by volume.
#[derive(Default)]
pub struct Throttle {
    last: Mutex<Option<Instant>>,
}

impl Throttle {
    /// Creates a throttle that has logged nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Logs the event unless one was logged within the last second.
    pub fn emit(&self, event: &Event) {
        if self.try_acquire(Instant::now()) {
            emit(event);
        }
    }

    fn try_acquire(&self, now: Instant) -> bool {
        let mut last = self.last.lock();
        if last.is_some_and(|last| now.duration_since(last) < MIN_INTERVAL) {
            return false;
        }
        *last = Some(now);
        true
    }
}
