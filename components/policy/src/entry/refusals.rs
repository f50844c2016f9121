//! Refusals that placement leads to. None of these requests has been executed.

use std::time::Duration;

use types::Refusal;

use crate::api::RequestId;

/// Retry delay for conditions that should soon pass, such as a change of ownership.
const RETRY_AFTER_TRANSITION: Duration = Duration::from_secs(1);

/// Steps over which retries after a pause are spread, by request.
const PAUSE_SPREAD_STEPS: u32 = 8;
/// Time between two such steps.
const PAUSE_SPREAD_STEP: Duration = Duration::from_millis(250);

/// No target of the service accepts work.
#[must_use]
pub fn no_target() -> Refusal {
    let detail = "no target of this service is in service at present";
    Refusal::new(503, "no-target", "No target", detail).with_retry_after(RETRY_AFTER_TRANSITION)
}

/// All targets of the service want no requests for a while. Callers that are refused meanwhile are
/// spread over the time after the first pause.
#[must_use]
pub fn paused(left: Duration, request: RequestId) -> Refusal {
    let detail = "all targets of this service want no requests at present";
    let step = u32::try_from(request % u64::from(PAUSE_SPREAD_STEPS)).unwrap_or_default();
    Refusal::new(503, "targets-paused", "No target", detail)
        .with_retry_after(left + PAUSE_SPREAD_STEP * step)
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
