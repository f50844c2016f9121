//! When callers may come back to an instance that knows too little to serve them. No I/O.
//!
//! An instance that has lost the store, or has just started while the store is away, can't say how
//! long that lasts. Told "in a moment" each time, a caller that comes back once only is refused
//! twice and gives up, though it would have waited. An outage that has lasted for some time will
//! last about half as long again as a rule.

use std::time::Duration;

/// The shortest time: one that has just started knows enough after a read of the store.
const LEAST: Duration = Duration::from_millis(300);
/// The longest time; an outage of that length may end at any moment.
const MOST: Duration = Duration::from_secs(10);
/// Part of the time that a caller still waits after which it must be back; the rest is for its
/// answer.
const LATEST_PART: f64 = 1.0 / 3.0;
/// How much longer an outage lasts, as a part of the time that it has lasted.
const LONGER_PART: f64 = 0.5;
/// How far times are spread about their mean, so that callers who were refused together don't all
/// come in the moment in which the store is back.
const SPREAD: f64 = 0.4;

/// When a caller may come back that still waits for `left`, if nothing was known for `lost`.
/// `luck` from 0 up to 1 spreads callers.
#[must_use]
pub fn retry_after(lost: Duration, left: Option<Duration>, luck: f64) -> Duration {
    let about = lost.mul_f64(LONGER_PART).clamp(LEAST, MOST);
    let spread = about.mul_f64(1.0 + SPREAD * (luck - 0.5));
    let latest = left.map_or(MOST, |left| left.mul_f64(LATEST_PART));
    spread.min(latest)
}
