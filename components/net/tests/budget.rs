//! A memory budget that many bodies share.

use bytes::Bytes;
use net::Budget;

#[test]
fn a_reservation_beyond_the_budget_fails_and_reserves_nothing() {
    // Many callers send bodies that are each within their limit. Together they would take more
    // memory than the machine has.
    let budget = Budget::new(100);
    let (mut one, mut two) = (budget.share(), budget.share());
    assert!(one.grow(60));
    assert!(!two.grow(41));
    assert!(two.grow(40));
    assert_eq!(budget.available(), 0);
}

#[test]
fn a_dropped_share_is_released() {
    let budget = Budget::new(100);
    let mut share = budget.share();
    assert!(share.grow(10) && share.grow(20));
    assert_eq!(budget.available(), 70);
    drop(share);
    assert_eq!(budget.available(), 100);
}

/// Guards against large bodies, or connections alone, that leave no memory for other requests.
#[test]
fn large_holders_and_connections_leave_memory_to_requests() {
    let budget = Budget::new(1 << 20);
    let mut large = budget.share();
    while large.grow(16 << 10) {}
    assert!(budget.available() >= 1 << 18);
    assert!(budget.reserve_connection().is_none());
    let request = budget.reserve_request();
    assert!(request.is_some_and(|mut request| request.grow(16 << 10)));
}

/// Guards against an answer that is no longer counted although a part of it waits for its caller.
#[test]
fn held_bytes_count_until_their_last_slice_is_dropped() {
    let budget = Budget::new(100);
    let mut held = budget.hold(Bytes::from_static(&[0; 60])).expect("room");
    let slice = held.split_to(10);
    assert!(budget.hold(Bytes::from_static(&[0; 60])).is_none());
    drop(held);
    assert_eq!(budget.available(), 40);
    drop(slice);
    assert_eq!(budget.available(), 100);
}
