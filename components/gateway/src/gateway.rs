//! What a gateway is made of.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use claims::Claims;
use config::{Config, Current};
use futures_lite::future;
use net::Budget;
use relay::Relay;
use settings::Limits;
use targets::{Engine, Plain, StreamId};
use timer::Timer;
use types::{InstanceId, Moment, Refusal, Run, TargetId};

use crate::{
    admission::{Admission, PermitHandle},
    delivery,
    in_flight::InFlightRequests,
    metrics::Metrics,
    quarantine::Quarantine,
    refusals,
    resume_handle::ResumeHandleCodec,
    streams::Streams,
};

/// Bytes of request bodies held at once.
const BODIES: usize = 32 * 1024 * 1024;
/// Bytes of whole answers gathered at once.
const ANSWERS: usize = 64 * 1024 * 1024;
/// Time after its deadline within which a request is still left to admission, which refuses late
/// requests and knows when to come back.
const UNDECIDED: Duration = Duration::from_secs(1);

/// The parts that a gateway works with.
pub struct GatewayParts {
    /// Decides who may send where and when.
    pub admission: Arc<dyn Admission>,
    /// The client of engines.
    pub engine: Arc<dyn Engine>,
    /// The client of plain services.
    pub plain: Arc<dyn Plain>,
    /// At most one run per idempotency key.
    pub claims: Arc<dyn Claims>,
    /// Requests that crash targets.
    pub quarantine: Arc<dyn Quarantine>,
    /// The configuration in force.
    pub config: Arc<dyn Config>,
    /// The process's timer.
    pub timer: Timer,
    /// Limits towards callers.
    pub limits: Limits,
    /// This instance's name.
    pub instance: InstanceId,
    /// Counters.
    pub metrics: Metrics,
    /// Key that authenticates the ids of events, the same at all instances.
    pub stream_key: Arc<str>,
}

/// Tells another instance that a caller goes on elsewhere with a stream that it holds.
///
/// An instance whose caller went away cancels the generation after a while. If the caller has
/// come back at another instance by then, that would cut its new stream; so the new instance
/// tells the old one, whose gateway takes it by `Gateway::handle_takeover`.
#[async_trait]
pub trait Takeover: Send + Sync {
    /// Tells `holder`, with a few tries of its own; a holder that is gone needs no telling.
    async fn notify(&self, holder: &InstanceId, target: &TargetId, stream: &StreamId);
}

/// Answers callers. Clones share everything.
#[derive(Clone)]
pub struct Gateway {
    pub(crate) core: Arc<Core>,
}

pub(crate) struct Core {
    pub admission: Arc<dyn Admission>,
    pub engine: Arc<dyn Engine>,
    pub plain: Arc<dyn Plain>,
    pub claims: Arc<dyn Claims>,
    pub quarantine: Arc<dyn Quarantine>,
    pub config: Arc<dyn Config>,
    pub timer: Timer,
    pub limits: Limits,
    pub instance: InstanceId,
    pub metrics: Metrics,
    pub relay: Relay,
    pub flights: InFlightRequests,
    pub bodies: Budget,
    pub answers: Budget,
    pub streams: Streams,
    pub tickets: ResumeHandleCodec,
    pub takeover: Option<Arc<dyn Takeover>>,
    pub grace: Duration,
    /// Tells the requests of two lives of this instance apart.
    life: u64,
    requests: AtomicU64,
}

impl Gateway {
    /// Makes a gateway.
    #[must_use]
    pub fn new(parts: GatewayParts) -> Self {
        Self {
            core: Arc::new(Core::new(parts, None)),
        }
    }

    /// Makes a gateway that tells other instances when their callers go on here.
    #[must_use]
    pub fn with_takeover(parts: GatewayParts, takeover: Arc<dyn Takeover>) -> Self {
        Self {
            core: Arc::new(Core::new(parts, Some(takeover))),
        }
    }

    /// Sets how long a generation runs on for a caller that went away. Only before the gateway
    /// is shared.
    #[must_use]
    pub fn with_grace(mut self, grace: Duration) -> Self {
        let core = Arc::get_mut(&mut self.core).expect("the gateway is not shared yet");
        core.grace = grace;
        self
    }

    /// Requests that are running or waiting, for a graceful shutdown.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.core.flights.open()
    }

    /// Writes the state for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<String> {
        let core = &self.core;
        let mut lines = vec![format!("requests in flight: {}", core.flights.open())];
        for (workspace, count) in core.flights.by_workspace() {
            lines.push(format!("workspace {workspace}: {count} in flight"));
        }
        for (target, stream) in core.streams.list() {
            lines.push(format!("stream {stream} at {target}"));
        }
        lines
    }

    /// Another instance reads this stream for its caller now: let go of it without cancelling.
    pub fn handle_takeover(&self, target: &TargetId, stream: &StreamId) {
        self.core.streams.supersede(target, stream);
    }
}

impl Core {
    fn new(parts: GatewayParts, takeover: Option<Arc<dyn Takeover>>) -> Self {
        Self {
            relay: Relay::new(Arc::clone(&parts.engine), parts.timer),
            engine: parts.engine,
            quarantine: parts.quarantine,
            flights: InFlightRequests::new(parts.metrics.clone()),
            bodies: Budget::new(BODIES),
            answers: Budget::new(ANSWERS),
            streams: Streams::default(),
            tickets: ResumeHandleCodec::new(&parts.stream_key),
            admission: parts.admission,
            plain: parts.plain,
            claims: parts.claims,
            config: parts.config,
            timer: parts.timer,
            limits: parts.limits,
            instance: parts.instance,
            metrics: parts.metrics,
            takeover,
            grace: delivery::GRACE,
            life: fastrand::u64(..),
            requests: AtomicU64::new(0),
        }
    }

    /// The configuration in force, while requests are taken.
    pub fn current(&self) -> Result<Arc<Current>, Refusal> {
        if !self.admission.is_ready() {
            return Err(refusals::not_ready());
        }
        let current = self.config.current().ok_or_else(refusals::not_ready)?;
        // Before the first change there are no workspaces: calling each key wrong would mislead.
        if current.in_force.version() == 0 {
            return Err(refusals::not_ready());
        }
        Ok(current)
    }

    /// Waits for a permit. A request that admission has not decided upon some time after its
    /// deadline is refused here, so that no caller depends on another task's good health.
    pub async fn permit(
        &self,
        deadline: Moment,
        decided: impl Future<Output = Result<Box<dyn PermitHandle>, Refusal>>,
    ) -> Result<Box<dyn PermitHandle>, Refusal> {
        let undecided = async {
            let left = self.left(deadline).saturating_add(UNDECIDED);
            self.timer.sleep(left).await;
            Err(refusals::deadline(Run::NotRun))
        };
        future::or(decided, undecided).await
    }

    /// A name for a request, unique in the deployment.
    pub fn request_name(&self) -> Arc<str> {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.instance, self.life).into()
    }

    /// Time left until a deadline on this process's clock.
    pub fn left(&self, deadline: Moment) -> Duration {
        deadline.saturating_sub(self.admission.now())
    }
}
