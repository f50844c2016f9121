//! Calls to the administration API of one instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use admin::problem::Problem;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request,
    header::{AUTHORIZATION, CONTENT_TYPE, FROM, HeaderName, IF_MATCH, IF_NONE_MATCH},
};
use net::{Client, SendError, read_all};
use serde::{Serialize, de::DeserializeOwned};
use types::ConfigVersion;

use crate::failure::{Failure, FailureKind, Outcome};

/// Bytes of an answer.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;
/// Time to wait for an answer. The table service may be slow.
const PATIENCE: Duration = Duration::from_secs(30);

/// A client of one instance's administration API.
pub struct AdminClient {
    addr: SocketAddr,
    key: Arc<str>,
    who: Arc<str>,
    client: Client,
}

/// What the operator saw of a node before the change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// It does not matter.
    Any,
    /// The node did not exist.
    Absent,
    /// This version had last written it.
    Version(ConfigVersion),
}

impl AdminClient {
    /// Makes a client that names `who` as the one who makes changes.
    #[must_use]
    pub fn new(addr: SocketAddr, key: Arc<str>, who: Arc<str>) -> Self {
        Self {
            addr,
            key,
            who,
            client: Client::new(),
        }
    }

    /// Reads something.
    ///
    /// # Errors
    /// The instance can't be reached or refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Outcome<T> {
        self.call(Method::GET, path, Seen::Any, None)
    }

    /// Changes something.
    ///
    /// # Errors
    /// The instance can't be reached or refuses, or the outcome is unknown.
    pub fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        seen: Seen,
        body: &impl Serialize,
    ) -> Outcome<T> {
        let text = serde_json::to_vec(body)
            .map_err(|e| Failure::new(FailureKind::Failed, e.to_string()))?;
        self.call(method, path, seen, Some(text))
    }

    /// Changes something by a request without a body.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub fn order<T: DeserializeOwned>(&self, method: Method, path: &str, seen: Seen) -> Outcome<T> {
        self.call(method, path, seen, None)
    }

    fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        seen: Seen,
        body: Option<Vec<u8>>,
    ) -> Outcome<T> {
        let safe = method == Method::GET;
        let req = self.request(method, path, seen, body)?;
        let (status, buf) = smol::block_on(self.exchange(req, safe))?;
        if status >= 400 {
            return Err(refusal(status, &buf));
        }
        serde_json::from_slice(&buf).map_err(|e| {
            let message = format!("{} gave an answer that can't be read: {e}", self.addr);
            Failure::new(FailureKind::Failed, message)
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        seen: Seen,
        body: Option<Vec<u8>>,
    ) -> Outcome<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(FROM, &*self.who);
        if body.is_some() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        if let Some((name, value)) = precondition(seen) {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(body.unwrap_or_default().into()))
            .map_err(|e| Failure::new(FailureKind::Failed, format!("{path}: {e}")))
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, safe: bool) -> Outcome<(u16, Bytes)> {
        let addr = self.addr;
        let exchange = async {
            let resp = self
                .client
                .send(addr, req)
                .await
                .map_err(|e| lost(addr, &e, safe))?;
            let status = resp.status().as_u16();
            let buf = read_all(resp.into_body(), ANSWER_LIMIT, PATIENCE)
                .await
                .map_err(|e| cut(addr, &e.to_string(), safe))?;
            Ok((status, buf))
        };
        timer::Timer::new()
            .within(PATIENCE, exchange)
            .await
            .unwrap_or_else(|| Err(cut(addr, "no answer in time", safe)))
    }
}

fn precondition(seen: Seen) -> Option<(HeaderName, String)> {
    match seen {
        Seen::Any => None,
        Seen::Absent => Some((IF_NONE_MATCH, "*".to_owned())),
        Seen::Version(version) => Some((IF_MATCH, format!("\"{version}\""))),
    }
}

fn refusal(status: u16, buf: &[u8]) -> Failure {
    let problem: Problem = serde_json::from_slice(buf).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(buf);
        Problem::new(status, "", &format!("status {status}"), text)
    });
    Failure::of_problem(&problem)
}

/// No connection, or one that broke: only in the second case may a change have been accepted.
fn lost(addr: SocketAddr, error: &SendError, safe: bool) -> Failure {
    match error {
        SendError::Unsent { .. } => Failure::new(FailureKind::Unavailable, error.to_string()),
        SendError::Lost { .. } => cut(addr, &error.to_string(), safe),
    }
}

fn cut(addr: SocketAddr, reason: &str, safe: bool) -> Failure {
    if safe {
        return Failure::new(FailureKind::Unavailable, format!("{addr}: {reason}"));
    }
    let message =
        format!("{addr}: {reason}; the change may have been accepted, read before you try again");
    Failure::new(FailureKind::Unknown, message)
}
