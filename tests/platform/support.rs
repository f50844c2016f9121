//! Instances on a stand-in of the users' platform.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use bench::process::free_addr;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use net::Client;
use platform_standin::{engine::Engine, plain::Plain, row_store::RowStore};
use serde_json::{Value, json};
use timer::Timer;

/// Time for anything that should happen soon.
const SOON: Duration = Duration::from_secs(10);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

/// A platform with two engines and two plain processes in two data centres.
pub struct Platform {
    /// The store.
    pub store: RowStore,
    /// The engines of `drafts`.
    pub engines: Vec<Engine>,
    /// The processes of `titles`.
    pub plain: Vec<Plain>,
    version: Mutex<u64>,
}

impl Platform {
    /// Starts it, with a first configuration.
    pub async fn start() -> Self {
        let store = RowStore::new();
        let engines = vec![Engine::new("e-1"), Engine::new("e-2")];
        let plain = vec![Plain::new("p-1"), Plain::new("p-2")];
        let mut addrs = Vec::new();
        for engine in &engines {
            addrs.push(engine.start().await);
        }
        for (engine, other) in [(0, 1), (1, 0)] {
            engines[engine].know(addrs[other], &engines[other]);
        }
        for process in &plain {
            process.start().await;
        }
        let this = Self {
            store,
            engines,
            plain,
            version: Mutex::new(0),
        };
        for (number, engine) in this.engines.iter().enumerate() {
            let listing = engine.listing("drafts", &format!("dc-{number}"), "ready");
            this.store.put("servers", &engine.id(), listing);
        }
        for (number, process) in this.plain.iter().enumerate() {
            let listing = process.listing("titles", &format!("dc-{number}"), "ready");
            this.store.put("servers", &process.id(), listing);
        }
        this.configure(&["key-1"]);
        this
    }

    /// Puts a configuration in force in which `editors` hold these keys.
    pub fn configure(&self, keys: &[&str]) {
        let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        *version += 3;
        let route = |name: &str, kind: &str, service: &str, tries: u32| {
            json!({
                "name": name, "host": "a.example", "path_prefix": format!("/{name}/"),
                "kind": kind, "timeout_ms": 8000, "target_latency_ms": 400, "priority": 1,
                "service": service, "max_attempts": tries,
            })
        };
        let config = json!({
            "version": *version,
            "routes": [
                route("drafts", "streaming", "drafts", 1),
                route("titles", "idempotent", "titles", 2),
                route("grants", "non_idempotent", "titles", 1),
            ],
            "services": [
                {"name": "drafts", "engine": {"slots": 24, "kv_capacity": 30000,
                    "token_kv_bytes": 327_680, "bandwidth_mbps": 47000.0, "moves": true,
                    "stride": 4}},
                {"name": "titles", "connection_limit": 50},
            ],
            "tenants": [{"name": "editors", "api_keys": keys}],
        });
        self.store.put("op", "config", config.to_string());
    }

    /// Says in the store that an engine leaves.
    pub fn engine_leaves(&self, number: usize) {
        let engine = &self.engines[number];
        let listing = engine.listing("drafts", &format!("dc-{number}"), "draining");
        self.store.put("servers", &engine.id(), listing);
    }

    /// Starts an instance, and waits until it takes callers.
    pub async fn instance(&self, name: &str) -> Instance {
        let door = self.store.door();
        let addr = platform_standin::listen(Arc::new(door.clone())).await;
        let instance = Instance::start(door, addr, name);
        eventually("the instance takes callers", || {
            let ready = instance.ready;
            async move { status(ready, "/v1/readiness").await == Some(200) }
        })
        .await;
        instance
    }

    /// Starts an instance that is told of another, and does not wait for it.
    pub async fn newcomer(&self, name: &str, known: &Instance) -> Instance {
        let door = self.store.door();
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
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("{:?}", seed.to_string()))
            .collect();
        let [addr, ready, admin, peers] = free_ports();
        let settings =
            std::env::temp_dir().join(format!("celerystand-{name}-{}.toml", peers.port()));
        let text = format!(
            "node = {name:?}\nip = \"127.0.0.1\"\nzone = \"dc-0\"\ninternal_ports = [{}, {}]\n\
             seeds = [{}]\n\
             [listen]\nfront = \"{addr}\"\nready = \"{ready}\"\ncontrol = \"{admin}\"\n\
             [limits]\nmemory_mb = 110\nfile_descriptors = 4100\n\
             [bounds]\nstrict_revocation = true\nrevoke_ms = 2500\ngrace_s = 6\n\
             retry_budget_ratio = 0.2\nretry_slack = 50\n\
             [platform]\naddress = \"{}\"\n",
            peers.port(),
            peers.port(),
            seeds.join(","),
            store
        );
        fs::write(&settings, text).expect("a settings file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_celerystand"))
            .arg("platform")
            .env("CELERYSTAND_BOOT", &settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = Arc::default();
        let out = child.stdout.take().expect("its output");
        let lines = Arc::clone(&log);
        thread::spawn(move || collect(out, &lines));
        Self {
            door,
            addr,
            ready,
            admin,
            log,
            child,
            settings,
        }
    }

    /// Tells it to stop.
    pub fn terminate(&self) {
        let killed = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
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

    fn find(&self, id: &str, event: &str) -> Option<Value> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = |line: &&Value| line["fields"]["id"] == id && line["event"] == event;
        log.iter().find(fits).cloned()
    }

    /// What `celerystand explain` makes of the log so far.
    pub fn explain(&self, id: &str) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let text: Vec<String> = log.iter().map(Value::to_string).collect();
        drop(log);
        let file = self.settings.with_extension("log");
        fs::write(&file, text.join("\n")).expect("a log");
        let out = Command::new(env!("CARGO_BIN_EXE_celerystand"))
            .arg("explain")
            .arg(id)
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
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
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
fn free_ports<const N: usize>() -> [SocketAddr; N] {
    std::array::from_fn(|_| free_addr().expect("a free port"))
}

/// A caller's request.
pub struct Caller {
    client: Client,
    key: String,
}

/// What a caller got.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Got {
    /// The status; 0 if there was no answer.
    pub status: u16,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body is whole.
    pub whole: bool,
    /// When to come back, if told.
    pub retry_after: Option<String>,
}

impl Caller {
    /// A caller with a key.
    pub fn new(key: &str) -> Self {
        Self {
            client: Client::new(),
            key: key.into(),
        }
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(&self, to: SocketAddr, method: &str, path: &str, id: &str) -> Got {
        match self.send(to, method, path, id, 0).await {
            Some(resp) => read(resp).await,
            None => Got::default(),
        }
    }

    /// Asks for a generation of so many events and reads it to its end.
    pub async fn generate(&self, to: SocketAddr, id: &str, events: u32) -> Got {
        match self.send(to, "POST", "/drafts/1", id, events).await {
            Some(resp) => read(resp).await,
            None => Got::default(),
        }
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        id: &str,
        events: u32,
    ) -> Option<Response<Incoming>> {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "a.example")
            .header("request-id", id)
            .header("deadline-milliseconds", "6000")
            .header("token-counts", format!("100,{events}"))
            .header("authorization", format!("Token {}", self.key))
            .body(Full::new(Bytes::from_static(b"a body")))
            .expect("a request");
        self.client.send_fresh(to, req).await.ok()
    }
}

/// Reads an answer as far as it comes.
pub async fn read(resp: Response<Incoming>) -> Got {
    let (head, mut body) = resp.into_parts();
    let retry_after = head.headers.get("retry-after");
    let mut got = Got {
        status: head.status.as_u16(),
        whole: true,
        retry_after: retry_after.and_then(|v| v.to_str().ok()).map(Into::into),
        ..Got::default()
    };
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => got.body.push_str(&String::from_utf8_lossy(&data)),
            Ok(Err(_)) => {}
            Err(_) => {
                got.whole = false;
                break;
            }
        }
    }
    got
}

/// Asks for a page; tells the status.
pub async fn status(addr: SocketAddr, path: &str) -> Option<u16> {
    page(addr, path).await.map(|got| got.status)
}

/// Asks for a page.
pub async fn page(addr: SocketAddr, path: &str) -> Option<Got> {
    let req = Request::get(path).body(Full::default()).expect("a request");
    let resp = Client::new().send(addr, req).await.ok()?;
    Some(read(resp).await)
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

/// The events of a generation of so many.
pub fn all_events(count: u32) -> String {
    (1..=count)
        .map(|n| format!("id: {n}\ndata: token {n}\n\n"))
        .collect()
}
