//! Client of plain HTTP services.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming};
use net::{Budget, Client, ConnectionUse, read_held, retry_after};
use timer::Timer;
use types::Target;

use crate::{
    answer::{self, ANSWER_TIMEOUT},
    api::{MaySend, PlainAnswer, PlainCall, PlainService, TargetError, TargetReport},
    openai::REQUEST_ID,
    report,
    send_check::SendCheck,
};

/// Largest answer of a plain service, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A client of plain HTTP services.
#[derive(Clone)]
pub struct HttpPlainService {
    client: Client,
    timer: Timer,
    /// The memory that answers count against until they have been written to their callers.
    memory: Budget,
}

impl HttpPlainService {
    /// Creates a client that sends its requests over `client`.
    #[must_use]
    pub fn new(client: Client, timer: Timer) -> Self {
        Self {
            client,
            timer,
            memory: Budget::unlimited(),
        }
    }

    /// Sets the budget that answers count against until they have been written to their callers.
    #[must_use]
    pub fn with_memory(mut self, memory: Budget) -> Self {
        self.memory = memory;
        self
    }

    async fn exchange(
        &self,
        target: &Target,
        call: &PlainCall,
        timeout: Duration,
        may_send: MaySend<'_>,
    ) -> Result<PlainAnswer, TargetError> {
        let req = request(call)?;
        let mut check = SendCheck::new(&call.request, may_send);
        if !may_use_idle_connection(req.method()) {
            check = check.with_new_connection();
        }
        let sent = self.client.send_with(target.addr, req, &check).await;
        let resp = check.result(sent)?;
        let is_certain = answer::is_certain(&resp, &call.request);
        read(resp, is_certain, timeout, &self.memory).await
    }
}

/// Whether a request may be sent over an idle connection. The service may close it while the
/// request is in transit, and then it is unknown whether the request ran. For a request that is not
/// safe to repeat the caller would get the answer `unknown`, so it is sent over a new connection.
fn may_use_idle_connection(method: &Method) -> bool {
    method.is_safe()
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(
        &self,
        target: &Target,
        call: &PlainCall,
        timeout: Duration,
    ) -> Result<PlainAnswer, TargetError> {
        self.call_if(target, call, timeout, &|| true).await
    }

    async fn call_if(
        &self,
        target: &Target,
        call: &PlainCall,
        timeout: Duration,
        may_send: MaySend<'_>,
    ) -> Result<PlainAnswer, TargetError> {
        self.timer
            .within(timeout, self.exchange(target, call, timeout, may_send))
            .await
            .unwrap_or_else(|| Err(answer::lost(format!("no answer within {timeout:?}"))))
    }

    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError> {
        let req = Request::get(report::PATH)
            .body(Full::new(Bytes::new()))
            .map_err(|e| answer::unsent(e.to_string()))?;
        let exchange = async {
            let resp = self.client.send(target.addr, req).await?;
            answer::read(resp, "").await
        };
        let answer = self
            .timer
            .within(ANSWER_TIMEOUT, exchange)
            .await
            .ok_or_else(|| answer::lost("no load report in time"))??;
        report::decode(answer)
    }
}

fn request(call: &PlainCall) -> Result<Request<Full<Bytes>>, TargetError> {
    let mut builder = Request::builder()
        .method(call.method.as_ref())
        .uri(call.path.as_ref());
    for (name, value) in &call.headers {
        builder = builder.header(name.as_ref(), value.as_ref());
    }
    builder
        .header(REQUEST_ID, call.request.as_ref())
        .body(Full::new(call.body.clone()))
        .map_err(|e| answer::unsent(e.to_string()))
}

async fn read(
    resp: Response<Incoming>,
    is_certain: bool,
    timeout: Duration,
    memory: &Budget,
) -> Result<PlainAnswer, TargetError> {
    let status = resp.status();
    let retry_after = retry_after(resp.headers());
    let names_earlier = ConnectionUse::of(&resp).names_earlier;
    let headers = resp
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect::<Vec<(Arc<str>, Arc<str>)>>();
    let body = read_held(resp.into_body(), MAX_BODY_BYTES, timeout, memory)
        .await
        .map_err(|e| answer::lost(e.to_string()))?;
    if answer::is_rejection(status, &body, retry_after) {
        return Err(TargetError::Rejected {
            reason: format!("status {status}").into(),
            retry_after,
            is_certain,
        });
    }
    if names_earlier {
        return Err(answer::lost("the answer belongs to an earlier request"));
    }
    Ok(PlainAnswer {
        status: status.as_u16(),
        headers,
        body,
    })
}
