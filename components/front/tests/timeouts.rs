//! How long calls to the store are waited for.

use std::time::Duration;

use front::store::timeouts::{READ_TIMEOUT, outage_timeout};

/// The store is silent, and comes back at any moment. A call that was made before is never answered;
/// callers are kept out until the next one is made.
#[test]
fn a_silent_store_is_asked_again_soon() {
    let soon = (0..20).filter(|failures| outage_timeout(*failures) < READ_TIMEOUT);
    assert_eq!(soon.count(), 15);
}

/// The store takes more than a second for each answer. Were every call given up before, nobody
/// would ever know anything again.
#[test]
fn a_store_that_is_slow_is_waited_for_now_and_then() {
    let slow = Duration::from_millis(1_500);
    for failures in 0..20 {
        let next = (failures..failures + 4).find(|failures| outage_timeout(*failures) > slow);
        assert!(next.is_some(), "{failures}");
    }
}
