//! `Retry-After` of an instance whose state is too incomplete to serve callers.

use std::{collections::BTreeSet, time::Duration};

use front::callers::retry_after::retry_after;

const TIME_LEFT: Option<Duration> = Some(Duration::from_secs(36));

/// Guards against a short `Retry-After` during a long outage. All instances were killed while the
/// store was unavailable, so none knew the configuration. Callers that wait for half a minute retry
/// once; told 0.3 s each time, they gave up after the second refusal, 30 s earlier than necessary.
#[test]
fn retry_after_grows_with_the_outage() {
    let after = |outage_ms| retry_after(Duration::from_millis(outage_ms), TIME_LEFT, 0.5);
    assert_eq!(after(10), Duration::from_millis(300));
    assert_eq!(after(6_000), Duration::from_secs(3));
    assert_eq!(after(60_000), Duration::from_secs(10));
}

/// Guards against a retry so late that the caller's time is over before it can be answered.
#[test]
fn callers_retry_while_they_can_still_be_served() {
    let left = Duration::from_millis(1_500);
    for random in [0.0, 0.5, 0.99] {
        let after = retry_after(Duration::from_secs(5), Some(left), random);
        assert!(after <= left / 3, "{after:?}");
    }
}

/// Guards against a burst of retries from callers that were refused in the same second.
#[test]
fn callers_that_were_refused_together_retry_at_different_times() {
    let times: BTreeSet<Duration> = (0..20)
        .map(|n| retry_after(Duration::from_secs(8), TIME_LEFT, f64::from(n) / 20.0))
        .collect();
    assert_eq!(times.len(), 20);
    let first = times.first().copied().unwrap_or_default();
    let last = times.last().copied().unwrap_or_default();
    assert!(
        last - first > Duration::from_secs(1),
        "{first:?} to {last:?}"
    );
}
