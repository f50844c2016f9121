//! `Retry-After` of instances whose state is too incomplete to serve callers.
//!
//! An instance that has lost the store, or has started while the store is unavailable, can't tell
//! how long that lasts. With a short `Retry-After` each time, a caller that retries only once would
//! be refused twice and give up although it could have waited longer. An outage that has lasted for
//! some time usually lasts about half as long again, so the time grows with the outage.

use std::time::Duration;

/// Shortest time: an instance that has just started is ready after one read of the store.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest time; an outage of that length may end at any moment.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Fraction of the caller's remaining time after which it must have retried; the rest is for its
/// answer.
const LATEST_FRACTION: f64 = 1.0 / 3.0;
/// Expected remaining time of an outage, as a fraction of the time that it has lasted.
const REMAINING_FRACTION: f64 = 0.5;
/// Width of the random spread around the mean, so that callers which were refused together don't
/// all retry at the moment when the store is back.
const SPREAD: f64 = 0.4;

/// When a caller may retry that waits for `time_left`, if the state has been incomplete for
/// `outage`. `random` is a random number in `0.0..1.0` that spreads the retries.
#[must_use]
pub fn retry_after(outage: Duration, time_left: Option<Duration>, random: f64) -> Duration {
    let mean = outage
        .mul_f64(REMAINING_FRACTION)
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let spread = mean.mul_f64(1.0 + SPREAD * (random - 0.5));
    let latest = time_left.map_or(MAX_RETRY_AFTER, |time_left| {
        time_left.mul_f64(LATEST_FRACTION)
    });
    spread.min(latest)
}
