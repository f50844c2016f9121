//! The refusals that decisions lead to. None of these requests has run.

use std::time::Duration;

use types::Refusal;

/// When to come back while owners change.
const RETRY_AFTER_TRANSITION: Duration = Duration::from_secs(1);

/// No target of the service can take work at all.
#[must_use]
pub fn no_target() -> Refusal {
    let detail = "no target of this service is in service at present";
    Refusal::new(503, "no-target", "No target", detail).with_retry_after(RETRY_AFTER_TRANSITION)
}

/// No owner could be asked in time.
#[must_use]
pub fn no_owner() -> Refusal {
    let detail = "the instances are settling who places requests; nothing was sent";
    Refusal::new(503, "no-owner", "Not placed in time", detail)
        .with_retry_after(RETRY_AFTER_TRANSITION)
}

/// The wait would be longer than the caller's deadline, or was.
#[must_use]
pub fn overloaded(retry_after: Duration) -> Refusal {
    let detail = "more work is waiting than can be served before this request's deadline";
    Refusal::new(503, "overloaded", "Too much work", detail).with_retry_after(retry_after)
}

/// The deadline passed while waiting.
#[must_use]
pub fn too_late(retry_after: Duration) -> Refusal {
    let detail = "no target became free before this request's deadline";
    Refusal::new(504, "deadline", "Deadline passed", detail).with_retry_after(retry_after)
}

/// Too many retries.
#[must_use]
pub fn no_retry() -> Refusal {
    let detail = "the last try failed, and the service's retry budget is used up";
    Refusal::new(503, "retry-budget", "No more retries", detail)
        .with_retry_after(RETRY_AFTER_TRANSITION)
}
