//! Plain calls on the users' platform, with real processes and stand-ins that fail.

use std::time::{Duration, Instant};

use crate::support::{Caller, Instance, Platform, eventually, page, status};
use platform_standin::plain::Fault;
use smol::Timer;

/// How long calls to the store are counted to tell readers from followers.
const ROLE_OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Time after which followers that had waited too long for a reader follow it again, with an observation that
/// begins before and one that begins after it.
const ROLE_SETTLING_TIME: Duration = Duration::from_secs(8);

#[test]
fn a_call_is_forwarded_unchanged_without_its_key() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("through").await;
        let caller = Caller::new("key-1");
        let got = caller
            .call(instance.addr, "POST", "/grants/9?x=1", "r-1")
            .await;
        assert_eq!(
            (got.status, got.body.as_str()),
            (200, "POST /grants/9?x=1 a body")
        );
        let seen = platform.plain[0]
            .received_headers()
            .pop()
            .expect("the process in the same data centre received it");
        assert_eq!(seen.get("tenant").expect("a workspace"), "editors");
        assert!(seen.get("authorization").is_none());
        let denied = Caller::new("other")
            .call(instance.addr, "GET", "/titles/9", "r-2")
            .await;
        assert_eq!(denied.status, 401);
        let nowhere = caller.call(instance.addr, "GET", "/nowhere/9", "r-3").await;
        assert_eq!(nowhere.status, 404);
    });
}

/// A target answers 500. An idempotent call is retried at another target, and its caller sees no
/// failure; another call is not retried.
#[test]
fn an_idempotent_call_is_retried_and_another_is_not() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("again").await;
        let caller = Caller::new("key-1");
        platform.plain[0].set_fault(Fault::ServerError);
        let got = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        assert_eq!(got.status, 200);
        assert_eq!(
            (platform.plain[0].run_count(), platform.plain[1].run_count()),
            (1, 1)
        );
        let got = caller.call(instance.addr, "POST", "/grants/9", "r-2").await;
        assert_eq!(got.status, 500);
        assert_eq!(
            (platform.plain[0].run_count(), platform.plain[1].run_count()),
            (2, 1)
        );
    });
}

/// A grant was run, but its answer belongs to another request, is truncated or has no seal. A retry
/// would grant it twice, and so would the caller if the call were reported as not run.
#[test]
fn a_call_that_may_have_run_is_neither_retried_nor_reported_as_not_run() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("once").await;
        let caller = Caller::new("key-1");
        for (number, fault) in [Fault::WrongId, Fault::Truncated, Fault::NoSeal]
            .into_iter()
            .enumerate()
        {
            for process in &platform.plain {
                process.set_fault(fault);
            }
            let before: usize = platform.plain.iter().map(|p| p.run_count()).sum();
            let id = format!("r-{number}");
            let got = caller.call(instance.addr, "POST", "/grants/9", &id).await;
            let after: usize = platform.plain.iter().map(|p| p.run_count()).sum();
            assert_eq!((got.status, after - before), (502, 1), "{fault:?}");
            let line = instance.log_line(&id, "SendingFailed").await;
            assert_eq!(line["fields"]["not_run"], false, "{fault:?}");
        }
    });
}

/// Every target refuses the call without running it: the refusal says that it certainly did not
/// run, and has a retry-after header.
#[test]
fn a_call_that_certainly_did_not_run_is_refused_with_retry_after() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("refused").await;
        let caller = Caller::new("key-1");
        for process in &platform.plain {
            process.set_fault(Fault::Full);
        }
        let got = caller.call(instance.addr, "POST", "/grants/9", "r-1").await;
        assert_eq!(got.status, 503);
        assert!(got.retry_after.is_some());
        assert!(got.body.contains("not-run"), "{}", got.body);
        platform.plain[1].set_fault(Fault::None);
        let got = caller.call(instance.addr, "POST", "/grants/9", "r-2").await;
        assert_eq!(got.status, 200);
    });
}

/// A target accepts a call and never answers. An idempotent call must be retried at another target
/// before its deadline.
#[test]
fn an_idempotent_call_to_a_target_that_does_not_answer_is_retried_elsewhere() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("silent").await;
        platform.plain[0].set_fault(Fault::NoAnswer);
        let got = Caller::new("key-1")
            .call(instance.addr, "GET", "/titles/9", "r-1")
            .await;
        assert_eq!(got.status, 200);
        assert_eq!(platform.plain[1].run_count(), 1);
    });
}

/// An operator may revoke a key during a store outage, and the instance can't know of it. Once the
/// limit for revocation has passed no key is accepted, and callers get a refusal that allows a
/// retry.
#[test]
fn without_the_store_keys_are_accepted_only_for_the_revocation_limit() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("revoked").await;
        let caller = Caller::new("key-1");
        platform.store.set_down(true);
        let got = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        assert_eq!(got.status, 200);
        Timer::after(Duration::from_millis(2_600)).await;
        let got = caller.call(instance.addr, "GET", "/titles/9", "r-2").await;
        assert_eq!(got.status, 503);
        assert!(got.retry_after.is_some());
        assert_eq!(status(instance.readiness, "/v1/readiness").await, Some(503));
        platform.configure(&["key-2"]);
        platform.store.set_down(false);
        let caller = &caller;
        eventually("the key is rejected", || async {
            caller
                .call(instance.addr, "GET", "/titles/9", "r-3")
                .await
                .status
                == 401
        })
        .await;
        let fresh = Caller::new("key-2");
        assert_eq!(
            fresh
                .call(instance.addr, "GET", "/titles/9", "r-4")
                .await
                .status,
            200
        );
        let events = instance.events();
        for name in ["StoreLost", "StoreRegained"] {
            assert!(events.iter().any(|event| event == name), "{name}");
        }
    });
}

/// The store discards the history of its feed while an instance follows it. The next change must
/// not be missed.
#[test]
fn a_configuration_is_applied_after_the_feed_history_was_discarded() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("history").await;
        platform.configure(&["key-2"]);
        platform.store.discard_history();
        platform.configure(&["key-3"]);
        let caller = Caller::new("key-3");
        let caller = &caller;
        eventually("the newest key is accepted", || async {
            caller
                .call(instance.addr, "GET", "/titles/9", "r-1")
                .await
                .status
                == 200
        })
        .await;
        let old = Caller::new("key-2")
            .call(instance.addr, "GET", "/titles/9", "r-2")
            .await;
        assert_eq!(old.status, 401);
    });
}

#[test]
fn metrics_and_the_dump_are_served_without_keys() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("metrics").await;
        let caller = Caller::new("key-1");
        caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        let metrics = page(instance.admin, "/metrics")
            .await
            .expect("metrics")
            .body;
        let line = "celerystand_requests_total{kind=\"idempotent\",outcome=\"answered\"} 1";
        assert!(metrics.contains(line), "{metrics}");
        let line = "celerystand_store_calls_total{topic=\"members\",call=\"write\",outcome=\"answered\"} 1";
        assert!(metrics.contains(line), "{metrics}");
        let dump = page(instance.admin, "/dump").await.expect("a dump").body;
        assert!(
            dump.contains("\"ready\":true") && !dump.contains("key-1"),
            "{dump}"
        );
    });
}

#[test]
fn bytes_between_instances_are_counted_by_topic() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let one = platform.instance("one").await;
        let other = platform.instance("other").await;
        eventually("one of them has synced with the other", || async {
            for instance in [&one, &other] {
                let metrics = page(instance.admin, "/metrics").await.expect("metrics");
                let sync = "celerystand_peer_bytes_total{topic=\"sync\",direction=\"out\",data_centre=\"same\"}";
                if metrics.body.contains(sync) {
                    return true;
                }
            }
            false
        })
        .await;
    });
}

/// Of four instances only some read the store and the others follow those. A change reaches all,
/// and the store gets far fewer calls than if each instance read it.
#[test]
fn instances_follow_the_store_through_each_other() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instances = Vec::new();
        for name in ["one", "two", "three", "four"] {
            instances.push(platform.instance(name).await);
        }
        Timer::after(Duration::from_secs(2)).await;
        let before = instances
            .iter()
            .map(|i| i.endpoint.call_count())
            .sum::<usize>();
        Timer::after(Duration::from_secs(4)).await;
        // Two readers of two topics make one call every 0.8 s each: 20 in four seconds. Four
        // instances that all read the store would make 40 or more.
        let calls = instances
            .iter()
            .map(|i| i.endpoint.call_count())
            .sum::<usize>()
            - before;
        assert!(calls <= 30, "{calls}");
        platform.configure(&["key-9"]);
        let caller = Caller::new("key-9");
        let caller = &caller;
        for instance in &instances {
            eventually("the new key is accepted by every instance", || async {
                caller
                    .call(instance.addr, "GET", "/titles/9", "r-1")
                    .await
                    .status
                    == 200
            })
            .await;
        }
    });
}

/// Indices of the instances that read the configuration from the store, and of those that follow a
/// reader. Followers that have waited too long for a reader, as those of a machine that has been busy, read the
/// store for a while.
async fn readers_and_followers(instances: &[Instance]) -> (Vec<usize>, Vec<usize>) {
    let feed_calls = |n: usize| instances[n].endpoint.feed_calls("op");
    let started = Instant::now();
    loop {
        let before: Vec<usize> = (0..instances.len()).map(feed_calls).collect();
        Timer::after(ROLE_OBSERVATION_TIME).await;
        // A follower makes no calls to the store while nothing changes.
        let is_reader = |n: &usize| feed_calls(*n) > before[*n];
        let (readers, followers): (Vec<usize>, Vec<usize>) =
            (0..instances.len()).partition(is_reader);
        if !readers.is_empty() && followers.len() >= 2 {
            return (readers, followers);
        }
        assert!(started.elapsed() < ROLE_SETTLING_TIME, "{readers:?}");
    }
}

/// The store refuses only the readers. These still answer their followers with cached data; the
/// followers must not rely on it while the store serves them.
#[test]
fn followers_leave_a_reader_that_lost_the_store() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instances = Vec::new();
        for name in ["f-1", "f-2", "f-3", "f-4", "f-5"] {
            instances.push(platform.instance(name).await);
        }
        Timer::after(Duration::from_secs(3)).await;
        let (readers, followers) = readers_and_followers(&instances).await;
        for reader in &readers {
            instances[*reader].endpoint.set_unavailable(true);
        }
        platform.configure(&["key-8"]);
        Timer::after(Duration::from_millis(1_900)).await;
        for follower in followers {
            let got = Caller::new("key-8")
                .call(instances[follower].addr, "GET", "/titles/9", "r-1")
                .await;
            assert_eq!(got.status, 200, "instance {follower}, readers {readers:?}");
        }
    });
}

/// An instance starts during a store outage. It must get the configuration from its peers, or it
/// could serve nobody until the store is back.
#[test]
fn a_new_instance_gets_the_configuration_from_its_peers_during_a_store_outage() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let first = platform.instance("n-1").await;
        platform.store.set_down(true);
        Timer::after(Duration::from_millis(500)).await;
        let second = platform.instance_with_seed("n-2", &first).await;
        eventually("it has the configuration", || async {
            let dump = page(second.admin, "/dump").await;
            dump.is_some_and(|dump| dump.body.contains("\"rules\":3"))
        })
        .await;
    });
}

/// The readers have lost the store, so the followers read it themselves when it closes their
/// connections once. It serves again at once; an instance that stopped reading it for a while would
/// miss changes.
#[test]
fn a_closed_connection_does_not_mark_the_store_as_lost() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instances = Vec::new();
        for name in ["c-1", "c-2", "c-3", "c-4", "c-5"] {
            instances.push(platform.instance(name).await);
        }
        Timer::after(Duration::from_secs(3)).await;
        let (readers, followers) = readers_and_followers(&instances).await;
        for reader in &readers {
            instances[*reader].endpoint.set_unavailable(true);
        }
        Timer::after(Duration::from_secs(2)).await;
        for follower in &followers {
            instances[*follower].endpoint.set_unavailable(true);
        }
        Timer::after(Duration::from_millis(50)).await;
        for follower in &followers {
            instances[*follower].endpoint.set_unavailable(false);
        }
        platform.configure(&["key-7"]);
        Timer::after(Duration::from_millis(1_900)).await;
        for follower in followers {
            let got = Caller::new("key-7")
                .call(instances[follower].addr, "GET", "/titles/9", "r-1")
                .await;
            assert_eq!(got.status, 200, "instance {follower}, readers {readers:?}");
        }
    });
}

/// Operators shorten the limit for revoked keys without signalling the instances. An instance that
/// kept its old settings would accept revoked keys for too long.
#[test]
fn settings_that_change_without_a_signal_are_applied() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("settings").await;
        let caller = Caller::new("key-1");
        let got = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        assert_eq!(got.status, 200);
        // Shorter than any read of the store takes, so that the knowledge of keys is always too
        // old.
        instance.rewrite_settings("revoke_ms = 2500", "revoke_ms = 0");
        eventually("keys are no longer accepted", || async {
            let got = caller.call(instance.addr, "GET", "/titles/9", "r-2").await;
            got.status == 503 && got.retry_after.is_some()
        })
        .await;
        assert!(instance.events().contains(&"SettingsReloaded".to_owned()));
        instance.rewrite_settings("[limits]", "[limits");
        eventually("an invalid settings file is logged", || async {
            instance.events().contains(&"SettingsKept".to_owned())
        })
        .await;
        instance.rewrite_settings("[limits", "[limits]");
        instance.rewrite_settings("revoke_ms = 0", "revoke_ms = 2500");
        eventually("keys are accepted again", || async {
            let got = caller.call(instance.addr, "GET", "/titles/9", "r-3").await;
            got.status == 200
        })
        .await;
    });
}

/// All instances start at once, and one registers just after another has read the list of members.
/// Until they discover each other, both consider themselves the owner.
#[test]
fn a_member_registered_right_after_the_first_read_is_discovered_soon() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("looks").await;
        let late = r#"{"id":"late-one","addr":"127.0.0.1:9","born":1,"capacity":1}"#;
        platform.store.put("members", "late-one", late);
        eventually(
            "it has discovered the member that registered late",
            || async {
                let dump = page(instance.admin, "/dump").await;
                dump.is_some_and(|dump| dump.body.contains("late-one"))
            },
        )
        .await;
    });
}
