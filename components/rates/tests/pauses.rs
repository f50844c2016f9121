//! Pauses that targets ask one instance for.

use std::time::Duration;

use proptest::prelude::*;
use rates::Pauses;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a second, shorter pause that cuts the first one short.
#[test]
fn the_pause_that_ends_last_counts() {
    let mut pauses = Pauses::new();
    let target = "t".into();
    assert!(pauses.record(SECOND, &target, Some(1), SECOND * 3));
    assert!(!pauses.record(SECOND * 2, &target, Some(1), SECOND));
    assert_eq!(pauses.left(SECOND * 3, "t", Some(1)), Some(SECOND));
    assert!(pauses.record(SECOND * 3, &target, Some(1), SECOND * 4));
    assert_eq!(pauses.left(SECOND * 6, "t", Some(1)), Some(SECOND));
    assert_eq!(pauses.left(SECOND * 7, "t", Some(1)), None);
    assert!(pauses.is_empty(SECOND * 7));
}

/// Guards against a pause that outlives the process that asked for it.
#[test]
fn a_pause_ends_with_its_incarnation() {
    let mut pauses = Pauses::new();
    pauses.record(SECOND, &"t".into(), Some(1), SECOND * 9);
    assert_eq!(pauses.left(SECOND * 2, "t", Some(2)), None);
    assert!(pauses.left(SECOND * 2, "t", Some(1)).is_some());
    assert!(pauses.left(SECOND * 2, "other", Some(1)).is_none());
}

/// Guards against an overflow where a target names a huge time.
#[test]
fn a_huge_pause_does_not_overflow() {
    let mut pauses = Pauses::new();
    pauses.record(SECOND, &"t".into(), None, Duration::MAX);
    assert!(pauses.left(SECOND * 2, "t", None).is_some());
}

proptest! {
    /// Guards against sending in the time for which any of several rejections asked for none.
    #[test]
    fn nothing_is_allowed_before_the_end_of_each_pause(
        rejections in prop::collection::vec((0_u64..5_000, 0_u64..4_000), 1..12),
        asked_at in 0_u64..12_000,
    ) {
        let mut pauses = Pauses::new();
        let mut sorted = rejections;
        sorted.sort_unstable();
        let known: Vec<_> = sorted.into_iter().filter(|(at, _)| *at <= asked_at).collect();
        for (at, pause) in &known {
            let (at, pause) = (Duration::from_millis(*at), Duration::from_millis(*pause));
            pauses.record(at, &"t".into(), Some(1), pause);
        }
        let end = known.iter().map(|(at, pause)| at + pause).max().unwrap_or_default();
        let left = pauses.left(Duration::from_millis(asked_at), "t", Some(1));
        prop_assert_eq!(left, (end > asked_at).then(|| Duration::from_millis(end - asked_at)));
    }
}
