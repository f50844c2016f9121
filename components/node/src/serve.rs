//! Starts an instance, and runs it until the process is asked to stop.

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use claims::StoreClaims;
use errors::{Context, Error, Result};
use events::Event as Log;
use gateway::Gateway;
use prometheus_client::registry::Registry;
use settings::Settings;
use smol::future;
use types::Incarnation;

use crate::{
    components::Components,
    core::Core,
    servers::{ServerHandles, Servers},
    shutdown::{self, ShutdownSchedule, Signals},
};

/// Time limit, after the last request has ended, for writing outcomes of calls with idempotency
/// keys that the table service has not accepted yet. Later retries of calls whose outcome is not
/// written are answered with `unknown`.
const CLAIMS_FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// A running instance.
pub struct Instance {
    core: Arc<Core>,
    claims: Arc<StoreClaims>,
    gateway: Gateway,
    draining: Arc<AtomicBool>,
    servers: ServerHandles,
    schedule: ShutdownSchedule,
}

/// Runs an instance until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
/// Fails if the instance can't be started.
pub fn serve(settings: &Settings) -> Result<()> {
    workers::start(
        settings
            .instance
            .workers
            .unwrap_or_else(workers::default_workers),
    );
    let signals = Signals::watch()?;
    smol::block_on(async {
        let instance = Instance::start(settings).await?;
        signals.wait_for_stop().await;
        instance.shut_down().await;
        Ok(())
    })
}

impl Instance {
    /// Starts all components. The instance becomes ready once it has a configuration and the
    /// platform's list, and a heartbeat of another instance has arrived if others are listed.
    ///
    /// # Errors
    /// Fails if a component can't be created or an address can't be listened on.
    pub async fn start(settings: &Settings) -> Result<Self> {
        let me = identity(settings)?;
        let (components, inputs) = Components::new(settings, &me)?;
        let draining = Arc::new(AtomicBool::new(false));
        let state = components.state(&draining);
        let mut registry = Registry::default();
        let gateway = components.gateway(settings, &state, &mut registry);
        let servers = Servers::bind(settings, &components, &gateway, state, registry).await?;
        let instance = Self {
            core: Arc::clone(&components.core),
            claims: Arc::clone(&components.claims),
            gateway,
            draining,
            servers: servers.run(),
            schedule: ShutdownSchedule::new(
                Duration::from_secs(settings.limits.drain_grace_seconds),
                Duration::from_secs(settings.limits.shutdown_seconds),
            ),
        };
        components.spawn_tasks(settings, inputs);
        events::emit(&Log::Started { instance: me.id });
        Ok(instance)
    }

    /// Shuts down gracefully. The instance becomes unready at once, and continues to accept
    /// requests during the grace period, because the load balancer's list lags. After that it
    /// waits for the last connection of a caller to close, for the last request to end and for
    /// outcomes of calls to be written, and then for the connections of operators and peers.
    ///
    /// All that has a time limit, after which the platform kills the process: what is still open shortly
    /// before is ended, so that each caller gets an answer.
    pub async fn shut_down(self) {
        let ServerHandles {
            callers,
            peers,
            operators,
        } = self.servers;
        let (timer, schedule, gateway) = (self.core.timer, self.schedule, self.gateway);
        let started = timer.now();
        let left = |until: Duration| (started + until).saturating_sub(timer.now());
        events::emit(&Log::Draining {
            open: gateway.open_requests(),
        });
        self.draining.store(true, Ordering::Release);
        callers.retire();
        self.core.handle_member_input(members::Input::Drain);
        timer.sleep(schedule.accept).await;
        events::emit(&Log::DrainClosing {
            connections: callers.open(),
            open: gateway.open_requests(),
        });
        let mut idle = pin!(async {
            callers.stop().await;
            shutdown::wait_until_idle(timer, || gateway.open_requests()).await;
        });
        let is_idle = timer.within(left(schedule.serve), idle.as_mut()).await;
        if is_idle.is_none() {
            events::emit(&Log::ShutdownEndsRequests {
                open: gateway.open_requests(),
            });
            gateway.stop();
            // Whatever is open afterwards has a caller that does not read its answer.
            let _ = timer.within(left(schedule.answer), idle).await;
        }
        let flush = left(schedule.end).min(CLAIMS_FLUSH_TIMEOUT);
        let _ = timer.within(flush, self.claims.drain(flush)).await;
        // Not stopped earlier: operators can observe the shutdown, and open requests may depend on
        // messages of peers.
        let internal = future::zip(operators.stop(), peers.stop());
        let _ = timer.within(left(schedule.end), internal).await;
        events::emit(&Log::Stopped);
    }
}

fn identity(settings: &Settings) -> Result<members::Identity> {
    Ok(members::Identity {
        id: settings.instance.id.clone(),
        data_centre: settings.instance.data_centre.clone(),
        incarnation: incarnation()?,
    })
}

/// Returns the wall clock in milliseconds as the incarnation, which only has to grow with every
/// start.
fn incarnation() -> Result<Incarnation> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.map_err(|_| Error::new("the system's clock is before 1970"))?;
    u64::try_from(since.as_millis()).context("reading the system's clock")
}
