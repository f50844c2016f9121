//! The cause of a failed request, found from its id and the logs alone, with real processes.

use std::time::Duration;

use platform_standin::plain::Fault;
use smol::Timer;

use crate::support::{Caller, Platform};

/// Asserts that the output contains these texts in this order.
fn assert_in_order(output: &str, texts: &[&str]) {
    let mut rest = output;
    for text in texts {
        let at = rest.find(text);
        let at = at.unwrap_or_else(|| panic!("{text:?} is missing or out of order in\n{output}"));
        rest = &rest[at + text.len()..];
    }
}

/// A request is refused because the instance lost the store some time before.
#[test]
fn explain_traces_a_refusal_to_the_lost_store() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("explain-1").await;
        platform.store.set_down(true);
        Timer::after(Duration::from_millis(2_700)).await;
        let caller = Caller::new("key-1");
        let got = caller.call(instance.addr, "GET", "/titles/9", "r-1").await;
        assert_eq!(got.status, 503);
        instance.log_line("r-1", "RequestRefused").await;
        let expected = [
            "the store is unavailable: its operator rows can't be followed",
            "answered 503",
            "knowledge of keys is too old",
        ];
        assert_in_order(&instance.explain("r-1"), &expected);
    });
}

/// The target ran a call and its answer broke off, so the caller doesn't know the outcome.
#[test]
fn explain_traces_an_unknown_outcome_to_the_target() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("explain-2").await;
        platform.plain[0].set_fault(Fault::Truncated);
        let caller = Caller::new("key-1");
        let got = caller.call(instance.addr, "POST", "/grants/9", "r-1").await;
        assert_eq!(got.status, 502);
        instance.log_line("r-1", "RequestRefused").await;
        let expected = [
            "sent to p-1",
            "attempt at p-1 failed: the answer broke off",
            "certainly not run: false",
        ];
        assert_in_order(&instance.explain("r-1"), &expected);
    });
}

/// A generation is truncated: its engine announced that it leaves, and ended before the generation
/// could be migrated.
#[test]
fn explain_traces_a_truncated_generation_to_its_leaving_engine() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("explain-3").await;
        // No other engine is left as a destination.
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
        instance.log_line("g-1", "StreamCut").await;
        let expected = [
            "sent to e-1",
            "first event",
            "target e-1 is leaving",
            "truncated after event",
        ];
        assert_in_order(&instance.explain("g-1"), &expected);
    });
}

/// `losses` summarises failures from the logs: one call is served, three are refused because the
/// knowledge of keys is too old, and one gets 502 because its answer broke off.
#[test]
fn losses_are_counted_by_cause() {
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
        instance.log_line("r-4", "RequestRefused").await;
        let expected = [
            "1  served",
            "3  answered 503: knowledge of keys is too old",
            "1  answered 502: the answer broke off",
        ];
        assert_in_order(&instance.losses(), &expected);
    });
}
