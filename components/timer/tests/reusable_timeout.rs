//! Limits on one wait after the other.

use std::{future, time::Duration};

use smol::Timer;
use timer::ReusableTimeout;

const LONG: Duration = Duration::from_secs(3600);
const SHORT: Duration = Duration::from_millis(20);

#[test]
fn a_wait_that_ends_in_time_gives_its_result() {
    smol::block_on(async {
        let mut alarm = ReusableTimeout::new();
        for number in 0..5 {
            let task = async {
                Timer::after(SHORT / 10).await;
                number
            };
            assert_eq!(alarm.within(LONG, task).await, Some(number));
        }
    });
}

#[test]
fn a_short_wait_after_a_long_one_is_cut_in_time() {
    // A stream waits long for its first token and then shortly for each other one. Were the
    // first limit left standing, a silent link would be found an hour late.
    smol::block_on(async {
        let mut alarm = ReusableTimeout::new();
        let task = Timer::after(SHORT / 10);
        assert!(alarm.within(LONG, task).await.is_some());
        assert!(alarm.within(SHORT, future::pending::<()>()).await.is_none());
        assert!(alarm.within(SHORT, future::pending::<()>()).await.is_none());
    });
}

#[test]
fn a_long_wait_after_a_short_one_is_not_cut_early() {
    // The timer that is still set for the wait before goes off in the middle of this one. Taken
    // for its end, a good link would be given up.
    smol::block_on(async {
        let mut alarm = ReusableTimeout::new();
        let task = Timer::after(SHORT / 10);
        assert!(alarm.within(SHORT * 5, task).await.is_some());
        let task = Timer::after(SHORT * 10);
        assert!(alarm.within(LONG, task).await.is_some());
    });
}
