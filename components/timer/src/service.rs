//! One steady clock for a process, and ticks for its parts.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use smol::{Timer as Sleep, future, stream::StreamExt};

/// The clock and the timers of a process. Cheap to copy; all copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Timer {
    start: Instant,
}

impl Timer {
    /// Starts the clock at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the clock started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Waits.
    pub async fn sleep(&self, time: Duration) {
        Sleep::after(time).await;
    }

    /// Subscribes to ticks. A subscriber that was late gets one tick, not all that it missed.
    #[must_use]
    pub fn every(&self, period: Duration) -> Ticks {
        Ticks {
            timer: *self,
            inner: Sleep::interval(period),
        }
    }

    /// Waits for a task at most this long; `None` if it did not end in time.
    pub async fn within<T>(&self, time: Duration, task: impl Future<Output = T>) -> Option<T> {
        let late = async {
            Sleep::after(time).await;
            None
        };
        future::or(async { Some(task.await) }, late).await
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}

/// A subscription to ticks.
#[derive(Debug)]
pub struct Ticks {
    timer: Timer,
    inner: Sleep,
}

impl Ticks {
    /// Waits for the next tick and tells the time.
    pub async fn next(&mut self) -> Duration {
        self.inner.next().await;
        self.timer.now()
    }
}
