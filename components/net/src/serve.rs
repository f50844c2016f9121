//! Serving HTTP with limits.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::reply::{Body, Reply};

/// Time between two looks at whether to stop accepting.
const ACCEPT_POLL: Duration = Duration::from_millis(50);

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. `peer` is the other end of the connection.
    async fn handle(&self, peer: SocketAddr, req: Request<Incoming>) -> Response<Body>;
}

/// Limits on what one server accepts.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Bytes of headers.
    pub header_bytes: usize,
    /// Time for all headers to arrive.
    pub header_time: Duration,
    /// Open connections; one more is told 503 and closed.
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

/// A listening server.
pub struct Server {
    listener: TcpListener,
    limits: ServeLimits,
    handler: Arc<dyn Handler>,
    open: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

/// Counts one open connection for as long as it lives.
pub struct Guard {
    open: Arc<AtomicUsize>,
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
            handler,
            open: Arc::default(),
            stop: Arc::default(),
        })
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

    /// Accepts connections until stopped.
    pub async fn run(self) {
        let timer = timer::Timer::new();
        while !self.stop.load(Ordering::Acquire) {
            match timer.within(ACCEPT_POLL, self.listener.accept()).await {
                Some(Ok((stream, peer))) => self.take(stream, peer),
                // Out of descriptors, or the peer has gone again; the next may do better.
                Some(Err(_)) => timer.sleep(ACCEPT_POLL).await,
                None => {}
            }
        }
    }

    fn take(&self, stream: TcpStream, peer: SocketAddr) {
        let open = self.open.fetch_add(1, Ordering::AcqRel) + 1;
        let guard = Guard {
            open: Arc::clone(&self.open),
        };
        // Without it each event of a stream may wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let handler: Arc<dyn Handler> = if open > self.limits.connections {
            Arc::new(Full)
        } else {
            Arc::clone(&self.handler)
        };
        let limits = self.limits;
        let stop = Arc::clone(&self.stop);
        workers::spawn(async move {
            serve_one(stream, peer, limits, handler, stop).await;
            drop(guard);
        })
        .detach();
    }
}

async fn serve_one(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServeLimits,
    handler: Arc<dyn Handler>,
    stop: Arc<AtomicBool>,
) {
    let closing = Arc::clone(&stop);
    let service = service_fn(move |req| {
        let handler = Arc::clone(&handler);
        let closing = Arc::clone(&closing);
        async move {
            let mut resp = handler.handle(peer, req).await;
            if closing.load(Ordering::Acquire) {
                let close = hyper::header::HeaderValue::from_static("close");
                resp.headers_mut().insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(resp)
        }
    });
    // A caller that breaks the protocol or goes away hurts only its own connection.
    let _ = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(8192))
        .half_close(false)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
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
