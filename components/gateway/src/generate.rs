//! Generations: admission, tries until the first token, then a stream or a whole answer.

use std::sync::Arc;

use futures_lite::future;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Share};
use relay::Running;
use targets::{EngineCall, Piece, TargetError};
use tree::RouteRule;
use types::{Class, Moment, Refusal, Run, Tokens};

use crate::{
    admission::{Admitted, Ending, Wanted},
    call::{Api, Call},
    flight::Flight,
    parts::Core,
    prefix, refusals,
    request::{self, Caller, Wishes},
    whole, writer,
};

/// Tokens of an answer where neither caller nor configuration says.
const DEFAULT_MAX_OUTPUT: Tokens = 1024;
/// Requests of a workspace in flight where the configuration does not say.
pub const DEFAULT_IN_FLIGHT: u32 = 1000;

/// A generation on its way through the gateway.
pub struct Generation {
    /// The gateway.
    pub core: Arc<Core>,
    /// The caller.
    pub caller: Caller,
    /// The route.
    pub rule: RouteRule,
    /// The urgency.
    pub class: Class,
    /// When the first token must have come.
    pub deadline: Moment,
    /// The most tokens to produce.
    pub max_output: Tokens,
    /// The request's body, read.
    pub call: Call,
    /// Memory that the body takes up.
    pub _share: Share,
    /// Counts it as in flight.
    pub flight: Flight,
}

/// What one try came to.
pub enum Tried<T> {
    /// It gave this.
    Good(T),
    /// It gave nothing; another try may be made.
    Again {
        /// How it ended.
        ending: Ending,
        /// Whether the engine may have run any of it.
        ran: bool,
    },
    /// It failed for good.
    Over {
        /// How it ended.
        ending: Ending,
        /// What to tell the caller.
        refusal: Refusal,
    },
}

/// What happened first.
pub enum Step {
    /// A piece came.
    Piece(Piece),
    /// The permit was pulled back.
    PulledBack,
    /// The deadline passed.
    Late,
    /// The engine did not start it.
    NotStarted(TargetError),
    /// It can't go on.
    Broken,
}

/// Answers a request for a generation.
pub async fn answer(
    core: &Arc<Core>,
    caller: Caller,
    api: Api,
    req: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let wishes = Wishes::read(req.headers())?;
    let held = request::body(core, req).await?;
    let call = Call::read(api, &held.bytes)?;
    let rule = caller
        .current
        .in_force
        .model(&caller.workspace, &call.model, &wishes.route)
        .ok_or_else(|| refusals::no_model(&call.model, &wishes.route))?;
    let limit = rule.knobs.in_flight.unwrap_or(DEFAULT_IN_FLIGHT);
    let class = wishes.class(rule.knobs.class);
    let flight = core.flights.enter(&caller.workspace, limit, class)?;
    let most = rule.knobs.max_output.unwrap_or(DEFAULT_MAX_OUTPUT);
    let generation = Generation {
        core: Arc::clone(core),
        class,
        deadline: wishes.deadline(caller.arrived, rule.knobs.deadline_ms),
        max_output: call.max_output.map_or(most, |wish| wish.min(most)),
        caller,
        rule,
        call,
        _share: held.share,
        flight,
    };
    if generation.call.stream {
        writer::answer(generation).await
    } else {
        whole::answer(generation).await
    }
}

impl Generation {
    /// What admission needs to know.
    pub fn wanted(&self) -> Wanted {
        Wanted {
            service: self.rule.service.clone(),
            kind: self.rule.kind,
            workspace: self.caller.workspace.clone(),
            route: self.rule.route.clone(),
            class: self.class,
            deadline: self.deadline,
            // No token out means that it may run again.
            idempotent: true,
            prompt: self.call.prompt_tokens,
            max_output: self.max_output,
            prefix: prefix::hashes(&self.call.prompt),
            true_output: self.call.true_output,
        }
    }

    /// What the engine gets.
    pub fn engine_call(&self) -> EngineCall {
        EngineCall {
            path: self.call.api.path().into(),
            body: self.call.for_engine(self.max_output, self.class),
            request: self.core.request_name(),
        }
    }

    /// One try: starts the generation and waits for its first piece.
    pub async fn begin(&self, permit: &dyn Admitted) -> Tried<Begun> {
        if !permit.may_send() {
            return Tried::Again {
                ending: Ending::Unsent,
                ran: false,
            };
        }
        let call = self.engine_call();
        let mut running = None;
        let work = async {
            match self.core.relay.start(permit.target(), &call).await {
                Ok(started) => next(running.insert(started)).await,
                Err(e) => Step::NotStarted(e),
            }
        };
        let late = async {
            self.core.timer.sleep(self.core.left(self.deadline)).await;
            Step::Late
        };
        let step = guarded(permit, future::or(work, late)).await;
        match (step, running) {
            (Step::Piece(piece), Some(running)) => Tried::Good(Begun {
                running,
                piece,
                request: call.request,
            }),
            (step, running) => give_up(step, running).await,
        }
    }

    /// Tries until one is good, within what admission allows.
    pub async fn tries<T, F>(
        &self,
        attempt: impl FnMut(Box<dyn Admitted>) -> F,
    ) -> Result<(Box<dyn Admitted>, T), Refusal>
    where
        F: Future<Output = (Box<dyn Admitted>, Tried<T>)>,
    {
        self.try_on(attempt)
            .await
            .inspect_err(|refusal| self.flight.note(refusal.run.into()))
    }

    async fn try_on<T, F>(
        &self,
        mut attempt: impl FnMut(Box<dyn Admitted>) -> F,
    ) -> Result<(Box<dyn Admitted>, T), Refusal>
    where
        F: Future<Output = (Box<dyn Admitted>, Tried<T>)>,
    {
        let mut permit = self.core.admission.admit(self.wanted()).await?;
        let mut ever_ran = false;
        loop {
            let (tried_permit, tried) = attempt(permit).await;
            match tried {
                Tried::Good(good) => return Ok((tried_permit, good)),
                Tried::Over { ending, refusal } => {
                    tried_permit.end(ending);
                    return Err(truthful(refusal, ever_ran));
                }
                Tried::Again { ending, ran } => {
                    ever_ran |= ran;
                    self.core.metrics.retried();
                    let again = tried_permit.again(ending).await;
                    permit = again.map_err(|refusal| truthful(refusal, ever_ran))?;
                }
            }
        }
    }
}

/// A generation whose first piece has come.
pub struct Begun {
    /// The generation.
    pub running: Running,
    /// Its first piece.
    pub piece: Piece,
    /// The request's name, as the engine got it.
    pub request: Arc<str>,
}

/// Waits for the next piece.
pub async fn next(running: &mut Running) -> Step {
    match running.next().await {
        Ok(piece) => Step::Piece(piece),
        Err(_) => Step::Broken,
    }
}

/// Does something that no caller sees yet, until the permit is pulled back. Pulling back comes
/// first, so that no token goes out after it.
pub async fn guarded(admitted: &dyn Admitted, work: impl Future<Output = Step>) -> Step {
    let pulled = async {
        admitted.pulled_back().await;
        Step::PulledBack
    };
    future::or(pulled, work).await
}

/// What a step other than a piece means while the caller has seen nothing. Cancels what runs.
pub async fn give_up<T>(step: Step, running: Option<Running>) -> Tried<T> {
    let ending = match running {
        Some(running) => cancelled(running).await,
        None => Ending::Cancelled { produced: 0 },
    };
    match step {
        Step::Piece(_) | Step::PulledBack => Tried::Again { ending, ran: true },
        Step::Late => Tried::Over {
            ending,
            refusal: refusals::deadline(Run::Unknown),
        },
        Step::Broken => Tried::Again {
            ending: Ending::Failed,
            ran: true,
        },
        Step::NotStarted(e) => not_started(e),
    }
}

/// Cancels a generation. The engine's memory must be free again before the account says so; if
/// the engine could not be told, the work may run on, and the account has to go on counting it.
pub async fn cancelled(running: Running) -> Ending {
    let produced = running.produced();
    if running.cancel().await {
        Ending::Cancelled { produced }
    } else {
        Ending::Failed
    }
}

fn not_started<T>(error: TargetError) -> Tried<T> {
    match error {
        TargetError::Unsent { .. } => Tried::Again {
            ending: Ending::Failed,
            ran: false,
        },
        TargetError::Turned { .. } => Tried::Again {
            ending: Ending::Overloaded,
            ran: false,
        },
        TargetError::Wrong { status, body } => Tried::Over {
            ending: Ending::Cancelled { produced: 0 },
            refusal: engine_refusal(status, &body),
        },
        TargetError::Lost { .. } | TargetError::Gone => Tried::Again {
            ending: Ending::Failed,
            ran: true,
        },
    }
}

/// The engine found the request wrong: it tells so before it runs anything.
fn engine_refusal(status: u16, body: &[u8]) -> Refusal {
    let said = String::from_utf8_lossy(&body[..body.len().min(500)]);
    Refusal::new(
        status,
        "engine-refused",
        "The engine refused the request",
        &said,
    )
}

/// A refusal of a later try must not say `not-run` when an earlier one may have run.
pub fn truthful(refusal: Refusal, ran: bool) -> Refusal {
    if ran && refusal.run == Run::NotRun {
        return refusal.with_run(Run::Unknown);
    }
    refusal
}
