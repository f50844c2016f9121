//! Serves generations: sends each to the engine that was assigned to it, or to further ones where that is
//! allowed, then relays the stream.

use std::sync::Arc;

use events::{Event, emit};
use hyper::{Response, body::Incoming, http};
use net::{Body, task_body};
use rates::Reservation;
use smol::future;
use timer::boot_time;
use types::{Moment, TargetId, millis};
use view::Target;

use crate::{
    adapters::ReportedLoad,
    callers::{call::Call, refusal::Refusal},
    generations::{
        active::GenerationHandle,
        assignment::{Assignment, NO_TARGET_RETRY_AFTER, assign_engine, new_handle},
        attempts::{Attempts, Loss, decide, record_give_up, take_retry},
        idle::{Diagnosis, IdleMonitor, diagnose},
        relay::Relay,
        resumption::{Cause, Decision, GiveUp, Position, patience},
        stopping::{self, Stopping},
    },
    quarantine::{
        aggregation, crash_detection,
        parts::{self, Progress},
    },
    reaching::paths,
    rollouts::version_permit::VersionPermit,
    send::{SendOutcome, buffer_response, send},
    state::Front,
    target_rates,
};

/// Engines in a row that may report that they did not run a generation before it is refused.
const MAX_NOT_RUN: usize = 4;
/// Fraction of its time to the first token that a generation waits for the rate limit of an engine.
const RATE_WAIT_FRACTION: f64 = 0.25;

/// A generation that an engine has begun to answer.
pub struct Started {
    /// The assignment to the engine.
    pub assignment: Assignment,
    /// The head of the engine's answer.
    pub head: Box<http::response::Parts>,
    /// The stream.
    pub body: Incoming,
    /// The engine's load, as the head reports it.
    pub load: Option<ReportedLoad>,
    /// When the request was sent.
    pub sent_at: Moment,
    /// The engines that it was sent to.
    pub attempts: Attempts,
}

/// Why no engine has begun a generation, or the error of one that did.
pub enum Failure {
    /// The error of an engine.
    Answer(Response<Body>),
    /// No engine has answered.
    Refusal(Refusal),
}

impl Failure {
    /// The reason, for the log.
    #[must_use]
    pub fn reason(&self) -> Arc<str> {
        match self {
            Self::Answer(resp) => format!("status {}", resp.status()).into(),
            Self::Refusal(refusal) => Arc::clone(&refusal.reason),
        }
    }

    fn into_response(self, front: &Front, call: &Call) -> Response<Body> {
        match self {
            Self::Answer(resp) => {
                front.metrics.count_request(call.kind(), "failed");
                resp
            }
            Self::Refusal(refusal) => front.refuse_call(call, &refusal),
        }
    }
}

/// Serves a generation.
pub async fn serve(front: Arc<Front>, call: Call) -> Response<Body> {
    match start(&front, &call, Attempts::default()).await {
        Ok(started) => stream(&front, &call, started),
        Err(failure) => failure.into_response(&front, &call),
    }
}

/// Starts a generation at an engine; retries on other engines while it certainly has not run, or as the
/// route allows if it may be run again.
///
/// # Errors
/// Returns what the caller is answered if no engine begins it. Once it may have run, that is the failure of
/// the last engine which may have run it: no later refusal may deny the run.
pub async fn start(
    front: &Arc<Front>,
    call: &Call,
    mut attempts: Attempts,
) -> Result<Started, Failure> {
    let mut failure = None;
    loop {
        match try_next(front, call, &mut attempts).await {
            Attempt::Started {
                assignment,
                head,
                body,
                load,
                sent_at,
            } => {
                attempts.runs += 1;
                return Ok(Started {
                    assignment,
                    head,
                    body,
                    load,
                    sent_at,
                    attempts,
                });
            }
            Attempt::Retry if call.execution.may_have_run() && !call.route.is_resumable => {
                let refusal = Refusal::unknown("it may have run, and is not sent again");
                return Err(Failure::Refusal(refusal));
            }
            Attempt::Retry => {}
            Attempt::Answer(resp) => return Err(Failure::Answer(resp)),
            Attempt::Refuse(refusal) => {
                if let Some(loss) = &attempts.loss {
                    record_give_up(front, call, loss, GiveUp::NoEngine);
                }
                return Err(failure.unwrap_or(Failure::Refusal(refusal)));
            }
            Attempt::Failed(loss, latest) => {
                attempts.runs += 1;
                attempts.record_loss(loss.clone());
                match decide(front, call, &attempts, &loss) {
                    Decision::GiveUp(_) => return Err(latest),
                    Decision::Restart => {
                        let cause = loss.cause.label();
                        front.metrics.count_resumption(cause, "restarted");
                    }
                    // Counted once it has been resumed.
                    Decision::Resume { .. } => {}
                }
                if !has_stopped(front, call, &loss).await {
                    return Err(latest);
                }
                failure = Some(latest);
            }
        }
    }
}

/// Makes sure that an engine that failed a generation does not work on it any more.
async fn has_stopped(front: &Arc<Front>, call: &Call, loss: &Loss) -> bool {
    // An engine that answers has ended its run.
    if loss.cause == Cause::ServerError {
        return true;
    }
    let to = stopping::any_destination(front, &loss.target);
    let timeout = patience(call.route.objective, call.time_left());
    let stopping = Stopping {
        id: &call.request.id,
        source: &loss.target,
        to: &to,
        queued_since: Some(loss.sent_at),
    };
    stopping::stop(front, &stopping, timeout).await.is_ok()
}

/// Assigns an engine and sends the generation to it.
async fn try_next(front: &Arc<Front>, call: &Call, attempts: &mut Attempts) -> Attempt {
    if let Err(refusal) = parts::admit(front, call).await {
        return Attempt::Refuse(refusal);
    }
    let mut version = VersionPermit::new(front, &call.service.name);
    let avoid = attempts.avoid();
    let mut assigned = assign_engine(front, call, &avoid, version.choice()).await;
    if assigned.is_err() && version.avoid_new() {
        assigned = assign_engine(front, call, &avoid, version.choice()).await;
    }
    match assigned {
        Ok(target) => attempt(front, call, target, attempts, version).await,
        Err(refusal) => Attempt::Refuse(refusal),
    }
}

/// The outcome of one attempt.
enum Attempt {
    /// The engine has begun to answer.
    Started {
        assignment: Assignment,
        head: Box<http::response::Parts>,
        body: Incoming,
        load: Option<ReportedLoad>,
        sent_at: Moment,
    },
    /// The engine has not run it, and another one is tried.
    Retry,
    /// No engine is tried any more.
    Refuse(Refusal),
    /// The engine's answer, which another engine would give as well.
    Answer(Response<Body>),
    /// The engine may have run it, and the caller gets this if no other one does better.
    Failed(Loss, Failure),
}

async fn attempt(
    front: &Arc<Front>,
    call: &Call,
    target: Arc<Target>,
    attempts: &mut Attempts,
    version: VersionPermit,
) -> Attempt {
    let mut assignment = Assignment::new(front, new_handle(call, &target));
    if let Reservation::Rejected { after } = wait_for_rate(front, call, &target.id).await {
        // Nothing was sent, so this does not count against the retry budget.
        attempts.refused.push(Arc::clone(&target.id));
        assignment.release().await;
        if attempts.refused.len() < MAX_NOT_RUN {
            return Attempt::Retry;
        }
        return Attempt::Refuse(Refusal::not_run("engines in need take no more", after));
    }
    let attempt_number = attempts.next_number();
    if !front.take_cold_permit(&call.service, &target) {
        attempts.refused.push(Arc::clone(&target.id));
        return retry_or_refuse("every engine is cold", assignment, call, attempts).await;
    }
    version.use_up();
    let sent_at = boot_time();
    let outcome = send_first(front, call, &assignment.generation, attempt_number).await;
    record_outcome(front, &target, &outcome);
    match outcome {
        SendOutcome::Response {
            head,
            parsed_head,
            body,
        } if head.status.is_success() => Attempt::Started {
            assignment,
            head,
            body,
            load: parsed_head.load,
            sent_at,
        },
        SendOutcome::Response { head, body, .. } => {
            front.record_answer(call, &target, sent_at, head.status.is_server_error());
            handle_error(front, call, assignment, sent_at, &head, body).await
        }
        SendOutcome::Withheld { reason } | SendOutcome::NotReached { reason } => {
            // Nothing was sent, so this does not count against the retry budget.
            attempts.refused.push(Arc::clone(&target.id));
            assignment.release().await;
            if attempts.refused.len() < MAX_NOT_RUN {
                return Attempt::Retry;
            }
            Attempt::Refuse(Refusal::not_run(reason, NO_TARGET_RETRY_AFTER))
        }
        SendOutcome::NotRun { proof } => {
            // The owner would otherwise give the engine no work of other instances either.
            assignment.target_failed = front.rest_left(&target).is_none();
            attempts.refused.push(Arc::clone(&target.id));
            retry_or_refuse(proof.reason(), assignment, call, attempts).await
        }
        SendOutcome::Rejected { reason } => Attempt::Refuse(Refusal::rejected(&reason)),
        SendOutcome::Unknown { reason, timed_out } => {
            // Not reported as a failure of the engine: the path from here may have failed, and the owner
            // would give the engine no work of other instances either.
            if timed_out {
                paths::verify_soon(front, &target);
            }
            let (cause, refusal) = if timed_out {
                (Cause::TimedOut, Refusal::timed_out(reason))
            } else {
                (Cause::ConnectionLost, Refusal::unknown(reason))
            };
            fail(call, assignment, sent_at, cause, Failure::Refusal(refusal)).await
        }
    }
}

/// Counts the losses of an engine in a row.
fn record_outcome(front: &Front, target: &Target, outcome: &SendOutcome) {
    let now = boot_time();
    match outcome {
        SendOutcome::Response { .. } | SendOutcome::NotRun { .. } => {
            front.avoided_engines.lock().record_answer(&target.id);
        }
        SendOutcome::Unknown {
            timed_out: false, ..
        } => {
            let avoided = front.avoided_engines.lock().record_loss(now, &target.id);
            if let Some(time) = avoided {
                emit(&Event::EngineAvoided {
                    target: Arc::clone(&target.id),
                    for_ms: millis(time),
                });
            }
        }
        SendOutcome::Unknown { .. }
        | SendOutcome::NotReached { .. }
        | SendOutcome::Withheld { .. }
        | SendOutcome::Rejected { .. } => {}
    }
}

/// Sends a generation to its engine and waits for the head of the answer, or until the engine is found to
/// be gone.
async fn send_first(
    front: &Arc<Front>,
    call: &Call,
    generation: &GenerationHandle,
    attempt_number: u32,
) -> SendOutcome {
    let target = generation.target();
    emit(&Event::RequestSent {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&target.id),
        fingerprint: call.fingerprint.to_string().into(),
        parts: call.part_names(),
        sending: attempt_number,
        held_ms: millis(call.elapsed()),
        left_ms: millis(call.caller_time_left()),
    });
    front.metrics.observe_held(call.elapsed());
    let sending = send(front, call, &target, None, call.time_left());
    future::or(sending, wait_until_gone(front, call, generation)).await
}

/// Handles an engine's answer that is no success: it is the answer to the caller, unless it is a server
/// error and another engine may answer better.
async fn handle_error(
    front: &Arc<Front>,
    call: &Call,
    assignment: Assignment,
    sent_at: Moment,
    head: &http::response::Parts,
    body: Incoming,
) -> Attempt {
    match buffer_response(front, head, body, call.time_left()).await {
        Ok(resp) => {
            aggregation::report_success(front, &call.fingerprint);
            if !head.status.is_server_error() {
                return Attempt::Answer(resp);
            }
            let failure = Failure::Answer(resp);
            fail(call, assignment, sent_at, Cause::ServerError, failure).await
        }
        Err(reason) => {
            let failure = Failure::Refusal(Refusal::unknown(reason));
            fail(call, assignment, sent_at, Cause::ConnectionLost, failure).await
        }
    }
}

/// Ends an attempt at an engine that may have run the generation. The owner has to know of that before
/// another engine is requested.
async fn fail(
    call: &Call,
    assignment: Assignment,
    sent_at: Moment,
    cause: Cause,
    failure: Failure,
) -> Attempt {
    let target = assignment.generation.target();
    if call.route.is_resumable {
        assignment.release().await;
    }
    let position = call.resumes_after.map_or(Position::Start, Position::After);
    let loss = Loss {
        target,
        cause,
        position,
        sent_at,
    };
    Attempt::Failed(loss, failure)
}

/// Waits for a reservation under the rate limit of an engine, if it has announced one.
async fn wait_for_rate(front: &Arc<Front>, call: &Call, target: &TargetId) -> Reservation {
    let timeout = call.objective_left().mul_f64(RATE_WAIT_FRACTION);
    let reservation = target_rates::reserve(front, target, timeout).await;
    if let Reservation::Granted { after } = reservation {
        smol::Timer::after(after).await;
    }
    reservation
}

/// Waits until an engine that has not yet sent the first event is found to be gone. Without this
/// check the caller would wait for its whole timeout.
async fn wait_until_gone(
    front: &Arc<Front>,
    call: &Call,
    generation: &GenerationHandle,
) -> SendOutcome {
    if !front.cfg.decisions.features.idle_detection {
        return future::pending().await;
    }
    let mut monitor = IdleMonitor::new(boot_time() + call.objective_left());
    loop {
        smol::Timer::after(monitor.next_report_at().saturating_sub(boot_time())).await;
        if diagnose(front, generation, &mut monitor).await == Diagnosis::EngineGone {
            let sent = call.arrived;
            crash_detection::report_crash(front, call, &generation.target(), sent, Progress::NONE);
            return SendOutcome::Unknown {
                reason: "its engine is silent and not listed any more".into(),
                timed_out: false,
            };
        }
    }
}

/// Retries a call that has not run, or refuses it if the retry budget is used up.
async fn retry_or_refuse(
    reason: &str,
    assignment: Assignment,
    call: &Call,
    attempts: &Attempts,
) -> Attempt {
    let front = Arc::clone(&assignment.front);
    let granted = front.cfg.decisions.features.retries
        && attempts.refused.len() < MAX_NOT_RUN
        && take_retry(&front, call);
    if !granted {
        return Attempt::Refuse(Refusal::not_run(reason, NO_TARGET_RETRY_AFTER));
    }
    assignment.release().await;
    Attempt::Retry
}

fn stream(front: &Arc<Front>, call: &Call, started: Started) -> Response<Body> {
    let status = started.head.status;
    let headers = front.adapter.forwarded_headers(&started.head);
    let relay = Relay::new(Arc::clone(front), call.clone(), started);
    let mut resp = Response::new(task_body(move |tx| relay.run(tx)));
    *resp.status_mut() = status;
    *resp.headers_mut() = headers;
    resp
}
