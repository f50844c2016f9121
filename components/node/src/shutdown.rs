//! Signals that ask the process to stop, and the wait for the last request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use errors::{Context, Result};
use events::Event;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
};
use timer::Timer;

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay after the last request has ended, in which its last messages to owners are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// Flags that are set when a signal arrives.
pub struct Signals {
    stop: Arc<AtomicBool>,
    hang_up: Arc<AtomicBool>,
}

impl Signals {
    /// Registers handlers for SIGTERM and SIGINT, which ask the process to stop, and for SIGHUP,
    /// which would terminate the process without a handler.
    ///
    /// # Errors
    /// Fails if the system does not accept a handler.
    pub fn watch() -> Result<Self> {
        let signals = Self {
            stop: Arc::default(),
            hang_up: Arc::default(),
        };
        for (signal, received) in [
            (SIGTERM, &signals.stop),
            (SIGINT, &signals.stop),
            (SIGHUP, &signals.hang_up),
        ] {
            flag::register(signal, Arc::clone(received)).context("registering signal handlers")?;
        }
        Ok(signals)
    }

    /// Waits until the process is asked to stop.
    pub async fn wait_for_stop(&self) {
        let mut ticks = Timer::new().every(POLL_INTERVAL);
        while !self.stop.load(Ordering::Acquire) {
            if self.hang_up.swap(false, Ordering::AcqRel) {
                events::emit(&Event::HangUp);
            }
            ticks.next().await;
        }
    }
}

/// Fraction of the time for a shutdown in which connections are accepted at most.
const ACCEPT_FRACTION: f64 = 0.5;
/// Part of that time which is not used: the signal is noticed with a delay, and so is the end.
const RESERVE: Duration = Duration::from_millis(200);
/// Fraction of the rest in which requests are served to completion.
const SERVE_FRACTION: f64 = 0.92;
/// Fraction of the rest after which the answers to those that were ended have been sent too.
const ANSWER_FRACTION: f64 = 0.97;

/// Deadlines of a shutdown, relative to its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownSchedule {
    /// Until when connections are accepted.
    pub accept: Duration,
    /// Until when requests are served to completion; what is still open is ended then.
    pub serve: Duration,
    /// Until when the answers to those have been sent.
    pub answer: Duration,
    /// Until when the process ends.
    pub end: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a process that accepts connections for `accept` and is killed after `total`.
    #[must_use]
    pub fn new(accept: Duration, total: Duration) -> Self {
        let usable = total.saturating_sub(RESERVE);
        Self {
            accept: accept.min(usable.mul_f64(ACCEPT_FRACTION)),
            serve: usable.mul_f64(SERVE_FRACTION),
            answer: usable.mul_f64(ANSWER_FRACTION),
            end: usable,
        }
    }
}

/// Waits until no request is open. Requests whose callers have disconnected may still be running
/// without a connection.
///
/// The caller of this function must have stopped accepting requests: one that arrives after the
/// last check would be interrupted.
pub async fn wait_until_idle(timer: Timer, open: impl Fn() -> usize) {
    let mut ticks = timer.every(POLL_INTERVAL);
    while open() > 0 {
        ticks.next().await;
    }
    timer.sleep(FLUSH_DELAY).await;
}
