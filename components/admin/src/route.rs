//! Which request asks for what.

use std::sync::Arc;

use derive_more::Display;
use hyper::Method;
use tree::NodePath;
use types::DataCentreId;

use crate::problem::Problem;

/// What a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// Whether the process is alive.
    Health,
    /// Whether it takes new work.
    Ready,
    /// Its metrics.
    Metrics,
    /// Its state.
    Dump,
    /// A summary of its state.
    Status,
    /// The whole tree as written.
    ReadTree,
    /// Writes many nodes.
    WriteTree,
    /// Reads one node.
    ReadNode(NodePath),
    /// Writes one node.
    WriteNode(NodePath),
    /// Deletes one node.
    DeleteNode(NodePath),
    /// Checks changes without applying them.
    Validate,
    /// Accepted changes.
    History,
    /// Takes a data centre out or back in.
    DataCentre(DataCentreId, Direction),
    /// Keeps a data centre out for a limited time although the table service is down.
    Override(DataCentreId),
    /// Withdraws that.
    Withdraw(DataCentreId),
}

/// Whether a data centre goes out of service or comes back.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Direction {
    /// Out of service.
    #[display("out")]
    Out,
    /// Back in service.
    #[display("in")]
    In,
}

/// All routes as the OpenAPI file writes them.
pub const ROUTES: &[(&str, &str)] = &[
    ("get", "/health"),
    ("get", "/ready"),
    ("get", "/metrics"),
    ("get", "/dump"),
    ("get", "/v1/status"),
    ("get", "/v1/tree"),
    ("put", "/v1/tree"),
    ("get", "/v1/tree/{path}"),
    ("put", "/v1/tree/{path}"),
    ("delete", "/v1/tree/{path}"),
    ("post", "/v1/validate"),
    ("get", "/v1/history"),
    ("post", "/v1/data-centres/{id}/out"),
    ("post", "/v1/data-centres/{id}/in"),
    ("put", "/v1/data-centres/{id}/override"),
    ("delete", "/v1/data-centres/{id}/override"),
];

impl Route {
    /// Finds what a request asks for.
    ///
    /// # Errors
    /// 404 or 405.
    pub fn find(method: &Method, path: &str) -> Result<Self, Problem> {
        if let Some(node) = path.strip_prefix("/v1/tree/") {
            return node_route(method, format!("/{node}").into());
        }
        if let Some(rest) = path.strip_prefix("/v1/data-centres/") {
            return data_centre_route(method, path, rest);
        }
        match (path, method.as_str()) {
            ("/health", "GET") => Ok(Self::Health),
            ("/ready", "GET") => Ok(Self::Ready),
            ("/metrics", "GET") => Ok(Self::Metrics),
            ("/dump", "GET") => Ok(Self::Dump),
            ("/v1/status", "GET") => Ok(Self::Status),
            ("/v1/tree", "GET") => Ok(Self::ReadTree),
            ("/v1/tree", "PUT") => Ok(Self::WriteTree),
            ("/v1/history", "GET") => Ok(Self::History),
            ("/v1/validate", "POST") => Ok(Self::Validate),
            ("/health" | "/ready" | "/metrics" | "/dump" | "/v1/status" | "/v1/history", _) => {
                Err(wrong_method("GET"))
            }
            ("/v1/tree", _) => Err(wrong_method("GET, PUT")),
            ("/v1/validate", _) => Err(wrong_method("POST")),
            _ => Err(not_found(path)),
        }
    }

    /// Whether it is answered without an operator's key: what balancers and monitoring ask.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::Health | Self::Ready | Self::Metrics)
    }
}

fn node_route(method: &Method, path: Arc<str>) -> Result<Route, Problem> {
    match method.as_str() {
        "GET" => Ok(Route::ReadNode(path)),
        "PUT" => Ok(Route::WriteNode(path)),
        "DELETE" => Ok(Route::DeleteNode(path)),
        _ => Err(wrong_method("GET, PUT, DELETE")),
    }
}

fn data_centre_route(method: &Method, path: &str, rest: &str) -> Result<Route, Problem> {
    let (id, order) = rest.split_once('/').ok_or_else(|| not_found(path))?;
    let id: DataCentreId = id.into();
    match (order, method.as_str()) {
        ("out", "POST") => Ok(Route::DataCentre(id, Direction::Out)),
        ("in", "POST") => Ok(Route::DataCentre(id, Direction::In)),
        ("override", "PUT") => Ok(Route::Override(id)),
        ("override", "DELETE") => Ok(Route::Withdraw(id)),
        ("out" | "in", _) => Err(wrong_method("POST")),
        ("override", _) => Err(wrong_method("PUT, DELETE")),
        _ => Err(not_found(path)),
    }
}

fn wrong_method(allowed: &str) -> Problem {
    let detail = format!("allowed here: {allowed}");
    Problem::new(405, "method", "The method is not allowed here", detail)
}

fn not_found(path: &str) -> Problem {
    let detail = format!("there is nothing at {path}");
    Problem::new(404, "not-found", "Not found", detail)
}
