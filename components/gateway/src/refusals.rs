//! Refusals that originate in the gateway.

use std::time::Duration;

use types::{Execution, Refusal};

/// Retry delay after a temporary shortage.
const RETRY_AFTER_SHORTAGE: Duration = Duration::from_secs(1);
/// Retry delay during an outage of the table service.
const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(5);

/// The request is malformed.
pub fn bad_request(code: &str, detail: &str) -> Refusal {
    Refusal::new(400, code, "The request is not valid", detail)
}

/// The bearer key is missing or unknown.
pub fn bad_key() -> Refusal {
    Refusal::new(
        401,
        "bad-key",
        "The key is missing or unknown",
        "send the workspace's key as `Authorization: Bearer KEY`",
    )
}

/// No route of the workspace matches the request.
pub fn no_route(detail: &str) -> Refusal {
    Refusal::new(404, "unknown-route", "No route for this request", detail)
}

/// The workspace has no such model.
pub fn no_model(model: &str, route: &str) -> Refusal {
    let detail = format!("there is no model `{model}` with route `{route}` for this workspace");
    Refusal::new(404, "unknown-model", "No such model", &detail)
}

/// The path exists, but does not support the method.
pub fn bad_method(allowed: &str) -> Refusal {
    let detail = format!("this path takes {allowed} only");
    Refusal::new(405, "method-not-allowed", "Wrong method", &detail)
}

/// The body is larger than the limit, which is in bytes.
pub fn body_too_large(limit: usize) -> Refusal {
    let detail = format!("the body may have {limit} bytes");
    Refusal::new(413, "body-too-large", "The body is too long", &detail)
}

/// The body did not arrive in time.
pub fn body_too_slow() -> Refusal {
    Refusal::new(
        408,
        "body-too-slow",
        "The body did not arrive in time",
        "send the whole body without long pauses",
    )
}

/// Bodies of other requests use all the memory reserved for bodies.
pub fn bodies_crowded() -> Refusal {
    Refusal::new(
        503,
        "crowded",
        "This instance holds too many bodies",
        "ask again a little later; nothing was sent",
    )
    .with_retry_after(RETRY_AFTER_SHORTAGE)
}

/// The connection closed before the end of the body.
pub fn incomplete_body() -> Refusal {
    bad_request(
        "body-incomplete",
        "the connection broke before the end of the body",
    )
}

/// There is no configuration yet, or the instance is shutting down.
pub fn not_ready() -> Refusal {
    Refusal::new(
        503,
        "not-ready",
        "This instance takes no requests now",
        "ask again; another instance may answer",
    )
    .with_retry_after(RETRY_AFTER_SHORTAGE)
}

/// The workspace has too many requests in flight at this instance.
pub fn in_flight(limit: u32) -> Refusal {
    let detail = format!("the workspace may have {limit} requests in flight at one instance");
    Refusal::new(429, "in-flight", "Too many requests in flight", &detail)
        .with_retry_after(RETRY_AFTER_SHORTAGE)
}

/// The caller disconnected before anything was sent. Only metrics show this refusal.
pub fn caller_left() -> Refusal {
    Refusal::new(
        499,
        "caller-left",
        "The caller went away",
        "nothing was sent",
    )
}

/// The deadline passed before the answer.
pub fn deadline(execution: Execution) -> Refusal {
    Refusal::new(
        504,
        "deadline",
        "The deadline has passed",
        "no answer came before the deadline; the work was cancelled",
    )
    .with_execution(execution)
    .with_retry_after(RETRY_AFTER_SHORTAGE)
}

/// The instance stops before it has sent the request to a target.
pub fn stopping() -> Refusal {
    Refusal::new(
        503,
        "stopping",
        "This instance stops",
        "nothing was sent; another instance answers",
    )
    .with_retry_after(RETRY_AFTER_SHORTAGE)
}

/// The instance stops before the answer to a request that was sent.
pub fn stopped_midway() -> Refusal {
    Refusal::new(
        504,
        "stopped-midway",
        "This instance stops",
        "the request was sent, and its answer had not come when the time for the shutdown was over",
    )
    .with_execution(Execution::Unknown)
}

/// The answer to a call was lost; the call may have run.
pub fn answer_lost(detail: &str) -> Refusal {
    Refusal::new(504, "answer-lost", "The answer was lost", detail)
        .with_execution(Execution::Unknown)
}

/// The engine failed after a part of the answer.
pub fn partial(detail: &str) -> Refusal {
    Refusal::new(502, "engine-lost", "The answer is incomplete", detail)
        .with_execution(Execution::Partial)
}

/// The answer is larger than an instance may buffer.
pub fn answer_too_large() -> Refusal {
    Refusal::new(
        502,
        "answer-too-large",
        "The answer is too long to be sent whole",
        "ask for it with `stream: true`, or for fewer tokens",
    )
    .with_execution(Execution::Partial)
}

/// Buffered answers of other requests use all the memory reserved for answers.
pub fn answers_crowded() -> Refusal {
    Refusal::new(
        502,
        "answers-crowded",
        "This instance holds too many answers",
        "ask again a little later, or with `stream: true`; the generation was cancelled",
    )
    .with_execution(Execution::Partial)
    .with_retry_after(RETRY_AFTER_SHORTAGE)
}

/// The `Last-Event-ID` is invalid or belongs to another workspace.
pub fn bad_event_id() -> Refusal {
    bad_request(
        "bad-event-id",
        "`Last-Event-ID` must be the id of the last event of one of this workspace's streams",
    )
}

/// The stream can't be resumed.
pub fn stream_gone() -> Refusal {
    Refusal::new(
        410,
        "stream-gone",
        "The stream is no longer there",
        "its engine is gone, or it was cancelled; what has arrived is all there is",
    )
    .with_execution(Execution::Partial)
}

/// The table service is unavailable.
pub fn store_down() -> Refusal {
    Refusal::new(
        503,
        "store-down",
        "Idempotency keys can't be checked now",
        "the table service can't be reached; nothing was sent",
    )
    .with_retry_after(RETRY_AFTER_OUTAGE)
}

/// The idempotency key was used for another call.
pub fn key_reused() -> Refusal {
    Refusal::new(
        422,
        "key-reused",
        "The idempotency key was used for another call",
        "use a new key for each call; this one was not sent",
    )
}

/// The call is already running under this key, at this or another instance.
pub fn still_running() -> Refusal {
    Refusal::new(
        409,
        "still-running",
        "The call is still running under this key",
        "ask again with the same key for its answer",
    )
    .with_execution(Execution::Unknown)
    .with_retry_after(RETRY_AFTER_SHORTAGE)
}

/// Several targets crashed while they ran this request.
pub fn quarantined() -> Refusal {
    Refusal::new(
        422,
        "quarantined",
        "The request crashes what runs it",
        "several targets ended while they ran this request; it is not sent again",
    )
}

/// Several targets crashed while they ran requests with a part of this prompt.
pub fn part_quarantined() -> Refusal {
    Refusal::new(
        422,
        "quarantined",
        "A part of the prompt crashes what runs it",
        "several targets ended while they ran requests with a message of this prompt; it was not sent",
    )
}

/// Another request is being sent to find out whether a part of this prompt crashes targets.
pub fn probe_in_progress() -> Refusal {
    Refusal::new(
        503,
        "probe-in-progress",
        "A part of the prompt is being probed",
        "targets ended while they ran requests with messages of this prompt; another request is sent to find out which of them is the cause",
    )
    .with_retry_after(RETRY_AFTER_SHORTAGE)
}

/// The call was sent once, and it is unknown whether it ran.
pub fn outcome_unknown() -> Refusal {
    Refusal::new(
        504,
        "outcome-unknown",
        "The outcome is not known",
        "the call was sent once under this key; it will not be sent again",
    )
    .with_execution(Execution::Unknown)
}
