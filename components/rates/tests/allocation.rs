//! What is made of the rates that targets name.

use std::time::Duration;

use rates::{RateAllocator, RateLimits, RateReport, Reservation};
use types::{Moment, TargetId};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn target() -> TargetId {
    "p-1".into()
}

#[test]
fn slots_of_a_rate_follow_one_another() {
    let (mut slots, mut now, mut sent) = (RateAllocator::new(), SECOND, 0);
    while now < SECOND * 21 {
        if slots.reserve(now, &target(), 4.0, Duration::ZERO) == Reservation::NOW {
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
    let mut slots = RateAllocator::new();
    let now: Vec<Reservation> = (0..5)
        .map(|_| slots.reserve(SECOND, &target(), 4.0, Duration::ZERO))
        .collect();
    assert_eq!(
        now.iter().filter(|slot| **slot == Reservation::NOW).count(),
        1
    );
}

/// Guards against callers who are all told the same time to come back.
#[test]
fn refused_callers_are_told_times_one_after_the_other() {
    let mut slots = RateAllocator::new();
    let mut told = Vec::new();
    for _ in 0..8 {
        if let Reservation::Rejected { after } =
            slots.reserve(SECOND, &target(), 4.0, Duration::ZERO)
        {
            told.push(after);
        }
    }
    assert_eq!(told.len(), 7);
    assert!(told.is_sorted_by(|a, b| a < b), "{told:?}");
}

/// Guards against a target that takes nothing at all and so can never say that its need is over.
#[test]
fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let mut slots = RateAllocator::new();
    let mut seconds = (1..100).map(|n| slots.reserve(SECOND * n, &target(), 0.0, Duration::ZERO));
    assert!(seconds.any(|slot| slot == Reservation::NOW));
}

#[test]
fn a_request_may_wait_for_its_slot() {
    let mut slots = RateAllocator::new();
    assert_eq!(
        slots.reserve(SECOND, &target(), 4.0, SECOND),
        Reservation::NOW
    );
    let Reservation::Granted { after } = slots.reserve(SECOND, &target(), 4.0, SECOND) else {
        panic!("it can wait");
    };
    assert!(after > Duration::ZERO && after < SECOND);
}

/// Guards against an end of need that an older answer brings, or that nobody is told.
#[test]
fn a_need_ends_with_an_answer_to_a_later_request() {
    let mut limits = RateLimits::new();
    assert!(
        limits
            .observe(SECOND * 2, SECOND, &target(), Some(4.0))
            .is_some()
    );
    // Sent before the other answer came.
    assert!(
        limits
            .observe(SECOND * 3, SECOND, &target(), None)
            .is_none()
    );
    assert_eq!(limits.rate("p-1"), Some(4.0));
    let word = limits
        .observe(SECOND * 4, SECOND * 3, &target(), None)
        .expect("a word");
    assert_eq!((word.rate, limits.rate("p-1")), (None, None));
}

/// Guards against old word that overrules what a target has said since.
#[test]
fn the_newest_word_of_a_target_holds() {
    let mut limits = RateLimits::new();
    limits.observe(SECOND * 5, SECOND * 4, &target(), Some(4.0));
    let old = RateReport {
        target: target(),
        rate: None,
        age: SECOND,
    };
    assert!(!limits.apply(SECOND * 5, &old));
    let new = RateReport {
        age: Duration::ZERO,
        ..old
    };
    assert!(limits.apply(SECOND * 6, &new));
    assert_eq!(limits.rate("p-1"), None);
}

/// Guards against word to all with each answer of a target whose limit hardly changes.
#[test]
fn small_changes_of_a_rate_are_no_news() {
    let mut limits = RateLimits::new();
    let mut now: Moment = SECOND;
    let mut news = 0;
    for rate in [4.0, 4.1, 3.9, 4.2, 3.8] {
        now += SECOND;
        news += u32::from(limits.observe(now, now, &target(), Some(rate)).is_some());
    }
    assert_eq!(news, 1);
}
