//! Starting an instance, and running it until it is told to stop.

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
    core::Core,
    parts::Parts,
    servers::{Servers, Serving},
    shutdown::{self, Signals},
};

/// After the last request, outcomes of keyed calls that the table service has not taken yet are
/// recorded for this long. Later repeats of those calls would otherwise be told `unknown`.
const DRAIN_CLAIMS: Duration = Duration::from_secs(10);

/// One running instance.
pub struct Instance {
    core: Arc<Core>,
    claims: Arc<StoreClaims>,
    gateway: Gateway,
    draining: Arc<AtomicBool>,
    serving: Serving,
    grace: Duration,
}

/// Runs an instance until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
/// Tells why it could not start.
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
        signals.until_stop().await;
        instance.shut_down().await;
        Ok(())
    })
}

impl Instance {
    /// Starts all parts. It becomes ready once it has a configuration and the platform's list and
    /// hears another instance.
    ///
    /// # Errors
    /// Tells what could not be started.
    pub async fn start(settings: &Settings) -> Result<Self> {
        let me = identity(settings)?;
        let (parts, inputs) = Parts::new(settings, &me)?;
        let draining = Arc::new(AtomicBool::new(false));
        let state = parts.state(&draining);
        let mut registry = Registry::default();
        let gateway = parts.gateway(settings, &state, &mut registry);
        let servers = Servers::bind(settings, &parts, &gateway, state, registry).await?;
        let instance = Self {
            core: Arc::clone(&parts.core),
            claims: Arc::clone(&parts.claims),
            gateway,
            draining,
            serving: servers.run(),
            grace: Duration::from_secs(settings.limits.drain_grace_seconds),
        };
        parts.run(settings, inputs);
        events::emit(&Log::Started { instance: me.id });
        Ok(instance)
    }

    /// Shuts down gracefully: not ready at once, still serving while the balancer's list lags,
    /// then until the last connection of a caller has ended, and after that of an operator.
    pub async fn shut_down(self) {
        let Serving {
            callers,
            peers,
            operators,
        } = self.serving;
        events::emit(&Log::Draining {
            open: self.gateway.open_requests(),
        });
        self.draining.store(true, Ordering::Release);
        callers.retire();
        self.core.member(members::Input::Drain);
        self.core.timer.sleep(self.grace).await;
        events::emit(&Log::DrainClosing {
            connections: callers.open(),
            open: self.gateway.open_requests(),
        });
        callers.stop().await;
        shutdown::until_idle(self.core.timer, || self.gateway.open_requests()).await;
        self.claims.drain(DRAIN_CLAIMS).await;
        // Until here operators may look at the shutdown, and requests may need what peers send.
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

/// The wall clock in milliseconds: larger at each start, and that is all it is used for.
fn incarnation() -> Result<Incarnation> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.map_err(|_| Error::new("the system's clock is before 1970"))?;
    u64::try_from(since.as_millis()).context("reading the system's clock")
}
