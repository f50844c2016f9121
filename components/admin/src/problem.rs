//! Errors as `application/problem+json`.

use std::sync::Arc;

use config::{ChangeError, Fault};
use hyper::Response;
use net::{Body, Reply};
use serde::{Deserialize, Serialize};
use tree::Node;
use types::ConfigVersion;

/// Seconds after which to try again when the table service is down.
const STORE_RETRY_SECONDS: &str = "5";

/// Status after a conflict.
pub const CONFLICT: u16 = 412;

/// What went wrong with one request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// Always `about:blank`; the code tells more.
    #[serde(rename = "type")]
    pub kind: Arc<str>,
    /// Short summary.
    pub title: Arc<str>,
    /// HTTP status.
    pub status: u16,
    /// Short machine-readable name.
    pub code: Arc<str>,
    /// What happened and what to do.
    pub detail: Arc<str>,
    /// All that is wrong with a change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// After a conflict: what the node is now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub now: Option<Box<Now>>,
}

/// What a node is at present.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Now {
    /// The version that last wrote it; `None` if it does not exist.
    pub version: Option<ConfigVersion>,
    /// Its content.
    pub node: Option<Node>,
}

impl Problem {
    /// Describes a problem.
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

    /// Sets what is wrong with a change.
    #[must_use]
    pub fn with_faults(mut self, faults: Vec<Fault>) -> Self {
        self.faults = faults;
        self
    }

    /// Sets what the node is now.
    #[must_use]
    pub fn with_now(mut self, now: Now) -> Self {
        self.now = Some(Box::new(now));
        self
    }

    /// Tells why a change was not accepted.
    #[must_use]
    pub fn of_change(error: ChangeError, now: Now) -> Self {
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

    /// The answer that tells it.
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
