//! Calls to plain HTTP services.

use std::{pin::pin, sync::Arc};

use ::quarantine::Fingerprint;
use events::Event;
use futures_lite::future;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Share};
use targets::{PlainAnswer, PlainCall, TargetError};
use types::{Class, Execution, Moment, Refusal};

use crate::{
    admission::{AdmissionRequest, PermitHandle, WorkOutcome},
    attempt::with_earlier_runs,
    forward,
    gateway::Core,
    generate::DEFAULT_IN_FLIGHT,
    idempotency,
    in_flight::InFlightGuard,
    metrics::Outcome,
    prompt_parts::SharedParts,
    quarantine::{CrashChecks, LostRun},
    refusals,
    request::{self, Caller, RequestOptions},
    send_gate::SendGate,
};

/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A plain call while the gateway processes it.
pub struct PlainRequest {
    /// The gateway's shared state.
    pub core: Arc<Core>,
    /// What admission needs to know of the call.
    pub admission_request: AdmissionRequest,
    /// The call to send to the service.
    pub call: PlainCall,
    /// What the call passes before it is sent.
    pub gate: SendGate,
    /// Identifies the request across retries.
    pub fingerprint: Fingerprint,
    /// Memory reserved for the body.
    pub _share: Share,
    /// Counts the request as in flight.
    pub in_flight: InFlightGuard,
}

/// Answers a plain call.
pub async fn answer(
    core: &Arc<Core>,
    caller: Caller,
    req: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let options = RequestOptions::read(req.headers())?;
    let method = req.method().clone();
    let path = forward::path(req.uri())?;
    let rule = caller
        .current
        .effective
        .plain(&caller.workspace, method.as_str(), req.uri().path())
        .ok_or_else(|| refusals::no_route("no route of this workspace leads to this path"))?;
    let limit = rule.knobs.in_flight.unwrap_or(DEFAULT_IN_FLIGHT);
    let class = options.class(rule.knobs.class);
    let in_flight = core.in_flight.enter(&caller.workspace, limit, class)?;
    let key = request::header(req.headers(), IDEMPOTENCY_KEY)?.map(str::to_owned);
    let headers = forward::request_headers(req.headers());
    let body = request::body(core, req).await?;
    let idempotent = rule.knobs.idempotent.unwrap_or_else(|| method.is_safe());
    let deadline = options.deadline(caller.arrived, rule.knobs.deadline_ms);
    let fingerprint = Fingerprint::new(&[
        method.as_str().as_bytes(),
        path.as_bytes(),
        caller.workspace.as_bytes(),
        &body.bytes,
    ]);
    let request = PlainRequest {
        core: Arc::clone(core),
        gate: caller.gate.clone(),
        fingerprint,
        admission_request: admission_request(&caller, &rule, class, deadline, idempotent),
        call: PlainCall {
            method: method.as_str().into(),
            path,
            headers,
            body: body.bytes,
            request: core.new_request_id(),
        },
        _share: body.share,
        in_flight,
    };
    match key {
        Some(key) if !idempotent => idempotency::answer(request, &caller, &key).await,
        // Without a key, the call is dropped together with the connection of its caller.
        _ => {
            let answer = request.run(future::pending()).await?;
            Ok(forward::response(&answer, &request.call.request))
        }
    }
}

fn admission_request(
    caller: &Caller,
    rule: &tree::RouteRule,
    class: Class,
    deadline: Moment,
    idempotent: bool,
) -> AdmissionRequest {
    AdmissionRequest {
        service: rule.service.clone(),
        kind: rule.kind,
        workspace: caller.workspace.clone(),
        route: rule.route.clone(),
        class,
        deadline,
        idempotent,
        prompt_tokens: 0,
        max_output: 0,
        prefix: Vec::new(),
        true_output: None,
    }
}

impl PlainRequest {
    /// Runs the call. An idempotent call is retried as long as admission allows; any other call is
    /// retried only if it did not run. Nothing is sent any more once `caller_left` completes.
    pub async fn run(&self, caller_left: impl Future<Output = ()>) -> Result<PlainAnswer, Refusal> {
        let result = self.run_attempts(caller_left).await;
        self.record_result(&result);
        result
    }

    /// Records how the request ended.
    pub fn record_result(&self, result: &Result<PlainAnswer, Refusal>) {
        let execution = result.as_ref().map_err(|refusal| refusal.execution);
        self.in_flight
            .set_outcome(execution.map_or_else(Into::into, |_| Outcome::Whole));
    }

    async fn run_attempts(
        &self,
        caller_left: impl Future<Output = ()>,
    ) -> Result<PlainAnswer, Refusal> {
        let mut caller_left = pin!(caller_left);
        self.core.check_quarantine(&self.fingerprint)?;
        let admit = self.core.admission.admit(self.admission_request.clone());
        let admit = self
            .core
            .wait_for_permit(self.admission_request.deadline, admit);
        let mut permit = unless_caller_left(caller_left.as_mut(), admit).await?;
        let mut ever_ran = false;
        let mut checks = CrashChecks::default();
        loop {
            let sent_at = self.core.admission.now();
            let result = self.attempt(permit.as_ref()).await;
            if matches!(result, Err((WorkOutcome::Failed, true))) {
                let run = LostRun {
                    fingerprint: self.fingerprint,
                    shared_parts: SharedParts::default(),
                    kind: self.admission_request.kind,
                    sent_at,
                };
                self.core
                    .detect_crash_again(&mut checks, run, permit.target());
            }
            let outcome = match result {
                Ok((outcome, answer)) => {
                    self.core.quarantine.record_success(&self.fingerprint);
                    permit.finish(outcome);
                    return Ok(answer);
                }
                Err((outcome, ran)) if ran && !self.admission_request.idempotent => {
                    self.log_lost_call(permit.as_ref());
                    permit.finish(outcome);
                    return Err(refusals::answer_lost(
                        "the call was sent once and may have run; it was not sent again",
                    ));
                }
                Err((outcome, ran)) => {
                    ever_ran |= ran;
                    outcome
                }
            };
            let deadline = self.admission_request.deadline;
            self.core.settle_crash_checks(&checks, deadline).await;
            if let Err(refusal) = self.core.check_quarantine(&self.fingerprint) {
                permit.finish(outcome);
                return Err(with_earlier_runs(refusal, ever_ran));
            }
            self.core.metrics.record_retry();
            let retry = self
                .core
                .wait_for_permit(self.admission_request.deadline, permit.retry(outcome));
            let retry = unless_caller_left(caller_left.as_mut(), retry).await;
            permit = retry.map_err(|refusal| with_earlier_runs(refusal, ever_ran))?;
        }
    }

    fn log_lost_call(&self, permit: &dyn PermitHandle) {
        events::emit(&Event::CallLost {
            workspace: self.admission_request.workspace.clone(),
            target: permit.target().id.clone(),
            request: Arc::clone(&self.call.request),
        });
    }

    /// Makes one attempt. Without an answer, returns how the work ended and whether it may have
    /// run.
    async fn attempt(
        &self,
        permit: &dyn PermitHandle,
    ) -> Result<(WorkOutcome, PlainAnswer), (WorkOutcome, bool)> {
        let timeout = self.core.time_left(self.admission_request.deadline);
        if timeout.is_zero() || !permit.may_send() {
            return Err((WorkOutcome::Unsent, false));
        }
        let started_at = self.core.timer.now();
        let may_send = || permit.may_send() && self.gate.pass();
        let plain = &self.core.plain;
        let call = plain.call_if(permit.target(), &self.call, timeout, &may_send);
        match call.await {
            Ok(answer) => {
                let took = self.core.timer.now().saturating_sub(started_at);
                let outcome = WorkOutcome::Finished {
                    produced: 0,
                    first: took,
                    took,
                };
                Ok((outcome, answer))
            }
            Err(TargetError::ClientError { status, body }) => {
                let answer = PlainAnswer {
                    status,
                    headers: Vec::new(),
                    body,
                };
                Ok((WorkOutcome::Cancelled { produced: 0 }, answer))
            }
            Err(TargetError::Unsent { .. }) => Err((WorkOutcome::Unreachable, false)),
            Err(TargetError::Closed { .. }) => Err((WorkOutcome::Overloaded, false)),
            Err(TargetError::Withheld) => Err((WorkOutcome::Unsent, false)),
            Err(TargetError::Rejected { is_certain, .. }) => {
                Err((WorkOutcome::Overloaded, !is_certain))
            }
            Err(TargetError::Lost { .. } | TargetError::Gone) => Err((WorkOutcome::Failed, true)),
        }
    }
}

/// Waits for a permit, or for the caller to disconnect.
async fn unless_caller_left(
    caller_left: impl Future<Output = ()>,
    permit: impl Future<Output = Result<Box<dyn PermitHandle>, Refusal>>,
) -> Result<Box<dyn PermitHandle>, Refusal> {
    let abandoned = async {
        caller_left.await;
        Err(refusals::caller_left())
    };
    future::or(abandoned, permit).await
}

/// Whether the refusal guarantees that the call did not run.
pub fn proves_not_run(refusal: &Refusal) -> bool {
    refusal.execution == Execution::NotRun
}
