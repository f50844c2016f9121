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
        let schedule = DrainSchedule::new(grace);
        prop_assert!(schedule.answer + AROUND < grace, "{:?}", schedule);
    }

    /// Guards against a stop that takes connections until nothing is left to answer them.
    #[test]
    fn what_is_taken_last_has_time_to_be_served(millis in 200_u64..120_000) {
        let schedule = DrainSchedule::new(Duration::from_millis(millis));
        prop_assert!(schedule.accept * 3 / 2 < schedule.serve, "{:?}", schedule);
        prop_assert!(schedule.serve < schedule.answer, "{:?}", schedule);
    }
}
