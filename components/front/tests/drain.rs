//! Deadlines of a graceful shutdown.

use std::time::Duration;

use front::callers::drain::DrainSchedule;
use proptest::prelude::*;

/// Time that must be left for the delay of the signal and for messages after the last answer.
const RESERVE: Duration = Duration::from_millis(100);

proptest! {
    /// Guards against a process that is killed while it sends its last answers.
    #[test]
    fn a_shutdown_ends_within_the_grace_period(millis in 200_u64..120_000) {
        let grace = Duration::from_millis(millis);
        let schedule = DrainSchedule::new(grace);
        prop_assert!(schedule.answer + RESERVE < grace, "{:?}", schedule);
    }

    /// Guards against accepting connections for so long that no time is left to serve them.
    #[test]
    fn the_last_accepted_requests_have_time_to_be_served(millis in 200_u64..120_000) {
        let schedule = DrainSchedule::new(Duration::from_millis(millis));
        prop_assert!(schedule.accept * 3 / 2 < schedule.serve, "{:?}", schedule);
        prop_assert!(schedule.serve < schedule.answer, "{:?}", schedule);
    }
}
