//! Time limits for consecutive waits.

use std::{future, time::Duration};

use smol::Timer;
use timer::ReusableTimeout;

const LONG: Duration = Duration::from_secs(3600);
const SHORT: Duration = Duration::from_millis(20);

#[test]
fn a_wait_that_completes_in_time_returns_its_result() {
    smol::block_on(async {
        let mut timeout = ReusableTimeout::new();
        for number in 0..5 {
            let task = async {
                Timer::after(SHORT / 10).await;
                number
            };
            assert_eq!(timeout.within(LONG, task).await, Some(number));
        }
    });
}

#[test]
fn a_short_limit_after_a_long_one_applies_in_time() {
    // A stream has a long limit for its first token and a short one for each other token. If the
    // first limit stayed in effect, a stalled connection would be detected an hour late.
    smol::block_on(async {
        let mut timeout = ReusableTimeout::new();
        let task = Timer::after(SHORT / 10);
        assert!(timeout.within(LONG, task).await.is_some());
        assert!(
            timeout
                .within(SHORT, future::pending::<()>())
                .await
                .is_none()
        );
        assert!(
            timeout
                .within(SHORT, future::pending::<()>())
                .await
                .is_none()
        );
    });
}

#[test]
fn a_long_limit_after_a_short_one_does_not_apply_early() {
    // The timer that was set for the wait before fires during this one. If that counted as its
    // time limit, a working connection would be dropped.
    smol::block_on(async {
        let mut timeout = ReusableTimeout::new();
        let task = Timer::after(SHORT / 10);
        assert!(timeout.within(SHORT * 5, task).await.is_some());
        let task = Timer::after(SHORT * 10);
        assert!(timeout.within(LONG, task).await.is_some());
    });
}
