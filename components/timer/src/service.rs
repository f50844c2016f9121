//! The clock and the timers of a process.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use smol::{Timer as Sleep, future, stream::StreamExt};

use crate::lateness;

/// Returns the time since the machine started, including the time while it was suspended.
///
/// The monotonic clock of the standard library stops while a machine is suspended. With it, cached
/// state would look younger than it is after a suspension, and a key that was revoked meanwhile
/// would be accepted. So the age of cached state is measured with this clock.
#[must_use]
pub fn boot_time() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // Neither value is ever negative.
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}

/// How much longer a late process may await an answer, as a multiple of the time for it.
const MAX_EXTENSION: u32 = 2;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoAnswer {
    /// None arrived in time.
    Silent,
    /// This process was too late itself to notice one.
    Late,
}

/// The clock and the timers of a process. All copies show the same time.
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

    /// Waits for `time`.
    pub async fn sleep(&self, time: Duration) {
        Sleep::after(time).await;
    }

    /// Returns periodic ticks. A receiver that is late gets one tick, not all that it missed.
    #[must_use]
    pub fn every(&self, period: Duration) -> Ticks {
        Ticks {
            timer: *self,
            inner: Sleep::interval(period),
        }
    }

    /// Awaits a future for at most `time`. Returns `None` if it did not complete in time.
    pub async fn within<T>(&self, time: Duration, task: impl Future<Output = T>) -> Option<T> {
        let timeout = async {
            Sleep::after(time).await;
            None
        };
        future::or(async { Some(task.await) }, timeout).await
    }

    /// Awaits an answer of another process for at most `time`. Time in which this process was late itself
    /// does not count, as the answer may have arrived unnoticed: it's added, up to twice the time.
    ///
    /// # Errors
    /// Returns whether the other process was silent, or this one late.
    pub async fn await_answer<T>(
        &self,
        time: Duration,
        answer: impl Future<Output = T>,
    ) -> Result<T, NoAnswer> {
        let since = boot_time();
        let mut due = Instant::now() + time;
        let timeout = async {
            let mut extension_left = time * MAX_EXTENSION;
            loop {
                Sleep::at(due).await;
                let late = due.elapsed();
                let is_late = lateness::record(late);
                if !is_late && !lateness::was_late_since(since) {
                    return Err(NoAnswer::Silent);
                }
                if !is_late || extension_left.is_zero() {
                    return Err(NoAnswer::Late);
                }
                let extension = late.min(extension_left);
                extension_left -= extension;
                due = Instant::now() + extension;
            }
        };
        future::or(async { Ok(answer.await) }, timeout).await
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}

/// Periodic ticks, made by [`Timer::every`].
#[derive(Debug)]
pub struct Ticks {
    timer: Timer,
    inner: Sleep,
}

impl Ticks {
    /// Waits for the next tick. Returns the time since the clock started.
    pub async fn next(&mut self) -> Duration {
        self.inner.next().await;
        self.timer.now()
    }
}
