//! Targets that limit the rate of requests from all instances together.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use platform_standin::arrivals::Arrivals;
use smol::Timer;

use crate::support::{Caller, Instance, Platform, ReceivedAnswer, eventually};

/// Time after which all instances that can reach each other keep a limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Rate limit of the targets, in requests a second.
const RATE_LIMIT: f64 = 4.0;
/// Most requests that a target may get in one window: one and a half times its limit, and a few.
const MAX_PER_WINDOW: usize = 29;
/// Duration of the traffic.
const TRAFFIC_DURATION: Duration = Duration::from_secs(10);
/// Pause of a caller between an answer and its next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

async fn start(name: &str) -> (Platform, Vec<Instance>) {
    let platform = Platform::start().await;
    let mut instances = Vec::new();
    for number in 0..4 {
        instances.push(platform.instance(&format!("{name}-{number}")).await);
    }
    (platform, instances)
}

/// Runs one caller at each instance; returns their answers, each with the time that it took.
async fn send_traffic(
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
                while begun.elapsed() < TRAFFIC_DURATION {
                    let (id, sent) = (format!("r-{number}-{}", all.len()), Instant::now());
                    let got = caller.call(to, method, path, &id).await;
                    all.push((got, sent.elapsed()));
                    Timer::after(REQUEST_INTERVAL).await;
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

/// The highest number of requests in any window that began after all instances should keep the
/// limit.
fn busiest_window(arrivals: &Arrivals, limited_since: Instant) -> usize {
    let times: Vec<Instant> = arrivals.list().iter().map(|a| a.at).collect();
    let late = times
        .iter()
        .filter(|at| **at > limited_since + PROPAGATION_TIME);
    let count = |from: &Instant| {
        times
            .iter()
            .filter(|at| (*from..*from + WINDOW).contains(at))
            .count()
    };
    late.map(count).max().unwrap_or_default()
}

/// Guards against instances that ignore the limit, or each keep it while their sum exceeds it.
#[test]
fn a_target_gets_no_more_than_its_rate_limit_from_all_instances() {
    smol::block_on(async {
        let (platform, instances) = start("need").await;
        platform.plain[0].set_limit(Some(RATE_LIMIT));
        let limited_since = Instant::now();
        let got = send_traffic(&instances, "GET", "/titles/1").await;
        let max = busiest_window(&platform.plain[0].arrivals(), limited_since);
        assert!(max <= MAX_PER_WINDOW, "{max} in one window");
        // The other target has no limit and can serve all requests.
        let failed = got.iter().filter(|(got, _)| got.status != 200).count();
        assert_eq!(failed, 0, "of {}", got.len());
    });
}

/// Guards against holding requests that no target can accept, or refusing them without a
/// retry-after header.
#[test]
fn requests_over_the_limits_of_all_targets_are_refused_at_once_with_retry_after() {
    smol::block_on(async {
        let (platform, instances) = start("refused").await;
        platform
            .plain
            .iter()
            .for_each(|plain| plain.set_limit(Some(RATE_LIMIT)));
        let limited_since = Instant::now();
        let got = send_traffic(&instances, "POST", "/grants/1").await;
        for plain in &platform.plain {
            let max = busiest_window(&plain.arrivals(), limited_since);
            assert!(max <= MAX_PER_WINDOW, "{max} in one window");
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

/// Guards against keeping a limit that its target has lifted.
#[test]
fn a_target_that_lifts_its_limit_gets_its_share_again() {
    smol::block_on(async {
        let (platform, instances) = start("over").await;
        platform.plain[0].set_limit(Some(RATE_LIMIT));
        let id = Arc::clone(&platform.plain[0].id());
        let lift = async {
            Timer::after(TRAFFIC_DURATION / 2).await;
            platform.plain[0].set_limit(None);
        };
        smol::future::zip(send_traffic(&instances, "GET", "/titles/1"), lift).await;
        let last = Instant::now()
            .checked_sub(TRAFFIC_DURATION / 5)
            .expect("a time before");
        let arrivals = platform.plain[0].arrivals().list();
        let later = arrivals.iter().filter(|a| a.at > last).count();
        assert!(later > 20, "{id} got {later} of some 100 requests");
    });
}

/// Guards against ignoring the limit for generations, whose targets are chosen by an owner.
#[test]
fn an_engine_gets_no_more_than_its_rate_limit() {
    smol::block_on(async {
        let (platform, instances) = start("engine").await;
        platform.engines[0].set_limit(Some(RATE_LIMIT));
        let limited_since = Instant::now();
        let got = send_traffic(&instances, "POST", "/drafts/1").await;
        let max = busiest_window(&platform.engines[0].arrivals(), limited_since);
        assert!(max <= MAX_PER_WINDOW, "{max} in one window");
        let failed = got.iter().filter(|(got, _)| got.status != 200).count();
        assert_eq!(failed, 0, "of {}", got.len());
    });
}

/// Guards against lifting the rate limit of a target because another process, at an address that the target has
/// left, answers that it is not that target.
#[test]
fn another_process_at_a_targets_address_does_not_lift_its_rate_limit() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("limit-of-another").await;
        let [limited, other] = [0, 1].map(|number| platform.plain[number].clone());
        limited.set_limit(Some(RATE_LIMIT));
        let caller = Caller::new("key-1");
        let call = |id: String| {
            let caller = &caller;
            async move { caller.call(instance.addr, "GET", "/titles/1", &id).await }
        };
        platform.store.delete_row("servers", &other.id());
        eventually("the limit is known", || async {
            call(format!("before-{}", fastrand::u64(..))).await;
            instance.events().contains(&"TargetLimited".to_owned())
        })
        .await;
        let addr = other.addr().expect("an address");
        instance.endpoint.set_address(&limited.id(), addr);
        let listing = limited.listing("titles", "dc-0", "ready");
        platform.store.put("servers", &limited.id(), listing);
        eventually("the other process is asked", || async {
            call(format!("after-{}", fastrand::u64(..))).await;
            instance.events().contains(&"AnswerNotForwarded".to_owned())
        })
        .await;
        assert!(!instance.events().contains(&"TargetUnlimited".to_owned()));
    });
}
