//! The engine: preemption, falling over while cold, resuming.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::future::zip;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use net::Client;
use smol::{Timer, block_on};
use standins::{
    connection::StandinHandle,
    engine::{
        self, Engine, EngineSettings,
        batch::{Batch, EndReason, NewGeneration},
    },
    lifecycle::{Cut, FaultAction, Faults, LifecycleSettings},
};

fn settings(warm: bool) -> EngineSettings {
    EngineSettings {
        lifecycle: LifecycleSettings {
            name: "e1".to_owned(),
            warm,
            restart_ms: 50,
            ..LifecycleSettings::default()
        },
        step_ms: 1.0,
        ..EngineSettings::default()
    }
}

async fn start(warm: bool) -> StandinHandle<Engine> {
    let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
    engine::start(ephemeral, settings(warm)).await.unwrap()
}

async fn request_stream(addr: SocketAddr, tokens: u64) -> Option<Response<Incoming>> {
    let body = format!(
        r#"{{"messages":[{{"role":"user","content":"hi"}}],"stream":true,"metadata":{{"output_tokens":"{tokens}"}}}}"#
    );
    let req = Request::post("/v1/chat/completions").body(Full::new(Bytes::from(body)));
    Client::new().send(addr, req.unwrap()).await.ok()
}

/// Reads until the end or the break; gives the offsets, and whether the end was seen.
async fn offsets(resp: Response<Incoming>) -> (Vec<u64>, bool) {
    let mut body = resp.into_body();
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        text += &String::from_utf8_lossy(frame.data_ref().unwrap());
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let complete = text.ends_with("data: [DONE]\n\n");
    (ids.map(|id| id.parse().unwrap()).collect(), complete)
}

fn new_generation(priority: i64) -> NewGeneration {
    NewGeneration {
        priority,
        prompt_tokens: 10,
        output_tokens: 40,
        ..NewGeneration::default()
    }
}

// Two generations are let in by their size at present, and grow until the memory is full. The
// less urgent one is thrown out and computed again: its reader sees it stand still.
#[test]
fn a_full_memory_preempts_the_least_urgent_and_both_end_whole() {
    let mut batch = Batch::new(EngineSettings {
        capacity: 60,
        ..EngineSettings::default()
    });
    batch.add(Duration::ZERO, 1, new_generation(1));
    batch.add(Duration::ZERO, 1, new_generation(0));
    let mut now = Duration::ZERO;
    while let Some(time) = batch.plan(now) {
        now += time;
        batch.step(now);
    }
    assert!(batch.totals.preemptions > 0);
    assert_eq!(batch.generations[1].preempted, 0, "the urgent one stays in");
    assert!(batch.generations[0].stall_ms > 0);
    for generation in &batch.generations {
        assert_eq!(generation.end, Some(EndReason::Finished));
        assert_eq!(generation.produced, 40);
    }
}

// A cold engine bears two requests. A third one brings it down: all readers lose their streams,
// and it comes back as another incarnation that knows none of them.
#[test]
fn a_cold_engine_falls_over_above_its_bound() {
    block_on(async {
        let running = start(false).await;
        let first = request_stream(running.addr, 100_000).await.unwrap();
        let second = request_stream(running.addr, 100_000).await.unwrap();
        assert!(request_stream(running.addr, 1).await.is_none());
        let ((_, first), (_, second)) = zip(offsets(first), offsets(second)).await;
        assert!(!first && !second);
        assert_eq!(running.standin.log().lifecycle.overfills, 1);
        wait_until(|| running.standin.log().lifecycle.incarnation == 2).await;
        let response = request_stream(running.addr, 3).await.unwrap();
        assert_eq!(response.headers()["x-stream-id"], "e1-2-2");
        assert_eq!(offsets(response).await, (vec![0, 1, 2], true));
    });
}

// The connection breaks in mid-stream. The engine goes on by itself, and a second connection
// reads the same generation from the next token on.
#[test]
fn a_cut_stream_goes_on_at_the_next_token() {
    block_on(async {
        let running = start(true).await;
        let bytes = 2000;
        running.standin.set_faults(Faults {
            cut_answer: Some(Cut { bytes, times: 1 }),
            ..Faults::default()
        });
        let resp = request_stream(running.addr, 50).await.unwrap();
        let stream = resp.headers()["x-stream-id"].to_str().unwrap().to_owned();
        let (seen, complete) = offsets(resp).await;
        assert!(!complete && seen.len() < 50);
        let req = Request::get(format!("/v1/streams/{stream}"))
            .header("last-event-id", "4")
            .body(Full::default());
        let rest = Client::new()
            .send(running.addr, req.unwrap())
            .await
            .unwrap();
        assert_eq!(offsets(rest).await, ((5..50).collect(), true));
    });
}

// Something on the way loses track of a connection: nothing arrives on it any more, and nothing
// tells so, while a new connection works.
#[test]
fn a_silent_connection_says_nothing_while_a_new_one_works() {
    block_on(async {
        let running = start(true).await;
        let resp = request_stream(running.addr, 5000).await.unwrap();
        let action = Some(FaultAction::Silence);
        running.standin.set_faults(Faults {
            action,
            ..Faults::default()
        });
        let old = workers::spawn(offsets(resp));
        let new = request_stream(running.addr, 3).await.unwrap();
        assert_eq!(offsets(new).await, (vec![0, 1, 2], true));
        assert!(!old.is_finished());
    });
}

// An engine stands still for a minute and crashes meanwhile; the stall is called off. What it gets
// after its return must run at once: a draft that waits out a stall of the engine's former life
// looks like one that an instance has lost.
#[test]
fn a_stall_that_was_called_off_holds_up_no_later_generation() {
    block_on(async {
        let running = start(true).await;
        let stall = |ms| Faults {
            stall_ms: Some(ms),
            ..Faults::default()
        };
        running.standin.set_faults(stall(60_000));
        let held = request_stream(running.addr, 5).await.unwrap();
        // The step that produces the first token has begun, and stands still.
        Timer::after(Duration::from_millis(100)).await;
        running.standin.set_faults(Faults {
            action: Some(FaultAction::Crash),
            ..Faults::default()
        });
        running.standin.set_faults(stall(0));
        assert_eq!(offsets(held).await, (vec![], false));
        wait_until(|| running.standin.log().lifecycle.incarnation == 2).await;
        let started_at = Instant::now();
        let response = request_stream(running.addr, 3).await.unwrap();
        assert_eq!(offsets(response).await, (vec![0, 1, 2], true));
        assert!(started_at.elapsed() < Duration::from_secs(20), "it waited");
    });
}

// An engine stands still and crashes. Nobody can call the stall off while it is away, and its next
// life is another process: what it gets then must run.
#[test]
fn a_stall_ends_with_the_life_that_it_was_meant_for() {
    block_on(async {
        let running = start(true).await;
        running.standin.set_faults(Faults {
            stall_ms: Some(60_000),
            ..Faults::default()
        });
        running.standin.set_faults(Faults {
            action: Some(FaultAction::Crash),
            ..Faults::default()
        });
        wait_until(|| running.standin.log().lifecycle.incarnation == 2).await;
        let started_at = Instant::now();
        let response = request_stream(running.addr, 3).await.unwrap();
        assert_eq!(offsets(response).await, (vec![0, 1, 2], true));
        assert!(started_at.elapsed() < Duration::from_secs(20), "it waited");
    });
}

async fn wait_until(done: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < deadline, "it did not come about");
        Timer::after(Duration::from_millis(5)).await;
    }
}
