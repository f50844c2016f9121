//! Non-idempotent calls with an idempotency key.
//!
//! The key is claimed before admission. Claiming it under a permit would occupy the target for as
//! long as the table service takes, so a slow store would slow down lookups that do not use it; and
//! a repeated call whose answer is already recorded would wait for a permit that it does not need.
//! The cost is a second write when admission refuses the call: the claim is then released, because
//! the call certainly did not run.

use std::sync::Arc;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use claims::{ClaimError, ClaimOutcome, KeyedCall, RecordedAnswer};
use hyper::{Response, header::ACCEPT_ENCODING};
use net::Body;
use sha2::{Digest, Sha256};
use smol::channel::{Sender, bounded};
use targets::{PlainAnswer, PlainCall};
use types::Refusal;

use crate::{
    auth, forward,
    plain::{PlainRequest, proves_not_run},
    refusals,
    request::Caller,
};

/// Longest key, in bytes.
const MAX_KEY_LEN: usize = 255;
/// Content type recorded for an answer without one.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// What the caller gets.
type CallResult = Result<PlainAnswer, Refusal>;

/// Answers a call with an idempotency key.
///
/// The call runs on its own task: once it is sent, its answer has to be recorded even if the caller
/// disconnects, and a claim must always be settled.
pub async fn answer(
    mut request: PlainRequest,
    caller: &Caller,
    key: &str,
) -> Result<Response<Body>, Refusal> {
    check_key(key)?;
    let call = KeyedCall {
        workspace: caller.workspace.clone(),
        key: key.into(),
        digest: digest(&request.call),
    };
    // The record does not store the content encoding, so a replayed compressed answer would be
    // unreadable.
    let is_kept = |name: &str| name != ACCEPT_ENCODING.as_str();
    request.call.headers.retain(|(name, _)| is_kept(name));
    let request_id = Arc::clone(&request.call.request);
    let (tx, rx) = bounded(1);
    workers::spawn(run(request, call, tx)).detach();
    // The channel closes without an answer only if the task panics.
    let result = rx.recv().await;
    let result = result.unwrap_or_else(|_| Err(refusals::outcome_unknown()));
    result.map(|answer| forward::response(&answer, &request_id))
}

fn check_key(key: &str) -> Result<(), Refusal> {
    let fits = !key.is_empty() && key.len() <= MAX_KEY_LEN;
    if fits && key.bytes().all(|b| b.is_ascii_graphic() || b == b' ') {
        return Ok(());
    }
    Err(refusals::bad_request(
        "bad-key-format",
        "`Idempotency-Key` must be 1 to 255 printable ASCII characters",
    ))
}

/// Returns a digest of method, path and body, each preceded by its length.
fn digest(call: &PlainCall) -> Arc<str> {
    let mut hash = Sha256::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    auth::hex(&hash.finalize()).into()
}

async fn run(request: PlainRequest, call: KeyedCall, tx: Sender<CallResult>) {
    let claims = Arc::clone(&request.core.claims);
    let timeout = request.core.time_left(request.admission_request.deadline);
    let claimed = claims.claim(&call, timeout).await;
    if !matches!(claimed, Ok(ClaimOutcome::Acquired)) {
        let result = unclaimed_result(claimed);
        request.record_result(&result);
        reply(&tx, result).await;
        return;
    }
    if tx.is_closed() {
        // The caller disconnected before anything was sent.
        claims.release(&call).await;
        return;
    }
    let caller_left = async { tx.closed().await };
    let result = request.run(caller_left).await;
    let resolution = ClaimResolution::after(&result);
    reply(&tx, result).await;
    // The caller already has its answer and does not wait for the store.
    match resolution {
        ClaimResolution::Record(recorded) => claims.record(&call, recorded).await,
        ClaimResolution::Release => claims.release(&call).await,
        ClaimResolution::Abandon => claims.abandon(&call).await,
    }
    // The request counts as in flight until here, so that a shutdown waits for the record.
    drop(request);
}

/// How a claim is settled.
enum ClaimResolution {
    /// The answer is recorded.
    Record(RecordedAnswer),
    /// The call certainly did not run: the key becomes free.
    Release,
    /// It is unknown whether the call ran: the key must not be used again.
    Abandon,
}

impl ClaimResolution {
    fn after(result: &CallResult) -> Self {
        match result {
            Ok(answer) => Self::Record(record(answer)),
            Err(refusal) if proves_not_run(refusal) => Self::Release,
            Err(_) => Self::Abandon,
        }
    }
}

async fn reply(tx: &Sender<CallResult>, result: CallResult) {
    // Fails only if the caller has disconnected.
    let _ = tx.send(result).await;
}

fn unclaimed_result(claimed: Result<ClaimOutcome, ClaimError>) -> CallResult {
    match claimed {
        Ok(ClaimOutcome::Completed(recorded)) => Ok(replay(&recorded)),
        Ok(ClaimOutcome::Acquired | ClaimOutcome::Unknown) => Err(refusals::outcome_unknown()),
        Err(ClaimError::OtherCall) => Err(refusals::key_reused()),
        Err(ClaimError::StoreUnavailable) => Err(refusals::store_down()),
        Err(ClaimError::StillRunning) => Err(refusals::still_running()),
    }
}

fn record(answer: &PlainAnswer) -> RecordedAnswer {
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-type"))
        .map_or_else(
            || DEFAULT_CONTENT_TYPE.into(),
            |(_, value)| Arc::clone(value),
        );
    let text = std::str::from_utf8(&answer.body);
    RecordedAnswer {
        status: answer.status,
        content_type,
        base64: text.is_err(),
        body: text.map_or_else(|_| STANDARD.encode(&answer.body).into(), Into::into),
    }
}

/// Returns the recorded answer, with a header that marks it as replayed.
fn replay(recorded: &RecordedAnswer) -> PlainAnswer {
    let body = if recorded.base64 {
        STANDARD
            .decode(recorded.body.as_bytes())
            .unwrap_or_default()
    } else {
        recorded.body.as_bytes().to_vec()
    };
    PlainAnswer {
        status: recorded.status,
        headers: vec![
            ("content-type".into(), Arc::clone(&recorded.content_type)),
            ("idempotency-replayed".into(), "true".into()),
        ],
        body: Bytes::from(body),
    }
}
