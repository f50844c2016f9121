//! Measures over TCP how long a caller waits when a link falls silent, with everything in it:
//! noticing, connecting, asking for the next token.

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
use targets::{EngineCall, OpenAiEngine, Piece};
use timer::Timer;
use types::{Standing, Target};

const STREAMS: u64 = 200;
const BEFORE: u64 = 40;

/// Sends `BEFORE` tokens and falls silent; a resumed stream goes on and ends.
struct Falls {
    gap: Duration,
}

#[async_trait]
impl Handler for Falls {
    async fn handle(&self, _: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        let resumed = req.method() == Method::GET;
        let (tx, body) = channel();
        let gap = self.gap;
        let feed = async move {
            let range = if resumed {
                BEFORE..BEFORE + 5
            } else {
                0..BEFORE
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
        workers::spawn(feed).detach();
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
    let mut running = relay.start(&target, &call).await.expect("it starts");
    let mut last = None;
    let mut longest = Duration::ZERO;
    while let Piece::Tokens { .. } = running.next().await.expect("it goes on") {
        let now = Instant::now();
        longest = longest.max(last.map_or(Duration::ZERO, |last| now - last));
        last = Some(now);
    }
    assert_eq!(running.produced(), BEFORE + 5);
    longest
}

fn main() {
    println!("| time between tokens | longest gap that a caller sees, median | p99 | most |");
    println!("|---|---|---|---|");
    for gap in [10, 58, 150].map(Duration::from_millis) {
        smol::block_on(async {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(any, ServeLimits::default(), Arc::new(Falls { gap })).await;
            let server = server.expect("a port");
            let target = Target {
                id: "engine".into(),
                service: "model".into(),
                data_centre: "one".into(),
                addr: server.addr().expect("an address"),
                incarnation: 1,
                standing: Standing::Live,
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
            let at = |share: usize| gaps[(gaps.len() - 1) * share / 100];
            println!(
                "| {gap:?} | {} ms | {} ms | {} ms |",
                at(50),
                at(99),
                at(100)
            );
        });
    }
}
