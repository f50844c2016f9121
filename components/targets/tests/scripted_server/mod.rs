//! A server that sends prepared bytes, to test truncated and invalid answers.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use types::{ServingState, Target};

/// What the server does on one connection.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Least number of bytes of the request to read; the whole request if `None`.
    pub read: Option<usize>,
    /// Bytes to send.
    pub answer: Vec<u8>,
    /// Whether the connection stays open without further bytes afterwards, instead of being closed.
    pub hang: bool,
}

impl Exchange {
    /// Reads the whole request, sends `answer` and closes the connection.
    pub fn answer(answer: impl Into<Vec<u8>>) -> Self {
        Self {
            read: None,
            answer: answer.into(),
            hang: false,
        }
    }
}

/// A server that handles each connection by the next exchange, and closes it if none is left.
pub struct ScriptedServer {
    pub addr: SocketAddr,
    exchanges: Arc<Mutex<VecDeque<Exchange>>>,
    requests: Arc<Mutex<Vec<String>>>,
    _task: smol::Task<()>,
}

impl ScriptedServer {
    pub async fn start(exchanges: Vec<Exchange>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let exchanges = Arc::new(Mutex::new(VecDeque::from(exchanges)));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (queue, seen) = (Arc::clone(&exchanges), Arc::clone(&requests));
        let task = workers::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(exchange) = queue.lock().pop_front() else {
                    continue;
                };
                workers::spawn(serve(stream, exchange, Arc::clone(&seen))).detach();
            }
        });
        Self {
            addr,
            exchanges,
            requests,
            _task: task,
        }
    }

    /// Returns the requests that have been read so far, in the order in which they were complete.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().clone()
    }

    /// Number of exchanges that have not been used yet.
    pub fn remaining(&self) -> usize {
        self.exchanges.lock().len()
    }

    pub fn target(&self) -> Target {
        Target {
            id: "target".into(),
            service: "service".into(),
            data_centre: "one".into(),
            addr: self.addr,
            incarnation: 1,
            state: ServingState::Live,
        }
    }
}

async fn serve(mut stream: TcpStream, exchange: Exchange, seen: Arc<Mutex<Vec<String>>>) {
    let mut buf = Vec::new();
    let mut chunk = [0_u8; 4096];
    while !is_complete(&buf, exchange.read) {
        match stream.read(&mut chunk).await {
            Ok(len) if len > 0 => buf.extend_from_slice(&chunk[..len]),
            _ => break,
        }
    }
    seen.lock().push(String::from_utf8_lossy(&buf).into_owned());
    // The client may have disconnected.
    let _ = stream.write_all(&exchange.answer).await;
    let _ = stream.flush().await;
    if exchange.hang {
        std::future::pending::<()>().await;
    }
}

/// Whether `buf` has the whole request, or at least `least` bytes of it.
fn is_complete(buf: &[u8], least: Option<usize>) -> bool {
    if let Some(least) = least {
        return buf.len() >= least;
    }
    let text = String::from_utf8_lossy(buf).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0);
    body.len() >= length
}
