//! Plain calls on the users' platform, with real processes before stand-ins that fail.

use std::time::Duration;

use crate::support::{Caller, Instance, Platform, eventually, page, status};
use platform_standin::plain::Fault;
use smol::Timer;

#[test]
fn a_call_goes_through_unchanged_and_the_key_stays_here() {
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
            .expect("the near process got it");
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

/// A target answers 500 to a call that may be repeated. The caller should not notice: another
/// target has the answer.
#[test]
fn an_idempotent_call_is_tried_again_and_another_is_not() {
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

/// A grant was run and its answer lost, crossed with another, torn or unproven. Sent again it
/// would be granted twice; refused as not run, the caller would send it again itself.
#[test]
fn a_call_that_may_have_run_is_neither_repeated_nor_called_not_run() {
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
            let line = instance.line(&id, "SendingFailed").await;
            assert_eq!(line["fields"]["not_run"], false, "{fault:?}");
        }
    });
}

/// Every target says that it did not run the call. That is certain, and the caller is told so and
/// when to come back.
#[test]
fn a_call_that_surely_did_not_run_is_refused_with_a_time_to_come_back() {
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

/// A target takes a call and says nothing more. One that may be repeated is asked of another in
/// time for its caller.
#[test]
fn a_silent_target_does_not_keep_an_idempotent_call() {
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

/// The store goes away, and an operator may take a key back meanwhile that nobody here hears of.
/// After a while no key is honoured, and callers are told that the request has not run.
#[test]
fn without_the_store_keys_are_honoured_for_a_short_while_only() {
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
        assert_eq!(status(instance.ready, "/v1/readiness").await, Some(503));
        platform.configure(&["key-2"]);
        platform.store.set_down(false);
        let caller = &caller;
        eventually("the key is dead", || async {
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

/// The store forgets its history while an instance follows it. What it says next must not be
/// missed.
#[test]
fn a_configuration_comes_into_force_also_after_the_history_is_gone() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("history").await;
        platform.configure(&["key-2"]);
        platform.store.discard_history();
        platform.configure(&["key-3"]);
        let caller = Caller::new("key-3");
        let caller = &caller;
        eventually("the newest key is good", || async {
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
fn metrics_and_the_dump_are_served_and_hold_no_keys() {
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

/// Two instances follow one store. One of them reads it; word of a change reaches both, and the
/// store is asked far less often than each for itself would ask.
#[test]
fn instances_follow_the_store_through_each_other() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instances = Vec::new();
        for name in ["one", "two", "three", "four"] {
            instances.push(platform.instance(name).await);
        }
        Timer::after(Duration::from_secs(2)).await;
        let before = instances.iter().map(|i| i.door.call_count()).sum::<usize>();
        Timer::after(Duration::from_secs(4)).await;
        // Two readers of two topics make one call each 0.8 s: 20 in four seconds. Each of four
        // instances alone would make 40 and more.
        let calls = instances.iter().map(|i| i.door.call_count()).sum::<usize>() - before;
        assert!(calls <= 30, "{calls}");
        platform.configure(&["key-9"]);
        let caller = Caller::new("key-9");
        let caller = &caller;
        for instance in &instances {
            eventually("the new key is good everywhere", || async {
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

/// Which instances read the configuration at the store, and which follow those.
async fn roles(instances: &[Instance]) -> (Vec<usize>, Vec<usize>) {
    let followed = |n: usize| instances[n].door.feed_calls("op");
    let before: Vec<usize> = (0..instances.len()).map(followed).collect();
    Timer::after(Duration::from_secs(3)).await;
    // A follower makes no calls in quiet times.
    let reads = |n: &usize| followed(*n) > before[*n];
    let (readers, followers): (Vec<usize>, Vec<usize>) = (0..instances.len()).partition(reads);
    assert!(!readers.is_empty() && followers.len() >= 2, "{readers:?}");
    (readers, followers)
}

/// The store turns away just the instances that read it for the others. These still answer, with
/// what they knew before; the others must not be content with that while the store serves them.
#[test]
fn followers_do_not_stay_with_a_reader_that_lost_the_store() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instances = Vec::new();
        for name in ["f-1", "f-2", "f-3", "f-4", "f-5"] {
            instances.push(platform.instance(name).await);
        }
        Timer::after(Duration::from_secs(3)).await;
        let (readers, followers) = roles(&instances).await;
        for reader in &readers {
            instances[*reader].door.set_unavailable(true);
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

/// An instance starts while the store is away. The others know the configuration; without it the
/// new one could serve nobody until the store is back.
#[test]
fn a_newcomer_learns_from_the_others_while_the_store_is_away() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let first = platform.instance("n-1").await;
        platform.store.set_down(true);
        Timer::after(Duration::from_millis(500)).await;
        let second = platform.newcomer("n-2", &first).await;
        eventually("it knows the configuration", || async {
            let dump = page(second.admin, "/dump").await;
            dump.is_some_and(|dump| dump.body.contains("\"rules\":3"))
        })
        .await;
    });
}

/// Two readers are cut off from the store, and so the others ask it themselves, when it cuts its
/// connections once. It serves at once again; those that gave it up for a while would miss what
/// changes meanwhile.
#[test]
fn a_connection_that_the_store_cut_is_no_reason_to_leave_it() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let mut instances = Vec::new();
        for name in ["c-1", "c-2", "c-3", "c-4", "c-5"] {
            instances.push(platform.instance(name).await);
        }
        Timer::after(Duration::from_secs(3)).await;
        let (readers, followers) = roles(&instances).await;
        for reader in &readers {
            instances[*reader].door.set_unavailable(true);
        }
        Timer::after(Duration::from_secs(2)).await;
        for follower in &followers {
            instances[*follower].door.set_unavailable(true);
        }
        Timer::after(Duration::from_millis(50)).await;
        for follower in &followers {
            instances[*follower].door.set_unavailable(false);
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

/// The operators shorten the life of a key that was taken away, and nobody signals the instances.
/// One that went on by its old settings would honour keys for longer than is allowed now.
#[test]
fn settings_that_change_without_a_signal_are_taken() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("settings").await;
        let caller = Caller::new("key-1");
        let got = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        assert_eq!(got.status, 200);
        // Shorter than any read of the store takes: no knowledge of keys is fresh enough.
        instance.rewrite_settings("revoke_ms = 2500", "revoke_ms = 0");
        eventually("keys are not honoured any more", || async {
            let got = caller.call(instance.addr, "GET", "/titles/9", "r-2").await;
            got.status == 503 && got.retry_after.is_some()
        })
        .await;
        assert!(instance.events().contains(&"SettingsReloaded".to_owned()));
        instance.rewrite_settings("[limits]", "[limits");
        eventually("a file that can't be read is logged", || async {
            instance.events().contains(&"SettingsKept".to_owned())
        })
        .await;
        instance.rewrite_settings("[limits", "[limits]");
        instance.rewrite_settings("revoke_ms = 0", "revoke_ms = 2500");
        eventually("keys are honoured again", || async {
            let got = caller.call(instance.addr, "GET", "/titles/9", "r-3").await;
            got.status == 200
        })
        .await;
    });
}

/// All instances start at once, and one makes itself known just after another has looked who is
/// there. As long as they don't know of each other, both take themselves for the owner.
#[test]
fn who_comes_right_after_the_first_look_is_known_soon() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("looks").await;
        let late = r#"{"id":"late-one","addr":"127.0.0.1:9","born":1,"capacity":1}"#;
        platform.store.put("members", "late-one", late);
        eventually("it knows the one who came late", || async {
            let dump = page(instance.admin, "/dump").await;
            dump.is_some_and(|dump| dump.body.contains("late-one"))
        })
        .await;
    });
}
