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

/// Waits until no request is open. Requests whose callers have disconnected may still be running
/// without a connection. There is no time limit: a planned stop interrupts no request.
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
