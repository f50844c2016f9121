//! Starts instances against a stand-in of the users' platform.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use bench::process::{free_addr, peak_memory_kb};
use derive_more::Deref;
use http_body_util::Full;
use hyper::Request;
use net::Client;
use platform_standin::{
    deployment::{Deployment, MEMORY_MB, settings as settings_of},
    row_store::RowStore,
};
use serde_json::Value;
use timer::Timer;

pub use platform_standin::{
    caller::{Caller, ReceivedAnswer, all_events, read_answer},
    proxy::{Extra, Flood, Mode, Proxy},
};

/// How long a condition or a log line is awaited.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable that names a folder in which the output of all instances is kept.
const KEPT_LOGS: &str = "CELERYSTAND_TEST_LOGS";
/// Time for links to take on a new mode.
pub const MODE_TIME: Duration = Duration::from_millis(60);
/// Time after the start of a cut from which on requests go through other instances.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests that bring an instance to know that connections to its targets don't open.
const FIRST_REQUESTS: usize = 6;
/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A platform with two engines and two plain processes in two data centres.
#[derive(Deref)]
pub struct Platform(Deployment);

impl Platform {
    /// Starts the stand-ins with a first configuration.
    pub async fn start() -> Self {
        Self(Deployment::start().await)
    }

    /// How often a request ran at any target, without what was resumed.
    pub fn runs(&self, id: &str) -> usize {
        let plain = self.plain.iter().map(|process| process.arrivals());
        let engines = self.engines.iter().map(|engine| engine.arrivals());
        let arrivals = plain.chain(engines).flat_map(|arrivals| arrivals.list());
        arrivals
            .filter(|it| it.ran && !it.resumed && *it.id == *id)
            .count()
    }

    /// Checks that a request ran once at most, and not at all if its caller was promised so.
    ///
    /// # Errors
    /// Returns what ran, and what the caller was told.
    pub fn check_truthful(&self, id: &str, got: &ReceivedAnswer) -> Result<(), String> {
        let runs = self.runs(id);
        let promised = matches!(got.status, 408 | 421 | 429 | 503) || got.body.contains("not-run");
        if runs > 1 || (promised && runs > 0) {
            let (status, body) = (got.status, &got.body);
            return Err(format!("{id}: ran {runs} times, answered {status} {body}"));
        }
        Ok(())
    }

    /// Starts an instance and waits until it is ready.
    pub async fn instance(&self, name: &str) -> Instance {
        let endpoint = self.store.endpoint();
        let addr = platform_standin::listen(Arc::new(endpoint.clone())).await;
        let instance = Instance::start(endpoint, addr, name);
        eventually("the instance is ready", || {
            let ready = instance.readiness;
            async move { status(ready, "/v1/readiness").await == Some(200) }
        })
        .await;
        instance
    }

    /// Starts an instance that reaches each target over a link of its own, and waits until it is ready.
    pub async fn instance_with_links(&self, name: &str) -> (Instance, Links) {
        let endpoint = self.store.endpoint();
        let mut links = Links::default();
        for plain in &self.plain {
            let link = start_link(plain.addr()).await;
            endpoint.set_address(&plain.id(), link.addr);
            links.plain.push(link);
        }
        for engine in &self.engines {
            let link = start_link(engine.addr()).await;
            endpoint.set_address(&engine.id(), link.addr);
            engine.add_alias(link.addr);
            for other in &self.engines {
                other.add_copy_destination(link.addr, engine);
            }
            links.engines.push(link);
        }
        (self.reader(endpoint, name).await, links)
    }

    /// Starts an instance that reaches the store over a link of its own, and waits until it is ready.
    pub async fn instance_with_store_link(&self, name: &str) -> (Instance, Proxy) {
        let endpoint = self.store.endpoint();
        let addr = platform_standin::listen(Arc::new(endpoint.clone())).await;
        let link = start_link(Some(addr)).await;
        let instance = Instance::start(endpoint, link.addr, name);
        eventually("the instance is ready", || {
            let ready = instance.readiness;
            async move { status(ready, "/v1/readiness").await == Some(200) }
        })
        .await;
        (instance, link)
    }

    /// Starts an instance that reads the store itself, and waits until it is ready. Beside instances
    /// with links it would hear the addresses of their links otherwise.
    pub async fn instance_without_links(&self, name: &str) -> Instance {
        self.reader(self.store.endpoint(), name).await
    }

    async fn reader(&self, endpoint: RowStore, name: &str) -> Instance {
        let addr = platform_standin::listen(Arc::new(endpoint.clone())).await;
        let instance = Instance::start_as_reader(endpoint, addr, name);
        eventually("the instance is ready", || {
            let ready = instance.readiness;
            async move { status(ready, "/v1/readiness").await == Some(200) }
        })
        .await;
        instance
    }

    /// Starts an instance that the store refuses, and waits until its readiness check answers 503.
    pub async fn unready_instance(&self, name: &str) -> Instance {
        let endpoint = self.store.endpoint();
        endpoint.set_unavailable(true);
        let addr = platform_standin::listen(Arc::new(endpoint.clone())).await;
        let instance = Instance::start(endpoint, addr, name);
        eventually("the readiness check answers 503", || {
            let ready = instance.readiness;
            async move { status(ready, "/v1/readiness").await == Some(503) }
        })
        .await;
        instance
    }

    /// Starts an instance that has another one as its seed, without waiting until it is ready.
    pub async fn instance_with_seed(&self, name: &str, known: &Instance) -> Instance {
        let endpoint = self.store.endpoint();
        let addr = platform_standin::listen(Arc::new(endpoint.clone())).await;
        Instance::start_with_seeds(endpoint, addr, name, &[known.admin])
    }
}

/// The links between one instance and the targets.
#[derive(Default)]
pub struct Links {
    /// Those to the processes of the plain service.
    pub plain: Vec<Proxy>,
    /// Those to the engines.
    pub engines: Vec<Proxy>,
}

impl Links {
    /// Sets what becomes of the bytes and the connections on all links.
    pub fn set_mode(&self, mode: Mode) {
        for link in self.plain.iter().chain(&self.engines) {
            link.set_mode(mode);
        }
    }

    /// Closes all open connections.
    pub fn reset_connections(&self) {
        for link in self.plain.iter().chain(&self.engines) {
            link.reset_connections();
        }
    }
}

/// One process of the program.
pub struct Instance {
    /// The endpoint through which it reaches the store.
    pub endpoint: RowStore,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address of the metrics and the dump.
    pub admin: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// The log lines so far.
    log: Arc<Mutex<Vec<Value>>>,
    child: Child,
    settings: PathBuf,
    /// The file of decisions, if it has one.
    decisions: Option<PathBuf>,
}

impl Instance {
    fn start(endpoint: RowStore, store: SocketAddr, name: &str) -> Self {
        Self::start_with_seeds(endpoint, store, name, &[])
    }

    fn start_with_seeds(
        endpoint: RowStore,
        store: SocketAddr,
        name: &str,
        seeds: &[SocketAddr],
    ) -> Self {
        let addrs = free_addrs();
        let settings =
            std::env::temp_dir().join(format!("celerystand-{name}-{}.toml", addrs[3].port()));
        let bounds = "revoke_ms = 2500\ngrace_s = 6";
        let text = settings_of(name, 0, addrs, store, seeds, bounds);
        fs::write(&settings, text).expect("a settings file");
        Self::launch_with(endpoint, addrs, settings, None)
    }

    /// Starts an instance that reads the store itself.
    fn start_as_reader(endpoint: RowStore, store: SocketAddr, name: &str) -> Self {
        let addrs = free_addrs();
        let settings =
            std::env::temp_dir().join(format!("celerystand-{name}-{}.toml", addrs[3].port()));
        let bounds = "revoke_ms = 2500\ngrace_s = 6";
        let text = settings_of(name, 0, addrs, store, &[], bounds);
        fs::write(&settings, text).expect("a settings file");
        let decisions = settings.with_extension("yml");
        fs::write(&decisions, "parts: { reads_for_others: false }").expect("a decisions file");
        Self::launch_with(endpoint, addrs, settings, Some(decisions))
    }

    fn launch_with(
        endpoint: RowStore,
        [addr, readiness, admin, peers]: [SocketAddr; 4],
        settings: PathBuf,
        decisions: Option<PathBuf>,
    ) -> Self {
        let log = Arc::default();
        let child = launch(&settings, decisions.as_deref(), &log);
        Self {
            endpoint,
            addr,
            readiness,
            admin,
            peers,
            log,
            child,
            settings,
            decisions,
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts a killed instance again with the same settings file.
    pub fn restart(&mut self) {
        self.child = launch(&self.settings, self.decisions.as_deref(), &self.log);
    }

    /// Orders a planned stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Replaces a text in the settings file without signalling the process.
    pub fn rewrite_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("a settings file");
        assert!(text.contains(from), "{text}");
        fs::write(&self.settings, text.replace(from, to)).expect("a settings file");
    }

    /// Whether the process has exited successfully.
    pub fn has_stopped(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(status)) if status.success())
    }

    /// Waits for the log line about a request with this event's name: lines are read from a pipe,
    /// and may arrive after the answer.
    pub async fn log_line(&self, id: &str, event: &str) -> Value {
        let timer = Timer::new();
        while timer.now() < EVENTUALLY_TIMEOUT {
            if let Some(line) = self.find_line(id, event) {
                return line;
            }
            timer.sleep(POLL_INTERVAL).await;
        }
        panic!("no log line {event} about {id}");
    }

    /// Waits for a log line of this event; returns the time of the first one, in milliseconds since
    /// 1970.
    pub async fn first_logged_at(&self, event: &str) -> u64 {
        let timer = Timer::new();
        while timer.now() < EVENTUALLY_TIMEOUT {
            if let Some(time) = self.find_time(event) {
                return time;
            }
            timer.sleep(POLL_INTERVAL).await;
        }
        panic!("no log line {event}");
    }

    /// Waits for a log line of this event; returns the time of the last one, in milliseconds since
    /// 1970.
    pub async fn last_logged_at(&self, event: &str) -> u64 {
        self.first_logged_at(event).await;
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let line = log.iter().rev().find(|line| line["event"] == event);
        line.and_then(|line| line["time_ms"].as_u64())
            .expect("a time")
    }

    fn find_time(&self, event: &str) -> Option<u64> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let line = log.iter().find(|line| line["event"] == event)?;
        line["time_ms"].as_u64()
    }

    fn find_line(&self, id: &str, event: &str) -> Option<Value> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let matches = |line: &&Value| line["fields"]["id"] == id && line["event"] == event;
        log.iter().find(matches).cloned()
    }

    /// The output of `celerystand explain` for a request and the log so far.
    pub fn explain(&self, id: &str) -> String {
        self.run_on_log(&["explain", id])
    }

    /// The output of `celerystand losses` for the log so far.
    pub fn losses(&self) -> String {
        self.run_on_log(&["losses"])
    }

    fn run_on_log(&self, args: &[&str]) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let text: Vec<String> = log.iter().map(Value::to_string).collect();
        drop(log);
        let file = self.settings.with_extension("log");
        fs::write(&file, text.join("\n")).expect("a log");
        let out = Command::new(env!("CARGO_BIN_EXE_celerystand"))
            .args(args)
            .arg(&file)
            .output()
            .expect("the program runs");
        let _ = fs::remove_file(file);
        String::from_utf8_lossy(&out.stdout).into_owned()
    }

    /// The id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// The peak of the resident memory since the start of the process, in kilobytes; 0 if it can't be read.
    pub fn peak_memory_kb(&self) -> u64 {
        peak_memory_kb(self.child.id())
    }

    /// How often each event was logged.
    pub fn event_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for event in self.events() {
            *counts.entry(event).or_default() += 1;
        }
        counts
    }

    /// The names of all logged events, in their order.
    pub fn events(&self) -> Vec<String> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let name = |line: &Value| line["event"].as_str().unwrap_or_default().to_owned();
        log.iter().map(name).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
        if let Some(decisions) = &self.decisions {
            let _ = fs::remove_file(decisions);
        }
    }
}

fn launch(settings: &Path, decisions: Option<&Path>, log: &Arc<Mutex<Vec<Value>>>) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_celerystand"))
        .arg("platform")
        .args(
            decisions
                .iter()
                .flat_map(|path| [Path::new("--decisions"), path]),
        )
        .env("CELERYSTAND_BOOT", settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let out = child.stdout.take().expect("its output");
    let lines = Arc::clone(log);
    let file = kept_log(settings);
    thread::spawn(move || collect_lines(out, &lines, file));
    child
}

/// The file that keeps an instance's output, if the environment names a folder for such files.
fn kept_log(settings: &Path) -> Option<File> {
    let dir = std::env::var_os(KEPT_LOGS)?;
    let name = settings.with_extension("log");
    let path = Path::new(&dir).join(name.file_name()?);
    File::options().create(true).append(true).open(path).ok()
}

fn collect_lines(
    out: std::process::ChildStdout,
    lines: &Mutex<Vec<Value>>,
    mut file: Option<File>,
) {
    for line in BufReader::new(out).lines().map_while(Result::ok) {
        if let Some(file) = &mut file {
            // Only for reading by hand.
            let _ = writeln!(file, "{line}");
        }
        if let Ok(value) = serde_json::from_str(&line) {
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(value);
        }
    }
}

/// Starts a link to a target. Its port is out of the range from which others are chosen: while the link
/// refuses connections, another test's listener could take it otherwise.
async fn start_link(target: Option<SocketAddr>) -> Proxy {
    let addr = free_addr().expect("a free port");
    Proxy::start_at(addr, target.expect("it listens")).await
}

/// Free addresses with ports below the range for outgoing connections: an outgoing connection could
/// otherwise take a listener's port before its instance has started.
fn free_addrs() -> [SocketAddr; 4] {
    std::array::from_fn(|_| free_addr().expect("a free port"))
}

/// Cuts an instance off from its targets, and waits until it knows.
pub async fn cut_off(entry: &Instance, links: &Links) {
    links.set_mode(Mode::RefuseNew);
    // Connections that are reset are opened again at once, which must fail.
    smol::Timer::after(MODE_TIME).await;
    links.reset_connections();
    let caller = Caller::new("key-1");
    for number in 0..FIRST_REQUESTS {
        let id = format!("cut-{number}");
        caller.call(entry.addr, "GET", "/titles/1", &id).await;
    }
    smol::Timer::after(CONTACT_TIME).await;
}

/// Waits until a call that must run once and a generation are served.
pub async fn served_again(instance: &Instance, name: &str) {
    eventually("requests are served again", || async {
        let caller = Caller::new("key-1");
        let id = format!("{name}-again-{}", fastrand::u64(..));
        let plain = caller.call(instance.addr, "POST", "/grants/1", &id).await;
        let generation = caller.generate(instance.addr, &format!("{id}-g"), 2).await;
        plain.status == 200 && generation.body == all_events(2)
    })
    .await;
}

/// Checks the peak of an instance's resident memory since its start.
pub fn check_peak_memory(instance: &Instance, name: &str) {
    let peak = instance.peak_memory_kb();
    assert!(peak > 0 && peak < MEMORY_MB * 1_024, "{name}: {peak} kB");
}

/// Requests a page; returns the status, or `None` if no answer arrived.
pub async fn status(addr: SocketAddr, path: &str) -> Option<u16> {
    page(addr, path).await.map(|answer| answer.status)
}

/// Requests a page; returns `None` if no answer arrived.
pub async fn page(addr: SocketAddr, path: &str) -> Option<ReceivedAnswer> {
    let req = Request::get(path).body(Full::default()).expect("a request");
    let resp = Client::new().send(addr, req).await.ok()?;
    Some(read_answer(resp).await)
}

/// Waits until a condition holds; panics after [`EVENTUALLY_TIMEOUT`].
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let timer = Timer::new();
    while timer.now() < EVENTUALLY_TIMEOUT {
        if holds().await {
            return;
        }
        timer.sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {what}");
}
