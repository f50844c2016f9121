//! Starts an instance, and runs it until the process is asked to stop.

use std::{
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
    shutdown::{self, Signals},
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
    drain_grace: Duration,
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
            drain_grace: Duration::from_secs(settings.limits.drain_grace_seconds),
        };
        components.spawn_tasks(settings, inputs);
        events::emit(&Log::Started { instance: me.id });
        Ok(instance)
    }

    /// Shuts down gracefully. The instance becomes unready at once, and continues to accept
    /// requests during the grace period, because the load balancer's list lags. After that it
    /// waits for the last connection of a caller to close, for the last request to end and for
    /// outcomes of calls to be written, and then for the connections of operators and peers.
    pub async fn shut_down(self) {
        let ServerHandles {
            callers,
            peers,
            operators,
        } = self.servers;
        events::emit(&Log::Draining {
            open: self.gateway.open_requests(),
        });
        self.draining.store(true, Ordering::Release);
        callers.retire();
        self.core.handle_member_input(members::Input::Drain);
        self.core.timer.sleep(self.drain_grace).await;
        events::emit(&Log::DrainClosing {
            connections: callers.open(),
            open: self.gateway.open_requests(),
        });
        callers.stop().await;
        shutdown::wait_until_idle(self.core.timer, || self.gateway.open_requests()).await;
        self.claims.drain(CLAIMS_FLUSH_TIMEOUT).await;
        // Not stopped earlier: operators can observe the shutdown, and open requests may depend on
        // messages of peers.
        future::zip(operators.stop(), peers.stop()).await;
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
