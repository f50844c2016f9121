//! Which requests a rate limit lets through, and which of the announcements of a limit holds.

use std::time::Duration;

use rates::{RateAllocator, RateLimits, RateReport, Reservation};
use types::{Moment, TargetId};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn target() -> TargetId {
    "p-1".into()
}

#[test]
fn requests_are_spaced_by_the_limit() {
    let (mut allocator, mut now, mut sent) = (RateAllocator::new(), SECOND, 0);
    while now < SECOND * 21 {
        if allocator.reserve(now, &target(), 4.0, Duration::ZERO) == Reservation::NOW {
            sent += 1;
        }
        now += MS * 10;
    }
    // Three quarters of four a second are allocated, and a small burst.
    assert!((58..=63).contains(&sent), "{sent} in 20 s");
}

/// An instance that has just become the coordinator does not know what its predecessor has
/// allocated. If it started with a burst, the target would get two bursts at once.
#[test]
fn a_new_allocation_starts_without_a_burst() {
    let mut allocator = RateAllocator::new();
    let now: Vec<Reservation> = (0..5)
        .map(|_| allocator.reserve(SECOND, &target(), 4.0, Duration::ZERO))
        .collect();
    assert_eq!(
        now.iter()
            .filter(|reservation| **reservation == Reservation::NOW)
            .count(),
        1
    );
}

/// If all rejected callers were told the same time, they would all retry at once.
#[test]
fn rejected_callers_get_successive_retry_times() {
    let mut allocator = RateAllocator::new();
    let mut retry_after = Vec::new();
    for _ in 0..8 {
        if let Reservation::Rejected { after } =
            allocator.reserve(SECOND, &target(), 4.0, Duration::ZERO)
        {
            retry_after.push(after);
        }
    }
    assert_eq!(retry_after.len(), 7);
    assert!(retry_after.is_sorted_by(|a, b| a < b), "{retry_after:?}");
}

/// A target that announces a limit of zero can raise it only in an answer, so it must still get a
/// request from time to time.
#[test]
fn a_limit_of_zero_still_lets_some_requests_through() {
    let mut allocator = RateAllocator::new();
    let mut seconds =
        (1..100).map(|n| allocator.reserve(SECOND * n, &target(), 0.0, Duration::ZERO));
    assert!(seconds.any(|reservation| reservation == Reservation::NOW));
}

#[test]
fn a_request_may_wait_until_it_can_be_sent() {
    let mut allocator = RateAllocator::new();
    assert_eq!(
        allocator.reserve(SECOND, &target(), 4.0, SECOND),
        Reservation::NOW
    );
    let Reservation::Granted { after } = allocator.reserve(SECOND, &target(), 4.0, SECOND) else {
        panic!("the request can wait");
    };
    assert!(after > Duration::ZERO && after < SECOND);
}

/// An answer without a limit must not end a limit that was announced after its request was sent; a
/// later one must end it and be reported.
#[test]
fn a_limit_ends_with_an_answer_to_a_later_request() {
    let mut limits = RateLimits::new();
    assert!(
        limits
            .observe(SECOND * 2, SECOND, &target(), Some(4.0))
            .is_some()
    );
    // This request was sent before the limit was announced.
    assert!(
        limits
            .observe(SECOND * 3, SECOND, &target(), None)
            .is_none()
    );
    assert_eq!(limits.rate("p-1"), Some(4.0));
    let report = limits
        .observe(SECOND * 4, SECOND * 3, &target(), None)
        .expect("a report");
    assert_eq!((report.rate, limits.rate("p-1")), (None, None));
}

/// A report that arrives late must not override a more recent announcement.
#[test]
fn the_most_recent_announcement_wins() {
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

/// A limit that fluctuates slightly must not be broadcast with each answer.
#[test]
fn small_changes_of_a_limit_are_not_reported() {
    let mut limits = RateLimits::new();
    let mut now: Moment = SECOND;
    let mut reports = 0;
    for rate in [4.0, 4.1, 3.9, 4.2, 3.8] {
        now += SECOND;
        reports += u32::from(limits.observe(now, now, &target(), Some(rate)).is_some());
    }
    assert_eq!(reports, 1);
}
