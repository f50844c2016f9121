//! An HTTP client with a pool of idle connections.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

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
    sliced::Sliced,
};

/// Limit on a connection's buffers, and so on one frame of a body and on a response's head.
const BUFFER_BYTES: usize = 16 * 1024;
/// How long a new connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What became of the connection for a request that was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connecting {
    /// It did not open.
    Unopened,
    /// It was refused. The server's machine is reached, and open connections to it may work.
    Refused,
    /// It opened, so that the server is reached. It was closed, or the rules forbade to send.
    Opened,
}

/// Proof that no byte of a request has left this process, and none will. Only the client makes it.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{reason}")]
pub struct Unsent {
    reason: Arc<str>,
    connecting: Connecting,
}

impl Unsent {
    fn new(connecting: Connecting, reason: impl Into<Arc<str>>) -> Self {
        Self {
            reason: reason.into(),
            connecting,
        }
    }

    /// What became of the connection.
    #[must_use]
    pub const fn connecting(&self) -> Connecting {
        self.connecting
    }

    /// The cause.
    #[must_use]
    pub const fn reason(&self) -> &Arc<str> {
        &self.reason
    }
}

/// Why a request got no response.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SendError {
    /// No byte of the request left this process.
    #[display("no byte was sent: {_0}")]
    Unsent(#[error(not(source))] Unsent),
    /// Some bytes of the request may have been sent; whether it was served is unknown.
    #[display("the connection was lost: {reason}")]
    Lost {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
        /// Whether the time for the response ran out.
        timed_out: bool,
    },
}

/// What the sender of a request decides on its way.
pub trait SendRules: Sync {
    /// Whether the request may be sent, asked once the connection is open, right before that: opening it may
    /// take long enough for the decision to send the request to be outdated. The error says why not.
    fn may_send(&self) -> Result<(), Arc<str>> {
        Ok(())
    }

    /// What the response names, such as the id of the request; none if it names nothing. A connection carries a
    /// name once: a late copy of the first response could be taken for the next one.
    fn name(&self) -> Option<&str>;

    /// What a response names, if the rules can tell.
    fn named<'r>(&self, _resp: &'r Response<Incoming>) -> Option<&'r str> {
        None
    }

    /// Whether the request needs a connection that has carried no other one.
    fn needs_new_connection(&self) -> bool {
        false
    }

    /// Whether a response belongs to the request. If it does not, the next one on its connection may, so that
    /// the connection carries no further request, and for a time no other one to the server more than one.
    fn is_own(&self, _resp: &Response<Incoming>) -> bool {
        true
    }
}

/// Sends the request over any connection, and takes any response for its own.
#[derive(Clone, Copy, Debug)]
pub struct AnyConnection;

impl SendRules for AnyConnection {
    fn name(&self) -> Option<&str> {
        None
    }
}

/// Sends the request over a new connection, and takes any response for its own.
#[derive(Clone, Copy, Debug)]
pub struct NewConnection;

impl SendRules for NewConnection {
    fn name(&self) -> Option<&str> {
        None
    }

    fn needs_new_connection(&self) -> bool {
        true
    }
}

/// The sending half of a connection.
pub type Sender = SendRequest<Sliced>;

/// An HTTP client that keeps idle connections for reuse. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    pool: Arc<Mutex<Pool>>,
    connect_timeout: Duration,
    closing: Closing,
}

/// How connections are closed.
#[derive(Clone, Copy, Debug)]
enum Closing {
    /// What was sent still arrives.
    Orderly,
    /// What has not arrived yet is lost.
    Reset,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            pool: Arc::default(),
            connect_timeout: CONNECT_TIMEOUT,
            closing: Closing::Orderly,
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

    /// Resets connections when they are closed: a request that was given up while a path held it does not
    /// arrive later.
    #[must_use]
    pub const fn with_resets(mut self) -> Self {
        self.closing = Closing::Reset;
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
        self.send_with(addr, req, &AnyConnection).await
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
        self.send_with(addr, req, &NewConnection).await
    }

    /// Like [`Self::send`], by these rules.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been sent.
    pub async fn send_with(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        rules: &dyn SendRules,
    ) -> Result<Response<Incoming>, SendError> {
        let has_left = AtomicBool::new(false);
        self.exchange(addr, req, rules, &has_left).await
    }

    /// Like [`Self::send_with`], and waits at most `timeout` for the head of the response.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been sent.
    pub async fn send_within(
        &self,
        timeout: Duration,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        rules: &dyn SendRules,
    ) -> Result<Response<Incoming>, SendError> {
        let has_left = AtomicBool::new(false);
        let exchange = self.exchange(addr, req, rules, &has_left);
        let result = Timer::new().within(timeout, exchange).await;
        result.unwrap_or_else(|| {
            let waited = timeout.as_millis();
            Err(if has_left.load(Ordering::Acquire) {
                SendError::Lost {
                    reason: format!("no answer within {waited} ms").into(),
                    timed_out: true,
                }
            } else {
                unopened(format!("no connection to {addr} within {waited} ms"))
            })
        })
    }

    /// Sends a request over an idle connection, if there is one: a server that accepts no new connections still
    /// answers on open ones. None if nothing was sent.
    pub async fn send_on_idle(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        rules: &dyn SendRules,
    ) -> Option<Result<Response<Incoming>, SendError>> {
        let req = with_host(req, addr).map(Sliced::new);
        let idle = self.pool.lock().take(addr, rules.name())?;
        let has_left = AtomicBool::new(false);
        match self.send_on(addr, idle, req, rules, &has_left).await {
            Ok(resp) => Some(Ok(resp)),
            Err(Failure::Final(error)) => Some(Err(error)),
            Err(Failure::Unsent { .. }) => None,
        }
    }

    /// Closes all connections to an address: the idle ones now, those in use after their request.
    pub fn close_connections(&self, addr: SocketAddr) {
        self.pool.lock().close_connections(addr);
    }

    /// Whether an idle connection to an address is open, even if it may not carry every request.
    #[must_use]
    pub fn has_open(&self, addr: SocketAddr) -> bool {
        self.pool.lock().has_open(addr)
    }

    /// Number of idle connections to an address.
    #[must_use]
    pub fn idle(&self, addr: SocketAddr) -> usize {
        self.pool.lock().count(addr)
    }

    /// Sends a request. `has_left` tells whether any of its bytes may have been sent.
    async fn exchange(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        rules: &dyn SendRules,
        has_left: &AtomicBool,
    ) -> Result<Response<Incoming>, SendError> {
        let mut req = with_host(req, addr).map(Sliced::new);
        if !rules.needs_new_connection() {
            let idle = self.pool.lock().take(addr, rules.name());
            if let Some(conn) = idle {
                match self.send_on(addr, conn, req, rules, has_left).await {
                    Ok(resp) => return Ok(resp),
                    Err(Failure::Final(error)) => return Err(error),
                    // The server had closed the idle connection; nothing was sent on it.
                    Err(Failure::Unsent { req: returned, .. }) => req = *returned,
                }
            }
        }
        let conn = connect(addr, self.connect_timeout, self.closing).await?;
        let sent = self.send_on(addr, conn, req, rules, has_left).await;
        sent.map_err(Failure::into_error)
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut conn: Conn,
        req: Request<Sliced>,
        rules: &dyn SendRules,
        has_left: &AtomicBool,
    ) -> Result<Response<Incoming>, Failure> {
        rules
            .may_send()
            .map_err(|reason| Failure::Final(unsent(Connecting::Opened, reason)))?;
        has_left.store(true, Ordering::Release);
        conn.begin(rules.name());
        match conn.sender.try_send_request(req).await {
            Ok(mut resp) => {
                let named = rules.named(&resp).filter(|it| rules.name() != Some(it));
                let used = conn.record_response(named);
                resp.extensions_mut().insert(used);
                if rules.is_own(&resp) {
                    self.return_when_ready(addr, conn);
                } else {
                    self.pool.lock().use_once(addr);
                }
                Ok(resp)
            }
            Err(mut error) => {
                // The library returns a request of which it has sent nothing.
                let returned = error.take_message();
                let reason: Arc<str> = error.into_error().to_string().into();
                Err(match returned {
                    Some(req) => {
                        has_left.store(false, Ordering::Release);
                        Failure::Unsent {
                            reason,
                            req: Box::new(req),
                        }
                    }
                    None => Failure::Final(SendError::Lost {
                        reason,
                        timed_out: false,
                    }),
                })
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

/// Why a connection brought no response.
enum Failure {
    /// Nothing was sent over it; the request may go over another one.
    Unsent {
        reason: Arc<str>,
        req: Box<Request<Sliced>>,
    },
    /// The request is not sent again.
    Final(SendError),
}

impl Failure {
    fn into_error(self) -> SendError {
        match self {
            Self::Unsent { reason, .. } => unsent(Connecting::Opened, reason),
            Self::Final(error) => error,
        }
    }
}

fn unsent(connecting: Connecting, reason: impl Into<Arc<str>>) -> SendError {
    SendError::Unsent(Unsent::new(connecting, reason))
}

fn unopened(reason: impl Into<Arc<str>>) -> SendError {
    unsent(Connecting::Unopened, reason)
}

async fn connect(addr: SocketAddr, timeout: Duration, closing: Closing) -> Result<Conn, SendError> {
    let stream = Timer::new()
        .await_answer(timeout, TcpStream::connect(addr))
        .await
        .map_err(|_| unopened(format!("no connection to {addr} within {timeout:?}")))?
        .map_err(|e| {
            let connecting = match e.kind() {
                ErrorKind::ConnectionRefused => Connecting::Refused,
                _ => Connecting::Unopened,
            };
            unsent(connecting, format!("no connection to {addr}: {e}"))
        })?;
    let opened = |reason: String| unsent(Connecting::Opened, reason);
    stream
        .set_nodelay(true)
        .map_err(|e| opened(e.to_string()))?;
    let head = Arc::new(HeadBudget::new());
    let mut stream = BoundedStream::new(stream, Arc::clone(&head));
    if matches!(closing, Closing::Reset) {
        stream = stream.with_reset();
    }
    let shared = stream.downgrade();
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(FuturesIo::new(stream))
        .await
        .map_err(|e| opened(format!("no HTTP connection to {addr}: {e}")))?;
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
