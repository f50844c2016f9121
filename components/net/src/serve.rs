//! An HTTP server with limits on connections, headers and stalled writes.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
    future,
    net::TcpStream,
};

use crate::{
    budget::{Budget, Share},
    connection::{Connection, Progress},
    intake::{Intake, Listening, Unlimited},
    listener::Listener,
    panics,
    reply::{Body, Reply},
};

/// How often an accepting server checks whether it has been stopped.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Connections that are accepted before other tasks get their turn.
const MAX_ACCEPTED_TOGETHER: usize = 256;

/// How long a peer may read nothing while there is something to write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. `peer` is the other end of the connection.
    async fn handle(&self, peer: SocketAddr, req: Request<Incoming>) -> Response<Body>;

    /// Called when [`Self::handle`] has panicked, with the panic's message, to answer in its place.
    /// The connection is closed after the response.
    fn panicked(&self, _message: &str) -> Response<Body> {
        panics::internal_error()
    }
}

/// Limits on what one server accepts.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// How long the head of a request may take to arrive; also how long a connection may be idle.
    pub header_timeout: Duration,
    /// Open connections. Those beyond are answered with 503 and closed; those beyond twice as many
    /// are closed without a response.
    pub connections: usize,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(10),
            connections: 4096,
        }
    }
}

/// Limits that may change while a server runs. They apply to connections accepted afterwards.
#[derive(Debug, Default)]
pub struct DynamicLimits {
    header_bytes: AtomicUsize,
    header_timeout_ms: AtomicU64,
}

impl DynamicLimits {
    /// Starts with the values of `limits`.
    #[must_use]
    pub fn new(limits: &ServeLimits) -> Self {
        let dynamic = Self::default();
        dynamic.set(limits.header_bytes, limits.header_timeout);
        dynamic
    }

    /// Sets the largest size of a request's head in bytes, and how long a connection may be idle or
    /// take to send a head.
    pub fn set(&self, header_bytes: usize, header_timeout: Duration) {
        let millis = u64::try_from(header_timeout.as_millis()).unwrap_or(u64::MAX);
        self.header_bytes.store(header_bytes, Ordering::Release);
        self.header_timeout_ms.store(millis, Ordering::Release);
    }

    /// Returns the limits for a connection that is accepted now.
    fn current(&self, connections: usize) -> ServeLimits {
        ServeLimits {
            header_bytes: self.header_bytes.load(Ordering::Acquire),
            header_timeout: Duration::from_millis(self.header_timeout_ms.load(Ordering::Acquire)),
            connections,
        }
    }
}

/// A listening server.
pub struct Server {
    listener: Listener,
    limits: ServeLimits,
    dynamic_limits: Arc<DynamicLimits>,
    write_timeout: Duration,
    handler: Arc<dyn Handler>,
    intake: Arc<dyn Intake>,
    memory: Budget,
    open_connections: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    retire: Arc<AtomicBool>,
    /// Closed when the server closes, which makes the connections finish their requests and close.
    closing: (Sender<()>, Receiver<()>),
    /// Each connection holds a sender, so that the receiver fails once the last one has ended.
    alive: (Sender<()>, Receiver<()>),
}

/// Counts one open connection until it is dropped.
pub struct ConnectionGuard {
    open_connections: Arc<AtomicUsize>,
    /// Dropping it signals the end of the connection.
    _connection_alive: Sender<()>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Server {
    /// Listens on an address; port 0 picks a free port.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    #[expect(clippy::unused_async, reason = "part of the interface")]
    pub async fn bind(
        addr: SocketAddr,
        limits: ServeLimits,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        Ok(Self {
            listener: Listener::bind(addr)?,
            limits,
            dynamic_limits: Arc::new(DynamicLimits::new(&limits)),
            write_timeout: WRITE_TIMEOUT,
            handler,
            intake: Arc::new(Unlimited),
            memory: Budget::unlimited(),
            open_connections: Arc::default(),
            stop: Arc::default(),
            retire: Arc::default(),
            closing: bounded(1),
            alive: bounded(1),
        })
    }

    /// Sets how long a peer may read nothing while there is something to write. After that its
    /// connection is closed.
    #[must_use]
    pub const fn with_write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = timeout;
        self
    }

    /// Uses limits that may change while the server runs.
    #[must_use]
    pub fn with_dynamic_limits(mut self, dynamic_limits: Arc<DynamicLimits>) -> Self {
        self.dynamic_limits = dynamic_limits;
        self
    }

    /// Sets the budget against which connections and the heads of requests count. A connection for which it has
    /// no room is closed without being read, so that its peer may retry elsewhere.
    #[must_use]
    pub fn with_memory(mut self, memory: Budget) -> Self {
        self.memory = memory;
        self
    }

    /// Sets what decides which accepted connections are served.
    #[must_use]
    pub fn with_intake(mut self, intake: Arc<dyn Intake>) -> Self {
        self.intake = intake;
        self
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    /// Never fails.
    pub const fn addr(&self) -> io::Result<SocketAddr> {
        Ok(self.listener.addr())
    }

    /// Returns the number of open connections, which is kept up to date.
    #[must_use]
    pub fn open_connections(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open_connections)
    }

    /// Returns a flag. Once it is set, no more connections are accepted and idle ones are closed.
    #[must_use]
    pub fn stop(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stop)
    }

    /// Returns a flag. Once it is set, each response has the header `connection: close`.
    ///
    /// A caller that keeps connections open may send a request on an idle one just as the server
    /// closes it, and then can't tell whether the request was read. If the flag is set well before
    /// the server stops, no such connections are left by then.
    #[must_use]
    pub fn retire(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.retire)
    }

    /// Accepts connections until stopped, then waits until all of them have ended. A process that
    /// exits before this returns drops requests that have been read.
    pub async fn run(mut self) {
        self.accept().await;
        let Self {
            listener,
            closing: (closing, _),
            alive: (alive, ended),
            ..
        } = self;
        drop(listener);
        closing.close();
        drop(alive);
        // Nothing is ever sent on the channel; `recv` fails once the last connection has ended.
        let _ = ended.recv().await;
    }

    async fn accept(&mut self) {
        let mut tick_at = Instant::now() + STOP_POLL_PERIOD;
        let mut tick = Timer::at(tick_at);
        while !self.stop.load(Ordering::Acquire) {
            let ready = async { Some(self.listener.ready().await) };
            let ticked = async {
                (&mut tick).await;
                None
            };
            // The tick goes first: a crowd of connections must not keep the flag from being checked.
            let accepted = match future::or(ticked, ready).await {
                Some(ready) => ready.and_then(|()| self.accept_or_reopen()),
                None => {
                    self.intake.ticked(tick_at.elapsed());
                    tick_at = Instant::now() + STOP_POLL_PERIOD;
                    tick.set_at(tick_at);
                    Ok(())
                }
            };
            if accepted.is_err() {
                // The process is out of file descriptors.
                Timer::after(STOP_POLL_PERIOD).await;
            }
        }
        // Closing the listener would reset the connections in its backlog, and their callers may
        // already have sent requests.
        while self.accept_backlog().is_ok_and(|is_empty| !is_empty) {}
    }

    /// Accepts the connections that wait, or listens again, as the intake decides.
    fn accept_or_reopen(&mut self) -> io::Result<()> {
        if self.listener.is_open() {
            let accepted = self.accept_backlog().map(drop);
            if !self.intake.listens() {
                self.listener.close();
                self.intake.record_listening(&Listening::Paused);
            }
            return accepted;
        }
        if !self.intake.listens() {
            return Ok(());
        }
        match self.listener.open() {
            Ok(()) => {
                self.intake.record_listening(&Listening::Resumed);
                Ok(())
            }
            Err(e) => {
                let failure = io::Error::from(e.kind());
                self.intake.record_listening(&Listening::Failed(e));
                Err(failure)
            }
        }
    }

    /// Accepts the connections in the listener's backlog, up to `MAX_ACCEPTED_TOGETHER`. Returns whether none are
    /// left.
    fn accept_backlog(&self) -> io::Result<bool> {
        for _ in 0..MAX_ACCEPTED_TOGETHER {
            match self.listener.accept() {
                // Dropped before they are registered for events, so that refusing many is cheap.
                Ok(_) if self.has_too_many() || !self.intake.admits() => {}
                Ok((stream, peer)) => {
                    let Some(memory) = self.memory.reserve_connection() else {
                        self.intake.started(Duration::ZERO);
                        continue;
                    };
                    match TcpStream::try_from(stream) {
                        Ok(stream) => self.serve_connection(stream, peer, memory),
                        Err(e) => {
                            self.intake.started(Duration::ZERO);
                            return Err(e);
                        }
                    }
                }
                // The peer has disconnected again; others may be in the backlog.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(true),
                Err(e) => return Err(e),
            }
        }
        Ok(false)
    }

    /// Whether so many connections are open that a further one is closed without a response.
    fn has_too_many(&self) -> bool {
        let most = self.limits.connections.saturating_mul(2);
        self.open_connections.load(Ordering::Acquire) >= most
    }

    fn serve_connection(&self, stream: TcpStream, peer: SocketAddr, memory: Share) {
        // Read before the connection is counted: code that has seen it counted may change the
        // limits before the connection's task starts.
        let limits = self.dynamic_limits.current(self.limits.connections);
        let open_connections = self.open_connections.fetch_add(1, Ordering::AcqRel) + 1;
        let guard = ConnectionGuard {
            open_connections: Arc::clone(&self.open_connections),
            _connection_alive: self.alive.0.clone(),
        };
        // With Nagle's algorithm each event of a stream may wait until the one before has been
        // acknowledged.
        let _ = stream.set_nodelay(true);
        let handler: Arc<dyn Handler> = if open_connections > self.limits.connections {
            Arc::new(TooManyConnections)
        } else {
            Arc::clone(&self.handler)
        };
        let conn = Connection {
            peer,
            limits,
            write_timeout: self.write_timeout,
            handler,
            intake: Arc::clone(&self.intake),
            stop: Arc::clone(&self.stop),
            retire: Arc::clone(&self.retire),
            closing: self.closing.1.clone(),
            accepted_at: Instant::now(),
            progress: Progress::new(self.memory.share()),
        };
        workers::spawn(async move {
            conn.intake.started(conn.accepted_at.elapsed());
            conn.serve(stream).await;
            drop((guard, memory));
        })
        .detach();
    }
}

/// The handler for connections beyond the limit.
struct TooManyConnections;

#[async_trait]
impl Handler for TooManyConnections {
    async fn handle(&self, _peer: SocketAddr, _req: Request<Incoming>) -> Response<Body> {
        let problem = r#"{"type":"about:blank","title":"Too many connections","status":503,"run":"not-run","code":"too-many-connections"}"#;
        Reply::new(503)
            .with_header("content-type", "application/problem+json")
            .with_header("retry-after", "1")
            .with_header("connection", "close")
            .with_body(crate::reply::full(problem))
            .done()
    }
}
