//! Answers of our own.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use net::{Body, full};
use serde::Serialize;

use crate::{callers::call::Call, state::Front};

/// When a caller may come back that another instance would serve: at once, on a new connection.
pub const ELSEWHERE_RETRY: Duration = Duration::from_millis(10);

/// Why a request is not sent under which targets ended.
pub const QUARANTINED: &str = "targets ended while they ran this request";

/// Why a request gets an answer of our own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The status.
    pub status: StatusCode,
    /// Why.
    pub reason: Arc<str>,
    /// When the caller may come back; only where the request has not run.
    pub retry: Option<Duration>,
}

/// What a refusal says in its body.
#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    run: &'a str,
}

impl Refusal {
    /// A refusal that will not change by asking again.
    #[must_use]
    pub fn new(status: StatusCode, reason: impl Into<Arc<str>>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry: None,
        }
    }

    /// The request has not run, and never will; the caller may come back.
    #[must_use]
    pub fn not_run(reason: impl Into<Arc<str>>, retry: Duration) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry(retry)
    }

    /// The request may have run.
    #[must_use]
    pub fn unknown(reason: impl Into<Arc<str>>) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, reason)
    }

    /// The answer did not come in time; the request may have run.
    #[must_use]
    pub fn late(reason: impl Into<Arc<str>>) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Targets ended while they ran the request. It is not sent again, and nothing is gained by
    /// asking again.
    #[must_use]
    pub fn quarantined() -> Self {
        Self::unknown(QUARANTINED)
    }

    /// Tells when the caller may come back.
    #[must_use]
    pub const fn with_retry(mut self, after: Duration) -> Self {
        self.retry = Some(after);
        self
    }

    fn run(&self) -> &'static str {
        match self.status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
            _ => "not-run",
        }
    }
}

impl Front {
    /// Answers a request with a refusal, and logs why.
    pub fn refuse(&self, id: Option<&str>, held: Duration, refusal: &Refusal) -> Response<Body> {
        let read = self.view.rules_read().unwrap_or_default();
        emit(&Event::RequestRefused {
            id: id.unwrap_or("-").into(),
            status: refusal.status.as_u16(),
            reason: Arc::clone(&refusal.reason),
            retry_ms: refusal.retry.map_or(0, millis),
            held_ms: millis(held),
            rules: self.view.rules().map_or(0, |rules| rules.version),
            age_ms: millis(timer::boot_time().saturating_sub(read)),
        });
        let problem = Problem {
            title: &refusal.reason,
            status: refusal.status.as_u16(),
            run: refusal.run(),
        };
        // Our own types have string keys only, so this can't fail for them.
        let text = serde_json::to_vec(&problem).unwrap_or_default();
        let mut resp = Response::new(full(text));
        *resp.status_mut() = refusal.status;
        *resp.headers_mut() = self.adapter.own_headers(id);
        let kind = HeaderValue::from_static("application/problem+json");
        resp.headers_mut().insert(CONTENT_TYPE, kind);
        if let Some(after) = refusal.retry {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                resp.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        resp
    }

    /// Refuses a call.
    pub fn refuse_call(&self, call: &Call, refusal: &Refusal) -> Response<Body> {
        self.refuse_kind(call.kind(), &call.request.id, call.elapsed(), refusal)
    }

    /// Refuses a request of a kind.
    pub fn refuse_kind(
        &self,
        kind: &'static str,
        id: &str,
        held: Duration,
        refusal: &Refusal,
    ) -> Response<Body> {
        let outcome = if refusal.retry.is_some() {
            "refused"
        } else {
            "failed"
        };
        self.metrics.count_request(kind, outcome);
        self.refuse(Some(id), held, refusal)
    }
}

/// A time in whole milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
