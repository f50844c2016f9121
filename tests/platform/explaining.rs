//! From a failed request's id to its cause, by the logs of real processes alone.

use std::time::Duration;

use platform_standin::plain::Fault;
use smol::Timer;

use crate::support::{Caller, Platform};

/// The order of these texts in a story.
fn assert_tells(story: &str, texts: &[&str]) {
    let mut rest = story;
    for text in texts {
        let at = rest.find(text);
        let at = at.unwrap_or_else(|| panic!("no {text:?} where it should be in\n{story}"));
        rest = &rest[at + text.len()..];
    }
}

/// A caller complains of a refusal. The instance had lost the store a while before.
#[test]
fn a_refusal_leads_to_the_lost_store() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("explain-1").await;
        platform.store.set_down(true);
        Timer::after(Duration::from_millis(2_700)).await;
        let caller = Caller::new("key-1");
        let got = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        assert_eq!(got.status, 503);
        instance.line("r-1", "RequestRefused").await;
        let cause = [
            "the store is lost",
            "answered 503",
            "knowledge of keys is too old",
        ];
        assert_tells(&instance.explain("r-1"), &cause);
    });
}

/// A caller does not know whether its grant was given. The target ran it and its answer broke off.
#[test]
fn an_unknown_outcome_leads_to_the_target() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("explain-2").await;
        platform.plain[0].set_fault(Fault::Truncated);
        let caller = Caller::new("key-1");
        let got = caller.call(instance.addr, "POST", "/grants/9", "r-1").await;
        assert_eq!(got.status, 502);
        instance.line("r-1", "RequestRefused").await;
        let cause = [
            "sent to p-1",
            "p-1 failed it: the answer broke off",
            "not run: false",
        ];
        assert_tells(&instance.explain("r-1"), &cause);
    });
}

/// A caller got half of its generation. The engine had said that it leaves, and was gone before
/// the generation could be moved.
#[test]
fn a_cut_generation_leads_to_the_engine_that_left() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("explain-3").await;
        // There is nowhere to go.
        platform.engines[1].crash();
        platform.store.delete_row("servers", "e-2");
        let caller = Caller::new("key-1");
        let resp = caller
            .send(instance.addr, "POST", "/drafts/1", "g-1", 130)
            .await;
        Timer::after(Duration::from_millis(300)).await;
        platform.set_engine_leaving(0);
        Timer::after(Duration::from_millis(500)).await;
        platform.engines[0].crash();
        let got = crate::support::read_answer(resp.expect("an answer")).await;
        assert!(!got.is_complete);
        instance.line("g-1", "StreamCut").await;
        let cause = [
            "sent to e-1",
            "first event",
            "e-1 leaves",
            "cut after event",
        ];
        assert_tells(&instance.explain("g-1"), &cause);
    });
}

/// After a bad hour an operator wants to know what was lost and why, and has only the logs. One call
/// is served, three are refused for want of knowledge, and one never gets an answer.
#[test]
fn losses_are_summed_up_by_cause() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("losses").await;
        let caller = Caller::new("key-1");
        let got = caller.call(instance.addr, "GET", "/titles/9", "r-0").await;
        assert_eq!(got.status, 200);
        platform.plain[0].set_fault(Fault::Truncated);
        let got = caller.call(instance.addr, "POST", "/grants/9", "r-1").await;
        assert_eq!(got.status, 502);
        platform.store.set_down(true);
        Timer::after(Duration::from_millis(2_700)).await;
        for id in ["r-2", "r-3", "r-4"] {
            caller.call(instance.addr, "GET", "/titles/9", id).await;
        }
        instance.line("r-4", "RequestRefused").await;
        let causes = [
            "1  served",
            "3  answered 503: knowledge of keys is too old",
            "1  answered 502: the answer broke off",
        ];
        assert_tells(&instance.losses(), &causes);
    });
}
