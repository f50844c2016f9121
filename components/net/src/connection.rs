//! Serves one accepted connection, from its first request to its close.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::{
    Request, Response, Version,
    body::{Body as _, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use smol::{Timer, channel::Receiver, future, net::TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    budget::Share,
    intake::Intake,
    linger, panics,
    read_meter::ReadMeter,
    reply::Body,
    serve::{Handler, ServeLimits},
    write_timeout::WriteTimeoutStream,
};

/// How long a stopping server waits for a request in transit: for the first request of a
/// connection, counted from its acceptance; for the rest of a head that has begun to arrive, from
/// the stop.
const REQUEST_GRACE: Duration = Duration::from_millis(300);
/// How long it waits beyond that for the complete head of a connection's first request.
const HEAD_GRACE: Duration = Duration::from_secs(1);
/// Smallest buffer limit that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// How to close a connection that has been served.
enum CloseMode {
    /// Close it now.
    Immediate,
    /// Read what the peer is still sending first.
    Drain,
    /// Reset it, because its last response is incomplete.
    Reset,
}

/// An accepted connection and what is needed to serve it.
pub struct Connection {
    pub peer: SocketAddr,
    pub limits: ServeLimits,
    pub write_timeout: Duration,
    pub handler: Arc<dyn Handler>,
    pub intake: Arc<dyn Intake>,
    pub stop: Arc<AtomicBool>,
    pub retire: Arc<AtomicBool>,
    pub closing: Receiver<()>,
    pub accepted_at: Instant,
    pub progress: Progress,
}

/// What has been received over a connection so far.
#[derive(Debug)]
pub struct Progress {
    /// The head of at least one request has arrived.
    has_request: AtomicBool,
    /// What has been read.
    meter: Arc<ReadMeter>,
    /// The last request has a body.
    has_body: AtomicBool,
    /// The last request uses HTTP/1.0.
    is_http_1_0: AtomicBool,
}

impl Progress {
    /// Nothing has been received. Heads count against the budget of `memory`, which holds nothing yet.
    pub fn new(memory: Share) -> Self {
        Self {
            has_request: AtomicBool::new(false),
            meter: Arc::new(ReadMeter::new(memory)),
            has_body: AtomicBool::new(false),
            is_http_1_0: AtomicBool::new(false),
        }
    }

    fn request_started(&self, req: &Request<Incoming>) {
        self.meter.end_head();
        self.has_request.store(true, Ordering::Release);
        let is_http_1_0 = req.version() < Version::HTTP_11;
        self.is_http_1_0.store(is_http_1_0, Ordering::Release);
        self.has_body
            .store(!req.body().is_end_stream(), Ordering::Release);
    }

    fn request_answered(&self) {
        self.meter.begin_head();
    }
}

impl Connection {
    /// Serves the connection until it is closed. A caller that violates the protocol or
    /// disconnects affects only its own connection.
    pub async fn serve(self, stream: TcpStream) {
        match self.serve_requests(stream.clone()).await {
            CloseMode::Immediate => linger::close(stream, false).await,
            CloseMode::Drain => linger::close(stream, true).await,
            CloseMode::Reset => linger::reset(&stream),
        }
    }

    /// Answers all requests of the connection. Returns how to close it.
    async fn serve_requests(&self, stream: TcpStream) -> CloseMode {
        let progress = &self.progress;
        let stream =
            WriteTimeoutStream::new(stream, self.write_timeout).with_meter(&progress.meter);
        let service = service_fn(|req| self.answer(req));
        let conn = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(self.limits.header_bytes.max(MIN_BUFFER_BYTES))
            // A caller that closes its side of the connection has left: the handler's future is
            // dropped, and with it what waits or runs for this caller.
            .half_close(false)
            .serve_connection(FuturesIo::new(stream), service);
        let mut conn = pin!(conn);
        let ended = async { Some(conn.as_mut().await) };
        let closing = async {
            // Nothing is ever sent on the channel; `recv` fails once the server closes it.
            let _ = self.closing.recv().await;
            self.await_request_in_transit().await;
            None
        };
        let ended = match future::or(ended, closing).await {
            Some(ended) => ended,
            None => {
                conn.as_mut().graceful_shutdown();
                let ended = async { Some(conn.as_mut().await) };
                match future::or(ended, self.first_head_timeout()).await {
                    Some(ended) => ended,
                    None => return CloseMode::Immediate,
                }
            }
        };
        match ended {
            // To an HTTP/1.0 caller the end of the connection is the end of the body, so that an
            // aborted body would look complete after an ordinary close.
            Err(e) if e.is_user() && progress.is_http_1_0.load(Ordering::Acquire) => {
                CloseMode::Reset
            }
            Err(_) => CloseMode::Drain,
            Ok(()) if progress.has_body.load(Ordering::Acquire) => CloseMode::Drain,
            Ok(()) => CloseMode::Immediate,
        }
    }

    /// Gives a request that is in transit as the server stops the time to arrive. On a graceful
    /// shutdown hyper at once closes a connection on which no request is being answered, even if
    /// a part of one has arrived.
    async fn await_request_in_transit(&self) {
        if self.progress.meter.has_new_bytes() {
            Timer::after(REQUEST_GRACE).await;
        } else if !self.progress.has_request.load(Ordering::Acquire) {
            Timer::at(self.accepted_at + REQUEST_GRACE).await;
        }
    }

    /// Completes if the head of the connection's first request is still incomplete after
    /// `HEAD_GRACE`; hyper itself would go on waiting for the rest of it.
    async fn first_head_timeout<T>(&self) -> Option<T> {
        Timer::after(HEAD_GRACE).await;
        if self.progress.has_request.load(Ordering::Acquire) {
            future::pending().await
        }
        None
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        self.progress.request_started(&req);
        let mut resp = panics::handle_catching_panics(self.handler.as_ref(), self.peer, req).await;
        let is_stopping = self.stop.load(Ordering::Acquire) || self.retire.load(Ordering::Acquire);
        if is_stopping || self.intake.sheds() {
            let close = HeaderValue::from_static("close");
            resp.headers_mut().insert(CONNECTION, close);
        }
        self.progress.request_answered();
        Ok(resp)
    }
}
