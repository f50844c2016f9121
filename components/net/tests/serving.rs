//! The server and the client under limits.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use net::{
    Body, Client, DynamicLimits, Handler, Intake, Listening, Reply, SendError, ServeLimits, Server,
    channel, read_limited,
};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const SECOND: Duration = Duration::from_secs(1);

/// Answers by path: `/endless` with an endless body, `/wait` never, any other path with the
/// request's body.
#[derive(Default)]
struct PathHandler {
    /// Number of requests for `/wait` that are being handled.
    waiting: Arc<AtomicUsize>,
    /// Set once sending the endless body has failed.
    stopped: Arc<AtomicBool>,
}

/// Decrements the counter of waiting requests when the handler's future is dropped.
struct WaitingGuard(Arc<AtomicUsize>);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

#[async_trait::async_trait]
impl Handler for PathHandler {
    async fn handle(&self, _: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            "/endless" => {
                let (tx, body) = channel();
                let stopped = Arc::clone(&self.stopped);
                let feed = async move {
                    while tx.send(Bytes::from(vec![0; 64 * 1024])).await.is_ok() {}
                    stopped.store(true, Ordering::Release);
                };
                workers::spawn(feed).detach();
                Reply::new(200).with_body(body).done()
            }
            "/wait" => {
                self.waiting.fetch_add(1, Ordering::AcqRel);
                let _waiting = WaitingGuard(Arc::clone(&self.waiting));
                std::future::pending().await
            }
            _ => match read_limited(req.into_body(), 100, SECOND).await {
                Ok(body) => Reply::text(200, body).done(),
                Err(e) => Reply::text(400, e.to_string()).done(),
            },
        }
    }
}

/// A running server as the tests observe it.
struct ServerProbe {
    addr: SocketAddr,
    open: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    waiting: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
}

async fn serve(limits: ServeLimits) -> ServerProbe {
    let handler = PathHandler::default();
    let (waiting, stopped) = (Arc::clone(&handler.waiting), Arc::clone(&handler.stopped));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, limits, Arc::new(handler)).await;
    let server = server.expect("a port").with_write_timeout(SECOND);
    let probe = ServerProbe {
        addr: server.addr().expect("an address"),
        open: server.open_connections(),
        stop: server.stop(),
        waiting,
        stopped,
    };
    workers::spawn(server.run()).detach();
    probe
}

async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..4000 {
        if condition() {
            return;
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    panic!("the condition never came true");
}

fn request(path: &str, body: &'static str) -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    Request::post(path).body(body).expect("a request")
}

async fn text(resp: Response<Incoming>) -> String {
    let body = resp.into_body().collect().await.expect("a complete body");
    String::from_utf8_lossy(&body.to_bytes()).into_owned()
}

/// Sends raw bytes and reads until the connection ends.
async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    stream.write_all(bytes).await.expect("it is sent");
    let mut buf = Vec::new();
    // A connection that is reset has ended too.
    let _ = stream.read_to_end(&mut buf).await;
    String::from_utf8_lossy(&buf).into_owned()
}

#[test]
fn a_connection_is_reused_after_its_response_was_read() {
    smol::block_on(async {
        let server = serve(ServeLimits::default()).await;
        let client = Client::new();
        for _ in 0..20 {
            let resp = client.send(server.addr, request("/echo", "hello")).await;
            assert_eq!(text(resp.expect("an answer")).await, "hello");
            wait_until(|| client.idle(server.addr) == 1).await;
        }
        assert_eq!(server.open.load(Ordering::Acquire), 1);
    });
}

#[test]
fn a_body_over_its_limit_is_not_read() {
    smol::block_on(async {
        let server = serve(ServeLimits::default()).await;
        let long = "POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 5000000\r\n\r\n";
        let answer = raw(server.addr, long.as_bytes()).await;
        assert!(answer.contains("longer than allowed"), "{answer}");
        let chunks = "POST /echo HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = format!("{chunks}65\r\n{}\r\n0\r\n\r\n", "x".repeat(0x65));
        let answer = raw(server.addr, chunk.as_bytes()).await;
        assert!(answer.contains("longer than allowed"), "{answer}");
    });
}

#[test]
fn headers_that_are_too_long_or_too_slow_end_the_connection() {
    // Guards against hostile callers that send endless headers, or one byte at a time, to occupy
    // connections and memory.
    smol::block_on(async {
        let limits = ServeLimits {
            header_timeout: SECOND,
            ..ServeLimits::default()
        };
        let server = serve(limits).await;
        let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 * 1024));
        let answer = raw(server.addr, long.as_bytes()).await;
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 431 "),
            "{answer}"
        );
        raw(server.addr, b"GET / HTTP/1.1\r\nx: ").await;
        wait_until(|| server.open.load(Ordering::Acquire) == 0).await;
    });
}

// Operators shorten the time that connections may be idle while the server runs. A server that
// kept its initial limits would hold connections that callers no longer use, or close ones that
// they still use.
#[test]
fn changed_limits_apply_to_connections_accepted_later() {
    smol::block_on(async {
        let limits = ServeLimits {
            header_timeout: 60 * SECOND,
            ..ServeLimits::default()
        };
        let terms = Arc::new(DynamicLimits::new(&limits));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, limits, Arc::new(PathHandler::default())).await;
        let server = server
            .expect("a port")
            .with_dynamic_limits(Arc::clone(&terms));
        let (addr, open) = (
            server.addr().expect("an address"),
            server.open_connections(),
        );
        workers::spawn(server.run()).detach();
        let _early = TcpStream::connect(addr).await.expect("a connection");
        wait_until(|| open.load(Ordering::Acquire) == 1).await;
        terms.set(limits.header_bytes, Duration::from_millis(50));
        let mut late = TcpStream::connect(addr).await.expect("a connection");
        let mut buf = Vec::new();
        // The server closes the connection although no byte was sent.
        let _ = late.read_to_end(&mut buf).await;
        wait_until(|| open.load(Ordering::Acquire) == 1).await;
    });
}

#[test]
fn connections_over_the_limit_are_answered_503_and_closed() {
    // Callers open more connections than the instance accepts. Those beyond the limit are asked to
    // retry later, and the others are still served.
    smol::block_on(async {
        let limits = ServeLimits {
            connections: 1,
            ..ServeLimits::default()
        };
        let server = serve(limits).await;
        let _first = TcpStream::connect(server.addr).await.expect("a connection");
        wait_until(|| server.open.load(Ordering::Acquire) == 1).await;
        let answer = raw(server.addr, b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("retry-after: 1") && answer.contains("not-run"));
        wait_until(|| server.open.load(Ordering::Acquire) == 1).await;
        let _second = TcpStream::connect(server.addr).await.expect("a connection");
        wait_until(|| server.open.load(Ordering::Acquire) == 2).await;
        assert_eq!(
            raw(server.addr, b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").await,
            ""
        );
    });
}

#[test]
fn a_caller_that_stops_reading_loses_its_connection() {
    // Guards against a caller that requests a long response and reads nothing of it, so that the
    // response stays in memory.
    smol::block_on(async {
        let server = serve(ServeLimits::default()).await;
        let mut stream = TcpStream::connect(server.addr).await.expect("a connection");
        let raw_request = b"POST /endless HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(raw_request).await.expect("it is sent");
        wait_until(|| server.stopped.load(Ordering::Acquire)).await;
        wait_until(|| server.open.load(Ordering::Acquire) == 0).await;
        drop(stream);
    });
}

#[test]
fn a_waiting_request_is_dropped_when_its_caller_disconnects() {
    // A user closes the page while the request waits in the queue. If the handler were not dropped,
    // the request would keep its place in the queue.
    smol::block_on(async {
        let server = serve(ServeLimits::default()).await;
        let mut stream = TcpStream::connect(server.addr).await.expect("a connection");
        let raw_request = b"POST /wait HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(raw_request).await.expect("it is sent");
        wait_until(|| server.waiting.load(Ordering::Acquire) == 1).await;
        drop(stream);
        wait_until(|| server.waiting.load(Ordering::Acquire) == 0).await;
        wait_until(|| server.open.load(Ordering::Acquire) == 0).await;
    });
}

#[test]
fn a_stopped_server_closes_idle_connections_and_finishes_the_others() {
    // An instance is shut down. Idle connections must not delay it, and busy ones must still get
    // their responses.
    smol::block_on(async {
        let server = serve(ServeLimits::default()).await;
        let mut idle = TcpStream::connect(server.addr).await.expect("a connection");
        let mut busy = TcpStream::connect(server.addr).await.expect("a connection");
        let raw_request = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\na";
        busy.write_all(raw_request).await.expect("it is sent");
        wait_until(|| server.open.load(Ordering::Acquire) == 2).await;
        server.stop.store(true, Ordering::Release);
        let mut buf = Vec::new();
        idle.read_to_end(&mut buf).await.expect("it is closed");
        assert!(buf.is_empty());
        busy.write_all(b"b").await.expect("it is sent");
        busy.read_to_end(&mut buf).await.expect("an answer");
        let answer = String::from_utf8_lossy(&buf);
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("ab"),
            "{answer}"
        );
        wait_until(|| server.open.load(Ordering::Acquire) == 0).await;
    });
}

/// Guards against a server whose `run` returns while a request is still being handled.
#[test]
fn a_server_ends_only_after_its_last_connection() {
    smol::block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(
            any,
            ServeLimits::default(),
            Arc::new(PathHandler::default()),
        )
        .await;
        let server = server.expect("a port");
        let (addr, stop) = (server.addr().expect("an address"), server.stop());
        let served = workers::spawn(server.run());
        let mut busy = TcpStream::connect(addr).await.expect("a connection");
        let raw_request = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\na";
        busy.write_all(raw_request).await.expect("it is sent");
        smol::Timer::after(Duration::from_millis(50)).await;
        stop.store(true, Ordering::Release);
        smol::Timer::after(Duration::from_millis(300)).await;
        assert!(!served.is_finished());
        busy.write_all(b"b").await.expect("it is sent");
        let mut buf = Vec::new();
        busy.read_to_end(&mut buf).await.expect("an answer");
        assert!(buf.ends_with(b"ab"), "{}", String::from_utf8_lossy(&buf));
        // After a request with a body the server reads until the caller closes the connection.
        drop(busy);
        let ended = timer::Timer::new().within(SECOND, served).await;
        assert!(ended.is_some());
    });
}

/// Guards against closing a connection that a caller has just opened and is about to use.
#[test]
fn a_connection_opened_as_the_server_stops_gets_its_first_request_answered() {
    smol::block_on(async {
        let server = serve(ServeLimits::default()).await;
        let mut new = TcpStream::connect(server.addr).await.expect("a connection");
        server.stop.store(true, Ordering::Release);
        smol::Timer::after(Duration::from_millis(150)).await;
        let raw_request = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab";
        let sent = new.write_all(raw_request).await;
        let mut buf = Vec::new();
        let read = new.read_to_end(&mut buf).await;
        assert!(
            buf.starts_with(b"HTTP/1.1 200 ") && buf.ends_with(b"ab"),
            "{sent:?} {read:?} {}",
            String::from_utf8_lossy(&buf)
        );
        wait_until(|| server.open.load(Ordering::Acquire) == 0).await;
    });
}

/// Guards against closing a connection while the head of a request is arriving.
#[test]
fn a_request_whose_head_has_begun_to_arrive_on_a_reused_connection_is_answered() {
    smol::block_on(async {
        let server = serve(ServeLimits::default()).await;
        let mut kept = TcpStream::connect(server.addr).await.expect("a connection");
        let raw_request = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab";
        kept.write_all(raw_request).await.expect("it is sent");
        let mut first = [0; 512];
        let len = kept.read(&mut first).await.expect("an answer");
        assert!(first[..len].ends_with(b"ab"));
        let (begun, rest) = raw_request.split_at(20);
        kept.write_all(begun).await.expect("it is sent");
        smol::Timer::after(Duration::from_millis(50)).await;
        server.stop.store(true, Ordering::Release);
        smol::Timer::after(Duration::from_millis(150)).await;
        let sent = kept.write_all(rest).await;
        let mut buf = Vec::new();
        let read = kept.read_to_end(&mut buf).await;
        assert!(
            buf.starts_with(b"HTTP/1.1 200 ") && buf.ends_with(b"ab"),
            "{sent:?} {read:?} {}",
            String::from_utf8_lossy(&buf)
        );
    });
}

/// Guards against a caller that delays a shutdown by sending only a part of a request's head.
#[test]
fn an_incomplete_head_does_not_delay_a_stop() {
    smol::block_on(async {
        let server = serve(ServeLimits::default()).await;
        let mut slow = TcpStream::connect(server.addr).await.expect("a connection");
        slow.write_all(b"POST /echo HTT").await.expect("it is sent");
        wait_until(|| server.open.load(Ordering::Acquire) == 1).await;
        server.stop.store(true, Ordering::Release);
        let ended = wait_until(|| server.open.load(Ordering::Acquire) == 0);
        let ended = timer::Timer::new().within(3 * SECOND, ended).await;
        assert!(ended.is_some());
    });
}

#[test]
fn a_fresh_connection_is_not_taken_from_the_pool() {
    // A device on the path has dropped the state of the pooled connections: they look open, but no
    // bytes arrive. A stream resumed over one of them would hang again.
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&accepted);
        let serve = async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::AcqRel);
                let mut buf = [0; 1024];
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                let talk = async move {
                    while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {
                        if stream.write_all(answer).await.is_err() {
                            return;
                        }
                    }
                };
                workers::spawn(talk).detach();
            }
            Ok::<(), Infallible>(())
        };
        let _task = workers::spawn(serve);
        let client = Client::new();
        for _ in 0..2 {
            let resp = client.send_fresh(addr, request("/", "x")).await;
            assert_eq!(text(resp.expect("an answer")).await, "ok");
        }
        assert_eq!(accepted.load(Ordering::Acquire), 2);
        client.close_connections(addr);
        let resp = client.send(addr, request("/", "x")).await;
        assert_eq!(text(resp.expect("an answer")).await, "ok");
        assert_eq!(accepted.load(Ordering::Acquire), 3);
    });
}

#[test]
fn a_request_is_unsent_only_when_no_connection_was_made() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let close = async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buf = [0; 1];
            stream.read_exact(&mut buf).await.expect("a byte");
        };
        let send = Client::new();
        let send = send.send(addr, request("/", "x"));
        let (result, ()) = smol::future::zip(send, close).await;
        assert!(matches!(result, Err(SendError::Lost { .. })));
        let result = Client::new().send(addr, request("/", "x")).await;
        assert!(matches!(result, Err(SendError::Unsent(_))));
    });
}

/// Admits no connection.
struct ClosesAll;

impl Intake for ClosesAll {
    fn admits(&self) -> bool {
        false
    }

    fn listens(&self) -> bool {
        true
    }

    fn record_listening(&self, _change: &Listening) {}

    fn sheds(&self) -> bool {
        false
    }

    fn started(&self, _waited: Duration) {}

    fn ticked(&self, _late: Duration) {}
}

/// A request on a connection that was to be closed unread was served, and its retry elsewhere served it again.
#[test]
fn nothing_is_served_on_a_connection_that_is_closed_unread() {
    smol::block_on(async {
        let handler = PathHandler::default();
        let waiting = Arc::clone(&handler.waiting);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, ServeLimits::default(), Arc::new(handler)).await;
        let server = server.expect("a port").with_intake(Arc::new(ClosesAll));
        let addr = server.addr().expect("an address");
        workers::spawn(server.run()).detach();
        for _ in 0..20 {
            let req = Request::get("/wait")
                .body(Full::default())
                .expect("a request");
            let client = Client::new();
            let answer = client.send(addr, req);
            assert!(
                timer::Timer::new()
                    .within(SECOND, answer)
                    .await
                    .expect("closed")
                    .is_err()
            );
        }
        assert_eq!(waiting.load(Ordering::Acquire), 0);
    });
}

/// Listens while it is told to, and counts the pauses.
#[derive(Default)]
struct Pausing {
    is_paused: AtomicBool,
    pauses: AtomicUsize,
}

impl Intake for Pausing {
    fn admits(&self) -> bool {
        true
    }

    fn listens(&self) -> bool {
        !self.is_paused.load(Ordering::Acquire)
    }

    fn record_listening(&self, change: &Listening) {
        match change {
            Listening::Paused => {
                self.pauses.fetch_add(1, Ordering::AcqRel);
            }
            Listening::Resumed => {}
            Listening::Failed(e) => panic!("it can't listen again: {e}"),
        }
    }

    fn sheds(&self) -> bool {
        false
    }

    fn started(&self, _waited: Duration) {}

    fn ticked(&self, _late: Duration) {}
}

/// A server that did not listen for a moment lost its port to an outgoing connection, or dropped the connections that
/// it had accepted before.
#[test]
fn a_server_that_pauses_refuses_connections_keeps_open_ones_and_listens_again_on_its_port() {
    smol::block_on(async {
        let intake = Arc::new(Pausing::default());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Arc::new(PathHandler::default());
        let server = Server::bind(any, ServeLimits::default(), handler).await;
        let server = server
            .expect("a port")
            .with_intake(Arc::clone(&intake) as Arc<dyn Intake>);
        let addr = server.addr().expect("an address");
        workers::spawn(server.run()).detach();
        let kept = Client::new();
        for round in 1..20 {
            let resp = kept.send(addr, request("/", "x")).await;
            assert!(
                resp.is_ok_and(|resp| resp.status() == 200),
                "before pause {round}"
            );
            intake.is_paused.store(true, Ordering::Release);
            // The server looks at the decision once it has accepted a connection.
            let _ = Client::new().send(addr, request("/", "x")).await;
            while intake.pauses.load(Ordering::Acquire) < round {
                smol::Timer::after(Duration::from_millis(1)).await;
            }
            let refused = Client::new().send(addr, request("/", "x")).await;
            assert!(
                matches!(refused, Err(SendError::Unsent(_))),
                "pause {round}"
            );
            let resp = kept.send(addr, request("/", "x")).await;
            assert!(
                resp.is_ok_and(|resp| resp.status() == 200),
                "in pause {round}"
            );
            intake.is_paused.store(false, Ordering::Release);
            smol::Timer::after(Duration::from_millis(40)).await;
            let resp = Client::new().send(addr, request("/", "x")).await;
            assert!(
                resp.is_ok_and(|resp| resp.status() == 200),
                "after pause {round}"
            );
        }
    });
}
