//! Each request that was read gets a complete answer, or one that is recognisably incomplete.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::support::{Caller, Instance, Platform, all_events, eventually, read_answer};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use net::Client;
use platform_standin::{
    caller::{BODY, request},
    engine::{Exit, Faults},
    peer::{Peer, PlacementMode, ReceivedMessage},
    plain::Fault,
};
use serde_json::json;
use smol::{
    Timer,
    channel::{Receiver, unbounded},
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Events of a generation that takes about two seconds.
const LONG_EVENTS: u32 = 130;
/// Time after which the first events have arrived.
const STREAM_START_DELAY: Duration = Duration::from_millis(300);
/// Retries of a request whose connection was closed unread, and the pause before each.
const MAX_RETRIES: usize = 10;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Size of a body in bytes; an instance's memory for bodies holds six of them, but not seven.
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Such bodies that fit into the memory of an instance: three quarters of a fifth of 88 MB.
const LARGE_BODIES: usize = 3;
/// Time within which a caller must be answered if the owner doesn't answer; the route's deadline is
/// eight seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a platform whose first engine has these faults, with one instance, and a generation
/// through it at that engine.
async fn start_generation(name: &str, faults: Faults) -> (Platform, Instance, Response<Incoming>) {
    let platform = Platform::start().await;
    platform.engines[0].set_faults(faults);
    let instance = platform.instance(name).await;
    let caller = Caller::new("key-1");
    let resp = caller
        .send(instance.addr, "POST", "/drafts/1", "g-1", LONG_EVENTS)
        .await;
    Timer::after(STREAM_START_DELAY).await;
    assert_eq!(platform.engines[0].active_count(), 1);
    (platform, instance, resp.expect("an answer"))
}

/// Guards against forwarding a truncated event as the end of a complete stream.
#[test]
fn a_close_delimited_stream_that_ends_within_an_event_does_not_look_complete() {
    smol::block_on(async {
        let faults = Faults {
            close_delimited: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = start_generation("within", faults).await;
        platform.engines[0].exit(Exit::WithinEvent);
        let got = read_answer(resp).await;
        assert!(!got.is_complete, "{}", got.body);
        assert!(
            all_events(LONG_EVENTS).starts_with(&got.body),
            "{}",
            got.body
        );
    });
}

/// Guards against mistaking the end of an engine for the end of its streams.
#[test]
fn a_close_delimited_stream_does_not_look_complete_when_its_engine_has_ended() {
    smol::block_on(async {
        let faults = Faults {
            close_delimited: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = start_generation("ended", faults).await;
        platform.engines[0].exit(Exit::BetweenEvents);
        let got = read_answer(resp).await;
        assert!(!got.is_complete, "{}", got.body);
        assert!(
            all_events(LONG_EVENTS).starts_with(&got.body),
            "{}",
            got.body
        );
    });
}

/// Guards against truncating a complete close-delimited stream because its engine leaves.
#[test]
fn a_close_delimited_stream_that_ends_at_a_leaving_engine_is_complete() {
    smol::block_on(async {
        let faults = Faults {
            close_delimited: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = start_generation("stayed", faults).await;
        platform.engines[1].crash();
        platform.store.delete_row("servers", "e-2");
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
    });
}

/// Guards against treating a stream as complete that its engine closed for a migration which it
/// never answered.
#[test]
fn a_close_delimited_stream_continues_when_the_answer_to_its_migration_is_lost() {
    smol::block_on(async {
        let faults = Faults {
            close_delimited: true,
            hangs_on_final_copy: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = start_generation("unanswered", faults).await;
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
    });
}

/// Guards against giving up a stream that was reset, because no other engine has room for it.
#[test]
fn a_reset_stream_continues_at_its_engine_when_no_other_has_room() {
    smol::block_on(async {
        let platform = Platform::start().await;
        platform.engines[1].set_faults(Faults {
            refuses_copies: true,
            ..Faults::default()
        });
        Peer::start(&platform.store, PlacementMode::Assign(vec!["e-1".into()])).await;
        let instance = platform.instance("no-room").await;
        let caller = Caller::new("key-1");
        let resp = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", LONG_EVENTS)
            .await;
        Timer::after(STREAM_START_DELAY).await;
        platform.engines[0].abort_streams();
        let got = read_answer(resp.expect("an answer")).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
        assert_eq!(platform.engines[0].started(), ["g-1"]);
        assert!(platform.engines[1].started().is_empty());
    });
}

/// Guards against losing a stream that its engine closed for a migration which it never answered.
#[test]
fn a_stream_continues_when_the_answer_to_its_migration_is_lost() {
    smol::block_on(async {
        let faults = Faults {
            hangs_on_final_copy: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = start_generation("lost-answer", faults).await;
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
    });
}

/// Guards against treating the end of a stream as a failure if it is caused by a migration but seen
/// before the request for it.
#[test]
fn a_stream_continues_when_it_is_migrated_during_a_report_of_its_engine() {
    smol::block_on(async {
        let faults = Faults {
            report_delay: Duration::from_millis(200),
            ..Faults::default()
        };
        let (platform, _instance, resp) = start_generation("asked", faults).await;
        // The engine is asked for its report after 900 ms without an event, and takes 200 ms to
        // answer.
        platform.engines[0].mute_streams();
        Timer::after(Duration::from_millis(940)).await;
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
    });
}

/// Guards against giving up a stream that is reset while its engine copies it.
#[test]
fn a_stream_that_is_reset_during_its_migration_continues_at_the_destination() {
    smol::block_on(async {
        let faults = Faults {
            aborts_stream_on_copy: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = start_generation("reset-copy", faults).await;
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
        let started: usize = platform.engines.iter().map(|e| e.started().len()).sum();
        assert_eq!(started, 1, "it was started only once");
    });
}

/// Guards against an incomplete migration when the owner that requested it stops before it gets the
/// outcome.
#[test]
fn a_migration_is_completed_after_the_owner_that_requested_it_is_gone() {
    smol::block_on(async {
        let platform = Platform::start().await;
        platform.engines[0].set_faults(Faults {
            copy_delay: Duration::from_millis(200),
            ..Faults::default()
        });
        Peer::start(&platform.store, PlacementMode::Assign(vec!["e-1".into()])).await;
        let instance = platform.instance("ownerless").await;
        let caller = Caller::new("key-1");
        let resp = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", LONG_EVENTS)
            .await;
        Timer::after(STREAM_START_DELAY).await;
        let timeout = Duration::from_millis(100);
        Peer::send_migration(instance.peers, "g-1", ["e-1", "e-2"], timeout).await;
        Timer::after(Duration::from_millis(500)).await;
        platform.engines[0].crash();
        let got = read_answer(resp.expect("an answer")).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
    });
}

/// Guards against waiting for the response head of an engine that is gone.
#[test]
fn a_generation_whose_engine_never_answers_fails_once_the_listing_is_gone() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("headless").await;
        platform.engines[0].stop_responding();
        let sent = Instant::now();
        let caller = Caller::new("key-1");
        let generation = caller.generate(instance.addr, "g-1", LONG_EVENTS);
        let delist = async {
            Timer::after(STREAM_START_DELAY).await;
            platform.store.delete_row("servers", "e-1");
        };
        let (got, ()) = smol::future::zip(generation, delist).await;
        assert_eq!(got.status, 502);
        assert!(
            sent.elapsed() < Duration::from_secs(5),
            "the request was held"
        );
    });
}

/// Starts an instance whose engines are owned by a peer that answers placement requests in this mode;
/// returns it with the status that a caller gets and the time that it took.
async fn generate_with_owner(
    platform: &Platform,
    name: &str,
    mode: PlacementMode,
) -> (Instance, u16, Duration) {
    Peer::start(&platform.store, mode).await;
    let instance = platform.instance(name).await;
    let sent = Instant::now();
    let got = Caller::new("key-1").generate(instance.addr, "g-1", 4).await;
    (instance, got.status, sent.elapsed())
}

/// Guards against waiting for an owner that never answers.
#[test]
fn a_generation_is_served_in_time_when_its_owner_does_not_answer() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (_instance, status, took) =
            generate_with_owner(&platform, "no-owner", PlacementMode::NoAnswer).await;
        assert_eq!(status, 200);
        assert!(took < ANSWER_TIMEOUT, "{took:?}");
    });
}

/// Guards against waiting for the rest of an owner's answer that never arrives.
#[test]
fn a_generation_is_served_in_time_when_its_owner_sends_only_the_head() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (_instance, status, took) =
            generate_with_owner(&platform, "half-owner", PlacementMode::HeadOnly).await;
        assert_eq!(status, 200);
        assert!(took < ANSWER_TIMEOUT, "{took:?}");
    });
}

/// Guards against being assigned the same unlisted engine repeatedly until the deadline.
#[test]
fn a_generation_runs_elsewhere_when_its_owner_assigns_an_unlisted_engine() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mode = PlacementMode::Assign(vec!["e-9".into(), "e-1".into()]);
        let (_instance, status, took) = generate_with_owner(&platform, "unlisted", mode).await;
        assert_eq!(status, 200);
        assert!(took < ANSWER_TIMEOUT, "{took:?}");
        assert_eq!(platform.engines[0].started(), ["g-1"]);
    });
}

/// Guards against sending new work to a leaving engine when only the owner doesn't know that it
/// leaves.
#[test]
fn a_generation_runs_elsewhere_when_its_owner_assigns_a_leaving_engine() {
    smol::block_on(async {
        let platform = Platform::start().await;
        platform.set_engine_leaving(0);
        let mode = PlacementMode::Assign(vec!["e-1".into(), "e-2".into()]);
        let (_instance, status, took) = generate_with_owner(&platform, "leaving", mode).await;
        assert_eq!(status, 200);
        assert!(took < ANSWER_TIMEOUT, "{took:?}");
        assert!(platform.engines[0].started().is_empty());
        assert_eq!(platform.engines[1].started(), ["g-1"]);
    });
}

/// Guards against an owner that drops running generations because its entry instance waits for
/// unresponsive instances.
#[test]
fn an_owner_receives_state_syncs_while_many_instances_are_unresponsive() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let owner = Peer::start(&platform.store, PlacementMode::Assign(vec!["e-1".into()])).await;
        for number in 0..24 {
            Peer::start_unresponsive(&platform.store, &format!("dark-{number}")).await;
        }
        let _instance = platform.instance("synced").await;
        let syncs = || {
            owner
                .received()
                .iter()
                .filter(|h| **h == ReceivedMessage::Sync)
                .count()
        };
        for _ in 0..4 {
            let before = syncs();
            // An owner drops generations that were not reported to it for three seconds.
            Timer::after(Duration::from_millis(2_500)).await;
            assert!(syncs() > before, "no sync in 2.5 s");
        }
    });
}

/// Guards against an owner that drops a second attempt because the end of the first one arrives
/// after it.
#[test]
fn an_owner_is_notified_of_a_failed_attempt_before_the_next_placement_request() {
    smol::block_on(async {
        let platform = Platform::start().await;
        platform.engines[0].set_full(true);
        let mode = PlacementMode::Assign(vec!["e-1".into(), "e-2".into()]);
        let owner = Peer::start(&platform.store, mode).await;
        let instance = platform.instance("ordered").await;
        let caller = Caller::new("key-1");
        for number in 0..5 {
            let before = owner.received().len();
            let got = caller
                .generate(instance.addr, &format!("g-{number}"), 4)
                .await;
            assert_eq!((got.status, got.body), (200, all_events(4)));
            let received = owner.received()[before..].to_vec();
            assert!(
                received.starts_with(&[
                    ReceivedMessage::Place,
                    ReceivedMessage::Ended,
                    ReceivedMessage::Place
                ]),
                "{received:?}"
            );
            Timer::after(STREAM_START_DELAY).await;
        }
    });
}

/// Guards against holding more bodies of requests in flight than the memory for bodies allows.
#[test]
fn a_body_beyond_the_memory_limit_for_bodies_is_refused() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("crowded").await;
        for process in &platform.plain {
            process.set_fault(Fault::NoAnswer);
        }
        let body = Bytes::from(vec![b'x'; LARGE_BODY_BYTES]);
        let send = |number: usize| {
            let id = format!("r-{number}");
            let (head, _) = request("POST", "/grants/9", &id, 0, "key-1").into_parts();
            let req = Request::from_parts(head, Full::new(body.clone()));
            let addr = instance.addr;
            async move {
                let mut answer = Client::new().send_fresh(addr, req.clone()).await;
                // An instance that is short of processor time closes connections unread.
                for _ in 0..MAX_RETRIES {
                    if answer.is_ok() {
                        break;
                    }
                    Timer::after(RETRY_PAUSE).await;
                    answer = Client::new().send_fresh(addr, req.clone()).await;
                }
                answer
            }
        };
        let run_count = || platform.plain.iter().map(|p| p.run_count()).sum::<usize>();
        let in_flight: Vec<_> = (0..LARGE_BODIES)
            .map(|number| smol::spawn(send(number)))
            .collect();
        eventually("as many as fit are being served", || async {
            run_count() == LARGE_BODIES
        })
        .await;
        let got = read_answer(send(LARGE_BODIES).await.expect("an answer")).await;
        assert_eq!(got.status, 503);
        let addr = instance.addr;
        let small = smol::spawn(async move {
            Caller::new("key-1")
                .call(addr, "POST", "/grants/9", "small")
                .await
        });
        eventually("a small one is being served beside them", || async {
            run_count() == LARGE_BODIES + 1
        })
        .await;
        drop((in_flight, small));
    });
}

/// Starts a server that answers the first request of each connection and closes the connection once
/// it has read the second. Returns its address and the requests that it reads.
async fn start_closing_server(id: &'static str) -> (SocketAddr, Receiver<String>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (tx, rx) = unbounded();
    let serve = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for is_first in [true, false] {
                let Some(request) = read_request(&mut stream).await else {
                    break;
                };
                assert!(request.contains(id), "{request}");
                let echo = request.lines().find(|line| line.starts_with("request-id:"));
                let echo = echo.expect("a request with an id").to_owned();
                let _ = tx.try_send(request);
                if is_first {
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\n{echo}\r\nresponse-seal: a-seal\r\n\
                         content-length: 2\r\n\r\nok"
                    );
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            }
        }
    };
    smol::spawn(serve).detach();
    (addr, rx)
}

/// Reads a request with the body that callers send; `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    let mut chunk = [0; 1024];
    while !buf.ends_with(BODY.as_bytes()) {
        let count = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&chunk[..count]);
    }
    Some(String::from_utf8_lossy(&buf).into_owned())
}

/// Guards against retrying a call, or reporting it as not run, when its pooled connection is closed
/// after the call was sent.
#[test]
fn a_call_whose_pooled_connection_is_closed_is_retried_only_if_idempotent() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (addr, seen) = start_closing_server("p-1").await;
        platform.plain[0].set_public_addr(addr);
        let listing = platform.plain[0].listing("titles", "dc-0", "ready");
        platform.store.put("servers", "p-1", listing);
        let instance = platform.instance("kept").await;
        let caller = Caller::new("key-1");
        let call = async |path: &str, id: &str| {
            let got = caller.call(instance.addr, "POST", path, id).await;
            (got.status, seen.len(), platform.plain[1].run_count())
        };
        assert_eq!(call("/grants/9", "r-1").await, (200, 1, 0));
        assert_eq!(call("/grants/9", "r-2").await, (502, 2, 0));
        assert_eq!(call("/grants/9", "r-3").await, (200, 3, 0));
        assert_eq!(call("/titles/9", "r-4").await, (200, 4, 1));
    });
}

/// Guards against aborting requests in flight when their route and service are removed.
#[test]
fn requests_in_flight_are_completed_when_their_route_is_removed() {
    smol::block_on(async {
        let (platform, instance, resp) = start_generation("routeless", Faults::default()).await;
        let rules = json!({"version": 1_000, "routes": [], "services": [], "tenants": []});
        platform.store.put("op", "config", rules.to_string());
        let caller = Caller::new("key-1");
        eventually("the route is removed", || async {
            let got = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
            got.status == 404
        })
        .await;
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
    });
}

/// Guards against forwarding a stream as complete that ended inside an event, also inside its first one, when
/// its engine goes on serving.
#[test]
fn a_close_delimited_stream_is_complete_only_at_the_end_of_an_event() {
    const EVENTS: u32 = 3;
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("delimited").await;
        let whole = all_events(EVENTS);
        let ends: Vec<usize> = whole.match_indices("\n\n").map(|(at, _)| at + 2).collect();
        for size in 1..=whole.len() {
            for engine in &platform.engines {
                engine.set_faults(Faults {
                    close_delimited: true,
                    stream_bytes: Some(size),
                    ..Faults::default()
                });
            }
            let id = format!("g-{size}");
            let got = Caller::new("key-1")
                .generate(instance.addr, &id, EVENTS)
                .await;
            // A stream that is broken off may be continued at the other engine, to its end.
            let may_be_complete = ends.contains(&size) || got.body == whole;
            assert_eq!(got.is_complete, may_be_complete, "{size}: {got:?}");
            assert!(whole.starts_with(&got.body), "{size}: {got:?}");
        }
    });
}
