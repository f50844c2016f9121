//! That an engine no longer works on a generation is taken from its own statement only.

use std::{sync::Arc, time::Duration};

use front::{
    KvCopyOutcome, Resume,
    generations::stopping::{Observation, Stopped},
};
use types::ServingState;
use view::Target;

fn engine(id: &str, port: u16) -> Arc<Target> {
    let addr = ([127, 0, 0, 1], port).into();
    Arc::new(Target {
        id: id.into(),
        service: "drafts".into(),
        addr,
        data_centre: "dc-0".into(),
        slots: 24,
        state: ServingState::Live,
        cold_remaining: Duration::ZERO,
        version: "v1".into(),
        weights: Some(1),
        started_at: None,
    })
}

/// Guards against taking a lost answer, a refusal to copy, another copy in progress or a connection that the engine
/// closed for a stop.
#[test]
fn only_a_copy_or_a_statement_of_the_engine_proves_that_it_has_stopped() {
    let (source, to) = (engine("e-1", 1), engine("e-2", 2));
    let of = |outcome| Observation::of(outcome, &source, &to);
    let reason: Arc<str> = "a reason".into();
    for unproven in [
        KvCopyOutcome::NoRoom { copy: None },
        KvCopyOutcome::Busy,
        KvCopyOutcome::Unknown {
            reason: Arc::clone(&reason),
        },
        KvCopyOutcome::Withheld {
            reason: Arc::clone(&reason),
        },
    ] {
        assert!(matches!(of(unproven), Observation::Unknown(_)));
    }
    for is_refused in [false, true] {
        let unreached = KvCopyOutcome::Unreached {
            reason: Arc::clone(&reason),
            is_refused,
        };
        assert_eq!(of(unreached), Observation::Unreached(Arc::clone(&reason)));
    }
    assert_eq!(
        of(KvCopyOutcome::NotRunning),
        Observation::Stopped(Stopped::NotRunning)
    );
    let copied = |at: &Arc<Target>| {
        Observation::Stopped(Stopped::Copied {
            at: Arc::clone(at),
            resume: Resume {
                source: source.addr,
                copy: "c".into(),
                after: None,
            },
        })
    };
    let copy: Arc<str> = "c".into();
    let complete = KvCopyOutcome::Complete {
        copy: Arc::clone(&copy),
    };
    assert_eq!(of(complete), copied(&to));
    let kept = KvCopyOutcome::NoRoom { copy: Some(copy) };
    assert_eq!(of(kept), copied(&source));
}
