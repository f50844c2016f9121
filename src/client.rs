//! Client of the administration API of one instance. Its failures distinguish a change that was
//! certainly not made from one that may have been accepted.

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

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Timeout of a response. The instance may itself be waiting for a slow table service.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of one instance's administration API.
pub struct AdminClient {
    addr: SocketAddr,
    key: Arc<str>,
    operator: Arc<str>,
    client: Client,
}

/// The state that a node must be in for a change to apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// The change applies in any state.
    None,
    /// The node must not exist.
    Absent,
    /// The node must have last been written by this version.
    Version(ConfigVersion),
}

impl AdminClient {
    /// Makes a client whose changes are recorded under the name `operator`.
    #[must_use]
    pub fn new(addr: SocketAddr, key: Arc<str>, operator: Arc<str>) -> Self {
        Self {
            addr,
            key,
            operator,
            client: Client::new(),
        }
    }

    /// Sends a `GET` request and returns the decoded response.
    ///
    /// # Errors
    /// The instance can't be reached or refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Outcome<T> {
        self.call(Method::GET, path, Precondition::None, None)
    }

    /// Makes a change by a request with a JSON body and returns the decoded response.
    ///
    /// # Errors
    /// The instance can't be reached or refuses, or the outcome is unknown.
    pub fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        precondition: Precondition,
        body: &impl Serialize,
    ) -> Outcome<T> {
        let text = serde_json::to_vec(body)
            .map_err(|e| Failure::new(FailureKind::Failed, e.to_string()))?;
        self.call(method, path, precondition, Some(text))
    }

    /// Makes a change by a request without a body and returns the decoded response.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub fn send_empty<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        precondition: Precondition,
    ) -> Outcome<T> {
        self.call(method, path, precondition, None)
    }

    fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        precondition: Precondition,
        body: Option<Vec<u8>>,
    ) -> Outcome<T> {
        let is_read = method == Method::GET;
        let req = self.request(method, path, precondition, body)?;
        let (status, buf) = smol::block_on(self.exchange(req, is_read))?;
        if status >= 400 {
            return Err(error_response(status, &buf));
        }
        serde_json::from_slice(&buf).map_err(|e| {
            let message = format!("{} sent a response that can't be decoded: {e}", self.addr);
            Failure::new(FailureKind::Failed, message)
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        precondition: Precondition,
        body: Option<Vec<u8>>,
    ) -> Outcome<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .header(FROM, &*self.operator);
        if body.is_some() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        if let Some((name, value)) = precondition_header(precondition) {
            builder = builder.header(name, value);
        }
        builder
            .body(Full::new(body.unwrap_or_default().into()))
            .map_err(|e| Failure::new(FailureKind::Failed, format!("{path}: {e}")))
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, is_read: bool) -> Outcome<(u16, Bytes)> {
        let addr = self.addr;
        let exchange = async {
            let resp = self
                .client
                .send(addr, req)
                .await
                .map_err(|e| send_failure(addr, &e, is_read))?;
            let status = resp.status().as_u16();
            let buf = read_all(resp.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT)
                .await
                .map_err(|e| no_response(addr, &e.to_string(), is_read))?;
            Ok((status, buf))
        };
        timer::Timer::new()
            .within(RESPONSE_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|| Err(no_response(addr, "no response in time", is_read)))
    }
}

fn precondition_header(precondition: Precondition) -> Option<(HeaderName, String)> {
    match precondition {
        Precondition::None => None,
        Precondition::Absent => Some((IF_NONE_MATCH, "*".to_owned())),
        Precondition::Version(version) => Some((IF_MATCH, format!("\"{version}\""))),
    }
}

/// The failure that a response with an error status describes.
fn error_response(status: u16, buf: &[u8]) -> Failure {
    let problem: Problem = serde_json::from_slice(buf).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(buf);
        Problem::new(status, "", &format!("status {status}"), text)
    });
    Failure::from_problem(&problem)
}

/// The failure of a request that could not be sent, or whose connection was lost after sending.
/// Only in the second case may a change have been accepted.
fn send_failure(addr: SocketAddr, error: &SendError, is_read: bool) -> Failure {
    match error {
        SendError::Unsent(_) => Failure::new(FailureKind::Unavailable, error.to_string()),
        SendError::Lost { .. } => no_response(addr, &error.to_string(), is_read),
    }
}

/// The failure of a request that was sent and got no complete response: the outcome of a change is
/// unknown, whereas a read can simply be repeated.
fn no_response(addr: SocketAddr, reason: &str, is_read: bool) -> Failure {
    if is_read {
        return Failure::new(FailureKind::Unavailable, format!("{addr}: {reason}"));
    }
    let message =
        format!("{addr}: {reason}; the change may have been accepted, read before you try again");
    Failure::new(FailureKind::Unknown, message)
}
