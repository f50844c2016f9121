//! What is made of a stream that has fallen silent.

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
    said: Option<&EngineReport>,
    events_received: u64,
) -> Diagnosis {
    let observation = Observation {
        listed,
        report: said,
        events_received,
    };
    monitor.observe(NOW, "g-1", &observation)
}

/// Our own link is cut, and no engine answers. Given up on that ground alone, generations would be
/// lost that go on as soon as the link is back.
#[test]
fn an_engine_that_is_listed_and_does_not_answer_is_waited_for() {
    let mut monitor = IdleMonitor::new(NOW);
    for _ in 0..20 {
        assert_eq!(observe(&mut monitor, true, None, 7), Diagnosis::Wait);
    }
}

/// An engine died without a word. Once its listing is gone too, its callers wait in vain.
#[test]
fn an_engine_that_is_neither_listed_nor_answers_is_gone() {
    let mut monitor = IdleMonitor::new(NOW);
    assert_eq!(observe(&mut monitor, false, None, 7), Diagnosis::Wait);
    assert_eq!(observe(&mut monitor, false, None, 7), Diagnosis::EngineGone);
    // One that has left the list and serves on is not.
    let said = report(7);
    assert_eq!(
        observe(&mut monitor, false, Some(&said), 7),
        Diagnosis::Wait
    );
}

/// A connection fell silent while its engine goes on. One report alone may be a moment's delay.
#[test]
fn events_that_were_made_and_do_not_arrive_are_fetched() {
    let mut monitor = IdleMonitor::new(NOW);
    let said = report(30);
    assert_eq!(observe(&mut monitor, true, Some(&said), 7), Diagnosis::Wait);
    assert_eq!(
        observe(&mut monitor, true, Some(&said), 7),
        Diagnosis::ConnectionLost
    );
}

/// An engine reads a prompt anew, or is slow: it has made what has arrived.
#[test]
fn an_engine_that_makes_nothing_is_waited_for() {
    let mut monitor = IdleMonitor::new(NOW);
    let said = report(7);
    for _ in 0..20 {
        assert_eq!(observe(&mut monitor, true, Some(&said), 7), Diagnosis::Wait);
    }
}

proptest! {
    /// Whatever came before, a stream that is heard again is not judged by its former silence.
    #[test]
    fn what_is_heard_begins_anew(made in prop::collection::vec(0..50_u64, 0..6), received in 0..50_u64) {
        let mut monitor = IdleMonitor::new(NOW);
        for events in made {
            let _ = observe(&mut monitor, true, Some(&report(events)), received);
        }
        monitor.reset(NOW);
        prop_assert_eq!(monitor.next_report_at(), NOW + IDLE_TIMEOUT);
        prop_assert_eq!(observe(&mut monitor, true, Some(&report(received + 1)), received), Diagnosis::Wait);
    }
}
