//! A memory budget that many bodies share.

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
