//! Generations on the users' platform, with real processes before engines that leave and fail.

use std::time::{Duration, Instant};

use crate::support::{Caller, Instance, Platform, all_events, eventually, read_answer, status};
use hyper::{Response, body::Incoming};
use smol::Timer;

/// Events of a generation that takes about two seconds.
const LONG: u32 = 130;
/// Time after which some of them have come.
const SOME: Duration = Duration::from_millis(300);

/// A platform with one instance, through which a generation has begun at the first engine.
async fn under_way(name: &str, events: u32) -> (Platform, Instance, Response<Incoming>) {
    let platform = Platform::start().await;
    let instance = platform.instance(name).await;
    let caller = Caller::new("key-1");
    let resp = caller
        .send(instance.addr, "POST", "/drafts/1", "g-1", events)
        .await;
    Timer::after(SOME).await;
    (platform, instance, resp.expect("an answer"))
}

#[test]
fn a_generation_comes_whole_and_in_order() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("whole").await;
        let got = Caller::new("key-1")
            .generate(instance.addr, "g-1", 20)
            .await;
        assert_eq!((got.status, got.is_complete), (200, true));
        assert_eq!(got.body, all_events(20));
    });
}

/// An engine is reclaimed while it generates. Without a move its caller gets a part of the answer;
/// with one it gets every event once, and the second engine begins nothing anew.
#[test]
fn a_generation_is_carried_over_when_its_engine_leaves() {
    smol::block_on(async {
        let (platform, instance, resp) = under_way("carried", LONG).await;
        assert_eq!(platform.engines[0].active_count(), 1);
        platform.set_engine_leaving(0);
        eventually("it runs at the other engine", || async {
            platform.engines[1].active_count() == 1
        })
        .await;
        // The first one is gone for good.
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert!(got.is_complete);
        assert_eq!(got.body, all_events(LONG));
        assert!(platform.engines[1].started().is_empty());
        let line = instance.line("g-1", "GenerationCarried").await;
        assert_eq!(line["fields"]["to"], "e-2");
    });
}

/// An engine is reclaimed, and the one that its generation was copied to takes nothing any more. The
/// first one has stopped and keeps the memory: without going back there the caller would get half
/// an answer though the engine has a second left.
#[test]
fn a_generation_goes_back_where_it_was_if_its_destination_refuses_it() {
    smol::block_on(async {
        let (platform, _instance, resp) = under_way("back", LONG).await;
        platform.engines[1].set_full(true);
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
        assert!(platform.engines[1].started().is_empty());
    });
}

/// Guards against a generation that is stopped for a move to an engine which has crashed and is listed
/// still.
#[test]
fn a_generation_stays_where_it_is_if_its_destination_has_crashed() {
    smol::block_on(async {
        let (platform, _instance, resp) = under_way("crashed-destination", LONG).await;
        platform.engines[1].crash();
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
    });
}

/// The instance has lost the store, and nobody tells it that an engine leaves but the engine
/// itself.
#[test]
fn a_generation_is_carried_over_also_while_the_store_is_lost() {
    smol::block_on(async {
        let (platform, _instance, resp) = under_way("blind", 300).await;
        platform.store.set_down(true);
        Timer::after(Duration::from_millis(2_400)).await;
        platform.engines[0].set_leaving();
        eventually("it runs at the other engine", || async {
            platform.engines[1].active_count() == 1
        })
        .await;
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert!(got.is_complete);
        assert_eq!(got.body, all_events(300));
    });
}

/// The store begins to refuse in the moment in which an engine gets its notice, and the engine is
/// gone 1.8 s later. Whoever waits until its knowledge is old finds out when the stream breaks off.
#[test]
fn an_engine_that_leaves_as_the_store_goes_away_is_found_out_before_it_is_gone() {
    smol::block_on(async {
        let (platform, _instance, resp) = under_way("at-once", 300).await;
        platform.store.set_down(true);
        platform.engines[0].set_leaving();
        Timer::after(Duration::from_millis(1_800)).await;
        assert_eq!(platform.engines[1].active_count(), 1);
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert!(got.is_complete);
        assert_eq!(got.body, all_events(300));
    });
}

/// An engine crashes without notice. What the caller has is a part, and must not look whole.
#[test]
fn a_generation_whose_engine_crashed_does_not_look_whole() {
    smol::block_on(async {
        let (platform, instance, resp) = under_way("crashed", LONG).await;
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert!(!got.is_complete);
        assert!(all_events(LONG).starts_with(&got.body));
        let line = instance.line("g-1", "StreamCut").await;
        assert_eq!(line["fields"]["target"], "e-1");
    });
}

/// The connection to an engine is reset in the middle, and the engine goes on. Without asking it
/// for what it holds, the caller would get half an answer of which the other half is there.
#[test]
fn a_generation_whose_connection_was_reset_goes_on_from_its_memory() {
    smol::block_on(async {
        let (platform, instance, resp) = under_way("reset", LONG).await;
        platform.engines[0].abort_streams();
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
        let began: usize = platform.engines.iter().map(|e| e.started().len()).sum();
        assert_eq!(began, 1, "it was never begun anew");
        assert_eq!(
            platform.engines[0].active_count(),
            0,
            "it was stopped there"
        );
        let line = instance.line("g-1", "GenerationRescued").await;
        assert_eq!(line["fields"]["to"], "e-2");
    });
}

/// A connection falls silent without a reset while its engine goes on. The caller would wait until
/// it loses patience, though the engine has made the rest.
#[test]
fn a_generation_whose_connection_fell_silent_goes_on_from_its_memory() {
    smol::block_on(async {
        let (platform, _instance, resp) = under_way("silent", LONG).await;
        platform.engines[0].mute_streams();
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
        assert!(platform.engines[1].started().is_empty());
    });
}

/// An engine goes dark: it resets nothing, answers nothing, and its listing lapses. A caller that is
/// not told waits for seconds, though its answer will never be whole.
#[test]
fn a_generation_whose_engine_went_dark_ends_once_its_listing_is_gone() {
    smol::block_on(async {
        let (platform, instance, resp) = under_way("dark", LONG).await;
        platform.engines[0].stop_responding();
        platform.store.delete_row("servers", "e-1");
        let dark = Instant::now();
        let got = read_answer(resp).await;
        assert!(!got.is_complete);
        assert!(dark.elapsed() < Duration::from_secs(5), "it was held");
        let line = instance.line("g-1", "StreamCut").await;
        assert_eq!(line["fields"]["target"], "e-1");
    });
}

/// A long generation comes to an instance that stops in a few seconds. Begun there it would be cut
/// in the middle; told at once, its caller gets all of it from another instance.
#[test]
fn an_instance_that_stops_sends_long_generations_elsewhere() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("stopping").await;
        let caller = Caller::new("key-1");
        let before = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", LONG)
            .await;
        instance.terminate();
        eventually("it is no longer ready", || async {
            status(instance.ready, "/v1/readiness").await == Some(503)
        })
        .await;
        let long = caller.generate(instance.addr, "g-2", 3_000).await;
        assert_eq!(long.status, 503);
        assert_eq!(long.retry_after.as_deref(), Some("0.010"));
        let short = caller.generate(instance.addr, "g-3", 4).await;
        assert_eq!((short.status, short.body), (200, all_events(4)));
        let got = read_answer(before.expect("an answer")).await;
        assert!(got.is_complete);
    });
}

/// An engine refuses, saying that it did not run it. The generation goes to another, once.
#[test]
fn a_generation_that_an_engine_refused_runs_elsewhere() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("elsewhere").await;
        platform.engines[0].set_full(true);
        let got = Caller::new("key-1").generate(instance.addr, "g-1", 5).await;
        assert_eq!(got.body, all_events(5));
        assert!(platform.engines[0].started().is_empty());
        assert_eq!(platform.engines[1].started(), ["g-1"]);
    });
}

/// A caller goes away in the middle. An engine that works on for nobody lacks the place for
/// somebody else.
#[test]
fn a_generation_ends_when_its_caller_leaves() {
    smol::block_on(async {
        let (platform, _instance, resp) = under_way("gone", LONG).await;
        assert_eq!(platform.engines[0].active_count(), 1);
        drop(resp);
        eventually("the engine has stopped", || async {
            platform.engines[0].active_count() == 0
        })
        .await;
    });
}

/// An instance is told to stop while generations run. It takes no new callers from the balancer,
/// and cuts none that it has.
#[test]
fn a_planned_stop_cuts_no_generation() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instance = platform.instance("stop").await;
        let caller = Caller::new("key-1");
        let resp = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", LONG)
            .await;
        instance.terminate();
        eventually("it is no longer ready", || async {
            status(instance.ready, "/v1/readiness").await == Some(503)
        })
        .await;
        let late = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        assert_eq!(late.status, 200);
        let got = read_answer(resp.expect("an answer")).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG)));
        eventually("the process has ended", || {
            let stopped = instance.has_stopped();
            async move { stopped }
        })
        .await;
    });
}
