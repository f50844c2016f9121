//! Routing of requests by method and path.

use std::sync::Arc;

use derive_more::Display;
use hyper::Method;
use tree::NodePath;
use types::DataCentreId;

use crate::problem::Problem;

/// An operation of the API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// Checks whether the process is alive.
    Health,
    /// Checks whether the instance accepts requests.
    Ready,
    /// Reads the metrics.
    Metrics,
    /// Reads the state of the process.
    Dump,
    /// Reads a summary of the state.
    Status,
    /// Reads the whole tree as written.
    ReadTree,
    /// Writes the nodes of a document.
    WriteTree,
    /// Reads one node.
    ReadNode(NodePath),
    /// Writes one node.
    WriteNode(NodePath),
    /// Deletes one node.
    DeleteNode(NodePath),
    /// Checks a document without writing it.
    Validate,
    /// Reads the latest accepted changes.
    History,
    /// Takes a data centre out of service or brings it back.
    DataCentre(DataCentreId, Direction),
    /// Takes a data centre out for a limited time although the table service is unavailable.
    Override(DataCentreId),
    /// Withdraws an override.
    WithdrawOverride(DataCentreId),
}

/// Whether a data centre is taken out of service or brought back.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Direction {
    /// Out of service.
    #[display("out")]
    Out,
    /// Back in service.
    #[display("in")]
    In,
}

/// Method and path of all routes, as `docs/admin-api.yml` writes them.
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
    /// Finds the operation of a request.
    ///
    /// # Errors
    /// 404 if the path is unknown, 405 if it does not allow the method.
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
                Err(method_not_allowed("GET"))
            }
            ("/v1/tree", _) => Err(method_not_allowed("GET, PUT")),
            ("/v1/validate", _) => Err(method_not_allowed("POST")),
            _ => Err(not_found(path)),
        }
    }

    /// Whether the operation needs no operator key, as those of load balancers and monitoring.
    #[must_use]
    pub const fn is_public(&self) -> bool {
        matches!(self, Self::Health | Self::Ready | Self::Metrics)
    }
}

fn node_route(method: &Method, path: Arc<str>) -> Result<Route, Problem> {
    match method.as_str() {
        "GET" => Ok(Route::ReadNode(path)),
        "PUT" => Ok(Route::WriteNode(path)),
        "DELETE" => Ok(Route::DeleteNode(path)),
        _ => Err(method_not_allowed("GET, PUT, DELETE")),
    }
}

fn data_centre_route(method: &Method, path: &str, rest: &str) -> Result<Route, Problem> {
    let (id, action) = rest.split_once('/').ok_or_else(|| not_found(path))?;
    let id: DataCentreId = id.into();
    match (action, method.as_str()) {
        ("out", "POST") => Ok(Route::DataCentre(id, Direction::Out)),
        ("in", "POST") => Ok(Route::DataCentre(id, Direction::In)),
        ("override", "PUT") => Ok(Route::Override(id)),
        ("override", "DELETE") => Ok(Route::WithdrawOverride(id)),
        ("out" | "in", _) => Err(method_not_allowed("POST")),
        ("override", _) => Err(method_not_allowed("PUT, DELETE")),
        _ => Err(not_found(path)),
    }
}

fn method_not_allowed(allowed: &str) -> Problem {
    let detail = format!("allowed here: {allowed}");
    Problem::new(405, "method", "The method is not allowed here", detail)
}

fn not_found(path: &str) -> Problem {
    let detail = format!("there is nothing at {path}");
    Problem::new(404, "not-found", "Not found", detail)
}
