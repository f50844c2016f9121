//! Answers too large to be kept.

use crate::{api::RecordedAnswer, row::State};

/// Most bytes of a kept answer; a row of the table service holds 400 KB.
pub const ANSWER_LIMIT: usize = 100 * 1024;

/// Puts a truthful note in place of an answer that is too large to be kept: the call ran, with
/// this status, and its answer can't be had again.
#[must_use]
pub fn fitting(answer: RecordedAnswer) -> RecordedAnswer {
    if answer.body.len() <= ANSWER_LIMIT {
        return answer;
    }
    note(answer.status)
}

/// The same outcome without the body of its answer.
#[must_use]
pub fn without_body(state: &State) -> State {
    match state {
        State::Done(answer) => State::Done(note(answer.status)),
        other => other.clone(),
    }
}

fn note(status: u16) -> RecordedAnswer {
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
