//! The servers for readiness checks, metrics, the state dump, and messages of new instances.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Handler, Reply};

use crate::{
    instances::{message_handler::MessageHandler, peers::MESSAGES_PATH},
    state::Front,
};

/// The path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// The path of the state dump.
pub const DUMP_PATH: &str = "/dump";

/// Answers the load balancer's readiness checks.
pub struct Readiness {
    front: Arc<Front>,
}

impl Readiness {
    /// Serves the state of this instance.
    #[must_use]
    pub const fn new(front: Arc<Front>) -> Self {
        Self { front }
    }
}

#[async_trait]
impl Handler for Readiness {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        if !self.front.adapter.is_readiness_path(req.uri().path()) {
            return Reply::new(404).done();
        }
        let status = if self.front.is_ready() { 200 } else { 503 };
        Reply::new(status).done()
    }
}

/// Answers operators, and messages of instances that know only this address, from their seeds.
pub struct Admin {
    front: Arc<Front>,
    messages: MessageHandler,
}

impl Admin {
    /// Serves the state of this instance.
    #[must_use]
    pub fn new(front: Arc<Front>) -> Self {
        Self {
            messages: MessageHandler::new(Arc::clone(&front)),
            front,
        }
    }
}

#[async_trait]
impl Handler for Admin {
    async fn handle(&self, peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            METRICS_PATH => Reply::text(200, self.front.metrics.to_text()).done(),
            MESSAGES_PATH => self.messages.handle(peer, req).await,
            DUMP_PATH => Reply::json(200, &self.front.dump()).done(),
            _ => Reply::new(404).done(),
        }
    }
}
