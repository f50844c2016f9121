//! The refusals that the gateway itself gives.

use std::time::Duration;

use types::{Refusal, Run};

/// When to come back after a short shortage.
const SOON: Duration = Duration::from_secs(1);
/// When to come back after an outage of the table service.
const AFTER_OUTAGE: Duration = Duration::from_secs(5);

/// The caller sent something that can't be served.
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

/// No route leads anywhere.
pub fn no_route(detail: &str) -> Refusal {
    Refusal::new(404, "unknown-route", "No route for this request", detail)
}

/// The model is unknown to this workspace.
pub fn no_model(model: &str, route: &str) -> Refusal {
    let detail = format!("there is no model `{model}` with route `{route}` for this workspace");
    Refusal::new(404, "unknown-model", "No such model", &detail)
}

/// The path exists, but not with this method.
pub fn bad_method(allowed: &str) -> Refusal {
    let detail = format!("this path takes {allowed} only");
    Refusal::new(405, "method-not-allowed", "Wrong method", &detail)
}

/// The body is too long.
pub fn too_large(limit: usize) -> Refusal {
    let detail = format!("the body may have {limit} bytes");
    Refusal::new(413, "body-too-large", "The body is too long", &detail)
}

/// The caller sent its body too slowly.
pub fn too_slow() -> Refusal {
    Refusal::new(
        408,
        "body-too-slow",
        "The body did not arrive in time",
        "send the whole body without long pauses",
    )
}

/// The bodies of other requests take all the memory that there is for them.
pub fn crowded() -> Refusal {
    Refusal::new(
        503,
        "crowded",
        "This instance holds too many bodies",
        "ask again a little later; nothing was sent",
    )
    .with_retry_after(SOON)
}

/// The connection broke before the end of the body.
pub fn broken_body() -> Refusal {
    bad_request(
        "body-incomplete",
        "the connection broke before the end of the body",
    )
}

/// No configuration yet, or the last part of a shutdown.
pub fn not_ready() -> Refusal {
    Refusal::new(
        503,
        "not-ready",
        "This instance takes no requests now",
        "ask again; another instance may answer",
    )
    .with_retry_after(SOON)
}

/// The workspace has too many requests in flight here.
pub fn in_flight(limit: u32) -> Refusal {
    let detail = format!("the workspace may have {limit} requests in flight at one instance");
    Refusal::new(429, "in-flight", "Too many requests in flight", &detail).with_retry_after(SOON)
}

/// The caller went away before anything was sent; nobody reads this.
pub fn caller_left() -> Refusal {
    Refusal::new(
        499,
        "caller-left",
        "The caller went away",
        "nothing was sent",
    )
}

/// The caller's time ran out.
pub fn deadline(run: Run) -> Refusal {
    Refusal::new(
        504,
        "deadline",
        "The deadline has passed",
        "no answer came before the deadline; the work was cancelled",
    )
    .with_run(run)
    .with_retry_after(SOON)
}

/// The answer of a call was lost, and it may have run.
pub fn lost(detail: &str) -> Refusal {
    Refusal::new(504, "answer-lost", "The answer was lost", detail).with_run(Run::Unknown)
}

/// The engine died after a part of the answer.
pub fn partial(detail: &str) -> Refusal {
    Refusal::new(502, "engine-lost", "The answer is incomplete", detail).with_run(Run::Partial)
}

/// The answer grew beyond what an instance keeps in memory.
pub fn answer_too_large() -> Refusal {
    Refusal::new(
        502,
        "answer-too-large",
        "The answer is too long to be sent whole",
        "ask for it with `stream: true`, or for fewer tokens",
    )
    .with_run(Run::Partial)
}

/// The whole answers of other requests take all the memory that there is for them.
pub fn answers_crowded() -> Refusal {
    Refusal::new(
        502,
        "answers-crowded",
        "This instance holds too many answers",
        "ask again a little later, or with `stream: true`; the generation was cancelled",
    )
    .with_run(Run::Partial)
    .with_retry_after(SOON)
}

/// The `Last-Event-ID` is none of ours, or of another workspace.
pub fn bad_event_id() -> Refusal {
    bad_request(
        "bad-event-id",
        "`Last-Event-ID` must be the id of the last event of one of this workspace's streams",
    )
}

/// The stream can't be gone on with.
pub fn stream_gone() -> Refusal {
    Refusal::new(
        410,
        "stream-gone",
        "The stream is no longer there",
        "its engine is gone, or it was cancelled; what has arrived is all there is",
    )
    .with_run(Run::Partial)
}

/// The table service is down.
pub fn store_down() -> Refusal {
    Refusal::new(
        503,
        "store-down",
        "Idempotency keys can't be checked now",
        "the table service can't be reached; nothing was sent",
    )
    .with_retry_after(AFTER_OUTAGE)
}

/// The same key came with another call.
pub fn other_call() -> Refusal {
    Refusal::new(
        422,
        "key-reused",
        "The idempotency key was used for another call",
        "use a new key for each call; this one was not sent",
    )
}

/// Somebody else runs the call under this key.
pub fn still_running() -> Refusal {
    Refusal::new(
        409,
        "still-running",
        "The call is still running under this key",
        "ask again with the same key for its answer",
    )
    .with_run(Run::Unknown)
    .with_retry_after(SOON)
}

/// Targets ended while they ran this very request.
pub fn quarantined() -> Refusal {
    Refusal::new(
        422,
        "quarantined",
        "The request crashes what runs it",
        "several targets ended while they ran this request; it is not sent again",
    )
}

/// The call was sent once, and its outcome is not known.
pub fn outcome_unknown() -> Refusal {
    Refusal::new(
        504,
        "outcome-unknown",
        "The outcome is not known",
        "the call was sent once under this key; it will not be sent again",
    )
    .with_run(Run::Unknown)
}
