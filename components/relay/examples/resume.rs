//! Measures over TCP how long a caller waits when the connection to an engine goes silent:
//! detection, reconnection and the request for the next token together.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Method, Request, Response, body::Incoming};
use net::{Body, Client, Handler, Reply, ServeLimits, Server, channel};
use relay::Relay;
use targets::{EngineCall, OpenAiEngine, StreamItem};
use timer::Timer;
use types::{ServingState, Target};

const STREAMS: u64 = 200;
/// Tokens sent before the connection goes silent.
const TOKENS_BEFORE_SILENCE: u64 = 40;

/// Sends `TOKENS_BEFORE_SILENCE` tokens and goes silent; a resumed stream continues and ends.
struct SilentEngine {
    gap: Duration,
}

#[async_trait]
impl Handler for SilentEngine {
    async fn handle(&self, _: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let resumed = req.method() == Method::GET;
        let (tx, body) = channel();
        let gap = self.gap;
        let send_events = async move {
            let range = if resumed {
                TOKENS_BEFORE_SILENCE..TOKENS_BEFORE_SILENCE + 5
            } else {
                0..TOKENS_BEFORE_SILENCE
            };
            for offset in range {
                smol::Timer::after(gap).await;
                let event = format!("id: {offset}\ndata: x\n\n");
                if tx.send(event.into()).await.is_err() {
                    return;
                }
            }
            if resumed {
                let _ = tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
                tx.finish();
                return;
            }
            smol::Timer::after(Duration::from_secs(60)).await;
            drop(tx);
        };
        workers::spawn(send_events).detach();
        Reply::new(200)
            .with_header("x-stream-id", "s")
            .with_body(body)
            .done()
    }
}

async fn longest_gap(relay: Relay, target: Target) -> Duration {
    let call = EngineCall {
        path: "/v1/completions".into(),
        body: Bytes::from_static(b"{}"),
        request: "r".into(),
    };
    let mut stream = relay
        .start(&target, &call)
        .await
        .expect("the generation starts");
    let mut last = None;
    let mut longest = Duration::ZERO;
    while let StreamItem::Tokens { .. } = stream.next().await.expect("the generation continues") {
        let now = Instant::now();
        longest = longest.max(last.map_or(Duration::ZERO, |last| now - last));
        last = Some(now);
    }
    assert_eq!(stream.produced(), TOKENS_BEFORE_SILENCE + 5);
    longest
}

fn main() {
    println!("| time between tokens | longest gap that a caller sees, median | p99 | max |");
    println!("|---|---|---|---|");
    for gap in [10, 58, 150].map(Duration::from_millis) {
        smol::block_on(async {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server =
                Server::bind(any, ServeLimits::default(), Arc::new(SilentEngine { gap })).await;
            let server = server.expect("a port");
            let target = Target {
                id: "engine".into(),
                service: "model".into(),
                data_centre: "one".into(),
                addr: server.addr().expect("an address"),
                incarnation: 1,
                state: ServingState::Live,
            };
            workers::spawn(server.run()).detach();
            let timer = Timer::new();
            let engine = Arc::new(OpenAiEngine::new(Client::new(), timer));
            let relay = Relay::new(engine, timer);
            let start = |_| workers::spawn(longest_gap(relay.clone(), target.clone()));
            let tasks: Vec<_> = (0..STREAMS).map(start).collect();
            let mut gaps = Vec::new();
            for task in tasks {
                gaps.push(task.await.as_millis());
            }
            gaps.sort_unstable();
            let percentile = |percent: usize| gaps[(gaps.len() - 1) * percent / 100];
            println!(
                "| {gap:?} | {} ms | {} ms | {} ms |",
                percentile(50),
                percentile(99),
                percentile(100)
            );
        });
    }
}
