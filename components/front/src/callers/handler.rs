//! Takes callers' requests in.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use hyper::{Request, Response, StatusCode, body::Incoming, http};
use net::{Body, BodyError, Handler, Share, SharedError, read_shared};
use quarantine::Fingerprint;
use smol::future;
use timer::boot_time;
use types::Moment;
use view::{Identity, Kind};

use crate::{
    adapters::CallerRequest,
    callers::{
        call::Call,
        refusal::{ELSEWHERE_RETRY, Refusal},
        retry_after::retry_after,
    },
    generations, plain_calls,
    state::{Front, elapsed_since},
};

/// When a caller may come back whose body finds no memory.
const CROWDED_RETRY: Duration = Duration::from_millis(300);
/// Knowledge older than this may lack a route or a key, so that neither is denied by it.
const DENY_AGE: Duration = Duration::from_millis(4_500);
/// Longest body where the configuration sets no bound, in bytes.
const BODY_LIMIT: usize = 4 * 1_024 * 1_024;
/// Longest pause within a body where the configuration sets no bound.
const BODY_PAUSE: Duration = Duration::from_secs(3);
/// Time that a caller is kept waiting where neither it nor the route says.
const DEFAULT_LEFT: Duration = Duration::from_secs(30);

/// Why what outlasts the instance's life gets an answer of our own.
const STOPS: &str = "the instance stops before it would end";

/// A body that was read, and the memory that it takes up.
struct HeldBody {
    bytes: bytes::Bytes,
    memory: Arc<Share>,
}

/// Takes callers' requests in.
pub struct RequestHandler {
    front: Arc<Front>,
}

impl RequestHandler {
    /// Makes it for an instance.
    #[must_use]
    pub const fn new(front: Arc<Front>) -> Self {
        Self { front }
    }
}

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let arrived = boot_time();
        let open = self.front.open_requests.enter(arrived);
        let (head, body) = req.into_parts();
        // Read to its end before any answer: a connection that is closed with unread bytes is
        // reset, and the answer may be lost with it.
        let body = self.read_body(body).await;
        let request = match self.front.adapter.parse_request(&head) {
            Ok(request) => request,
            Err(e) => {
                let refusal = Refusal::new(StatusCode::BAD_REQUEST, e.to_string());
                open.answered();
                return self.front.refuse(None, elapsed_since(arrived), &refusal);
            }
        };
        open.named(&request.id);
        self.front.wait_for_state_at_start().await;
        let admitted = body.and_then(|body| self.admit(request.clone(), head, body, arrived));
        let resp = match admitted {
            Ok(call) => self.serve(call).await,
            Err(refusal) => self
                .front
                .refuse(Some(&request.id), elapsed_since(arrived), &refusal),
        };
        open.answered();
        resp
    }
}

impl RequestHandler {
    async fn serve(&self, call: Call) -> Response<Body> {
        let front = Arc::clone(&self.front);
        let service = Arc::clone(&call.service.name);
        front
            .retry_budget
            .lock()
            .record_request(boot_time(), &service);
        if front.rejects(&call.fingerprint) {
            front.metrics.quarantined.inc();
            return front.refuse_call(&call, &Refusal::quarantined());
        }
        let outlived = self.outlived(&call);
        let served = async {
            match call.route.kind {
                Kind::Generation => generations::dispatch::serve(front, call).await,
                Kind::Idempotent | Kind::NonIdempotent => {
                    plain_calls::dispatch::serve(&front, &call).await
                }
            }
        };
        future::or(outlived, served).await
    }

    /// Answers a call in the place of its target once the instance gives up what is still open.
    /// Without an answer the caller could not tell whether it has run.
    fn outlived(&self, call: &Call) -> impl Future<Output = Response<Body>> + use<> {
        let front = Arc::clone(&self.front);
        let (id, kind, arrived) = (Arc::clone(&call.request.id), call.kind(), call.arrived);
        let sent = Arc::clone(&call.sent);
        async move {
            front.shutdown.aborted().await;
            let refusal = if sent.load(Ordering::Acquire) {
                Refusal::late(STOPS)
            } else {
                Refusal::not_run(STOPS, ELSEWHERE_RETRY)
            };
            front.refuse_kind(kind, &id, elapsed_since(arrived), &refusal)
        }
    }

    async fn read_body(&self, body: Incoming) -> Result<HeldBody, Refusal> {
        let limits = self.front.view.rules().and_then(|rules| rules.limits);
        let limit = limits.map_or(BODY_LIMIT, |limits| limits.body_bytes);
        let pause = limits.map_or(BODY_PAUSE, |limits| limits.header_time);
        let mut share = self.front.body_budget.share();
        let read = async { Some(read_shared(body, limit, pause, &mut share).await) };
        let outlived = async {
            self.front.shutdown.aborted().await;
            None
        };
        let Some(read) = future::or(outlived, read).await else {
            return Err(Refusal::not_run(STOPS, ELSEWHERE_RETRY));
        };
        let read = read.map_err(|e| match e {
            SharedError::Body(BodyError::TooLarge) => {
                Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, e.to_string())
            }
            SharedError::Body(BodyError::TooSlow) => {
                Refusal::new(StatusCode::REQUEST_TIMEOUT, e.to_string())
            }
            SharedError::Body(BodyError::Broken) => {
                Refusal::new(StatusCode::BAD_REQUEST, e.to_string())
            }
            SharedError::Crowded => Refusal::not_run(e.to_string(), CROWDED_RETRY),
        });
        Ok(HeldBody {
            bytes: read?,
            memory: Arc::new(share),
        })
    }

    fn admit(
        &self,
        request: CallerRequest,
        head: http::request::Parts,
        body: HeldBody,
        arrived: Moment,
    ) -> Result<Call, Refusal> {
        let front = &self.front;
        let rules = front.view.rules();
        let not_ready = |reason: &str| {
            let after = retry_after(front.state_age(), request.time_left, fastrand::f64());
            Refusal::not_run(reason, after)
        };
        let rules = rules.ok_or_else(|| not_ready("no configuration is known yet"))?;
        let read = front.view.rules_read().unwrap_or_default();
        let deny = |status: StatusCode, reason: &str| {
            // A wrong denial is final for its caller; one that may lack the newest version says so.
            if elapsed_since(read) > DENY_AGE {
                return not_ready("the configuration that is known may lack this");
            }
            Refusal::new(status, reason)
        };
        let Some(route) = rules.route(&request.host, &request.path) else {
            return Err(deny(StatusCode::NOT_FOUND, "no route takes this path"));
        };
        let identity = rules
            .identify(route, request.key.as_deref())
            .map_err(|_| deny(StatusCode::UNAUTHORIZED, "no workspace has this key"))?;
        if identity != Identity::Anonymous && !front.can_honour_keys() {
            return Err(not_ready("knowledge of keys is too old"));
        }
        let service = route
            .pick(fastrand::f64())
            .and_then(|name| rules.service(name))
            .ok_or_else(|| not_ready("the route's service is not configured"))?;
        let left = request.time_left.unwrap_or(route.timeout);
        let priority = priority(&identity, route.rank);
        let workspace = workspace(identity);
        Ok(Call {
            priority,
            fingerprint: fingerprint(&head, &request.host, workspace.as_deref(), &body.bytes),
            workspace,
            caller_deadline: arrived + left,
            answer_deadline: arrived + left.min(timeout(route.timeout)),
            route: Arc::clone(route),
            service: Arc::clone(service),
            request,
            head,
            body: body.bytes,
            memory: body.memory,
            arrived,
            config_version: rules.version,
            sent: Arc::new(AtomicBool::new(false)),
        })
    }
}

/// What stays the same of a request when its caller sends it again: all but its id and the time
/// that is left. It belongs to the workspace, so that no other can bring it into disrepute.
fn fingerprint(
    head: &http::request::Parts,
    host: &str,
    workspace: Option<&str>,
    body: &[u8],
) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    Fingerprint::new(&[
        head.method.as_str().as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        workspace.unwrap_or_default().as_bytes(),
        body,
    ])
}

fn priority(identity: &Identity, route: u32) -> u32 {
    match identity {
        Identity::Holder(holder) => holder.rank.unwrap_or(route),
        Identity::Anonymous => route,
    }
}

fn workspace(identity: Identity) -> Option<Arc<str>> {
    match identity {
        Identity::Holder(holder) => Some(holder.workspace),
        Identity::Anonymous => None,
    }
}

const fn timeout(timeout: Duration) -> Duration {
    if timeout.is_zero() {
        DEFAULT_LEFT
    } else {
        timeout
    }
}
