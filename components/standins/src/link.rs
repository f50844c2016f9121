//! Serving over connections that can be cut, silenced or broken at a given byte.

use std::{
    convert::Infallible,
    io,
    net::{Shutdown, SocketAddr},
    pin::Pin,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use futures_lite::io::{AsyncRead, AsyncWrite};
use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use net::Handler;
use parking_lot::Mutex;
use smol::{
    Task,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

/// Starts of requests that no armed cut applies to: reports and our own control port.
const SPARED: [&[u8]; 3] = [b"GET /load", b"GET /cache", b"POST /control"];

/// One open connection.
pub struct Link {
    stream: TcpStream,
    silent: AtomicBool,
    spared: AtomicBool,
    in_left: AtomicU64,
    out_left: AtomicU64,
}

impl Link {
    /// Closes the connection at once; an answer under way is lost.
    pub fn cut(&self) {
        // It fails only where the other end has closed it already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Closes the connection after this many more bytes have been sent.
    pub fn cut_after(&self, bytes: u64) {
        self.out_left.store(bytes, Ordering::Release);
        if bytes == 0 {
            self.cut();
        }
    }

    /// Spares the connection from faults of all connections: the answer to the message that
    /// makes the fault goes over it.
    pub fn spare(&self) {
        self.spared.store(true, Ordering::Release);
    }

    /// From now on nothing is heard or said on this connection, though it stays open.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }
}

/// All connections of one stand-in.
#[derive(Default)]
pub struct Links {
    open: Mutex<Vec<Weak<Link>>>,
    armed: Mutex<Vec<u64>>,
    down: AtomicBool,
}

impl Links {
    /// Cuts every open connection.
    pub fn cut_all(&self) {
        self.each(Link::cut);
    }

    /// Makes every open connection silent for good.
    pub fn silence_all(&self) {
        self.each(Link::silence);
    }

    /// The next `times` requests are cut off after `bytes` of them were read.
    pub fn cut_reading(&self, bytes: u64, times: usize) {
        self.armed.lock().extend(std::iter::repeat_n(bytes, times));
    }

    /// While down, new connections are closed at once, as by a process that is not there.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Release);
        if down {
            self.cut_all();
        }
    }

    fn each(&self, act: impl Fn(&Link)) {
        self.open
            .lock()
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|link| !link.spared.load(Ordering::Acquire))
            .for_each(|link| act(&link));
    }

    fn add(&self, link: &Arc<Link>) {
        let mut open = self.open.lock();
        open.retain(|old| old.strong_count() > 0);
        open.push(Arc::downgrade(link));
    }

    fn arm(&self, link: &Link, start: &[u8]) {
        if SPARED.iter().any(|spared| start.starts_with(spared)) {
            return;
        }
        if let Some(bytes) = self.armed.lock().pop() {
            link.in_left.store(bytes, Ordering::Release);
        }
    }
}

/// A stand-in that serves until this is dropped.
pub struct Running<T> {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The stand-in itself.
    pub standin: Arc<T>,
    /// Its connections.
    pub links: Arc<Links>,
    _tasks: Vec<Task<()>>,
}

impl<T> Running<T> {
    /// Adds a task that lives as long as the stand-in.
    #[must_use]
    pub fn with_task(mut self, task: Task<()>) -> Self {
        self._tasks.push(task);
        self
    }
}

impl<T> Drop for Running<T> {
    fn drop(&mut self) {
        self.links.set_down(true);
    }
}

/// Serves a stand-in on an address; port 0 picks a free one.
///
/// # Errors
/// Passes on why the address can't be listened on.
pub async fn serve<T: Handler>(
    addr: SocketAddr,
    links: Arc<Links>,
    standin: Arc<T>,
) -> io::Result<Running<T>> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let accept = accept(listener, Arc::clone(&links), Arc::clone(&standin));
    Ok(Running {
        addr,
        standin,
        links,
        _tasks: vec![workers::spawn(accept)],
    })
}

async fn accept<T: Handler>(listener: TcpListener, links: Arc<Links>, standin: Arc<T>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of descriptors, for instance: others may close some.
            timer::Timer::new()
                .sleep(std::time::Duration::from_millis(20))
                .await;
            continue;
        };
        if links.down.load(Ordering::Acquire) {
            continue;
        }
        // Without it each token may wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let link = Arc::new(Link {
            stream: stream.clone(),
            silent: AtomicBool::new(false),
            spared: AtomicBool::new(false),
            in_left: AtomicU64::new(u64::MAX),
            out_left: AtomicU64::new(u64::MAX),
        });
        links.add(&link);
        let conn = serve_one(stream, peer, link, Arc::clone(&links), Arc::clone(&standin));
        workers::spawn(conn).detach();
    }
}

async fn serve_one<T: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    link: Arc<Link>,
    links: Arc<Links>,
    standin: Arc<T>,
) {
    let io = Faulty {
        stream,
        link: Arc::clone(&link),
        links,
    };
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(Arc::clone(&link));
        let standin = Arc::clone(&standin);
        async move { Ok::<_, Infallible>(standin.handle(peer, req).await) }
    });
    // A caller that goes away hurts only its own connection.
    let _ = http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(io), service)
        .await;
}

struct Faulty {
    stream: TcpStream,
    link: Arc<Link>,
    links: Arc<Links>,
}

impl AsyncRead for Faulty {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            let n = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            if n == 0 {
                return Poll::Ready(Ok(0));
            }
            if self.link.silent.load(Ordering::Acquire) {
                continue;
            }
            let mut left = self.link.in_left.load(Ordering::Acquire);
            if left == u64::MAX {
                self.links.arm(&self.link, &buf[..n]);
                left = self.link.in_left.load(Ordering::Acquire);
            }
            if left == u64::MAX {
                return Poll::Ready(Ok(n));
            }
            let taken = left.min(n as u64);
            self.link.in_left.store(left - taken, Ordering::Release);
            if left == taken {
                self.link.cut();
            }
            return Poll::Ready(Ok(taken as usize));
        }
    }
}

impl AsyncWrite for Faulty {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.link.silent.load(Ordering::Acquire) {
            return Poll::Ready(Ok(buf.len()));
        }
        let left = self.link.out_left.load(Ordering::Acquire);
        if left == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let most = buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let n = ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[..most]))?;
        if left != u64::MAX {
            self.link.cut_after(left - n as u64);
        }
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
