//! A plain service that counts the effects of each request by its identity.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Handler, Reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::channel::bounded;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    connection::{self, StandinHandle},
    control::{self, ReceivedRequest},
    lifecycle::{Admission, Faults, Lifecycle, LifecycleLog, LifecycleSettings, Load},
};

/// Settings of a plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Lifecycle of the service.
    #[serde(rename = "life")]
    pub lifecycle: LifecycleSettings,
    /// Seed of the random jitter.
    pub seed: u64,
    /// Latency of a single request, in milliseconds.
    pub latency_ms: f64,
    /// Largest random addition to the latency, in milliseconds.
    pub jitter_ms: f64,
    /// Number of other concurrent requests that doubles the latency.
    #[serde(rename = "comfortable")]
    pub doubling_concurrency: f64,
    /// Factor on the latency while cold.
    pub cold_factor: f64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            lifecycle: LifecycleSettings::default(),
            seed: 1,
            latency_ms: 3.0,
            jitter_ms: 1.0,
            doubling_concurrency: 64.0,
            cold_factor: 3.0,
        }
    }
}

/// Body of `GET /control/log`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ServiceLog {
    /// Lifecycle of the service.
    #[serde(rename = "life")]
    pub lifecycle: LifecycleLog,
    /// Number of effects by request identity.
    pub effects: BTreeMap<String, u32>,
    /// Number of requests without effect (reads) by request identity.
    pub lookups: BTreeMap<String, u32>,
}

/// Body of a response: echoes the request so that the caller can check it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EchoResponse {
    /// Path and query as received.
    pub path: String,
    /// Value of the header `x-echo`.
    pub seen: String,
    /// Hash of the received body (XXH3, 16 hexadecimal digits).
    pub body: String,
}

/// The plain service stand-in.
pub struct Service {
    inner: Arc<Inner>,
}

struct Inner {
    settings: ServiceSettings,
    lifecycle: Arc<Lifecycle>,
    state: Mutex<State>,
}

struct State {
    running: u32,
    rng: fastrand::Rng,
    log: ServiceLog,
}

/// Starts a plain service.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn start(
    addr: SocketAddr,
    settings: ServiceSettings,
) -> io::Result<StandinHandle<Service>> {
    let lifecycle = Arc::new(Lifecycle::new(settings.lifecycle.clone()));
    let state = State {
        running: 0,
        rng: fastrand::Rng::with_seed(settings.seed),
        log: ServiceLog::default(),
    };
    let inner = Arc::new(Inner {
        settings,
        lifecycle: Arc::clone(&lifecycle),
        state: Mutex::new(state),
    });
    let sampled = Arc::clone(&inner);
    let service = Arc::new(Service { inner });
    let handle = connection::serve(addr, Arc::clone(&lifecycle.connections), service).await?;
    let sample = move || Load {
        running: sampled.state.lock().running,
        ..Load::default()
    };
    let task = workers::spawn(lifecycle.run(handle.addr, sample));
    Ok(handle.with_task(task))
}

impl Service {
    /// Injects faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.lifecycle.set_faults(faults);
    }

    /// Log of the effects and the lifecycle so far.
    #[must_use]
    pub fn log(&self) -> ServiceLog {
        let mut log = self.inner.state.lock().log.clone();
        log.lifecycle = self.inner.lifecycle.log();
        log
    }

    async fn handle_request(&self, req: ReceivedRequest) -> Response<Body> {
        let admission = {
            let mut state = self.inner.state.lock();
            let admission = self.inner.lifecycle.admit(state.running, &req.connection);
            state.running += u32::from(admission == Admission::Admitted);
            admission
        };
        match admission {
            Admission::Admitted => {}
            Admission::Refused => return control::not_run(503, "not-taking-work"),
            Admission::Crashed => return control::close_connection(&req.connection),
        }
        // The request goes on running when the caller disconnects, as in a real service.
        let (tx, rx) = bounded(1);
        let inner = Arc::clone(&self.inner);
        let run = async move {
            let response = inner.run(&req).await;
            // Fails if the caller has disconnected.
            let _ = tx.send(response).await;
        };
        workers::spawn(run).detach();
        match rx.recv().await {
            Ok(Some(response)) => Reply::json(200, &response).done(),
            _ => control::pending_response().await,
        }
    }
}

impl Inner {
    async fn run(&self, req: &ReceivedRequest) -> Option<EchoResponse> {
        let incarnation = self.lifecycle.log().incarnation;
        let time = self.service_time();
        self.lifecycle.timer.sleep(time).await;
        self.lifecycle.wait_for_stall_end().await;
        let mut state = self.state.lock();
        state.running -= 1;
        if !self.lifecycle.is_up_as(incarnation) {
            return None;
        }
        let effect = req.header("x-effect");
        let identity = if effect.is_empty() {
            req.header("x-request-id")
        } else {
            effect
        };
        let counts = match req.method.as_str() {
            "POST" | "PUT" | "DELETE" | "PATCH" => &mut state.log.effects,
            _ => &mut state.log.lookups,
        };
        *counts.entry(identity.to_owned()).or_default() += 1;
        self.lifecycle.record_finished();
        if self.lifecycle.take_unanswered() {
            return None;
        }
        let query = if req.query.is_empty() { "" } else { "?" };
        Some(EchoResponse {
            path: format!("{}{query}{}", req.path, req.query),
            seen: req.header("x-echo").to_owned(),
            body: format!("{:016x}", xxh3_64(&req.body)),
        })
    }

    fn service_time(&self) -> Duration {
        let settings = &self.settings;
        let mut state = self.state.lock();
        let jitter = state.rng.f64() * settings.jitter_ms;
        let contention = 1.0 + f64::from(state.running - 1) / settings.doubling_concurrency;
        let cold = if self.lifecycle.log().warm {
            1.0
        } else {
            settings.cold_factor
        };
        let ms = (settings.latency_ms * contention + jitter) * cold * self.lifecycle.slowdown();
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let Some(req) = ReceivedRequest::read(req).await else {
            return Reply::new(400).done();
        };
        match req.path.as_str() {
            "/load" => self.inner.lifecycle.load(),
            "/control/faults" => match req.json() {
                Ok(faults) => {
                    self.set_faults(faults);
                    control::empty_ok()
                }
                Err(response) => *response,
            },
            "/control/log" => Reply::json(200, &self.log()).done(),
            _ => self.handle_request(req).await,
        }
    }
}
