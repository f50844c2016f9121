//! The client of plain services.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming};
use net::{Budget, Client, Share, read_shared};
use timer::Timer;
use types::Target;

use crate::{
    answer::{self, ANSWER_PATIENCE},
    api::{PlainAnswer, PlainCall, PlainService, TargetError, TargetReport},
    openai::REQUEST_ID,
    report,
};

/// Bytes of a plain service's answer at most.
const BODY_LIMIT: usize = 16 * 1024 * 1024;
/// Bytes of all answers that are being read: a service gone wild must not take the memory of
/// everybody else's calls.
const ANSWERS: usize = 64 * 1024 * 1024;

/// The client of plain services.
#[derive(Clone)]
pub struct HttpPlainService {
    client: Client,
    timer: Timer,
    answers: Budget,
}

impl HttpPlainService {
    /// Makes a client that calls over `client`.
    #[must_use]
    pub fn new(client: Client, timer: Timer) -> Self {
        Self {
            client,
            timer,
            answers: Budget::new(ANSWERS),
        }
    }

    async fn exchange(
        &self,
        target: &Target,
        call: &PlainCall,
        patience: Duration,
    ) -> Result<PlainAnswer, TargetError> {
        let req = request(call)?;
        let resp = if may_share(req.method()) {
            self.client.send(target.addr, req).await?
        } else {
            self.client.send_fresh(target.addr, req).await?
        };
        read(resp, patience, self.answers.share()).await
    }
}

/// A service may close an idle connection just while a request is on its way there. Then nobody
/// can tell whether the request ran, and a caller would hear `unknown` for a call that must not
/// be repeated; over a new connection this can't happen.
fn may_share(method: &Method) -> bool {
    method.is_safe()
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(
        &self,
        target: &Target,
        call: &PlainCall,
        patience: Duration,
    ) -> Result<PlainAnswer, TargetError> {
        self.timer
            .within(patience, self.exchange(target, call, patience))
            .await
            .unwrap_or_else(|| Err(answer::lost(format!("no answer within {patience:?}"))))
    }

    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError> {
        let req = Request::get(report::PATH)
            .body(Full::new(Bytes::new()))
            .map_err(|e| answer::unsent(e.to_string()))?;
        let exchange = async {
            let resp = self.client.send(target.addr, req).await?;
            answer::read(resp).await
        };
        let (status, body) = self
            .timer
            .within(ANSWER_PATIENCE, exchange)
            .await
            .ok_or_else(|| answer::lost("no load report in time"))??;
        report::decode(status, &body)
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
    patience: Duration,
    mut share: Share,
) -> Result<PlainAnswer, TargetError> {
    let status = resp.status();
    let retry_after = answer::retry_after(resp.headers());
    let headers = resp
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str().into(), value.to_str().ok()?.into())))
        .collect::<Vec<(Arc<str>, Arc<str>)>>();
    let body = read_shared(resp.into_body(), BODY_LIMIT, patience, &mut share)
        .await
        .map_err(|e| answer::lost(e.to_string()))?;
    if answer::turned(status, &body, retry_after) {
        return Err(TargetError::Rejected {
            reason: format!("status {status}").into(),
            retry_after,
        });
    }
    Ok(PlainAnswer {
        status: status.as_u16(),
        headers,
        body,
    })
}
