//! Targets that close their connection within the head of an answer, or soon after it.

use std::time::Duration;

use smol::Timer;

use crate::support::{
    Caller, Instance, Links, Mode, Platform, Proxy, ReceivedAnswer, all_events, eventually,
    read_answer, served_again,
};

/// Bytes of an answer after which its connection is closed. Heads of the targets have about 160.
const CUTS: [usize; 14] = [1, 8, 9, 13, 17, 30, 50, 75, 100, 120, 140, 150, 160, 170];
/// Cuts of the answers to a resumed generation, each of which takes as long as the generation.
const RESUMED_CUTS: [usize; 4] = [1, 17, 60, 120];
/// Time for the links to take on a new mode.
const MODE_TIME: Duration = Duration::from_millis(60);
/// Time after the start of a cut from which on requests go through other instances.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Events of a generation that takes about two seconds.
const LONG_EVENTS: u32 = 130;
/// Time after which the first events have arrived.
const STREAM_START_DELAY: Duration = Duration::from_millis(300);

/// Checks that an answer is whole or does not look so, and that a request ran once at most and not at all if its
/// caller was promised so.
fn check(platform: &Platform, id: &str, got: &ReceivedAnswer, whole: &str) {
    let is_success = (200..300).contains(&got.status);
    if is_success && got.is_complete {
        assert_eq!(got.body, whole, "{id} looks whole");
    }
    if is_success {
        assert!(whole.starts_with(&got.body), "{id}: {}", got.body);
    }
    if let Err(e) = platform.check_truthful(id, got) {
        panic!("{e}");
    }
}

/// Sends a request of each kind while the targets behind `links` close connections within their answers.
async fn check_cuts(platform: &Platform, entry: &Instance, links: &Links) {
    let caller = Caller::new("key-1");
    let mut failed = 0;
    for cut in CUTS {
        links.set_mode(Mode::Truncate(cut));
        Timer::after(MODE_TIME).await;
        let id = format!("cut-{cut}");
        let got = caller.call(entry.addr, "POST", "/grants/1", &id).await;
        check(platform, &id, &got, "POST /grants/1 a body");
        failed += usize::from(got.status != 200);
        let id = format!("cut-{cut}-g");
        let got = caller.generate(entry.addr, &id, 3).await;
        check(platform, &id, &got, &all_events(3));
        links.set_mode(Mode::Pass);
        served_again(entry, &id).await;
    }
    assert!(failed >= CUTS.len() / 2, "only {failed} were cut");
}

/// Guards against a success with an empty or short body that looks whole.
#[test]
fn an_answer_that_ends_within_its_head_is_no_success() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (instance, links) = platform.instance_with_links("heads-direct").await;
        check_cuts(&platform, &instance, &links).await;
    });
}

/// Guards against the same through another instance.
#[test]
fn a_relayed_answer_that_ends_within_its_head_is_no_success() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let (entry, own_links) = platform.instance_with_links("heads-entry").await;
        let (_relay, links) = platform.instance_with_links("heads-relay").await;
        own_links.set_mode(Mode::RefuseNew);
        Timer::after(MODE_TIME).await;
        own_links.reset_connections();
        served_again(&entry, "through").await;
        Timer::after(CONTACT_TIME).await;
        check_cuts(&platform, &entry, &links).await;
        assert!(entry.events().contains(&"RequestRelayed".to_owned()));
    });
}

/// Starts a generation at the first engine and moves it to the second one, whose answer is cut.
async fn resume_at_cut(cut: usize) {
    let platform = Platform::start().await;
    let (instance, links) = platform.instance_with_links("heads-resumed").await;
    platform.store.delete_row("servers", "e-2");
    eventually("the second engine is gone", || async {
        let caller = Caller::new("key-1");
        let id = format!("first-{}", fastrand::u64(..));
        caller.generate(instance.addr, &id, 1).await;
        platform.engines[0].started().contains(&id)
    })
    .await;
    let caller = Caller::new("key-1");
    let id = format!("resumed-{cut}");
    let resp = caller.send(instance.addr, "POST", "/drafts/1", &id, LONG_EVENTS);
    let resp = resp.await.expect("an answer");
    Timer::after(STREAM_START_DELAY).await;
    let second: &Proxy = &links.engines[1];
    second.set_mode(Mode::Truncate(cut));
    let listing = platform.engines[1].listing("drafts", "dc-1", "ready");
    platform.store.put("servers", "e-2", listing);
    platform.set_engine_leaving(0);
    let got = read_answer(resp).await;
    check(&platform, &id, &got, &all_events(LONG_EVENTS));
    let arrivals = platform.engines[1].arrivals().list();
    let was_resumed = arrivals.iter().any(|it| it.resumed && *it.id == *id);
    assert!(
        was_resumed,
        "{id} did not get there: {}",
        instance.explain(&id)
    );
}

/// Guards against the end of a stream that looks whole because the engine at which it was resumed has closed
/// its connection within the head.
#[test]
fn a_resumed_answer_that_ends_within_its_head_does_not_end_the_stream_as_whole() {
    smol::block_on(async {
        for cut in RESUMED_CUTS {
            resume_at_cut(cut).await;
        }
    });
}
