//! The shutdown of the instance, for tasks that must react to it.

use std::time::Duration;

use parking_lot::Mutex;
use timer::boot_time;
use types::Moment;
use workers::Latch;

/// The shutdown of the instance.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// Until when open requests are served; set when the shutdown begins.
    deadline: Mutex<Option<Moment>>,
    /// Opened when the remaining requests are aborted.
    abort: Latch,
}

impl Shutdown {
    /// Begins the shutdown; open requests are served until `deadline`.
    pub fn begin(&self, deadline: Moment) {
        *self.deadline.lock() = Some(deadline);
    }

    /// Time left to serve open requests; `None` before the shutdown begins.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        let deadline = *self.deadline.lock();
        deadline.map(|deadline| deadline.saturating_sub(boot_time()))
    }

    /// Aborts what is still running: requests get an error response, streams are cut.
    pub fn abort(&self) {
        self.abort.open();
    }

    /// Waits until what is still running is aborted.
    pub async fn aborted(&self) {
        self.abort.wait().await;
    }
}
