//! Non-idempotent calls with an idempotency key.
//!
//! The key is claimed before admission. Claiming after it would hold a place at a target for as
//! long as the table service takes, so a slow store would slow down lookups that have no need
//! of it; and a repeat whose answer is on record would queue for a place it does not use. The
//! price is a second write when admission refuses: then the claim is released, because the call
//! provably did not run.

use std::sync::Arc;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use claims::{ClaimError, Claimed, KeyedCall, Recorded};
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

/// Bytes of a key at most.
const KEY_LIMIT: usize = 255;
/// Content type of an answer that names none.
const NO_TYPE: &str = "application/octet-stream";

type Outcome = Result<PlainAnswer, Refusal>;

/// Answers a keyed call.
///
/// It runs on a task of its own: once it is sent, its outcome is worth recording even if the
/// caller goes away, and a claim must never be left without an end.
pub async fn answer(
    mut request: PlainRequest,
    caller: &Caller,
    key: &str,
) -> Result<Response<Body>, Refusal> {
    check(key)?;
    let call = KeyedCall {
        workspace: caller.workspace.clone(),
        key: key.into(),
        digest: digest(&request.call),
    };
    // The record keeps no encoding: replayed, a compressed answer could not be read.
    let plain_text = |name: &str| name != ACCEPT_ENCODING.as_str();
    request.call.headers.retain(|(name, _)| plain_text(name));
    let name = Arc::clone(&request.call.request);
    let (tx, rx) = bounded(1);
    workers::spawn(run(request, call, tx)).detach();
    // The task always answers; if it did not, nothing would be known.
    let outcome = rx.recv().await;
    let outcome = outcome.unwrap_or_else(|_| Err(refusals::outcome_unknown()));
    outcome.map(|answer| forward::response(&answer, &name))
}

fn check(key: &str) -> Result<(), Refusal> {
    let fits = !key.is_empty() && key.len() <= KEY_LIMIT;
    if fits && key.bytes().all(|b| b.is_ascii_graphic() || b == b' ') {
        return Ok(());
    }
    Err(refusals::bad_request(
        "bad-key-format",
        "`Idempotency-Key` must be 1 to 255 printable ASCII characters",
    ))
}

/// Tells calls apart: method, path and body, each with its length before it.
fn digest(call: &PlainCall) -> Arc<str> {
    let mut hash = Sha256::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    auth::hex(&hash.finalize()).into()
}

async fn run(request: PlainRequest, call: KeyedCall, tx: Sender<Outcome>) {
    let claims = Arc::clone(&request.core.claims);
    let patience = request.core.left(request.admission_request.deadline);
    let claimed = claims.claim(&call, patience).await;
    if !matches!(claimed, Ok(Claimed::Mine)) {
        let outcome = settled(claimed);
        request.note(&outcome);
        reply(&tx, outcome).await;
        return;
    }
    if tx.is_closed() {
        // The caller went away before anything was sent.
        claims.release(&call).await;
        return;
    }
    let gone = async { tx.closed().await };
    let outcome = request.run(gone).await;
    let settle = Settle::after(&outcome);
    reply(&tx, outcome).await;
    // The caller has its answer already; a slow store must not keep it waiting.
    match settle {
        Settle::Record(recorded) => claims.record(&call, recorded).await,
        Settle::Release => claims.release(&call).await,
        Settle::GiveUp => claims.give_up(&call).await,
    }
    // Until here it counts as in flight, so that a shutdown waits for the record.
    drop(request);
}

/// What becomes of a claim.
enum Settle {
    /// The answer goes on record.
    Record(Recorded),
    /// The call provably did not run.
    Release,
    /// Nobody will know.
    GiveUp,
}

impl Settle {
    fn after(outcome: &Outcome) -> Self {
        match outcome {
            Ok(answer) => Self::Record(record(answer)),
            Err(refusal) if proves_not_run(refusal) => Self::Release,
            Err(_) => Self::GiveUp,
        }
    }
}

async fn reply(tx: &Sender<Outcome>, outcome: Outcome) {
    // A caller that went away needs no answer.
    let _ = tx.send(outcome).await;
}

fn settled(claimed: Result<Claimed, ClaimError>) -> Outcome {
    match claimed {
        Ok(Claimed::Before(recorded)) => Ok(replay(&recorded)),
        Ok(Claimed::Mine | Claimed::Unknown) => Err(refusals::outcome_unknown()),
        Err(ClaimError::OtherCall) => Err(refusals::other_call()),
        Err(ClaimError::StoreDown) => Err(refusals::store_down()),
        Err(ClaimError::StillRunning) => Err(refusals::still_running()),
    }
}

fn record(answer: &PlainAnswer) -> Recorded {
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-type"))
        .map_or_else(|| NO_TYPE.into(), |(_, value)| Arc::clone(value));
    let text = std::str::from_utf8(&answer.body);
    Recorded {
        status: answer.status,
        content_type,
        base64: text.is_err(),
        body: text.map_or_else(|_| STANDARD.encode(&answer.body).into(), Into::into),
    }
}

/// The answer on record; a header tells that it is a repeat.
fn replay(recorded: &Recorded) -> PlainAnswer {
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
