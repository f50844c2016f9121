//! Client of engines that serve the completions API with server-sent events.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use net::{AnyConnection, Budget, Client, NewConnection, SendRules};
use serde_json::json;
use timer::Timer;
use types::{Target, Tokens};

use crate::{
    answer::{self, ANSWER_TIMEOUT, Answer},
    api::{
        Command, CommandKind, Engine, EngineCall, MaySend, Stream, StreamId, TargetError,
        TargetReport,
    },
    report,
    send_check::SendCheck,
    stream::EngineStream,
};

/// Header with the id that an engine gives a stream.
pub const STREAM_ID: &str = "x-stream-id";
/// Header with the id of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header that resumes a stream after the last event that was received.
const LAST_EVENT_ID: &str = "last-event-id";
const MAX_STREAM_ID_BYTES: usize = 128;

/// A client of engines.
#[derive(Clone)]
pub struct OpenAiEngine {
    client: Client,
    timer: Timer,
    /// The memory that incomplete events count against.
    memory: Budget,
}

impl OpenAiEngine {
    /// Creates a client that sends its requests over `client`.
    #[must_use]
    pub fn new(client: Client, timer: Timer) -> Self {
        Self {
            client,
            timer,
            memory: Budget::unlimited(),
        }
    }

    /// Sets the budget that incomplete events count against.
    #[must_use]
    pub fn with_memory(mut self, memory: Budget) -> Self {
        self.memory = memory;
        self
    }

    /// Sends a request by these rules and reads the whole answer.
    async fn call(
        &self,
        target: &Target,
        req: Request<Full<Bytes>>,
        rules: &dyn SendRules,
    ) -> Result<Answer, TargetError> {
        let exchange = async {
            let resp = self.client.send_with(target.addr, req, rules).await?;
            answer::read(resp, "").await
        };
        self.within(ANSWER_TIMEOUT, exchange).await
    }

    /// Awaits an exchange for at most `timeout`.
    async fn within<T>(
        &self,
        timeout: Duration,
        exchange: impl Future<Output = Result<T, TargetError>>,
    ) -> Result<T, TargetError> {
        self.timer
            .within(timeout, exchange)
            .await
            .unwrap_or_else(|| Err(answer::lost(format!("no answer within {timeout:?}"))))
    }
}

#[async_trait]
impl Engine for OpenAiEngine {
    async fn start(
        &self,
        target: &Target,
        call: &EngineCall,
    ) -> Result<Box<dyn Stream>, TargetError> {
        self.start_if(target, call, &|| true).await
    }

    async fn start_if(
        &self,
        target: &Target,
        call: &EngineCall,
        may_send: MaySend<'_>,
    ) -> Result<Box<dyn Stream>, TargetError> {
        let req = request(Method::POST, &call.path, call.body.clone())
            .and_then(|req| with_header(req, REQUEST_ID, &call.request))?;
        // An extra answer to an earlier request can't come over it, and the engine need not echo the id.
        let check = SendCheck::new(&call.request, may_send).with_new_connection();
        let sent = self.client.send_with(target.addr, req, &check).await;
        let resp = check.result(sent)?;
        let resp = check_started(resp, &call.request).await?;
        let id = stream_id(&resp).ok_or_else(|| answer::lost("the engine named no stream"))?;
        Ok(Box::new(EngineStream::new(
            id,
            0,
            resp.into_body(),
            &self.memory,
        )))
    }

    async fn resume(
        &self,
        target: &Target,
        stream: &StreamId,
        at: Tokens,
    ) -> Result<Box<dyn Stream>, TargetError> {
        // What broke the old connection may have broken the idle ones as well.
        self.client.close_connections(target.addr);
        let mut req = request(Method::GET, &stream_path(stream), Bytes::new())?;
        if let Some(last) = at.checked_sub(1) {
            req = with_header(req, LAST_EVENT_ID, &last.to_string())?;
        }
        let resp = self.client.send_fresh(target.addr, req).await?;
        let resp = check_started(resp, "").await;
        let resp = resp.map_err(answer::stream_error)?;
        // An answer with another caller's stream must not reach this caller.
        if stream_id(&resp).is_some_and(|named| named != *stream) {
            return Err(answer::lost("the engine answered with another stream"));
        }
        let body = resp.into_body();
        Ok(Box::new(EngineStream::new(
            Arc::clone(stream),
            at,
            body,
            &self.memory,
        )))
    }

    async fn cancel(&self, target: &Target, stream: &StreamId) -> Result<(), TargetError> {
        let req = request(Method::DELETE, &stream_path(stream), Bytes::new())?;
        // The answer frees the engine's memory for others, so it must be the one to this request.
        let answer = self.call(target, req, &NewConnection).await?;
        answer::check_success(answer).map_err(answer::stream_error)
    }

    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError> {
        let req = request(Method::GET, report::PATH, Bytes::new())?;
        report::decode(self.call(target, req, &AnyConnection).await?)
    }

    async fn send_command(&self, target: &Target, command: &Command) -> Result<(), TargetError> {
        let (kind, name) = match &command.kind {
            CommandKind::Load(name) => ("load", name),
            CommandKind::Adapter(name) => ("adapter", name),
            CommandKind::Role(name) => ("role", name),
        };
        let body = json!({ "kind": kind, "name": name, "fence": command.fence }).to_string();
        let req = request(Method::POST, "/v1/orders", body.into())?;
        let answer = self.call(target, req, &NewConnection).await?;
        answer::check_success(answer)
    }
}

/// Passes on an answer that starts a stream; converts any other to an error.
async fn check_started(
    resp: Response<Incoming>,
    request: &str,
) -> Result<Response<Incoming>, TargetError> {
    if resp.status() == StatusCode::OK {
        return Ok(resp);
    }
    Err(answer::error_answer(answer::read(resp, request).await?))
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

/// Returns the id that the engine gave the stream. The id becomes part of paths and event ids, so
/// it may contain only characters that are safe there.
fn stream_id(resp: &Response<Incoming>) -> Option<StreamId> {
    let name = resp.headers().get(STREAM_ID)?.to_str().ok()?;
    let safe = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    let valid = !name.is_empty() && name.len() <= MAX_STREAM_ID_BYTES && name.bytes().all(safe);
    valid.then(|| name.into())
}
