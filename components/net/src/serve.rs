//! Serving HTTP with limits.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use hyper::{
    Request, Response, Version,
    body::{Body as _, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use smol::{
    channel::{Receiver, Sender, bounded},
    future,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    linger, panics,
    reply::{Body, Reply},
    stall::Watched,
};

/// Time between two looks at whether to stop accepting.
const ACCEPT_POLL: Duration = Duration::from_millis(50);

/// Time that the other side may read nothing while there is something to write.
const WRITE_STALL: Duration = Duration::from_secs(30);
/// Time from a connection's making within which its first request is waited for though the server
/// stops. Its caller has sent it by then, or has no request yet.
const FIRST_REQUEST: Duration = Duration::from_millis(300);
/// Bytes of a connection's buffers at least; the library takes no less.
const LEAST_BUFFER: usize = 8192;

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
pub struct Terms {
    header_bytes: AtomicUsize,
    header_millis: AtomicU64,
}

impl Terms {
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
    terms: Arc<Terms>,
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
pub struct Guard {
    open: Arc<AtomicUsize>,
    /// Held for its drop.
    _alive: Sender<()>,
}

impl Drop for Guard {
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
            terms: Arc::new(Terms::new(&limits)),
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
    pub fn with_terms(mut self, terms: Arc<Terms>) -> Self {
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
        while let Some(Ok((stream, peer))) = future::poll_once(self.listener.accept()).await {
            self.take(stream, peer);
        }
    }

    fn take(&self, stream: TcpStream, peer: SocketAddr) {
        // Before the connection counts: whoever sees it counted may set other limits, and its task
        // may begin only after that.
        let limits = self.terms.now(self.limits.connections);
        let open = self.open.fetch_add(1, Ordering::AcqRel) + 1;
        let guard = Guard {
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
            asked: AtomicBool::new(false),
        };
        workers::spawn(async move {
            conn.serve(stream).await;
            drop(guard);
        })
        .detach();
    }
}

/// What is left to do for a connection that has been served.
enum Left {
    /// To close it.
    Nothing,
    /// To close it once the other side has sent what it still sends.
    Sending,
    /// To break it, since its last answer is not whole.
    Cut,
}

/// One connection and the terms it is served on.
struct Connection {
    peer: SocketAddr,
    limits: ServeLimits,
    write_stall: Duration,
    handler: Arc<dyn Handler>,
    stop: Arc<AtomicBool>,
    retire: Arc<AtomicBool>,
    closing: Receiver<()>,
    /// When it was accepted.
    made: Instant,
    /// Whether a request has come.
    asked: AtomicBool,
}

impl Connection {
    /// Serves it to its end. A caller that breaks the protocol or goes away hurts only its own
    /// connection.
    async fn serve(self, stream: TcpStream) {
        match self.converse(stream.clone()).await {
            Left::Nothing => linger::close(stream, false).await,
            Left::Sending => linger::close(stream, true).await,
            Left::Cut => linger::reset(&stream),
        }
    }

    /// Answers all its requests; tells what is left to do.
    async fn converse(&self, stream: TcpStream) -> Left {
        let stream = Watched::new(stream, self.write_stall);
        let (has_body, old) = (AtomicBool::new(false), AtomicBool::new(false));
        let service = service_fn(|req: Request<Incoming>| {
            old.store(req.version() < Version::HTTP_11, Ordering::Release);
            has_body.store(!req.body().is_end_stream(), Ordering::Release);
            self.answer(req)
        });
        let conn = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.limits.header_time)
            .max_buf_size(self.limits.header_bytes.max(LEAST_BUFFER))
            // A caller that closes its side has gone: the handler is dropped, and with it
            // whatever waits or runs for this caller.
            .half_close(false)
            .serve_connection(FuturesIo::new(stream), service);
        let mut conn = pin!(conn);
        let ended = async { Some(conn.as_mut().await) };
        let closing = async {
            // Nothing is ever sent; it fails once the server closes.
            let _ = self.closing.recv().await;
            // The library closes a connection without a request at once.
            if !self.asked.load(Ordering::Acquire) {
                smol::Timer::at(self.made + FIRST_REQUEST).await;
            }
            None
        };
        let ended = match future::or(ended, closing).await {
            Some(ended) => ended,
            None => {
                conn.as_mut().graceful_shutdown();
                if let Some(ended) = future::poll_once(conn.as_mut()).await {
                    // It was idle: its last request has been read.
                    return if ended.is_ok() {
                        Left::Nothing
                    } else {
                        Left::Sending
                    };
                }
                conn.await
            }
        };
        match ended {
            // Such a caller takes the end of the connection for the end of the body.
            Err(e) if e.is_user() && old.load(Ordering::Acquire) => Left::Cut,
            Err(_) => Left::Sending,
            Ok(()) if has_body.load(Ordering::Acquire) => Left::Sending,
            Ok(()) => Left::Nothing,
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        self.asked.store(true, Ordering::Release);
        let mut resp = panics::caught(self.handler.as_ref(), self.peer, req).await;
        if self.stop.load(Ordering::Acquire) || self.retire.load(Ordering::Acquire) {
            let close = HeaderValue::from_static("close");
            resp.headers_mut().insert(CONNECTION, close);
        }
        Ok(resp)
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
