//! The end of an instance's life, for those that wait for something.

use std::time::Duration;

use parking_lot::Mutex;
use timer::boot_time;
use types::Moment;

use crate::latch::Latch;

/// The end of an instance's life.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// Until when it serves what it has taken, once it was told to stop.
    deadline: Mutex<Option<Moment>>,
    /// Open once what is still at work is given up.
    abort: Latch,
}

impl Shutdown {
    /// It was told to stop, and serves what it has taken until then.
    pub fn begin(&self, at: Moment) {
        *self.deadline.lock() = Some(at);
    }

    /// Time left to serve what it has taken, once it was told to stop.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        let at = *self.deadline.lock();
        at.map(|at| at.saturating_sub(boot_time()))
    }

    /// Gives up what is still at work: requests get an answer of our own, streams are cut.
    pub fn abort(&self) {
        self.abort.open();
    }

    /// Waits until what is still at work is given up.
    pub async fn aborted(&self) {
        self.abort.wait().await;
    }
}
