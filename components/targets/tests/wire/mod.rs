//! A target that speaks raw bytes, to cut and garble them where it likes.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use types::{ServingState, Target};

/// What one connection does.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Bytes of the request to read at least; the whole request if `None`.
    pub read: Option<usize>,
    /// Bytes to answer.
    pub answer: Vec<u8>,
    /// Whether the connection stays open and silent afterwards, instead of being closed.
    pub hang: bool,
}

impl Turn {
    /// Reads the whole request, answers and closes.
    pub fn answer(answer: impl Into<Vec<u8>>) -> Self {
        Self {
            read: None,
            answer: answer.into(),
            hang: false,
        }
    }
}

/// A listener that serves each connection by the next turn; with none left it closes them.
pub struct Wire {
    pub addr: SocketAddr,
    turns: Arc<Mutex<VecDeque<Turn>>>,
    heads: Arc<Mutex<Vec<String>>>,
    _task: smol::Task<()>,
}

impl Wire {
    pub async fn start(turns: Vec<Turn>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let turns = Arc::new(Mutex::new(VecDeque::from(turns)));
        let heads = Arc::new(Mutex::new(Vec::new()));
        let (left, seen) = (Arc::clone(&turns), Arc::clone(&heads));
        let task = workers::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(turn) = left.lock().pop_front() else {
                    continue;
                };
                workers::spawn(serve(stream, turn, Arc::clone(&seen))).detach();
            }
        });
        Self {
            addr,
            turns,
            heads,
            _task: task,
        }
    }

    /// What the connections read so far, in the order of their ends of reading.
    pub fn requests(&self) -> Vec<String> {
        self.heads.lock().clone()
    }

    /// Turns not used yet.
    pub fn left(&self) -> usize {
        self.turns.lock().len()
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

async fn serve(mut stream: TcpStream, turn: Turn, seen: Arc<Mutex<Vec<String>>>) {
    let mut buf = Vec::new();
    let mut part = [0_u8; 4096];
    while !enough(&buf, turn.read) {
        match stream.read(&mut part).await {
            Ok(len) if len > 0 => buf.extend_from_slice(&part[..len]),
            _ => break,
        }
    }
    seen.lock().push(String::from_utf8_lossy(&buf).into_owned());
    // The client may have gone; then there is nobody to answer.
    let _ = stream.write_all(&turn.answer).await;
    let _ = stream.flush().await;
    if turn.hang {
        std::future::pending::<()>().await;
    }
}

fn enough(buf: &[u8], least: Option<usize>) -> bool {
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
