//! One caller's connection, from its first request to its close.

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
    linger, panics,
    reply::Body,
    serve::{Handler, ServeLimits},
    stall::Watched,
};

/// Time for a request that is on its way when the server stops: for the first one of a connection from
/// its making, for the rest of a head that has begun to arrive from the stop.
const LAST_REQUEST: Duration = Duration::from_millis(300);
/// Time beyond that for the head of a connection's first request.
const LAST_HEAD: Duration = Duration::from_secs(1);
/// Bytes of a connection's buffers at least; the library takes no less.
const LEAST_BUFFER: usize = 8192;

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
pub struct Connection {
    pub peer: SocketAddr,
    pub limits: ServeLimits,
    pub write_stall: Duration,
    pub handler: Arc<dyn Handler>,
    pub stop: Arc<AtomicBool>,
    pub retire: Arc<AtomicBool>,
    pub closing: Receiver<()>,
    /// When it was accepted.
    pub made: Instant,
    /// What has come so far.
    pub progress: Arc<Progress>,
}

/// What has come over a connection so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// A request.
    asked: AtomicBool,
    /// Bytes since the last request was answered.
    heard: Arc<AtomicBool>,
    /// The last request has a body.
    has_body: AtomicBool,
    /// The last request is of HTTP/1.0.
    old: AtomicBool,
}

impl Progress {
    fn begin(&self, req: &Request<Incoming>) {
        self.asked.store(true, Ordering::Release);
        let old = req.version() < Version::HTTP_11;
        self.old.store(old, Ordering::Release);
        self.has_body
            .store(!req.body().is_end_stream(), Ordering::Release);
    }

    fn answered(&self) {
        self.heard.store(false, Ordering::Release);
    }
}

impl Connection {
    /// Serves it to its end. A caller that breaks the protocol or goes away hurts only its own
    /// connection.
    pub async fn serve(self, stream: TcpStream) {
        match self.converse(stream.clone()).await {
            Left::Nothing => linger::close(stream, false).await,
            Left::Sending => linger::close(stream, true).await,
            Left::Cut => linger::reset(&stream),
        }
    }

    /// Answers all its requests; tells what is left to do.
    async fn converse(&self, stream: TcpStream) -> Left {
        let progress = &self.progress;
        let stream = Watched::new(stream, self.write_stall).with_heard(&progress.heard);
        let service = service_fn(|req| self.answer(req));
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
            self.last_request().await;
            None
        };
        let ended = match future::or(ended, closing).await {
            Some(ended) => ended,
            None => {
                conn.as_mut().graceful_shutdown();
                let ended = async { Some(conn.as_mut().await) };
                match future::or(ended, self.no_head()).await {
                    Some(ended) => ended,
                    None => return Left::Nothing,
                }
            }
        };
        match ended {
            // Such a caller takes the end of the connection for the end of the body.
            Err(e) if e.is_user() && progress.old.load(Ordering::Acquire) => Left::Cut,
            Err(_) => Left::Sending,
            Ok(()) if progress.has_body.load(Ordering::Acquire) => Left::Sending,
            Ok(()) => Left::Nothing,
        }
    }

    /// Waits for a request that is on its way as the server stops. The library closes a connection
    /// at once on which no request is being answered, be it that a part of one has arrived.
    async fn last_request(&self) {
        if self.progress.heard.load(Ordering::Acquire) {
            Timer::after(LAST_REQUEST).await;
        } else if !self.progress.asked.load(Ordering::Acquire) {
            Timer::at(self.made + LAST_REQUEST).await;
        }
    }

    /// Completes once the server has waited long enough for the rest of a first request's head,
    /// which the library goes on waiting for.
    async fn no_head<T>(&self) -> Option<T> {
        Timer::after(LAST_HEAD).await;
        if self.progress.asked.load(Ordering::Acquire) {
            future::pending().await
        }
        None
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        self.progress.begin(&req);
        let mut resp = panics::caught(self.handler.as_ref(), self.peer, req).await;
        if self.stop.load(Ordering::Acquire) || self.retire.load(Ordering::Acquire) {
            let close = HeaderValue::from_static("close");
            resp.headers_mut().insert(CONNECTION, close);
        }
        self.progress.answered();
        Ok(resp)
    }
}
