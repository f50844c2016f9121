//! Requests and connections that end before their time.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{Request, Response, body::Incoming};
use net::{Body, Handler, Reply, ServeLimits, Server};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Answers by path: `/panic` breaks off, `/slow` answers a little later, any other at once.
struct Answers;

#[async_trait::async_trait]
impl Handler for Answers {
    async fn handle(&self, _: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        match req.uri().path() {
            "/panic" => panic!("a handler broke off"),
            "/slow" => {
                smol::Timer::after(Duration::from_millis(200)).await;
                Reply::text(200, "slow").done()
            }
            _ => Reply::text(200, "ok").done(),
        }
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
        let (addr, open) = serve(Arc::new(Answers)).await;
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
