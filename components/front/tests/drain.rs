//! The times of a planned stop.

use std::time::Duration;

use front::callers::drain::DrainSchedule;
use proptest::prelude::*;

/// Time that may pass before a signal is noticed, and after the last answer.
const AROUND: Duration = Duration::from_millis(100);

proptest! {
    /// Guards against a process that is killed in the middle of its last answers.
    #[test]
    fn a_stop_ends_within_its_grace(millis in 200_u64..120_000) {
        let grace = Duration::from_millis(millis);
        let due = DrainSchedule::new(grace);
        prop_assert!(due.answer + AROUND < grace, "{:?}", due);
    }

    /// Guards against a stop that takes connections until nothing is left to answer them.
    #[test]
    fn what_is_taken_last_has_time_to_be_served(millis in 200_u64..120_000) {
        let due = DrainSchedule::new(Duration::from_millis(millis));
        prop_assert!(due.linger * 3 / 2 < due.serve, "{:?}", due);
        prop_assert!(due.serve < due.answer, "{:?}", due);
    }
}
