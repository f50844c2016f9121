//! Requests and connections that end before their time.

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

/// Answers by path: `/panic` breaks off, `/slow` answers a little later, `/fed` begins a body
/// whose feeder panics, `/ends` one whose feeder ends, `/cut` one that is cut, `/dropped` one whose
/// sender is dropped, any other at once, and none of them reads the request's body.
#[derive(Default)]
struct Answers {
    /// What panics said.
    panics: Mutex<Vec<String>>,
}

#[async_trait::async_trait]
impl Handler for Answers {
    async fn handle(&self, _: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            "/panic" => panic!("a handler broke off"),
            "/slow" => {
                smol::Timer::after(Duration::from_millis(200)).await;
                Reply::text(200, "slow").done()
            }
            "/fed" => {
                let body = task_body(|tx| async move {
                    let _ = tx.send(Ok("a part".into())).await;
                    panic!("a feeder broke off");
                });
                Reply::new(200).with_body(body).done()
            }
            "/cut" => {
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
            "/ends" => {
                let body = task_body(|tx| async move {
                    let _ = tx.send(Ok("a whole".into())).await;
                });
                Reply::new(200).with_body(body).done()
            }
            _ => Reply::text(200, "ok").done(),
        }
    }

    fn panicked(&self, reason: &str) -> Response<Body> {
        self.panics.lock().push(reason.to_owned());
        Plain.panicked(reason)
    }
}

/// A handler that leaves everything to the defaults.
struct Plain;

#[async_trait::async_trait]
impl Handler for Plain {
    async fn handle(&self, _: SocketAddr, _: Request<Incoming>) -> Response<Body> {
        panic!("another handler broke off")
    }
}

/// A running server: its address and its open connections.
async fn serve(handler: Arc<dyn Handler>) -> (SocketAddr, Arc<AtomicUsize>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, ServeLimits::default(), handler).await;
    let server = server.expect("a port");
    let (addr, open) = (server.addr().expect("an address"), server.open());
    workers::spawn(server.run()).detach();
    (addr, open)
}

async fn until(condition: impl Fn() -> bool) {
    for _ in 0..4000 {
        if condition() {
            return;
        }
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    panic!("the condition never came true");
}

/// Bytes of a request's body that do not fit into the buffers on its way.
const LONG: usize = 8 * 1024 * 1024;
/// What ends a body of unknown length.
const END: &str = "\r\n0\r\n\r\n";

/// Sends a request for a path, and gives the connection.
async fn ask(addr: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    stream
}

/// Reads to the end of the connection.
async fn rest(mut stream: TcpStream) -> String {
    let mut buf = Vec::new();
    // A connection that is reset has ended too.
    let _ = stream.read_to_end(&mut buf).await;
    String::from_utf8_lossy(&buf).into_owned()
}

/// A fault in one handler closes its caller's connection without an answer.
#[test]
fn a_handler_that_panics_is_answered_and_hurts_no_other_request() {
    smol::block_on(async {
        let (addr, open) = serve(Arc::new(Answers::default())).await;
        let mut other = ask(addr, "/slow").await;
        let answer = rest(ask(addr, "/panic").await).await;
        assert!(answer.starts_with("HTTP/1.1 500 "), "{answer:?}");
        assert!(answer.contains("content-type: application/problem+json\r\n"));
        assert!(answer.contains("connection: close\r\n"), "{answer}");
        assert!(answer.contains(r#""run":"unknown""#), "{answer}");
        let mut buf = [0; 12];
        other.read_exact(&mut buf).await.expect("an answer");
        assert_eq!(&buf, b"HTTP/1.1 200");
        drop(other);
        until(|| open.load(Ordering::Acquire) == 0).await;
    });
}

/// A panic that nobody hears of stays a mystery to the operators.
#[test]
fn a_panic_of_a_handler_is_reported_to_it() {
    smol::block_on(async {
        let answers = Arc::new(Answers::default());
        let handler: Arc<dyn Handler> = Arc::<Answers>::clone(&answers);
        let (addr, _) = serve(handler).await;
        rest(ask(addr, "/panic").await).await;
        assert_eq!(*answers.panics.lock(), ["a handler broke off"]);
        let (addr, _) = serve(Arc::new(Plain)).await;
        let answer = rest(ask(addr, "/").await).await;
        assert!(answer.starts_with("HTTP/1.1 500 "), "{answer:?}");
    });
}

/// A caller takes half an answer for the whole one.
#[test]
fn a_body_whose_feeder_panics_does_not_look_complete() {
    smol::block_on(async {
        let (addr, _) = serve(Arc::new(Answers::default())).await;
        let answer = rest(ask(addr, "/fed").await).await;
        assert!(!answer.contains(END), "{answer:?}");
        let mut whole = ask(addr, "/ends").await;
        let mut answer = String::new();
        while !answer.ends_with(END) {
            let mut buf = [0; 1024];
            let len = whole.read(&mut buf).await.expect("more of the answer");
            assert!(len > 0, "{answer:?}");
            answer.push_str(&String::from_utf8_lossy(&buf[..len]));
        }
        assert!(answer.contains("a whole"), "{answer:?}");
    });
}

/// An answer that is cut right after its first part ends without an answer at all.
#[test]
fn what_went_before_a_cut_reaches_the_caller() {
    smol::block_on(async {
        let (addr, _) = serve(Arc::new(Answers::default())).await;
        for _ in 0..20 {
            let answer = rest(ask(addr, "/cut").await).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
            assert!(answer.contains("a part"), "{answer:?}");
            assert!(!answer.contains(END), "{answer:?}");
        }
    });
}

/// The task that feeds an answer goes away, and the caller takes half of it for the whole.
#[test]
fn a_body_whose_sender_is_dropped_without_a_word_does_not_look_complete() {
    smol::block_on(async {
        let (addr, _) = serve(Arc::new(Answers::default())).await;
        let answer = rest(ask(addr, "/dropped").await).await;
        assert!(answer.contains("a part"), "{answer:?}");
        assert!(!answer.contains(END), "{answer:?}");
    });
}

/// Sends a request with a long body, the body only once the answer has come.
async fn send_late(addr: SocketAddr) -> (TcpStream, io::Result<()>) {
    let mut stream = TcpStream::connect(addr).await.expect("a connection");
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {LONG}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    stream.peek(&mut [0]).await.expect("an answer");
    let sent = stream.write_all(&vec![0; LONG]).await;
    (stream, sent)
}

/// A caller sends a body that is refused unread, and finds its connection reset in place of the
/// refusal.
#[test]
fn a_caller_that_still_sends_gets_its_answer() {
    smol::block_on(async {
        let (addr, open) = serve(Arc::new(Answers::default())).await;
        let (stream, sent) = send_late(addr).await;
        sent.expect("nobody breaks the connection");
        let answer = rest(stream).await;
        assert!(answer.ends_with("\r\n\r\nok"), "{answer:?}");
        until(|| open.load(Ordering::Acquire) == 0).await;
    });
}

/// Callers that are refused and hold their connections take the places of others.
#[test]
fn a_caller_that_owes_a_body_does_not_keep_its_connection() {
    smol::block_on(async {
        let (addr, open) = serve(Arc::new(Answers::default())).await;
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        let head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n";
        stream.write_all(head).await.expect("it is sent");
        stream.peek(&mut [0]).await.expect("an answer");
        until(|| open.load(Ordering::Acquire) == 0).await;
        drop(stream);
    });
}
/// A caller of HTTP/1.0, as some proxies are, takes half an answer for the whole one.
#[test]
fn a_cut_body_does_not_look_complete_where_the_connection_marks_its_end() {
    smol::block_on(async {
        let (addr, _) = serve(Arc::new(Answers::default())).await;
        let mut stream = TcpStream::connect(addr).await.expect("a connection");
        let head = b"GET /cut HTTP/1.0\r\n\r\n";
        stream.write_all(head).await.expect("it is sent");
        let mut buf = Vec::new();
        let read = stream.read_to_end(&mut buf).await;
        assert!(read.is_err(), "{:?}", String::from_utf8_lossy(&buf));
    });
}
