//! The engine stand-in: preemption, crashes while cold, resumed streams, stalls.

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

/// Precision of the ages in load reports.
const AGE_PRECISION: Duration = Duration::from_millis(1);

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
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    engine::start(any_port, settings(warm)).await.unwrap()
}

async fn request_stream(addr: SocketAddr, tokens: u64) -> Option<Response<Incoming>> {
    let body = format!(
        r#"{{"messages":[{{"role":"user","content":"hi"}}],"stream":true,"metadata":{{"output_tokens":"{tokens}"}}}}"#
    );
    let req = Request::post("/v1/chat/completions").body(Full::new(Bytes::from(body)));
    Client::new().send(addr, req.unwrap()).await.ok()
}

/// Reads a stream until it ends or breaks. Returns the token offsets and whether it was complete.
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

// Generations are admitted by their current size. Two of them grow until the memory is full: the
// less urgent one is preempted and recomputed, and its reader sees a stall.
#[test]
fn full_memory_preempts_the_least_urgent_and_both_finish() {
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
    assert_eq!(
        batch.generations[1].preempted, 0,
        "the urgent generation was preempted"
    );
    assert!(batch.generations[0].stall_ms > 0);
    for generation in &batch.generations {
        assert_eq!(generation.end, Some(EndReason::Finished));
        assert_eq!(generation.produced, 40);
    }
}

// A cold engine handles two requests. A third one crashes it: all readers lose their streams, and
// it restarts as a new incarnation without them.
#[test]
fn a_cold_engine_crashes_above_its_limit() {
    block_on(async {
        let handle = start(false).await;
        let first = request_stream(handle.addr, 100_000).await.unwrap();
        let second = request_stream(handle.addr, 100_000).await.unwrap();
        assert!(request_stream(handle.addr, 1).await.is_none());
        let ((_, first), (_, second)) = zip(offsets(first), offsets(second)).await;
        assert!(!first && !second);
        assert_eq!(handle.standin.log().lifecycle.overfills, 1);
        wait_until(|| handle.standin.log().lifecycle.incarnation == 2).await;
        let response = request_stream(handle.addr, 3).await.unwrap();
        assert_eq!(response.headers()["x-stream-id"], "e1-2-2");
        assert_eq!(offsets(response).await, (vec![0, 1, 2], true));
    });
}

// The connection breaks in mid-stream. The engine continues the generation, and a second
// connection reads the rest of it, starting at the next token.
#[test]
fn a_cut_stream_resumes_at_the_next_token() {
    block_on(async {
        let handle = start(true).await;
        let bytes = 2000;
        handle.standin.set_faults(Faults {
            cut_answer: Some(Cut { bytes, times: 1 }),
            ..Faults::default()
        });
        let resp = request_stream(handle.addr, 50).await.unwrap();
        let stream = resp.headers()["x-stream-id"].to_str().unwrap().to_owned();
        let (seen, complete) = offsets(resp).await;
        assert!(!complete && seen.len() < 50);
        let req = Request::get(format!("/v1/streams/{stream}"))
            .header("last-event-id", "4")
            .body(Full::default());
        let rest = Client::new().send(handle.addr, req.unwrap()).await.unwrap();
        assert_eq!(offsets(rest).await, ((5..50).collect(), true));
    });
}

// A network device drops the state of a connection: nothing arrives on it any more, and no error
// is reported, while a new connection works.
#[test]
fn a_silenced_connection_delivers_nothing_while_a_new_one_works() {
    block_on(async {
        let handle = start(true).await;
        let resp = request_stream(handle.addr, 5000).await.unwrap();
        let action = Some(FaultAction::Silence);
        handle.standin.set_faults(Faults {
            action,
            ..Faults::default()
        });
        let old = workers::spawn(offsets(resp));
        let new = request_stream(handle.addr, 3).await.unwrap();
        assert_eq!(offsets(new).await, (vec![0, 1, 2], true));
        assert!(!old.is_finished());
    });
}

// An engine crashes during a stall of a minute, and the stall is then ended early. Requests after
// the restart must run at once: one that waited out a stall of the previous incarnation would look
// like a request that an instance has lost.
#[test]
fn a_stall_ended_early_delays_no_later_generation() {
    block_on(async {
        let handle = start(true).await;
        let stall = |ms| Faults {
            stall_ms: Some(ms),
            ..Faults::default()
        };
        handle.standin.set_faults(stall(60_000));
        let held = request_stream(handle.addr, 5).await.unwrap();
        // By now the step that produces the first token has started and is stalled.
        Timer::after(Duration::from_millis(100)).await;
        handle.standin.set_faults(Faults {
            action: Some(FaultAction::Crash),
            ..Faults::default()
        });
        handle.standin.set_faults(stall(0));
        assert_eq!(offsets(held).await, (vec![], false));
        wait_until(|| handle.standin.log().lifecycle.incarnation == 2).await;
        let started_at = Instant::now();
        let response = request_stream(handle.addr, 3).await.unwrap();
        assert_eq!(offsets(response).await, (vec![0, 1, 2], true));
        assert!(
            started_at.elapsed() < Duration::from_secs(20),
            "the stall delayed a generation of the next incarnation"
        );
    });
}

// An engine is down for a while before it restarts. A report that was made meanwhile would show its
// ended incarnation as running, and an instance that checks for a crash would find none.
#[test]
fn an_engine_that_is_down_makes_no_load_reports() {
    let down_ms = 200;
    let mut settings = settings(true);
    settings.lifecycle.restart_ms = down_ms;
    settings.lifecycle.load_lag_ms = 50;
    block_on(async {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let handle = engine::start(any_port, settings).await.unwrap();
        Timer::after(Duration::from_millis(100)).await;
        handle.standin.set_faults(Faults {
            action: Some(FaultAction::Crash),
            ..Faults::default()
        });
        let crashed_at = Instant::now();
        wait_until(|| handle.standin.log().lifecycle.incarnation == 2).await;
        loop {
            let since_crash = crashed_at.elapsed();
            if since_crash > Duration::from_millis(2 * down_ms) {
                break;
            }
            let (status, report) = load_report(handle.addr).await;
            assert_eq!(status, 200, "{report}");
            let age = Duration::from_millis(report["age_ms"].as_u64().unwrap());
            assert!(
                report["incarnation"] == 2 || age + AGE_PRECISION >= since_crash,
                "made while the engine was down: {report}"
            );
            Timer::after(Duration::from_millis(5)).await;
        }
    });
}

async fn load_report(addr: SocketAddr) -> (u16, serde_json::Value) {
    let req = Request::get("/load").body(Full::new(Bytes::new()));
    let resp = Client::new().send(addr, req.unwrap()).await.unwrap();
    let status = resp.status().as_u16();
    let body = resp.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

// An engine crashes during a stall, which can't be ended while the engine is down. The next
// incarnation stands for a new process, so requests to it must run at once.
#[test]
fn a_stall_ends_with_its_incarnation() {
    block_on(async {
        let handle = start(true).await;
        handle.standin.set_faults(Faults {
            stall_ms: Some(60_000),
            ..Faults::default()
        });
        handle.standin.set_faults(Faults {
            action: Some(FaultAction::Crash),
            ..Faults::default()
        });
        wait_until(|| handle.standin.log().lifecycle.incarnation == 2).await;
        let started_at = Instant::now();
        let response = request_stream(handle.addr, 3).await.unwrap();
        assert_eq!(offsets(response).await, (vec![0, 1, 2], true));
        assert!(
            started_at.elapsed() < Duration::from_secs(20),
            "the stall delayed a generation of the next incarnation"
        );
    });
}

async fn wait_until(done: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < deadline, "condition not met within 20 s");
        Timer::after(Duration::from_millis(5)).await;
    }
}
