//! One request while it is served.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::http;
use net::Share;
use quarantine::Fingerprint;
use timer::boot_time;
use types::{Moment, WorkspaceId};
use view::{Kind, Route, Service};

use crate::adapters::CallerRequest;

/// One request while it is served.
#[derive(Clone, Debug)]
pub struct Call {
    /// What it asks.
    pub request: CallerRequest,
    /// What stays the same when its caller sends it again.
    pub fingerprint: Fingerprint,
    /// Its head as it came.
    pub head: http::request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Memory that the body takes up. Clones share it.
    pub memory: Arc<Share>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that the route chose for it.
    pub service: Arc<Service>,
    /// The caller's workspace, if the configuration has workspaces.
    pub workspace: Option<WorkspaceId>,
    /// Its rank, the lowest first.
    pub priority: u32,
    /// When it had arrived.
    pub arrived: Moment,
    /// Until when the caller waits.
    pub caller_deadline: Moment,
    /// Until when it must be answered.
    pub answer_deadline: Moment,
    /// The version of the configuration that it is served by.
    pub config_version: u64,
    /// Whether a sending of it has begun, so that it may have run. Clones share it.
    pub sent: Arc<AtomicBool>,
}

impl Call {
    /// Notes that a sending of it begins.
    pub fn mark_sent(&self) {
        self.sent.store(true, Ordering::Release);
    }

    /// How long it has been held.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        boot_time().saturating_sub(self.arrived)
    }

    /// Time that the caller still waits.
    #[must_use]
    pub fn caller_time_left(&self) -> Duration {
        self.caller_deadline.saturating_sub(boot_time())
    }

    /// Time until it must be answered.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.answer_deadline.saturating_sub(boot_time())
    }

    /// Time until the answer should be there, counted from this request's arrival.
    #[must_use]
    pub fn objective_left(&self) -> Duration {
        self.route.aim.saturating_sub(self.elapsed())
    }

    /// Its kind, as metrics name it.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self.route.kind {
            Kind::Idempotent => "idempotent",
            Kind::NonIdempotent => "non_idempotent",
            Kind::Generation => "generation",
        }
    }
}
