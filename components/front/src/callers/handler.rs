//! Admits callers' requests and hands them to the dispatcher of their kind.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use hyper::{Request, Response, StatusCode, body::Incoming, http};
use net::{Body, BodyError, Handler, Share, SharedError, read_shared};
use quarantine::Fingerprint;
use smol::future;
use timer::boot_time;
use types::Moment;
use view::{Identity, RouteKind};

use crate::{
    adapters::CallerRequest,
    callers::{
        call::Call,
        refusal::{ELSEWHERE_RETRY_AFTER, Refusal, SHUTDOWN_REASON},
        retry_after::retry_after,
    },
    execution::Execution,
    generations, plain_calls,
    state::{Front, elapsed_since},
};

/// `Retry-After` of a request that does not fit into the memory budget.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum age of a configuration by which requests are denied; an older one may lack a route or a
/// key.
const MAX_DENY_AGE: Duration = Duration::from_millis(4_500);
/// Maximum body size in bytes if the configuration sets none.
const DEFAULT_BODY_BYTES: usize = 4 * 1_024 * 1_024;
/// Longest pause within a body if the configuration sets none.
const DEFAULT_BODY_PAUSE: Duration = Duration::from_secs(3);
/// Time for an answer if the route sets no timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason of the refusal of a request for which there is no memory.
const MEMORY_REASON: &str = "this instance's memory is in use";

/// A body in memory, and its share of the memory budget.
struct BufferedBody {
    bytes: bytes::Bytes,
    memory: Arc<Share>,
}

/// Handles callers' requests.
pub struct RequestHandler {
    front: Arc<Front>,
}

impl RequestHandler {
    /// Creates the handler of an instance.
    #[must_use]
    pub const fn new(front: Arc<Front>) -> Self {
        Self { front }
    }
}

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let arrived = boot_time();
        let open = self.front.open_requests.register(arrived);
        let (head, body) = req.into_parts();
        // The body is read to its end before any answer is sent: a connection that is closed with
        // unread bytes is reset, and the answer may be lost with it.
        let body = match self.front.memory.reserve_request() {
            Some(memory) => self.read_body(body, memory).await,
            None => Err(Refusal::not_run(MEMORY_REASON, MEMORY_RETRY_AFTER)),
        };
        let request = match self.front.adapter.parse_request(&head) {
            Ok(request) => request,
            Err(e) => {
                let refusal = Refusal::new(StatusCode::BAD_REQUEST, e.to_string());
                open.finish();
                return self.front.refuse(None, elapsed_since(arrived), &refusal);
            }
        };
        open.set_id(&request.id);
        self.front.wait_until_ready_after_start().await;
        let admitted = body.and_then(|body| self.admit(request.clone(), head, body, arrived));
        let objective = admitted.as_ref().ok().map(|call| call.route.objective);
        let resp = match admitted {
            Ok(call) => self.serve(call).await,
            Err(refusal) => self
                .front
                .refuse(Some(&request.id), elapsed_since(arrived), &refusal),
        };
        open.finish();
        // A refusal tells nothing of how long answers take.
        if let Some(objective) = objective
            && resp.status() != StatusCode::SERVICE_UNAVAILABLE
        {
            let took = elapsed_since(arrived);
            self.front
                .intake_limit
                .lock()
                .record_answer(took, objective);
        }
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
        let abort_response = self.abort_response(&call);
        let served = async {
            match call.route.kind {
                RouteKind::Generation => generations::dispatch::serve(front, call).await,
                RouteKind::Idempotent | RouteKind::NonIdempotent => {
                    plain_calls::dispatch::serve(&front, &call).await
                }
            }
        };
        future::or(abort_response, served).await
    }

    /// Waits for the abort at shutdown, and builds the answer to a call in place of its target.
    /// Without an answer the caller could not tell whether its request has run.
    fn abort_response(&self, call: &Call) -> impl Future<Output = Response<Body>> + use<> {
        let front = Arc::clone(&self.front);
        let (id, kind, arrived) = (Arc::clone(&call.request.id), call.kind(), call.arrived);
        let execution = call.execution.clone();
        async move {
            front.shutdown.aborted().await;
            let refusal = if execution.may_have_run() {
                Refusal::timed_out(SHUTDOWN_REASON)
            } else {
                Refusal::not_run(SHUTDOWN_REASON, ELSEWHERE_RETRY_AFTER)
            };
            front.refuse_kind(kind, &id, elapsed_since(arrived), &refusal)
        }
    }

    async fn read_body(&self, body: Incoming, mut memory: Share) -> Result<BufferedBody, Refusal> {
        let limits = self
            .front
            .view
            .rules()
            .and_then(|rules| rules.request_limits);
        let limit = limits.map_or(DEFAULT_BODY_BYTES, |limits| limits.body_bytes);
        let pause = limits.map_or(DEFAULT_BODY_PAUSE, |limits| limits.header_timeout);
        let reading = async { Some(read_shared(body, limit, pause, &mut memory).await) };
        let aborted = async {
            self.front.shutdown.aborted().await;
            None
        };
        let Some(read) = future::or(aborted, reading).await else {
            return Err(Refusal::not_run(SHUTDOWN_REASON, ELSEWHERE_RETRY_AFTER));
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
            SharedError::BudgetExhausted => Refusal::not_run(e.to_string(), MEMORY_RETRY_AFTER),
        });
        Ok(BufferedBody {
            bytes: read?,
            memory: Arc::new(memory),
        })
    }

    fn admit(
        &self,
        request: CallerRequest,
        head: http::request::Parts,
        body: BufferedBody,
        arrived: Moment,
    ) -> Result<Call, Refusal> {
        let front = &self.front;
        let rules = front.view.rules();
        let not_ready = |reason: &str| {
            let after = retry_after(front.config_age(), request.time_left, fastrand::f64());
            Refusal::not_run(reason, after)
        };
        let rules = rules.ok_or_else(|| not_ready("no configuration is known yet"))?;
        let read = front.view.rules_read_at().unwrap_or_default();
        let deny = |status: StatusCode, reason: &str| {
            // A wrong denial is final for its caller, so a configuration that may be outdated
            // denies nothing.
            if elapsed_since(read) > MAX_DENY_AGE {
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
            .pick_service(fastrand::f64())
            .and_then(|name| rules.service(name))
            .ok_or_else(|| not_ready("the route's service is not configured"))?;
        let time_left = request.time_left.unwrap_or(route.timeout);
        let priority = priority(&identity, route.priority);
        let workspace = workspace(identity);
        Ok(Call {
            priority,
            fingerprint: fingerprint(&head, &request.host, workspace.as_deref(), &body.bytes),
            shared_parts: part_digests(&service.name, &request.shared_parts),
            workspace,
            caller_deadline: arrived + time_left,
            answer_deadline: arrived + time_left.min(timeout_or_default(route.timeout)),
            route: Arc::clone(route),
            service: Arc::clone(service),
            request,
            head,
            body: body.bytes,
            memory: body.memory,
            arrived,
            config_version: rules.version,
            execution: Execution::default(),
            is_probe: Arc::default(),
            lost_runs: Arc::default(),
            resumes_after: None,
        })
    }
}

/// The fingerprint of a request: all that stays the same when its caller retries it, which excludes
/// its id and the time left. It includes the workspace, so that no other workspace can get the
/// request rejected.
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

/// The digests of the parts of a prompt. A part that one service's engines can't read may be harmless to
/// those of another.
fn part_digests(service: &str, parts: &[Arc<str>]) -> Arc<[Fingerprint]> {
    parts
        .iter()
        .map(|part| Fingerprint::new(&[service.as_bytes(), part.as_bytes()]))
        .collect()
}

fn priority(identity: &Identity, route_priority: u32) -> u32 {
    match identity {
        Identity::KeyHolder(holder) => holder.priority.unwrap_or(route_priority),
        Identity::Anonymous => route_priority,
    }
}

fn workspace(identity: Identity) -> Option<Arc<str>> {
    match identity {
        Identity::KeyHolder(holder) => Some(holder.workspace),
        Identity::Anonymous => None,
    }
}

const fn timeout_or_default(timeout: Duration) -> Duration {
    if timeout.is_zero() {
        DEFAULT_TIMEOUT
    } else {
        timeout
    }
}
