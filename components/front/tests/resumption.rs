//! Many short generations on engines that crash: what becomes of those that an engine fails.

use std::{cell::Cell, time::Duration};

use front::generations::resumption::{Cause, Decision, GiveUp, Interruption, Position, patience};

/// A generation on a route that allows two engines, which the first one failed after event 7.
const INTERRUPTED: Interruption = Interruption {
    is_resumable: true,
    position: Position::After(7),
    runs: 1,
    max_runs: 2,
    time_left: Duration::from_secs(3),
    is_quarantined: false,
};

/// Decides with an ample budget; returns the decision and the retries taken.
fn decide(interruption: Interruption) -> (Decision, u32) {
    let taken = Cell::new(0);
    let decision = interruption.decide(|| {
        taken.set(taken.get() + 1);
        true
    });
    (decision, taken.get())
}

/// Guards against events that are missing or come twice after an engine crashed in the middle of a stream.
#[test]
fn a_stream_that_an_engine_lost_goes_on_after_the_last_event_of_its_caller() {
    assert_eq!(decide(INTERRUPTED), (Decision::Resume { after: 7 }, 1));
}

/// Guards against a failure for a caller whose engine crashed while it still read the prompt.
#[test]
fn a_generation_that_was_lost_before_its_first_event_runs_from_the_start() {
    let lost = Interruption {
        position: Position::Start,
        ..INTERRUPTED
    };
    assert_eq!(decide(lost), (Decision::Restart, 1));
}

/// Guards against second runs of requests that may run only once.
#[test]
fn a_generation_of_a_route_that_is_not_resumable_ends() {
    for position in [Position::Start, Position::After(7)] {
        let lost = Interruption {
            is_resumable: false,
            position,
            ..INTERRUPTED
        };
        assert_eq!(decide(lost), (Decision::GiveUp(GiveUp::NotResumable), 0));
    }
}

/// Guards against streams that are put together although nobody knows where the first part ended.
#[test]
fn a_stream_without_event_ids_ends() {
    let lost = Interruption {
        position: Position::Unknown,
        ..INTERRUPTED
    };
    assert_eq!(decide(lost), (Decision::GiveUp(GiveUp::NoPosition), 0));
}

/// Guards against a request that crashes one engine after the other.
#[test]
fn a_generation_runs_on_no_more_engines_than_its_route_allows() {
    for max_runs in 0..4 {
        for runs in 0..5 {
            let lost = Interruption {
                runs,
                max_runs,
                ..INTERRUPTED
            };
            let expected = if runs < max_runs {
                (Decision::Resume { after: 7 }, 1)
            } else {
                (Decision::GiveUp(GiveUp::EnginesUsedUp), 0)
            };
            assert_eq!(decide(lost), expected, "{runs} of {max_runs}");
        }
    }
    let quarantined = Interruption {
        is_quarantined: true,
        ..INTERRUPTED
    };
    let expected = (Decision::GiveUp(GiveUp::Quarantined), 0);
    assert_eq!(decide(quarantined), expected);
}

/// Guards against engines that work for a caller whose deadline has passed.
#[test]
fn a_generation_without_time_left_ends() {
    let late = Interruption {
        time_left: Duration::ZERO,
        ..INTERRUPTED
    };
    assert_eq!(decide(late), (Decision::GiveUp(GiveUp::NoTimeLeft), 0));
}

/// Guards against retries that keep a service down: half of the engines crash under 100 streams, and the
/// budget is enough for 20.
#[test]
fn no_more_streams_go_on_than_the_budget_has_retries() {
    let budget = Cell::new(20);
    let outcomes = (0..100).map(|number| {
        let lost = Interruption {
            runs: 1 + number % 2,
            ..INTERRUPTED
        };
        lost.decide(|| {
            let left = budget.get();
            budget.set(left - i32::from(left > 0));
            left > 0
        })
    });
    let outcomes: Vec<Decision> = outcomes.collect();
    let count = |of: Decision| outcomes.iter().filter(|outcome| **outcome == of).count();
    // Those that could not go on anyway have taken nothing from the budget.
    assert_eq!(count(Decision::Resume { after: 7 }), 20);
    assert_eq!(count(Decision::GiveUp(GiveUp::BudgetUsedUp)), 30);
    assert_eq!(count(Decision::GiveUp(GiveUp::EnginesUsedUp)), 50);
}

/// Guards against a search for an engine that outlasts the caller.
#[test]
fn a_caller_waits_for_the_next_event_no_longer_than_for_its_answer() {
    let (second, minute) = (Duration::from_secs(1), Duration::from_secs(60));
    assert_eq!(patience(4 * second, minute), 4 * second);
    assert_eq!(patience(second / 2, minute), 2 * second);
    assert_eq!(patience(4 * second, second), second);
}

/// Guards against metrics that can't be told apart.
#[test]
fn every_cause_has_a_label_of_its_own() {
    let causes = [
        Cause::ConnectionLost,
        Cause::EngineGone,
        Cause::ServerError,
        Cause::TimedOut,
        Cause::Truncated,
    ];
    let labels: std::collections::BTreeSet<_> = causes.map(Cause::label).into();
    assert_eq!(labels.len(), causes.len());
}
