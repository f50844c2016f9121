//! Planned stops on the users' platform, as seen by callers that keep using their connections.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use net::Client;
use platform_standin::{caller::request, plain::Fault};
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{Caller, Instance, Platform, ReceivedAnswer, all_events, read_answer};

/// How long an instance accepts connections after the order to stop.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);
/// Events of a generation that takes about 0.6 s.
const SHORT_EVENTS: u32 = 40;
/// Events of a generation that outlasts any grace period.
const ENDLESS_EVENTS: u32 = 2_000;

/// Ids of the generations that reached an engine.
fn arrived(platform: &Platform) -> Vec<String> {
    let lists = platform
        .engines
        .iter()
        .map(|engine| engine.arrivals().list());
    lists
        .flatten()
        .map(|arrival| arrival.id.to_string())
        .collect()
}

/// Sends a generation, over a new connection if `fresh`; `None` if the connection ended without an
/// answer.
async fn send(
    client: &Client,
    instance: &Instance,
    id: &str,
    fresh: bool,
) -> Option<ReceivedAnswer> {
    let req = request("POST", "/drafts/1", id, SHORT_EVENTS, "key-1");
    let resp = if fresh {
        client.send_fresh(instance.addr, req).await
    } else {
        client.send(instance.addr, req).await
    };
    Some(read_answer(resp.ok()?).await)
}

/// Waits until this time has passed since an instance began to drain.
async fn wait_after_drain_start(instance: &Instance, time: Duration) {
    let drain_start = Duration::from_millis(instance.first_logged_at("Draining").await);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.expect("the clock is past 1970");
    Timer::after((drain_start + time).saturating_sub(now)).await;
}

/// Stops an instance, and sends it two generations shortly before or after it stops accepting
/// connections: one over a pooled connection and one over a new one. Returns those that reached an
/// engine but got neither an answer nor a refusal.
async fn send_late(platform: Arc<Platform>, name: String, offset_ms: u64) -> Vec<String> {
    let instance = platform.instance(&name).await;
    let client = Client::new();
    let first = request("GET", "/titles/1", &format!("{name}-0"), 0, "key-1");
    let first = client.send(instance.addr, first).await.expect("an answer");
    assert_eq!(read_answer(first).await.status, 200);
    instance.terminate();
    let from = ACCEPT_PERIOD - Duration::from_millis(20) + Duration::from_millis(offset_ms);
    wait_after_drain_start(&instance, from).await;
    let (pooled, new) = (format!("{name}-pooled"), format!("{name}-new"));
    let (on_pooled, on_new) = smol::future::zip(
        send(&client, &instance, &pooled, false),
        send(&client, &instance, &new, true),
    )
    .await;
    let arrived = arrived(&platform);
    let mut lost = Vec::new();
    for (id, got) in [(pooled, on_pooled), (new, on_new)] {
        let is_served = |got: &ReceivedAnswer| {
            got.is_complete && (got.status != 200 || got.body == all_events(SHORT_EVENTS))
        };
        if arrived.contains(&id) && !got.as_ref().is_some_and(is_served) {
            lost.push(format!(
                "{id} {offset_ms} ms: {got:?} {:?}",
                instance.events()
            ));
        }
    }
    lost
}

/// Guards against a process that ends while it serves a request which it read at the end of its
/// drain.
///
/// A drain that checks once for open requests, and then only waits 50 ms for the last bytes to be
/// sent, ends the process under a request that it reads within those 50 ms: the request has been
/// sent to an engine, and its caller gets neither an answer nor a refusal.
#[test]
fn a_request_that_is_read_as_a_drain_ends_is_answered() {
    smol::block_on(async {
        let platform = Arc::new(Platform::start().await);
        let stops = [0, 10, 20, 30, 40, 50, 60, 70].map(|offset_ms| {
            let name = format!("late-{offset_ms}");
            workers::spawn(send_late(Arc::clone(&platform), name, offset_ms))
        });
        let mut lost = Vec::new();
        for stop in stops {
            lost.extend(stop.await);
        }
        assert!(lost.is_empty(), "{lost:#?}");
    });
}

/// Guards against a process that ends with its grace period and leaves a call unanswered. The call
/// may have run.
#[test]
fn a_call_that_outlasts_the_grace_period_gets_504() {
    smol::block_on(async {
        let platform = Platform::start().await;
        for process in &platform.plain {
            process.set_fault(Fault::NoAnswer);
        }
        let instance = platform.instance("outlasting").await;
        instance.terminate();
        instance.first_logged_at("Draining").await;
        let caller = Caller::new("key-1");
        let (not_idempotent, idempotent) = smol::future::zip(
            caller.call(instance.addr, "POST", "/grants/1", "r-1"),
            caller.call(instance.addr, "GET", "/titles/1", "r-2"),
        )
        .await;
        assert_eq!(
            (not_idempotent.status, not_idempotent.is_complete),
            (504, true)
        );
        assert_eq!((idempotent.status, idempotent.is_complete), (504, true));
        instance.first_logged_at("Stopped").await;
    });
}

/// Guards against a process that ends with its grace period without logging which streams it
/// truncates.
#[test]
fn a_generation_that_outlasts_the_grace_period_is_truncated_and_logged() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("cutting").await;
        let caller = Caller::new("key-1");
        let resp = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", ENDLESS_EVENTS)
            .await;
        instance.terminate();
        let got = read_answer(resp.expect("an answer")).await;
        assert_eq!((got.status, got.is_complete), (200, false));
        let line = instance.log_line("g-1", "StreamCut").await;
        let reason = line["fields"]["reason"].as_str().unwrap_or_default();
        assert!(reason.contains("the instance stops"), "{line}");
        instance.first_logged_at("Stopped").await;
    });
}

/// Guards against a drain that is shortened by further signals or changed settings.
#[test]
fn further_signals_and_a_shorter_grace_period_do_not_shorten_a_drain() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("again").await;
        let caller = Caller::new("key-1");
        let resp = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", 240)
            .await;
        instance.terminate();
        instance.first_logged_at("Draining").await;
        instance.rewrite_settings("grace_s = 6", "grace_s = 1");
        for signal in ["-TERM", "-HUP", "-INT", "-TERM"] {
            Timer::after(Duration::from_millis(300)).await;
            instance.signal(signal);
        }
        let got = read_answer(resp.expect("an answer")).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(240)));
    });
}

/// Guards against a stream that is truncated by the end of the process but looks complete to a
/// caller that uses HTTP/1.0.
#[test]
fn a_stream_that_is_migrated_as_the_grace_period_ends_does_not_look_complete() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("old-caller").await;
        let mut stream = TcpStream::connect(instance.addr)
            .await
            .expect("a connection");
        let head = format!(
            "POST /drafts/1 HTTP/1.0\r\nhost: a.example\r\nrequest-id: g-1\r\n\
             deadline-milliseconds: 8000\r\ntoken-counts: 100,{ENDLESS_EVENTS}\r\n\
             authorization: Token key-1\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("it is sent");
        Timer::after(Duration::from_millis(300)).await;
        instance.terminate();
        // The grace period is six seconds; requests that are still open are aborted shortly before
        // its end.
        wait_after_drain_start(&instance, Duration::from_millis(5_300)).await;
        let source = platform
            .engines
            .iter()
            .position(|engine| engine.active_count() > 0);
        let source = source.expect("an engine runs it");
        platform.engines[1 - source].stop_responding();
        platform.set_engine_leaving(source);
        let mut buf = Vec::new();
        let read = stream.read_to_end(&mut buf).await;
        let text = String::from_utf8_lossy(&buf);
        assert!(text.contains("data: token 1"), "{text}");
        assert!(read.is_err(), "{read:?} {:?}", instance.events());
    });
}
