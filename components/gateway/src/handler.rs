//! Routes callers' requests to the module that answers them.

use std::net::SocketAddr;

use async_trait::async_trait;
use futures_lite::future;
use hyper::{Method, Request, Response, body::Incoming};
use net::{Body, Handler};
use types::Refusal;

use crate::{
    completion_request::Api, gateway::Gateway, generate, plain, problem, refusals, request::Caller,
    streams,
};

/// Path by which callers resume a stream.
const STREAMS_PATH: &str = "/v1/streams";

#[async_trait]
impl Handler for Gateway {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        match self.answer(req).await {
            Ok(resp) => resp,
            Err(refusal) => {
                self.core.metrics.record_refusal(&refusal.code);
                problem::response(&refusal)
            }
        }
    }
}

impl Gateway {
    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let caller = Caller::identify(&self.core, req.headers())?;
        let gate = caller.gate.clone();
        let stopped = async {
            self.core.stop.wait().await;
            Err(if gate.close() {
                refusals::stopped_midway()
            } else {
                refusals::stopping()
            })
        };
        future::or(stopped, self.answer_caller(caller, req)).await
    }

    async fn answer_caller(
        &self,
        caller: Caller,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let path = req.uri().path();
        if let Some(api) = api(path) {
            expect_method(&req, &Method::POST)?;
            return generate::answer(&self.core, caller, api, req).await;
        }
        if path == STREAMS_PATH {
            expect_method(&req, &Method::GET)?;
            return streams::answer(&self.core, caller, &req).await;
        }
        plain::answer(&self.core, caller, req).await
    }
}

fn api(path: &str) -> Option<Api> {
    [Api::Chat, Api::Text]
        .into_iter()
        .find(|api| api.path() == path)
}

fn expect_method(req: &Request<Incoming>, method: &Method) -> Result<(), Refusal> {
    if req.method() == method {
        return Ok(());
    }
    Err(refusals::bad_method(method.as_str()))
}
