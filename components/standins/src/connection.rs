//! HTTP server whose connections can be closed, silenced or cut at a given byte.

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

/// Starts of requests that pending cuts don't apply to: load reports, cache events and control.
const EXEMPT_REQUESTS: [&[u8]; 3] = [b"GET /load", b"GET /cache", b"POST /control"];

/// An open connection.
pub struct Connection {
    stream: TcpStream,
    silent: AtomicBool,
    exempt: AtomicBool,
    // Bytes that may still be read and written before the connection is closed; `u64::MAX` means
    // no limit.
    read_budget: AtomicU64,
    write_budget: AtomicU64,
}

impl Connection {
    /// Closes the connection at once; a response in progress is lost.
    pub fn close(&self) {
        // Fails only if the peer has closed the connection already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Closes the connection after `bytes` more bytes have been sent.
    pub fn close_after(&self, bytes: u64) {
        self.write_budget.store(bytes, Ordering::Release);
        if bytes == 0 {
            self.close();
        }
    }

    /// Exempts the connection from faults that hit all connections, because the response to the
    /// control message that injects the fault is sent over it.
    pub fn exempt(&self) {
        self.exempt.store(true, Ordering::Release);
    }

    /// Discards everything sent or received from now on; the connection stays open.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Release);
    }
}

/// All connections of a stand-in.
#[derive(Default)]
pub struct Connections {
    open: Mutex<Vec<Weak<Connection>>>,
    // Bytes to read before the cut, one entry for each of the next requests.
    pending_cuts: Mutex<Vec<u64>>,
    down: AtomicBool,
}

impl Connections {
    /// Closes every open connection that is not exempt.
    pub fn close_all(&self) {
        self.for_each_open(Connection::close);
    }

    /// Silences every open connection that is not exempt, permanently.
    pub fn silence_all(&self) {
        self.for_each_open(Connection::silence);
    }

    /// Closes the connections of the next `times` requests after `bytes` bytes have been read.
    pub fn cut_reading(&self, bytes: u64, times: usize) {
        self.pending_cuts
            .lock()
            .extend(std::iter::repeat_n(bytes, times));
    }

    /// Sets whether the stand-in is down. Going down closes the open connections that are not
    /// exempt; while down, new ones are closed at once, as if the process had ended.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Release);
        if down {
            self.close_all();
        }
    }

    fn for_each_open(&self, action: impl Fn(&Connection)) {
        self.open
            .lock()
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|connection| !connection.exempt.load(Ordering::Acquire))
            .for_each(|connection| action(&connection));
    }

    fn add(&self, connection: &Arc<Connection>) {
        let mut open = self.open.lock();
        open.retain(|old| old.strong_count() > 0);
        open.push(Arc::downgrade(connection));
    }

    fn apply_pending_cut(&self, connection: &Connection, start: &[u8]) {
        if EXEMPT_REQUESTS
            .iter()
            .any(|exempt| start.starts_with(exempt))
        {
            return;
        }
        if let Some(bytes) = self.pending_cuts.lock().pop() {
            connection.read_budget.store(bytes, Ordering::Release);
        }
    }
}

/// Handle of a running stand-in, which stops when the handle is dropped.
pub struct StandinHandle<T> {
    /// Address that the stand-in listens on.
    pub addr: SocketAddr,
    /// The stand-in itself.
    pub standin: Arc<T>,
    /// Connections of the stand-in.
    pub connections: Arc<Connections>,
    _tasks: Vec<Task<()>>,
}

impl<T> StandinHandle<T> {
    /// Adds a background task that is cancelled when the handle is dropped.
    #[must_use]
    pub fn with_task(mut self, task: Task<()>) -> Self {
        self._tasks.push(task);
        self
    }
}

impl<T> Drop for StandinHandle<T> {
    fn drop(&mut self) {
        self.connections.set_down(true);
    }
}

/// Serves a stand-in on an address; port 0 picks a free port.
///
/// # Errors
/// Returns the error of binding the address.
pub async fn serve<T: Handler>(
    addr: SocketAddr,
    connections: Arc<Connections>,
    standin: Arc<T>,
) -> io::Result<StandinHandle<T>> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let accept = accept(listener, Arc::clone(&connections), Arc::clone(&standin));
    Ok(StandinHandle {
        addr,
        standin,
        connections,
        _tasks: vec![workers::spawn(accept)],
    })
}

async fn accept<T: Handler>(listener: TcpListener, connections: Arc<Connections>, standin: Arc<T>) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Possibly out of file descriptors: retry after other connections have closed.
            timer::Timer::new()
                .sleep(std::time::Duration::from_millis(20))
                .await;
            continue;
        };
        if connections.down.load(Ordering::Acquire) {
            continue;
        }
        // Nagle's algorithm would hold a token back until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(Connection {
            stream: stream.clone(),
            silent: AtomicBool::new(false),
            exempt: AtomicBool::new(false),
            read_budget: AtomicU64::new(u64::MAX),
            write_budget: AtomicU64::new(u64::MAX),
        });
        connections.add(&connection);
        let conn = serve_connection(
            stream,
            peer,
            connection,
            Arc::clone(&connections),
            Arc::clone(&standin),
        );
        workers::spawn(conn).detach();
    }
}

async fn serve_connection<T: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    connection: Arc<Connection>,
    connections: Arc<Connections>,
    standin: Arc<T>,
) {
    let io = FaultyStream {
        stream,
        connection: Arc::clone(&connection),
        connections,
    };
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(Arc::clone(&connection));
        let standin = Arc::clone(&standin);
        async move { Ok::<_, Infallible>(standin.handle(peer, req).await) }
    });
    // An error on one connection, such as a client that left, affects no other.
    let _ = http1::Builder::new()
        .timer(SmolTimer::new())
        .serve_connection(FuturesIo::new(io), service)
        .await;
}

struct FaultyStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    connections: Arc<Connections>,
}

impl AsyncRead for FaultyStream {
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
            if self.connection.silent.load(Ordering::Acquire) {
                continue;
            }
            let mut remaining = self.connection.read_budget.load(Ordering::Acquire);
            if remaining == u64::MAX {
                self.connections
                    .apply_pending_cut(&self.connection, &buf[..n]);
                remaining = self.connection.read_budget.load(Ordering::Acquire);
            }
            if remaining == u64::MAX {
                return Poll::Ready(Ok(n));
            }
            let passed = remaining.min(n as u64);
            self.connection
                .read_budget
                .store(remaining - passed, Ordering::Release);
            if remaining == passed {
                self.connection.close();
            }
            return Poll::Ready(Ok(passed as usize));
        }
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.silent.load(Ordering::Acquire) {
            return Poll::Ready(Ok(buf.len()));
        }
        let remaining = self.connection.write_budget.load(Ordering::Acquire);
        if remaining == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let max = buf
            .len()
            .min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let n = ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[..max]))?;
        if remaining != u64::MAX {
            self.connection.close_after(remaining - n as u64);
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
