//! Instances on a stand-in of the users' platform.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use bench::process::free_addr;
use derive_more::Deref;
use http_body_util::Full;
use hyper::Request;
use net::Client;
use platform_standin::{
    deployment::{Deployment, settings as settings_of},
    row_store::RowStore,
};
use serde_json::Value;
use timer::Timer;

pub use platform_standin::caller::{Caller, ReceivedAnswer, all_events, read_answer};

/// Time for anything that should happen soon.
const SOON: Duration = Duration::from_secs(10);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

/// A platform with two engines and two plain processes in two data centres.
#[derive(Deref)]
pub struct Platform(Deployment);

impl Platform {
    /// Starts it, with a first configuration.
    pub async fn start() -> Self {
        Self(Deployment::start().await)
    }

    /// Starts an instance, and waits until it takes callers.
    pub async fn instance(&self, name: &str) -> Instance {
        let door = self.store.endpoint();
        let addr = platform_standin::listen(Arc::new(door.clone())).await;
        let instance = Instance::start(door, addr, name);
        eventually("the instance takes callers", || {
            let ready = instance.ready;
            async move { status(ready, "/v1/readiness").await == Some(200) }
        })
        .await;
        instance
    }

    /// Starts an instance that the store refuses, and waits until it answers at all.
    pub async fn unready_instance(&self, name: &str) -> Instance {
        let door = self.store.endpoint();
        door.set_unavailable(true);
        let addr = platform_standin::listen(Arc::new(door.clone())).await;
        let instance = Instance::start(door, addr, name);
        eventually("the instance answers", || {
            let ready = instance.ready;
            async move { status(ready, "/v1/readiness").await == Some(503) }
        })
        .await;
        instance
    }

    /// Starts an instance that is told of another, and does not wait for it.
    pub async fn newcomer(&self, name: &str, known: &Instance) -> Instance {
        let door = self.store.endpoint();
        let addr = platform_standin::listen(Arc::new(door.clone())).await;
        Instance::start_knowing(door, addr, name, &[known.admin])
    }
}

/// One process of the program.
pub struct Instance {
    /// Its door to the store.
    pub door: RowStore,
    /// Where callers come in.
    pub addr: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where metrics are.
    pub admin: SocketAddr,
    /// Where other instances come in.
    pub peers: SocketAddr,
    /// The lines that it has logged.
    log: Arc<Mutex<Vec<Value>>>,
    child: Child,
    settings: PathBuf,
}

impl Instance {
    fn start(door: RowStore, store: SocketAddr, name: &str) -> Self {
        Self::start_knowing(door, store, name, &[])
    }

    fn start_knowing(door: RowStore, store: SocketAddr, name: &str, seeds: &[SocketAddr]) -> Self {
        let addrs = free_ports();
        let [addr, ready, admin, peers] = addrs;
        let settings =
            std::env::temp_dir().join(format!("celerystand-{name}-{}.toml", peers.port()));
        let bounds = "revoke_ms = 2500\ngrace_s = 6";
        let text = settings_of(name, 0, addrs, store, seeds, bounds);
        fs::write(&settings, text).expect("a settings file");
        let log = Arc::default();
        let child = launch(&settings, &log);
        Self {
            door,
            addr,
            ready,
            admin,
            peers,
            log,
            child,
            settings,
        }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts it again with the settings that it had, once it was killed.
    pub fn start_again(&mut self) {
        self.child = launch(&self.settings, &self.log);
    }

    /// Tells it to stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: &str) {
        let killed = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
        assert!(killed.is_ok_and(|status| status.success()));
    }

    /// Writes its settings file anew with one text in place of another, and tells it nothing.
    pub fn rewrite_settings(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("a settings file");
        assert!(text.contains(from), "{text}");
        fs::write(&self.settings, text.replace(from, to)).expect("a settings file");
    }

    /// Whether it has ended, with success.
    pub fn has_stopped(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(status)) if status.success())
    }

    /// The line about a request with this event's name, once it is there: lines come through a
    /// pipe, and may arrive after the answer.
    pub async fn line(&self, id: &str, event: &str) -> Value {
        let timer = Timer::new();
        while timer.now() < SOON {
            if let Some(line) = self.find(id, event) {
                return line;
            }
            timer.sleep(POLL).await;
        }
        panic!("no line {event} about {id}");
    }

    /// When it first logged an event of this name, in milliseconds since 1970; waits for the line.
    pub async fn logged_at(&self, event: &str) -> u64 {
        let timer = Timer::new();
        while timer.now() < SOON {
            if let Some(time) = self.time_of(event) {
                return time;
            }
            timer.sleep(POLL).await;
        }
        panic!("no line {event}");
    }

    /// When it last logged an event of this name, in milliseconds since 1970, the line being there.
    pub async fn last_logged_at(&self, event: &str) -> u64 {
        self.logged_at(event).await;
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let line = log.iter().rev().find(|line| line["event"] == event);
        line.and_then(|line| line["time_ms"].as_u64())
            .expect("a time")
    }

    fn time_of(&self, event: &str) -> Option<u64> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let line = log.iter().find(|line| line["event"] == event)?;
        line["time_ms"].as_u64()
    }

    fn find(&self, id: &str, event: &str) -> Option<Value> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = |line: &&Value| line["fields"]["id"] == id && line["event"] == event;
        log.iter().find(fits).cloned()
    }

    /// What `celerystand explain` makes of the log so far.
    pub fn explain(&self, id: &str) -> String {
        self.command_on_log(&["explain", id])
    }

    /// What `celerystand losses` makes of the log so far.
    pub fn losses(&self) -> String {
        self.command_on_log(&["losses"])
    }

    fn command_on_log(&self, words: &[&str]) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let text: Vec<String> = log.iter().map(Value::to_string).collect();
        drop(log);
        let file = self.settings.with_extension("log");
        fs::write(&file, text.join("\n")).expect("a log");
        let out = Command::new(env!("CARGO_BIN_EXE_celerystand"))
            .args(words)
            .arg(&file)
            .output()
            .expect("the program runs");
        let _ = fs::remove_file(file);
        String::from_utf8_lossy(&out.stdout).into_owned()
    }

    /// Names of all events so far.
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
    }
}

fn launch(settings: &Path, log: &Arc<Mutex<Vec<Value>>>) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_celerystand"))
        .arg("platform")
        .env("CELERYSTAND_BOOT", settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let out = child.stdout.take().expect("its output");
    let lines = Arc::clone(log);
    thread::spawn(move || collect(out, &lines));
    child
}

fn collect(out: std::process::ChildStdout, lines: &Mutex<Vec<Value>>) {
    for line in BufReader::new(out).lines().map_while(Result::ok) {
        if let Ok(value) = serde_json::from_str(&line) {
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(value);
        }
    }
}

/// Ports that nobody listens on, below those that outgoing connections get: one of these could
/// take a listener's port before its instance has started.
fn free_ports() -> [SocketAddr; 4] {
    std::array::from_fn(|_| free_addr().expect("a free port"))
}

/// Asks for a page; tells the status.
pub async fn status(addr: SocketAddr, path: &str) -> Option<u16> {
    page(addr, path).await.map(|got| got.status)
}

/// Asks for a page.
pub async fn page(addr: SocketAddr, path: &str) -> Option<ReceivedAnswer> {
    let req = Request::get(path).body(Full::default()).expect("a request");
    let resp = Client::new().send(addr, req).await.ok()?;
    Some(read_answer(resp).await)
}

/// Waits until something holds.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let timer = Timer::new();
    while timer.now() < SOON {
        if holds().await {
            return;
        }
        timer.sleep(POLL).await;
    }
    panic!("in vain: {what}");
}
