//! Reading requests, writing responses and the control API that all stand-ins share.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, body::Incoming, header::CONTENT_TYPE};
use net::{Body, Client, Reply, full, read_limited};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol::future;

use crate::connection::Connection;

/// Size above which a request body is rejected.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time for a stand-in to answer to a control request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the next part of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A response that says why a request failed; boxed to keep `Result` small.
pub type ErrorResponse = Box<Response<Body>>;

/// A request whose body has been read.
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the `?`; empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Connection over which the request arrived.
    pub connection: Arc<Connection>,
}

impl ReceivedRequest {
    /// Reads a request with its whole body; `None` if the body was truncated, too large or too
    /// slow.
    pub async fn read(req: Request<Incoming>) -> Option<Self> {
        let (head, body) = req.into_parts();
        let connection = head.extensions.get::<Arc<Connection>>().cloned()?;
        if head.uri.path().starts_with("/control/") {
            connection.exempt();
        }
        let body = read_limited(body, MAX_BODY_BYTES, BODY_TIMEOUT)
            .await
            .ok()?;
        Some(Self {
            method: head.method.to_string(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
            connection,
        })
    }

    /// Value of a header; empty if the header is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }

    /// Parses the body as JSON; an empty body counts as `{}`.
    ///
    /// # Errors
    /// Returns a response with status 400 that names the problem.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ErrorResponse> {
        let text: &[u8] = if self.body.is_empty() {
            b"{}"
        } else {
            &self.body
        };
        serde_json::from_slice(text).map_err(|e| Reply::text(400, e.to_string()).done().into())
    }
}

/// Status 200 with an empty JSON object.
#[must_use]
pub fn empty_ok() -> Response<Body> {
    Reply::json(200, &Empty {}).done()
}

#[derive(Serialize)]
struct Empty {}

/// Status 404, for a path or stream that does not exist.
#[must_use]
pub fn not_found() -> Response<Body> {
    Reply::text(404, "no such path").done()
}

#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    run: types::Execution,
    code: &'a str,
}

/// Refuses a request, declaring that it did not run (`run: not-run`).
#[must_use]
pub fn not_run(status: u16, code: &str) -> Response<Body> {
    let problem = Problem {
        title: code,
        status,
        run: types::Execution::NotRun,
        code,
    };
    // Serializing a struct of strings and numbers can't fail.
    let text = serde_json::to_vec(&problem).unwrap_or_default();
    Reply::new(status)
        .with_header(CONTENT_TYPE.as_str(), "application/problem+json")
        .with_header("retry-after", "1")
        .with_body(full(text))
        .done()
}

/// Closes the connection. The returned response only satisfies the handler's type: it is not sent.
pub fn close_connection(connection: &Connection) -> Response<Body> {
    connection.close();
    Reply::new(500).done()
}

/// Never completes: the request stays without a response.
pub async fn pending_response() -> Response<Body> {
    future::pending().await
}

/// One instance or target in the platform's directory.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectoryEntry {
    /// Name of the instance or target.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Data centre that it runs in.
    #[serde(default)]
    pub zone: String,
    /// Listening address as `IP:PORT`. The directory omits an entry whose address is empty.
    #[serde(default)]
    pub addr: String,
    /// Incarnation of the process, increased at each restart.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether it is draining.
    #[serde(default)]
    pub leaving: bool,
}

/// Posts a JSON message to a stand-in's control path and returns the response's body; empty if
/// there was no response. Opens a new connection, because an injected fault may have silenced
/// those in the pool.
///
/// # Panics
/// The stand-in accepts the connection and does not answer in time. No fault does that to a control path.
pub async fn post(client: &Client, addr: SocketAddr, path: &str, msg: &impl Serialize) -> Bytes {
    // Serializing the control messages can't fail.
    let text = serde_json::to_vec(msg).unwrap_or_default();
    let req = Request::post(path).body(http_body_util::Full::new(Bytes::from(text)));
    let Ok(req) = req else { return Bytes::new() };
    let answer = timer::Timer::new()
        .within(CONTROL_TIMEOUT, client.send_fresh(addr, req))
        .await;
    let answer = answer.unwrap_or_else(|| panic!("{addr} did not answer to {path} in time"));
    let Ok(resp) = answer else {
        return Bytes::new();
    };
    read_limited(resp.into_body(), usize::MAX, BODY_TIMEOUT)
        .await
        .unwrap_or_default()
}
