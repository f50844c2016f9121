//! A model engine with the OpenAI API.

pub mod batch;
mod feed;
pub mod prefix;
pub mod settings;
pub mod text;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender, bounded};
use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Handler, Reply};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    control::{self, Call, Refused},
    engine::{
        batch::{Batch, End, Generation, Totals, Work},
        text::{Api, Ask},
    },
    life::{Act, Entry, Faults, Life, LifeLog, Load},
    link::{self, Running},
};

pub use settings::EngineSettings;

/// Code of the refusal of an order that a newer one has overtaken.
const OLD_FENCE: &str = "old-fence";
/// Where streams are resumed and cancelled.
const STREAMS: &str = "/v1/streams/";

/// An order.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// What to do: `load`, `adapter` or `role`.
    pub kind: String,
    /// With what.
    pub name: String,
    /// Fencing number.
    pub fence: u64,
}

/// What `GET /control/log` tells; with `?brief` without the generations.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineLog {
    /// Its life.
    pub life: LifeLog,
    /// Memory in tokens.
    pub capacity: u64,
    /// Sums.
    pub totals: Totals,
    /// Orders taken.
    pub orders: Vec<Order>,
    /// Every generation.
    pub generations: Vec<Generation>,
}

/// What a prompt holds that crashes the engine that runs it.
pub const CRASHING: &str = "crashes what runs it";

/// The engine stand-in.
pub struct Engine {
    inner: Arc<Inner>,
}

struct Inner {
    settings: EngineSettings,
    life: Arc<Life>,
    wake: Sender<()>,
    // Locked before the life's own lock, never after it.
    state: Mutex<State>,
}

struct State {
    batch: Batch,
    rng: fastrand::Rng,
    orders: Vec<Order>,
    fence: u64,
}

/// Starts an engine.
///
/// # Errors
/// Passes on why the address can't be listened on.
pub async fn start(addr: SocketAddr, settings: EngineSettings) -> io::Result<Running<Engine>> {
    let life = Arc::new(Life::new(settings.life.clone()));
    let (wake, woken) = bounded(1);
    let state = State {
        batch: Batch::new(settings.clone()),
        rng: fastrand::Rng::with_seed(settings.seed),
        orders: Vec::new(),
        fence: 0,
    };
    let inner = Arc::new(Inner {
        settings,
        life: Arc::clone(&life),
        wake,
        state: Mutex::new(state),
    });
    let engine = Arc::new(Engine {
        inner: Arc::clone(&inner),
    });
    let running = link::serve(addr, Arc::clone(&life.links), engine).await?;
    let steps = workers::spawn(Arc::clone(&inner).steps(woken));
    let report = workers::spawn(life.run(running.addr, move || inner.sample()));
    Ok(running.with_task(steps).with_task(report))
}

impl Inner {
    async fn steps(self: Arc<Self>, woken: Receiver<()>) {
        let timer = self.life.timer;
        loop {
            let plan = self.state.lock().batch.plan(timer.now());
            let Some(time) = plan else {
                // Nothing runs; a waiting generation that nobody reads still has to go.
                let _ = timer.within(Duration::from_millis(200), woken.recv()).await;
                continue;
            };
            let cold = if self.life.log().warm {
                1.0
            } else {
                self.settings.cold_factor
            };
            timer.sleep(time.mul_f64(cold * self.life.slow())).await;
            self.life.stall().await;
            let finished = self.state.lock().batch.step(timer.now());
            (0..finished).for_each(|_| self.life.finished());
        }
    }

    fn sample(&self) -> Load {
        let state = self.state.lock();
        Load {
            running: state.batch.running(),
            waiting: state.batch.waiting(),
            used: state.batch.used(),
            capacity: self.settings.capacity,
            preemptions: state.batch.totals.preemptions,
            ..Load::default()
        }
    }

    /// Takes in a generation, or says why not.
    fn admit(&self, call: &Call, api: Api, ask: &Ask) -> Result<(usize, Receiver<()>), Refused> {
        let prompt = ask.prompt();
        let prompt_tokens = text::count(&prompt);
        if prompt_tokens + 1 >= self.settings.capacity {
            return Err(control::not_run(400, "prompt-too-long").into());
        }
        if prompt.contains(CRASHING) {
            let crash = Faults {
                act: Some(Act::Crash),
                ..Faults::default()
            };
            self.set(crash);
            return Err(control::hang_up(&call.link).into());
        }
        let mut state = self.state.lock();
        let inside = state.batch.running() + state.batch.waiting();
        if state.batch.waiting() >= self.settings.most_waiting {
            return Err(control::not_run(503, "too-many-waiting").into());
        }
        match self.life.enter(inside, &call.link) {
            Entry::Runs => {}
            Entry::Refused => return Err(control::not_run(503, "not-taking-work").into()),
            Entry::FellOver => {
                let (name, inside) = (&self.settings.life.name, state.batch.inside());
                let caller = &ask.metadata.caller;
                let now = self.life.timer.now().as_millis();
                eprintln!(
                    "{name} at {now} ms: {caller} is too much for a cold engine with {inside}"
                );
                state.batch.drop_all();
                return Err(control::hang_up(&call.link).into());
            }
        }
        let told = ask.metadata.output_tokens.as_deref();
        let length = told.and_then(|text| text.parse().ok());
        let length = length.unwrap_or_else(|| self.draw(&mut state.rng));
        let incarnation = self.life.log().incarnation;
        let number = state.batch.all.len();
        let work = Work {
            api,
            stream: format!("{}-{incarnation}-{number}", self.settings.life.name),
            request: call.header("x-request-id").to_owned(),
            caller: ask.metadata.caller.clone(),
            priority: ask.priority,
            prompt,
            prompt_tokens,
            wanted: length.min(ask.max_tokens.unwrap_or(u64::MAX)),
        };
        let number = state.batch.add(self.life.timer.now(), incarnation, work);
        let (tx, rx) = bounded(1);
        state.batch.observe(number, tx);
        // A full channel means that the engine is about to look anyway.
        let _ = self.wake.try_send(());
        Ok((number, rx))
    }

    /// A heavy-tailed length: the logarithm is close to normal.
    fn draw(&self, rng: &mut fastrand::Rng) -> u64 {
        let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
        let length = self.settings.median_output * (normal * self.settings.spread_output).exp();
        length.max(1.0) as u64
    }

    /// Finds a stream of this life by name.
    fn find(&self, state: &State, stream: &str) -> Option<usize> {
        let number: usize = stream.rsplit('-').next()?.parse().ok()?;
        let known = state.batch.all.get(number)?;
        let here = known.incarnation == self.life.log().incarnation;
        let readable = matches!(known.end, None | Some(End::Finished));
        (known.stream == stream && here && readable).then_some(number)
    }

    async fn generate(self: &Arc<Self>, call: &Call, api: Api) -> Response<Body> {
        let ask: Ask = match call.json() {
            Ok(ask) => ask,
            Err(refusal) => return *refusal,
        };
        let (number, woken) = match self.admit(call, api, &ask) {
            Ok(admitted) => admitted,
            Err(refusal) => return *refusal,
        };
        let name = self.state.lock().batch.all[number].stream.clone();
        let reply = if ask.stream {
            sse(self.stream(number, 0, woken))
        } else {
            self.whole(number, woken, call).await
        };
        reply.with_header("x-stream-id", &name).done()
    }

    fn resume(self: &Arc<Self>, call: &Call, stream: &str) -> Response<Body> {
        let last = call.header("last-event-id").parse::<u64>();
        let from = last.map_or(0, |last| last + 1);
        let mut state = self.state.lock();
        let Some(number) = self.find(&state, stream) else {
            return control::unknown();
        };
        let (tx, woken) = bounded(1);
        state.batch.observe(number, tx);
        drop(state);
        sse(self.stream(number, from, woken))
            .with_header("x-stream-id", stream)
            .done()
    }

    fn cancel(&self, stream: &str) -> Response<Body> {
        let mut state = self.state.lock();
        let Some(number) = self.find(&state, stream) else {
            return control::unknown();
        };
        state.batch.end(number, End::Cancelled);
        control::done()
    }

    fn order(&self, call: &Call) -> Result<Response<Body>, Refused> {
        let order: Order = call.json()?;
        let mut state = self.state.lock();
        if self.settings.checks_fences && order.fence < state.fence {
            return Err(control::not_run(409, OLD_FENCE).into());
        }
        state.fence = order.fence;
        state.orders.push(order);
        Ok(control::done())
    }

    fn cache_events(&self, call: &Call) -> Response<Body> {
        let after = call
            .query
            .strip_prefix("after=")
            .and_then(|n| n.parse().ok());
        let lag = Duration::from_millis(self.settings.cache_lag_ms);
        let state = self.state.lock();
        let now = self.life.timer.now();
        let events = state.batch.prefixes.events(now, lag, after.unwrap_or(0));
        Reply::json(200, &events).done()
    }

    fn set(&self, faults: Faults) {
        let mut state = self.state.lock();
        if self.life.set(faults) {
            state.batch.drop_all();
        }
    }

    fn control(&self, call: &Call) -> Result<Response<Body>, Refused> {
        self.set(call.json()?);
        Ok(control::done())
    }

    fn log(&self, brief: bool) -> EngineLog {
        let state = self.state.lock();
        let generations = if brief {
            Vec::new()
        } else {
            state.batch.all.clone()
        };
        EngineLog {
            life: self.life.log(),
            capacity: self.settings.capacity,
            totals: state.batch.totals,
            orders: state.orders.clone(),
            generations,
        }
    }
}

impl Engine {
    /// Sets faults.
    pub fn set(&self, faults: Faults) {
        self.inner.set(faults);
    }

    /// What happened so far.
    #[must_use]
    pub fn log(&self) -> EngineLog {
        self.inner.log(false)
    }
}

#[async_trait]
impl Handler for Engine {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let Some(call) = Call::read(req).await else {
            return Reply::new(400).done();
        };
        let inner = &self.inner;
        if let Some(stream) = call.path.strip_prefix(STREAMS) {
            return match call.method.as_str() {
                "DELETE" => inner.cancel(stream),
                _ => inner.resume(&call, stream),
            };
        }
        match call.path.as_str() {
            "/v1/chat/completions" => inner.generate(&call, Api::Chat).await,
            "/v1/completions" => inner.generate(&call, Api::Completions).await,
            "/v1/orders" => inner.order(&call).unwrap_or_else(|refusal| *refusal),
            "/load" => inner.life.load(),
            "/cache-events" => inner.cache_events(&call),
            "/control/faults" => inner.control(&call).unwrap_or_else(|refusal| *refusal),
            "/control/log" => Reply::json(200, &inner.log(call.query == "brief")).done(),
            _ => control::unknown(),
        }
    }
}

fn sse(body: Body) -> Reply {
    Reply::new(200)
        .with_header("content-type", "text/event-stream")
        .with_body(body)
}
