//! The HTTP handler of the administration API.

use std::net::SocketAddr;

use async_trait::async_trait;
use events::Event;
use hyper::{HeaderMap, Request, Response, Uri, body::Incoming};
use net::{Body, Handler, Reply};

use crate::{
    auth,
    body::read_json,
    data_centre, document,
    message::{Ready, Status},
    metrics,
    parts::AdminParts,
    problem::{CurrentNode, Problem},
    redact::redact,
    route::Route,
    throttle::Throttle,
    tree_api,
};

/// Number of accepted changes that are returned if the request names no limit.
const DEFAULT_HISTORY: usize = 20;
/// Maximum number of accepted changes in one answer.
const MAX_HISTORY: usize = 1000;
/// Content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves requests on the admin address.
pub struct AdminApi {
    parts: AdminParts,
    key_failures: Throttle,
}

impl AdminApi {
    /// Creates the handler.
    #[must_use]
    pub fn new(parts: AdminParts) -> Self {
        Self {
            parts,
            key_failures: Throttle::new(),
        }
    }

    async fn answer(
        &self,
        peer: SocketAddr,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        let (head, body) = req.into_parts();
        let route = Route::find(&head.method, head.uri.path())?;
        if !route.is_public() && !auth::allows(&head.headers, &self.parts.key_hashes) {
            let peer = peer.ip().to_string().into();
            self.key_failures.emit(&Event::OperatorUnknown { peer });
            return Err(unauthorized());
        }
        self.serve(route, &head.uri, &head.headers, body).await
    }

    async fn serve(
        &self,
        route: Route,
        uri: &Uri,
        headers: &HeaderMap,
        body: Incoming,
    ) -> Result<Response<Body>, Problem> {
        let config = &*self.parts.config;
        match route {
            Route::Health => Ok(Reply::text(200, "alive\n").done()),
            Route::Ready => Ok(self.ready()),
            Route::Metrics => self.metrics(),
            Route::Dump => Ok(self.dump()),
            Route::Status => Ok(Reply::json(200, &self.status()).done()),
            Route::ReadTree => document::read(config),
            Route::WriteTree => document::write(config, headers, read_json(body).await?).await,
            Route::ReadNode(path) if query(uri, "in-force") == Some("true") => {
                tree_api::effective_values(config, &path)
            }
            Route::ReadNode(path) => tree_api::read(config, &path),
            Route::WriteNode(path) => {
                let node = Some(read_json(body).await?);
                tree_api::write(config, headers, path, node).await
            }
            Route::DeleteNode(path) => tree_api::write(config, headers, path, None).await,
            Route::Validate => document::validate(config, &read_json(body).await?),
            Route::History => self.history(uri).await,
            Route::DataCentre(id, direction) => {
                data_centre::set_service_state(config, headers, &id, direction).await
            }
            Route::Override(id) => {
                let request = read_json(body).await?;
                data_centre::override_out(config, headers, &id, &request).await
            }
            Route::WithdrawOverride(id) => data_centre::withdraw(config, headers, &id).await,
        }
    }

    fn ready(&self) -> Response<Body> {
        let reason = self.parts.readiness.ready().err();
        let ready = reason.is_none();
        let status = if ready { 200 } else { 503 };
        Reply::json(status, &Ready { ready, reason }).done()
    }

    fn metrics(&self) -> Result<Response<Body>, Problem> {
        let text = metrics::text(&self.parts).map_err(|e| {
            let title = "The metrics can't be written";
            Problem::new(500, "metrics", title, e.to_string())
        })?;
        let reply = Reply::text(200, text).with_header("content-type", METRICS_TYPE);
        Ok(reply.done())
    }

    fn dump(&self) -> Response<Body> {
        let mut state = self.parts.dump.dump();
        redact(&mut state);
        Reply::json(200, &state).done()
    }

    fn status(&self) -> Status {
        let reason = self.parts.readiness.ready().err();
        let current = self.parts.config.current();
        Status {
            instance: self.parts.instance.clone(),
            data_centre: self.parts.data_centre.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            ready: reason.is_none(),
            reason,
            config_version: current.as_ref().map(|current| current.snapshot.version),
            out: current.map_or_else(Vec::new, |current| current.effective.data_centres_out()),
            overrides: data_centre::overrides(&*self.parts.config),
        }
    }

    async fn history(&self, uri: &Uri) -> Result<Response<Body>, Problem> {
        let limit = match query(uri, "limit") {
            Some(text) => text.parse().map_err(|_| bad_limit(text))?,
            None => DEFAULT_HISTORY,
        };
        let entries = self
            .parts
            .config
            .history(limit.min(MAX_HISTORY))
            .await
            .map_err(|e| Problem::from_change_error(e, CurrentNode::default()))?;
        Ok(Reply::json(200, &entries).done())
    }
}

#[async_trait]
impl Handler for AdminApi {
    async fn handle(&self, peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        match self.answer(peer, req).await {
            Ok(resp) => resp,
            Err(problem) => problem.reply(),
        }
    }
}

/// The value of a query parameter. It is not percent-decoded, since no parameter of this API needs
/// it.
fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

fn bad_limit(text: &str) -> Problem {
    let detail = format!("limit={text} is no number");
    Problem::new(400, "query", "The query can't be read", detail)
}

fn unauthorized() -> Problem {
    Problem::new(
        401,
        "key",
        "An operator's key is needed",
        "send Authorization: Bearer KEY with a key whose hash is in the settings of this instance",
    )
}
