//! Encodes refusals as `application/problem+json`.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use net::{Body, Reply, full};
use serde::Serialize;
use types::{Execution, Refusal};

/// A problem document (RFC 9457) with extension members.
#[derive(Serialize)]
struct Problem<'a> {
    r#type: &'static str,
    title: &'a str,
    status: u16,
    detail: &'a str,
    code: &'a str,
    run: Execution,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    partial_text: Option<&'a str>,
}

impl<'a> Problem<'a> {
    fn new(refusal: &'a Refusal) -> Self {
        Self {
            r#type: "about:blank",
            title: &refusal.title,
            status: refusal.status,
            detail: &refusal.detail,
            code: &refusal.code,
            run: refusal.execution,
            retry_after: refusal.retry_after.map(whole_seconds),
            partial_text: None,
        }
    }

    fn json(&self) -> Bytes {
        // Strings and numbers can always be encoded.
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}

/// Returns the value of `Retry-After` in seconds, rounded up and at least 1: with 0, all callers
/// would retry at once.
fn whole_seconds(after: Duration) -> u64 {
    let partial = u64::from(after.subsec_nanos() > 0);
    (after.as_secs() + partial).max(1)
}

/// Returns the response for a refusal.
pub fn response(refusal: &Refusal) -> Response<Body> {
    respond(refusal, &Problem::new(refusal))
}

/// Returns the response for a refusal, with the partial text of the answer.
pub fn response_with_text(refusal: &Refusal, text: &str) -> Response<Body> {
    let mut problem = Problem::new(refusal);
    problem.partial_text = Some(text);
    respond(refusal, &problem)
}

/// Encodes a refusal as one line of JSON, for an event of a stream.
pub fn json(refusal: &Refusal) -> Bytes {
    Problem::new(refusal).json()
}

fn respond(refusal: &Refusal, problem: &Problem<'_>) -> Response<Body> {
    let mut reply = Reply::new(refusal.status)
        .with_header("content-type", "application/problem+json")
        .with_body(full(problem.json()));
    if let Some(after) = problem.retry_after {
        reply = reply.with_header("retry-after", &after.to_string());
    }
    if refusal.status == 401 {
        reply = reply.with_header("www-authenticate", "Bearer");
    }
    reply.done()
}
