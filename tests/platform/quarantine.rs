//! Requests that crash the targets that run them, at several instances as real processes.

use std::time::Duration;

use platform_standin::{engine::Engine, plain::Plain};
use smol::Timer;

use crate::support::{Caller, Instance, Platform, ReceivedAnswer, eventually, status};

/// Time within which all instances in touch know what one of them has seen.
const CONTACT: Duration = Duration::from_secs(3);
/// Targets that one request may crash before it is rejected.
const MOST: usize = 3;
/// Time until the listing of a target that has crashed lapses.
const LAPSE: Duration = Duration::from_millis(300);

/// A platform with eight engines and so many instances.
async fn start(name: &str, count: usize) -> (Platform, Vec<Engine>, Vec<Instance>) {
    let platform = Platform::start().await;
    let mut engines = platform.engines.clone();
    for number in 3..=8 {
        engines.push(platform.add_engine(&format!("e-{number}")).await);
    }
    let mut instances = Vec::new();
    for number in 0..count {
        instances.push(platform.instance(&format!("{name}-{number}")).await);
    }
    (platform, engines, instances)
}

fn crashed(engines: &[Engine]) -> usize {
    engines.iter().filter(|engine| engine.has_crashed()).count()
}

/// Sends the same crashing request again and again, each time to the next instance; listings of
/// engines that it crashes lapse.
async fn crash_some(
    platform: &Platform,
    engines: &[Engine],
    instances: &[Instance],
    times: usize,
) -> Vec<ReceivedAnswer> {
    let mut all = Vec::new();
    for number in 0..times {
        let before = crashed(engines);
        let to = instances[number % instances.len()].addr;
        let id = format!("x-{number}-{before}");
        all.push(
            Caller::new("key-1")
                .crash(to, "POST", "/drafts/1", &id)
                .await,
        );
        Timer::after(LAPSE).await;
        for engine in engines.iter().filter(|engine| engine.has_crashed()) {
            platform.store.delete_row("servers", &engine.id());
        }
        Timer::after(LAPSE).await;
    }
    all
}

/// Guards against a request that crashes one engine after the other because each instance forgets it
/// with its id.
#[test]
fn a_request_that_crashed_three_engines_is_sent_to_no_more_by_any_instance() {
    smol::block_on(async {
        let (platform, engines, instances) = start("fatal", 3).await;
        crash_some(&platform, &engines, &instances, MOST).await;
        assert_eq!(crashed(&engines), MOST);
        Timer::after(CONTACT).await;
        let later = crash_some(&platform, &engines, &instances, MOST).await;
        assert_eq!(crashed(&engines), MOST, "{later:?}");
        for got in later {
            assert_eq!(
                (got.status, got.is_complete, &got.retry_after),
                (502, true, &None)
            );
        }
        let got = Caller::new("key-1")
            .generate(instances[0].addr, "g-1", 20)
            .await;
        assert_eq!((got.status, got.is_complete), (200, true));
    });
}

/// Guards against an instance that has started again and lets through what all others reject.
#[test]
fn an_instance_that_starts_again_learns_which_requests_are_rejected() {
    smol::block_on(async {
        let (platform, engines, mut instances) = start("forgetful", 3).await;
        crash_some(&platform, &engines, &instances, MOST).await;
        let again = &mut instances[1];
        again.kill();
        again.start_again();
        let ready = again.ready;
        eventually("it takes callers again", || async move {
            status(ready, "/v1/readiness").await == Some(200)
        })
        .await;
        Timer::after(CONTACT).await;
        crash_some(&platform, &engines, &instances[1..2], 1).await;
        assert_eq!(crashed(&engines), MOST);
    });
}

/// Guards against a loss of all instances, after which a request crashes as many engines once more.
#[test]
fn a_rejection_outlives_the_loss_of_all_instances() {
    smol::block_on(async {
        let (platform, engines, mut instances) = start("all", 3).await;
        crash_some(&platform, &engines, &instances, MOST).await;
        instances.iter_mut().for_each(Instance::kill);
        instances.iter_mut().for_each(Instance::start_again);
        for instance in &instances {
            let ready = instance.ready;
            eventually("it takes callers again", || async move {
                status(ready, "/v1/readiness").await == Some(200)
            })
            .await;
        }
        crash_some(&platform, &engines, &instances, MOST).await;
        assert_eq!(crashed(&engines), MOST);
    });
}

/// Guards against one attempt of a caller that is sent again and crashes a target with each sending,
/// and against its caller's own repeats.
#[test]
fn a_repeatable_call_that_crashed_three_targets_is_sent_to_no_more() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut processes = platform.plain.clone();
        for number in 3..=8 {
            let process = Plain::new(&format!("p-{number}"));
            process.start().await;
            let listing = process.listing("titles", "dc-0", "ready");
            platform.store.put("servers", &process.id(), listing);
            processes.push(process);
        }
        let instance = platform.instance("repeated").await;
        for number in 0..4 {
            let id = format!("x-{number}");
            let caller = Caller::new("key-1");
            let got = caller.crash(instance.addr, "GET", "/titles/1", &id).await;
            assert_eq!(got.status, 502);
            Timer::after(LAPSE).await;
            for process in processes.iter().filter(|p| p.has_crashed()) {
                platform.store.delete_row("servers", &process.id());
            }
            Timer::after(LAPSE * 2).await;
        }
        // Two sendings of the attempt under which the third ended may be under way at once.
        let crashed = processes.iter().filter(|p| p.has_crashed()).count();
        assert!((MOST..=MOST + 1).contains(&crashed), "{crashed}");
    });
}

/// Guards against the blame of requests that ran beside one that crashes engines.
#[test]
fn a_request_that_ran_beside_a_crashing_one_is_served_again() {
    smol::block_on(async {
        let (platform, engines, instances) = start("beside", 2).await;
        for number in 0..2 {
            let caller = Caller::new("key-1");
            let innocent = caller.generate(instances[0].addr, "g-1", 400);
            let beside = async {
                Timer::after(LAPSE).await;
                crash_some(&platform, &engines, &instances, 1 + number).await
            };
            smol::future::zip(innocent, beside).await;
        }
        let got = Caller::new("key-1")
            .generate(instances[1].addr, "g-3", 20)
            .await;
        assert_eq!((got.status, got.is_complete), (200, true));
    });
}
