//! Targets that say in their answers that they leave, or that they want no requests for a while.

use std::time::{Duration, Instant};

use platform_standin::arrivals::Arrivals;
use smol::Timer;

use crate::support::{Caller, Instance, Platform, eventually};

/// Time after which an instance that has passed on such an answer sends the target nothing more.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Time after a rejection for which requests that were under way are not counted.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests of each test after the target has spoken.
const REQUESTS: usize = 20;
/// Pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Pause between two requests that are spread over the pause of a target.
const SPREAD_INTERVAL: Duration = Duration::from_millis(110);

/// The number of requests that arrived in a span of time.
fn arrivals_between(arrivals: &Arrivals, from: Instant, to: Instant) -> usize {
    let all = arrivals.list();
    all.iter().filter(|a| (from..to).contains(&a.at)).count()
}

async fn send_requests(instance: &Instance, method: &str, path: &str, name: &str) -> Vec<u16> {
    send_at_intervals(instance, [method, path, name], REQUEST_INTERVAL).await
}

async fn send_at_intervals(
    instance: &Instance,
    [method, path, name]: [&str; 3],
    interval: Duration,
) -> Vec<u16> {
    let caller = Caller::new("key-1");
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{name}-{number}");
        let got = caller.call(instance.addr, method, path, &id).await;
        statuses.push(got.status);
        Timer::after(interval).await;
    }
    statuses
}

/// Guards against sending to a target after one of its answers has said that it leaves, while the
/// store can't say so.
#[test]
fn a_target_that_says_in_an_answer_that_it_leaves_gets_nothing_more_without_the_store() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("left").await;
        platform.store.set_down(true);
        platform.plain[0].signals().set_leaving();
        let caller = Caller::new("key-1");
        let first = caller
            .call(instance.addr, "GET", "/titles/1", "first")
            .await;
        assert_eq!(first.status, 200);
        Timer::after(DRAIN_LIMIT / 2).await;
        let since = Instant::now();
        // Keys are honoured for 2.3 s without the store.
        let statuses = send_requests(&instance, "GET", "/titles/1", "later").await;
        let later = arrivals_between(&platform.plain[0].arrivals(), since, Instant::now());
        assert_eq!(later, 0, "{statuses:?}");
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    });
}

/// Guards against taking a target back into service because a row of the store, which may be older
/// than its answer, lists it as ready.
#[test]
fn a_listing_does_not_bring_back_a_target_that_has_said_that_it_leaves() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("relisted").await;
        let target = &platform.plain[0];
        target.signals().set_leaving();
        send_requests(&instance, "GET", "/titles/1", "first").await;
        platform.store.put(
            "servers",
            &target.id(),
            target.listing("titles", "dc-0", "ready"),
        );
        platform.store.delete_row("servers", &target.id());
        Timer::after(Duration::from_millis(300)).await;
        platform.store.put(
            "servers",
            &target.id(),
            target.listing("titles", "dc-0", "ready"),
        );
        Timer::after(Duration::from_millis(300)).await;
        let since = Instant::now();
        let statuses = send_requests(&instance, "GET", "/titles/1", "later").await;
        let later = arrivals_between(&target.arrivals(), since, Instant::now());
        assert_eq!(later, 0, "{statuses:?}");
    });
}

/// Guards against placing generations on an engine whose answer has said that it leaves.
#[test]
fn an_engine_that_says_in_an_answer_that_it_leaves_gets_no_more_generations() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("left-engine").await;
        let engine = &platform.engines[0];
        engine.set_leaving();
        let caller = Caller::new("key-1");
        eventually("the engine has answered", || async {
            let id = format!("first-{}", engine.started().len());
            caller.generate(instance.addr, &id, 2).await;
            !engine.started().is_empty()
        })
        .await;
        Timer::after(DRAIN_LIMIT).await;
        let before = engine.started().len();
        let statuses = send_requests(&instance, "POST", "/drafts/1", "later").await;
        assert_eq!(engine.started().len(), before, "{statuses:?}");
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    });
}

/// Guards against sending to a target during the time for which it has asked for no requests.
#[test]
fn a_target_that_asks_for_a_pause_gets_nothing_until_its_end() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("paused").await;
        let target = &platform.plain[0];
        target.signals().shed(Some("2.5"));
        let statuses =
            send_at_intervals(&instance, ["POST", "/grants/1", "during"], SPREAD_INTERVAL).await;
        let first = target.arrivals().list()[0].at;
        let end = first + Duration::from_millis(2_500);
        Timer::after(end.saturating_duration_since(Instant::now())).await;
        let during = arrivals_between(&target.arrivals(), first + UNDER_WAY, end);
        assert_eq!(during, 0, "{statuses:?}");
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        target.signals().shed(None);
        let before = target.run_count();
        // The pause ends a little later for the instance, which counts from the arrival of the answer.
        eventually("the target gets requests again", || async {
            send_requests(&instance, "POST", "/grants/1", "after").await;
            target.run_count() > before
        })
        .await;
    });
}

/// Guards against holding a request that no target wants now, or sending its caller back too early.
#[test]
fn a_request_is_refused_at_once_with_the_end_of_the_first_pause_if_all_targets_pause() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("all-paused").await;
        platform.plain[0].signals().shed(Some("4"));
        platform.plain[1].signals().shed(Some("3.5"));
        let caller = Caller::new("key-1");
        caller
            .call(instance.addr, "POST", "/grants/1", "first")
            .await;
        let paused = Instant::now();
        Timer::after(Duration::from_millis(200)).await;
        for number in 0..5 {
            let sent = Instant::now();
            let id = format!("refused-{number}");
            let got = caller.call(instance.addr, "POST", "/grants/1", &id).await;
            assert_eq!(got.status, 503);
            assert!(
                sent.elapsed() < Duration::from_millis(200),
                "{:?}",
                sent.elapsed()
            );
            let after: f64 = got.retry_after.expect("a time").parse().expect("seconds");
            let left = 3.5 - paused.elapsed().as_secs_f64();
            assert!(
                (left - 0.1..left + 1.5).contains(&after),
                "{after} of {left}"
            );
        }
    });
}

/// Guards against an engine's pause that binds first requests only: probes, copies and resumed
/// generations are requests too.
#[test]
fn an_engine_that_asks_for_a_pause_gets_no_generation_until_its_end() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("paused-engine").await;
        let engine = &platform.engines[0];
        engine.signals().shed(Some("2.5"));
        let statuses =
            send_at_intervals(&instance, ["POST", "/drafts/1", "during"], SPREAD_INTERVAL).await;
        let arrivals = engine.arrivals().list();
        let first = arrivals.first().expect("a first request").at;
        let end = first + Duration::from_millis(2_500);
        let during = arrivals_between(&engine.arrivals(), first + UNDER_WAY, end);
        assert_eq!(during, 0, "{statuses:?}");
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    });
}
