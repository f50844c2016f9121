//! Interprets the answers of targets: whether a request ran, and whether it may be retried.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Response, StatusCode, body::Incoming};
use net::{Connecting, ConnectionUse, SendError, read_all, retry_after};
use serde::Deserialize;
use types::Execution;

use crate::{api::TargetError, openai::REQUEST_ID};

/// Time limit for an answer that is not streamed.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// The relevant part of a problem document.
#[derive(Deserialize)]
struct Problem {
    run: Option<Execution>,
}

impl From<SendError> for TargetError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::Unsent(unsent) => {
                let reason = Arc::clone(unsent.reason());
                match unsent.connecting() {
                    Connecting::Opened => Self::Closed { reason },
                    Connecting::Refused | Connecting::Unopened => Self::Unsent { reason },
                }
            }
            SendError::Lost { reason, .. } => Self::Lost { reason },
        }
    }
}

/// Returns an error for a call that may have run.
pub fn lost(reason: impl AsRef<str>) -> TargetError {
    TargetError::Lost {
        reason: reason.as_ref().into(),
    }
}

/// Returns an error for a call that was not sent.
pub fn unsent(reason: impl AsRef<str>) -> TargetError {
    TargetError::Unsent {
        reason: reason.as_ref().into(),
    }
}

/// Whether an answer is certainly the one to a request: it names the request, or is the first on its
/// connection. A target may send a further answer late, where the one to the next request is expected. Targets
/// need not echo the id, and some name requests by ids of their own.
pub fn is_certain<T>(resp: &Response<T>, request: &str) -> bool {
    let mut ids = resp.headers().get_all(REQUEST_ID).iter();
    let names_it = ids.next().is_some_and(|id| id == request) && ids.next().is_none();
    let used = ConnectionUse::of(resp);
    names_it || (used.earlier_responses == 0 && used.unexpected_bytes == 0)
}

/// An answer that was read to its end.
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// How long the target asks to wait before a retry.
    pub retry_after: Option<Duration>,
    /// The body.
    pub body: Bytes,
    /// Whether it is certainly the answer to the request.
    pub is_certain: bool,
}

/// Reads a whole answer of at most `MAX_ANSWER_BYTES`.
pub async fn read(resp: Response<Incoming>, request: &str) -> Result<Answer, TargetError> {
    let is_certain = is_certain(&resp, request);
    let (status, retry_after) = (resp.status(), retry_after(resp.headers()));
    let body = read_all(resp.into_body(), MAX_ANSWER_BYTES, ANSWER_TIMEOUT)
        .await
        .map_err(|e| lost(e.to_string()))?;
    Ok(Answer {
        status,
        retry_after,
        body,
        is_certain,
    })
}

/// Converts an answer that is not a success to an error.
///
/// Only a 429 or 503 with `Retry-After`, or with a problem document that says `not-run`, proves
/// that nothing ran. A bare 503 may also come from a proxy that lost the answer; taking it for a
/// proof could run a call twice.
pub fn error_answer(answer: Answer) -> TargetError {
    let Answer {
        status,
        retry_after,
        body,
        is_certain,
    } = answer;
    if is_rejection(status, &body, retry_after) {
        return TargetError::Rejected {
            reason: format!("status {status}").into(),
            retry_after,
            is_certain,
        };
    }
    if status.is_client_error() {
        return TargetError::ClientError {
            status: status.as_u16(),
            body,
        };
    }
    lost(format!("status {status}"))
}

/// Whether the answer proves that the target did not run the request.
pub fn is_rejection(status: StatusCode, body: &[u8], retry_after: Option<Duration>) -> bool {
    let busy = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if !busy {
        return false;
    }
    match serde_json::from_slice::<Problem>(body)
        .ok()
        .and_then(|p| p.run)
    {
        Some(run) => run == Execution::NotRun,
        None => retry_after.is_some(),
    }
}

/// Converts the error of a request about a stream: not found means that the engine does not know
/// the stream any more.
pub fn stream_error(error: TargetError) -> TargetError {
    match error {
        TargetError::ClientError {
            status: 404 | 410, ..
        } => TargetError::Gone,
        other => other,
    }
}

/// Accepts any success status.
pub fn check_success(answer: Answer) -> Result<(), TargetError> {
    if answer.status.is_success() {
        return Ok(());
    }
    Err(error_answer(answer))
}
