//! Each request that was read ends with a whole answer, or in a way that does not look like one.

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
const LONG: u32 = 130;
/// Time after which some of them have come.
const SOME: Duration = Duration::from_millis(300);
/// Bytes of a body of which six and a part fit into the memory of an instance that is for bodies.
const LARGE_BODY: usize = 4 * 1024 * 1024;
/// Time in which a caller is answered though an owner does not answer; the route allows eight
/// seconds.
const IN_TIME: Duration = Duration::from_secs(2);

/// A platform whose first engine has these faults, with one instance through which a generation has
/// begun there.
async fn under_way(name: &str, faults: Faults) -> (Platform, Instance, Response<Incoming>) {
    let platform = Platform::start().await;
    platform.engines[0].set_faults(faults);
    let instance = platform.instance(name).await;
    let caller = Caller::new("key-1");
    let resp = caller
        .send(instance.addr, "POST", "/drafts/1", "g-1", LONG)
        .await;
    Timer::after(SOME).await;
    assert_eq!(platform.engines[0].active_count(), 1);
    (platform, instance, resp.expect("an answer"))
}

/// Guards against passing on a part of an event as the end of a whole stream.
#[test]
fn a_stream_without_length_that_ends_within_an_event_does_not_look_whole() {
    smol::block_on(async {
        let faults = Faults {
            close_delimited: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = under_way("within", faults).await;
        platform.engines[0].exit(Exit::WithinEvent);
        let got = read_answer(resp).await;
        assert!(!got.is_complete, "{}", got.body);
        assert!(all_events(LONG).starts_with(&got.body), "{}", got.body);
    });
}

/// Guards against taking the end of an engine for the end of its streams.
#[test]
fn a_stream_without_length_does_not_look_whole_when_its_engine_has_ended() {
    smol::block_on(async {
        let faults = Faults {
            close_delimited: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = under_way("ended", faults).await;
        platform.engines[0].exit(Exit::BetweenEvents);
        let got = read_answer(resp).await;
        assert!(!got.is_complete, "{}", got.body);
        assert!(all_events(LONG).starts_with(&got.body), "{}", got.body);
    });
}

/// Guards against cutting a whole stream without a length because its engine leaves.
#[test]
fn a_stream_without_length_that_ends_at_a_leaving_engine_is_whole() {
    smol::block_on(async {
        let faults = Faults {
            close_delimited: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = under_way("stayed", faults).await;
        platform.engines[1].crash();
        platform.store.delete_row("servers", "e-2");
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
    });
}

/// Guards against taking a stream for whole that its engine closed for a move it never answered.
#[test]
fn a_stream_without_length_goes_on_when_the_answer_to_its_move_is_lost() {
    smol::block_on(async {
        let faults = Faults {
            close_delimited: true,
            hangs_on_final_copy: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = under_way("unanswered", faults).await;
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
    });
}

/// Guards against giving a stream up that was reset because no other engine has room for it.
#[test]
fn a_stream_that_is_reset_goes_on_where_it_was_when_no_other_engine_has_room() {
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
            .send(instance.addr, "POST", "/drafts/1", "g-1", LONG)
            .await;
        Timer::after(SOME).await;
        platform.engines[0].abort_streams();
        let got = read_answer(resp.expect("an answer")).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
        assert_eq!(platform.engines[0].started(), ["g-1"]);
        assert!(platform.engines[1].started().is_empty());
    });
}

/// Guards against losing a stream that its engine cut for a move it never answered.
#[test]
fn a_stream_goes_on_when_the_answer_to_its_move_is_lost() {
    smol::block_on(async {
        let faults = Faults {
            hangs_on_final_copy: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = under_way("lost-answer", faults).await;
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
    });
}

/// Guards against taking the end that a move causes for a failure when it is seen before the order.
#[test]
fn a_stream_goes_on_when_it_is_moved_while_its_engine_is_being_asked() {
    smol::block_on(async {
        let faults = Faults {
            report_delay: Duration::from_millis(200),
            ..Faults::default()
        };
        let (platform, _instance, resp) = under_way("asked", faults).await;
        // Asked after 900 ms of silence, and for 200 ms.
        platform.engines[0].mute_streams();
        Timer::after(Duration::from_millis(940)).await;
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
    });
}

/// Guards against giving a stream up that is reset while its engine copies it.
#[test]
fn a_stream_that_is_reset_during_its_move_goes_on_where_it_was_moved() {
    smol::block_on(async {
        let faults = Faults {
            aborts_stream_on_copy: true,
            ..Faults::default()
        };
        let (platform, _instance, resp) = under_way("reset-copy", faults).await;
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
        let began: usize = platform.engines.iter().map(|e| e.started().len()).sum();
        assert_eq!(began, 1, "it was never begun anew");
    });
}

/// Guards against leaving a move half done when the owner that ordered it stops before it is told.
#[test]
fn a_move_is_completed_though_the_owner_that_ordered_it_has_gone() {
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
            .send(instance.addr, "POST", "/drafts/1", "g-1", LONG)
            .await;
        Timer::after(SOME).await;
        let patience = Duration::from_millis(100);
        Peer::send_migration(instance.peers, "g-1", ["e-1", "e-2"], patience).await;
        Timer::after(Duration::from_millis(500)).await;
        platform.engines[0].crash();
        let got = read_answer(resp.expect("an answer")).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
    });
}

/// Guards against waiting for the head of an answer from an engine that is gone.
#[test]
fn a_generation_whose_engine_never_answers_is_told_so_once_the_listing_is_gone() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("headless").await;
        platform.engines[0].stop_responding();
        let sent = Instant::now();
        let caller = Caller::new("key-1");
        let asked = caller.generate(instance.addr, "g-1", LONG);
        let gone = async {
            Timer::after(SOME).await;
            platform.store.delete_row("servers", "e-1");
        };
        let (got, ()) = smol::future::zip(asked, gone).await;
        assert_eq!(got.status, 502);
        assert!(sent.elapsed() < Duration::from_secs(5), "it was held");
    });
}

/// An instance whose engines belong to another one that treats asks like this, and what a caller of
/// it gets.
async fn with_owner(
    platform: &Platform,
    name: &str,
    asks: PlacementMode,
) -> (Instance, u16, Duration) {
    Peer::start(&platform.store, asks).await;
    let instance = platform.instance(name).await;
    let sent = Instant::now();
    let got = Caller::new("key-1").generate(instance.addr, "g-1", 4).await;
    (instance, got.status, sent.elapsed())
}

/// Guards against waiting for an owner that never answers.
#[test]
fn a_generation_is_served_in_time_though_its_owner_does_not_answer() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (_instance, status, took) =
            with_owner(&platform, "no-owner", PlacementMode::NoAnswer).await;
        assert_eq!(status, 200);
        assert!(took < IN_TIME, "{took:?}");
    });
}

/// Guards against waiting for the rest of an owner's answer that never comes.
#[test]
fn a_generation_is_served_in_time_though_its_owner_stops_within_its_answer() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (_instance, status, took) =
            with_owner(&platform, "half-owner", PlacementMode::HeadOnly).await;
        assert_eq!(status, 200);
        assert!(took < IN_TIME, "{took:?}");
    });
}

/// Guards against being granted the same unlisted engine again and again until the deadline.
#[test]
fn a_generation_runs_elsewhere_when_its_owner_grants_an_engine_that_is_not_listed() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let asks = PlacementMode::Assign(vec!["e-9".into(), "e-1".into()]);
        let (_instance, status, took) = with_owner(&platform, "unlisted", asks).await;
        assert_eq!(status, 200);
        assert!(took < IN_TIME, "{took:?}");
        assert_eq!(platform.engines[0].started(), ["g-1"]);
    });
}

/// Guards against sending new work to an engine whose leaving only the owner has not heard of.
#[test]
fn a_generation_runs_elsewhere_when_its_owner_grants_an_engine_that_leaves() {
    smol::block_on(async {
        let platform = Platform::start().await;
        platform.set_engine_leaving(0);
        let asks = PlacementMode::Assign(vec!["e-1".into(), "e-2".into()]);
        let (_instance, status, took) = with_owner(&platform, "leaving", asks).await;
        assert_eq!(status, 200);
        assert!(took < IN_TIME, "{took:?}");
        assert!(platform.engines[0].started().is_empty());
        assert_eq!(platform.engines[1].started(), ["g-1"]);
    });
}

/// Guards against an owner that forgets what runs as its entry waits for instances that are dark.
#[test]
fn an_owner_hears_what_runs_though_many_instances_are_dark() {
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
            // An owner forgets what it has not heard of for three seconds.
            Timer::after(Duration::from_millis(2_500)).await;
            assert!(syncs() > before, "no sync in 2.5 s");
        }
    });
}

/// Guards against an owner that forgets a second try as it hears of the first one's end later.
#[test]
fn an_owner_hears_that_a_try_has_ended_before_it_is_asked_for_the_next() {
    smol::block_on(async {
        let platform = Platform::start().await;
        platform.engines[0].set_full(true);
        let asks = PlacementMode::Assign(vec!["e-1".into(), "e-2".into()]);
        let owner = Peer::start(&platform.store, asks).await;
        let instance = platform.instance("ordered").await;
        let caller = Caller::new("key-1");
        for number in 0..5 {
            let before = owner.received().len();
            let got = caller
                .generate(instance.addr, &format!("g-{number}"), 4)
                .await;
            assert_eq!((got.status, got.body), (200, all_events(4)));
            let heard = owner.received()[before..].to_vec();
            assert!(
                heard.starts_with(&[
                    ReceivedMessage::Place,
                    ReceivedMessage::Ended,
                    ReceivedMessage::Place
                ]),
                "{heard:?}"
            );
            Timer::after(SOME).await;
        }
    });
}

/// Guards against holding more bodies of requests under way than there is memory for.
#[test]
fn a_body_that_finds_no_memory_beside_those_being_served_is_refused() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("crowded").await;
        for process in &platform.plain {
            process.set_fault(Fault::NoAnswer);
        }
        let body = Bytes::from(vec![b'x'; LARGE_BODY]);
        let send = |number: usize| {
            let id = format!("r-{number}");
            let (head, _) = request("POST", "/grants/9", &id, 0, "key-1").into_parts();
            let req = Request::from_parts(head, Full::new(body.clone()));
            let addr = instance.addr;
            async move { Client::new().send_fresh(addr, req).await }
        };
        let held: Vec<_> = (0..6).map(|number| smol::spawn(send(number))).collect();
        eventually("six are being served", || async {
            platform.plain.iter().map(|p| p.run_count()).sum::<usize>() == 6
        })
        .await;
        let got = read_answer(send(6).await.expect("an answer")).await;
        assert_eq!(got.status, 503);
        drop(held);
    });
}

/// A process that answers the first request of each connection, and closes it when it has read the
/// second. Tells what it reads.
async fn closes_on_the_second(id: &'static str) -> (SocketAddr, Receiver<String>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (tx, rx) = unbounded();
    let serve = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for answers in [true, false] {
                let Some(request) = read_request(&mut stream).await else {
                    break;
                };
                assert!(request.contains(id), "{request}");
                let _ = tx.try_send(request);
                if answers {
                    let answer = "HTTP/1.1 200 OK\r\nresponse-seal: a-seal\r\n\
                                  content-length: 2\r\n\r\nok";
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            }
        }
    };
    smol::spawn(serve).detach();
    (addr, rx)
}

/// Reads a request with the body that callers send; none if there is no other one.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    let mut part = [0; 1024];
    while !buf.ends_with(BODY.as_bytes()) {
        let count = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&part[..count]);
    }
    Some(String::from_utf8_lossy(&buf).into_owned())
}

/// Guards against repeating, or calling not run, a call whose kept connection is closed under it.
#[test]
fn a_call_whose_kept_connection_is_closed_is_repeated_only_where_that_is_allowed() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (addr, seen) = closes_on_the_second("p-1").await;
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

/// Guards against ending what is under way when its route and service are taken out.
#[test]
fn requests_under_way_end_whole_when_their_route_is_gone() {
    smol::block_on(async {
        let (platform, instance, resp) = under_way("routeless", Faults::default()).await;
        let rules = json!({"version": 1_000, "routes": [], "services": [], "tenants": []});
        platform.store.put("op", "config", rules.to_string());
        let caller = Caller::new("key-1");
        eventually("the route is gone", || async {
            let got = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
            got.status == 404
        })
        .await;
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
    });
}
