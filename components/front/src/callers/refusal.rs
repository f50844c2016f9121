//! Error responses of this instance.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use net::{Body, full};
use serde::Serialize;

use crate::{callers::call::Call, state::Front};
use types::millis;

/// `Retry-After` of a request that another instance would serve: at once, on a new connection.
pub const ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Whether a status tells a caller that its request has not run and never will.
#[must_use]
pub const fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Reason of the refusal of requests that outlast the instance.
pub const SHUTDOWN_REASON: &str = "the instance stops before it would end";

/// Reason of the refusal of a quarantined request.
pub const QUARANTINED: &str = "targets ended while they ran this request";

/// Reason of the refusal of a request because of a part of its prompt.
pub const PART_QUARANTINED: &str =
    "targets ended while they ran requests with a part of this prompt";

/// `Retry-After` of a request while another one is the probe of a part of its prompt.
const PROBE_RETRY_AFTER: Duration = Duration::from_millis(700);

/// An error response of this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The status.
    pub status: StatusCode,
    /// The reason, for the log and the caller.
    pub reason: Arc<str>,
    /// When the caller may retry; set only if the request has not run.
    pub retry_after: Option<Duration>,
    /// Whether the request may have run.
    has_run: bool,
}

/// The JSON body of an error response.
#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    /// Whether the request may have run: `not-run` or `unknown`.
    run: &'a str,
}

impl Refusal {
    /// A refusal that a retry would not change.
    #[must_use]
    pub fn new(status: StatusCode, reason: impl Into<Arc<str>>) -> Self {
        Self {
            status,
            reason: reason.into(),
            retry_after: None,
            has_run: matches!(
                status,
                StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
            ),
        }
    }

    /// The request has not run and will not run; the caller may retry.
    #[must_use]
    pub fn not_run(reason: impl Into<Arc<str>>, retry_after: Duration) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(retry_after)
    }

    /// The request may have run.
    #[must_use]
    pub fn unknown(reason: impl Into<Arc<str>>) -> Self {
        Self::new(StatusCode::BAD_GATEWAY, reason)
    }

    /// No answer arrived in time; the request may have run.
    #[must_use]
    pub fn timed_out(reason: impl Into<Arc<str>>) -> Self {
        Self::new(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Targets crashed while they ran the request. It is not sent again, and retrying is useless.
    #[must_use]
    pub fn quarantined() -> Self {
        Self::unknown(QUARANTINED)
    }

    /// The refusal of a request that was withheld for this reason of a quarantine.
    #[must_use]
    pub fn rejected(reason: &str) -> Self {
        if reason == PART_QUARANTINED {
            Self::part_quarantined()
        } else {
            Self::quarantined()
        }
    }

    /// Targets crashed while they ran requests with a part of its prompt. The request has not run, and
    /// retrying is useless: the status of a refusal that has not run would invite to it.
    #[must_use]
    pub fn part_quarantined() -> Self {
        Self {
            has_run: false,
            ..Self::unknown(PART_QUARANTINED)
        }
    }

    /// The request has some of the parts of a prompt that may crash targets, and another one is sent to
    /// find out.
    #[must_use]
    pub fn probe_in_progress() -> Self {
        Self::not_run("a part of its prompt is being probed", PROBE_RETRY_AFTER)
    }

    /// Sets when the caller may retry.
    #[must_use]
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The refusal as it may be told of a request that may have run: a status that promises the contrary
    /// becomes one that promises nothing.
    #[must_use]
    pub fn without_promise(self) -> Self {
        if promises_not_run(self.status) {
            return Self::unknown(self.reason);
        }
        Self {
            has_run: true,
            ..self
        }
    }

    fn execution(&self) -> &'static str {
        if self.has_run { "unknown" } else { "not-run" }
    }
}

impl Front {
    /// Builds the response to a refused request, and logs the refusal.
    pub fn refuse(&self, id: Option<&str>, held: Duration, refusal: &Refusal) -> Response<Body> {
        let read = self.view.rules_read_at().unwrap_or_default();
        emit(&Event::RequestRefused {
            id: id.unwrap_or("-").into(),
            status: refusal.status.as_u16(),
            reason: Arc::clone(&refusal.reason),
            retry_ms: refusal.retry_after.map_or(0, millis),
            held_ms: millis(held),
            rules: self.view.rules().map_or(0, |rules| rules.version),
            age_ms: millis(timer::boot_time().saturating_sub(read)),
        });
        let problem = Problem {
            title: &refusal.reason,
            status: refusal.status.as_u16(),
            run: refusal.execution(),
        };
        // Serialization fails only for maps with keys that are not strings; there are none.
        let text = serde_json::to_vec(&problem).unwrap_or_default();
        let mut resp = Response::new(full(text));
        *resp.status_mut() = refusal.status;
        *resp.headers_mut() = self.adapter.own_headers(id);
        let kind = HeaderValue::from_static("application/problem+json");
        resp.headers_mut().insert(CONTENT_TYPE, kind);
        if let Some(after) = refusal.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                resp.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        resp
    }

    /// Refuses a call; counts and logs the refusal. Whatever the reason, the caller gets no promise that the
    /// call has not run unless that is proved for each sending.
    pub fn refuse_call(&self, call: &Call, refusal: &Refusal) -> Response<Body> {
        let (kind, id, held) = (call.kind(), &call.request.id, call.elapsed());
        if call.execution.may_have_run() {
            let refusal = refusal.clone().without_promise();
            return self.refuse_kind(kind, id, held, &refusal);
        }
        self.refuse_kind(kind, id, held, refusal)
    }

    /// Refuses a request of a kind; counts and logs the refusal.
    pub fn refuse_kind(
        &self,
        kind: &'static str,
        id: &str,
        held: Duration,
        refusal: &Refusal,
    ) -> Response<Body> {
        let outcome = if refusal.retry_after.is_some() {
            "refused"
        } else {
            "failed"
        };
        self.metrics.count_request(kind, outcome);
        self.refuse(Some(id), held, refusal)
    }
}
