//! Streams that may be resumed on the users' platform, with real processes and engines that fail.

use std::time::Duration;

use crate::support::{
    Caller, Instance, Platform, ReceivedAnswer, all_events, eventually, read_answer, status,
};
use hyper::{Response, body::Incoming, header::HeaderValue};
use net::Client;
use platform_standin::{
    caller::request,
    deployment::{configuration, route},
    engine::{Exit, Faults},
};
use serde_json::json;
use smol::Timer;

/// Events of a generation that takes about two seconds.
const LONG_EVENTS: u32 = 130;
/// Time after which the first events have arrived.
const STREAM_START_DELAY: Duration = Duration::from_millis(300);
/// Time within which an engine stops for a caller that has gone.
const MAX_TIME_TO_STOP: Duration = Duration::from_millis(500);

/// Starts a platform in which streams of the route `notes` may be resumed, by at most two engines, and those
/// of the route `orders` may not.
async fn start(name: &str) -> (Platform, Instance) {
    let platform = Platform::start().await;
    let mut notes = route("notes", "streaming", "drafts", 2);
    notes["resume_streams"] = json!(true);
    let orders = route("orders", "streaming", "drafts", 2);
    let config = configuration(100, &["key-1"], &[notes, orders]);
    platform.store.put("op", "config", config);
    let instance = platform.instance(name).await;
    (platform, instance)
}

/// Requests a generation, whose caller has received the events up to `after`.
async fn send(to: &Instance, id: &str, after: u32) -> Response<Incoming> {
    let mut req = request("POST", "/notes/1", id, LONG_EVENTS, "key-1");
    if after > 0 {
        req.headers_mut()
            .insert("last-event-id", HeaderValue::from(after));
    }
    let resp = Client::new().send_fresh(to.addr, req).await;
    resp.expect("an answer")
}

/// Requests a generation that the first engine begins, and waits until events have arrived.
async fn start_stream(name: &str) -> (Platform, Instance, Response<Incoming>) {
    let (platform, instance) = start(name).await;
    let resp = send(&instance, "g-1", 0).await;
    Timer::after(STREAM_START_DELAY).await;
    assert_eq!(platform.engines[0].active_count(), 1);
    (platform, instance, resp)
}

fn assert_whole(got: &ReceivedAnswer) {
    assert_eq!((got.status, got.is_complete), (200, true), "{got:?}");
    assert_eq!(got.body, all_events(LONG_EVENTS));
}

/// An engine is killed in the middle of a stream. Without a resumption the caller gets a truncated answer.
#[test]
fn a_stream_whose_engine_crashed_goes_on_at_another_engine() {
    smol::block_on(async {
        let (platform, instance, resp) = start_stream("resumed").await;
        assert_eq!(resp.headers()["response-seal"], "a-seal");
        platform.engines[0].crash();
        assert_whole(&read_answer(resp).await);
        assert_eq!(platform.engines[1].started(), ["g-1"]);
        let line = instance.log_line("g-1", "StreamResumed").await;
        assert_eq!(line["fields"]["from"], "e-1");
        assert_eq!(line["fields"]["to"], "e-2");
        assert!(
            line["fields"]["after"]
                .as_u64()
                .is_some_and(|after| after > 0)
        );
    });
}

/// An engine exits in the middle of an event. If the cut part is forwarded, the caller gets it joined to
/// the next event, or takes the stream for complete.
#[test]
fn a_stream_that_stopped_within_an_event_goes_on_with_the_whole_event() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_stream("part").await;
        platform.engines[0].exit(Exit::WithinEvent);
        assert_whole(&read_answer(resp).await);
    });
}

/// An engine closes its stream in an orderly way at any byte of an event, and goes on serving. The answer
/// would look complete.
#[test]
fn a_stream_that_ends_at_any_byte_of_an_event_is_completed() {
    smol::block_on(async {
        let (platform, instance) = start("bytes").await;
        let two_events = all_events(2).len();
        let third_event = all_events(3).len() - two_events;
        for size in two_events + 1..two_events + third_event {
            platform.engines[0].set_faults(Faults {
                stream_bytes: Some(size),
                ..Faults::default()
            });
            let resp = send(&instance, &format!("g-{size}"), 0).await;
            assert_whole(&read_answer(resp).await);
        }
    });
}

/// An engine is killed between the head of its answer and the first event. The caller would get an empty
/// answer that is truncated.
#[test]
fn a_stream_that_was_lost_before_its_first_event_runs_elsewhere() {
    smol::block_on(async {
        let (platform, instance) = start("before").await;
        platform.engines[0].set_faults(Faults {
            event_interval: Some(Duration::from_secs(2)),
            ..Faults::default()
        });
        let resp = send(&instance, "g-1", 0).await;
        assert_eq!(platform.engines[0].active_count(), 1);
        platform.engines[0].crash();
        assert_whole(&read_answer(resp).await);
    });
}

/// The same where the only other engine has other weights. Guards against an engine that has ended and can't be
/// told to stop, as no engine could take its memory.
#[test]
fn a_stream_that_was_lost_before_its_first_event_runs_at_an_engine_with_other_weights() {
    smol::block_on(async {
        let (platform, instance) = start("other-weights").await;
        platform.engines[0].set_faults(Faults {
            event_interval: Some(Duration::from_secs(2)),
            ..Faults::default()
        });
        let resp = send(&instance, "g-1", 0).await;
        assert_eq!(platform.engines[0].active_count(), 1);
        platform.engines[1].load_weights(2);
        let listing = platform.engines[1].listing("drafts", "dc-1", "ready");
        platform.store.put("servers", "e-2", listing);
        Timer::after(STREAM_START_DELAY).await;
        platform.engines[0].crash();
        assert_whole(&read_answer(resp).await);
    });
}

/// An engine answers with an error of its own. Without a second attempt the caller gets it although another
/// engine is sound.
#[test]
fn a_generation_that_an_engine_failed_runs_at_another() {
    smol::block_on(async {
        let (platform, instance) = start("failed").await;
        platform.engines[0].set_faults(Faults {
            fails: true,
            ..Faults::default()
        });
        assert_whole(&read_answer(send(&instance, "g-1", 0).await).await);
        assert_eq!(platform.engines[0].started(), ["g-1"]);
    });
}

/// Both engines that a request may run on are killed. Without the bound it would run on all engines.
#[test]
fn a_stream_goes_on_at_no_more_engines_than_its_route_allows() {
    smol::block_on(async {
        let (platform, instance, resp) = start_stream("bounded").await;
        platform.engines[0].crash();
        eventually("it runs at the second engine", || async {
            platform.engines[1].active_count() == 1
        })
        .await;
        let third = platform.add_engine("e-3").await;
        Timer::after(STREAM_START_DELAY).await;
        platform.engines[1].crash();
        let got = read_answer(resp).await;
        assert!(!got.is_complete && all_events(LONG_EVENTS).starts_with(&got.body));
        assert!(third.started().is_empty());
        let line = instance.log_line("g-1", "ResumptionGivenUp").await;
        assert_eq!(line["fields"]["why"], "engines_used_up");
    });
}

/// The retry budget of the service is used up when an engine is killed. Resumptions beyond it would add to
/// the load on the engines that are left.
#[test]
fn a_stream_does_not_go_on_without_a_retry_left_in_the_budget() {
    smol::block_on(async {
        let (platform, mut instance) = start("budget").await;
        instance.kill();
        instance.rewrite_settings("retry_budget_ratio = 0.2", "retry_budget_ratio = 0.0");
        instance.rewrite_settings("retry_slack = 50", "retry_slack = 0");
        instance.restart();
        let ready = instance.readiness;
        eventually("the instance is ready", || async move {
            status(ready, "/v1/readiness").await == Some(200)
        })
        .await;
        let resp = send(&instance, "g-1", 0).await;
        Timer::after(STREAM_START_DELAY).await;
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert!(!got.is_complete && all_events(LONG_EVENTS).starts_with(&got.body));
        assert!(platform.engines[1].started().is_empty());
        let line = instance.log_line("g-1", "ResumptionGivenUp").await;
        assert_eq!(line["fields"]["why"], "budget_used_up");
        let line = instance.log_line("g-1", "StreamCut").await;
        assert_eq!(line["fields"]["target"], "e-1");
    });
}

/// A caller comes back after its connection was lost, and its new engine is killed, before the first event or
/// later. If the position that the caller named is forgotten, it gets events twice.
#[test]
fn a_caller_that_comes_back_gets_the_events_that_it_lacks() {
    const AFTER: u32 = 40;
    smol::block_on(async {
        let whole = all_events(LONG_EVENTS);
        let rest = &whole[all_events(AFTER).len()..];
        let is_rest = |got: &ReceivedAnswer| got.is_complete && got.body == rest;
        for (name, delay) in [("soon", Duration::ZERO), ("later", STREAM_START_DELAY)] {
            let (platform, instance) = start(name).await;
            let got = read_answer(send(&instance, "g-1", AFTER).await).await;
            assert!(is_rest(&got), "{name}: {got:?}");
            let resp = send(&instance, "g-2", AFTER).await;
            Timer::after(delay).await;
            let running = platform.engines.iter().find(|e| e.active_count() == 1);
            running.expect("an engine runs it").crash();
            let got = read_answer(resp).await;
            assert!(is_rest(&got), "{name}: {got:?}");
        }
    });
}

/// A caller leaves after its stream was resumed. An engine that went on with it would have less room for
/// others.
#[test]
fn a_resumed_stream_is_stopped_when_its_caller_disconnects() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_stream("leaver").await;
        platform.engines[0].crash();
        eventually("it runs at the second engine", || async {
            platform.engines[1].active_count() == 1
        })
        .await;
        drop(resp);
        Timer::after(MAX_TIME_TO_STOP).await;
        assert_eq!(platform.engines[1].active_count(), 0);
    });
}

/// An engine fails a generation of a route that does not allow a second run. It must not run again.
#[test]
fn a_generation_of_another_route_runs_once() {
    smol::block_on(async {
        let (platform, instance) = start("once").await;
        platform.engines[0].set_faults(Faults {
            fails: true,
            ..Faults::default()
        });
        let got = Caller::new("key-1")
            .call(instance.addr, "POST", "/orders/1", "g-1")
            .await;
        assert_eq!(got.status, 500);
        assert!(platform.engines[1].started().is_empty());
    });
}
