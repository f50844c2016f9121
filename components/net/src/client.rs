//! An HTTP client with a pool of idle connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    header::{HOST, HeaderValue},
};
use parking_lot::Mutex;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use timer::Timer;

use crate::{
    bounded_stream::{BoundedStream, HeadBudget},
    pool::{Conn, Pool},
};

/// Limit on a connection's buffers, and so on one frame of a body and on a response's head.
const BUFFER_BYTES: usize = 16 * 1024;
/// How long a new connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a request got no response.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SendError {
    /// No byte of the request left this process.
    #[display("no byte was sent: {reason}")]
    Unsent {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// Some bytes of the request may have been sent; whether it was served is unknown.
    #[display("the connection was lost: {reason}")]
    Lost {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

/// Whether a request may still be sent; the error says why not.
pub type SendCheck<'a> = &'a (dyn Fn() -> Result<(), Arc<str>> + Sync);

/// The sending half of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// An HTTP client that keeps idle connections for reuse. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Mutex<Pool>>,
    connect_timeout: Duration,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            pool: Arc::default(),
            connect_timeout: CONNECT_TIMEOUT,
        }
    }
}

impl Client {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long a new connection may take to open.
    #[must_use]
    pub const fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sends a request over an idle connection, or a new one, and waits for the head of the
    /// response. The connection returns to the pool once the response's body has been read to its
    /// end; if the body is dropped before, the connection is closed.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.send_checked(addr, req, &|| Ok(())).await
    }

    /// Like [`Self::send`], but asks `check` once the connection is open, right before the request
    /// is sent: opening it may take long enough for the decision to send the request to be outdated.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been sent.
    pub async fn send_checked(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        check: SendCheck<'_>,
    ) -> Result<Response<Incoming>, SendError> {
        let req = with_host(req, addr);
        let idle = self.pool.lock().take(addr);
        let Some(conn) = idle else {
            return self.send_new(addr, req, check).await;
        };
        check().map_err(unsent)?;
        match self.send_on(addr, conn, req).await {
            Ok(resp) => Ok(resp),
            // The server had closed the idle connection; nothing was sent on it.
            Err((_, Some(req))) => self.send_new(addr, req, check).await,
            Err((error, None)) => Err(error),
        }
    }

    /// Sends a request over a new connection. Used where the pooled connections are suspect, such
    /// as after another connection to the address stopped responding.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been sent.
    pub async fn send_fresh(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.send_fresh_checked(addr, req, &|| Ok(())).await
    }

    /// Like [`Self::send_fresh`], but asks `check` once the connection is open.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been sent.
    pub async fn send_fresh_checked(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        check: SendCheck<'_>,
    ) -> Result<Response<Incoming>, SendError> {
        self.send_new(addr, with_host(req, addr), check).await
    }

    /// Closes all connections to an address: the idle ones now, those in use after their request.
    pub fn close_connections(&self, addr: SocketAddr) {
        self.pool.lock().close_connections(addr);
    }

    /// Number of idle connections to an address.
    #[must_use]
    pub fn idle(&self, addr: SocketAddr) -> usize {
        self.pool.lock().count(addr)
    }

    async fn send_new(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        check: SendCheck<'_>,
    ) -> Result<Response<Incoming>, SendError> {
        let conn = connect(addr, self.connect_timeout).await?;
        check().map_err(unsent)?;
        self.send_on(addr, conn, req)
            .await
            .map_err(|(error, _)| error)
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut conn: Conn,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, (SendError, Option<Request<Full<Bytes>>>)> {
        conn.begin();
        match conn.sender.try_send_request(req).await {
            Ok(mut resp) => {
                resp.extensions_mut().insert(conn.record_response());
                self.return_when_ready(addr, conn);
                Ok(resp)
            }
            Err(mut error) => {
                let unsent = error.take_message();
                let reason: Arc<str> = error.into_error().to_string().into();
                match unsent {
                    Some(req) => Err((SendError::Unsent { reason }, Some(req))),
                    None => Err((SendError::Lost { reason }, None)),
                }
            }
        }
    }

    fn return_when_ready(&self, addr: SocketAddr, mut conn: Conn) {
        let pool = Arc::clone(&self.pool);
        let put_back = async move {
            if conn.sender.ready().await.is_ok() {
                pool.lock().put(addr, conn);
            }
        };
        workers::spawn(put_back).detach();
    }
}

fn unsent(reason: Arc<str>) -> SendError {
    SendError::Unsent { reason }
}

async fn connect(addr: SocketAddr, timeout: Duration) -> Result<Conn, SendError> {
    let unsent = |reason: String| unsent(reason.into());
    let stream = Timer::new()
        .await_answer(timeout, TcpStream::connect(addr))
        .await
        .map_err(|_| unsent(format!("no connection to {addr} within {timeout:?}")))?
        .map_err(|e| unsent(format!("no connection to {addr}: {e}")))?;
    stream
        .set_nodelay(true)
        .map_err(|e| unsent(e.to_string()))?;
    let head = Arc::new(HeadBudget::new());
    let stream = BoundedStream::new(stream, Arc::clone(&head));
    let shared = stream.downgrade();
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(|e| unsent(format!("no HTTP connection to {addr}: {e}")))?;
    let drive = async move {
        // An error is reported to the sender that waits for the response.
        let _ = conn.await;
    };
    workers::spawn(drive).detach();
    Ok(Conn::new(sender, head, shared))
}

/// Sets the `Host` header to the address, unless the request has one.
fn with_host(mut req: Request<Full<Bytes>>, addr: SocketAddr) -> Request<Full<Bytes>> {
    if req.headers().contains_key(HOST) {
        return req;
    }
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        req.headers_mut().insert(HOST, host);
    }
    req
}
