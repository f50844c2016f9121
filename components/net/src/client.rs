//! Calls over pooled connections.

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

use crate::pool::{Conn, Pool};

/// Bytes of a connection's buffers, and so of one part of a body and of an answer's head.
const BUFFER: usize = 16 * 1024;
/// Time to connect.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Why a call brought no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SendError {
    /// No byte of the request left this process.
    #[display("no byte was sent: {reason}")]
    Unsent {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// Some of the request may have left; whether it was served is unknown.
    #[display("the connection was lost: {reason}")]
    Lost {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

/// A connection to send on.
pub type Sender = SendRequest<Full<Bytes>>;

/// An HTTP client that keeps idle connections. Clones share them.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Mutex<Pool>>,
    connect_limit: Duration,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            pool: Arc::default(),
            connect_limit: CONNECT_LIMIT,
        }
    }
}

impl Client {
    /// Makes a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time to connect.
    #[must_use]
    pub const fn with_connect_limit(mut self, limit: Duration) -> Self {
        self.connect_limit = limit;
        self
    }

    /// Sends a request over an idle connection, or a new one, and waits for the answer's head.
    /// The connection returns to the pool once the answer's body was read to its end; if the
    /// body is dropped before, the connection is closed.
    ///
    /// # Errors
    /// Tells whether any byte of the request may have left.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let req = with_host(req, addr);
        let idle = self.pool.lock().take(addr);
        let Some(conn) = idle else {
            return self.send_new(addr, req).await;
        };
        match self.send_on(addr, conn, req).await {
            Ok(resp) => Ok(resp),
            // The idle connection had been closed by the other side; nothing was sent on it.
            Err((_, Some(req))) => self.send_new(addr, req).await,
            Err((error, None)) => Err(error),
        }
    }

    /// Sends a request over a connection of its own that was not used before: after a connection
    /// fell silent, the pooled ones are suspect too.
    ///
    /// # Errors
    /// Tells whether any byte of the request may have left.
    pub async fn send_fresh(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.send_new(addr, with_host(req, addr)).await
    }

    /// Closes all connections to an address: the idle ones now, those in use after it.
    pub fn close_connections(&self, addr: SocketAddr) {
        self.pool.lock().close_connections(addr);
    }

    /// Idle connections kept to an address.
    #[must_use]
    pub fn idle(&self, addr: SocketAddr) -> usize {
        self.pool.lock().count(addr)
    }

    async fn send_new(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let conn = connect(addr, self.connect_limit).await?;
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
        match conn.sender.try_send_request(req).await {
            Ok(resp) => {
                self.keep_when_ready(addr, conn);
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

    fn keep_when_ready(&self, addr: SocketAddr, mut conn: Conn) {
        let pool = Arc::clone(&self.pool);
        let keep = async move {
            if conn.sender.ready().await.is_ok() {
                pool.lock().keep(addr, conn);
            }
        };
        workers::spawn(keep).detach();
    }
}

async fn connect(addr: SocketAddr, limit: Duration) -> Result<Conn, SendError> {
    let unsent = |reason: String| SendError::Unsent {
        reason: reason.into(),
    };
    let stream = Timer::new()
        .within(limit, TcpStream::connect(addr))
        .await
        .ok_or_else(|| unsent(format!("no connection to {addr} within {limit:?}")))?
        .map_err(|e| unsent(format!("no connection to {addr}: {e}")))?;
    stream
        .set_nodelay(true)
        .map_err(|e| unsent(e.to_string()))?;
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(BUFFER)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(|e| unsent(format!("no HTTP connection to {addr}: {e}")))?;
    let drive = async move {
        // Its error reaches whoever waits for the answer.
        let _ = conn.await;
    };
    workers::spawn(drive).detach();
    Ok(Conn::new(sender))
}

/// Names the address as host, unless the request names one already.
fn with_host(mut req: Request<Full<Bytes>>, addr: SocketAddr) -> Request<Full<Bytes>> {
    if req.headers().contains_key(HOST) {
        return req;
    }
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        req.headers_mut().insert(HOST, host);
    }
    req
}
