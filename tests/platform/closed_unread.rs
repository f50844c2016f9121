//! A caller that sees its connection reset before the first byte of an answer takes its request for unread, and
//! sends it again. No connection may end so once the request was passed on.

use std::{io::ErrorKind, time::Duration};

use platform_standin::{deployment::HOST, plain::Fault};
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{Instance, Platform, eventually};

/// How a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// Bytes of an answer had arrived.
    Answered,
    /// In order, before the first byte.
    Closed,
    /// By a reset, before the first byte.
    Reset,
}

/// Sends a request that must run once, with these bytes after it.
async fn send(to: &Instance, path: &str, id: &str, after: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to.addr).await.expect("a connection");
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Milliseconds: 20000\r\n\
         Token-Counts: 100,400\r\nAuthorization: Token key-1\r\nContent-Length: 6\r\n\r\na body{after}"
    );
    stream
        .write_all(text.as_bytes())
        .await
        .expect("it is written");
    stream
}

async fn end(mut stream: TcpStream) -> End {
    match stream.read(&mut [0; 512]).await {
        Ok(0) => End::Closed,
        Ok(_) => End::Answered,
        Err(e) if e.kind() == ErrorKind::ConnectionReset => End::Reset,
        Err(e) => panic!("{e}"),
    }
}

/// Starts an instance with calls and generations that have reached a target and have no answer yet.
async fn start(name: &str) -> (Platform, Instance, Vec<TcpStream>) {
    let platform = Platform::start().await;
    let instance = platform.instance(name).await;
    for process in &platform.plain {
        process.set_fault(Fault::NoAnswer);
    }
    for engine in &platform.engines {
        engine.stop_responding();
    }
    let mut streams = Vec::new();
    for number in 0..4 {
        let id = format!("r-{number}");
        streams.push(send(&instance, "/grants/1", &id, "").await);
        streams.push(send(&instance, "/drafts/1", &format!("{id}-g"), "").await);
    }
    eventually("the calls run", || async {
        (0..4).all(|number| platform.runs(&format!("r-{number}")) == 1)
    })
    .await;
    Timer::after(Duration::from_millis(200)).await;
    (platform, instance, streams)
}

/// Guards against a connection that is reset at the end of a planned stop.
#[test]
fn a_request_that_was_passed_on_is_answered_at_the_end_of_a_stop() {
    smol::block_on(async {
        let (_platform, instance, streams) = start("stopped-unread").await;
        instance.terminate();
        for stream in streams {
            assert_eq!(end(stream).await, End::Answered);
        }
    });
}

/// Guards against a connection that is reset by the end of the process.
#[test]
fn a_request_that_was_passed_on_does_not_look_unread_when_the_instance_is_killed() {
    smol::block_on(async {
        let (_platform, mut instance, streams) = start("killed-unread").await;
        instance.kill();
        for stream in streams {
            assert_eq!(end(stream).await, End::Closed);
        }
    });
}

/// Guards against a reset that a caller provokes with bytes behind its request, which nobody has read yet.
#[test]
fn a_request_with_bytes_behind_it_does_not_look_unread_when_the_instance_is_killed() {
    smol::block_on(async {
        let (platform, mut instance, _streams) = start("killed-bytes").await;
        let id = "r-behind";
        let stream = send(&instance, "/grants/1", id, "GET /titles/1 HTTP/1.1\r\n").await;
        eventually("it runs", || async { platform.runs(id) == 1 }).await;
        instance.kill();
        assert_eq!(end(stream).await, End::Closed);
    });
}
