//! Timeouts for calls to the store. No I/O.
//!
//! After an outage the store answers new calls at once, and never those made before: with a long
//! timeout an instance would go on refusing callers although the store is back. With only short
//! timeouts it would get nothing from a slow store. The timeouts cover the time until the head of
//! an answer: abandoning and repeating calls in the middle of a large answer would saturate a
//! narrow link.

use std::time::Duration;

/// Timeout for a call that the store should answer at once. It usually takes 5 ms, and 0.4 s when
/// it is slow.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout for a call that may wait for changes, in addition to that wait.
pub const FOLLOW_MARGIN: Duration = Duration::from_millis(700);
/// Timeouts for successive calls during an outage, repeated in a cycle. One in four is long, in
/// case the store is slower than ever observed.
const OUTAGE_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(400),
    Duration::from_millis(600),
    Duration::from_millis(600),
    Duration::from_millis(2_000),
];

/// The timeout for a call after this many failed calls in a row.
#[must_use]
pub fn outage_timeout(failures: u32) -> Duration {
    let index = usize::try_from(failures).unwrap_or(usize::MAX) % OUTAGE_TIMEOUTS.len();
    OUTAGE_TIMEOUTS[index]
}
