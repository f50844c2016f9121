//! The gateway and the state that its requests share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use claims::Claims;
use config::{Config, CurrentConfig};
use futures_lite::future;
use net::Budget;
use relay::Relay;
use settings::Limits;
use targets::{Engine, PlainService, StreamId};
use timer::Timer;
use types::{Execution, InstanceId, Moment, Refusal, TargetId};
use workers::Latch;

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

/// Time after the deadline of a request in which admission may still refuse it. Its refusal is
/// preferred because it contains a retry delay.
const ADMISSION_GRACE: Duration = Duration::from_secs(1);

/// The dependencies and settings of a gateway.
pub struct GatewayParts {
    /// Grants permits to send requests.
    pub admission: Arc<dyn Admission>,
    /// The client of engines.
    pub engine: Arc<dyn Engine>,
    /// The client of plain services.
    pub plain: Arc<dyn PlainService>,
    /// Claims on idempotency keys: a key runs at most once.
    pub claims: Arc<dyn Claims>,
    /// Rejects requests that crash targets.
    pub quarantine: Arc<dyn Quarantine>,
    /// The configuration in force.
    pub config: Arc<dyn Config>,
    /// The process's timer.
    pub timer: Timer,
    /// Limits for callers.
    pub limits: Limits,
    /// The memory for all that is kept for callers.
    pub memory: Budget,
    /// Name of this instance.
    pub instance: InstanceId,
    /// Metrics.
    pub metrics: Metrics,
    /// Key that authenticates event ids, the same at all instances.
    pub stream_key: Arc<str>,
}

/// Notifies another instance that a caller resumed one of its streams here.
///
/// An instance cancels a generation some time after its caller disconnected. If the caller has
/// resumed the stream at another instance, this would end the resumed stream. So the new instance
/// notifies the old one, which handles it with `Gateway::handle_takeover`.
#[async_trait]
pub trait Takeover: Send + Sync {
    /// Notifies `holder`, with a few attempts. Failures are not reported: an instance that is gone
    /// can't cancel anything.
    async fn notify(&self, holder: &InstanceId, target: &TargetId, stream: &StreamId);
}

/// Serves requests of callers. Clones share all state.
#[derive(Clone)]
pub struct Gateway {
    pub(crate) core: Arc<Core>,
}

pub(crate) struct Core {
    pub admission: Arc<dyn Admission>,
    pub engine: Arc<dyn Engine>,
    pub plain: Arc<dyn PlainService>,
    pub claims: Arc<dyn Claims>,
    pub quarantine: Arc<dyn Quarantine>,
    pub config: Arc<dyn Config>,
    pub timer: Timer,
    pub limits: Limits,
    pub instance: InstanceId,
    pub metrics: Metrics,
    pub relay: Relay,
    pub in_flight: InFlightRequests,
    pub memory: Budget,
    pub streams: Streams,
    pub resume_handles: ResumeHandleCodec,
    pub takeover: Option<Arc<dyn Takeover>>,
    pub grace: Duration,
    /// Opened when what is still open at a shutdown is answered or cut.
    pub stop: Latch,
    /// Random number that distinguishes the request ids of two incarnations of this instance.
    incarnation: u64,
    request_count: AtomicU64,
}

impl Gateway {
    /// Creates a gateway.
    #[must_use]
    pub fn new(parts: GatewayParts) -> Self {
        Self {
            core: Arc::new(Core::new(parts, None)),
        }
    }

    /// Creates a gateway that notifies other instances when their callers resume a stream here.
    #[must_use]
    pub fn with_takeover(parts: GatewayParts, takeover: Arc<dyn Takeover>) -> Self {
        Self {
            core: Arc::new(Core::new(parts, Some(takeover))),
        }
    }

    /// Sets how long a generation keeps running after its caller disconnected.
    ///
    /// # Panics
    /// Panics if the gateway has been cloned.
    #[must_use]
    pub fn with_grace(mut self, grace: Duration) -> Self {
        let core = Arc::get_mut(&mut self.core).expect("the gateway is not shared yet");
        core.grace = grace;
        self
    }

    /// Sets how long a generation may produce no token before it is given up.
    ///
    /// # Panics
    /// Panics if the gateway has been cloned.
    #[must_use]
    pub fn with_stall_timeout(mut self, timeout: Duration) -> Self {
        let core = Arc::get_mut(&mut self.core).expect("the gateway is not shared yet");
        core.relay = core.relay.clone().with_stall_timeout(timeout);
        self
    }

    /// Returns the number of running and waiting requests, which a graceful shutdown waits for.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.core.in_flight.total()
    }

    /// Returns the memory for all that is kept for callers.
    #[must_use]
    pub fn memory(&self) -> &Budget {
        &self.core.memory
    }

    /// Returns the state as lines of text for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<String> {
        let core = &self.core;
        let mut lines = vec![
            format!("requests in flight: {}", core.in_flight.total()),
            format!(
                "memory left for requests: {} bytes",
                core.memory.available()
            ),
        ];
        for (workspace, count) in core.in_flight.by_workspace() {
            lines.push(format!("workspace {workspace}: {count} in flight"));
        }
        for (target, stream) in core.streams.list() {
            lines.push(format!("stream {stream} at {target}"));
        }
        lines
    }

    /// Ends what is still open because the process is about to be killed: requests without an answer are
    /// answered, and streams are cut, so that their callers resume them at another instance.
    pub fn stop(&self) {
        self.core.stop.open();
    }

    /// Handles the notice that another instance has taken over this stream: stops delivering it
    /// here without cancelling it.
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
            in_flight: InFlightRequests::new(parts.metrics.clone()),
            memory: parts.memory,
            streams: Streams::default(),
            resume_handles: ResumeHandleCodec::new(&parts.stream_key),
            admission: parts.admission,
            plain: parts.plain,
            claims: parts.claims,
            config: parts.config,
            timer: parts.timer,
            limits: parts.limits,
            instance: parts.instance,
            metrics: parts.metrics,
            takeover,
            grace: delivery::RESUME_GRACE,
            stop: Latch::default(),
            incarnation: fastrand::u64(..),
            request_count: AtomicU64::new(0),
        }
    }

    /// Returns the configuration in force, or a refusal while no requests are accepted.
    pub fn current(&self) -> Result<Arc<CurrentConfig>, Refusal> {
        if !self.admission.is_ready() {
            return Err(refusals::not_ready());
        }
        let current = self.config.current().ok_or_else(refusals::not_ready)?;
        // Version 0 has no workspaces: refusing every key as unknown would be misleading.
        if current.effective.version() == 0 {
            return Err(refusals::not_ready());
        }
        Ok(current)
    }

    /// Waits for the result of admission, `permit`. If there is none shortly after the deadline,
    /// the request is refused here, so that a hung admission task never leaves a caller without an
    /// answer.
    pub async fn wait_for_permit(
        &self,
        deadline: Moment,
        permit: impl Future<Output = Result<Box<dyn PermitHandle>, Refusal>>,
    ) -> Result<Box<dyn PermitHandle>, Refusal> {
        let timeout = async {
            let time_left = self.time_left(deadline).saturating_add(ADMISSION_GRACE);
            self.timer.sleep(time_left).await;
            Err(refusals::deadline(Execution::NotRun))
        };
        future::or(permit, timeout).await
    }

    /// Returns a new request id, unique in the deployment.
    pub fn new_request_id(&self) -> Arc<str> {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.instance, self.incarnation).into()
    }

    /// Returns the time left until a deadline on this process's clock.
    pub fn time_left(&self, deadline: Moment) -> Duration {
        deadline.saturating_sub(self.admission.now())
    }
}
