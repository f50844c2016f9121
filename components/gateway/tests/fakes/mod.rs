//! A gateway among parts that follow scripts and note what happens to them.
#![allow(dead_code, reason = "each test file uses its own share of it")]

pub mod admission;
pub mod engine;
pub mod plain;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use config::{Change, ChangeError, Config, Current, Entry, Fault, Update};
use gateway::{Gateway, GatewayParts, Metrics, Quarantine, Takeover};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, body::Incoming};
use net::{Client, ServeLimits, Server};
use parking_lot::Mutex;
use quarantine::{Evidence, Fingerprint, QuarantineState};
use settings::Limits;
use sha2::{Digest, Sha256};
use targets::StreamId;
use timer::Timer;
use tree::{InForce, Knobs, RouteRule, Snapshot};
use types::{
    Class, ConfigVersion, DataCentreId, InstanceId, ServiceId, ServiceKind, Standing, Target,
    TargetId, WorkspaceId,
};

use self::{admission::FakeAdmission, engine::FakeEngine, plain::FakeClaims, plain::FakePlain};

/// What one instance alone knows.
#[derive(Default)]
struct FakeQuarantine {
    state: Mutex<QuarantineState>,
}

impl Quarantine for FakeQuarantine {
    fn rejects(&self, fingerprint: &Fingerprint) -> bool {
        self.state.lock().rejects(Duration::ZERO, fingerprint)
    }

    fn record_crash(&self, evidence: Evidence) {
        self.state.lock().record_crash(Duration::ZERO, evidence);
    }

    fn record_success(&self, fingerprint: &Fingerprint) {
        self.state
            .lock()
            .record_success(Duration::ZERO, fingerprint);
    }
}

/// Keys of the workspaces `a` and `b`.
pub const KEY_A: &str = "key-a";
pub const KEY_B: &str = "key-b";

/// Any target.
pub fn target(id: &str) -> Target {
    Target {
        id: id.into(),
        service: "svc".into(),
        data_centre: "one".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        standing: Standing::Live,
    }
}

/// A gateway that serves, and its parts.
pub struct Bed {
    pub admission: Arc<FakeAdmission>,
    pub engine: Arc<FakeEngine>,
    pub plain: Arc<FakePlain>,
    pub claims: Arc<FakeClaims>,
    pub gateway: Gateway,
    pub metrics: Metrics,
    pub addr: SocketAddr,
    pub client: Client,
}

/// An answer, read to its end.
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

    /// Status, code and run of a refusal.
    pub fn problem(&self) -> (u16, String, String) {
        assert_eq!(self.headers["content-type"], "application/problem+json");
        let json = self.json();
        let text = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
        (self.status, text("code"), text("run"))
    }
}

/// What a problem says.
pub fn problem(status: u16, code: &str, run: &str) -> (u16, String, String) {
    (status, code.into(), run.into())
}

impl Bed {
    pub async fn new() -> Self {
        Self::with(Arc::new(FakeEngine::default()), "entry-1", None).await
    }

    pub async fn with(
        engine: Arc<FakeEngine>,
        instance: &str,
        takeover: Option<Arc<dyn Takeover>>,
    ) -> Self {
        let timer = Timer::new();
        let admission = Arc::new(FakeAdmission::new(timer));
        let plain = Arc::new(FakePlain::default());
        let claims = Arc::new(FakeClaims::default());
        let metrics = Metrics::new();
        let parts = GatewayParts {
            admission: admission.clone(),
            engine: engine.clone(),
            plain: plain.clone(),
            claims: claims.clone(),
            quarantine: Arc::new(FakeQuarantine::default()),
            config: Arc::new(FakeConfig),
            timer,
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
        let gateway = gateway.with_grace(Duration::from_secs(1));
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
            gateway,
            metrics,
            addr,
            client: Client::new(),
        }
    }

    /// Sends a request and gives the answer with its body unread.
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

    /// Sends a request of workspace `a` and reads the answer.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        read(self.open(KEY_A, method, path, headers, body).await).await
    }

    /// Asks for a completion.
    pub async fn complete(&self, stream: bool, headers: &[(&str, &str)]) -> Answer {
        self.send("POST", "/v1/completions", headers, &body(stream))
            .await
    }

    /// Waits until nothing is in flight.
    pub async fn idle(&self) {
        until(|| self.gateway.open_requests() == 0).await;
    }
}

/// The body of a request for a completion.
pub fn body(stream: bool) -> String {
    format!(r#"{{"model":"m","prompt":"hello","max_tokens":50,"stream":{stream}}}"#)
}

/// Reads an answer to its end.
pub async fn read(resp: hyper::Response<Incoming>) -> Answer {
    let (head, body) = resp.into_parts();
    let bytes = body.collect().await.expect("a whole body").to_bytes();
    Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
    }
}

/// Waits for an answer, with a generous bound.
pub async fn in_time(answer: impl Future<Output = Answer>) -> Answer {
    let answer = Timer::new().within(Duration::from_secs(10), answer).await;
    answer.expect("an answer in time")
}

/// Waits for a condition, with a generous bound.
pub async fn until(condition: impl Fn() -> bool) {
    for _ in 0..4000 {
        if condition() {
            return;
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    panic!("the condition never came true");
}

/// Ids and data of a stream's events.
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
    fn current(&self) -> Option<Arc<Current>> {
        Some(Arc::new(Current {
            snapshot: Snapshot::default(),
            in_force: Box::new(FakeForce),
        }))
    }

    fn changed(&self, _: &str) -> Option<ConfigVersion> {
        None
    }

    fn check(&self, _: &Change) -> Result<(), Vec<Fault>> {
        Ok(())
    }

    async fn change(&self, _: Change) -> Result<ConfigVersion, ChangeError> {
        Err(ChangeError::StoreDown)
    }

    async fn history(&self, _: usize) -> Result<Vec<Entry>, ChangeError> {
        Ok(Vec::new())
    }

    async fn heard(&self, _: &InstanceId, _: ConfigVersion) {}

    fn since(&self, _: ConfigVersion) -> Update {
        Update::Changes(Vec::new())
    }
}

/// Model `m` with route `default`; plain calls below `/shop`, of which `/shop/order` is
/// non-idempotent.
struct FakeForce;

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

impl InForce for FakeForce {
    fn version(&self) -> ConfigVersion {
        1
    }

    fn workspace(&self, hash: &str) -> Option<WorkspaceId> {
        let is = |key: &str| {
            let digest = Sha256::digest(key);
            digest
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect::<String>()
                == hash
        };
        [(KEY_A, "a"), (KEY_B, "b")]
            .into_iter()
            .find(|(key, _)| is(key))
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

    fn out(&self) -> Vec<DataCentreId> {
        Vec::new()
    }
}

/// Notes who was told.
#[derive(Default)]
pub struct FakeTakeover {
    pub told: Mutex<Vec<(InstanceId, TargetId, StreamId)>>,
    pub holder: Mutex<Option<Gateway>>,
}

#[async_trait::async_trait]
impl Takeover for FakeTakeover {
    async fn notify(&self, holder: &InstanceId, target: &TargetId, stream: &StreamId) {
        if let Some(gateway) = &*self.holder.lock() {
            gateway.handle_takeover(target, stream);
        }
        let told = (holder.clone(), target.clone(), stream.clone());
        self.told.lock().push(told);
    }
}
