//! Requests that crash the targets that run them, sent to several instances as real processes.

use std::time::Duration;

use platform_standin::{engine::Engine, plain::Plain};
use smol::Timer;

use crate::support::{Caller, Instance, Platform, ReceivedAnswer, eventually, status};

/// Time within which a crash seen by one instance is known to all that can reach each other.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Number of targets that one request may crash before it is rejected.
const MAX_CRASHES: usize = 3;
/// Time until the listing of a crashed target expires.
const LISTING_EXPIRY: Duration = Duration::from_millis(300);

/// Starts a platform with eight engines and `count` instances.
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

fn crashed_count(engines: &[Engine]) -> usize {
    engines.iter().filter(|engine| engine.has_crashed()).count()
}

/// Sends the same crashing request `times` times, to the instances in turn, and removes the
/// listings of crashed engines.
async fn send_crashing_requests(
    platform: &Platform,
    engines: &[Engine],
    instances: &[Instance],
    times: usize,
) -> Vec<ReceivedAnswer> {
    let mut answers = Vec::new();
    for number in 0..times {
        let before = crashed_count(engines);
        let to = instances[number % instances.len()].addr;
        let id = format!("x-{number}-{before}");
        answers.push(
            Caller::new("key-1")
                .crash(to, "POST", "/drafts/1", &id)
                .await,
        );
        Timer::after(LISTING_EXPIRY).await;
        for engine in engines.iter().filter(|engine| engine.has_crashed()) {
            platform.store.delete_row("servers", &engine.id());
        }
        Timer::after(LISTING_EXPIRY).await;
    }
    answers
}

/// Guards against a request that crashes one engine after the other because each instance counts
/// crashes by the request's id, which changes with every retry.
#[test]
fn a_request_that_crashed_three_engines_is_rejected_by_every_instance() {
    smol::block_on(async {
        let (platform, engines, instances) = start("fatal", 3).await;
        send_crashing_requests(&platform, &engines, &instances, MAX_CRASHES).await;
        assert_eq!(crashed_count(&engines), MAX_CRASHES);
        Timer::after(PROPAGATION_TIME).await;
        let later = send_crashing_requests(&platform, &engines, &instances, MAX_CRASHES).await;
        assert_eq!(crashed_count(&engines), MAX_CRASHES, "{later:?}");
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

/// Guards against a restarted instance that accepts requests which all others reject.
#[test]
fn a_restarted_instance_rejects_what_its_peers_reject() {
    smol::block_on(async {
        let (platform, engines, mut instances) = start("forgetful", 3).await;
        send_crashing_requests(&platform, &engines, &instances, MAX_CRASHES).await;
        let restarted = &mut instances[1];
        restarted.kill();
        restarted.restart();
        let readiness = restarted.readiness;
        eventually("it is ready again", || async move {
            status(readiness, "/v1/readiness").await == Some(200)
        })
        .await;
        Timer::after(PROPAGATION_TIME).await;
        send_crashing_requests(&platform, &engines, &instances[1..2], 1).await;
        assert_eq!(crashed_count(&engines), MAX_CRASHES);
    });
}

/// Guards against losing the rejection when all instances are killed: the request would crash as
/// many engines once more.
#[test]
fn a_rejection_persists_when_all_instances_are_killed() {
    smol::block_on(async {
        let (platform, engines, mut instances) = start("all", 3).await;
        send_crashing_requests(&platform, &engines, &instances, MAX_CRASHES).await;
        instances.iter_mut().for_each(Instance::kill);
        instances.iter_mut().for_each(Instance::restart);
        for instance in &instances {
            let readiness = instance.readiness;
            eventually("it is ready again", || async move {
                status(readiness, "/v1/readiness").await == Some(200)
            })
            .await;
        }
        send_crashing_requests(&platform, &engines, &instances, MAX_CRASHES).await;
        assert_eq!(crashed_count(&engines), MAX_CRASHES);
    });
}

/// Guards against instances that lack the rejections after their start because the store refused their first
/// read of them.
#[test]
fn a_rejection_persists_when_the_store_is_down_as_all_instances_start() {
    smol::block_on(async {
        let (platform, engines, mut instances) = start("late", 3).await;
        send_crashing_requests(&platform, &engines, &instances, MAX_CRASHES).await;
        Timer::after(PROPAGATION_TIME).await;
        instances.iter_mut().for_each(Instance::kill);
        platform.store.set_down(true);
        instances.iter_mut().for_each(Instance::restart);
        for instance in &instances {
            instance.first_logged_at("StoreLost").await;
        }
        platform.store.set_down(false);
        for instance in &instances {
            let readiness = instance.readiness;
            eventually("it is ready again", || async move {
                status(readiness, "/v1/readiness").await == Some(200)
            })
            .await;
        }
        send_crashing_requests(&platform, &engines, &instances, MAX_CRASHES).await;
        assert_eq!(crashed_count(&engines), MAX_CRASHES);
    });
}

/// Guards against retries of a call, by the instance or by its caller, that crash a further target
/// each time.
#[test]
fn an_idempotent_call_that_crashed_three_targets_is_rejected() {
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
            Timer::after(LISTING_EXPIRY).await;
            for process in processes.iter().filter(|p| p.has_crashed()) {
                platform.store.delete_row("servers", &process.id());
            }
            Timer::after(LISTING_EXPIRY * 2).await;
        }
        // Two attempts at the call that crashed the third target may be in flight at once.
        let crashed = processes.iter().filter(|p| p.has_crashed()).count();
        assert!(
            (MAX_CRASHES..=MAX_CRASHES + 1).contains(&crashed),
            "{crashed}"
        );
    });
}

/// Guards against rejecting requests that only ran at the same time as one that crashes engines.
#[test]
fn a_request_that_ran_at_the_same_time_as_a_crashing_one_is_not_rejected() {
    smol::block_on(async {
        let (platform, engines, instances) = start("beside", 2).await;
        for number in 0..2 {
            let caller = Caller::new("key-1");
            let other = caller.generate(instances[0].addr, "g-1", 400);
            let crashes = async {
                Timer::after(LISTING_EXPIRY).await;
                send_crashing_requests(&platform, &engines, &instances, 1 + number).await
            };
            smol::future::zip(other, crashes).await;
        }
        let got = Caller::new("key-1")
            .generate(instances[1].addr, "g-3", 20)
            .await;
        assert_eq!((got.status, got.is_complete), (200, true));
    });
}
