//! Diagnosis of streams without events.

use std::time::Duration;

use front::{
    EngineReport, EngineState, GenerationReport,
    generations::idle::{Diagnosis, IDLE_TIMEOUT, IdleMonitor, Observation},
};
use placing::LoadReport;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);

fn report(events: u64) -> EngineReport {
    EngineReport {
        started_at: None,
        state: EngineState::Ready,
        load: LoadReport::default(),
        generations: vec![GenerationReport {
            generation: "g-1".into(),
            events,
        }],
    }
}

fn observe(
    monitor: &mut IdleMonitor,
    listed: bool,
    report: Option<&EngineReport>,
    events_received: u64,
) -> Diagnosis {
    let observation = Observation {
        listed,
        report,
        events_received,
    };
    monitor.observe(NOW, "g-1", &observation)
}

/// Guards against giving up generations because this instance's own link is down and no engine
/// answers: their streams continue as soon as the link is back.
#[test]
fn a_listed_engine_that_does_not_answer_is_waited_for() {
    let mut monitor = IdleMonitor::new(NOW);
    for _ in 0..20 {
        assert_eq!(observe(&mut monitor, true, None, 7), Diagnosis::Wait);
    }
}

/// Guards against callers that wait until their timeouts for an engine that has crashed.
#[test]
fn an_engine_that_is_not_listed_and_does_not_answer_is_gone() {
    let mut monitor = IdleMonitor::new(NOW);
    assert_eq!(observe(&mut monitor, false, None, 7), Diagnosis::Wait);
    assert_eq!(observe(&mut monitor, false, None, 7), Diagnosis::EngineGone);
    // An engine that is no longer listed but answers is still running.
    let answer = report(7);
    assert_eq!(
        observe(&mut monitor, false, Some(&answer), 7),
        Diagnosis::Wait
    );
}

/// Guards against waiting for events that a dead connection will never deliver while the engine
/// continues. A single report with more events may only reflect a short delay.
#[test]
fn events_that_do_not_arrive_are_a_lost_connection() {
    let mut monitor = IdleMonitor::new(NOW);
    let answer = report(30);
    assert_eq!(
        observe(&mut monitor, true, Some(&answer), 7),
        Diagnosis::Wait
    );
    assert_eq!(
        observe(&mut monitor, true, Some(&answer), 7),
        Diagnosis::ConnectionLost
    );
}

/// Guards against giving up an engine that is slow or prefills a prompt again: it has generated no
/// more events than have been received.
#[test]
fn an_engine_without_new_events_is_waited_for() {
    let mut monitor = IdleMonitor::new(NOW);
    let answer = report(7);
    for _ in 0..20 {
        assert_eq!(
            observe(&mut monitor, true, Some(&answer), 7),
            Diagnosis::Wait
        );
    }
}

proptest! {
    /// Guards against a diagnosis that counts observations from before the last bytes arrived.
    #[test]
    fn bytes_that_arrive_reset_the_monitor(
        reported in prop::collection::vec(0..50_u64, 0..6), received in 0..50_u64,
    ) {
        let mut monitor = IdleMonitor::new(NOW);
        for events in reported {
            let _ = observe(&mut monitor, true, Some(&report(events)), received);
        }
        monitor.reset(NOW);
        prop_assert_eq!(monitor.next_report_at(), NOW + IDLE_TIMEOUT);
        prop_assert_eq!(
            observe(&mut monitor, true, Some(&report(received + 1)), received),
            Diagnosis::Wait
        );
    }
}
