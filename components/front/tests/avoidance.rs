//! Engines that are avoided because they lose generations one after the other.

use std::time::Duration;

use front::generations::avoidance::AvoidedEngines;
use types::{Moment, TargetId};

const NOW: Moment = Duration::from_secs(100);

fn engine() -> TargetId {
    "e-1".into()
}

/// Guards against generations that go again and again to an engine which closes each connection.
#[test]
fn an_engine_is_avoided_after_a_few_losses_in_a_row_and_for_longer_each_time() {
    let mut avoided = AvoidedEngines::new();
    assert!(avoided.is_empty());
    for _ in 0..2 {
        assert_eq!(avoided.record_loss(NOW, &engine()), None);
        assert!(!avoided.is_avoided(NOW, "e-1"));
    }
    let mut now = NOW;
    let mut before = Duration::ZERO;
    for _ in 0..40 {
        let time = avoided.record_loss(now, &engine()).expect("it is avoided");
        assert!(time >= before && time <= Duration::from_secs(8), "{time:?}");
        assert!(avoided.is_avoided(now, "e-1"));
        assert!(!avoided.is_avoided(now, "e-2"));
        now += time;
        assert!(!avoided.is_avoided(now, "e-1"));
        before = time;
    }
    assert_eq!(before, Duration::from_secs(8));
}

#[test]
fn an_engine_that_answers_is_no_longer_avoided() {
    let mut avoided = AvoidedEngines::new();
    for _ in 0..5 {
        avoided.record_loss(NOW, &engine());
    }
    avoided.record_answer(&engine());
    assert!(avoided.is_empty() && !avoided.is_avoided(NOW, "e-1"));
    assert_eq!(avoided.record_loss(NOW, &engine()), None);
}

#[test]
fn engines_that_are_gone_are_forgotten() {
    let mut avoided = AvoidedEngines::new();
    avoided.record_loss(NOW, &engine());
    avoided.retain(|_| false);
    assert!(avoided.is_empty());
}
