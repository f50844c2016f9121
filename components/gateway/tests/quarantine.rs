//! Evidence that a target has crashed.

use std::time::Duration;

use gateway::quarantine::shows_crash;
use targets::TargetReport;

fn report(incarnation: u64, age_ms: u64) -> TargetReport {
    TargetReport {
        incarnation,
        age: Duration::from_millis(age_ms),
        running: 0,
        waiting: 0,
        used: 0,
        capacity: 0,
        preemptions: 0,
        warm: false,
    }
}

/// Guards against taking a lagging report, made before the crash, as proof that the target lives: the
/// crash would not count, and the request would go on to crash other targets.
#[test]
fn a_report_from_before_the_loss_does_not_disprove_a_crash() {
    let since_lost = Duration::from_millis(500);
    assert_eq!(shows_crash(&report(1, 501), 1, since_lost), None);
    assert_eq!(shows_crash(&report(1, 499), 1, since_lost), Some(false));
    assert_eq!(shows_crash(&report(2, 800), 1, since_lost), Some(true));
}
