//! Servers that send bytes without end, in a head or in a body, until the client closes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use net::{BodyError, Client, SendError, read_limited};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use timer::Timer;

/// Time in which a flood must be given up.
const MAX_TIME: Duration = Duration::from_secs(2);
/// Time for one frame of a body; the whole body has six times as much.
const FRAME_TIMEOUT: Duration = Duration::from_millis(300);
/// The most bytes of a body that these tests take.
const MAX_BODY_BYTES: usize = 256 * 1_024;

/// Starts a server that answers a request with `start` and then with `rest` again and again. Returns its
/// address, and the number of connections that were closed by the client.
async fn flood(start: &'static str, rest: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let closed = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&closed);
    let serve = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let mut sent = stream.write_all(start.as_bytes()).await;
            let chunk = rest.repeat(64 * 1_024 / rest.len());
            while sent.is_ok() {
                sent = stream.write_all(chunk.as_bytes()).await;
            }
            count.fetch_add(1, Ordering::SeqCst);
        }
    };
    smol::spawn(serve).detach();
    (addr, closed)
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").body(Full::default()).expect("a request")
}

async fn assert_closed(closed: &AtomicUsize) {
    let since = Instant::now();
    while closed.load(Ordering::SeqCst) == 0 {
        assert!(since.elapsed() < MAX_TIME, "the connection stays open");
        smol::Timer::after(Duration::from_millis(10)).await;
    }
}

/// Guards against a head that is read without end: without a line, with lines without end, or as interim
/// responses, which the HTTP library skips.
#[test]
fn a_head_without_end_is_given_up_and_its_connection_closed() {
    smol::block_on(async {
        for rest in [
            "x",
            "\r\n",
            "a: b\r\n",
            "HTTP/1.1 102 Processing\r\n\r\n",
            "HTTP/1.1 100 Continue\r\nx: y\r\n\r\n",
        ] {
            for start in ["", "HTTP/1.1 200 OK\r\n"] {
                let (addr, closed) = flood(start, rest).await;
                let client = Client::new();
                let answer = client.send(addr, request());
                let answer = Timer::new().within(MAX_TIME, answer).await;
                let answer = answer.expect("an outcome in time");
                match answer {
                    Err(SendError::Lost { .. }) => {}
                    Err(SendError::Unsent(unsent)) => panic!("{rest:?}: {unsent}"),
                    // An empty line ends this head; its body has no end.
                    Ok(resp) => drop(resp),
                }
                assert_closed(&closed).await;
                assert_eq!(client.idle(addr), 0);
            }
        }
    });
}

/// Guards against a body that is read without end, with or without chunks.
#[test]
fn a_body_without_end_is_given_up_and_its_connection_closed() {
    smol::block_on(async {
        for (start, rest) in [
            ("HTTP/1.1 200 OK\r\n\r\n", "x"),
            (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                "1\r\nx\r\n",
            ),
            (
                "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n",
                "x",
            ),
            (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                "a: b\r\n",
            ),
            (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
                "x",
            ),
        ] {
            let (addr, closed) = flood(start, rest).await;
            let client = Client::new();
            let resp = client.send(addr, request()).await.expect("a head");
            let body = read_limited(resp.into_body(), MAX_BODY_BYTES, FRAME_TIMEOUT);
            let body = Timer::new().within(MAX_TIME, body).await;
            let error = body.expect("an outcome in time").expect_err("no body");
            // Chunks of one byte may take longer to read than the body may take as a whole.
            assert!(
                error != BodyError::TooSlow || rest.starts_with('1'),
                "{start:?}"
            );
            assert_closed(&closed).await;
            assert_eq!(client.idle(addr), 0);
        }
    });
}

/// Guards against a sender that keeps the only worker busy, so that nothing else of the process goes on.
#[test]
fn a_flood_leaves_time_to_other_tasks() {
    smol::block_on(async {
        let (addr, _) = flood("", "HTTP/1.1 102 Processing\r\n\r\n").await;
        let client = Client::new();
        let requests = async {
            for _ in 0..20 {
                let _ = client.send(addr, request()).await;
            }
        };
        let ticks = async {
            let mut longest = Duration::ZERO;
            loop {
                let since = Instant::now();
                smol::Timer::after(Duration::from_millis(5)).await;
                longest = longest.max(since.elapsed());
                assert!(longest < Duration::from_millis(500), "{longest:?}");
            }
        };
        smol::future::or(requests, ticks).await;
    });
}
