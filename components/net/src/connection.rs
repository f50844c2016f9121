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
use smol::{channel::Receiver, future, net::TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    linger, panics,
    reply::Body,
    serve::{Handler, ServeLimits},
    stall::Watched,
};

/// Time from a connection's making within which its first request is waited for though the server
/// stops. Its caller has sent it by then, or has no request yet.
const FIRST_REQUEST: Duration = Duration::from_millis(300);
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
    /// Whether a request has come.
    pub asked: AtomicBool,
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
