//! How long an unanswered call to the store is waited for. No I/O.
//!
//! A store that was silent for a while answers new calls at once when it is back, and the old ones
//! never: one who waits long for an old call goes on refusing callers for want of knowledge though
//! the store is there. One who never waits long gets nothing from a slow store. And what arrives
//! slowly has been answered: calls that are given up in the middle of a large answer, and made
//! again, keep a narrow link full for nothing. So this is the time to an answer's head only.

use std::time::Duration;

/// Time for a call that is expected to be answered at once. A store answers within 5 ms as a rule,
/// and one that is slow within 0.4 s.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for an answer beyond the time that it may wait for changes.
pub const FOLLOW_MARGIN: Duration = Duration::from_millis(700);
/// Times for calls in a row to a store that was lost, again and again. One in four is long, for a
/// store that is slower than any that was seen.
const OUTAGE_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(400),
    Duration::from_millis(600),
    Duration::from_millis(600),
    Duration::from_millis(2_000),
];

/// Time for a call to a store that has failed so many times in a row.
#[must_use]
pub fn outage_timeout(failures: u32) -> Duration {
    let at = usize::try_from(failures).unwrap_or(usize::MAX) % OUTAGE_TIMEOUTS.len();
    OUTAGE_TIMEOUTS[at]
}
