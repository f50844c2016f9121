//! Requests for generations: admission, attempts until the first token, then a streamed or a
//! buffered answer.

use std::sync::Arc;

use ::quarantine::Fingerprint;
use futures_lite::future;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Share};
use relay::StreamError;
use targets::{EngineCall, StreamItem};
use tree::RouteRule;
use types::{Class, Moment, Refusal, Target, Tokens};

use crate::{
    admission::{AdmissionRequest, WorkOutcome},
    attempt::{self, Attempt, AttemptEvent, AttemptResult, with_earlier_runs},
    buffered,
    completion_request::{Api, CompletionRequest},
    gateway::Core,
    in_flight::InFlightGuard,
    prefix,
    prompt_parts::{self, SharedParts, SoundnessWatch},
    quarantine::{CrashChecks, LostRun},
    refusals,
    request::{self, Caller, RequestOptions},
    writer,
};

/// Largest number of tokens to produce if the configuration sets none.
const DEFAULT_MAX_OUTPUT: Tokens = 1024;
/// Requests that a workspace may have in flight if the configuration sets no limit.
pub const DEFAULT_IN_FLIGHT: u32 = 1000;

/// A request for a generation while the gateway processes it.
pub struct Generation {
    /// The gateway's shared state.
    pub core: Arc<Core>,
    /// The caller.
    pub caller: Caller,
    /// The route.
    pub rule: RouteRule,
    /// Urgency.
    pub class: Class,
    /// When the first token must have arrived.
    pub deadline: Moment,
    /// Largest number of tokens to produce.
    pub max_output: Tokens,
    /// The parsed request body.
    pub completion: CompletionRequest,
    /// Identifies the request across retries.
    pub fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share.
    pub shared_parts: SharedParts,
    /// Memory reserved for the body.
    pub _share: Share,
    /// Counts the request as in flight.
    pub in_flight: InFlightGuard,
}

/// Answers a request for a generation.
pub async fn answer(
    core: &Arc<Core>,
    caller: Caller,
    api: Api,
    req: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let options = RequestOptions::read(req.headers())?;
    let body = request::body(core, req).await?;
    let completion = CompletionRequest::parse(api, &body.bytes)?;
    let rule = caller
        .current
        .effective
        .model(&caller.workspace, &completion.model, &options.route)
        .ok_or_else(|| refusals::no_model(&completion.model, &options.route))?;
    let limit = rule.knobs.in_flight.unwrap_or(DEFAULT_IN_FLIGHT);
    let class = options.class(rule.knobs.class);
    let in_flight = core.in_flight.enter(&caller.workspace, limit, class)?;
    let max_allowed = rule.knobs.max_output.unwrap_or(DEFAULT_MAX_OUTPUT);
    let fingerprint = Fingerprint::new(&[
        api.path().as_bytes(),
        options.route.as_bytes(),
        caller.workspace.as_bytes(),
        &body.bytes,
    ]);
    let shared_parts =
        SharedParts::of_chat(&rule.service, &completion.prompt, &completion.message_ends);
    let generation = Generation {
        core: Arc::clone(core),
        fingerprint,
        shared_parts,
        class,
        deadline: options.deadline(caller.arrived, rule.knobs.deadline_ms),
        max_output: completion
            .max_output
            .map_or(max_allowed, |wanted| wanted.min(max_allowed)),
        caller,
        rule,
        completion,
        _share: body.share,
        in_flight,
    };
    if generation.completion.stream {
        writer::answer(generation).await
    } else {
        buffered::answer(generation).await
    }
}

impl Generation {
    /// Returns what admission needs to know of the request.
    pub fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            service: self.rule.service.clone(),
            kind: self.rule.kind,
            workspace: self.caller.workspace.clone(),
            route: self.rule.route.clone(),
            class: self.class,
            deadline: self.deadline,
            // A generation may run again as long as the caller has received no token of it.
            idempotent: true,
            prompt_tokens: self.completion.prompt_tokens,
            max_output: self.max_output,
            prefix: prefix::hashes(&self.completion.prompt),
            true_output: self.completion.true_output,
        }
    }

    /// Returns the call to send to the engine, with a new request id.
    pub fn engine_call(&self) -> EngineCall {
        EngineCall {
            path: self.completion.api.path().into(),
            body: self.completion.for_engine(self.max_output, self.class),
            request: self.core.new_request_id(),
        }
    }

    /// Makes one attempt: starts the generation and waits for its first item.
    pub async fn start(&self, attempt: &mut Attempt) -> AttemptResult<StartedGeneration> {
        if !attempt.permit().may_send() {
            return AttemptResult::Retry {
                outcome: WorkOutcome::Unsent,
                ran: false,
            };
        }
        let call = self.engine_call();
        let target = attempt.permit().target().clone();
        attempt.sent = true;
        match self.wait_for_start(attempt, &target, &call).await {
            Ok(()) => {}
            Err(event) => return attempt.give_up(event).await,
        }
        let deadline = async {
            self.until_deadline().await;
            AttemptEvent::DeadlineExceeded
        };
        match future::or(attempt.next(), deadline).await {
            AttemptEvent::StreamItem(item) => {
                attempt.watch = Some(SoundnessWatch::new(&self.core, &self.shared_parts));
                AttemptResult::Success(StartedGeneration {
                    item,
                    request: call.request,
                })
            }
            event => attempt.give_up(event).await,
        }
    }

    /// Waits until the engine accepts the request or the permit is revoked, and stores the stream
    /// in the attempt.
    async fn wait_for_start(
        &self,
        attempt: &mut Attempt,
        target: &Target,
        call: &EngineCall,
    ) -> Result<(), AttemptEvent> {
        let mut stream = None;
        let permit = attempt.permit();
        let may_send = || permit.may_send() && self.caller.gate.pass();
        let started = async {
            let start = self.core.relay.start_if(target, call, &may_send);
            start.await.map_err(AttemptEvent::StartFailed)
        };
        let deadline = async {
            self.until_deadline().await;
            Err(AttemptEvent::DeadlineExceeded)
        };
        let event = attempt::unless_revoked(permit, async {
            match future::or(started, deadline).await {
                Ok(started) => {
                    stream = Some(started);
                    // Ignored: `stream` shows that the generation has started.
                    AttemptEvent::StreamFailed(StreamError::Gone)
                }
                Err(event) => event,
            }
        })
        .await;
        attempt.stream = stream;
        match attempt.stream {
            Some(_) => Ok(()),
            None => Err(event),
        }
    }

    async fn until_deadline(&self) {
        self.core
            .timer
            .sleep(self.core.time_left(self.deadline))
            .await;
    }

    /// Makes attempts until one succeeds or admission allows no further one. A failure is recorded
    /// as the outcome of the request.
    pub async fn with_retries<T, F>(
        &self,
        run_attempt: impl FnMut(Attempt) -> F,
    ) -> Result<(Attempt, T), Refusal>
    where
        F: Future<Output = (Attempt, AttemptResult<T>)>,
    {
        self.run_attempts(run_attempt)
            .await
            .inspect_err(|refusal| self.in_flight.set_outcome(refusal.execution.into()))
    }

    /// Refuses the request if a part of its prompt is quarantined; waits for the outcome of a probe.
    async fn admit_parts(&self, is_probe: &mut bool) -> Result<(), Refusal> {
        if !*is_probe {
            let admission = prompt_parts::admit(&self.core, &self.shared_parts, self.deadline);
            *is_probe = admission.await?;
        }
        Ok(())
    }

    async fn run_attempts<T, F>(
        &self,
        mut run_attempt: impl FnMut(Attempt) -> F,
    ) -> Result<(Attempt, T), Refusal>
    where
        F: Future<Output = (Attempt, AttemptResult<T>)>,
    {
        self.core.check_quarantine(&self.fingerprint)?;
        let mut is_probe = false;
        self.admit_parts(&mut is_probe).await?;
        let admit = self.core.admission.admit(self.admission_request());
        let mut permit = self.core.wait_for_permit(self.deadline, admit).await?;
        let mut ever_ran = false;
        let mut checks = CrashChecks::default();
        loop {
            let (target, sent_at) = (permit.target().clone(), self.core.admission.now());
            let (attempt, result) = run_attempt(Attempt::new(permit)).await;
            match result {
                AttemptResult::Success(value) => return Ok((attempt, value)),
                AttemptResult::Failed { outcome, refusal } => {
                    if let Some(outcome) = outcome {
                        attempt.take().0.finish(outcome);
                    }
                    return Err(with_earlier_runs(refusal, ever_ran));
                }
                AttemptResult::Retry { outcome, ran } => {
                    ever_ran |= ran;
                    if ran && outcome == WorkOutcome::Failed {
                        let run = LostRun {
                            fingerprint: self.fingerprint,
                            shared_parts: attempt.suspect_parts(&self.shared_parts),
                            kind: self.rule.kind,
                            sent_at,
                        };
                        self.core.detect_crash_again(&mut checks, run, &target);
                    }
                    self.core.settle_crash_checks(&checks, self.deadline).await;
                    let checked = match self.core.check_quarantine(&self.fingerprint) {
                        Ok(()) => self.admit_parts(&mut is_probe).await,
                        refused => refused,
                    };
                    if let Err(refusal) = checked {
                        attempt.take().0.finish(outcome);
                        return Err(with_earlier_runs(refusal, ever_ran));
                    }
                    self.core.metrics.record_retry();
                    let retry = attempt.take().0.retry(outcome);
                    let retry = self.core.wait_for_permit(self.deadline, retry).await;
                    permit = retry.map_err(|refusal| with_earlier_runs(refusal, ever_ran))?;
                }
            }
        }
    }
}

/// A generation whose first item has arrived.
pub struct StartedGeneration {
    /// The first item.
    pub item: StreamItem,
    /// The request id that the engine received.
    pub request: Arc<str>,
}

impl StartedGeneration {
    /// Returns the number of tokens produced so far.
    pub const fn produced(&self) -> Tokens {
        match self.item {
            StreamItem::Tokens { first, count, .. } => first + count,
            StreamItem::End => 0,
        }
    }
}
