//! Starts an instance, and stops it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use errors::{Context, Result};
use events::{Event, emit};
use net::{Client, Handler, ServeLimits, Server};
use parking_lot::Mutex;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use timer::Timer;
use view::View;

use crate::{
    acquaint, blind,
    budget::Budget,
    choice::Choice,
    cold::ColdTargets,
    config::Config,
    face::{Engines, Face, Store},
    follow::Follower,
    handler::Callers,
    live::LiveRuns,
    message::Messages,
    metrics::Metrics,
    peers::Peers,
    placement::Placement,
    shelf::Shelf,
    side::{Admin, Readiness},
    state::Front,
    wire::{Member, Topic},
};

/// Time to connect to a target, the store or a peer. They are a few milliseconds away; where an
/// opening packet was dropped, the next one comes a second later at best.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Part of the process's memory that request bodies may hold together.
const BODIES_PART: usize = 4;
/// Bytes of headers that are taken; the platform's callers stay within 16 KiB.
const HEADER_BYTES: usize = 32 * 1_024;
/// Time that a caller's connection may be idle, or take for its headers. Callers use connections
/// again that were idle for up to 12 s.
const IDLE_TIME: Duration = Duration::from_secs(16);
/// Time between two looks for a signal or a changed settings file.
const SIGNAL_POLL: Duration = Duration::from_millis(50);
/// After an order to stop new connections are still taken for this long: the balancer needs two
/// questions, a second apart, to leave this instance out.
const LINGER: Duration = Duration::from_millis(2_600);
/// Part of the grace that is used; the rest is for the last bytes.
const GRACE_PART: f64 = 0.9;

/// What an instance talks to.
pub struct Outside {
    /// Speaks with callers and targets.
    pub face: Arc<dyn Face>,
    /// Gives engines orders, over the connections given.
    pub engines: Arc<dyn Engines>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Reads the settings again.
    pub reload: Box<dyn Fn() -> Result<Config> + Send>,
}

/// Runs an instance until it is told to stop.
///
/// # Errors
/// Tells why it could not start.
pub fn serve(cfg: Config, outside: Outside) -> Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    let reload = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).context("signals")?;
    }
    signal_hook::flag::register(SIGHUP, Arc::clone(&reload)).context("signals")?;
    smol::block_on(run(cfg, outside, stop, reload))
}

async fn run(
    cfg: Config,
    outside: Outside,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
) -> Result<()> {
    let front = Arc::new(front(cfg, &outside));
    let callers = listen(
        front.cfg.callers,
        limits(&front),
        Callers::new(Arc::clone(&front)),
    );
    let callers = callers.await?;
    let messages = Messages::new(Arc::clone(&front));
    let peers = listen(front.cfg.peers, ServeLimits::default(), messages).await?;
    let readiness = Readiness::new(Arc::clone(&front));
    let ready = listen(front.cfg.ready, ServeLimits::default(), readiness).await?;
    if let Some(addr) = front.cfg.admin {
        let admin = Admin::new(Arc::clone(&front));
        let admin = listen(addr, ServeLimits::default(), admin).await?;
        workers::spawn(admin.run()).detach();
    }
    let retire = callers.retire();
    let close = callers.stop();
    workers::spawn(callers.run()).detach();
    workers::spawn(peers.run()).detach();
    workers::spawn(ready.run()).detach();
    for topic in [Topic::Operator, Topic::Targets] {
        let follower = Follower::new(Arc::clone(&front), Arc::clone(&outside.store), topic);
        workers::spawn(follower.run()).detach();
    }
    workers::spawn(acquaint::meet(
        Arc::clone(&front),
        Arc::clone(&outside.store),
    ))
    .detach();
    workers::spawn(acquaint::sync(Arc::clone(&front))).detach();
    workers::spawn(blind::watch(Arc::clone(&front))).detach();
    emit(&Event::Started {
        instance: Arc::clone(&front.cfg.instance),
    });
    wait_for_stop(&front, &outside, &stop, &reload).await;
    emit(&Event::Draining {
        open: front.open.load(Ordering::Acquire),
    });
    front.stopping.store(true, Ordering::Release);
    retire.store(true, Ordering::Release);
    drain(&front, &close).await;
    emit(&Event::Stopped);
    Ok(())
}

fn front(cfg: Config, outside: &Outside) -> Front {
    let me = Member {
        id: Arc::clone(&cfg.instance),
        addr: cfg.peers,
        born: unix_millis(),
        capacity: cfg.capacity,
    };
    let bounds = cfg.bounds;
    Front {
        view: View::new(),
        face: Arc::clone(&outside.face),
        engines: Arc::clone(&outside.engines),
        client: Client::new().with_connect_limit(CONNECT_LIMIT),
        peers: Peers::new(me, Client::new().with_connect_limit(CONNECT_LIMIT)),
        placement: Placement::new(),
        live: LiveRuns::default(),
        operator_rows: Arc::new(Shelf::new()),
        target_rows: Arc::new(Shelf::new()),
        member_rows: Arc::new(Shelf::new()),
        choice: Mutex::new(Choice::default()),
        budget: Mutex::new(Budget::new(
            bounds.retry_window,
            bounds.retry_ratio,
            bounds.retry_slack,
        )),
        cold: Mutex::new(ColdTargets::default()),
        bodies: net::Budget::new(cfg.memory / BODIES_PART),
        stopping: AtomicBool::new(false),
        open: Arc::new(AtomicUsize::new(0)),
        metrics: Metrics::new(),
        cfg,
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

fn limits(front: &Front) -> ServeLimits {
    ServeLimits {
        header_bytes: HEADER_BYTES,
        header_time: IDLE_TIME,
        // The rest is for targets and peers.
        connections: front.cfg.connections / 2,
    }
}

async fn listen(addr: SocketAddr, limits: ServeLimits, handler: impl Handler) -> Result<Server> {
    Server::bind(addr, limits, Arc::new(handler))
        .await
        .context(format!("listening on {addr}"))
}

async fn wait_for_stop(front: &Front, outside: &Outside, stop: &AtomicBool, reload: &AtomicBool) {
    let mut ticks = Timer::new().every(SIGNAL_POLL);
    while !stop.load(Ordering::Acquire) {
        ticks.next().await;
        if reload.swap(false, Ordering::AcqRel) {
            read_again(front, outside);
        }
    }
}

/// Reads the settings again. What they change takes a restart; it is said in the log.
fn read_again(front: &Front, outside: &Outside) {
    match (outside.reload)() {
        Ok(cfg) => emit(&Event::SettingsReloaded {
            changed: cfg != front.cfg,
        }),
        Err(e) => emit(&Event::SettingsKept {
            reason: e.to_string().into(),
        }),
    }
}

/// Serves what there is to its end, and what still comes while the balancer learns of the stop.
async fn drain(front: &Front, close: &AtomicBool) {
    let timer = Timer::new();
    let most = front.cfg.bounds.grace.mul_f64(GRACE_PART);
    timer.sleep(LINGER.min(most)).await;
    close.store(true, Ordering::Release);
    while timer.now() < most && front.open.load(Ordering::Acquire) + front.live.count() > 0 {
        timer.sleep(SIGNAL_POLL).await;
    }
    // Time for the last answers to leave.
    timer.sleep(SIGNAL_POLL).await;
}
