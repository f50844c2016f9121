//! Being told to stop, and waiting for the last request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use errors::{Context, Result};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};
use timer::Timer;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// After the last request ended, its last messages to owners still have to leave.
const FLUSH: Duration = Duration::from_millis(300);

/// A switch that SIGTERM and SIGINT set.
///
/// # Errors
/// Passes on why the system does not let us watch them.
pub fn watch_signals() -> Result<Arc<AtomicBool>> {
    let told = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        flag::register(signal, Arc::clone(&told)).context("watching for signals")?;
    }
    Ok(told)
}

/// Waits until a switch is set.
pub async fn until_set(told: &AtomicBool) {
    let mut ticks = Timer::new().every(LOOK);
    while !told.load(Ordering::Acquire) {
        ticks.next().await;
    }
}

/// Waits until nothing is open. It has no time limit: a planned stop cuts no request short.
pub async fn until_idle(timer: Timer, open: impl Fn() -> usize) {
    let mut ticks = timer.every(LOOK);
    while open() > 0 {
        ticks.next().await;
    }
    timer.sleep(FLUSH).await;
}
