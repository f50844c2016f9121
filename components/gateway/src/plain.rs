//! Calls to plain services.

use std::{pin::pin, sync::Arc};

use ::quarantine::Fingerprint;
use events::Event;
use futures_lite::future;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Share};
use targets::{PlainAnswer, PlainCall, TargetError};
use types::{Class, Moment, Refusal, Run};

use crate::{
    admission::{AdmissionRequest, PermitHandle, WorkOutcome},
    attempt::truthful,
    forward,
    gateway::Core,
    generate::DEFAULT_IN_FLIGHT,
    idempotency,
    in_flight::InFlightGuard,
    metrics::Outcome,
    refusals,
    request::{self, Caller, Wishes},
};

/// Header with a caller's idempotency key.
const KEY: &str = "idempotency-key";

/// A plain call on its way through the gateway.
pub struct PlainRequest {
    /// The gateway.
    pub core: Arc<Core>,
    /// What admission needs to know.
    pub admission_request: AdmissionRequest,
    /// The call for the service.
    pub call: PlainCall,
    /// What stays the same of it when it is sent again.
    pub fingerprint: Fingerprint,
    /// Memory that the body takes up.
    pub _share: Share,
    /// Counts it as in flight.
    pub flight: InFlightGuard,
}

/// Answers a plain call.
pub async fn answer(
    core: &Arc<Core>,
    caller: Caller,
    req: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let wishes = Wishes::read(req.headers())?;
    let method = req.method().clone();
    let path = forward::path(req.uri())?;
    let rule = caller
        .current
        .in_force
        .plain(&caller.workspace, method.as_str(), req.uri().path())
        .ok_or_else(|| refusals::no_route("no route of this workspace leads to this path"))?;
    let limit = rule.knobs.in_flight.unwrap_or(DEFAULT_IN_FLIGHT);
    let class = wishes.class(rule.knobs.class);
    let flight = core.flights.enter(&caller.workspace, limit, class)?;
    let key = request::header(req.headers(), KEY)?.map(str::to_owned);
    let headers = forward::request_headers(req.headers());
    let held = request::body(core, req).await?;
    let idempotent = rule.knobs.idempotent.unwrap_or_else(|| method.is_safe());
    let deadline = wishes.deadline(caller.arrived, rule.knobs.deadline_ms);
    let fingerprint = Fingerprint::new(&[
        method.as_str().as_bytes(),
        path.as_bytes(),
        caller.workspace.as_bytes(),
        &held.bytes,
    ]);
    let request = PlainRequest {
        core: Arc::clone(core),
        fingerprint,
        admission_request: admission_request(&caller, &rule, class, deadline, idempotent),
        call: PlainCall {
            method: method.as_str().into(),
            path,
            headers,
            body: held.bytes,
            request: core.request_name(),
        },
        _share: held.share,
        flight,
    };
    match key {
        Some(key) if !idempotent => idempotency::answer(request, &caller, &key).await,
        // Without a key a caller that goes away drops all of this.
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
    /// Runs the call: an idempotent one again as long as admission allows, any other one once.
    /// Nothing is sent any more once `gone` completes.
    pub async fn run(&self, gone: impl Future<Output = ()>) -> Result<PlainAnswer, Refusal> {
        let result = self.try_on(gone).await;
        self.note(&result);
        result
    }

    /// Notes how the request ended.
    pub fn note(&self, result: &Result<PlainAnswer, Refusal>) {
        let run = result.as_ref().map_err(|refusal| refusal.run);
        self.flight
            .note(run.map_or_else(Into::into, |_| Outcome::Whole));
    }

    async fn try_on(&self, gone: impl Future<Output = ()>) -> Result<PlainAnswer, Refusal> {
        let mut gone = pin!(gone);
        self.core.check(&self.fingerprint)?;
        let admit = self.core.admission.admit(self.admission_request.clone());
        let admit = self.core.permit(self.admission_request.deadline, admit);
        let mut permit = unless(gone.as_mut(), admit).await?;
        let mut ever_ran = false;
        loop {
            let sent = self.core.admission.now();
            let tried = self.attempt(permit.as_ref()).await;
            if matches!(tried, Err((WorkOutcome::Failed, true))) {
                let (kind, target) = (self.admission_request.kind, permit.target());
                self.core.look_into(self.fingerprint, kind, target, sent);
            }
            let outcome = match tried {
                Ok((outcome, answer)) => {
                    self.core.quarantine.record_success(&self.fingerprint);
                    permit.finish(outcome);
                    return Ok(answer);
                }
                Err((outcome, ran)) if ran && !self.admission_request.idempotent => {
                    self.tell_lost(permit.as_ref());
                    permit.finish(outcome);
                    return Err(refusals::lost(
                        "the call was sent once and may have run; it was not sent again",
                    ));
                }
                Err((outcome, ran)) => {
                    ever_ran |= ran;
                    outcome
                }
            };
            if let Err(refusal) = self.core.check(&self.fingerprint) {
                permit.finish(outcome);
                return Err(truthful(refusal, ever_ran));
            }
            self.core.metrics.retried();
            let again = self
                .core
                .permit(self.admission_request.deadline, permit.retry(outcome));
            let again = unless(gone.as_mut(), again).await;
            permit = again.map_err(|refusal| truthful(refusal, ever_ran))?;
        }
    }

    fn tell_lost(&self, permit: &dyn PermitHandle) {
        events::emit(&Event::CallLost {
            workspace: self.admission_request.workspace.clone(),
            target: permit.target().id.clone(),
            request: Arc::clone(&self.call.request),
        });
    }

    /// One try. Without an answer: how it ended, and whether it may have run.
    async fn attempt(
        &self,
        permit: &dyn PermitHandle,
    ) -> Result<(WorkOutcome, PlainAnswer), (WorkOutcome, bool)> {
        let patience = self.core.left(self.admission_request.deadline);
        if patience.is_zero() || !permit.may_send() {
            return Err((WorkOutcome::Unsent, false));
        }
        let begun = self.core.timer.now();
        let call = self.core.plain.call(permit.target(), &self.call, patience);
        match call.await {
            Ok(answer) => {
                let took = self.core.timer.now().saturating_sub(begun);
                let outcome = WorkOutcome::Finished {
                    produced: 0,
                    first: took,
                    took,
                };
                Ok((outcome, answer))
            }
            Err(TargetError::Wrong { status, body }) => {
                let answer = PlainAnswer {
                    status,
                    headers: Vec::new(),
                    body,
                };
                Ok((WorkOutcome::Cancelled { produced: 0 }, answer))
            }
            Err(TargetError::Unsent { .. }) => Err((WorkOutcome::Unreachable, false)),
            Err(TargetError::Turned { .. }) => Err((WorkOutcome::Overloaded, false)),
            Err(TargetError::Lost { .. } | TargetError::Gone) => Err((WorkOutcome::Failed, true)),
        }
    }
}

/// Waits for a permit as long as the caller is there.
async fn unless(
    gone: impl Future<Output = ()>,
    permit: impl Future<Output = Result<Box<dyn PermitHandle>, Refusal>>,
) -> Result<Box<dyn PermitHandle>, Refusal> {
    let left = async {
        gone.await;
        Err(refusals::caller_left())
    };
    future::or(left, permit).await
}

/// Whether a refusal proves that the call did not run.
pub fn proves_not_run(refusal: &Refusal) -> bool {
    refusal.run == Run::NotRun
}
