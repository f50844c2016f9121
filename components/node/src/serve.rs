//! Starting an instance, and running it until it is told to stop.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use admin::{AdminApi, AdminParts};
use claims::StoreClaims;
use config::{Config, Keeper};
use errors::{Context, Error, Result};
use events::Event as Log;
use gateway::{Gateway, GatewayParts, Metrics};
use net::{Client, Handler, ServeLimits, Server};
use platform::{Directory, DynamoTable, SliceDirectory, Table};
use policy::{
    Decide,
    baseline::{Alone, FixedShare, LeastLoaded, RoundRobin},
};
use prometheus_client::registry::Registry;
use settings::{Settings, Strategy};
use smol::channel::bounded;
use targets::{Engine, HttpPlain, OpenAiEngine, Plain};
use timer::Timer;
use types::Incarnation;
use wire::Key;

use crate::{
    admitted::Door,
    core::Core,
    directory::Watch,
    dump::State,
    liveness::Heard,
    outbox::{Outbox, Refusals},
    peers::{PeerClient, PeerServer},
    reports::{Reports, Scope},
    shutdown, ticks,
};

/// Configuration hints that may wait.
const HINTS: usize = 64;
/// Instances that share the targets under the fixed-share baseline where the list says nothing.
const SHARING: u32 = 8;
/// Most open connections from peers and operators.
const INNER_CONNECTIONS: usize = 1024;

/// One running instance.
pub struct Instance {
    core: Arc<Core>,
    gateway: Gateway,
    draining: Arc<AtomicBool>,
    stop_callers: Arc<AtomicBool>,
    open_callers: Arc<AtomicUsize>,
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
    let told = shutdown::watch_signals()?;
    smol::block_on(async {
        let instance = Instance::start(settings).await?;
        shutdown::until_set(&told).await;
        instance.shut_down().await;
        Ok(())
    })
}

impl Instance {
    /// Starts all parts. It becomes ready once it has a configuration, the platform's list and
    /// an owner for its shards.
    ///
    /// # Errors
    /// Tells what could not be started.
    pub async fn start(settings: &Settings) -> Result<Self> {
        let timer = Timer::new();
        let me = members::Identity {
            id: settings.instance.id.clone(),
            data_centre: settings.instance.data_centre.clone(),
            incarnation: incarnation()?,
        };
        let key = Key::new(&settings.peers.key);
        let client = Client::new();
        let (outbox, refusals) = Outbox::new(
            me.id.clone(),
            me.incarnation,
            key.clone(),
            client.clone(),
            timer,
        );
        let (hint_tx, hints) = bounded(HINTS);
        let decide = decider(settings, &me);
        let core = Arc::new(Core::new(timer, &me, decide, outbox, hint_tx));

        let platform = Platform::new(settings, &client)?;
        let peers = Arc::new(PeerClient::new(
            Arc::clone(&core),
            key.clone(),
            client.clone(),
        ));
        let keeper = Keeper::new(
            me.id.clone(),
            Arc::clone(&platform.table),
            Arc::clone(&peers) as Arc<dyn config::PeerConfig>,
            timer,
        );
        let config: Arc<dyn Config> = Arc::clone(&keeper) as Arc<dyn Config>;
        let heard = Arc::new(Heard::new(Arc::clone(&core)));
        let claims = StoreClaims::new(me.id.clone(), me.incarnation, platform.table, heard, timer);
        let watch = Arc::new(Watch::new(
            Arc::clone(&core),
            Arc::clone(&config),
            platform.directory,
        ));
        let engine: Arc<dyn Engine> = Arc::new(OpenAiEngine::new(client.clone(), timer));
        let plain: Arc<dyn Plain> = Arc::new(HttpPlain::new(client, timer));

        let draining = Arc::new(AtomicBool::new(false));
        let state = Arc::new(State::new(
            Arc::clone(&core),
            Arc::clone(&config),
            Arc::clone(&watch),
            Arc::clone(&claims) as Arc<dyn claims::Claims>,
            Arc::clone(&draining),
        ));
        let serving = Arc::clone(&state);
        let door = Door::new(Arc::clone(&core), Arc::new(move || serving.serves()));
        let metrics = Metrics::new();
        let mut registry = Registry::default();
        metrics.register(&mut registry);
        let parts = GatewayParts {
            admission: Arc::new(door),
            engine: Arc::clone(&engine),
            plain: Arc::clone(&plain),
            claims: Arc::clone(&claims) as Arc<dyn claims::Claims>,
            config: Arc::clone(&config),
            timer,
            limits: settings.limits.clone(),
            instance: me.id.clone(),
            metrics,
            stream_key: settings.peers.key.clone(),
        };
        let gateway = Gateway::with_takeover(parts, peers);

        let callers = listen(settings, Arc::new(gateway.clone())).await?;
        let peer_server =
            PeerServer::new(Arc::clone(&core), key, Arc::clone(&config), gateway.clone());
        let inner = ServeLimits {
            connections: INNER_CONNECTIONS,
            ..ServeLimits::default()
        };
        let peers_address = Server::bind(settings.instance.peer, inner, Arc::new(peer_server))
            .await
            .context(format!("listening for peers on {}", settings.instance.peer))?;
        let api = AdminApi::new(AdminParts {
            instance: me.id.clone(),
            data_centre: me.data_centre.clone(),
            key_hashes: settings.admin.key_hashes.clone(),
            config: Arc::clone(&config),
            dump: Arc::clone(&state) as Arc<dyn admin::Dump>,
            readiness: state,
            registry: Arc::new(registry),
        });
        let operators = Server::bind(settings.instance.admin, inner, Arc::new(api))
            .await
            .context(format!(
                "listening for operators on {}",
                settings.instance.admin
            ))?;

        let instance = Self {
            core: Arc::clone(&core),
            gateway,
            draining,
            stop_callers: callers.stop(),
            open_callers: callers.open(),
            grace: Duration::from_secs(settings.limits.drain_grace_seconds),
        };
        for server in [callers, peers_address, operators] {
            workers::spawn(server.run()).detach();
        }
        let scope = match settings.instance.strategy {
            Strategy::Owner | Strategy::Oracle => Scope::Owned,
            Strategy::RoundRobin | Strategy::LeastLoaded | Strategy::FixedShare => Scope::All,
        };
        let reports = Arc::new(Reports::new(Arc::clone(&core), engine, plain, scope));
        workers::spawn(keeper.run()).detach();
        workers::spawn(claims.run()).detach();
        workers::spawn(Arc::clone(&watch).read_lists()).detach();
        workers::spawn(watch.follow()).detach();
        workers::spawn(reports.run()).detach();
        run_ticks(&core, &config, settings.peers.heartbeat(), refusals, hints);
        events::emit(&Log::Started { instance: me.id });
        Ok(instance)
    }

    /// Shuts down gracefully: not ready at once, still serving while the balancer's list lags,
    /// then until the last request has ended.
    pub async fn shut_down(self) {
        events::emit(&Log::Draining {
            open: self.gateway.open(),
        });
        self.draining.store(true, Ordering::Release);
        self.core.member(members::Input::Drain);
        self.core.timer.sleep(self.grace).await;
        self.stop_callers.store(true, Ordering::Release);
        let open = || self.gateway.open() + self.open_callers.load(Ordering::Acquire);
        shutdown::until_idle(self.core.timer, open).await;
        events::emit(&Log::Stopped);
    }
}

/// The platform's services.
struct Platform {
    table: Arc<dyn Table>,
    directory: Arc<dyn Directory>,
}

impl Platform {
    fn new(settings: &Settings, client: &Client) -> Result<Self> {
        let at = &settings.platform;
        let table = DynamoTable::new(client.clone(), &at.table, at.token.clone())?;
        let directory = SliceDirectory::new(client.clone(), &at.directory, at.token.clone())?;
        Ok(Self {
            table: Arc::new(table),
            directory: Arc::new(directory),
        })
    }
}

async fn listen(settings: &Settings, handler: Arc<dyn Handler>) -> Result<Server> {
    let limits = ServeLimits {
        header_bytes: settings.limits.header_bytes,
        header_time: Duration::from_secs(settings.limits.sender_seconds),
        connections: settings.limits.connections,
    };
    let addr = settings.instance.listen;
    Server::bind(addr, limits, handler)
        .await
        .context(format!("listening for callers on {addr}"))
}

fn run_ticks(
    core: &Arc<Core>,
    config: &Arc<dyn Config>,
    heartbeat: Duration,
    refusals: Refusals,
    hints: smol::channel::Receiver<crate::core::ConfigHint>,
) {
    workers::spawn(ticks::tick(Arc::clone(core))).detach();
    workers::spawn(ticks::beat(Arc::clone(core), Arc::clone(config), heartbeat)).detach();
    workers::spawn(ticks::watch_refusals(Arc::clone(core), refusals)).detach();
    workers::spawn(ticks::follow_hints(Arc::clone(config), hints)).detach();
}

fn decider(settings: &Settings, me: &members::Identity) -> Box<dyn Decide> {
    match settings.instance.strategy {
        Strategy::Owner | Strategy::Oracle => {
            let identity = policy::Identity {
                id: me.id.clone(),
                data_centre: me.data_centre.clone(),
                incarnation: me.incarnation,
            };
            let instance = policy::Instance::new(identity, me.incarnation);
            if settings.instance.strategy == Strategy::Oracle {
                Box::new(instance.with_told_lengths())
            } else {
                Box::new(instance)
            }
        }
        Strategy::RoundRobin => Box::new(Alone::new(Box::new(RoundRobin::default()))),
        Strategy::LeastLoaded => Box::new(Alone::new(Box::new(LeastLoaded))),
        Strategy::FixedShare => Box::new(Alone::new(Box::new(FixedShare { instances: SHARING }))),
    }
}

/// The wall clock in milliseconds: larger at each start, and that is all it is used for.
fn incarnation() -> Result<Incarnation> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.map_err(|_| Error::new("the system's clock is before 1970"))?;
    u64::try_from(since.as_millis()).context("reading the system's clock")
}
