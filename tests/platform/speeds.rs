//! Plain targets on machines that turn slow for moments, which their answers tell.

use std::time::Duration;

use platform_standin::speed::Speed;

use crate::support::{Caller, Platform};

/// Calls of the test.
const CALLS: usize = 40;
/// How long each moment is.
const MOMENT: Duration = Duration::from_millis(100);

/// A machine on which work takes this multiple of the usual time at every moment.
fn steady(slow_factor: f64) -> Option<Speed> {
    Some(Speed {
        own_factor: 1.0,
        slow_factor,
        slow_for: MOMENT,
        every: MOMENT,
    })
}

/// Guards against calls that wait at the target of their own data centre while another one is quick.
#[test]
fn calls_go_past_a_local_target_whose_work_takes_long_at_the_moment() {
    smol::block_on(async {
        let platform = Platform::start().await;
        let instance = platform.instance("speeds").await;
        platform.plain[0].machine().set_speed(steady(8.0));
        platform.plain[1].machine().set_speed(steady(1.0));
        let caller = Caller::new("key-1");
        for number in 0..CALLS {
            let id = format!("speed-{number}");
            let got = caller.call(instance.addr, "GET", "/titles/1", &id).await;
            assert_eq!(got.status, 200, "{got:?}");
        }
        let local = platform.plain[0].run_count();
        assert!(local * 4 < CALLS, "{local} of {CALLS}");
        instance.first_logged_at("SlowTargetPassedOver").await;
    });
}
