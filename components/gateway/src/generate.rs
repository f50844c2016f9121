//! Generations: admission, tries until the first token, then a stream or a whole answer.

use std::sync::Arc;

use ::quarantine::Fingerprint;
use futures_lite::future;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Share};
use relay::ActiveStream;
use targets::{EngineCall, Piece};
use tree::RouteRule;
use types::{Class, Moment, Refusal, Tokens};

use crate::{
    admission::{AdmissionRequest, WorkOutcome},
    attempt::{self, Step, Tried, Work, truthful},
    buffered,
    completion_request::{Api, Call},
    gateway::Core,
    in_flight::InFlightGuard,
    prefix, refusals,
    request::{self, Caller, Wishes},
    writer,
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
    /// What stays the same of it when it is sent again.
    pub fingerprint: Fingerprint,
    /// Memory that the body takes up.
    pub _share: Share,
    /// Counts it as in flight.
    pub flight: InFlightGuard,
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
    let fingerprint = Fingerprint::new(&[
        api.path().as_bytes(),
        wishes.route.as_bytes(),
        caller.workspace.as_bytes(),
        &held.bytes,
    ]);
    let generation = Generation {
        core: Arc::clone(core),
        fingerprint,
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
        buffered::answer(generation).await
    }
}

impl Generation {
    /// What admission needs to know.
    pub fn wanted(&self) -> AdmissionRequest {
        AdmissionRequest {
            service: self.rule.service.clone(),
            kind: self.rule.kind,
            workspace: self.caller.workspace.clone(),
            route: self.rule.route.clone(),
            class: self.class,
            deadline: self.deadline,
            // No token out means that it may run again.
            idempotent: true,
            prompt_tokens: self.call.prompt_tokens,
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
    pub async fn begin(&self, work: &mut Work) -> Tried<Begun> {
        if !work.permit().may_send() {
            return Tried::Again {
                outcome: WorkOutcome::Unsent,
                ran: false,
            };
        }
        let call = self.engine_call();
        let target = work.permit().target().clone();
        work.sent = true;
        let start = async {
            let start = self.core.relay.start(&target, &call);
            let late = async {
                self.late().await;
                Err(Step::Late)
            };
            let started = async { start.await.map_err(Step::NotStarted) };
            future::or(started, late).await
        };
        match self.started(work, start).await {
            Ok(()) => {}
            Err(step) => return work.give_up(step).await,
        }
        let late = async {
            self.late().await;
            Step::Late
        };
        match future::or(work.next(), late).await {
            Step::Piece(piece) => Tried::Good(Begun {
                piece,
                request: call.request,
            }),
            step => work.give_up(step).await,
        }
    }

    /// Waits for the engine to take the request, until the permit is pulled back.
    async fn started(
        &self,
        work: &mut Work,
        start: impl Future<Output = Result<ActiveStream, Step>>,
    ) -> Result<(), Step> {
        let mut running = None;
        let step = attempt::guarded(work.permit(), async {
            match start.await {
                Ok(started) => {
                    running = Some(started);
                    // Not looked at: `running` says that it started.
                    Step::Broken
                }
                Err(step) => step,
            }
        })
        .await;
        work.running = running;
        match work.running {
            Some(_) => Ok(()),
            None => Err(step),
        }
    }

    async fn late(&self) {
        self.core.timer.sleep(self.core.left(self.deadline)).await;
    }

    /// Tries until one is good, within what admission allows.
    pub async fn tries<T, F>(&self, attempt: impl FnMut(Work) -> F) -> Result<(Work, T), Refusal>
    where
        F: Future<Output = (Work, Tried<T>)>,
    {
        self.try_on(attempt)
            .await
            .inspect_err(|refusal| self.flight.note(refusal.run.into()))
    }

    async fn try_on<T, F>(&self, mut attempt: impl FnMut(Work) -> F) -> Result<(Work, T), Refusal>
    where
        F: Future<Output = (Work, Tried<T>)>,
    {
        self.core.check(&self.fingerprint)?;
        let admit = self.core.admission.admit(self.wanted());
        let mut permit = self.core.permit(self.deadline, admit).await?;
        let mut ever_ran = false;
        loop {
            let (target, sent) = (permit.target().clone(), self.core.admission.now());
            let (work, tried) = attempt(Work::new(permit)).await;
            match tried {
                Tried::Good(good) => return Ok((work, good)),
                Tried::Over { outcome, refusal } => {
                    if let Some(outcome) = outcome {
                        work.take().0.finish(outcome);
                    }
                    return Err(truthful(refusal, ever_ran));
                }
                Tried::Again { outcome, ran } => {
                    ever_ran |= ran;
                    if ran && outcome == WorkOutcome::Failed {
                        let kind = self.rule.kind;
                        self.core.look_into(self.fingerprint, kind, &target, sent);
                    }
                    let checked = self.core.check(&self.fingerprint);
                    if let Err(refusal) = checked {
                        work.take().0.finish(outcome);
                        return Err(truthful(refusal, ever_ran));
                    }
                    self.core.metrics.retried();
                    let again = work.take().0.retry(outcome);
                    let again = self.core.permit(self.deadline, again).await;
                    permit = again.map_err(|refusal| truthful(refusal, ever_ran))?;
                }
            }
        }
    }
}

/// A generation whose first piece has come.
pub struct Begun {
    /// Its first piece.
    pub piece: Piece,
    /// The request's name, as the engine got it.
    pub request: Arc<str>,
}

impl Begun {
    /// Tokens so far.
    pub const fn produced(&self) -> Tokens {
        match self.piece {
            Piece::Tokens { first, count, .. } => first + count,
            Piece::End => 0,
        }
    }
}
