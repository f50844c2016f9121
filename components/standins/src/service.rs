//! A plain service that counts each effect by the identity of its request.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Handler, Reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::channel::bounded;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    control::{self, Call},
    life::{Entry, Faults, Life, LifeLog, LifeSettings, Load},
    link::{self, Running},
};

/// Settings of a plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its life.
    pub life: LifeSettings,
    /// Seed of the jitter.
    pub seed: u64,
    /// Milliseconds that a lone call takes.
    pub latency_ms: f64,
    /// Largest random part on top, in milliseconds.
    pub jitter_ms: f64,
    /// Concurrent calls at which a call takes twice as long.
    pub comfortable: f64,
    /// Factor on the time of a call while cold.
    pub cold_factor: f64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            life: LifeSettings::default(),
            seed: 1,
            latency_ms: 3.0,
            jitter_ms: 1.0,
            comfortable: 64.0,
            cold_factor: 3.0,
        }
    }
}

/// What `GET /control/log` tells.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ServiceLog {
    /// Its life.
    pub life: LifeLog,
    /// Effects by identity.
    pub effects: BTreeMap<String, u32>,
    /// Calls without effect by identity.
    pub lookups: BTreeMap<String, u32>,
}

/// What a call is answered.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Answer {
    /// Path and query as they arrived.
    pub path: String,
    /// The header `x-echo` as it arrived.
    pub seen: String,
    /// Hash of the body as it arrived.
    pub body: String,
}

/// The plain service stand-in.
pub struct Service {
    inner: Arc<Inner>,
}

struct Inner {
    settings: ServiceSettings,
    life: Arc<Life>,
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
/// Passes on why the address can't be listened on.
pub async fn start(addr: SocketAddr, settings: ServiceSettings) -> io::Result<Running<Service>> {
    let life = Arc::new(Life::new(settings.life.clone()));
    let state = State {
        running: 0,
        rng: fastrand::Rng::with_seed(settings.seed),
        log: ServiceLog::default(),
    };
    let inner = Arc::new(Inner {
        settings,
        life: Arc::clone(&life),
        state: Mutex::new(state),
    });
    let sampled = Arc::clone(&inner);
    let service = Arc::new(Service { inner });
    let running = link::serve(addr, Arc::clone(&life.links), service).await?;
    let sample = move || Load {
        running: sampled.state.lock().running,
        ..Load::default()
    };
    let task = workers::spawn(life.run(running.addr, sample));
    Ok(running.with_task(task))
}

impl Service {
    /// Sets faults.
    pub fn set(&self, faults: Faults) {
        self.inner.life.set(faults);
    }

    /// What happened so far.
    #[must_use]
    pub fn log(&self) -> ServiceLog {
        let mut log = self.inner.state.lock().log.clone();
        log.life = self.inner.life.log();
        log
    }

    async fn work(&self, call: Call) -> Response<Body> {
        let entry = {
            let mut state = self.inner.state.lock();
            let entry = self.inner.life.enter(state.running, &call.link);
            state.running += u32::from(entry == Entry::Runs);
            entry
        };
        match entry {
            Entry::Runs => {}
            Entry::Refused => return control::not_run(503, "not-taking-work"),
            Entry::FellOver => return control::hang_up(&call.link),
        }
        // The work goes on when the caller hangs up, as it does in a real service.
        let (tx, rx) = bounded(1);
        let inner = Arc::clone(&self.inner);
        let run = async move {
            let answer = inner.run(&call).await;
            // The caller may have gone.
            let _ = tx.send(answer).await;
        };
        workers::spawn(run).detach();
        match rx.recv().await {
            Ok(Some(answer)) => Reply::json(200, &answer).done(),
            _ => control::never().await,
        }
    }
}

impl Inner {
    async fn run(&self, call: &Call) -> Option<Answer> {
        let incarnation = self.life.log().incarnation;
        let time = self.call_time();
        self.life.timer.sleep(time).await;
        self.life.stall().await;
        let mut state = self.state.lock();
        state.running -= 1;
        if !self.life.lives(incarnation) {
            return None;
        }
        let effect = call.header("x-effect");
        let identity = if effect.is_empty() {
            call.header("x-request-id")
        } else {
            effect
        };
        let counts = match call.method.as_str() {
            "POST" | "PUT" | "DELETE" | "PATCH" => &mut state.log.effects,
            _ => &mut state.log.lookups,
        };
        *counts.entry(identity.to_owned()).or_default() += 1;
        self.life.finished();
        if self.life.never_answers() {
            return None;
        }
        let query = if call.query.is_empty() { "" } else { "?" };
        Some(Answer {
            path: format!("{}{query}{}", call.path, call.query),
            seen: call.header("x-echo").to_owned(),
            body: format!("{:016x}", xxh3_64(&call.body)),
        })
    }

    fn call_time(&self) -> Duration {
        let settings = &self.settings;
        let mut state = self.state.lock();
        let jitter = state.rng.f64() * settings.jitter_ms;
        let crowd = 1.0 + f64::from(state.running - 1) / settings.comfortable;
        let cold = if self.life.log().warm {
            1.0
        } else {
            settings.cold_factor
        };
        let ms = (settings.latency_ms * crowd + jitter) * cold * self.life.slow();
        Duration::from_secs_f64(ms.max(0.0) / 1000.0)
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let Some(call) = Call::read(req).await else {
            return Reply::new(400).done();
        };
        match call.path.as_str() {
            "/load" => self.inner.life.load(),
            "/control/faults" => match call.json() {
                Ok(faults) => {
                    self.set(faults);
                    control::done()
                }
                Err(refusal) => *refusal,
            },
            "/control/log" => Reply::json(200, &self.log()).done(),
            _ => self.work(call).await,
        }
    }
}
