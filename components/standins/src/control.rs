//! Reading requests and writing answers, the same for all stand-ins.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, body::Incoming, header::CONTENT_TYPE};
use net::{Body, Client, Reply, full, read_limited};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol::future;

use crate::connection::Connection;

/// Longest body a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time between two parts of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// An answer that says why something was not done.
pub type ErrorResponse = Box<Response<Body>>;

/// A request with its body read.
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The connection it came over.
    pub connection: Arc<Connection>,
}

impl ReceivedRequest {
    /// Reads a request whole; `None` if it broke off.
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

    /// A header's text, empty if it is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default()
    }

    /// The body as JSON, an empty one as `{}`.
    ///
    /// # Errors
    /// A 400 that says what is wrong.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ErrorResponse> {
        let text: &[u8] = if self.body.is_empty() {
            b"{}"
        } else {
            &self.body
        };
        serde_json::from_slice(text).map_err(|e| Reply::text(400, e.to_string()).done().into())
    }
}

/// An answer without content.
#[must_use]
pub fn empty_ok() -> Response<Body> {
    Reply::json(200, &Empty {}).done()
}

#[derive(Serialize)]
struct Empty {}

/// The answer to a path that is not there.
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

/// A refusal of work that did not run.
#[must_use]
pub fn not_run(status: u16, code: &str) -> Response<Body> {
    let problem = Problem {
        title: code,
        status,
        run: types::Execution::NotRun,
        code,
    };
    // A struct of plain text always becomes JSON.
    let text = serde_json::to_vec(&problem).unwrap_or_default();
    Reply::new(status)
        .with_header(CONTENT_TYPE.as_str(), "application/problem+json")
        .with_header("retry-after", "1")
        .with_body(full(text))
        .done()
}

/// Cuts the connection; what is returned reaches nobody.
pub fn close_connection(connection: &Connection) -> Response<Body> {
    connection.close();
    Reply::new(500).done()
}

/// Leaves a request without an answer for good.
pub async fn pending_response() -> Response<Body> {
    future::pending().await
}

/// How a target appears in the platform's directory.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DirectoryEntry {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its data centre.
    #[serde(default)]
    pub zone: String,
    /// Where it listens; empty for a target that registers itself.
    #[serde(default)]
    pub addr: String,
    /// Which life of it.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Posts a JSON message to a stand-in's control port and gives the answer's body, empty if there
/// is none. The connection is a new one: old ones may have been made silent.
pub async fn post(client: &Client, addr: SocketAddr, path: &str, msg: &impl Serialize) -> Bytes {
    // Our own messages always become JSON.
    let text = serde_json::to_vec(msg).unwrap_or_default();
    let req = Request::post(path).body(http_body_util::Full::new(Bytes::from(text)));
    let Ok(req) = req else { return Bytes::new() };
    let Ok(resp) = client.send_fresh(addr, req).await else {
        return Bytes::new();
    };
    read_limited(resp.into_body(), usize::MAX, BODY_TIMEOUT)
        .await
        .unwrap_or_default()
}
