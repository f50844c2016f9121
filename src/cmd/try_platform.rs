//! `celerystand try --platform`: a demonstration of one instance on stand-ins of the users'
//! platform.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use bench::process::free_addr;
use errors::{Context, Error};
use front::{Adapters, Config, Signals};
use net::Client;
use platform::{EngineClient, HttpAdapter, RowStore};
use platform_standin::{
    CRASHING_PART,
    brittle::Limits,
    caller::{Caller, ReceivedAnswer, all_events, read_answer},
    deployment::{Deployment, settings},
    plain::Fault,
    proxy::{Mode, Proxy},
    row_store::Rewrite,
};
use timer::Timer;

use crate::{failure::Outcome, output};

/// Entries of the section `bounds` in the instance's settings.
const BOUNDS: &str = "revoke_ms = 2500\ngrace_s = 6";
/// Key of the demonstration's one workspace.
const KEY: &str = "key-1";
/// Timeout for the instance to serve its first call.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two attempts at the first call.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Number of events of the migrated generation, which takes about two seconds.
const EVENTS: u32 = 130;
/// Limit that a process of the plain service reports, in requests per second.
const RATE_LIMIT: f64 = 4.0;
/// How long it reports this limit.
const OVERLOAD_DURATION: Duration = Duration::from_secs(2);
/// Time between two calls in the meantime.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause that a process asks for, in seconds.
const PAUSE_S: &str = "2.5";
/// How long calls are made while a process asks for a pause, or says that it leaves.
const SIGNAL_DURATION: Duration = Duration::from_secs(1);
/// The room of processes that fall over if they reject too much.
const BRITTLE_LIMITS: Limits = Limits {
    room: 6,
    work: Duration::from_millis(30),
    rejections_per_s: 2,
};
/// Calls one after the other before them.
const FIRST_CALLS: usize = 8;
/// Callers at the same time, more than there is room for.
const BRITTLE_CALLERS: usize = 30;
/// How long they send calls.
const BRITTLE_DURATION: Duration = Duration::from_secs(3);
/// How often the processes may fall: twice, and a tenth of their number.
const MAX_FALLS: usize = 2;
/// The workspace that sends too much, and its key.
const FLOODING: &str = "flooding";
/// See [`FLOODING`].
const FLOODING_KEY: &str = "key-flooding";
/// Its callers; the two engines have 24 slots each.
const FLOODING_CALLERS: usize = 120;
/// Events of each of its generations: slots come free within the time to the first event that callers want.
const FLOODING_EVENTS: u32 = 16;
/// Pause of each of its callers between two generations, also after a refusal.
const FLOODING_INTERVAL: Duration = Duration::from_millis(100);
/// Pause of the other workspace between two generations.
const LIGHT_INTERVAL: Duration = Duration::from_millis(150);
/// A prompt without shared parts; the bodies of the requests differ, as those of real callers do.
const OWN_PART: &str = "c0:9";
/// How long both send.
const FLOOD_DURATION: Duration = Duration::from_secs(4);
/// Time within which a changed configuration must be in force.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the order of a rollout to its deadline.
const ROLLOUT_DURATION: Duration = Duration::from_secs(3);
/// Number of engines that are added for a request that crashes engines.
const EXTRA_ENGINES: usize = 5;
/// How often this request is sent.
const CRASH_ATTEMPTS: usize = 6;
/// Events of an answer to a request with parts in its prompt.
const PART_EVENTS: u32 = 20;
/// Delay until an engine is listed as leaving, or one that has crashed is removed from the list.
const LEAVE_DELAY: Duration = Duration::from_millis(300);

/// Runs the demonstration and stays up, or ends with `once`.
///
/// # Errors
/// The instance did not start, or a step of the demonstration failed.
pub fn run(once: bool) -> Outcome {
    let deployment = smol::block_on(Deployment::start());
    let store = platform_standin::listen(Arc::new(deployment.store.clone()));
    let cfg = config("entry-1", smol::block_on(store))?;
    output::line("One instance, two engines, a plain service and a store, in one process.")?;
    output::line(format_args!("  callers    http://{}", cfg.callers))?;
    let callers = cfg.callers;
    let instance = start(cfg);
    smol::block_on(demonstrate(&deployment, callers))?;
    if once {
        return Ok(());
    }
    // Ctrl-C shuts the instance down, which ends the process.
    match instance.join() {
        Ok(ended) => Ok(ended?),
        Err(_) => Err(Error::new("the thread of the instance panicked").into()),
    }
}

/// Starts an instance in a thread of its own.
fn start(cfg: Config) -> JoinHandle<errors::Result<()>> {
    let reloaded = cfg.clone();
    let memory = front::memory_budget(&cfg);
    let client = Client::new()
        .with_connect_timeout(front::reaching::paths::CONNECT_TIMEOUT)
        .with_resets();
    let adapters = Adapters {
        protocol: Arc::new(HttpAdapter::new()),
        engines: Arc::new(EngineClient::new(client.clone())),
        client,
        store: Arc::new(RowStore::new(Client::new(), cfg.store).with_memory(memory.clone())),
        reload: Box::new(move || Ok(reloaded.clone())),
        memory,
    };
    thread::spawn(move || front::serve(cfg, adapters, Signals::watch()?))
}

/// Settings on free ports, as the platform would write them. The instance reads the store itself: the second
/// one knows the targets under the addresses of its own links.
fn config(name: &str, store: SocketAddr) -> errors::Result<Config> {
    let port = || free_addr().context("finding free ports");
    let addrs = [port()?, port()?, port()?, port()?];
    let text = settings(name, 0, addrs, store, &[], BOUNDS);
    let mut cfg = platform::parse(&text).context("settings")?;
    cfg.decisions.features.shared_reads = false;
    // Callers and stand-ins run in this process too, so its timers tell nothing about the instance.
    cfg.decisions.features.intake_limit = false;
    Ok(cfg)
}

async fn demonstrate(deployment: &Deployment, to: SocketAddr) -> errors::Result<()> {
    let caller = Caller::new(KEY);
    let first = wait_until_served(&caller, to).await?;
    output::line(format_args!(
        "\nA plain call: {} {}",
        first.status, first.body
    ))?;
    let denied = Caller::new("another")
        .call(to, "GET", "/titles/1", "try-denied")
        .await;
    output::line(format_args!("With a wrong key: {}", denied.status))?;
    rate_limited_target(deployment, &caller, to).await?;
    leaving_target(deployment, &caller, to).await?;
    shedding_target(deployment, &caller, to).await?;
    brittle_targets(deployment, to).await?;
    light_beside_flooding(deployment, to).await?;
    cut_off_instance(deployment, &caller).await?;
    rollout(deployment, &caller, to, "v2", Fault::ServerError).await?;
    rollout(deployment, &caller, to, "v3", Fault::None).await?;
    migrated_generation(deployment, &caller, to).await?;
    restored_store(deployment, &caller, to).await?;
    crashing_request(deployment, &caller, to).await?;
    crashing_part(deployment, &caller, to).await
}

/// Shows that a store that comes back from an older copy brings back no revoked key, and that a later
/// change is in force although the store gives its version out a second time.
async fn restored_store(
    deployment: &Deployment,
    caller: &Caller,
    to: SocketAddr,
) -> errors::Result<()> {
    let other = Caller::new("key-2");
    deployment.configure(&[KEY, "key-2"]);
    wait_for_status(&other, to, 200).await?;
    let copy = deployment.store.copy();
    deployment.configure(&[KEY]);
    wait_for_status(&other, to, 401).await?;
    deployment.store.restore(&copy, &Rewrite::Nothing);
    Timer::new().sleep(SIGNAL_DURATION).await;
    let revoked = other
        .call(to, "GET", "/titles/1", "try-revoked")
        .await
        .status;
    deployment.configure(&[KEY, "key-3"]);
    let third = Caller::new("key-3");
    let took = wait_for_status(&third, to, 200).await?;
    let old = caller.call(to, "GET", "/titles/1", "try-old").await.status;
    output::line(format_args!(
        "After the store came back from a copy: a key revoked since: {revoked}; a key added later: \
         200 after {took:?}; the other: {old}"
    ))?;
    if revoked == 401 && old == 200 {
        return Ok(());
    }
    Err(Error::new(
        "the store's copy brought back an old configuration",
    ))
}

/// Repeats a plain call until it is answered with this status; returns the time until then.
async fn wait_for_status(caller: &Caller, to: SocketAddr, status: u16) -> errors::Result<Duration> {
    let timer = Timer::new();
    while timer.now() < CHANGE_TIMEOUT {
        let id = format!("try-wait-{status}-{}", timer.now().as_millis());
        if caller.call(to, "GET", "/titles/1", &id).await.status == status {
            return Ok(timer.now());
        }
        timer.sleep(CALL_INTERVAL).await;
    }
    Err(Error::new(format!("no call was answered {status} in time")))
}

/// Shows that a process of the plain service that reports a limit gets few of the calls.
async fn rate_limited_target(
    deployment: &Deployment,
    caller: &Caller,
    to: SocketAddr,
) -> errors::Result<()> {
    let plain = &deployment.plain[0];
    plain.set_limit(Some(RATE_LIMIT));
    let (timer, before, mut calls) = (Timer::new(), plain.run_count(), 0);
    while timer.now() < OVERLOAD_DURATION {
        let id = format!("try-need-{calls}");
        caller.call(to, "GET", "/titles/1", &id).await;
        calls += 1;
        timer.sleep(CALL_INTERVAL).await;
    }
    plain.set_limit(None);
    let got = plain.run_count() - before;
    output::line(format_args!(
        "A process that takes {RATE_LIMIT} requests a second got {got} of {calls} calls in \
         {OVERLOAD_DURATION:?}"
    ))?;
    if got * 2 < calls {
        return Ok(());
    }
    Err(Error::new(
        "the process got more calls than its limit allows",
    ))
}

/// Shows that a process that rejects a request and asks for a pause gets nothing until its end.
async fn shedding_target(
    deployment: &Deployment,
    caller: &Caller,
    to: SocketAddr,
) -> errors::Result<()> {
    let plain = &deployment.plain[0];
    let arrivals = || plain.arrivals().list().len();
    plain.signals().shed(Some(PAUSE_S));
    let (timer, before, mut calls) = (Timer::new(), arrivals(), 0);
    while timer.now() < SIGNAL_DURATION {
        let id = format!("try-pause-{calls}");
        caller.call(to, "GET", "/titles/1", &id).await;
        calls += 1;
        timer.sleep(CALL_INTERVAL).await;
    }
    let got = arrivals() - before;
    plain.signals().shed(None);
    output::line(format_args!(
        "A process that rejects calls and asks for {PAUSE_S} s without any got {got} of {calls} \
         calls in {SIGNAL_DURATION:?}"
    ))?;
    if got <= 1 {
        return Ok(());
    }
    Err(Error::new("the process got calls during its pause"))
}

/// Shows that a process that says in its answers that it leaves gets no further call, though the
/// store lists it as in service.
async fn leaving_target(
    deployment: &Deployment,
    caller: &Caller,
    to: SocketAddr,
) -> errors::Result<()> {
    let plain = &deployment.plain[1];
    plain.signals().set_leaving();
    let (timer, before, mut calls) = (Timer::new(), plain.run_count(), 0);
    while timer.now() < SIGNAL_DURATION {
        let id = format!("try-leaving-{calls}");
        caller.call(to, "GET", "/titles/1", &id).await;
        calls += 1;
        timer.sleep(CALL_INTERVAL).await;
    }
    let got = plain.run_count() - before;
    plain.start_again();
    let listing = plain.listing("titles", "dc-1", "ready");
    deployment.store.put("servers", &plain.id(), listing);
    output::line(format_args!(
        "A process that says in its answers that it leaves got {got} of {calls} calls in \
         {SIGNAL_DURATION:?}"
    ))?;
    if got <= 1 {
        return Ok(());
    }
    Err(Error::new("the process got calls after its notice"))
}

/// Shows that targets that fall over if they reject too much hardly ever do, under more calls than they have
/// room for.
async fn brittle_targets(deployment: &Deployment, to: SocketAddr) -> errors::Result<()> {
    for plain in &deployment.plain {
        plain.brittle().set_limits(Some(BRITTLE_LIMITS));
    }
    // Before a first answer nobody knows.
    for number in 0..FIRST_CALLS {
        let id = format!("try-brittle-first-{number}");
        Caller::new(KEY).call(to, "GET", "/titles/1", &id).await;
    }
    let calls = (0..BRITTLE_CALLERS).map(|number| smol::spawn(call_for_a_while(to, number)));
    let calls: Vec<_> = calls.collect();
    let (mut answered, mut asked) = (0, 0);
    for call in calls {
        let of_caller = call.await;
        answered += of_caller.0;
        asked += of_caller.1;
    }
    let falls = deployment
        .plain
        .iter()
        .map(|plain| plain.brittle().falls().len());
    let falls: usize = falls.sum();
    for plain in &deployment.plain {
        plain.brittle().set_limits(None);
    }
    output::line(format_args!(
        "Two processes that fall over at {} rejections a second answered {answered} of {asked} calls \
         of {BRITTLE_CALLERS} callers in {BRITTLE_DURATION:?}, and fell {falls} times",
        BRITTLE_LIMITS.rejections_per_s + 1
    ))?;
    if falls <= MAX_FALLS {
        return Ok(());
    }
    Err(Error::new("brittle processes fell over again and again"))
}

/// Shows that a workspace with one caller is served beside one that sends far more generations than there is
/// room for.
async fn light_beside_flooding(deployment: &Deployment, to: SocketAddr) -> errors::Result<()> {
    let workspaces = [("editors", KEY), (FLOODING, FLOODING_KEY)];
    deployment.configure_workspaces(&workspaces);
    wait_for_status(&Caller::new(FLOODING_KEY), to, 200).await?;
    let flood = (0..FLOODING_CALLERS).map(|number| {
        let name = format!("try-flood-{number}");
        smol::spawn(generate_for_a_while(
            to,
            FLOODING_KEY,
            name,
            FLOODING_EVENTS,
            FLOODING_INTERVAL,
        ))
    });
    let flood: Vec<_> = flood.collect();
    Timer::new().sleep(LEAVE_DELAY).await;
    let light =
        generate_for_a_while(to, KEY, "try-light".into(), PART_EVENTS, LIGHT_INTERVAL).await;
    let mut flooding = (0, 0);
    for caller in flood {
        let (served, asked) = caller.await;
        flooding = (flooding.0 + served, flooding.1 + asked);
    }
    deployment.configure(&[KEY]);
    output::line(format_args!(
        "A workspace with one caller beside one with {FLOODING_CALLERS}: served {} of {}; the other {} of {}",
        light.0, light.1, flooding.0, flooding.1
    ))?;
    if light.1 > 0 && light.0 * 20 >= light.1 * 19 {
        return Ok(());
    }
    Err(Error::new("the light workspace was not served"))
}

/// Asks for generations one after the other, with pauses; returns how many were complete, and all.
async fn generate_for_a_while(
    to: SocketAddr,
    key: &str,
    name: String,
    events: u32,
    pause: Duration,
) -> (usize, usize) {
    let timer = Timer::new();
    let (mut served, mut asked) = (0, 0);
    while timer.now() < FLOOD_DURATION {
        // Each closes its connection, which the next one would not use again.
        let caller = Caller::new(key);
        let id = format!("{name}-{asked}");
        let got = caller.generate_with_prompt(to, &id, events, OWN_PART).await;
        asked += 1;
        served += usize::from(got.status == 200 && got.is_complete);
        timer.sleep(pause).await;
    }
    (served, asked)
}

/// Sends calls one after the other; returns how many were answered, and all.
async fn call_for_a_while(to: SocketAddr, number: usize) -> (usize, usize) {
    let (timer, caller) = (Timer::new(), Caller::new(KEY));
    let (mut answered, mut asked) = (0, 0);
    while timer.now() < BRITTLE_DURATION {
        let id = format!("try-brittle-{number}-{asked}");
        let got = caller.call(to, "GET", "/titles/1", &id).await;
        asked += 1;
        answered += usize::from(got.status == 200);
        timer.sleep(CALL_INTERVAL).await;
    }
    (answered, asked)
}

/// Shows that the callers of an instance that reaches no target are served through the other one.
async fn cut_off_instance(deployment: &Deployment, caller: &Caller) -> errors::Result<()> {
    let endpoint = deployment.store.endpoint();
    let mut links = Vec::new();
    for plain in &deployment.plain {
        let addr = plain
            .addr()
            .ok_or_else(|| Error::new("a process does not listen"))?;
        let link = Proxy::start_at(free_addr().context("finding free ports")?, addr).await;
        endpoint.set_address(&plain.id(), link.addr);
        links.push(link);
    }
    let store = platform_standin::listen(Arc::new(endpoint)).await;
    let cfg = config("entry-2", store)?;
    let to = cfg.callers;
    start(cfg);
    wait_until_served(caller, to).await?;
    for link in &links {
        link.set_mode(Mode::RefuseNew);
    }
    Timer::new().sleep(LEAVE_DELAY).await;
    links.iter().for_each(Proxy::reset_connections);
    let (timer, mut answered, mut calls) = (Timer::new(), 0, 0);
    while timer.now() < SIGNAL_DURATION {
        let id = format!("try-cut-{calls}");
        let got = caller.call(to, "GET", "/titles/1", &id).await;
        calls += 1;
        answered += usize::from(got.status == 200);
        timer.sleep(CALL_INTERVAL).await;
    }
    for link in &links {
        link.set_mode(Mode::Pass);
    }
    output::line(format_args!(
        "A second instance, whose links to the processes refuse connections, answered {answered} of \
         {calls} calls through the first one"
    ))?;
    if answered * 3 >= calls * 2 {
        return Ok(());
    }
    Err(Error::new(
        "callers of the instance that is cut off were not served",
    ))
}

/// Shows that a version whose answers are failures is rolled back, and that a good one takes over.
async fn rollout(
    deployment: &Deployment,
    caller: &Caller,
    to: SocketAddr,
    version: &str,
    fault: Fault,
) -> errors::Result<()> {
    let is_good = fault == Fault::None;
    deployment.order_rollout("titles", version, ROLLOUT_DURATION.as_secs_f64());
    let id = format!("p-{version}");
    let process = deployment.add_plain(&id, version, fault).await;
    let (timer, mut calls) = (Timer::new(), 0);
    let state = loop {
        let id = format!("try-{version}-{calls}");
        caller.call(to, "GET", "/titles/1", &id).await;
        calls += 1;
        timer.sleep(CALL_INTERVAL).await;
        match deployment.rollout_status("titles") {
            Some((state, to)) if to == version && state != "running" => break state,
            _ if timer.now() > ROLLOUT_DURATION * 2 => {
                return Err(Error::new("the rollout did not end"));
            }
            _ => {}
        }
    };
    let took = timer.now().as_secs_f64();
    output::line(format_args!(
        "Version {version}, whose answers are {}: {state} after {took:.1} s; it got {} of {calls} calls",
        if is_good { "good" } else { "failures" },
        process.run_count(),
    ))?;
    let expected = if is_good { "succeeded" } else { "rolled_back" };
    if state == expected {
        return Ok(());
    }
    Err(Error::new(format!("the rollout has {state}")))
}

/// Shows that a request that crashes each engine that runs it is rejected before it has crashed all
/// engines.
async fn crashing_request(
    deployment: &Deployment,
    caller: &Caller,
    to: SocketAddr,
) -> errors::Result<()> {
    let mut engines = Vec::new();
    for number in 3..3 + EXTRA_ENGINES {
        engines.push(deployment.add_engine(&format!("e-{number}")).await);
    }
    engines.push(deployment.engines[1].clone());
    let timer = Timer::new();
    let mut last = ReceivedAnswer::default();
    for number in 0..CRASH_ATTEMPTS {
        let id = format!("try-crash-{number}");
        last = caller.crash(to, "POST", "/drafts/1", &id).await;
        timer.sleep(LEAVE_DELAY).await;
        for engine in engines.iter().filter(|engine| engine.has_crashed()) {
            deployment.store.delete_row("servers", &engine.id());
        }
        timer.sleep(LEAVE_DELAY).await;
    }
    let crashed = engines.iter().filter(|engine| engine.has_crashed()).count();
    output::line(format_args!(
        "A request that crashes what runs it, sent {CRASH_ATTEMPTS} times: {crashed} engines \
         ended; the last answer: {} {}",
        last.status, last.body
    ))?;
    if crashed < EXTRA_ENGINES {
        return Ok(());
    }
    Err(Error::new("the request was not rejected"))
}

/// Shows that requests which differ but for one part of their prompts, which crashes each engine that begins
/// to answer it, are rejected, and that sound ones with the same first part are served.
async fn crashing_part(
    deployment: &Deployment,
    caller: &Caller,
    to: SocketAddr,
) -> errors::Result<()> {
    let mut engines = Vec::new();
    for number in 0..EXTRA_ENGINES {
        engines.push(deployment.add_engine(&format!("e-part-{number}")).await);
    }
    let (timer, mut served) = (Timer::new(), 0);
    let mut last = ReceivedAnswer::default();
    for number in 0..CRASH_ATTEMPTS {
        let prompt = format!("aa01:40,{CRASHING_PART}:30,c{number}:9");
        let id = format!("try-part-{number}");
        last = caller
            .generate_with_prompt(to, &id, PART_EVENTS, &prompt)
            .await;
        timer.sleep(LEAVE_DELAY).await;
        for engine in engines.iter().filter(|engine| engine.has_crashed()) {
            deployment.store.delete_row("servers", &engine.id());
        }
        timer.sleep(LEAVE_DELAY).await;
        let prompt = format!("aa01:40,dd{number}:30,d{number}:9");
        let id = format!("try-sound-{number}");
        let got = caller
            .generate_with_prompt(to, &id, PART_EVENTS, &prompt)
            .await;
        served += usize::from(got.status == 200 && got.is_complete);
    }
    let crashed = engines.iter().filter(|engine| engine.has_crashed()).count();
    output::line(format_args!(
        "{CRASH_ATTEMPTS} requests with one part in their prompts that crashes what answers it: {crashed} \
         engines ended; the last answer: {} {}; sound ones with the same first part served: {served}",
        last.status, last.body
    ))?;
    if crashed < EXTRA_ENGINES && served == CRASH_ATTEMPTS {
        return Ok(());
    }
    Err(Error::new(
        "the part was not rejected, or sound requests were",
    ))
}

/// Repeats a plain call until it is served.
async fn wait_until_served(caller: &Caller, to: SocketAddr) -> errors::Result<ReceivedAnswer> {
    let timer = Timer::new();
    loop {
        let id = format!("try-{}", timer.now().as_millis());
        let got = caller.call(to, "GET", "/titles/1", &id).await;
        if got.status == 200 {
            return Ok(got);
        }
        if timer.now() > READY_TIMEOUT {
            return Err(Error::new(got.body).with_context("the first call"));
        }
        timer.sleep(RETRY_INTERVAL).await;
    }
}

/// Shows that a generation whose engine leaves while it runs is migrated without losing an event.
async fn migrated_generation(
    deployment: &Deployment,
    caller: &Caller,
    to: SocketAddr,
) -> errors::Result<()> {
    let resp = caller
        .send(to, "POST", "/drafts/1", "try-carried", EVENTS)
        .await;
    let resp = resp.ok_or_else(|| Error::new("no answer to a generation"))?;
    Timer::new().sleep(LEAVE_DELAY).await;
    deployment.set_engine_leaving(0);
    let got = read_answer(resp).await;
    let is_complete = got.is_complete && got.body == all_events(EVENTS);
    let started = deployment.engines[1].started();
    let second = started.iter().filter(|id| *id == "try-carried").count();
    output::line(format_args!(
        "A generation of {EVENTS} events whose engine left: all of them once and in order: \
         {is_complete}; begun anew elsewhere: {second}"
    ))?;
    if is_complete {
        return Ok(());
    }
    Err(Error::new("events of the migrated generation are missing"))
}
