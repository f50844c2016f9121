//! A limit on waits that almost always end early.

use std::{
    future::Future,
    pin::{Pin, pin},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use smol::{Timer as Sleep, future};

/// Limits one wait after the other.
///
/// Setting a system timer for each wait wakes the thread that keeps the timers, and a stream
/// waits for every token. So the timer is left as it is from wait to wait, and only when it goes
/// off is it looked at how long the present wait has lasted, and set again for the rest.
#[derive(Debug, Default)]
pub struct ReusableTimeout {
    set: Option<Set>,
}

#[derive(Debug)]
struct Set {
    sleep: Sleep,
    due: Instant,
}

impl ReusableTimeout {
    /// Makes it.
    #[must_use]
    pub const fn new() -> Self {
        Self { set: None }
    }

    /// Waits for a task at most this long; `None` if it did not end in time.
    pub async fn within<T>(&mut self, time: Duration, task: impl Future<Output = T>) -> Option<T> {
        let mut task = pin!(task);
        let mut end = None;
        future::poll_fn(|cx| {
            if let Poll::Ready(out) = task.as_mut().poll(cx) {
                return Poll::Ready(Some(out));
            }
            // Most waits that are over at once never get here, and ask for no time.
            let end = *end.get_or_insert_with(|| Instant::now() + time);
            self.poll_end(cx, end).map(|()| None)
        })
        .await
    }

    fn poll_end(&mut self, cx: &mut Context<'_>, end: Instant) -> Poll<()> {
        let new = || Set {
            sleep: Sleep::at(end),
            due: end,
        };
        let set = self.set.get_or_insert_with(new);
        if set.due > end {
            // The wait before was allowed longer than this one.
            set.move_to(end);
        }
        while Pin::new(&mut set.sleep).poll(cx).is_ready() {
            if Instant::now() >= end {
                self.set = None;
                return Poll::Ready(());
            }
            set.move_to(end);
        }
        Poll::Pending
    }
}

impl Set {
    fn move_to(&mut self, end: Instant) {
        self.sleep.set_at(end);
        self.due = end;
    }
}
