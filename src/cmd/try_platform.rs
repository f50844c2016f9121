//! `celerystand try --platform`: one instance on stand-ins of the users' platform.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use bench::process::free_addr;
use errors::{Context, Error};
use front::{Adapters, Config};
use net::Client;
use platform::{EngineClient, HttpAdapter, RowStore};
use platform_standin::{
    caller::{Caller, Got, all_events, read},
    deployment::{Deployment, settings},
};
use timer::Timer;

use crate::{failure::Outcome, output};

/// Bounds of the demonstration's instance.
const BOUNDS: &str = "revoke_ms = 2500\ngrace_s = 6";
/// Key of the demonstration's one workspace.
const KEY: &str = "key-1";
/// Time for the instance to serve.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time between two tries.
const POLL: Duration = Duration::from_millis(50);
/// Events of the generation that is carried over: about two seconds.
const EVENTS: u32 = 130;
/// Requests a second that a process in need takes.
const TAKES: f64 = 4.0;
/// How long it is in need.
const NEED: Duration = Duration::from_secs(2);
/// Time between two calls meanwhile.
const CALL_EVERY: Duration = Duration::from_millis(20);
/// Engines beside the first ones for a request that crashes them.
const ENGINES: usize = 5;
/// Times that it is sent.
const REPEATS: usize = 6;
/// Time after which its engine is said to leave.
const BEFORE_LEAVING: Duration = Duration::from_millis(300);

/// Runs the demonstration and stays up, or ends with `once`.
///
/// # Errors
/// Tells what did not work.
pub fn run(once: bool) -> Outcome {
    let deployment = smol::block_on(Deployment::start());
    let store = platform_standin::listen(Arc::new(deployment.store.clone()));
    let cfg = config(smol::block_on(store))?;
    output::line("One instance, two engines, a plain service and a store, in one process.")?;
    output::line(format_args!("  callers    http://{}", cfg.callers))?;
    let (callers, kept) = (cfg.callers, cfg.clone());
    let adapters = Adapters {
        protocol: Arc::new(HttpAdapter::new()),
        engines: Arc::new(EngineClient::new(Client::new())),
        store: Arc::new(RowStore::new(Client::new(), cfg.store)),
        reload: Box::new(move || Ok(kept.clone())),
    };
    let instance = thread::spawn(move || front::serve(cfg, adapters));
    smol::block_on(demonstrate(&deployment, callers))?;
    if once {
        return Ok(());
    }
    // Ctrl-C ends the instance, and it the process.
    match instance.join() {
        Ok(ended) => Ok(ended?),
        Err(_) => Err(Error::new("the instance broke down").into()),
    }
}

/// Settings on free ports, as the platform would write them.
fn config(store: SocketAddr) -> errors::Result<Config> {
    let port = || free_addr().context("finding free ports");
    let addrs = [port()?, port()?, port()?, port()?];
    let text = settings("entry-1", 0, addrs, store, &[], BOUNDS);
    platform::parse(&text).context("settings")
}

async fn demonstrate(deployment: &Deployment, to: SocketAddr) -> errors::Result<()> {
    let caller = Caller::new(KEY);
    let first = until_served(&caller, to).await?;
    output::line(format_args!(
        "\nA plain call: {} {}",
        first.status, first.body
    ))?;
    let denied = Caller::new("another")
        .call(to, "GET", "/titles/1", "try-denied")
        .await;
    output::line(format_args!("With a wrong key: {}", denied.status))?;
    in_need(deployment, &caller, to).await?;
    carried(deployment, &caller, to).await?;
    crashing(deployment, &caller, to).await
}

/// A process of the plain service that takes few requests a second.
async fn in_need(deployment: &Deployment, caller: &Caller, to: SocketAddr) -> errors::Result<()> {
    let plain = &deployment.plain[0];
    plain.set_limit(Some(TAKES));
    let (timer, before, mut calls) = (Timer::new(), plain.ran(), 0);
    while timer.now() < NEED {
        let id = format!("try-need-{calls}");
        caller.call(to, "GET", "/titles/1", &id).await;
        calls += 1;
        timer.sleep(CALL_EVERY).await;
    }
    plain.set_limit(None);
    let got = plain.ran() - before;
    output::line(format_args!(
        "A process that takes {TAKES} requests a second got {got} of {calls} calls in {NEED:?}"
    ))?;
    if got * 2 < calls {
        return Ok(());
    }
    Err(Error::new("the process got more than it takes"))
}

/// A request that crashes each engine that runs it, sent again and again.
async fn crashing(deployment: &Deployment, caller: &Caller, to: SocketAddr) -> errors::Result<()> {
    let mut engines = Vec::new();
    for number in 3..3 + ENGINES {
        engines.push(deployment.add_engine(&format!("e-{number}")).await);
    }
    engines.push(deployment.engines[1].clone());
    let timer = Timer::new();
    let mut last = Got::default();
    for number in 0..REPEATS {
        let id = format!("try-crash-{number}");
        last = caller.crash(to, "POST", "/drafts/1", &id).await;
        timer.sleep(BEFORE_LEAVING).await;
        for engine in engines.iter().filter(|engine| engine.has_crashed()) {
            deployment.store.drop_row("servers", &engine.id());
        }
        timer.sleep(BEFORE_LEAVING).await;
    }
    let ended = engines.iter().filter(|engine| engine.has_crashed()).count();
    output::line(format_args!(
        "A request that crashes what runs it, sent {REPEATS} times: {ended} engines ended; the last \
         answer: {} {}",
        last.status, last.body
    ))?;
    if ended < ENGINES {
        return Ok(());
    }
    Err(Error::new("the request was not rejected"))
}

async fn until_served(caller: &Caller, to: SocketAddr) -> errors::Result<Got> {
    let timer = Timer::new();
    loop {
        let id = format!("try-{}", timer.now().as_millis());
        let got = caller.call(to, "GET", "/titles/1", &id).await;
        if got.status == 200 {
            return Ok(got);
        }
        if timer.now() > PATIENCE {
            return Err(Error::new(got.body).with_context("the first call"));
        }
        timer.sleep(POLL).await;
    }
}

/// A generation whose engine leaves in the middle.
async fn carried(deployment: &Deployment, caller: &Caller, to: SocketAddr) -> errors::Result<()> {
    let resp = caller
        .send(to, "POST", "/drafts/1", "try-carried", EVENTS)
        .await;
    let resp = resp.ok_or_else(|| Error::new("no answer to a generation"))?;
    Timer::new().sleep(BEFORE_LEAVING).await;
    deployment.engine_leaves(0);
    let got = read(resp).await;
    let whole = got.whole && got.body == all_events(EVENTS);
    let second = deployment.engines[1].began().len();
    output::line(format_args!(
        "A generation of {EVENTS} events whose engine left: all of them once and in order: {whole}; \
         begun anew elsewhere: {second}"
    ))?;
    if whole {
        return Ok(());
    }
    Err(Error::new("the generation did not come whole"))
}
