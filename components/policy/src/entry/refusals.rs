//! Refusals that placement leads to. None of these requests has been executed.

use std::time::Duration;

use types::Refusal;

/// Retry delay for conditions that should soon pass, such as a change of ownership.
const RETRY_AFTER_TRANSITION: Duration = Duration::from_secs(1);

/// No target of the service accepts work.
#[must_use]
pub fn no_target() -> Refusal {
    let detail = "no target of this service is in service at present";
    Refusal::new(503, "no-target", "No target", detail).with_retry_after(RETRY_AFTER_TRANSITION)
}

/// No owner to request a permit from was found in time.
#[must_use]
pub fn no_owner() -> Refusal {
    let detail = "the instances are settling who places requests; nothing was sent";
    Refusal::new(503, "no-owner", "Not placed in time", detail)
        .with_retry_after(RETRY_AFTER_TRANSITION)
}

/// The expected wait exceeds the time left until the caller's deadline.
#[must_use]
pub fn overloaded(retry_after: Duration) -> Refusal {
    let detail = "more work is waiting than can be served before this request's deadline";
    Refusal::new(503, "overloaded", "Too much work", detail).with_retry_after(retry_after)
}

/// The deadline passed while the request waited.
#[must_use]
pub fn too_late(retry_after: Duration) -> Refusal {
    let detail = "no target became free before this request's deadline";
    Refusal::new(504, "deadline", "Deadline passed", detail).with_retry_after(retry_after)
}

/// The service's retry budget is used up.
#[must_use]
pub fn no_retry() -> Refusal {
    let detail = "the last try failed, and the service's retry budget is used up";
    Refusal::new(503, "retry-budget", "No more retries", detail)
        .with_retry_after(RETRY_AFTER_TRANSITION)
}
