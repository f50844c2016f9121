//! A time limit for consecutive waits that almost always end early.

use std::{
    future::Future,
    pin::{Pin, pin},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use smol::{Timer as Sleep, future};

/// Limits the duration of one wait after the other with a single timer.
///
/// Setting a timer for each wait would wake the thread that manages the timers, and a stream waits
/// for every token. So the timer stays set from one wait to the next. Only when it fires is it
/// compared with the deadline of the current wait and, if that is later, set to it.
#[derive(Debug, Default)]
pub struct ReusableTimeout {
    timer: Option<ActiveTimer>,
}

#[derive(Debug)]
struct ActiveTimer {
    sleep: Sleep,
    fires_at: Instant,
}

impl ReusableTimeout {
    /// Creates the time limit; no timer is set until the first wait.
    #[must_use]
    pub const fn new() -> Self {
        Self { timer: None }
    }

    /// Awaits a future for at most `time`. Returns `None` if it did not complete in time.
    pub async fn within<T>(&mut self, time: Duration, task: impl Future<Output = T>) -> Option<T> {
        let mut task = pin!(task);
        let mut deadline = None;
        future::poll_fn(|cx| {
            if let Poll::Ready(out) = task.as_mut().poll(cx) {
                return Poll::Ready(Some(out));
            }
            // Not reached by waits that complete at once, so that they don't read the clock.
            let deadline = *deadline.get_or_insert_with(|| Instant::now() + time);
            self.poll_deadline(cx, deadline).map(|()| None)
        })
        .await
    }

    /// Is ready once the deadline has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        let new = || ActiveTimer {
            sleep: Sleep::at(deadline),
            fires_at: deadline,
        };
        let timer = self.timer.get_or_insert_with(new);
        if timer.fires_at > deadline {
            // The timer is still set to the later deadline of an earlier wait.
            timer.move_to(deadline);
        }
        while Pin::new(&mut timer.sleep).poll(cx).is_ready() {
            if Instant::now() >= deadline {
                self.timer = None;
                return Poll::Ready(());
            }
            timer.move_to(deadline);
        }
        Poll::Pending
    }
}

impl ActiveTimer {
    fn move_to(&mut self, deadline: Instant) {
        self.sleep.set_at(deadline);
        self.fires_at = deadline;
    }
}
