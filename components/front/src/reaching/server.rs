//! Sends the requests of other instances to targets that they don't reach.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use events::{Event, emit};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};
use net::{
    Body, BodyAborted, Connecting, ConnectionUse, SendError, SendRules, Share, empty, read_shared,
    short_task_body,
};
use reach::Path;
use timer::boot_time;
use view::Target;

use crate::{
    adapters::NamedRequest,
    answers::Answer,
    reaching::{
        envelope::{self, Envelope, RelayOutcome},
        paths,
    },
    signals,
    state::Front,
};

/// Maximum size of the body of a relayed request, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1_024 * 1_024;
/// The longest pause within such a body.
const BODY_PAUSE: Duration = Duration::from_millis(500);
/// Part of the connections that an instance may have which it uses for others' requests.
const CONNECTION_FRACTION: f64 = 0.125;

/// Counts the requests of other instances that are under way here.
#[derive(Debug, Default)]
pub struct OthersRequests {
    count: AtomicUsize,
}

impl OthersRequests {
    /// The number of requests under way.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// One request of another instance, until its answer has been passed on.
struct OthersRequest {
    front: Arc<Front>,
    /// The memory of the request and of its body.
    memory: Share,
}

impl OthersRequest {
    /// Begins a request, unless as many as this instance relays are under way, it has no memory for it, or it
    /// is stopping.
    fn begin(front: &Arc<Front>) -> Option<Self> {
        if front.shutdown.time_left().is_some() {
            return None;
        }
        let guard = Self {
            front: Arc::clone(front),
            memory: front.memory.reserve_request()?,
        };
        let before = front.others_requests.count.fetch_add(1, Ordering::AcqRel);
        (before < limit(front)).then_some(guard)
    }
}

impl Drop for OthersRequest {
    fn drop(&mut self) {
        self.front
            .others_requests
            .count
            .fetch_sub(1, Ordering::AcqRel);
    }
}

/// The number of requests of other instances that this one relays at the same time.
fn limit(front: &Front) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a fraction of a small number"
    )]
    let limit = (front.cfg.connections as f64 * CONNECTION_FRACTION) as usize;
    limit.max(1)
}

/// Why a request was not passed on or has no answer.
struct Failure {
    outcome: RelayOutcome,
    reason: Arc<str>,
}

impl Failure {
    fn new(outcome: RelayOutcome, reason: impl Into<Arc<str>>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
        }
    }

    fn declined(reason: &str) -> Self {
        Self::new(RelayOutcome::Declined, reason)
    }
}

/// Sends the request of another instance to its target, and returns the answer.
pub async fn serve(
    front: &Arc<Front>,
    sender: SocketAddr,
    mut req: Request<Incoming>,
) -> Response<Body> {
    let id = envelope::request_id(req.headers());
    let Some(envelope) = Envelope::take(req.headers_mut()) else {
        return failed(&id, &Failure::declined("the request can't be read"));
    };
    let outcome = pass_on(front, sender, &envelope, req).await;
    let (name, resp) = match outcome {
        Ok(resp) => ("answered".into(), resp),
        Err(failure) => (Arc::clone(&failure.reason), failed(&id, &failure)),
    };
    front.metrics.others_requests.inc();
    emit(&Event::OthersRequest {
        id: envelope.request,
        from: envelope.from,
        target: envelope.target,
        outcome: name,
    });
    resp
}

fn failed(id: &str, failure: &Failure) -> Response<Body> {
    let mut resp = Response::new(empty());
    *resp.status_mut() = StatusCode::BAD_GATEWAY;
    let reason = &failure.reason;
    failure.outcome.write(resp.headers_mut(), id, reason);
    resp
}

async fn pass_on(
    front: &Arc<Front>,
    sender: SocketAddr,
    envelope: &Envelope,
    req: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let arrived = boot_time();
    // Only instances may send requests that no route and no key were checked for here.
    if !front.peers.is_member(&envelope.from, sender.ip()) {
        return Err(Failure::declined("the sender is no known instance"));
    }
    let mut guard = OthersRequest::begin(front)
        .ok_or_else(|| Failure::declined("enough requests, no memory, or stopping"))?;
    let target = reachable_target(front, envelope).await?;
    let (head, body) = req.into_parts();
    let body = read_shared(body, MAX_BODY_BYTES, BODY_PAUSE, &mut guard.memory)
        .await
        .map_err(|_| Failure::declined("the body can't be read"))?;
    let mut req = Request::from_parts(head, Full::new(body));
    let left = envelope.time_left.saturating_sub(boot_time() - arrived);
    front.adapter.shorten_deadline(req.headers_mut(), left);
    let sent_at = boot_time();
    let resp = send(front, envelope, &target, req, left).await?;
    let source = Answer {
        id: &envelope.request,
        target: &target,
        sent_at,
        via: None,
    };
    Ok(answer(front, &source, resp, guard))
}

/// The target of a request, if this instance can connect to it as far as is known.
async fn reachable_target(front: &Arc<Front>, envelope: &Envelope) -> Result<Arc<Target>, Failure> {
    let target = front.view.target(&envelope.target);
    let target = target
        .filter(|target| target.started_at == envelope.started_at)
        .ok_or_else(|| Failure::declined("the target is not listed here"))?;
    if front.path(&target) != Path::Direct {
        return Err(not_reached(front, &target, "connections to it don't open").await);
    }
    Ok(target)
}

async fn not_reached(front: &Arc<Front>, target: &Target, reason: impl Into<Arc<str>>) -> Failure {
    let reaches_others = paths::reaches_others(front, target).await;
    Failure::new(RelayOutcome::NotReached { reaches_others }, reason)
}

async fn send(
    front: &Arc<Front>,
    envelope: &Envelope,
    target: &Arc<Target>,
    req: Request<Full<bytes::Bytes>>,
    left: Duration,
) -> Result<Response<Incoming>, Failure> {
    let rules = Rules {
        front,
        envelope,
        target,
    };
    let withheld = |reason| Failure::new(RelayOutcome::Withheld, reason);
    rules.may_send().map_err(withheld)?;
    let sent = front
        .client
        .send_within(left, target.addr, req, &rules)
        .await;
    match sent {
        Err(SendError::Unsent(unsent)) => {
            rules.may_send().map_err(withheld)?;
            front.record_unsent(target, &unsent);
            if unsent.connecting() == Connecting::Opened {
                return Err(withheld(Arc::clone(unsent.reason())));
            }
            Err(not_reached(front, target, Arc::clone(unsent.reason())).await)
        }
        Err(SendError::Lost { reason, .. }) => {
            paths::verify_soon(front, target);
            Err(Failure::new(RelayOutcome::Lost, reason))
        }
        Ok(resp) => {
            front.record_contact(target);
            Ok(resp)
        }
    }
}

/// By which rules a request is sent for another instance.
struct Rules<'a> {
    front: &'a Front,
    envelope: &'a Envelope,
    target: &'a Target,
}

impl SendRules for Rules<'_> {
    fn may_send(&self) -> Result<(), Arc<str>> {
        let withheld = signals::withheld(self.front, self.target, self.envelope.purpose);
        withheld.map_or(Ok(()), |withheld| Err(withheld.to_string().into()))
    }

    fn name(&self) -> Option<&str> {
        Some(&self.envelope.request)
    }

    fn is_own(&self, resp: &Response<Incoming>) -> bool {
        let id = &self.envelope.request;
        let named = self.front.adapter.named_request(id, resp.headers());
        named == NamedRequest::Sent
    }
}

/// The target's answer as it is passed on. The guard lives until the body has ended.
fn answer(
    front: &Arc<Front>,
    source: &Answer<'_>,
    resp: Response<Incoming>,
    guard: OthersRequest,
) -> Response<Body> {
    let connection = ConnectionUse::of(&resp);
    let (head, body) = resp.into_parts();
    // The target has said it to this instance, so it binds this instance too.
    let parsed = front.adapter.parse_response_head(source.id, &head);
    if parsed.named == NamedRequest::Sent {
        signals::observe(front, source.target, parsed.signals);
    }
    source.log_unforwarded(front, &head, &parsed, connection);
    let mut resp = Response::new(short_task_body(move |tx| forward(body, tx, guard)));
    *resp.status_mut() = head.status;
    *resp.headers_mut() = head.headers;
    envelope::write_framing(resp.headers_mut());
    RelayOutcome::Answered.write(resp.headers_mut(), source.id, "");
    resp
}

async fn forward(
    mut body: Incoming,
    tx: async_channel::Sender<Result<bytes::Bytes, BodyAborted>>,
    _guard: OthersRequest,
) {
    while let Some(frame) = body.frame().await {
        let chunk = match frame {
            Ok(frame) => match frame.into_data() {
                Ok(data) => Ok(data),
                Err(_) => continue,
            },
            // The receiver must not take what was cut off for the end.
            Err(_) => Err(BodyAborted),
        };
        let is_aborted = chunk.is_err();
        if tx.send(chunk).await.is_err() || is_aborted {
            return;
        }
    }
}
