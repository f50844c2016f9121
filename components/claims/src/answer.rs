//! Limits the size of stored answers.

use crate::{api::RecordedAnswer, row::ClaimState};

/// Largest body of an answer that is stored; a row of the table service holds 400 KB.
pub const MAX_ANSWER_BYTES: usize = 100 * 1024;

/// Replaces an answer that is too large to be stored by a problem report: the call ran and ended
/// with this status, but its answer is no longer available.
#[must_use]
pub fn fit_to_limit(answer: RecordedAnswer) -> RecordedAnswer {
    if answer.body.len() <= MAX_ANSWER_BYTES {
        return answer;
    }
    not_stored(answer.status)
}

/// Replaces the answer by a problem report with the same status.
#[must_use]
pub fn without_body(state: &ClaimState) -> ClaimState {
    match state {
        ClaimState::Done(answer) => ClaimState::Done(not_stored(answer.status)),
        other => other.clone(),
    }
}

fn not_stored(status: u16) -> RecordedAnswer {
    let problem = serde_json::json!({
        "type": "about:blank",
        "title": "The call ran; its answer was not kept",
        "status": status,
        "detail": "The call ran once under this idempotency key and ended with this status. \
                   Its answer was too large to be kept for a repeat.",
        "run": "partial",
        "code": "answer-not-kept",
    });
    RecordedAnswer {
        status,
        content_type: "application/problem+json".into(),
        body: problem.to_string().into(),
        base64: false,
    }
}
