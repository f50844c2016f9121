//! Verdicts of one instance: when a request is suspected, rejected and cleared.

use std::time::Duration;

use quarantine::{
    Evidence, Fingerprint, QuarantineState, Recipients, TargetIncarnation, VerdictKind,
};
use types::Moment;

const SECOND: Duration = Duration::from_secs(1);

fn request() -> Fingerprint {
    Fingerprint::new(&[b"POST", b"a.example", b"/drafts/1", b"editors", b"a body"])
}

fn crash(target: &str, ran_for: Duration) -> Evidence {
    Evidence {
        fingerprint: request(),
        incarnation: TargetIncarnation {
            target: target.into(),
            started_at: Some(1),
        },
        age: Duration::ZERO,
        ran_for,
        earlier: Vec::new(),
    }
}

/// A state in which the request is rejected: three targets crashed while running it, one each
/// second.
fn rejecting() -> (QuarantineState, Moment) {
    let mut state = QuarantineState::new();
    let mut now = SECOND;
    for target in ["e-1", "e-2", "e-3"] {
        now += SECOND;
        state.record_crash(now, crash(target, SECOND / 2));
    }
    assert!(state.rejects(now, &request()));
    (state, now)
}

#[test]
fn a_request_is_rejected_after_three_crashes() {
    let mut state = QuarantineState::new();
    assert!(state.record_crash(SECOND, crash("e-1", SECOND)).is_none());
    let suspected = state.record_crash(SECOND * 3, crash("e-2", SECOND));
    assert_eq!(suspected.expect("a verdict").kind, VerdictKind::Suspected);
    assert!(!state.rejects(SECOND * 4, &request()));
    let rejected = state.record_crash(SECOND * 5, crash("e-3", SECOND));
    assert_eq!(rejected.expect("a verdict").kind, VerdictKind::Rejected);
    assert!(state.rejects(SECOND * 6, &request()));
}

/// Guards against counting one crash once for every instance or attempt that reports it.
#[test]
fn a_crash_of_one_incarnation_counts_once() {
    let mut state = QuarantineState::new();
    for number in 1..9 {
        state.record_crash(SECOND * number, crash("e-1", SECOND / 2));
    }
    assert!(!state.rejects(SECOND * 9, &request()));
}

/// Guards against blaming a frequent request for an outage that takes many targets down at once.
#[test]
fn concurrent_crashes_at_the_same_moment_count_as_one() {
    let mut state = QuarantineState::new();
    for number in 1..9 {
        let at = SECOND + Duration::from_millis(number);
        state.record_crash(at, crash(&format!("e-{number}"), SECOND));
    }
    assert!(!state.rejects(SECOND * 2, &request()));
}

/// Guards against mistaking a request that is retried in quick succession, and crashes one target
/// after the other, for a single outage.
#[test]
fn successive_crashes_count_separately() {
    let mut state = QuarantineState::new();
    for number in 1..4 {
        let at = SECOND + Duration::from_millis(number * 10);
        state.record_crash(at, crash(&format!("e-{number}"), Duration::from_millis(5)));
    }
    assert!(state.rejects(SECOND * 2, &request()));
}

/// Guards against blaming a request that merely ran on the same targets as one that crashes them.
#[test]
fn a_completed_request_is_cleared_of_earlier_crashes() {
    let mut state = QuarantineState::new();
    state.record_crash(SECOND, crash("e-1", SECOND));
    state.record_crash(SECOND * 3, crash("e-2", SECOND));
    let (verdict, recipients) = state
        .record_success(SECOND * 4, &request())
        .expect("a verdict");
    assert_eq!(
        (verdict.kind, recipients),
        (VerdictKind::Cleared, Recipients::Aggregators)
    );
    state.record_crash(SECOND * 5, crash("e-3", SECOND));
    assert!(!state.rejects(SECOND * 6, &request()));
}

/// Guards against a suspicion that only instances which have seen a crash themselves can clear.
#[test]
fn an_instance_without_own_evidence_can_clear_a_suspected_request() {
    let (mut aggregator, mut other) = (QuarantineState::new(), QuarantineState::new());
    aggregator.record_crash(SECOND, crash("e-1", SECOND));
    let suspected = aggregator.record_crash(SECOND * 3, crash("e-2", SECOND));
    assert!(other.apply(SECOND * 3, &suspected.expect("a verdict")));
    let (verdict, recipients) = other
        .record_success(SECOND * 4, &request())
        .expect("a verdict");
    assert_eq!(recipients, Recipients::Aggregators);
    assert!(aggregator.apply(SECOND * 4, &verdict));
    aggregator.record_crash(SECOND * 5, crash("e-3", SECOND));
    assert!(!aggregator.rejects(SECOND * 6, &request()));
}

/// Guards against a rejection that stays in force at other instances after it was disproved, also
/// when an outdated verdict arrives late through a third instance.
#[test]
fn clearing_a_rejected_request_reaches_all_instances() {
    let (mut state, now) = rejecting();
    let mut other = QuarantineState::new();
    state.verdicts(now).iter().for_each(|verdict| {
        assert!(other.apply(now, verdict));
    });
    assert!(other.rejects(now, &request()));
    let (verdict, recipients) = state.record_success(now, &request()).expect("a verdict");
    assert_eq!(recipients, Recipients::All);
    assert!(other.apply(now, &verdict));
    assert!(!other.rejects(now, &request()));
    let (third, _) = rejecting();
    assert!(!other.apply(now, &third.verdicts(now)[0]));
}

/// Guards against a rejection that never expires, and against needing three more crashes each time
/// that it does.
#[test]
fn one_crash_renews_an_expired_rejection_for_twice_as_long() {
    let (mut state, now) = rejecting();
    let first = state.verdicts(now)[0].remaining;
    let later = now + first;
    assert!(!state.rejects(later, &request()));
    let verdict = state.record_crash(later + SECOND, crash("e-4", SECOND));
    let verdict = verdict.expect("a verdict");
    assert_eq!(
        (verdict.kind, verdict.remaining),
        (VerdictKind::Rejected, first * 2)
    );
}

/// Guards against a state that grows with every request that ever crashed a target.
#[test]
fn the_oldest_records_are_evicted_at_the_limit() {
    let mut state = QuarantineState::new();
    for number in 0..10_000_u32 {
        for target in ["e-1", "e-2"] {
            let mut evidence = crash(target, Duration::ZERO);
            evidence.fingerprint = Fingerprint::new(&[&number.to_le_bytes()]);
            state.record_crash(SECOND, evidence);
        }
    }
    assert!(state.verdicts(SECOND).len() <= 4_096);
}

#[test]
fn a_fingerprint_depends_on_the_boundaries_of_parts() {
    let one = Fingerprint::new(&[b"ab", b"c"]);
    assert_ne!(one, Fingerprint::new(&[b"a", b"bc"]));
    assert_eq!(one, Fingerprint::new(&[b"ab", b"c"]));
}

/// Guards against crashes of one attempt's targets that are taken for one crash with a common cause
/// because their reports arrive with different delays.
#[test]
fn crashes_under_runs_of_one_attempt_count_each_whatever_the_delays_of_reports() {
    let mut state = QuarantineState::new();
    let ran_for = Duration::from_millis(2);
    let first = crash("e-1", ran_for);
    let mut second = crash("e-2", ran_for);
    second.earlier = vec![first.incarnation.clone()];
    let mut third = crash("e-3", ran_for);
    third.earlier = vec![first.incarnation.clone(), second.incarnation.clone()];
    // The reports arrive at the same moment, the first one last.
    let now = Duration::from_secs(60);
    assert_eq!(state.record_crash(now, third), None);
    assert!(state.record_crash(now, second).is_some());
    let verdict = state.record_crash(now, first);
    assert_eq!(verdict.map(|v| v.kind), Some(VerdictKind::Rejected));
}
