//! How late this process is: what it has awaited in a time in which it was late may have happened unnoticed.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::boot_time;

/// A timer that fires later than it was set to by more than this shows that the process is late.
const MAX_LATENESS: Duration = Duration::from_millis(8);

/// When the process was last found to be late, in milliseconds since the machine started.
static LATE_AT_MS: AtomicU64 = AtomicU64::new(0);

/// Records by how much a timer was late. Returns whether that makes the process late.
pub fn record(late: Duration) -> bool {
    let is_late = late > MAX_LATENESS;
    if is_late {
        LATE_AT_MS.fetch_max(millis(boot_time()), Ordering::AcqRel);
    }
    is_late
}

/// Whether the process was late at any time since a moment.
#[must_use]
pub fn was_late_since(since: Duration) -> bool {
    LATE_AT_MS.load(Ordering::Acquire) >= millis(since).max(1)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
