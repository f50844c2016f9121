//! An administration API over an in-memory configuration, served on a free port.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use admin::{AdminApi, AdminParts, Dump, Readiness, auth::hash_key};
use async_trait::async_trait;
use bytes::Bytes;
use config::{
    Change, ChangeError, Config, CurrentConfig, Fault, HistoryEntry, Override, OverrideError,
    OverrideOrder, OverrideReport, Update,
};
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use net::{Client, ServeLimits, Server, read_all};
use parking_lot::Mutex;
use prometheus_client::{metrics::counter::Counter, registry::Registry};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tree::{Node, NodePath, Rules, Snapshot};
use types::{ConfigVersion, InstanceId};

/// The key that the API under test knows.
pub const KEY: &str = "an operator's key";
/// How long to wait for a part of a body.
const BODY_GAP_TIMEOUT: Duration = Duration::from_secs(20);

/// State of the fake configuration.
#[derive(Default)]
struct State {
    snapshot: Snapshot,
    node_versions: BTreeMap<NodePath, ConfigVersion>,
    entries: Vec<HistoryEntry>,
    loaded: bool,
    next_error: Option<ChangeError>,
    concurrent_write: Option<(NodePath, Node)>,
    overrides: Vec<Override>,
}

/// A configuration in memory.
#[derive(Default)]
pub struct FakeConfig {
    state: Mutex<State>,
}

impl FakeConfig {
    /// Creates a configuration whose tree has one service, two data centres and a workspace.
    pub fn with_tree() -> Arc<Self> {
        let fake = Self::default();
        fake.state.lock().loaded = true;
        let nodes = json!({
            "/": {"knobs": {"deadline-ms": 5000}},
            "/data-centres/north": {},
            "/data-centres/south": {},
            "/services/drafts": {"kind": "model", "knobs": {"class": "normal"}},
            "/services/drafts/routes/tags": {"knobs": {"class": "background"}},
            "/workspaces/editors": {"knobs": {"max-output": 900}},
        });
        let nodes: BTreeMap<NodePath, Node> = serde_json::from_value(nodes).expect("valid nodes");
        for (path, node) in nodes {
            fake.put(&path, Some(node));
        }
        Arc::new(fake)
    }

    /// Makes the next change fail with this error.
    pub fn fail_next(&self, error: ChangeError) {
        self.state.lock().next_error = Some(error);
    }

    /// Writes this node right before the next change, as another operator would.
    pub fn write_before_next(&self, path: &str, node: Node) {
        self.state.lock().concurrent_write = Some((path.into(), node));
    }

    /// The current content of a node.
    pub fn node(&self, path: &str) -> Option<Node> {
        self.state.lock().snapshot.nodes.get(path).cloned()
    }

    /// The version in force.
    pub fn version(&self) -> ConfigVersion {
        self.state.lock().snapshot.version
    }

    /// Writes or deletes a node without a precondition.
    pub fn put(&self, path: &str, node: Option<Node>) -> ConfigVersion {
        let mut state = self.state.lock();
        let path: NodePath = path.into();
        state.snapshot.version += 1;
        let version = state.snapshot.version;
        match node {
            Some(node) => {
                state.node_versions.insert(Arc::clone(&path), version);
                state.snapshot.nodes.insert(path, node);
            }
            None => {
                state.node_versions.remove(&path);
                state.snapshot.nodes.remove(&path);
            }
        }
        version
    }
}

#[async_trait]
impl Config for FakeConfig {
    fn current(&self) -> Option<Arc<CurrentConfig>> {
        let state = self.state.lock();
        state.loaded.then(|| {
            Arc::new(CurrentConfig {
                effective: Box::new(Rules::new(&state.snapshot)),
                snapshot: state.snapshot.clone(),
            })
        })
    }

    fn node_version(&self, path: &str) -> Option<ConfigVersion> {
        self.state.lock().node_versions.get(path).copied()
    }

    fn check(&self, change: &Change) -> Result<(), Vec<Fault>> {
        let mut after = self.state.lock().snapshot.clone();
        if let Some(node) = &change.node {
            after.nodes.insert(Arc::clone(&change.path), node.clone());
        }
        let faults = tree::check(&after);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    async fn change(&self, change: Change) -> Result<ConfigVersion, ChangeError> {
        let error = self.state.lock().next_error.take();
        if let Some(error) = error {
            return Err(error);
        }
        let concurrent_write = self.state.lock().concurrent_write.take();
        if let Some((path, node)) = concurrent_write {
            self.put(&path, Some(node));
        }
        let now = self.node_version(&change.path);
        if now != change.expected_version {
            return Err(ChangeError::Conflict { now });
        }
        self.check(&change)
            .map_err(|faults| ChangeError::Invalid { faults })?;
        let version = self.put(&change.path, change.node.clone());
        let entry = HistoryEntry {
            version,
            at: SystemTime::UNIX_EPOCH,
            change,
            id: "".into(),
        };
        self.state.lock().entries.insert(0, entry);
        Ok(version)
    }

    async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>, ChangeError> {
        let entries = self.state.lock().entries.clone();
        Ok(entries.into_iter().take(limit).collect())
    }

    async fn receive_version(&self, _peer: &InstanceId, _version: ConfigVersion) {}

    async fn override_data_centre(
        &self,
        order: OverrideOrder,
    ) -> Result<OverrideReport, OverrideError> {
        let path = format!("/data-centres/{}", order.data_centre);
        if self.node(&path).is_none() {
            return Err(OverrideError::NoSuchDataCentre);
        }
        let order = Override {
            data_centre: order.data_centre,
            out: order.out,
            sequence: 1,
            issued_by: "entry-1".into(),
            operator: order.operator,
            base_version: self.version(),
            time_left: order.duration,
        };
        self.state.lock().overrides = vec![order.clone()];
        Ok(OverrideReport {
            order,
            accepted_by: vec!["entry-1".into()],
            unanswered_by: vec!["entry-2".into()],
        })
    }

    fn overrides(&self) -> Vec<Override> {
        self.state.lock().overrides.clone()
    }

    fn since(&self, _version: ConfigVersion) -> Update {
        Update::Changes(Vec::new())
    }
}

struct FakeProcess {
    unready_reason: Option<Arc<str>>,
}

impl Dump for FakeProcess {
    fn dump(&self) -> Value {
        json!({
            "members": [{"id": "entry-1", "key": "a shared key"}],
            "config-version": 3,
            "platform": {"token": "a platform token", "table": "up"},
            "requests": [{"number": 1, "body": "what a customer wrote", "tokens": 5}],
            "workspaces": [{"id": "editors", "key_hashes": ["abc"]}],
        })
    }
}

impl Readiness for FakeProcess {
    fn ready(&self) -> Result<(), Arc<str>> {
        self.unready_reason.clone().map_or(Ok(()), Err)
    }
}

/// A running server of the API with a client.
pub struct Api {
    addr: SocketAddr,
    client: Client,
}

/// A response of the API.
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The body.
    pub text: String,
}

impl Answer {
    /// Decodes the body from JSON.
    pub fn read<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.text).expect(&self.text)
    }

    /// The text of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().expect("text"))
    }
}

impl Api {
    /// Starts the API of a process that is ready.
    pub fn start(config: &Arc<FakeConfig>) -> Self {
        Self::start_with(config, None)
    }

    /// Starts the API of a process that is not ready if a reason is given.
    pub fn start_with(config: &Arc<FakeConfig>, unready_reason: Option<&str>) -> Self {
        let mut registry = Registry::default();
        registry.register("asked", "Requests asked", Counter::<u64>::default());
        let process = Arc::new(FakeProcess {
            unready_reason: unready_reason.map(Arc::from),
        });
        let parts = AdminParts {
            instance: "entry-1".into(),
            data_centre: "north".into(),
            key_hashes: vec![hash_key("another key").into(), hash_key(KEY).into()],
            config: Arc::clone(config) as Arc<dyn Config>,
            dump: Arc::clone(&process) as Arc<dyn Dump>,
            readiness: process,
            registry: Arc::new(registry),
        };
        let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let handler = Arc::new(AdminApi::new(parts));
        let server = smol::block_on(Server::bind(any_port, ServeLimits::default(), handler));
        let server = server.expect("a free port");
        let addr = server.addr().expect("an address");
        workers::spawn(server.run()).detach();
        Self {
            addr,
            client: Client::new(),
        }
    }

    /// Sends a request with the operator's key.
    pub fn send(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        let bearer = format!("Bearer {KEY}");
        let mut headers = headers.to_vec();
        headers.push(("authorization", &bearer));
        self.send_raw(method, path, &headers, body)
    }

    /// Sends a `GET` request with the operator's key.
    pub fn get(&self, path: &str) -> Answer {
        self.send("GET", path, &[], "")
    }

    /// Sends a request with only these headers.
    pub fn send_raw(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let mut builder = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        let req = builder.body(body).expect("a request");
        smol::block_on(async {
            let resp = self.client.send(self.addr, req).await.expect("an answer");
            let (head, body) = resp.into_parts();
            let buf = read_all(body, 1 << 20, BODY_GAP_TIMEOUT)
                .await
                .expect("a body");
            Answer {
                status: head.status.as_u16(),
                headers: head.headers,
                text: String::from_utf8(buf.to_vec()).expect("text"),
            }
        })
    }
}
