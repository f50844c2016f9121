//! A request that is being served.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use hyper::http;
use net::Share;
use parking_lot::Mutex;
use quarantine::{Fingerprint, TargetIncarnation};
use timer::boot_time;
use types::{Moment, WorkspaceId};
use view::{Route, RouteKind, Service};

use crate::{adapters::CallerRequest, execution::Execution};

/// A request that is being served.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the caller requests.
    pub request: CallerRequest,
    /// Identifies the request across retries by its caller.
    pub fingerprint: Fingerprint,
    /// Digests of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Arc<[Fingerprint]>,
    /// The head as received.
    pub head: http::request::Parts,
    /// The body.
    pub body: Bytes,
    /// The share of the memory budget that the request and its body take up. Clones share it.
    pub memory: Arc<Share>,
    /// The route that matches the request.
    pub route: Arc<Route>,
    /// The service that was picked from the route.
    pub service: Arc<Service>,
    /// The caller's workspace, if the configuration has workspaces.
    pub workspace: Option<WorkspaceId>,
    /// Priority; lower values are served first.
    pub priority: u32,
    /// When the request arrived.
    pub arrived: Moment,
    /// Until when the caller waits.
    pub caller_deadline: Moment,
    /// Until when the request must be answered: at most the route's timeout after its arrival.
    pub answer_deadline: Moment,
    /// Version of the configuration by which the request is served.
    pub config_version: u64,
    /// The sendings of the request. Clones share them.
    pub execution: Execution,
    /// Whether the request was admitted as a probe of a part of its prompt. Clones share it.
    pub is_probe: Arc<AtomicBool>,
    /// Targets that have lost a run of this request, in this order. Clones share them.
    pub lost_runs: Arc<Mutex<Vec<TargetIncarnation>>>,
    /// The id of the last event that this response has carried, if its stream goes on at another target.
    pub resumes_after: Option<u64>,
}

impl Call {
    /// The id of the last event that the caller has from an earlier response, if the route allows that
    /// streams are resumed.
    #[must_use]
    pub fn caller_last_event(&self) -> Option<u64> {
        self.request.last_event.filter(|_| self.route.is_resumable)
    }

    /// The call as it is placed once more to go on after an event. Its caller waits anew, at most for
    /// `patience`.
    #[must_use]
    pub fn with_resumption(&self, after: Option<u64>, patience: Duration) -> Self {
        let now = boot_time();
        Self {
            arrived: now,
            answer_deadline: self.answer_deadline.min(now + patience),
            resumes_after: after,
            ..self.clone()
        }
    }

    /// Time since the request arrived.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        boot_time().saturating_sub(self.arrived)
    }

    /// Time for which the caller still waits.
    #[must_use]
    pub fn caller_time_left(&self) -> Duration {
        self.caller_deadline.saturating_sub(boot_time())
    }

    /// Time left until the answer deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.answer_deadline.saturating_sub(boot_time())
    }

    /// Time left of the route's objective for the answer, counted from the arrival of this request.
    #[must_use]
    pub fn objective_left(&self) -> Duration {
        self.route.objective.saturating_sub(self.elapsed())
    }

    /// The shared parts of the prompt in short form, for the log.
    #[must_use]
    pub fn part_names(&self) -> Arc<str> {
        let names: Vec<String> = self
            .shared_parts
            .iter()
            .map(|part| format!("{:016x}", part.short()))
            .collect();
        names.join(",").into()
    }

    /// The kind of the route, as used in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self.route.kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Generation => "generation",
        }
    }
}
