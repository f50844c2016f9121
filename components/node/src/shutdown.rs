//! Being told to stop, and waiting for the last request.

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

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// After the last request ended, its last messages to owners still have to leave.
const FLUSH: Duration = Duration::from_millis(300);

/// Switches that signals set.
pub struct Signals {
    stop: Arc<AtomicBool>,
    hang_up: Arc<AtomicBool>,
}

impl Signals {
    /// Watches SIGTERM and SIGINT, which ask the process to stop, and SIGHUP, which would end it
    /// at once if nobody watched.
    ///
    /// # Errors
    /// Passes on why the system does not let us watch them.
    pub fn watch() -> Result<Self> {
        let signals = Self {
            stop: Arc::default(),
            hang_up: Arc::default(),
        };
        for (signal, set) in [
            (SIGTERM, &signals.stop),
            (SIGINT, &signals.stop),
            (SIGHUP, &signals.hang_up),
        ] {
            flag::register(signal, Arc::clone(set)).context("watching for signals")?;
        }
        Ok(signals)
    }

    /// Waits until the process is asked to stop.
    pub async fn until_stop(&self) {
        let mut ticks = Timer::new().every(LOOK);
        while !self.stop.load(Ordering::Acquire) {
            if self.hang_up.swap(false, Ordering::AcqRel) {
                events::emit(&Event::HangUp);
            }
            ticks.next().await;
        }
    }
}

/// Waits until no request is open: those whose callers went away go on without a connection. It
/// has no time limit: a planned stop cuts no request short.
///
/// Nothing may come in any more, or what does after the last look is cut.
pub async fn until_idle(timer: Timer, open: impl Fn() -> usize) {
    let mut ticks = timer.every(LOOK);
    while open() > 0 {
        ticks.next().await;
    }
    timer.sleep(FLUSH).await;
}
