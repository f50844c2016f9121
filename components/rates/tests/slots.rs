//! What is made of the rates that targets name.

use std::time::Duration;

use rates::{Limits, Slot, Slots, Word};
use types::{Moment, TargetId};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn target() -> TargetId {
    "p-1".into()
}

#[test]
fn slots_of_a_rate_follow_one_another() {
    let (mut slots, mut now, mut sent) = (Slots::new(), SECOND, 0);
    while now < SECOND * 21 {
        if slots.take(now, &target(), 4.0, Duration::ZERO) == Slot::NOW {
            sent += 1;
        }
        now += MS * 10;
    }
    // Three quarters of four a second, and a small burst.
    assert!((58..=63).contains(&sent), "{sent} in 20 s");
}

/// Guards against an account that begins with a burst although another one was just used up.
#[test]
fn a_new_account_hands_out_one_slot_at_first() {
    let mut slots = Slots::new();
    let now: Vec<Slot> = (0..5)
        .map(|_| slots.take(SECOND, &target(), 4.0, Duration::ZERO))
        .collect();
    assert_eq!(now.iter().filter(|slot| **slot == Slot::NOW).count(), 1);
}

/// Guards against callers who are all told the same time to come back.
#[test]
fn refused_callers_are_told_times_one_after_the_other() {
    let mut slots = Slots::new();
    let mut told = Vec::new();
    for _ in 0..8 {
        if let Slot::Full { after } = slots.take(SECOND, &target(), 4.0, Duration::ZERO) {
            told.push(after);
        }
    }
    assert_eq!(told.len(), 7);
    assert!(told.is_sorted_by(|a, b| a < b), "{told:?}");
}

/// Guards against a target that takes nothing at all and so can never say that its need is over.
#[test]
fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let mut slots = Slots::new();
    let mut seconds = (1..100).map(|n| slots.take(SECOND * n, &target(), 0.0, Duration::ZERO));
    assert!(seconds.any(|slot| slot == Slot::NOW));
}

#[test]
fn a_request_may_wait_for_its_slot() {
    let mut slots = Slots::new();
    assert_eq!(slots.take(SECOND, &target(), 4.0, SECOND), Slot::NOW);
    let Slot::At { after } = slots.take(SECOND, &target(), 4.0, SECOND) else {
        panic!("it can wait");
    };
    assert!(after > Duration::ZERO && after < SECOND);
}

/// Guards against an end of need that an older answer brings, or that nobody is told.
#[test]
fn a_need_ends_with_an_answer_to_a_later_request() {
    let mut limits = Limits::new();
    assert!(
        limits
            .heard(SECOND * 2, SECOND, &target(), Some(4.0))
            .is_some()
    );
    // Sent before the other answer came.
    assert!(limits.heard(SECOND * 3, SECOND, &target(), None).is_none());
    assert_eq!(limits.rate("p-1"), Some(4.0));
    let word = limits
        .heard(SECOND * 4, SECOND * 3, &target(), None)
        .expect("a word");
    assert_eq!((word.rate, limits.rate("p-1")), (None, None));
}

/// Guards against old word that overrules what a target has said since.
#[test]
fn the_newest_word_of_a_target_holds() {
    let mut limits = Limits::new();
    limits.heard(SECOND * 5, SECOND * 4, &target(), Some(4.0));
    let old = Word {
        target: target(),
        rate: None,
        age: SECOND,
    };
    assert!(!limits.learn(SECOND * 5, &old));
    let new = Word {
        age: Duration::ZERO,
        ..old
    };
    assert!(limits.learn(SECOND * 6, &new));
    assert_eq!(limits.rate("p-1"), None);
}

/// Guards against word to all with each answer of a target whose limit hardly changes.
#[test]
fn small_changes_of_a_rate_are_no_news() {
    let mut limits = Limits::new();
    let mut now: Moment = SECOND;
    let mut news = 0;
    for rate in [4.0, 4.1, 3.9, 4.2, 3.8] {
        now += SECOND;
        news += u32::from(limits.heard(now, now, &target(), Some(rate)).is_some());
    }
    assert_eq!(news, 1);
}
