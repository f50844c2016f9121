//! Requests, response bodies and connections that end early.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{Request, Response, body::Incoming};
use net::{Body, BodyAborted, Handler, Reply, ServeLimits, Server, channel, task_body};
use parking_lot::Mutex;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Answers by path, and never reads the request's body: `/panic` panics, `/slow` answers after
/// 200 ms, `/task-panics` starts a body whose task panics, `/complete` one whose task returns,
/// `/aborted` one that is aborted, `/dropped` one whose sender is dropped; any other path is
/// answered at once.
#[derive(Default)]
struct PathHandler {
    /// Messages of the handler's panics.
    panics: Mutex<Vec<String>>,
}

#[async_trait::async_trait]
impl Handler for PathHandler {
    async fn handle(&self, _: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            "/panic" => panic!("the handler fails"),
            "/slow" => {
                smol::Timer::after(Duration::from_millis(200)).await;
                Reply::text(200, "slow").done()
            }
            "/task-panics" => {
                let body = task_body(|tx| async move {
                    let _ = tx.send(Ok("a part".into())).await;
                    panic!("the task fails");
                });
                Reply::new(200).with_body(body).done()
            }
            "/aborted" => {
                let body = task_body(|tx| async move {
                    let _ = tx.send(Ok("a part".into())).await;
                    let _ = tx.send(Err(BodyAborted)).await;
                });
                Reply::new(200).with_body(body).done()
            }
            "/dropped" => {
                let (tx, body) = channel();
                let feed = async move {
                    let _ = tx.send("a part".into()).await;
                };
                workers::spawn(feed).detach();
                Reply::new(200).with_body(body).done()
            }
            "/complete" => {
                let body = task_body(|tx| async move {
                    let _ = tx.send(Ok("everything".into())).await;
                });
                Reply::new(200).with_body(body).done()
            }
            _ => Reply::text(200, "ok").done(),
        }
    }

    fn panicked(&self, message: &str) -> Response<Body> {
        self.panics.lock().push(message.to_owned());
        DefaultHandler.panicked(message)
    }
}

/// A handler that panics and does not override [`Handler::panicked`].
struct DefaultHandler;

#[async_trait::async_trait]
impl Handler for DefaultHandler {
    async fn handle(&self, _: SocketAddr, _: Request<Incoming>) -> Response<Body> {
        panic!("the default handler fails")
    }
}

/// Starts a server. Returns its address and its number of open connections.
async fn serve(handler: Arc<dyn Handler>) -> (SocketAddr, Arc<AtomicUsize>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, ServeLimits::default(), handler).await;
    let server = server.expect("a port");
    let (addr, open) = (
        server.addr().expect("an address"),
        server.open_connections(),
    );
    workers::spawn(server.run()).detach();
    (addr, open)
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

/// Bytes of a body that is larger than the buffers between client and server.
const LONG_BODY: usize = 8 * 1024 * 1024;
/// The end of a chunked body.
const CHUNKED_END: &str = "\r\n0\r\n\r\n";

/// Sends a request for a path. Returns the connection.
async fn send_request(addr: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    stream
}

/// Reads until the connection ends.
async fn read_to_end_lossy(mut stream: TcpStream) -> String {
    let mut buf = Vec::new();
    // A connection that is reset has ended too.
    let _ = stream.read_to_end(&mut buf).await;
    String::from_utf8_lossy(&buf).into_owned()
}

/// Guards against a panic in a handler that closes the caller's connection without a response.
#[test]
fn a_panic_in_a_handler_is_answered_and_affects_no_other_request() {
    smol::block_on(async {
        let (addr, open) = serve(Arc::new(PathHandler::default())).await;
        let mut other = send_request(addr, "/slow").await;
        let answer = read_to_end_lossy(send_request(addr, "/panic").await).await;
        assert!(answer.starts_with("HTTP/1.1 500 "), "{answer:?}");
        assert!(answer.contains("content-type: application/problem+json\r\n"));
        assert!(answer.contains("connection: close\r\n"), "{answer}");
        assert!(answer.contains(r#""run":"unknown""#), "{answer}");
        let mut buf = [0; 12];
        other.read_exact(&mut buf).await.expect("an answer");
        assert_eq!(&buf, b"HTTP/1.1 200");
        drop(other);
        wait_until(|| open.load(Ordering::Acquire) == 0).await;
    });
}

/// Guards against panics that are not reported, so that operators can't find their cause.
#[test]
fn a_panic_in_a_handler_is_reported_to_it() {
    smol::block_on(async {
        let answers = Arc::new(PathHandler::default());
        let handler: Arc<dyn Handler> = Arc::<PathHandler>::clone(&answers);
        let (addr, _) = serve(handler).await;
        read_to_end_lossy(send_request(addr, "/panic").await).await;
        assert_eq!(*answers.panics.lock(), ["the handler fails"]);
        let (addr, _) = serve(Arc::new(DefaultHandler)).await;
        let answer = read_to_end_lossy(send_request(addr, "/").await).await;
        assert!(answer.starts_with("HTTP/1.1 500 "), "{answer:?}");
    });
}

/// Guards against a caller that takes a truncated body for a complete one because the task that
/// sends it panicked.
#[test]
fn a_body_whose_task_panics_does_not_look_complete() {
    smol::block_on(async {
        let (addr, _) = serve(Arc::new(PathHandler::default())).await;
        let answer = read_to_end_lossy(send_request(addr, "/task-panics").await).await;
        assert!(!answer.contains(CHUNKED_END), "{answer:?}");
        let mut complete = send_request(addr, "/complete").await;
        let mut answer = String::new();
        while !answer.ends_with(CHUNKED_END) {
            let mut buf = [0; 1024];
            let len = complete.read(&mut buf).await.expect("more of the answer");
            assert!(len > 0, "{answer:?}");
            answer.push_str(&String::from_utf8_lossy(&buf[..len]));
        }
        assert!(answer.contains("everything"), "{answer:?}");
    });
}

/// Guards against losing the head and the chunks of a response that is aborted right after its
/// first chunk: the server would discard them with its buffer.
#[test]
fn chunks_before_an_abort_reach_the_caller() {
    smol::block_on(async {
        let (addr, _) = serve(Arc::new(PathHandler::default())).await;
        for _ in 0..20 {
            let answer = read_to_end_lossy(send_request(addr, "/aborted").await).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
            assert!(answer.contains("a part"), "{answer:?}");
            assert!(!answer.contains(CHUNKED_END), "{answer:?}");
        }
    });
}

/// Guards against a caller that takes a truncated body for a complete one because the sender was
/// dropped.
#[test]
fn a_body_whose_sender_is_dropped_unfinished_does_not_look_complete() {
    smol::block_on(async {
        let (addr, _) = serve(Arc::new(PathHandler::default())).await;
        let answer = read_to_end_lossy(send_request(addr, "/dropped").await).await;
        assert!(answer.contains("a part"), "{answer:?}");
        assert!(!answer.contains(CHUNKED_END), "{answer:?}");
    });
}

/// Sends a request with a long body; the body only once the response has arrived.
async fn send_late(addr: SocketAddr) -> (TcpStream, io::Result<()>) {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {LONG_BODY}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    stream.peek(&mut [0]).await.expect("an answer");
    let sent = stream.write_all(&vec![0; LONG_BODY]).await;
    (stream, sent)
}

/// Guards against a reset instead of a response when the server answers without reading the body.
#[test]
fn a_caller_that_is_still_sending_gets_its_response() {
    smol::block_on(async {
        let (addr, open) = serve(Arc::new(PathHandler::default())).await;
        let (stream, sent) = send_late(addr).await;
        sent.expect("nobody breaks the connection");
        let answer = read_to_end_lossy(stream).await;
        assert!(answer.ends_with("\r\n\r\nok"), "{answer:?}");
        wait_until(|| open.load(Ordering::Acquire) == 0).await;
    });
}

/// Guards against callers that were answered, send no body and keep their connections, which count
/// against the limit.
#[test]
fn a_caller_that_never_sends_its_body_loses_its_connection() {
    smol::block_on(async {
        let (addr, open) = serve(Arc::new(PathHandler::default())).await;
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n";
        stream.write_all(head).await.expect("it is sent");
        stream.peek(&mut [0]).await.expect("an answer");
        wait_until(|| open.load(Ordering::Acquire) == 0).await;
        drop(stream);
    });
}

/// Guards against an HTTP/1.0 caller, as some proxies are, that takes a truncated body for a
/// complete one: for it the end of the connection marks the end of the body.
#[test]
fn an_aborted_body_does_not_look_complete_to_an_http_1_0_caller() {
    smol::block_on(async {
        let (addr, _) = serve(Arc::new(PathHandler::default())).await;
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        let head = b"GET /aborted HTTP/1.0\r\n\r\n";
        stream.write_all(head).await.expect("it is sent");
        let mut buf = Vec::new();
        let read = stream.read_to_end(&mut buf).await;
        assert!(read.is_err(), "{:?}", String::from_utf8_lossy(&buf));
    });
}
