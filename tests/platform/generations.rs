//! Generations on the users' platform, with real processes and engines that leave or fail.

use std::time::{Duration, Instant};

use crate::support::{Caller, Instance, Platform, all_events, eventually, read_answer, status};
use hyper::{Response, body::Incoming};
use platform_standin::engine::Engine;
use smol::Timer;

/// Events of a generation that takes about two seconds.
const LONG_EVENTS: u32 = 130;
/// Events of a generation that runs for longer than a leaving engine is evacuated.
const VERY_LONG_EVENTS: u32 = 260;
/// Half of the shortest notice that engines get: their reports may be half a second old besides.
const MAX_TIME_TO_EMPTY: Duration = Duration::from_millis(750);
/// The shortest notice that engines get before they end.
const MIN_NOTICE: Duration = Duration::from_millis(1_500);
/// Delay of slow reports of an engine.
const REPORT_DELAY: Duration = Duration::from_millis(400);
/// Time after which the first events have arrived.
const STREAM_START_DELAY: Duration = Duration::from_millis(300);

/// Starts a platform with one instance, and a generation through it at the first engine.
async fn start_generation(name: &str, events: u32) -> (Platform, Instance, Response<Incoming>) {
    let platform = Platform::start().await;
    let instance = platform.instance(name).await;
    let caller = Caller::new("key-1");
    let resp = caller
        .send(instance.addr, "POST", "/drafts/1", "g-1", events)
        .await;
    Timer::after(STREAM_START_DELAY).await;
    (platform, instance, resp.expect("an answer"))
}

#[test]
fn a_generation_is_complete_and_in_order() {
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

/// An engine is reclaimed while it generates. Without a migration the caller gets a truncated
/// answer; with one it gets every event once, and the second engine starts no new generation.
#[test]
fn a_generation_is_migrated_when_its_engine_leaves() {
    smol::block_on(async {
        let (platform, instance, resp) = start_generation("carried", LONG_EVENTS).await;
        assert_eq!(platform.engines[0].active_count(), 1);
        platform.set_engine_leaving(0);
        eventually("it runs at the other engine", || async {
            platform.engines[1].active_count() == 1
        })
        .await;
        // The first engine must no longer be needed.
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert!(got.is_complete);
        assert_eq!(got.body, all_events(LONG_EVENTS));
        assert!(platform.engines[1].started().is_empty());
        let line = instance.log_line("g-1", "GenerationCarried").await;
        assert_eq!(line["fields"]["to"], "e-2");
    });
}

/// An engine is reclaimed, and the engine to which its generation was copied refuses it. The source
/// has stopped the generation but keeps its memory for another second: without continuing there the
/// answer would be truncated.
#[test]
fn a_generation_continues_at_its_source_if_the_destination_refuses_it() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_generation("back", LONG_EVENTS).await;
        platform.engines[1].set_full(true);
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
        assert!(platform.engines[1].started().is_empty());
    });
}

/// Guards against stopping a generation again and again for a destination that has refused it: in the
/// end the leaving engine may no longer be asked to go on, and the answer is truncated.
#[test]
fn a_generation_is_stopped_once_for_a_destination_that_refuses_it() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_generation("once", VERY_LONG_EVENTS).await;
        platform.engines[1].set_full(true);
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        let expected = (true, all_events(VERY_LONG_EVENTS));
        assert_eq!((got.is_complete, got.body), expected);
        assert_eq!(platform.engines[1].arrivals().list().len(), 1);
    });
}

/// An engine is reclaimed, and the other one has been given other weights since it was listed. Guards
/// against a generation that goes on from the memory of another model.
#[test]
fn a_generation_does_not_go_on_with_other_weights() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_generation("weights", LONG_EVENTS).await;
        platform.engines[1].load_weights(2);
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
        let arrivals = platform.engines[1].arrivals().list();
        assert!(arrivals.iter().all(|arrival| !arrival.ran));
    });
}

/// Guards against stopping a generation for a migration to an engine that has crashed but is still
/// listed.
#[test]
fn a_generation_stays_at_its_source_if_the_destination_has_crashed() {
    smol::block_on(async {
        let (platform, _instance, resp) =
            start_generation("crashed-destination", LONG_EVENTS).await;
        platform.engines[1].crash();
        platform.set_engine_leaving(0);
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
    });
}

/// During a store outage only the engine itself reports that it leaves.
#[test]
fn a_generation_is_migrated_during_a_store_outage() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_generation("blind", 300).await;
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

/// The store begins to refuse calls at the moment at which an engine starts to leave, and the
/// engine ends 1.8 s later. An instance that asks engines only once its data is stale would notice
/// when the stream breaks off.
#[test]
fn an_engine_that_leaves_as_a_store_outage_begins_is_detected_in_time() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_generation("at-once", 300).await;
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

/// As above, but the instance that relays the generations may not be the one that accounts for them.
/// Guards against an owner that, without the store, looks often only at the engines that it uses
/// itself: engines that are reclaimed during an outage would be gone before the others' generations are
/// migrated.
#[test]
fn engines_that_other_instances_use_are_watched_during_a_store_outage() {
    smol::block_on(async {
        // One of the two is not the owner.
        let (first, second) = (let_engines_leave_unseen(0), let_engines_leave_unseen(1));
        smol::future::zip(first, second).await;
    });
}

/// Lets three engines leave during a store outage, with all generations relayed by one of two instances.
async fn let_engines_leave_unseen(relaying: usize) {
    let platform = Platform::start().await;
    let mut instances = Vec::new();
    for number in 0..2 {
        let name = format!("watch-{relaying}-{number}");
        instances.push(platform.instance(&name).await);
    }
    let third = platform.add_engine("e-3").await;
    Timer::after(STREAM_START_DELAY).await;
    let mut answers = Vec::new();
    for number in 0..6 {
        let (caller, id) = (Caller::new("key-1"), format!("g-{number}"));
        let addr = instances[relaying].addr;
        let resp = caller.send(addr, "POST", "/drafts/1", &id, 300).await;
        answers.push(resp.expect("an answer"));
    }
    platform.add_engine("e-4").await;
    Timer::after(STREAM_START_DELAY).await;
    platform.store.set_down(true);
    Timer::after(Duration::from_millis(600)).await;
    // Three notices in the period of a look at all engines: one of them has long to wait for it.
    let leaving = [&platform.engines[0], &platform.engines[1], &third];
    let times = leaving.into_iter().zip(0..).map(|(engine, number)| {
        let time = time_to_empty(engine.clone(), Duration::from_millis(400) * number);
        smol::spawn(time)
    });
    for time in times.collect::<Vec<_>>() {
        let time = time.await;
        assert!(time < MAX_TIME_TO_EMPTY, "{time:?}");
    }
    for resp in answers {
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(300)));
    }
}

/// Guards against engines that are reclaimed just after a store outage and whose own calls to the store
/// still fail: the store does not show that they leave.
#[test]
fn an_engine_that_leaves_unannounced_after_a_store_outage_is_detected_in_time() {
    smol::block_on(async {
        let (platform, instance, resp) = start_generation("after-outage", 300).await;
        platform.store.set_down(true);
        Timer::after(Duration::from_millis(1_500)).await;
        platform.store.set_down(false);
        instance.first_logged_at("StoreRegained").await;
        Timer::after(Duration::from_millis(700)).await;
        let time = time_to_empty(platform.engines[0].clone(), Duration::ZERO).await;
        assert!(time < MAX_TIME_TO_EMPTY, "{time:?}");
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(300)));
    });
}

/// Guards against an engine that is reclaimed during a store outage, says so, and is not heard because its
/// reports take long.
#[test]
fn an_engine_whose_reports_are_slow_is_watched_during_a_store_outage() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_generation("slow-reports", 300).await;
        platform.engines[0].change_faults(|faults| faults.report_delay = REPORT_DELAY);
        platform.store.set_down(true);
        Timer::after(Duration::from_millis(2_400)).await;
        let time = time_to_empty(platform.engines[0].clone(), Duration::ZERO).await;
        assert!(time < MIN_NOTICE, "{time:?}");
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(300)));
    });
}

/// Lets an engine leave after a delay. Returns the time until it generates nothing any more, at most
/// two seconds.
async fn time_to_empty(engine: Engine, delay: Duration) -> Duration {
    Timer::after(delay).await;
    assert!(engine.active_count() > 0);
    engine.set_leaving();
    let start = Instant::now();
    while engine.active_count() > 0 && start.elapsed() < Duration::from_secs(2) {
        Timer::after(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// An engine crashes without notice. The truncated answer must not look complete.
#[test]
fn a_generation_whose_engine_crashed_does_not_look_complete() {
    smol::block_on(async {
        let (platform, instance, resp) = start_generation("crashed", LONG_EVENTS).await;
        platform.engines[0].crash();
        let got = read_answer(resp).await;
        assert!(!got.is_complete);
        assert!(all_events(LONG_EVENTS).starts_with(&got.body));
        let line = instance.log_line("g-1", "StreamCut").await;
        assert_eq!(line["fields"]["target"], "e-1");
    });
}

/// The connection to an engine is reset during a generation that the engine continues. The answer
/// would be truncated if the instance didn't recover the rest from the engine's KV memory.
#[test]
fn a_generation_whose_connection_was_reset_is_resumed_from_its_kv_memory() {
    smol::block_on(async {
        let (platform, instance, resp) = start_generation("reset", LONG_EVENTS).await;
        platform.engines[0].abort_streams();
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
        let started: usize = platform.engines.iter().map(|e| e.started().len()).sum();
        assert_eq!(started, 1, "it was started only once");
        assert_eq!(
            platform.engines[0].active_count(),
            0,
            "it was stopped there"
        );
        let line = instance.log_line("g-1", "GenerationRescued").await;
        assert_eq!(line["fields"]["to"], "e-2");
    });
}

/// A connection transfers nothing more without being reset, while its engine continues. Without a
/// recovery the caller would wait until its own time-out.
#[test]
fn a_generation_whose_connection_is_idle_is_resumed_from_its_kv_memory() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_generation("silent", LONG_EVENTS).await;
        platform.engines[0].mute_streams();
        let got = read_answer(resp).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
        assert!(platform.engines[1].started().is_empty());
    });
}

/// An engine stops responding without resetting its connections, and its listing expires. The
/// caller must not wait for an answer that will never be complete.
#[test]
fn a_generation_ends_once_the_listing_of_its_unresponsive_engine_is_gone() {
    smol::block_on(async {
        let (platform, instance, resp) = start_generation("dark", LONG_EVENTS).await;
        platform.engines[0].stop_responding();
        platform.store.delete_row("servers", "e-1");
        let unresponsive_since = Instant::now();
        let got = read_answer(resp).await;
        assert!(!got.is_complete);
        assert!(
            unresponsive_since.elapsed() < Duration::from_secs(5),
            "the request was held"
        );
        let line = instance.log_line("g-1", "StreamCut").await;
        assert_eq!(line["fields"]["target"], "e-1");
    });
}

/// A long generation arrives at an instance that stops within a few seconds and would truncate it.
/// Refused at once, its caller can get all of it from another instance.
#[test]
fn a_stopping_instance_refuses_long_generations() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("stopping").await;
        let caller = Caller::new("key-1");
        let earlier = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", LONG_EVENTS)
            .await;
        instance.terminate();
        eventually("it is no longer ready", || async {
            status(instance.readiness, "/v1/readiness").await == Some(503)
        })
        .await;
        let long = caller.generate(instance.addr, "g-2", 3_000).await;
        assert_eq!(long.status, 503);
        assert_eq!(long.retry_after.as_deref(), Some("0.010"));
        let short = caller.generate(instance.addr, "g-3", 4).await;
        assert_eq!((short.status, short.body), (200, all_events(4)));
        let got = read_answer(earlier.expect("an answer")).await;
        assert!(got.is_complete);
    });
}

/// An engine refuses a generation without running it. It is sent to another engine, once.
#[test]
fn a_generation_that_an_engine_refused_runs_at_another() {
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

/// A caller disconnects during its generation. An engine that continued it would have less room for
/// others.
#[test]
fn a_generation_is_stopped_when_its_caller_disconnects() {
    smol::block_on(async {
        let (platform, _instance, resp) = start_generation("gone", LONG_EVENTS).await;
        assert_eq!(platform.engines[0].active_count(), 1);
        drop(resp);
        eventually("the engine has stopped", || async {
            platform.engines[0].active_count() == 0
        })
        .await;
    });
}

/// An instance is stopped while generations run. It reports that it is not ready, and completes the
/// requests that it has and still gets.
#[test]
fn a_planned_stop_truncates_no_generation() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instance = platform.instance("stop").await;
        let caller = Caller::new("key-1");
        let resp = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", LONG_EVENTS)
            .await;
        instance.terminate();
        eventually("it is no longer ready", || async {
            status(instance.readiness, "/v1/readiness").await == Some(503)
        })
        .await;
        let late = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        assert_eq!(late.status, 200);
        let got = read_answer(resp.expect("an answer")).await;
        assert_eq!((got.is_complete, got.body), (true, all_events(LONG_EVENTS)));
        eventually("the process has ended", || {
            let stopped = instance.has_stopped();
            async move { stopped }
        })
        .await;
    });
}
