//! Answers that may not belong to the request that is waiting for one. Whether that request ran is then unknown.

use platform_standin::peer::Peer;
use smol::Timer;

use crate::support::{
    CONTACT_TIME, Caller, Extra, Instance, Links, MODE_TIME, Mode, Platform, all_events, cut_off,
    served_again,
};

/// Requests of each kind for each kind of extra answer.
const REQUESTS: usize = 6;

/// Opens connections to all targets and returns them to the pool.
async fn warm_up(instance: &Instance, name: &str) {
    let caller = Caller::new("key-1");
    for number in 0..8 {
        let id = format!("{name}-warm-{number}");
        caller.call(instance.addr, "GET", "/titles/1", &id).await;
        caller.generate(instance.addr, &format!("{id}-g"), 2).await;
    }
}

/// Sends calls that must run once and generations; returns what breaks the promises.
async fn send_both_kinds(platform: &Platform, instance: &Instance, name: &str) -> Vec<String> {
    let caller = Caller::new("key-1");
    let mut broken = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("{name}-{number}");
        let got = caller.call(instance.addr, "POST", "/grants/1", &id).await;
        broken.extend(platform.check_truthful(&id, &got).err());
        if got.status == 200 && got.body != "POST /grants/1 a body" {
            broken.push(format!("{id}: got {}", got.body));
        }
        let id = format!("{name}-{number}-g");
        let got = caller.generate(instance.addr, &id, 2).await;
        broken.extend(platform.check_truthful(&id, &got).err());
        if got.status == 200 && got.is_complete && got.body != all_events(2) {
            broken.push(format!("{id}: got {}", got.body));
        }
    }
    broken
}

/// Checks that each kind of request is served at the first try once targets answer each request once.
async fn served_at_once(instance: &Instance, name: &str) {
    let caller = Caller::new("key-1");
    for number in 0..REQUESTS {
        let id = format!("{name}-sound-{number}");
        let got = caller.call(instance.addr, "POST", "/grants/1", &id).await;
        assert_eq!(got.status, 200, "{id}: {}", got.body);
        let id = format!("{id}-g");
        let got = caller.generate(instance.addr, &id, 2).await;
        assert_eq!((got.status, got.body), (200, all_events(2)), "{id}");
    }
}

/// Sends requests to `entry` while the targets behind `links` send each kind of extra answer.
async fn check_extra_answers(platform: &Platform, entry: &Instance, links: &Links) {
    let mut broken = Vec::new();
    for extra in Extra::ALL.into_iter().chain(Extra::CONTRADICTORY) {
        let name = format!("{extra:?}");
        warm_up(entry, &name).await;
        links.set_mode(Mode::Extra(extra));
        Timer::after(MODE_TIME).await;
        broken.extend(send_both_kinds(platform, entry, &name).await);
        links.set_mode(Mode::Pass);
        links.reset_connections();
        // The targets' failures so far keep them out for a while.
        served_again(entry, &name).await;
        served_at_once(entry, &name).await;
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against taking an extra answer of a target for the answer to the request that is waiting: if it
/// states that nothing ran, the request is sent again or its caller is promised that it has not run.
#[test]
fn an_extra_answer_is_no_proof_that_the_waiting_request_has_not_run() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (instance, links) = platform.instance_with_links("extra-direct").await;
        check_extra_answers(&platform, &instance, &links).await;
    });
}

/// Guards against the same for a request that another instance sends.
#[test]
fn an_extra_answer_to_a_relayed_request_is_no_proof_that_it_has_not_run() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (entry, cut_links) = platform.instance_with_links("extra-entry").await;
        let (_relay, links) = platform.instance_with_links("extra-relay").await;
        cut_off(&entry, &cut_links).await;
        check_extra_answers(&platform, &entry, &links).await;
        assert!(entry.events().contains(&"RequestRelayed".to_owned()));
    });
}

/// Guards against taking the answer of an instance that does not tell what became of a request, such as the
/// one after a panic or that of another process at its address, for "nothing was sent".
#[test]
fn a_relay_that_does_not_tell_what_became_of_a_request_is_no_proof_that_it_has_not_run() {
    smol::block_on(async {
        for status in [500, 503, 421, 404] {
            let platform = Platform::start().await;
            platform.store.delete_row("servers", "p-2");
            let (entry, links) = platform.instance_with_links("relay-entry").await;
            let target = platform.plain[0].addr().expect("it listens");
            Peer::start_failing_relay(&platform.store, "relay-failing", target, status).await;
            cut_off(&entry, &links).await;
            // The entry knows of the failing instance first, and prefers it as long as it says that it
            // reaches the target.
            let _other = platform.instance_without_links("relay-other").await;
            Timer::after(CONTACT_TIME).await;
            let caller = Caller::new("key-1");
            let mut broken = Vec::new();
            for number in 0..REQUESTS {
                let id = format!("r-{status}-{number}");
                let got = caller.call(entry.addr, "POST", "/grants/1", &id).await;
                broken.extend(platform.check_truthful(&id, &got).err());
            }
            assert!(broken.is_empty(), "{status}: {broken:#?}");
        }
    });
}
