//! Sends requests to targets through other instances.

use std::{sync::Arc, time::Duration};

use async_channel::{Receiver, bounded};
use bytes::Bytes;
use events::{Event, emit};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use net::{SendError, SendRules};
use reach::Path;
use timer::{Timer, boot_time};
use types::InstanceId;
use view::Target;

use crate::{
    execution::{Execution, NotRun, PossibleRun},
    instances::wire::{Message, Reachability, Reply},
    reaching::envelope::{Envelope, RelayOutcome, RelayStatement, stated_outcome},
    signals::Purpose,
    state::Front,
};

/// Instances that are tried for one request. Those that don't reach the target answer at once, and
/// are passed over by the next requests.
const MAX_RELAYS: usize = 6;

/// Time for an instance to say whether it reaches a target.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// Instances that reach other targets and not this one, after which it counts as down.
const NOT_REACHED_BY: usize = 2;

/// The outcome of sending a request through other instances.
#[derive(Debug)]
pub enum Relayed {
    /// The target has answered.
    Response {
        /// The instance through which it did.
        via: InstanceId,
        /// The answer.
        resp: Response<Incoming>,
        /// The sending that it answers.
        run: PossibleRun,
    },
    /// No instance has reached the target, so the request has not run.
    NotReached {
        /// The reason.
        reason: Arc<str>,
    },
    /// The request was not sent, because of what the target has said of itself.
    Withheld {
        /// The reason.
        reason: Arc<str>,
    },
    /// The request was sent, and may have run.
    Lost {
        /// What came in place of an answer.
        reason: Arc<str>,
        /// Whether the time for the answer ran out.
        timed_out: bool,
    },
}

/// A request that is sent through other instances.
pub struct RelayedRequest<'a> {
    /// The id of the caller's request.
    pub id: &'a Arc<str>,
    /// What it is for.
    pub purpose: Purpose,
    /// Its sendings so far.
    pub execution: &'a Execution,
    /// Time for the head of the answer.
    pub timeout: Duration,
}

/// What one instance made of a request.
enum Attempt {
    /// The target has answered.
    Answered(Response<Incoming>),
    /// It may have run.
    Lost { reason: Arc<str>, timed_out: bool },
    /// It has not run.
    NotRun { proof: NotRun, next: Next },
}

/// What follows if an instance has not sent a request.
enum Next {
    /// Another instance may be tried.
    Another,
    /// The instance reaches other targets, but not this one.
    NotReached,
    /// The target wants no request now.
    Withheld,
}

/// Sends a request to a target through another instance, and waits for the head of the answer. `build` makes
/// the request for the target, each time with the time that is left.
pub async fn send(
    front: &Arc<Front>,
    target: &Arc<Target>,
    request: &RelayedRequest<'_>,
    build: impl Fn() -> Request<Full<Bytes>>,
) -> Relayed {
    let timer = Timer::new();
    let mut reason: Arc<str> = "no other instance is known".into();
    let mut not_reached = 0;
    for via in candidates(front).into_iter().take(MAX_RELAYS) {
        let left = request.timeout.saturating_sub(timer.now());
        if left.is_zero() {
            break;
        }
        let Some(addr) = front.peers.addr(&via) else {
            continue;
        };
        let envelope = Envelope {
            target: Arc::clone(&target.id),
            started_at: target.started_at,
            from: Arc::clone(&front.cfg.instance),
            request: Arc::clone(request.id),
            purpose: request.purpose,
            time_left: left,
            is_repeat: request.execution.was_sent(),
        };
        let mut req = build();
        envelope.write(req.headers_mut());
        let run = request.execution.begin();
        let rules = RelayRules { id: request.id };
        let sent = front.peers.relay(addr, req, left, &rules).await;
        let relayed = match interpret(front, target, (&via, request.id), sent) {
            Attempt::Answered(resp) => Relayed::Response {
                via: Arc::clone(&via),
                resp,
                run,
            },
            Attempt::Lost { reason, timed_out } => Relayed::Lost { reason, timed_out },
            Attempt::NotRun { proof, next } => {
                run.disprove(&proof);
                reason = Arc::clone(proof.reason());
                match next {
                    Next::Another => continue,
                    Next::NotReached if not_reached + 1 < NOT_REACHED_BY => {
                        not_reached += 1;
                        continue;
                    }
                    Next::NotReached => break,
                    Next::Withheld => Relayed::Withheld { reason },
                }
            }
        };
        log(front, request.id, target, &via, &relayed);
        return relayed;
    }
    front
        .paths
        .lock()
        .record_relayed(boot_time(), &target.id, false);
    Relayed::NotReached { reason }
}

/// By which rules a request is sent to an instance that relays it.
struct RelayRules<'a> {
    id: &'a str,
}

impl SendRules for RelayRules<'_> {
    fn name(&self) -> Option<&str> {
        Some(self.id)
    }

    fn is_own(&self, resp: &Response<Incoming>) -> bool {
        stated_outcome(resp.headers(), self.id).is_some()
    }
}

fn interpret(
    front: &Arc<Front>,
    target: &Arc<Target>,
    (via, id): (&InstanceId, &str),
    sent: Result<Response<Incoming>, SendError>,
) -> Attempt {
    let mut resp = match sent {
        Ok(resp) => resp,
        Err(SendError::Unsent(unsent)) => {
            fail(front, via);
            return Attempt::NotRun {
                proof: NotRun::from_unsent(&unsent),
                next: Next::Another,
            };
        }
        Err(SendError::Lost { reason, timed_out }) => {
            fail(front, via);
            return Attempt::Lost {
                reason: format!("through {via}: {reason}").into(),
                timed_out,
            };
        }
    };
    let status = resp.status();
    let Some(statement) = RelayStatement::take(resp.headers_mut(), id) else {
        // It may come from a handler that failed after it had sent the request, or from another process at
        // the instance's address.
        fail(front, via);
        return Attempt::Lost {
            reason: format!("{via} answered {status} without stating what became of it").into(),
            timed_out: false,
        };
    };
    let Some(proof) = NotRun::from_relay(&statement) else {
        if *statement.outcome() != RelayOutcome::Answered {
            return Attempt::Lost {
                reason: Arc::clone(statement.reason()),
                timed_out: false,
            };
        }
        front.relays.lock().record_success(boot_time(), via);
        front.record_reached_by_another(target);
        return Attempt::Answered(resp);
    };
    let next = match statement.outcome() {
        RelayOutcome::Withheld => Next::Withheld,
        RelayOutcome::NotReached {
            reaches_others: true,
        } => Next::NotReached,
        _ => {
            fail(front, via);
            Next::Another
        }
    };
    Attempt::NotRun { proof, next }
}

/// Asks other instances in the background whether they reach a target that this one does not reach, unless
/// some are known that relay: the next requests then need not find them one by one.
pub fn find_relays_soon(front: &Arc<Front>, target: &Arc<Target>) {
    let now = boot_time();
    if !is_needed(front, target) || front.relays.lock().has_preferred(now) {
        return;
    }
    for via in candidates(front).into_iter().take(MAX_RELAYS) {
        let (front, target) = (Arc::clone(front), Arc::clone(target));
        workers::spawn(async move { ask(&front, &target, &via).await }).detach();
    }
}

async fn ask(front: &Arc<Front>, target: &Target, via: &InstanceId) {
    let message = Message::CheckTarget {
        target: Arc::clone(&target.id),
        started_at: target.started_at,
    };
    let reply = front.peers.try_call(via, &message, ASK_TIMEOUT).await;
    let Some(Reply::TargetChecked(reachability)) = reply else {
        return fail(front, via);
    };
    match reachability {
        Reachability::Reached => {
            front.relays.lock().record_success(boot_time(), via);
            front.record_reached_by_another(target);
        }
        Reachability::NotReached => front.relays.lock().record_success(boot_time(), via),
        Reachability::Heard { age } => front.record_heard_by_another(target, age),
        Reachability::Unknown => fail(front, via),
    }
}

fn fail(front: &Front, via: &InstanceId) {
    front.relays.lock().record_failure(boot_time(), via);
}

/// Instances that may relay a request, the best first.
fn candidates(front: &Front) -> Vec<InstanceId> {
    let mut members: Vec<_> = front
        .peers
        .responsive_members()
        .into_iter()
        .filter(|member| member.id != front.cfg.instance)
        .map(|member| (member.id, member.data_centre))
        .collect();
    fastrand::shuffle(&mut members);
    let local = &front.cfg.data_centre;
    front.relays.lock().candidates(boot_time(), members, local)
}

fn log(front: &Front, id: &Arc<str>, target: &Target, via: &InstanceId, relayed: &Relayed) {
    let outcome: Arc<str> = match relayed {
        Relayed::Response { .. } => "answered".into(),
        Relayed::NotReached { reason } => format!("not reached: {reason}").into(),
        Relayed::Withheld { reason } => format!("withheld: {reason}").into(),
        Relayed::Lost { reason, .. } => format!("lost: {reason}").into(),
    };
    front.metrics.relayed.inc();
    emit(&Event::RequestRelayed {
        id: Arc::clone(id),
        target: Arc::clone(&target.id),
        via: Arc::clone(via),
        outcome,
    });
}

/// Sends a control request for an engine through other instances, until `accept` takes a reply. What that shows
/// of the engine is for the caller to record.
pub async fn control<T>(
    front: &Arc<Front>,
    message: &Message,
    timeout: Duration,
    accept: impl Fn(Reply) -> Option<T>,
) -> Option<T> {
    let accept_reply = |reply: Option<Reply>| reply.and_then(&accept);
    control_with(front, message, timeout, accept_reply).await
}

/// Sends a message to several instances at once; the replies arrive in any order, `None` for those that have not
/// replied within `timeout`.
pub fn ask_several(
    front: &Arc<Front>,
    message: &Message,
    timeout: Duration,
) -> Receiver<Option<Reply>> {
    let (tx, rx) = bounded(MAX_RELAYS);
    for via in candidates(front).into_iter().take(MAX_RELAYS) {
        let (front, message, tx) = (Arc::clone(front), message.clone(), tx.clone());
        workers::spawn(async move {
            let reply = front.peers.try_call(&via, &message, timeout).await;
            // Fails only if nobody waits for it any more.
            let _ = tx.try_send(reply);
        })
        .detach();
    }
    rx
}

/// Like [`control`], but `accept` also decides about an instance that has not replied.
pub async fn control_with<T>(
    front: &Arc<Front>,
    message: &Message,
    timeout: Duration,
    accept: impl Fn(Option<Reply>) -> Option<T>,
) -> Option<T> {
    let timer = Timer::new();
    for via in candidates(front).into_iter().take(MAX_RELAYS) {
        let left = timeout.saturating_sub(timer.now());
        if left.is_zero() {
            break;
        }
        let reply = front.peers.try_call(&via, message, left).await;
        if let Some(value) = accept(reply) {
            return Some(value);
        }
        fail(front, &via);
    }
    None
}

/// Whether requests to a target go through another instance, if any reaches it.
#[must_use]
pub fn is_needed(front: &Front, target: &Target) -> bool {
    front.cfg.decisions.features.relaying && front.path(target) != Path::Direct
}
