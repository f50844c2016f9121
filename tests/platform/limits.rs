//! Targets that take only so many requests a second from all instances together.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use platform_standin::arrivals::Arrivals;
use smol::Timer;

use crate::support::{Caller, Instance, Platform, ReceivedAnswer};

/// Time after which all instances in touch keep a limit.
const CONTACT: Duration = Duration::from_secs(3);
/// The time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests a second that targets name.
const LIMIT: f64 = 4.0;
/// Requests that a target may get in one window: one and a half times its limit, and a few.
const ALLOWED: usize = 29;
/// Time that traffic lasts.
const LASTS: Duration = Duration::from_secs(10);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(60);

async fn start(name: &str) -> (Platform, Vec<Instance>) {
    let platform = Platform::start().await;
    let mut instances = Vec::new();
    for number in 0..4 {
        instances.push(platform.instance(&format!("{name}-{number}")).await);
    }
    (platform, instances)
}

/// One caller at each instance; gives what they got, and how long each answer took.
async fn traffic(
    instances: &[Instance],
    method: &'static str,
    path: &'static str,
) -> Vec<(ReceivedAnswer, Duration)> {
    let callers: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(number, instance)| {
            let to = instance.addr;
            smol::spawn(async move {
                let (caller, begun, mut all) = (Caller::new("key-1"), Instant::now(), Vec::new());
                while begun.elapsed() < LASTS {
                    let (id, sent) = (format!("r-{number}-{}", all.len()), Instant::now());
                    let got = caller.call(to, method, path, &id).await;
                    all.push((got, sent.elapsed()));
                    Timer::after(PAUSE).await;
                }
                all
            })
        })
        .collect();
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await);
    }
    all
}

/// The most requests of one window that began after instances should keep the limit.
fn most(arrivals: &Arrivals, named: Instant) -> usize {
    let times: Vec<Instant> = arrivals.list().iter().map(|a| a.at).collect();
    let late = times.iter().filter(|at| **at > named + CONTACT);
    let count = |from: &Instant| {
        times
            .iter()
            .filter(|at| (*from..*from + WINDOW).contains(at))
            .count()
    };
    late.map(count).max().unwrap_or_default()
}

/// Guards against instances that each keep the limit, or none of them, while their sum is over it.
#[test]
fn a_target_in_need_gets_no_more_than_it_names_from_all_instances() {
    smol::block_on(async {
        let (platform, instances) = start("need").await;
        platform.plain[0].set_limit(Some(LIMIT));
        let named = Instant::now();
        let got = traffic(&instances, "GET", "/titles/1").await;
        let most = most(&platform.plain[0].arrivals(), named);
        assert!(most <= ALLOWED, "{most} in one window");
        // The other one has room for all.
        let failed = got.iter().filter(|(got, _)| got.status != 200).count();
        assert_eq!(failed, 0, "of {}", got.len());
    });
}

/// Guards against callers who wait in vain, or are told nothing true, where no target has room.
#[test]
fn what_no_target_takes_is_refused_at_once_with_a_time_to_come_back() {
    smol::block_on(async {
        let (platform, instances) = start("refused").await;
        platform
            .plain
            .iter()
            .for_each(|plain| plain.set_limit(Some(LIMIT)));
        let named = Instant::now();
        let got = traffic(&instances, "POST", "/grants/1").await;
        for plain in &platform.plain {
            let most = most(&plain.arrivals(), named);
            assert!(most <= ALLOWED, "{most} in one window");
        }
        let refused = got.iter().filter(|(got, _)| got.status == 503);
        assert!(refused.clone().count() > 0);
        for (got, took) in refused {
            assert!(got.retry_after.is_some(), "{got:?}");
            assert!(*took < Duration::from_millis(600), "refused after {took:?}");
        }
        assert!(got.iter().all(|(got, _)| matches!(got.status, 200 | 503)));
    });
}

/// Guards against a limit that outlives its target's need.
#[test]
fn a_target_that_names_no_limit_any_more_gets_its_share_again() {
    smol::block_on(async {
        let (platform, instances) = start("over").await;
        platform.plain[0].set_limit(Some(LIMIT));
        let need = Arc::clone(&platform.plain[0].id());
        let over = async {
            Timer::after(LASTS / 2).await;
            platform.plain[0].set_limit(None);
        };
        smol::future::zip(traffic(&instances, "GET", "/titles/1"), over).await;
        let last = Instant::now()
            .checked_sub(LASTS / 5)
            .expect("a time before");
        let arrivals = platform.plain[0].arrivals().list();
        let later = arrivals.iter().filter(|a| a.at > last).count();
        assert!(later > 20, "{need} got {later} of some 100 requests");
    });
}

/// Guards against generations that keep no limit, as their targets are chosen by their owner.
#[test]
fn an_engine_in_need_gets_no_more_than_it_names() {
    smol::block_on(async {
        let (platform, instances) = start("engine").await;
        platform.engines[0].set_limit(Some(LIMIT));
        let named = Instant::now();
        let got = traffic(&instances, "POST", "/drafts/1").await;
        let most = most(&platform.engines[0].arrivals(), named);
        assert!(most <= ALLOWED, "{most} in one window");
        let failed = got.iter().filter(|(got, _)| got.status != 200).count();
        assert_eq!(failed, 0, "of {}", got.len());
    });
}
