//! What the answers of targets mean.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode, body::Incoming, header::RETRY_AFTER};
use net::{SendError, read_all};
use serde::Deserialize;
use types::Execution;

use crate::api::TargetError;

/// Time that a short answer may take.
pub const ANSWER_PATIENCE: Duration = Duration::from_secs(5);
/// Bytes of a short answer at most.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// The part of a problem document that matters here.
#[derive(Deserialize)]
struct Problem {
    run: Option<Execution>,
}

impl From<SendError> for TargetError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::Unsent { reason } => Self::Unsent { reason },
            SendError::Lost { reason } => Self::Lost { reason },
        }
    }
}

/// The link was lost.
pub fn lost(reason: impl AsRef<str>) -> TargetError {
    TargetError::Lost {
        reason: reason.as_ref().into(),
    }
}

/// Nothing was sent.
pub fn unsent(reason: impl AsRef<str>) -> TargetError {
    TargetError::Unsent {
        reason: reason.as_ref().into(),
    }
}

/// Reads a short answer.
pub async fn read(resp: Response<Incoming>) -> Result<(StatusCode, Bytes), TargetError> {
    let status = resp.status();
    let body = read_all(resp.into_body(), ANSWER_LIMIT, ANSWER_PATIENCE)
        .await
        .map_err(|e| lost(e.to_string()))?;
    Ok((status, body))
}

/// When a target wants to be asked again; only whole seconds are understood.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}

/// Sorts out an answer that is not a success.
///
/// Only a 429 or 503 that comes with `Retry-After`, or with a problem document that says
/// `not-run`, proves that nothing ran; a bare 503 may as well come from something on the way
/// that lost the answer, and taking it for a proof would run a call twice.
pub fn refused(status: StatusCode, body: Bytes, retry_after: Option<Duration>) -> TargetError {
    if turned(status, &body, retry_after) {
        return TargetError::Rejected {
            reason: format!("status {status}").into(),
            retry_after,
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

/// Whether the target itself says that it did not run the request.
pub fn turned(status: StatusCode, body: &[u8], retry_after: Option<Duration>) -> bool {
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

/// For requests about a stream: not found means that the engine does not know it any more.
pub fn gone(error: TargetError) -> TargetError {
    match error {
        TargetError::ClientError {
            status: 404 | 410, ..
        } => TargetError::Gone,
        other => other,
    }
}

/// Accepts any success.
pub fn check_done(status: StatusCode, body: Bytes) -> Result<(), TargetError> {
    if status.is_success() {
        return Ok(());
    }
    Err(refused(status, body, None))
}
