//! Serving HTTP with limits.

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
    channel::{Receiver, Sender, bounded},
    future,
    net::{TcpListener, TcpStream},
};

use crate::{
    connection::Connection,
    panics,
    reply::{Body, Reply},
};

/// Time between two looks at whether to stop accepting.
const ACCEPT_POLL: Duration = Duration::from_millis(50);

/// Time that the other side may read nothing while there is something to write.
const WRITE_STALL: Duration = Duration::from_secs(30);

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. `peer` is the other end of the connection.
    async fn handle(&self, peer: SocketAddr, req: Request<Incoming>) -> Response<Body>;

    /// Told that [`Self::handle`] panicked, with the panic's message; answers in its place. The
    /// connection is closed after it.
    fn panicked(&self, _reason: &str) -> Response<Body> {
        panics::refusal()
    }
}

/// Limits on what one server accepts.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Bytes of headers.
    pub header_bytes: usize,
    /// Time for all headers to arrive.
    pub header_time: Duration,
    /// Open connections; one more is told 503 and closed, and from twice as many on it is closed
    /// without a word.
    pub connections: usize,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            header_time: Duration::from_secs(10),
            connections: 4096,
        }
    }
}

/// Limits that may change while a server runs: connections made from then on get the new ones.
#[derive(Debug, Default)]
pub struct DynamicLimits {
    header_bytes: AtomicUsize,
    header_millis: AtomicU64,
}

impl DynamicLimits {
    /// Takes the limits of some settings.
    #[must_use]
    pub fn new(limits: &ServeLimits) -> Self {
        let terms = Self::default();
        terms.set(limits.header_bytes, limits.header_time);
        terms
    }

    /// Sets bytes of headers, and the time that a connection may be idle or take for its headers.
    pub fn set(&self, header_bytes: usize, header_time: Duration) {
        let millis = u64::try_from(header_time.as_millis()).unwrap_or(u64::MAX);
        self.header_bytes.store(header_bytes, Ordering::Release);
        self.header_millis.store(millis, Ordering::Release);
    }

    /// The limits for a connection that is made now.
    fn now(&self, connections: usize) -> ServeLimits {
        ServeLimits {
            header_bytes: self.header_bytes.load(Ordering::Acquire),
            header_time: Duration::from_millis(self.header_millis.load(Ordering::Acquire)),
            connections,
        }
    }
}

/// A listening server.
pub struct Server {
    listener: TcpListener,
    limits: ServeLimits,
    terms: Arc<DynamicLimits>,
    write_stall: Duration,
    handler: Arc<dyn Handler>,
    open: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    retire: Arc<AtomicBool>,
    /// Closed with the server: tells the connections to finish what they do and close.
    closing: (Sender<()>, Receiver<()>),
    /// Each connection holds a sender, so that the receiver tells when the last one has ended.
    alive: (Sender<()>, Receiver<()>),
}

/// Counts one open connection for as long as it lives.
pub struct ConnectionGuard {
    open: Arc<AtomicUsize>,
    /// Held for its drop.
    _alive: Sender<()>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Server {
    /// Listens on an address; port 0 picks a free one.
    ///
    /// # Errors
    /// Passes on why the address can't be listened on.
    pub async fn bind(
        addr: SocketAddr,
        limits: ServeLimits,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self {
            listener,
            limits,
            terms: Arc::new(DynamicLimits::new(&limits)),
            write_stall: WRITE_STALL,
            handler,
            open: Arc::default(),
            stop: Arc::default(),
            retire: Arc::default(),
            closing: bounded(1),
            alive: bounded(1),
        })
    }

    /// Sets how long the other side of a connection may read nothing while there is something
    /// to write; after that it is closed.
    #[must_use]
    pub const fn with_write_stall(mut self, limit: Duration) -> Self {
        self.write_stall = limit;
        self
    }

    /// Shares limits that may change while it runs, in place of its own.
    #[must_use]
    pub fn with_dynamic_limits(mut self, terms: Arc<DynamicLimits>) -> Self {
        self.terms = terms;
        self
    }

    /// Where it listens.
    ///
    /// # Errors
    /// Passes on why the system does not tell.
    pub fn addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The number of open connections, kept up to date.
    #[must_use]
    pub fn open(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.open)
    }

    /// A switch: once true, no further connection is accepted and idle ones are closed.
    #[must_use]
    pub fn stop(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stop)
    }

    /// A switch: once true, each answer asks the other side to close its connection.
    ///
    /// A caller that keeps connections may send a request on an idle one just as it is closed,
    /// and can't tell then whether the request was read. If the connections in use are given up
    /// well before the server stops, there is none left to which that could happen.
    #[must_use]
    pub fn retire(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.retire)
    }

    /// Accepts connections until stopped, then waits until each one that it took has ended. A
    /// process that ends before it returns cuts requests that were read.
    pub async fn run(self) {
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
        // Nothing is ever sent; it fails once the last connection has ended.
        let _ = ended.recv().await;
    }

    async fn accept(&self) {
        let timer = timer::Timer::new();
        while !self.stop.load(Ordering::Acquire) {
            match timer.within(ACCEPT_POLL, self.listener.accept()).await {
                Some(Ok((stream, peer))) => self.take(stream, peer),
                // Out of descriptors, or the peer has gone again; the next may do better.
                Some(Err(_)) => timer.sleep(ACCEPT_POLL).await,
                None => {}
            }
        }
        self.take_waiting().await;
    }

    /// Takes the connections that the system has made already. Closing the listener would reset
    /// them, and their callers may have sent their requests.
    async fn take_waiting(&self) {
        while let Some(accepted) = future::poll_once(self.listener.accept()).await {
            match accepted {
                Ok((stream, peer)) => self.take(stream, peer),
                // That one has gone again; others still wait.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(_) => return,
            }
        }
    }

    fn take(&self, stream: TcpStream, peer: SocketAddr) {
        // Before the connection counts: whoever sees it counted may set other limits, and its task
        // may begin only after that.
        let limits = self.terms.now(self.limits.connections);
        let open = self.open.fetch_add(1, Ordering::AcqRel) + 1;
        let guard = ConnectionGuard {
            open: Arc::clone(&self.open),
            _alive: self.alive.0.clone(),
        };
        if open > self.limits.connections.saturating_mul(2) {
            return;
        }
        // Without it each event of a stream may wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let handler: Arc<dyn Handler> = if open > self.limits.connections {
            Arc::new(Full)
        } else {
            Arc::clone(&self.handler)
        };
        let conn = Connection {
            peer,
            limits,
            write_stall: self.write_stall,
            handler,
            stop: Arc::clone(&self.stop),
            retire: Arc::clone(&self.retire),
            closing: self.closing.1.clone(),
            made: Instant::now(),
            progress: Arc::default(),
        };
        workers::spawn(async move {
            conn.serve(stream).await;
            drop(guard);
        })
        .detach();
    }
}

/// Answers in place of the real handler when there are too many connections.
struct Full;

#[async_trait]
impl Handler for Full {
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
