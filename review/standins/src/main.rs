//! Starts nine instances with a store and three replicas of a plain service, disrupts two instances, and checks
//! one rule from what the replicas and the clients see. Exits with 1 if the rule was broken, with 0 if it held,
//! and with 2 if the case could not run.

use std::{
    env,
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use net::Client;
use platform_standin::{
    caller::{read_answer, request},
    engine::Engine,
    plain::Plain,
    proxy::{Mode, Proxy},
    row_store::RowStore,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use smol::Timer;

/// The machines of the site jpsa-vod: names and zones.
const MACHINES: [(&str, &str); 9] = [
    ("front-amman-a-1", "amman-a"),
    ("front-amman-a-2", "amman-a"),
    ("front-amman-a-3", "amman-a"),
    ("front-amman-b-1", "amman-b"),
    ("front-amman-b-2", "amman-b"),
    ("front-amman-b-3", "amman-b"),
    ("front-amman-b-4", "amman-b"),
    ("front-amman-c-1", "amman-c"),
    ("front-amman-c-2", "amman-c"),
];
const ZONES: [&str; 3] = ["amman-a", "amman-b", "amman-c"];
/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `configuration_ms` of the site.
const CONFIGURATION: Duration = Duration::from_millis(2_000);
/// `timeout_ms` of the routes of plain calls.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after it in which such a request must be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long the machines are observed after the request without a bound.
const OBSERVATION: Duration = Duration::from_secs(12);
/// Time over which the processor time of the processes is measured, at the end of the observation.
const PROCESSOR_WINDOW: Duration = Duration::from_secs(5);
/// `heartbeat_ms` of the site.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Length of the partition of one machine from the store: at most 5.5 s in the site file.
const PARTITION: Duration = Duration::from_millis(5_000);
/// Length of the freeze of one machine: at most 3.5 s in the site file.
const FREEZE: Duration = Duration::from_millis(3_500);
/// Undisturbed time before the first disruption: more than `contact_ms`, 3 s.
const CALM: Duration = Duration::from_millis(5_000);
/// Pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
const CLIENTS_PER_MACHINE: usize = 2;
const EPISODES: usize = 3;

/// Which rule is checked, and the machines that are disrupted for it.
#[derive(Clone, Copy, PartialEq)]
enum Case {
    /// A replica leaves. The machines that read the list of replicas at the store are disrupted.
    Drain,
    /// A key is taken away. The machines that read the configuration at the store are disrupted.
    Config,
    /// A client sends one generation without a bound of its own on the output: the largest number.
    Unbounded,
}

impl Case {
    /// The machine that is partitioned from the store, and the one that freezes.
    fn disrupted(self) -> (&'static str, &'static str) {
        match self {
            Self::Drain => ("front-amman-a-2", "front-amman-b-2"),
            Self::Config => ("front-amman-b-2", "front-amman-c-2"),
            Self::Unbounded => ("", ""),
        }
    }
}

struct Machine {
    name: &'static str,
    callers: SocketAddr,
    ready: SocketAddr,
    link: Proxy,
    child: Child,
}

impl Machine {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // Fails only if the process has ended.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One request of a client.
struct Sent {
    id: String,
    machine: &'static str,
    key: usize,
    at: Instant,
    status: u16,
    took: Duration,
}

/// What was sent, answered and run, and what was done to the machines.
struct Record {
    start: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    fn line(&self, at: Instant, text: &str) {
        self.lines
            .lock()
            .expect("no panic")
            .push((at, text.to_owned()));
    }

    /// Records all requests, and where they ran.
    fn requests(&self, sent: &[Sent], replicas: &Replicas) {
        for request in sent {
            let key = match request.key {
                usize::MAX => "key-x".to_owned(),
                key => format!("key-{key}"),
            };
            let (id, machine, status) = (&request.id, request.machine, request.status);
            self.line(request.at, &format!("{id} is sent to {machine} with {key}"));
            let took = request.took.as_millis();
            let text = match status {
                0 => format!("{id} has no answer after {took} ms"),
                status => format!("{id} is answered {status} after {took} ms"),
            };
            self.line(request.at + request.took, &text);
        }
        for replica in replicas.all.lock().expect("no panic").iter() {
            for arrival in replica.arrivals().list() {
                let what = if arrival.ran { "runs" } else { "is rejected" };
                self.line(
                    arrival.at,
                    &format!("{} {what} at {}", arrival.id, replica.id()),
                );
            }
        }
    }

    /// Writes the lines in the order of their times.
    fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().expect("no panic");
        lines.sort_by_key(|(at, _)| *at);
        let mut out = io::BufWriter::new(File::create(path)?);
        for (at, text) in lines.iter() {
            let ms = at.saturating_duration_since(self.start).as_millis();
            writeln!(out, "{ms:>6} ms  {text}")?;
        }
        out.flush()
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let (Some(case), Some(dir)) = (args.get(1), args.get(2)) else {
        return ExitCode::from(2);
    };
    let case = match case.as_str() {
        "drain" => Case::Drain,
        "config" => Case::Config,
        "unbounded" => Case::Unbounded,
        _ => return ExitCode::from(2),
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    match smol::block_on(run(case, Path::new(dir), trouble)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

async fn run(case: Case, dir: &Path, trouble: bool) -> io::Result<usize> {
    workers::start(4);
    let program = PathBuf::from("target/release/celerystand");
    let temp = env::temp_dir().join(format!("celerystand-review-{}", std::process::id()));
    fs::create_dir_all(&temp)?;
    let record = Arc::new(Record {
        start: Instant::now(),
        lines: Mutex::default(),
    });
    let store = RowStore::new();
    let operator = Operator::new(store.clone(), case == Case::Unbounded);
    operator.configure();
    let replicas = Replicas::start(&store).await;
    if case == Case::Unbounded {
        start_engines(&store).await;
    }
    let mut machines = Vec::new();
    for (name, zone) in MACHINES {
        machines.push(start_machine(&program, &temp, &store, name, zone).await?);
    }
    for machine in &machines {
        await_ready(machine).await?;
    }
    record.line(Instant::now(), "all machines are ready; traffic starts");
    let machines = Arc::new(machines);
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..machines.len() * CLIENTS_PER_MACHINE {
        let client = send_requests(
            number,
            Arc::clone(&machines),
            Arc::clone(&operator),
            Arc::clone(&sent),
            Arc::clone(&stop),
            case,
        );
        clients.push(workers::spawn(client));
    }
    let mut changes = Vec::new();
    let mut hung = 0;
    if case == Case::Unbounded {
        Timer::after(CALM).await;
        hung = send_unbounded(&machines, trouble, &record).await;
    }
    let episodes = if case == Case::Unbounded { 0 } else { EPISODES };
    for episode in 0..episodes {
        Timer::after(CALM).await;
        let change = play(
            case, episode, &machines, &store, &operator, &replicas, trouble, &record,
        );
        changes.push(change.await);
    }
    stop.store(true, Ordering::Release);
    for client in clients {
        client.await;
    }
    let sent = sent.lock().expect("no panic");
    record.requests(&sent, &replicas);
    let broken = match case {
        Case::Drain => check_drain(&sent, &changes, &replicas, &record),
        Case::Config => check_config(&sent, &changes, &replicas, &record),
        Case::Unbounded => {
            let unanswered = check_unanswered(&sent, &record);
            if unanswered > 0 { hung } else { 0 }
        }
    };
    let what = if case == Case::Unbounded {
        "processes"
    } else {
        "requests"
    };
    record.line(
        Instant::now(),
        &format!(
            "{} requests sent, {broken} {what} break the rule",
            sent.len()
        ),
    );
    record.write(&dir.join("record.txt"))?;
    println!("{broken} {what} break the rule");
    drop(machines);
    let _ = fs::remove_dir_all(&temp);
    Ok(broken)
}

/// What was changed in an episode, and when the store had acknowledged it.
struct Change {
    acknowledged: Instant,
    replica: Arc<str>,
    key: usize,
    disrupted: Vec<&'static str>,
}

/// One episode: the disruptions, the change, and the recovery.
#[allow(clippy::too_many_arguments)]
async fn play(
    case: Case,
    episode: usize,
    machines: &[Machine],
    store: &RowStore,
    operator: &Operator,
    replicas: &Replicas,
    trouble: bool,
    record: &Record,
) -> Change {
    let (partitioned, frozen) = case.disrupted();
    let find = |name: &str| machines.iter().find(|machine| machine.name == name);
    let (partitioned, frozen) = (
        find(partitioned).expect("known"),
        find(frozen).expect("known"),
    );
    // Changes come all the time; the disruption begins right after one.
    match case {
        Case::Drain => replicas.beat(store),
        Case::Config | Case::Unbounded => operator.configure(),
    }
    Timer::after(Duration::from_millis(20)).await;
    let begin = Instant::now();
    if trouble {
        partitioned.link.set_mode(Mode::Cut);
        record.line(
            begin,
            &format!("{} is partitioned from the store", partitioned.name),
        );
        Timer::after(Duration::from_millis(50)).await;
        frozen.signal(Signal::STOP);
        record.line(Instant::now(), &format!("{} freezes", frozen.name));
        Timer::after(Duration::from_millis(50)).await;
    }
    let replica = replicas.id(episode);
    let key = episode;
    match case {
        Case::Drain => replicas.drain(store, episode),
        Case::Config | Case::Unbounded => operator.revoke(key),
    }
    let acknowledged = Instant::now();
    let what = match case {
        Case::Drain => format!("the store acknowledges that {replica} is draining"),
        Case::Config | Case::Unbounded => {
            format!("the store acknowledges a configuration without key-{key}")
        }
    };
    record.line(acknowledged, &what);
    sleep_until(begin + FREEZE).await;
    if trouble {
        frozen.signal(Signal::CONT);
        record.line(Instant::now(), &format!("{} goes on", frozen.name));
    }
    sleep_until(begin + PARTITION).await;
    if trouble {
        partitioned.link.set_mode(Mode::Pass);
        partitioned.link.reset_connections();
        record.line(
            Instant::now(),
            &format!("{} reaches the store again", partitioned.name),
        );
    }
    match case {
        Case::Drain => {
            replicas.replace(store, episode).await;
            record.line(
                Instant::now(),
                &format!("{replica} has left, and another replica is listed"),
            );
        }
        Case::Config | Case::Unbounded => operator.next_key(),
    }
    Change {
        acknowledged,
        replica,
        key,
        disrupted: vec![partitioned.name, frozen.name],
    }
}

async fn sleep_until(at: Instant) {
    Timer::at(at).await;
}

/// Sends one generation to one machine, and returns how many processes don't hand back the processor and answer
/// no readiness check at the end of the observation.
async fn send_unbounded(machines: &[Machine], trouble: bool, record: &Record) -> usize {
    let most = if trouble { u64::MAX } else { 944 };
    let mut req = request("POST", "/drafts/1", "unbounded", 1, "key-x");
    let counts = format!("3000,{most}").parse().expect("a header");
    req.headers_mut().insert("token-counts", counts);
    req.headers_mut()
        .insert("deadline-milliseconds", 39_000.into());
    let begin = Instant::now();
    record.line(
        begin,
        &format!(
            "a generation with Token-Counts 3000,{most} is sent to {}",
            machines[0].name
        ),
    );
    let to = machines[0].callers;
    let sending = workers::spawn(async move {
        Client::new()
            .send_fresh(to, req)
            .await
            .map(|resp| resp.status())
    });
    sleep_until(begin + OBSERVATION - PROCESSOR_WINDOW).await;
    let before: Vec<Option<f64>> = machines.iter().map(processor_seconds).collect();
    Timer::after(PROCESSOR_WINDOW).await;
    let mut hung = 0;
    for (machine, before) in machines.iter().zip(before) {
        let Some((before, after)) = before.zip(processor_seconds(machine)) else {
            record.line(Instant::now(), &format!("{} has ended", machine.name));
            continue;
        };
        let used = after - before;
        let ready = readiness(machine).await;
        let text = format!(
            "{}: {used:.2} s of processor time in {} s, readiness check: {ready}",
            machine.name,
            PROCESSOR_WINDOW.as_secs()
        );
        record.line(Instant::now(), &text);
        // A second of the window is left for what else the process has to wait for.
        if used > PROCESSOR_WINDOW.as_secs_f64() - 1.0 && ready == 0 {
            hung += 1;
        }
    }
    let answer = smol::future::or(async { Some(sending.await) }, async {
        Timer::after(Duration::from_millis(1)).await;
        None
    });
    record.line(
        Instant::now(),
        &format!("answer to the generation: {:?}", answer.await),
    );
    hung
}

/// The processor time that a machine's process has used, in seconds; none if it has ended.
fn processor_seconds(machine: &Machine) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", machine.child.id())).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    // The kernel counts in hundredths of a second.
    Some(ticks / 100.0)
}

/// The status of a machine's readiness check, 0 if there is no answer within a second.
async fn readiness(machine: &Machine) -> u16 {
    let req = request("GET", "/v1/readiness", "ready", 1, "none");
    let client = Client::new();
    let answer = async {
        let resp = client.send_fresh(machine.ready, req).await;
        resp.map_or(0, |resp| resp.status().as_u16())
    };
    let silent = async {
        Timer::after(Duration::from_secs(1)).await;
        0
    };
    smol::future::or(answer, silent).await
}

/// Requests that had no answer half a second after their route's timeout, if they are more than half of those that
/// had none at the timeout.
fn check_unanswered(sent: &[Sent], record: &Record) -> usize {
    let at_timeout = sent
        .iter()
        .filter(|request| request.took >= ROUTE_TIMEOUT)
        .count();
    let late: Vec<&Sent> = sent
        .iter()
        .filter(|request| request.took >= ROUTE_TIMEOUT + ANSWER_SLACK)
        .collect();
    let text = format!(
        "{} plain calls unanswered at their route's timeout, {} of them half a second later",
        at_timeout,
        late.len()
    );
    record.line(Instant::now(), &text);
    if late.len() * 2 > at_timeout {
        late.len()
    } else {
        0
    }
}

/// Starts the engines of the streaming service; they write their entries every `heartbeat_ms`.
async fn start_engines(store: &RowStore) {
    let mut engines = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let engine = Engine::new(&format!("e-{number}"));
        engine.start().await;
        engines.push((engine, zone));
    }
    let store = store.clone();
    let beats = async move {
        loop {
            for (engine, zone) in &engines {
                store.put(
                    "servers",
                    &engine.id(),
                    engine.listing("synopsis-llm", zone, "ready"),
                );
            }
            Timer::after(HEARTBEAT).await;
        }
    };
    workers::spawn(beats).detach();
}

/// Requests that reached a leaving replica later than `drain_ms` after the store's acknowledgement, through
/// machines without a disruption.
fn check_drain(sent: &[Sent], changes: &[Change], replicas: &Replicas, record: &Record) -> usize {
    let mut broken = 0;
    for change in changes {
        let arrivals = replicas.arrivals(&change.replica);
        for arrival in arrivals {
            let late = arrival.at.saturating_duration_since(change.acknowledged);
            let Some(request) = sent.iter().find(|request| request.id == *arrival.id) else {
                continue;
            };
            if late <= DRAIN || change.disrupted.contains(&request.machine) {
                continue;
            }
            broken += 1;
            let text = format!(
                "DRAIN: {} through {} reaches {} {} ms after the acknowledgement (ran: {}); answer {}",
                request.id,
                request.machine,
                change.replica,
                late.as_millis(),
                arrival.ran,
                request.status
            );
            record.line(arrival.at, &text);
        }
    }
    broken
}

/// Requests with a key that was taken away, sent later than `configuration_ms` after the store's
/// acknowledgement to machines without a disruption, that a replica ran.
fn check_config(sent: &[Sent], changes: &[Change], replicas: &Replicas, record: &Record) -> usize {
    let ran = replicas.all_run();
    let mut broken = 0;
    for change in changes {
        for request in sent.iter().filter(|request| request.key == change.key) {
            let late = request.at.saturating_duration_since(change.acknowledged);
            let is_disrupted = change.disrupted.contains(&request.machine);
            if late <= CONFIGURATION || is_disrupted || !ran.contains(&request.id) {
                continue;
            }
            broken += 1;
            let text = format!(
                "CONFIG: {} with key-{} sent to {} {} ms after the acknowledgement has run; answer {}",
                request.id,
                request.key,
                request.machine,
                late.as_millis(),
                request.status
            );
            record.line(request.at, &text);
        }
    }
    broken
}

/// Sends requests to one machine, one after the other, each over a new connection.
async fn send_requests(
    number: usize,
    machines: Arc<Vec<Machine>>,
    operator: Arc<Operator>,
    sent: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
    case: Case,
) {
    let machine = &machines[number % machines.len()];
    let client = Client::new();
    let mut count = 0_usize;
    while !stop.load(Ordering::Acquire) {
        count += 1;
        // Every other request has a key that is never taken away.
        let key = if count.is_multiple_of(2) {
            usize::MAX
        } else {
            operator.current_key()
        };
        let name = if key == usize::MAX {
            "key-x".to_owned()
        } else {
            format!("key-{key}")
        };
        let id = format!("r{number}-{count}");
        // Clients that may repeat a request abandon it when a machine doesn't read it; the others wait.
        let is_order = case == Case::Unbounded || count.is_multiple_of(4);
        let deadline = if case == Case::Unbounded { 1_500 } else { 600 };
        let (method, path) = if is_order {
            ("POST", "/grants/1")
        } else {
            ("GET", "/titles/1")
        };
        let mut req = request(method, path, &id, 1, &name);
        req.headers_mut().remove("token-counts");
        req.headers_mut()
            .insert("deadline-milliseconds", deadline.into());
        let at = Instant::now();
        let answer = async {
            match client.send_fresh(machine.callers, req).await {
                Ok(resp) => read_answer(resp).await.status,
                Err(_) => 0,
            }
        };
        let given_up = async {
            Timer::after(Duration::from_millis(deadline)).await;
            0
        };
        let status = smol::future::or(answer, given_up).await;
        let took = at.elapsed();
        sent.lock().expect("no panic").push(Sent {
            id,
            machine: machine.name,
            key,
            at,
            status,
            took,
        });
        Timer::after(REQUEST_PAUSE).await;
    }
}

/// Writes the configuration.
struct Operator {
    store: RowStore,
    /// Whether there is a streaming service beside the plain one.
    has_engines: bool,
    version: AtomicU64,
    revoked: AtomicU64,
}

impl Operator {
    fn new(store: RowStore, has_engines: bool) -> Arc<Self> {
        Arc::new(Self {
            store,
            has_engines,
            version: AtomicU64::new(1),
            revoked: AtomicU64::new(0),
        })
    }

    /// The key that is taken away in this episode.
    fn current_key(&self) -> usize {
        usize::try_from(self.revoked.load(Ordering::Acquire))
            .unwrap_or_default()
            .min(EPISODES - 1)
    }

    /// Takes a key away. Clients go on with it until the end of the episode.
    fn revoke(&self, key: usize) {
        self.write(key + 1);
    }

    fn configure(&self) {
        let first = usize::try_from(self.revoked.load(Ordering::Acquire)).unwrap_or_default();
        self.write(first);
    }

    /// Moves on to the next key at the end of an episode.
    fn next_key(&self) {
        self.revoked.fetch_add(1, Ordering::AcqRel);
    }

    fn write(&self, first_key: usize) {
        let version = self.version.fetch_add(3, Ordering::AcqRel) + 3;
        let mut keys: Vec<String> = (first_key..EPISODES)
            .map(|key| format!("key-{key}"))
            .collect();
        keys.push("key-x".to_owned());
        let route = |name: &str, kind: &str, attempts: u32| {
            json!({
                "name": name, "host": "a.example", "path_prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": "viewer-api",
                "max_attempts": attempts,
            })
        };
        let mut routes = vec![
            route("titles", "idempotent", 2),
            route("grants", "non_idempotent", 1),
        ];
        let mut services =
            vec![json!({"name": "viewer-api", "health_path": "/health", "connection_limit": 110})];
        if self.has_engines {
            routes.push(json!({
                "name": "drafts", "host": "a.example", "path_prefix": "/drafts/", "kind": "streaming",
                "timeout_ms": 39000, "target_latency_ms": 1800, "priority": 1, "service": "synopsis-llm",
                "max_attempts": 1, "target_gap_ms": 180, "sticky": true,
            }));
            services.push(json!({
                "name": "synopsis-llm", "health_path": "/health", "connection_limit": 282,
                "engine": {
                    "slots": 24, "kv_capacity": 34393, "token_kv_bytes": 327_680,
                    "bandwidth_mbps": 47000.0, "moves": true, "stride": 4,
                },
            }));
        }
        let config = json!({
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 5000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "archive", "api_keys": keys}],
        });
        self.store.put("op", "config", config.to_string());
    }
}

/// The replicas of the plain service. Each writes its entry every `heartbeat_ms`.
struct Replicas {
    current: Mutex<Vec<(Plain, &'static str, &'static str)>>,
    all: Mutex<Vec<Plain>>,
    sequence: AtomicU64,
}

impl Replicas {
    async fn start(store: &RowStore) -> Arc<Self> {
        let this = Arc::new(Self {
            current: Mutex::default(),
            all: Mutex::default(),
            sequence: AtomicU64::new(1),
        });
        for (number, zone) in ZONES.into_iter().enumerate() {
            this.add(&format!("i-{number}"), zone).await;
        }
        this.beat(store);
        let (replicas, store) = (Arc::clone(&this), store.clone());
        let beats = async move {
            loop {
                Timer::after(HEARTBEAT).await;
                replicas.beat(&store);
            }
        };
        workers::spawn(beats).detach();
        this
    }

    async fn add(&self, id: &str, zone: &'static str) {
        let replica = Plain::new(id);
        replica.start().await;
        self.all.lock().expect("no panic").push(replica.clone());
        self.current
            .lock()
            .expect("no panic")
            .push((replica, zone, "ready"));
    }

    /// Writes the entries of all replicas.
    fn beat(&self, store: &RowStore) {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel);
        for (replica, zone, state) in self.current.lock().expect("no panic").iter() {
            put_entry(store, replica, zone, state, sequence);
        }
    }

    fn id(&self, episode: usize) -> Arc<str> {
        let current = self.current.lock().expect("no panic");
        current[episode % current.len()].0.id()
    }

    /// A replica reports that it is draining.
    fn drain(&self, store: &RowStore, episode: usize) {
        let mut current = self.current.lock().expect("no panic");
        let index = episode % current.len();
        let entry = &mut current[index];
        entry.2 = "draining";
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel);
        put_entry(store, &entry.0, entry.1, entry.2, sequence);
    }

    /// The draining replica has left, and another one with a new id takes its place.
    async fn replace(&self, store: &RowStore, episode: usize) {
        let (old, zone) = {
            let current = self.current.lock().expect("no panic");
            let index = episode % current.len();
            (current[index].0.clone(), current[index].1)
        };
        let replica = Plain::new(&format!("i-{}", 10 + episode));
        replica.start().await;
        self.all.lock().expect("no panic").push(replica.clone());
        {
            let mut current = self.current.lock().expect("no panic");
            let index = episode % current.len();
            current[index] = (replica, zone, "ready");
        }
        store.delete_row("servers", &old.id());
        old.stop();
        self.beat(store);
    }

    fn arrivals(&self, id: &str) -> Vec<platform_standin::arrivals::Arrival> {
        let all = self.all.lock().expect("no panic");
        let replica = all.iter().find(|replica| *replica.id() == *id);
        replica
            .map(|replica| replica.arrivals().list())
            .unwrap_or_default()
    }

    /// The ids of all requests that replicas have run.
    fn all_run(&self) -> std::collections::HashSet<String> {
        let all = self.all.lock().expect("no panic");
        let arrivals = all.iter().flat_map(|replica| replica.arrivals().list());
        arrivals
            .filter(|it| it.ran)
            .map(|it| it.id.to_string())
            .collect()
    }
}

fn put_entry(store: &RowStore, replica: &Plain, zone: &str, state: &str, sequence: u64) {
    let listing = replica.listing("viewer-api", zone, state);
    let mut listing: Value = serde_json::from_str(&listing).expect("a listing");
    listing["sequence"] = sequence.into();
    store.put("servers", &replica.id(), listing.to_string());
}

fn free_addr() -> io::Result<SocketAddr> {
    // Each listener is dropped at once; the ports of one block are not given to outgoing connections.
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..2_000 {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 64;
        let port = u16::try_from(20_000 + offset % 10_000).unwrap_or(20_000);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no port is free"))
}

async fn start_machine(
    program: &Path,
    temp: &Path,
    store: &RowStore,
    name: &'static str,
    zone: &str,
) -> io::Result<Machine> {
    let endpoint = platform_standin::listen(Arc::new(store.endpoint())).await;
    let link = Proxy::start(endpoint).await;
    let (callers, ready, control, peers) = (free_addr()?, free_addr()?, free_addr()?, free_addr()?);
    let settings = format!(
        "node = {name:?}\nrole = \"instance\"\nmachine_class = \"front\"\nserves = [\"front\", \"control\"]\n\
         ip = \"127.0.0.1\"\nzone = {zone:?}\nregion = \"amman\"\n\
         internal_ports = [{port}, {port}]\nseeds = []\nbootstrap = true\ndiscovery = \"platform\"\n\
         entry = \"virtual_ip\"\nheartbeat_ms = 1200\n\
         [zones]\namman-a = \"amman\"\namman-b = \"amman\"\namman-c = \"amman\"\n\
         [listen]\nfront = \"{callers}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nfile_descriptors = 4100\n\
         bandwidth_mbps = 1000.0\ndisk_mb = 0\n\
         [tolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\ncontact_ms = 3000\nacknowledge_ms = 4000\n\
         catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfiguration_ms = 2000\n\
         downgrade_slack_ms = 250\nstretch_maximum_ms = 5000\nstrict_revocation = true\nrevoke_ms = 5000\n\
         retry_budget_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\ncold_overage = 1.5\n\
         cold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\npass_ms = 120\nretry_after_s = 4.9\n\
         [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
         transaction_ms = 5.0\npartition_writes_s = 200\nrow_bytes = 65536\nspread = false\nhistory_s = 20\n",
        port = peers.port(),
        store = link.addr,
    );
    let path = temp.join(format!("{name}.toml"));
    fs::write(&path, settings)?;
    let log = File::create(temp.join(format!("{name}.log")))?;
    let child = Command::new(program)
        .arg("platform")
        .env_clear()
        .env("PATH", env::var_os("PATH").unwrap_or_default())
        .env("CELERYSTAND_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Machine {
        name,
        callers,
        ready,
        link,
        child,
    })
}

/// Waits until a machine's readiness check answers 200.
async fn await_ready(machine: &Machine) -> io::Result<()> {
    let client = Client::new();
    for _ in 0..200 {
        let req = request("GET", "/v1/readiness", "ready", 1, "none");
        if let Ok(resp) = client.send_fresh(machine.ready, req).await
            && resp.status().as_u16() == 200
        {
            return Ok(());
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    Err(io::Error::other(format!(
        "{} did not become ready",
        machine.name
    )))
}
