//! Starts and stops an instance.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use errors::{Context, Result};
use events::{Event, emit};
use net::{Budget, Client, DynamicLimits, Handler, ServeLimits, Server};
use parking_lot::{Mutex, RwLock};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use timer::boot_time;
use view::View;
use workers::Latch;

use crate::{
    adapters::{EngineControl, ProtocolAdapter, Store},
    admin::{Admin, Readiness},
    callers::{
        drain, handler::RequestHandler, intake::CallerIntake, open_requests::OpenRequests,
        shutdown::Shutdown,
    },
    config::Config,
    generations::{active::ActiveGenerations, placement::Placement, probing},
    instances::{
        membership,
        message_handler::MessageHandler,
        peers::Peers,
        wire::{Member, Topic},
    },
    metrics::Metrics,
    plain_calls::{cold::ColdTargets, retry_budget::RetryBudget, selection::TargetSelector},
    quarantine::{crash_detection::RecentCrashes, record::WritePace},
    reaching::{paths, server::OthersRequests},
    reload,
    rollouts::{local::Rollouts, participation},
    state::{Front, unix_millis},
    store::{counted::CountedStore, follow::Follower, topic_cache::TopicCache},
};

/// Timeout for connecting to the store or a peer. They are a few milliseconds away, and a
/// lost SYN packet is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// All that is kept for callers, targets and other instances may take the process's memory divided by this. The
/// rest is for the instance's own state, for copies while messages are encoded, and for the allocator.
const MEMORY_DIVISOR: usize = 5;
/// The most bytes of request headers before the configuration is known. Callers of the platform
/// stay within 16 KiB.
const MAX_HEADER_BYTES: usize = 32 * 1_024;
/// Timeout for an idle connection of a caller, and for the headers of a request, before the
/// configuration is known.
const IDLE_TIMEOUT: Duration = Duration::from_secs(16);

/// The interfaces to the platform, and the source of settings.
pub struct Adapters {
    /// The protocol of callers and targets.
    pub protocol: Arc<dyn ProtocolAdapter>,
    /// The control interface of engines.
    pub engines: Arc<dyn EngineControl>,
    /// The connections to targets, which requests and the control of engines share.
    pub client: Client,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Rereads the settings.
    pub reload: reload::Read,
    /// The memory for all that is kept for callers, targets and other instances, of [`memory_budget`].
    pub memory: Budget,
}

/// The memory for all that an instance keeps for callers, targets and other instances.
#[must_use]
pub fn memory_budget(cfg: &Config) -> Budget {
    Budget::new(cfg.memory / MEMORY_DIVISOR)
}

/// Flags that are set when a signal arrives.
pub struct Signals {
    /// SIGTERM or SIGINT: the instance stops.
    stop: Arc<AtomicBool>,
    /// SIGHUP: the settings have changed.
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the handlers. A process that has none yet is ended by SIGHUP, so this comes first.
    ///
    /// # Errors
    /// Fails if the system does not accept a handler.
    pub fn watch() -> Result<Self> {
        let signals = Self {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        for (number, received) in [
            (SIGTERM, &signals.stop),
            (SIGINT, &signals.stop),
            (SIGHUP, &signals.reload),
        ] {
            signal_hook::flag::register(number, Arc::clone(received))
                .context("registering signal handlers")?;
        }
        Ok(signals)
    }
}

/// Runs an instance until it receives SIGTERM or SIGINT.
///
/// # Errors
/// Returns why the instance could not start.
pub fn serve(cfg: Config, adapters: Adapters, signals: Signals) -> Result<()> {
    smol::block_on(run(cfg, adapters, signals.stop, signals.reload))
}

async fn run(
    cfg: Config,
    adapters: Adapters,
    stop: Arc<AtomicBool>,
    signal: Arc<AtomicBool>,
) -> Result<()> {
    let front = Arc::new(new_front(cfg, &adapters));
    let callers = listen(
        front.cfg.callers,
        caller_limits(&front),
        RequestHandler::new(Arc::clone(&front)),
    );
    let callers = callers
        .await?
        .with_dynamic_limits(Arc::clone(&front.connection_limits))
        .with_memory(front.memory.clone())
        .with_intake(Arc::new(CallerIntake::new(Arc::clone(&front))));
    let messages = MessageHandler::new(Arc::clone(&front));
    let peers = listen(front.cfg.peers, ServeLimits::default(), messages).await?;
    let readiness = Readiness::new(Arc::clone(&front));
    let ready = listen(front.cfg.ready, ServeLimits::default(), readiness).await?;
    if let Some(addr) = front.cfg.admin {
        let admin = Admin::new(Arc::clone(&front));
        let admin = listen(addr, ServeLimits::default(), admin).await?;
        workers::spawn(admin.run()).detach();
    }
    emit(&Event::Started {
        instance: Arc::clone(&front.cfg.instance),
    });
    front.serving_since.get_or_init(boot_time);
    let retire = callers.retire();
    let mut callers = drain::CallerServer {
        stop: callers.stop(),
        open: callers.open_connections(),
        task: workers::spawn(callers.run()),
    };
    workers::spawn(peers.run()).detach();
    workers::spawn(ready.run()).detach();
    let store = Arc::clone(&front.store);
    for topic in [Topic::Operator, Topic::Targets] {
        let follower = Follower::new(Arc::clone(&front), Arc::clone(&store), topic);
        workers::spawn(follower.run()).detach();
    }
    workers::spawn(membership::join(Arc::clone(&front), store)).detach();
    workers::spawn(membership::sync_with_owners(Arc::clone(&front))).detach();
    workers::spawn(probing::watch(Arc::clone(&front))).detach();
    workers::spawn(paths::probe(Arc::clone(&front))).detach();
    workers::spawn(participation::run(Arc::clone(&front))).detach();
    reload::watch(&front, &adapters.reload, &stop, &signal).await;
    retire.store(true, Ordering::Release);
    drain::drain(&front, &mut callers).await;
    drain::log_stopped(&front, &callers);
    Ok(())
}

fn new_front(cfg: Config, adapters: &Adapters) -> Front {
    let me = Member {
        id: Arc::clone(&cfg.instance),
        addr: cfg.peers,
        started_at: unix_millis(),
        capacity: cfg.capacity,
        data_centre: Arc::clone(&cfg.data_centre),
    };
    let bounds = cfg.bounds;
    let serve_limits = ServeLimits {
        header_bytes: MAX_HEADER_BYTES,
        header_timeout: IDLE_TIMEOUT,
        ..ServeLimits::default()
    };
    let metrics = Metrics::new();
    let calls = metrics.store_calls.clone();
    Front {
        view: View::new(),
        adapter: Arc::clone(&adapters.protocol),
        engines: Arc::clone(&adapters.engines),
        store: Arc::new(CountedStore::new(Arc::clone(&adapters.store), calls)),
        client: adapters.client.clone(),
        peers: Peers::new(
            me,
            Client::new()
                .with_connect_timeout(CONNECT_TIMEOUT)
                .with_resets(),
        )
        .with_capacity_order(cfg.decisions.features.capacity_order)
        .with_memory(adapters.memory.clone())
        .with_byte_counter(metrics.peer_bytes.clone()),
        placement: Placement::new(cfg.decisions.placing),
        generations: ActiveGenerations::default(),
        operator_rows: Arc::new(TopicCache::new().with_memory(&adapters.memory)),
        target_rows: Arc::new(TopicCache::new().with_memory(&adapters.memory)),
        member_rows: Arc::new(TopicCache::new().with_memory(&adapters.memory)),
        selector: Mutex::new(TargetSelector::new(
            cfg.decisions.features.locality,
            cfg.decisions.features.ejection,
        )),
        retry_budget: Mutex::new(RetryBudget::new(
            bounds.retry_window,
            bounds.retry_ratio,
            bounds.retry_slack,
        )),
        cold_targets: Mutex::new(ColdTargets::default()),
        rate_limits: Mutex::default(),
        pauses: Mutex::default(),
        brittle: Mutex::default(),
        avoided_engines: Mutex::default(),
        record_pace: WritePace::default(),
        rate_allocator: Mutex::default(),
        paths: Mutex::default(),
        relays: Mutex::default(),
        answer_times: Mutex::default(),
        others_requests: OthersRequests::default(),
        quarantine: Mutex::default(),
        part_quarantine: Mutex::default(),
        rollouts: Rollouts::default(),
        recent_crashes: RecentCrashes::default(),
        memory: adapters.memory.clone(),
        shutdown: Shutdown::default(),
        peers_known: Latch::default(),
        intake_limit: Mutex::default(),
        became_ready: Latch::default(),
        open_requests: OpenRequests::default(),
        metrics,
        connection_limits: Arc::new(DynamicLimits::new(&serve_limits)),
        targets_lost: AtomicBool::new(false),
        restored_era: AtomicU64::new(0),
        started_at: boot_time(),
        serving_since: OnceLock::new(),
        bounds: RwLock::new(bounds),
        cfg,
    }
}

fn caller_limits(front: &Front) -> ServeLimits {
    ServeLimits {
        // The rest is left for targets and peers.
        connections: front.cfg.connections / 2,
        ..ServeLimits::default()
    }
}

async fn listen(addr: SocketAddr, limits: ServeLimits, handler: impl Handler) -> Result<Server> {
    Server::bind(addr, limits, Arc::new(handler))
        .await
        .context(format!("listening on {addr}"))
}
