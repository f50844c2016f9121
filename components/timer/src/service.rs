//! One steady clock for a process, and ticks for its parts.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use smol::{Timer as Sleep, future, stream::StreamExt};

/// Time since the machine started, the time that it was suspended included.
///
/// The steady clock of the standard library stands still while a machine is suspended. What was
/// believed before would look younger than it is: a key that was taken away meanwhile would be
/// honoured. So ages of beliefs are measured with this clock.
#[must_use]
pub fn boot_time() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // Neither is ever negative.
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

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
