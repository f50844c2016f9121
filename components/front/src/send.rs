//! One sending of a request to a target, judged.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Incoming, http};
use net::{Body, SendError, full};
use timer::{Timer, boot_time};
use types::Moment;
use view::Target;

use crate::{
    adapters::{OutgoingRequest, ResponseHead, Resume},
    callers::{
        call::Call,
        refusal::{QUARANTINED, millis},
    },
    quarantine::crash_detection,
    state::Front,
    target_rates,
};

/// What came of a sending.
#[derive(Debug)]
pub enum SendOutcome {
    /// The target answers.
    Response {
        /// The head.
        head: Box<http::response::Parts>,
        /// What it says.
        heading: ResponseHead,
        /// The body as it comes.
        body: Incoming,
    },
    /// It certainly did not run.
    NotRun {
        /// What the target or the connection said.
        reason: Arc<str>,
    },
    /// It was not sent: targets ended while they ran it, here or elsewhere.
    Rejected {
        /// Why.
        reason: Arc<str>,
    },
    /// It may have run.
    Unknown {
        /// What came instead of an answer.
        reason: Arc<str>,
        /// Whether it was the time that ran out.
        timed_out: bool,
    },
}

/// Sends a call to a target, and waits at most `limit` for the head of an answer.
pub async fn send(
    front: &Arc<Front>,
    call: &Call,
    target: &Arc<Target>,
    resume: Option<&Resume>,
    limit: Duration,
) -> SendOutcome {
    if front.rejects(&call.fingerprint) {
        return SendOutcome::Rejected {
            reason: QUARANTINED.into(),
        };
    }
    let sending = OutgoingRequest {
        head: &call.head,
        body: &call.body,
        target,
        time_left: call.caller_time_left(),
        workspace: call.workspace.as_deref(),
        resume,
    };
    let req = front.adapter.build_request(&sending);
    call.mark_sent();
    let from = boot_time();
    let answer = Timer::new()
        .within(limit, front.client.send(target.addr, req))
        .await;
    let sent = match answer {
        None => SendOutcome::Unknown {
            reason: format!("no answer within {} ms", millis(limit)).into(),
            timed_out: true,
        },
        Some(Err(SendError::Unsent { reason })) => SendOutcome::NotRun { reason },
        Some(Err(SendError::Lost { reason })) => {
            crash_detection::investigate(front, call, target, from, 0);
            SendOutcome::Unknown {
                reason,
                timed_out: false,
            }
        }
        Some(Ok(resp)) => classify(front, call, target, from, resp),
    };
    match &sent {
        SendOutcome::Response { .. } => {
            front.metrics.observe_head(boot_time().saturating_sub(from))
        }
        SendOutcome::NotRun { reason } => log_send_failure(call, target, reason, true),
        SendOutcome::Unknown { reason, .. } => log_send_failure(call, target, reason, false),
        SendOutcome::Rejected { .. } => {}
    }
    sent
}

/// Logs that a sending failed.
pub fn log_send_failure(call: &Call, target: &Target, reason: &Arc<str>, not_run: bool) {
    emit(&Event::SendingFailed {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&target.id),
        reason: Arc::clone(reason),
        not_run,
    });
}

/// Judges the head of an answer. Only what surely is the target's whole answer to this request
/// may pass: bytes of a late answer, or of a broken target, would be another caller's.
fn classify(
    front: &Arc<Front>,
    call: &Call,
    target: &Target,
    sent: Moment,
    resp: Response<Incoming>,
) -> SendOutcome {
    let (head, body) = resp.into_parts();
    let heading = front.adapter.parse_response_head(&call.request.id, &head);
    let unknown = |reason: String| SendOutcome::Unknown {
        reason: reason.into(),
        timed_out: false,
    };
    if !heading.id_matches {
        return unknown("the answer belongs to another request".into());
    }
    if heading.sealed || heading.not_run {
        target_rates::observe(front, target, sent, heading.rate_limit);
    }
    if heading.not_run {
        return SendOutcome::NotRun {
            reason: format!("the target refused it with status {}", head.status).into(),
        };
    }
    if promises_not_run(head.status) {
        // Passed on, it would promise that the request has not run, which nobody knows.
        return unknown(format!("status {} without a proof", head.status));
    }
    if !heading.sealed || heading.encoded {
        return unknown(format!(
            "status {} that is not the target's own",
            head.status
        ));
    }
    SendOutcome::Response {
        head: Box::new(head),
        heading,
        body,
    }
}

/// Whether a status promises that the request has not run.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Bytes of an answer that is collected before it is passed on.
const MAX_BUFFERED_BYTES: usize = 8 * 1_024 * 1_024;

/// Collects a whole answer, at most until `limit` has passed.
///
/// # Errors
/// Tells why it is not whole.
pub async fn buffer_response(
    front: &Front,
    head: &http::response::Parts,
    body: Incoming,
    limit: Duration,
) -> Result<Response<Body>, Arc<str>> {
    let whole = http_body_util::Limited::new(body, MAX_BUFFERED_BYTES).collect();
    let whole = Timer::new().within(limit, whole).await;
    let bytes = match whole {
        Some(Ok(whole)) => whole.to_bytes(),
        Some(Err(e)) => return Err(format!("the answer broke off: {e}").into()),
        None => return Err("the answer did not end in time".into()),
    };
    let mut resp = Response::new(full(bytes));
    *resp.status_mut() = head.status;
    *resp.headers_mut() = front.adapter.forwarded_headers(head);
    Ok(resp)
}
