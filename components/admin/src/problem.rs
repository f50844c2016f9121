//! Error responses of type `application/problem+json`.

use std::sync::Arc;

use config::{ChangeError, Fault};
use hyper::Response;
use net::{Body, Reply};
use serde::{Deserialize, Serialize};
use tree::Node;
use types::ConfigVersion;

/// `Retry-After` in seconds while the table service is unavailable.
const STORE_RETRY_SECONDS: &str = "5";

/// Status of a change that conflicts with another one (412, precondition failed).
pub const CONFLICT: u16 = 412;

/// The description of a failed request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// Always `about:blank`; `code` identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: Arc<str>,
    /// Short summary, the same for all problems with this code.
    pub title: Arc<str>,
    /// HTTP status.
    pub status: u16,
    /// Short machine-readable code.
    pub code: Arc<str>,
    /// What happened, and what the operator can do.
    pub detail: Arc<str>,
    /// All faults of a rejected change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// After a conflict, the current state of the node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub now: Option<Box<CurrentNode>>,
}

/// The current state of a node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CurrentNode {
    /// Version of its last change; `None` if the node does not exist.
    pub version: Option<ConfigVersion>,
    /// Its content; `None` if the node does not exist.
    pub node: Option<Node>,
}

impl Problem {
    /// Creates a problem.
    #[must_use]
    pub fn new(status: u16, code: &str, title: &str, detail: impl Into<Arc<str>>) -> Self {
        Self {
            kind: "about:blank".into(),
            title: title.into(),
            status,
            code: code.into(),
            detail: detail.into(),
            ..Self::default()
        }
    }

    /// Sets the faults of a rejected change.
    #[must_use]
    pub fn with_faults(mut self, faults: Vec<Fault>) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the current state of the node.
    #[must_use]
    pub fn with_now(mut self, now: CurrentNode) -> Self {
        self.now = Some(Box::new(now));
        self
    }

    /// Creates the problem for a change that was not accepted; `now` is the current state of its
    /// node.
    #[must_use]
    pub fn from_change_error(error: ChangeError, now: CurrentNode) -> Self {
        let detail = error.to_string();
        match error {
            ChangeError::Invalid { faults } => {
                Self::new(422, "invalid", "The change is not valid", detail).with_faults(faults)
            }
            ChangeError::Conflict { now: version } => {
                let detail = match version {
                    Some(version) => format!("version {version} has written it"),
                    None => "it does not exist now".to_owned(),
                };
                let title = "The node is not as you saw it";
                Self::new(CONFLICT, "conflict", title, detail).with_now(now)
            }
            ChangeError::StoreUnavailable => {
                Self::new(503, "store-down", "The table service is down", detail)
            }
            ChangeError::Unknown => Self::new(
                504,
                "unknown",
                "The outcome is unknown",
                format!("{detail}; read the node before you try again"),
            ),
        }
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn reply(&self) -> Response<Body> {
        let reply =
            Reply::json(self.status, self).with_header("content-type", "application/problem+json");
        let reply = match self.status {
            401 => reply.with_header("www-authenticate", "Bearer"),
            503 => reply.with_header("retry-after", STORE_RETRY_SECONDS),
            _ => reply,
        };
        reply.done()
    }
}
