//! Timeouts of calls to the store during an outage.

use std::time::Duration;

use front::store::timeouts::{READ_TIMEOUT, outage_timeout};

/// After an outage the store does not answer calls that were made before its end. Callers are
/// refused until the next call, so most timeouts must be short.
#[test]
fn most_timeouts_during_an_outage_are_short() {
    let short = (0..20).filter(|failures| outage_timeout(*failures) < READ_TIMEOUT);
    assert_eq!(short.count(), 15);
}

/// If the store takes more than a second for each answer and each call is given up before, no
/// instance ever gets an answer.
#[test]
fn some_timeouts_during_an_outage_are_long_enough_for_a_slow_store() {
    let slow = Duration::from_millis(1_500);
    for failures in 0..20 {
        let next = (failures..failures + 4).find(|failures| outage_timeout(*failures) > slow);
        assert!(next.is_some(), "{failures}");
    }
}
