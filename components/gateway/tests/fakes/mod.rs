//! A gateway whose dependencies follow scripts and record the calls that they receive.
#![allow(dead_code, reason = "each test file uses a different part")]

pub mod admission;
pub mod engine;
pub mod plain;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use config::{Change, ChangeError, Config, CurrentConfig, Fault, HistoryEntry, Update};
use gateway::{Gateway, GatewayParts, Metrics, Quarantine, Takeover};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, body::Incoming};
use net::{Budget, Client, ServeLimits, Server};
use parking_lot::Mutex;
use quarantine::{
    Assessment, Evidence, Fingerprint, PartEvidence, PartQuarantine, QuarantineState,
};
use settings::Limits;
use sha2::{Digest, Sha256};
use targets::StreamId;
use timer::Timer;
use tree::{EffectiveConfig, Knobs, RouteRule, Snapshot};
use types::{
    Class, ConfigVersion, DataCentreId, InstanceId, ServiceId, ServiceKind, ServingState, Target,
    TargetId, WorkspaceId,
};

use self::{admission::FakeAdmission, engine::FakeEngine, plain::FakeClaims, plain::FakePlain};

/// The quarantine of a single instance.
#[derive(Default)]
pub struct FakeQuarantine {
    state: Mutex<QuarantineState>,
    parts: Mutex<PartQuarantine>,
    /// Crashes of targets that were recorded.
    pub crashes: AtomicUsize,
}

impl Quarantine for FakeQuarantine {
    fn rejects(&self, fingerprint: &Fingerprint) -> bool {
        self.state.lock().rejects(Duration::ZERO, fingerprint)
    }

    fn record_crash(&self, evidence: Evidence) {
        self.crashes.fetch_add(1, Ordering::AcqRel);
        self.state.lock().record_crash(Duration::ZERO, evidence);
    }

    fn assess_parts(&self, parts: &[Fingerprint]) -> Assessment {
        self.parts.lock().assess(Duration::ZERO, parts)
    }

    fn try_probe(&self, service: &ServiceId) -> bool {
        self.parts.lock().try_probe(Duration::ZERO, service)
    }

    fn record_part_crash(&self, evidence: &PartEvidence) {
        self.parts.lock().record_crash(Duration::ZERO, evidence);
    }

    fn record_sound_parts(&self, parts: &[Fingerprint], _: Duration) {
        self.parts
            .lock()
            .record_sound(Duration::ZERO, parts, Duration::ZERO);
    }

    fn record_success(&self, fingerprint: &Fingerprint) {
        self.state
            .lock()
            .record_success(Duration::ZERO, fingerprint);
    }
}

/// Memory of the gateway in bytes: room for eight of the largest answers, and a quarter more for others.
const MEMORY: usize = 88 << 20;
/// Key of workspace `a`.
pub const KEY_A: &str = "key-a";
/// Key of workspace `b`.
pub const KEY_B: &str = "key-b";

/// Returns a target with this id; its address is never used.
pub fn target(id: &str) -> Target {
    Target {
        id: id.into(),
        service: "svc".into(),
        data_centre: "one".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        state: ServingState::Live,
    }
}

/// A serving gateway and its scripted dependencies.
pub struct TestBed {
    pub admission: Arc<FakeAdmission>,
    pub engine: Arc<FakeEngine>,
    pub plain: Arc<FakePlain>,
    pub claims: Arc<FakeClaims>,
    pub quarantine: Arc<FakeQuarantine>,
    pub gateway: Gateway,
    pub metrics: Metrics,
    pub addr: SocketAddr,
    pub client: Client,
}

/// A response whose body has been read.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    /// Returns status, code and `run` of a refusal.
    pub fn problem(&self) -> (u16, String, String) {
        assert_eq!(self.headers["content-type"], "application/problem+json");
        let json = self.json();
        let text = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
        (self.status, text("code"), text("run"))
    }
}

/// Returns the expected value of `Answer::problem`.
pub fn problem(status: u16, code: &str, run: &str) -> (u16, String, String) {
    (status, code.into(), run.into())
}

impl TestBed {
    pub async fn new() -> Self {
        Self::with(Arc::new(FakeEngine::default()), "entry-1", None).await
    }

    /// Starts a gateway that gives up a generation after this time without a token.
    pub async fn with_stall_timeout(timeout: Duration) -> Self {
        let engine = Arc::default();
        Self::start(engine, "i1", None, Some(timeout)).await
    }

    pub async fn with(
        engine: Arc<FakeEngine>,
        instance: &str,
        takeover: Option<Arc<dyn Takeover>>,
    ) -> Self {
        Self::start(engine, instance, takeover, None).await
    }

    async fn start(
        engine: Arc<FakeEngine>,
        instance: &str,
        takeover: Option<Arc<dyn Takeover>>,
        stall_timeout: Option<Duration>,
    ) -> Self {
        let timer = Timer::new();
        let admission = Arc::new(FakeAdmission::new(timer));
        let plain = Arc::new(FakePlain::default());
        let claims = Arc::new(FakeClaims::default());
        let quarantine = Arc::new(FakeQuarantine::default());
        let metrics = Metrics::new();
        let parts = GatewayParts {
            admission: admission.clone(),
            engine: engine.clone(),
            plain: plain.clone(),
            claims: claims.clone(),
            quarantine: quarantine.clone(),
            config: Arc::new(FakeConfig),
            timer,
            memory: Budget::new(MEMORY),
            limits: Limits {
                body_bytes: 4096,
                sender_seconds: 1,
                ..Limits::default()
            },
            instance: instance.into(),
            metrics: metrics.clone(),
            stream_key: "a key for all instances".into(),
        };
        let gateway = match takeover {
            Some(takeover) => Gateway::with_takeover(parts, takeover),
            None => Gateway::new(parts),
        };
        let mut gateway = gateway.with_grace(Duration::from_secs(1));
        if let Some(timeout) = stall_timeout {
            gateway = gateway.with_stall_timeout(timeout);
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, ServeLimits::default(), Arc::new(gateway.clone()));
        let server = server.await.expect("a port");
        let addr = server.addr().expect("an address");
        workers::spawn(server.run()).detach();
        Self {
            admission,
            engine,
            plain,
            claims,
            quarantine,
            gateway,
            metrics,
            addr,
            client: Client::new(),
        }
    }

    /// Sends a request and returns the response with its body unread.
    pub async fn open(
        &self,
        key: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> hyper::Response<Incoming> {
        let mut req = Request::builder().method(method).uri(path);
        if !key.is_empty() {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        let req = req.body(body).expect("a request");
        self.client.send(self.addr, req).await.expect("an answer")
    }

    /// Sends a request of workspace `a` and reads the response.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        read(self.open(KEY_A, method, path, headers, body).await).await
    }

    /// Requests a completion for workspace `a`.
    pub async fn complete(&self, stream: bool, headers: &[(&str, &str)]) -> Answer {
        self.send("POST", "/v1/completions", headers, &body(stream))
            .await
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        until(|| self.gateway.open_requests() == 0).await;
    }
}

/// Returns the body of a request for a completion.
pub fn body(stream: bool) -> String {
    format!(r#"{{"model":"m","prompt":"hello","max_tokens":50,"stream":{stream}}}"#)
}

/// Reads the body of a response.
pub async fn read(resp: hyper::Response<Incoming>) -> Answer {
    let (head, body) = resp.into_parts();
    let bytes = body.collect().await.expect("a complete body").to_bytes();
    Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    }
}

/// Waits for an answer, for at most 10 s.
pub async fn in_time(answer: impl Future<Output = Answer>) -> Answer {
    let answer = Timer::new().within(Duration::from_secs(10), answer).await;
    answer.expect("an answer in time")
}

/// Waits until a condition holds, for at most about 20 s.
pub async fn until(condition: impl Fn() -> bool) {
    for _ in 0..4000 {
        if condition() {
            return;
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    panic!("the condition did not become true in time");
}

/// Returns the ids and data of a stream's events.
pub fn events(body: &str) -> Vec<(String, String)> {
    body.split("\n\n")
        .filter(|event| !event.is_empty())
        .map(|event| {
            let field = |name: &str| {
                let line = event.lines().find_map(|line| line.strip_prefix(name));
                line.unwrap_or_default().to_owned()
            };
            (field("id: "), field("data: "))
        })
        .collect()
}

struct FakeConfig;

#[async_trait::async_trait]
impl Config for FakeConfig {
    fn current(&self) -> Option<Arc<CurrentConfig>> {
        Some(Arc::new(CurrentConfig {
            snapshot: Snapshot::default(),
            effective: Box::new(FakeEffectiveConfig),
        }))
    }

    fn node_version(&self, _: &str) -> Option<ConfigVersion> {
        None
    }

    fn check(&self, _: &Change) -> Result<(), Vec<Fault>> {
        Ok(())
    }

    async fn change(&self, _: Change) -> Result<ConfigVersion, ChangeError> {
        Err(ChangeError::StoreUnavailable)
    }

    async fn history(&self, _: usize) -> Result<Vec<HistoryEntry>, ChangeError> {
        Ok(Vec::new())
    }

    async fn receive_version(&self, _: &InstanceId, _: ConfigVersion) {}

    fn since(&self, _: ConfigVersion) -> Update {
        Update::Changes(Vec::new())
    }
}

/// A configuration with the models `m` and `many`, route `default`, and plain calls below `/shop`,
/// of which those below `/shop/order` are not idempotent.
struct FakeEffectiveConfig;

fn rule(kind: ServiceKind, idempotent: Option<bool>) -> RouteRule {
    RouteRule {
        service: "svc".into(),
        kind,
        route: "default".into(),
        knobs: Knobs {
            class: Some(Class::Normal),
            deadline_ms: Some(20_000),
            max_output: Some(100),
            in_flight: Some(2),
            idempotent,
            ..Knobs::default()
        },
    }
}

impl EffectiveConfig for FakeEffectiveConfig {
    fn version(&self) -> ConfigVersion {
        1
    }

    fn workspace(&self, hash: &str) -> Option<WorkspaceId> {
        let matches = |key: &str| {
            let digest = Sha256::digest(key);
            digest
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect::<String>()
                == hash
        };
        [(KEY_A, "a"), (KEY_B, "b")]
            .into_iter()
            .find(|(key, _)| matches(key))
            .map(|(_, name)| name.into())
    }

    fn model(&self, _: &WorkspaceId, model: &str, route: &str) -> Option<RouteRule> {
        let mut rule = rule(ServiceKind::Model, None);
        if model == "many" {
            rule.knobs.in_flight = Some(100);
        }
        (["m", "many"].contains(&model) && route == "default").then_some(rule)
    }

    fn plain(&self, _: &WorkspaceId, _: &str, path: &str) -> Option<RouteRule> {
        let order = path.starts_with("/shop/order");
        path.starts_with("/shop")
            .then(|| rule(ServiceKind::Plain, order.then_some(false)))
    }

    fn service(&self, _: &ServiceId) -> Option<RouteRule> {
        Some(rule(ServiceKind::Model, None))
    }

    fn services(&self) -> Vec<ServiceId> {
        vec!["svc".into()]
    }

    fn data_centres_out(&self) -> Vec<DataCentreId> {
        Vec::new()
    }
}

/// Records the notifications, and passes them on to `holder` if it is set.
#[derive(Default)]
pub struct FakeTakeover {
    pub notified: Mutex<Vec<(InstanceId, TargetId, StreamId)>>,
    pub holder: Mutex<Option<Gateway>>,
}

#[async_trait::async_trait]
impl Takeover for FakeTakeover {
    async fn notify(&self, holder: &InstanceId, target: &TargetId, stream: &StreamId) {
        if let Some(gateway) = &*self.holder.lock() {
            gateway.handle_takeover(target, stream);
        }
        let notification = (holder.clone(), target.clone(), stream.clone());
        self.notified.lock().push(notification);
    }
}
