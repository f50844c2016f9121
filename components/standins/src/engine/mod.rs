//! A model engine with continuous batching that serves the OpenAI API.

pub mod batch;
mod output;
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
    connection::{self, StandinHandle},
    control::{self, ErrorResponse, ReceivedRequest},
    engine::{
        batch::{Batch, EndReason, Generation, NewGeneration, Totals},
        text::{Api, CompletionRequest},
    },
    lifecycle::{Admission, FaultAction, Faults, Lifecycle, LifecycleLog, Load},
};

pub use settings::EngineSettings;

/// Problem code for a command with an outdated fencing number.
const OLD_FENCE: &str = "old-fence";
/// Path prefix under which streams are resumed (GET) and cancelled (DELETE).
const STREAMS: &str = "/v1/streams/";

/// A command to the engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Command {
    /// Kind of the command: `load`, `adapter` or `role`.
    pub kind: String,
    /// Name of the model, adapter or role.
    pub name: String,
    /// Fencing number.
    pub fence: u64,
}

/// Body of `GET /control/log`; `?brief` leaves the generations out.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EngineLog {
    /// Lifecycle of the engine.
    #[serde(rename = "life")]
    pub lifecycle: LifecycleLog,
    /// Memory in tokens.
    pub capacity: u64,
    /// Counters since the start.
    pub totals: Totals,
    /// Accepted commands, in order of arrival.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
    /// All generations since the start.
    pub generations: Vec<Generation>,
}

/// Text that crashes the engine when a prompt contains it.
pub const CRASH_TRIGGER: &str = "crashes what runs it";

/// The engine stand-in.
pub struct Engine {
    inner: Arc<Inner>,
}

struct Inner {
    settings: EngineSettings,
    lifecycle: Arc<Lifecycle>,
    wake_tx: Sender<()>,
    // Lock order: this lock before the one inside `lifecycle`.
    state: Mutex<State>,
}

struct State {
    batch: Batch,
    rng: fastrand::Rng,
    commands: Vec<Command>,
    fence: u64,
}

/// Starts an engine.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn start(
    addr: SocketAddr,
    settings: EngineSettings,
) -> io::Result<StandinHandle<Engine>> {
    let lifecycle = Arc::new(Lifecycle::new(settings.lifecycle.clone()));
    let (wake_tx, wake_rx) = bounded(1);
    let state = State {
        batch: Batch::new(settings.clone()),
        rng: fastrand::Rng::with_seed(settings.seed),
        commands: Vec::new(),
        fence: 0,
    };
    let inner = Arc::new(Inner {
        settings,
        lifecycle: Arc::clone(&lifecycle),
        wake_tx,
        state: Mutex::new(state),
    });
    let engine = Arc::new(Engine {
        inner: Arc::clone(&inner),
    });
    let handle = connection::serve(addr, Arc::clone(&lifecycle.connections), engine).await?;
    let steps = workers::spawn(Arc::clone(&inner).run_steps(wake_rx));
    let report = workers::spawn(lifecycle.run(handle.addr, move || inner.sample()));
    Ok(handle.with_task(steps).with_task(report))
}

impl Inner {
    async fn run_steps(self: Arc<Self>, wake_rx: Receiver<()>) {
        let timer = self.lifecycle.timer;
        loop {
            let plan = self.state.lock().batch.plan(timer.now());
            let Some(time) = plan else {
                // Nothing can run. The timeout still ends waiting generations without a reader.
                let _ = timer
                    .within(Duration::from_millis(200), wake_rx.recv())
                    .await;
                continue;
            };
            let cold = if self.lifecycle.log().warm {
                1.0
            } else {
                self.settings.cold_factor
            };
            timer
                .sleep(time.mul_f64(cold * self.lifecycle.slowdown()))
                .await;
            self.lifecycle.wait_for_stall_end().await;
            let finished = self.state.lock().batch.step(timer.now());
            (0..finished).for_each(|_| self.lifecycle.record_finished());
        }
    }

    fn sample(&self) -> Load {
        let state = self.state.lock();
        Load {
            running: state.batch.running(),
            waiting: state.batch.waiting(),
            used: state.batch.tokens_used(),
            capacity: self.settings.capacity,
            preemptions: state.batch.totals.preemptions,
            ..Load::default()
        }
    }

    /// Queues a generation and returns its number and the channel that wakes its reader, or a
    /// response that says why it was refused.
    fn admit(
        &self,
        req: &ReceivedRequest,
        api: Api,
        body: &CompletionRequest,
    ) -> Result<(usize, Receiver<()>), ErrorResponse> {
        let prompt = body.prompt();
        let prompt_tokens = text::count_tokens(&prompt);
        if prompt_tokens + 1 >= self.settings.capacity {
            return Err(control::not_run(400, "prompt-too-long").into());
        }
        if prompt.contains(CRASH_TRIGGER) {
            let crash = Faults {
                action: Some(FaultAction::Crash),
                ..Faults::default()
            };
            self.set_faults(crash);
            return Err(control::close_connection(&req.connection).into());
        }
        let mut state = self.state.lock();
        let concurrent = state.batch.running() + state.batch.waiting();
        if state.batch.waiting() >= self.settings.max_waiting {
            return Err(control::not_run(503, "too-many-waiting").into());
        }
        match self.lifecycle.admit(concurrent, &req.connection) {
            Admission::Admitted => {}
            Admission::Refused => return Err(control::not_run(503, "not-taking-work").into()),
            Admission::Crashed => {
                let (name, active) = (&self.settings.lifecycle.name, state.batch.describe_active());
                let caller = &body.metadata.caller;
                let now = self.lifecycle.timer.now().as_millis();
                eprintln!(
                    "{name} at {now} ms: cold engine crashed on request of {caller}, \
                     already holding {active}"
                );
                state.batch.drop_all();
                return Err(control::close_connection(&req.connection).into());
            }
        }
        let requested = body.metadata.output_tokens.as_deref();
        let length = requested.and_then(|text| text.parse().ok());
        let length = length.unwrap_or_else(|| self.draw_length(&mut state.rng));
        let incarnation = self.lifecycle.log().incarnation;
        let number = state.batch.generations.len();
        let new = NewGeneration {
            api,
            stream: format!("{}-{incarnation}-{number}", self.settings.lifecycle.name),
            request: req.header("x-request-id").to_owned(),
            caller: body.metadata.caller.clone(),
            priority: body.priority,
            prompt,
            prompt_tokens,
            output_tokens: length.min(body.max_tokens.unwrap_or(u64::MAX)),
        };
        let number = state
            .batch
            .add(self.lifecycle.timer.now(), incarnation, new);
        let (tx, rx) = bounded(1);
        state.batch.observe(number, tx);
        // If the channel is full, an earlier wake-up is still pending.
        let _ = self.wake_tx.try_send(());
        Ok((number, rx))
    }

    /// Draws an output length from a heavy-tailed, approximately log-normal distribution.
    fn draw_length(&self, rng: &mut fastrand::Rng) -> u64 {
        let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
        let length = self.settings.median_output * (normal * self.settings.spread_output).exp();
        length.max(1.0) as u64
    }

    /// Finds a stream of the current incarnation that is in progress or finished, by name.
    fn find(&self, state: &State, stream: &str) -> Option<usize> {
        let number: usize = stream.rsplit('-').next()?.parse().ok()?;
        let generation = state.batch.generations.get(number)?;
        let is_current = generation.incarnation == self.lifecycle.log().incarnation;
        let readable = matches!(generation.end, None | Some(EndReason::Finished));
        (generation.stream == stream && is_current && readable).then_some(number)
    }

    async fn generate(self: &Arc<Self>, req: &ReceivedRequest, api: Api) -> Response<Body> {
        let body: CompletionRequest = match req.json() {
            Ok(body) => body,
            Err(response) => return *response,
        };
        let (number, wake_rx) = match self.admit(req, api, &body) {
            Ok(admitted) => admitted,
            Err(response) => return *response,
        };
        let name = self.state.lock().batch.generations[number].stream.clone();
        let reply = if body.stream {
            sse(self.stream(number, 0, wake_rx))
        } else {
            self.buffered(number, wake_rx, req).await
        };
        reply.with_header("x-stream-id", &name).done()
    }

    fn resume(self: &Arc<Self>, req: &ReceivedRequest, stream: &str) -> Response<Body> {
        let last = req.header("last-event-id").parse::<u64>();
        let from = last.map_or(0, |last| last + 1);
        let mut state = self.state.lock();
        let Some(number) = self.find(&state, stream) else {
            return control::not_found();
        };
        let (tx, wake_rx) = bounded(1);
        state.batch.observe(number, tx);
        drop(state);
        sse(self.stream(number, from, wake_rx))
            .with_header("x-stream-id", stream)
            .done()
    }

    fn cancel(&self, stream: &str) -> Response<Body> {
        let mut state = self.state.lock();
        let Some(number) = self.find(&state, stream) else {
            return control::not_found();
        };
        state.batch.end(number, EndReason::Cancelled);
        control::empty_ok()
    }

    fn handle_command(&self, req: &ReceivedRequest) -> Result<Response<Body>, ErrorResponse> {
        let command: Command = req.json()?;
        let mut state = self.state.lock();
        if self.settings.checks_fences && command.fence < state.fence {
            return Err(control::not_run(409, OLD_FENCE).into());
        }
        state.fence = command.fence;
        state.commands.push(command);
        Ok(control::empty_ok())
    }

    fn cache_events(&self, req: &ReceivedRequest) -> Response<Body> {
        let after = req
            .query
            .strip_prefix("after=")
            .and_then(|n| n.parse().ok());
        let lag = Duration::from_millis(self.settings.cache_lag_ms);
        let state = self.state.lock();
        let now = self.lifecycle.timer.now();
        let events = state
            .batch
            .prefix_cache
            .events(now, lag, after.unwrap_or(0));
        Reply::json(200, &events).done()
    }

    fn set_faults(&self, faults: Faults) {
        let mut state = self.state.lock();
        if self.lifecycle.set_faults(faults) {
            state.batch.drop_all();
        }
    }

    fn control(&self, req: &ReceivedRequest) -> Result<Response<Body>, ErrorResponse> {
        self.set_faults(req.json()?);
        Ok(control::empty_ok())
    }

    fn log(&self, brief: bool) -> EngineLog {
        let state = self.state.lock();
        let generations = if brief {
            Vec::new()
        } else {
            state.batch.generations.clone()
        };
        EngineLog {
            lifecycle: self.lifecycle.log(),
            capacity: self.settings.capacity,
            totals: state.batch.totals,
            commands: state.commands.clone(),
            generations,
        }
    }
}

impl Engine {
    /// Injects faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.set_faults(faults);
    }

    /// Log of the engine so far, with all generations.
    #[must_use]
    pub fn log(&self) -> EngineLog {
        self.inner.log(false)
    }
}

#[async_trait]
impl Handler for Engine {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let Some(req) = ReceivedRequest::read(req).await else {
            return Reply::new(400).done();
        };
        let inner = &self.inner;
        if let Some(stream) = req.path.strip_prefix(STREAMS) {
            return match req.method.as_str() {
                "DELETE" => inner.cancel(stream),
                _ => inner.resume(&req, stream),
            };
        }
        match req.path.as_str() {
            "/v1/chat/completions" => inner.generate(&req, Api::Chat).await,
            "/v1/completions" => inner.generate(&req, Api::Completions).await,
            "/v1/orders" => inner
                .handle_command(&req)
                .unwrap_or_else(|response| *response),
            "/load" => inner.lifecycle.load(),
            "/cache-events" => inner.cache_events(&req),
            "/control/faults" => inner.control(&req).unwrap_or_else(|response| *response),
            "/control/log" => Reply::json(200, &inner.log(req.query == "brief")).done(),
            _ => control::not_found(),
        }
    }
}

fn sse(body: Body) -> Reply {
    Reply::new(200)
        .with_header("content-type", "text/event-stream")
        .with_body(body)
}
