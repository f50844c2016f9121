//! The client of engines that speak the completions API over server-sent events.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use net::Client;
use serde_json::json;
use timer::Timer;
use types::{Target, Tokens};

use crate::{
    answer::{self, ANSWER_PATIENCE},
    api::{Command, CommandKind, Engine, EngineCall, Stream, StreamId, TargetError, TargetReport},
    report,
    stream::EngineStream,
};

/// Header in which an engine names a stream.
pub const STREAM_ID: &str = "x-stream-id";
/// Header that carries a request's name.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with which a stream is resumed: the offset of the last event that arrived.
const LAST_EVENT_ID: &str = "last-event-id";
/// Bytes of a stream's name at most.
const STREAM_ID_LIMIT: usize = 128;

/// The client of engines.
#[derive(Clone)]
pub struct OpenAiEngine {
    client: Client,
    timer: Timer,
}

impl OpenAiEngine {
    /// Makes a client that calls over `client`.
    #[must_use]
    pub const fn new(client: Client, timer: Timer) -> Self {
        Self { client, timer }
    }

    /// Reads a short answer to its end.
    async fn ask(
        &self,
        target: &Target,
        req: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), TargetError> {
        let exchange = async {
            let resp = self.client.send(target.addr, req).await?;
            answer::read(resp).await
        };
        self.within(ANSWER_PATIENCE, exchange).await
    }

    async fn within<T>(
        &self,
        patience: Duration,
        exchange: impl Future<Output = Result<T, TargetError>>,
    ) -> Result<T, TargetError> {
        self.timer
            .within(patience, exchange)
            .await
            .unwrap_or_else(|| Err(answer::lost(format!("no answer within {patience:?}"))))
    }
}

#[async_trait]
impl Engine for OpenAiEngine {
    async fn start(
        &self,
        target: &Target,
        call: &EngineCall,
    ) -> Result<Box<dyn Stream>, TargetError> {
        let req = request(Method::POST, &call.path, call.body.clone())
            .and_then(|req| with_header(req, REQUEST_ID, &call.request))?;
        let resp = self.client.send(target.addr, req).await?;
        let resp = started(resp).await?;
        let id = stream_id(&resp).ok_or_else(|| answer::lost("the engine named no stream"))?;
        Ok(Box::new(EngineStream::new(id, 0, resp.into_body())))
    }

    async fn resume(
        &self,
        target: &Target,
        stream: &StreamId,
        at: Tokens,
    ) -> Result<Box<dyn Stream>, TargetError> {
        // Whatever made the old connection useless may have done so to the idle ones as well.
        self.client.close_connections(target.addr);
        let mut req = request(Method::GET, &stream_path(stream), Bytes::new())?;
        if let Some(last) = at.checked_sub(1) {
            req = with_header(req, LAST_EVENT_ID, &last.to_string())?;
        }
        let resp = self.client.send_fresh(target.addr, req).await?;
        let resp = started(resp).await.map_err(answer::gone)?;
        // An answer that belongs to somebody else's stream must not reach this caller.
        if stream_id(&resp).is_some_and(|named| named != *stream) {
            return Err(answer::lost("the engine answered with another stream"));
        }
        let body = resp.into_body();
        Ok(Box::new(EngineStream::new(Arc::clone(stream), at, body)))
    }

    async fn cancel(&self, target: &Target, stream: &StreamId) -> Result<(), TargetError> {
        let req = request(Method::DELETE, &stream_path(stream), Bytes::new())?;
        let (status, body) = self.ask(target, req).await?;
        answer::check_done(status, body).map_err(answer::gone)
    }

    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError> {
        let req = request(Method::GET, report::PATH, Bytes::new())?;
        let (status, body) = self.ask(target, req).await?;
        report::decode(status, &body)
    }

    async fn send_command(&self, target: &Target, command: &Command) -> Result<(), TargetError> {
        let (kind, name) = match &command.kind {
            CommandKind::Load(name) => ("load", name),
            CommandKind::Adapter(name) => ("adapter", name),
            CommandKind::Role(name) => ("role", name),
        };
        let body = json!({ "kind": kind, "name": name, "fence": command.fence }).to_string();
        let req = request(Method::POST, "/v1/orders", body.into())?;
        let (status, body) = self.ask(target, req).await?;
        answer::check_done(status, body)
    }
}

/// Sorts out answers that start no stream.
async fn started(resp: Response<Incoming>) -> Result<Response<Incoming>, TargetError> {
    if resp.status() == StatusCode::OK {
        return Ok(resp);
    }
    let retry_after = answer::retry_after(resp.headers());
    let (status, body) = answer::read(resp).await?;
    Err(answer::refused(status, body, retry_after))
}

fn request(method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, TargetError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|e| answer::unsent(e.to_string()))
}

fn with_header(
    mut req: Request<Full<Bytes>>,
    name: &'static str,
    value: &str,
) -> Result<Request<Full<Bytes>>, TargetError> {
    let value = HeaderValue::from_str(value).map_err(|e| answer::unsent(e.to_string()))?;
    req.headers_mut().insert(name, value);
    Ok(req)
}

fn stream_path(stream: &str) -> String {
    format!("/v1/streams/{stream}")
}

/// The name goes into paths and event ids, so it may hold only what is safe there.
fn stream_id(resp: &Response<Incoming>) -> Option<StreamId> {
    let name = resp.headers().get(STREAM_ID)?.to_str().ok()?;
    let safe = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    let fits = !name.is_empty() && name.len() <= STREAM_ID_LIMIT && name.bytes().all(safe);
    fits.then(|| name.into())
}
