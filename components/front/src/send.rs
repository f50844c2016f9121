//! Sends a request to a target once, and classifies the outcome.

use std::{sync::Arc, time::Duration};

use ::quarantine::Assessment;
use bytes::Bytes;
use events::{Event, emit};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, http};
use net::{Body, BodyError, Connecting, SendError, SendRules, SharedError, full, read_held};
use parking_lot::Mutex;
use reach::Path;
use timer::boot_time;
use types::{InstanceId, Moment};
use view::Target;

use crate::{
    adapters::{NamedRequest, OutgoingRequest, ResponseHead, Resume},
    answers::Answer,
    callers::{
        call::Call,
        refusal::{PART_QUARANTINED, QUARANTINED},
    },
    execution::{NotRun, PossibleRun},
    quarantine::{crash_detection, parts::Progress},
    reaching::{
        entry::{self, Relayed, RelayedRequest},
        paths,
    },
    signals::{self, Purpose},
    state::Front,
};

/// The outcome of sending a request once.
#[derive(Debug)]
pub enum SendOutcome {
    /// The target has answered.
    Response {
        /// The head of the answer.
        head: Box<http::response::Parts>,
        /// The parsed head.
        parsed_head: ResponseHead,
        /// The body, not read yet.
        body: Incoming,
    },
    /// The target has refused the request without running it.
    NotRun {
        /// The proof.
        proof: NotRun,
    },
    /// No connection to the target opened, neither from here nor from another instance, or it closed each before
    /// anything was sent, so the request has certainly not run, and has not arrived at the target.
    NotReached {
        /// The reason.
        reason: Arc<str>,
    },
    /// The request was not sent, because of what the target has said of itself.
    Withheld {
        /// The reason.
        reason: Arc<str>,
    },
    /// The request was not sent, because it is quarantined: targets have crashed while they ran it.
    Rejected {
        /// The reason.
        reason: Arc<str>,
    },
    /// The request may have run.
    Unknown {
        /// What came in place of a valid answer.
        reason: Arc<str>,
        /// Whether the time for the answer ran out.
        timed_out: bool,
    },
}

/// Sends a call to a target and waits at most `timeout` for the head of the answer. If no connection to
/// the target opens from here, the call goes through another instance: nothing was sent before.
pub async fn send(
    front: &Arc<Front>,
    call: &Call,
    target: &Arc<Target>,
    resume: Option<&Resume>,
    timeout: Duration,
) -> SendOutcome {
    if front.rejects(&call.fingerprint) {
        return SendOutcome::Rejected {
            reason: QUARANTINED.into(),
        };
    }
    let has_begun = resume.is_some_and(|resume| resume.after.is_some());
    match front.assess_parts(call) {
        Assessment::Rejected(_) => {
            return SendOutcome::Rejected {
                reason: PART_QUARANTINED.into(),
            };
        }
        // A generation that had begun to answer elsewhere has shown that its prompt is sound.
        Assessment::Ambiguous(_) if !has_begun => {
            let reason = "a part of its prompt is being probed".into();
            return withhold(front, call, target, reason);
        }
        Assessment::Ambiguous(_) | Assessment::Admitted => {}
    }
    let sending = Sending {
        call,
        target,
        resume,
        purpose: match resume {
            Some(_) => Purpose::RunningWork,
            None => Purpose::NewWork,
        },
        sent_at: boot_time(),
    };
    if let Err(reason) = sending.check(front) {
        return withhold(front, call, target, reason);
    }
    let path = front.path(target);
    // A generation that is resumed is the same request.
    if path != Path::Down && sending.resume.is_none() {
        front.rollouts.record_sent(target);
    }
    let outcome = match path {
        Path::Down => SendOutcome::NotReached {
            reason: "no instance reaches it".into(),
        },
        Path::Relayed if front.cfg.decisions.features.relaying => {
            sending.relay(front, timeout).await
        }
        Path::Relayed | Path::Direct => sending.send(front, timeout).await,
    };
    match &outcome {
        SendOutcome::Response { .. } => front
            .metrics
            .observe_head(boot_time().saturating_sub(sending.sent_at)),
        SendOutcome::NotRun { proof } => log_send_failure(call, target, proof.reason(), true),
        SendOutcome::NotReached { reason } => log_send_failure(call, target, reason, true),
        SendOutcome::Unknown { reason, .. } => log_send_failure(call, target, reason, false),
        SendOutcome::Rejected { .. } | SendOutcome::Withheld { .. } => {}
    }
    outcome
}

/// One sending of a call.
struct Sending<'a> {
    call: &'a Call,
    target: &'a Arc<Target>,
    resume: Option<&'a Resume>,
    purpose: Purpose,
    sent_at: Moment,
}

impl Sending<'_> {
    /// Whether the target may be sent the call now; the error says why not.
    fn check(&self, front: &Front) -> Result<(), Arc<str>> {
        if let Some(withheld) = signals::withheld(front, self.target, self.purpose) {
            return Err(withheld.to_string().into());
        }
        // The request may have waited for a place since its version was chosen. A generation that is
        // resumed goes on with the weights that it has.
        if self.resume.is_none() && front.rollouts.is_stopped(self.target) {
            return Err("its version was rolled back".into());
        }
        Ok(())
    }

    fn request(&self, front: &Front) -> Request<Full<Bytes>> {
        let outgoing = OutgoingRequest {
            head: &self.call.head,
            body: &self.call.body,
            target: self.target,
            time_left: self.call.caller_time_left(),
            workspace: self.call.workspace.as_deref(),
            resume: self.resume,
            after: self.call.resumes_after,
        };
        front.adapter.build_request(&outgoing)
    }

    /// Sends the call over a connection of this instance, and through another one if none opens.
    async fn send(&self, front: &Arc<Front>, timeout: Duration) -> SendOutcome {
        let rules = Rules {
            sending: self,
            front,
            run: Mutex::default(),
        };
        let sent = front
            .client
            .send_within(timeout, self.target.addr, self.request(front), &rules)
            .await;
        let run = rules.run.into_inner();
        let unsent = match sent {
            Err(SendError::Unsent(unsent)) => unsent,
            Err(SendError::Lost {
                reason,
                timed_out: true,
            }) => {
                return SendOutcome::Unknown {
                    reason,
                    timed_out: true,
                };
            }
            Err(SendError::Lost { reason, .. }) => {
                paths::verify_soon(front, self.target);
                crash_detection::investigate(
                    front,
                    self.call,
                    self.target,
                    self.sent_at,
                    Progress::NONE,
                );
                return SendOutcome::Unknown {
                    reason,
                    timed_out: false,
                };
            }
            Ok(resp) => {
                front.record_contact(self.target);
                return self.classify(front, None, run, resp);
            }
        };
        if let Some(run) = run {
            run.disprove(&NotRun::from_unsent(&unsent));
        }
        if let Err(reason) = self.check(front) {
            return withhold(front, self.call, self.target, reason);
        }
        front.record_unsent(self.target, &unsent);
        let reason = Arc::clone(unsent.reason());
        // Another instance would only add a connection to a target that closes new ones.
        let is_own_fault = unsent.connecting() == Connecting::Opened
            || front.reached_another(self.target, self.sent_at);
        if is_own_fault || !front.cfg.decisions.features.relaying {
            return SendOutcome::NotReached { reason };
        }
        self.relay(front, timeout.min(self.call.time_left())).await
    }

    fn classify(
        &self,
        front: &Arc<Front>,
        via: Option<&InstanceId>,
        run: Option<PossibleRun>,
        resp: Response<Incoming>,
    ) -> SendOutcome {
        let answer = Answer {
            id: &self.call.request.id,
            target: self.target,
            sent_at: self.sent_at,
            via,
        };
        let outcome = answer.classify(front, resp);
        if let (SendOutcome::NotRun { proof }, Some(run)) = (&outcome, run) {
            run.disprove(proof);
        }
        outcome
    }

    /// Sends the call through another instance.
    async fn relay(&self, front: &Arc<Front>, timeout: Duration) -> SendOutcome {
        let request = RelayedRequest {
            id: &self.call.request.id,
            purpose: self.purpose,
            execution: &self.call.execution,
            timeout,
        };
        let build = || self.request(front);
        match entry::send(front, self.target, &request, build).await {
            Relayed::Response { via, resp, run } => {
                self.classify(front, Some(&via), Some(run), resp)
            }
            Relayed::NotReached { reason } => SendOutcome::NotReached { reason },
            Relayed::Withheld { reason } => withhold(front, self.call, self.target, reason),
            Relayed::Lost { reason, timed_out } => {
                crash_detection::investigate(
                    front,
                    self.call,
                    self.target,
                    self.sent_at,
                    Progress::NONE,
                );
                SendOutcome::Unknown { reason, timed_out }
            }
        }
    }
}

/// By which rules a call is sent.
struct Rules<'a> {
    sending: &'a Sending<'a>,
    front: &'a Front,
    /// Set once the call may leave.
    run: Mutex<Option<PossibleRun>>,
}

impl SendRules for Rules<'_> {
    fn may_send(&self) -> Result<(), Arc<str>> {
        self.sending.check(self.front)?;
        let mut run = self.run.lock();
        run.get_or_insert_with(|| self.sending.call.execution.begin());
        Ok(())
    }

    fn name(&self) -> Option<&str> {
        Some(&self.sending.call.request.id)
    }

    fn needs_new_connection(&self) -> bool {
        self.sending.resume.is_some()
    }

    fn is_own(&self, resp: &Response<Incoming>) -> bool {
        let id = &self.sending.call.request.id;
        let named = self.front.adapter.named_request(id, resp.headers());
        named == NamedRequest::Sent
    }
}

fn withhold(front: &Front, call: &Call, target: &Target, reason: Arc<str>) -> SendOutcome {
    front.metrics.withheld.inc();
    emit(&Event::SendingWithheld {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&target.id),
        reason: Arc::clone(&reason),
    });
    SendOutcome::Withheld { reason }
}

/// Logs that sending a request has failed.
pub fn log_send_failure(call: &Call, target: &Target, reason: &Arc<str>, not_run: bool) {
    emit(&Event::SendingFailed {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&target.id),
        reason: Arc::clone(reason),
        not_run,
    });
}

/// The most bytes of an answer that is buffered before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 8 * 1_024 * 1_024;

/// Reads an answer to its end, for at most `timeout`. It counts against the memory budget until the caller has
/// got it.
///
/// # Errors
/// Returns why the answer is incomplete.
pub async fn buffer_response(
    front: &Front,
    head: &http::response::Parts,
    body: Incoming,
    timeout: Duration,
) -> Result<Response<Body>, Arc<str>> {
    let read = read_held(body, MAX_BUFFERED_BYTES, timeout, &front.memory).await;
    let bytes = read.map_err(|e| match e {
        SharedError::Body(BodyError::TooSlow) => "the answer did not end in time".to_owned(),
        SharedError::Body(e) => format!("the answer broke off: {e}"),
        SharedError::BudgetExhausted => {
            front.metrics.answers_without_memory.inc();
            format!("no memory is left for the answer: {e}")
        }
    })?;
    let mut resp = Response::new(full(bytes));
    *resp.status_mut() = head.status;
    *resp.headers_mut() = front.adapter.forwarded_headers(head);
    Ok(resp)
}
