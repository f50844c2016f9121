//! What callers are told by an instance that knows too little to serve them.

use std::{collections::BTreeSet, time::Duration};

use front::callers::retry_after::retry_after;

const PATIENT: Option<Duration> = Some(Duration::from_secs(36));

/// All instances were killed while the store is away, and nobody knows the configuration. Callers
/// that wait for half a minute come back once; told 0.3 s each time, they give up after the second
/// refusal, 30 s before they would have had to.
#[test]
fn the_longer_an_outage_lasts_the_later_callers_come_back() {
    let after = |lost| retry_after(Duration::from_millis(lost), PATIENT, 0.5);
    assert_eq!(after(10), Duration::from_millis(300));
    assert_eq!(after(6_000), Duration::from_secs(3));
    assert_eq!(after(60_000), Duration::from_secs(10));
}

/// A caller that is told to come back when its time is nearly over is refused for good.
#[test]
fn callers_come_back_while_they_can_still_be_served() {
    let left = Duration::from_millis(1_500);
    for luck in [0.0, 0.5, 0.99] {
        let after = retry_after(Duration::from_secs(5), Some(left), luck);
        assert!(after <= left / 3, "{after:?}");
    }
}

/// Callers that were refused in the same second would come back in the same second, as a crowd.
#[test]
fn callers_that_were_refused_together_come_back_apart() {
    let times: BTreeSet<Duration> = (0..20)
        .map(|n| retry_after(Duration::from_secs(8), PATIENT, f64::from(n) / 20.0))
        .collect();
    assert_eq!(times.len(), 20);
    let first = times.first().copied().unwrap_or_default();
    let last = times.last().copied().unwrap_or_default();
    assert!(
        last - first > Duration::from_secs(1),
        "{first:?} to {last:?}"
    );
}
