//! Verdicts of one instance on parts of prompts.

use std::time::Duration;

use quarantine::{
    Assessment, Fingerprint, PartEvidence, PartQuarantine, PartVerdict, TargetIncarnation,
    VerdictKind,
};
use types::Moment;

const SECOND: Duration = Duration::from_secs(1);

fn part(name: &str) -> Fingerprint {
    Fingerprint::new(&[name.as_bytes()])
}

fn parts(names: &[&str]) -> Vec<Fingerprint> {
    names.iter().map(|name| part(name)).collect()
}

fn crash(target: &str, names: &[&str]) -> PartEvidence {
    PartEvidence {
        service: "drafts".into(),
        parts: parts(names),
        incarnation: TargetIncarnation {
            target: target.into(),
            started_at: Some(1),
        },
        age: Duration::ZERO,
        ran_for: SECOND / 2,
        request: None,
    }
}

/// The same for one of the requests that the target was running.
fn crash_under(target: &str, names: &[&str], request: &str) -> PartEvidence {
    PartEvidence {
        request: Some(part(request)),
        ..crash(target, names)
    }
}

/// A state in which three targets crashed, one each second, under requests with the part `bad`.
fn rejecting() -> (PartQuarantine, Moment) {
    let mut state = PartQuarantine::new();
    for (number, own) in (1..).zip(["m1", "m2", "m3"]) {
        let target = format!("e-{number}");
        state.record_crash(SECOND * number, &crash(&target, &["first", "bad", own]));
    }
    (state, SECOND * 4)
}

fn verdict_on(state: &PartQuarantine, now: Moment, name: &str) -> Option<PartVerdict> {
    let mut verdicts = state.verdicts(now).into_iter();
    verdicts.find(|verdict| verdict.part == part(name))
}

#[test]
fn a_part_is_rejected_after_three_crashes_whatever_else_the_requests_hold() {
    let (state, now) = rejecting();
    let assess = |names: &[&str]| state.assess(now, &parts(names));
    assert!(matches!(
        assess(&["first", "bad", "m4"]),
        Assessment::Rejected(_)
    ));
    assert_eq!(assess(&["other", "m1"]), Assessment::Admitted);
    // The first part may be the cause as well, or not.
    assert_eq!(
        assess(&["first", "m5"]),
        Assessment::Ambiguous(part("first"))
    );
    assert_eq!(
        assess(&["other", "bad"]),
        Assessment::Ambiguous(part("bad"))
    );
}

/// Guards against an outage of all requests that share a part with crashing ones.
#[test]
fn a_sound_run_clears_its_parts_and_leaves_the_rest_rejected() {
    let (mut state, now) = rejecting();
    assert!(state.try_probe(now, &"drafts".into()));
    let cleared = state.record_sound(now + SECOND, &parts(&["first", "m5"]), now);
    assert_eq!(cleared.len(), 1);
    let assess = |names: &[&str]| state.assess(now + SECOND, &parts(names));
    assert_eq!(assess(&["first", "m5"]), Assessment::Admitted);
    assert!(matches!(assess(&["other", "bad"]), Assessment::Rejected(_)));
}

/// Guards against an outage of all requests that share a part with those beside which two requests without
/// parts crashed their targets.
#[test]
fn a_part_is_not_rejected_outright_if_two_requests_explain_its_crashes() {
    for is_request_known_first in [true, false] {
        let mut state = PartQuarantine::new();
        for (number, request) in (1..).zip(["lone-1", "lone-2", "lone-1", "lone-2"]) {
            let target = format!("e-{number}");
            let sound = crash_under(&target, &["first"], &format!("sound-{number}"));
            let lone = crash_under(&target, &[], request);
            let mut evidence = [lone, sound];
            if !is_request_known_first {
                evidence.reverse();
            }
            for evidence in &evidence {
                state.record_crash(SECOND * number, evidence);
            }
        }
        assert_eq!(
            state.assess(SECOND * 5, &parts(&["first"])),
            Assessment::Ambiguous(part("first"))
        );
    }
}

/// Guards against probes of a guilty part without end, because each crash has another request under way.
#[test]
fn requests_that_differ_do_not_explain_the_crashes_of_the_part_that_they_share() {
    let mut state = PartQuarantine::new();
    for number in 1..4 {
        let request = format!("request-{number}");
        let evidence = crash_under(&format!("e-{number}"), &["first", "bad"], &request);
        state.record_crash(SECOND * number, &evidence);
    }
    let assessment = state.assess(SECOND * 5, &parts(&["first", "bad"]));
    assert!(matches!(assessment, Assessment::Rejected(_)));
}

/// Guards against clearing a part by a run that began before it crashed targets.
#[test]
fn a_run_that_began_before_the_last_crash_does_not_clear_its_parts() {
    let (mut state, now) = rejecting();
    let began = SECOND * 2;
    state.record_sound(now, &parts(&["bad"]), began);
    let kind = verdict_on(&state, now, "bad").map(|verdict| verdict.kind);
    assert_eq!(kind, Some(VerdictKind::Suspected));
    state.record_crash(now, &crash("e-4", &["first", "bad", "m6"]));
    let kind = verdict_on(&state, now, "bad").map(|verdict| verdict.kind);
    assert_eq!(kind, Some(VerdictKind::Rejected));
}

/// Guards against probes that crash one target for each instance.
#[test]
fn one_probe_runs_at_a_time_until_its_outcome_is_known() {
    let (mut state, now) = rejecting();
    assert!(state.try_probe(now, &"drafts".into()));
    assert!(!state.try_probe(now + SECOND, &"drafts".into()));
    assert!(state.try_probe(now + SECOND, &"another".into()));
    state.record_crash(now + SECOND, &crash("e-5", &["other", "bad"]));
    assert!(state.try_probe(now + SECOND, &"drafts".into()));
}

/// Guards against ages that grow with each exchange until a sound run seems to have begun after a crash, or a
/// crash that no longer counts seems to be new.
#[test]
fn repeated_exchanges_change_nothing() {
    let (mut one, now) = rejecting();
    let mut other = PartQuarantine::new();
    one.record_sound(now, &parts(&["first", "m5"]), now);
    let mut at = now;
    for _ in 0..200 {
        let sent = one.verdicts(at);
        at += SECOND / 10;
        for verdict in &sent {
            other.apply(at, verdict);
        }
        let sent = other.verdicts(at);
        at += SECOND / 10;
        for verdict in &sent {
            one.apply(at, verdict);
        }
    }
    for state in [&one, &other] {
        let assess = |names: &[&str]| state.assess(at, &parts(names));
        assert!(matches!(assess(&["first", "bad"]), Assessment::Rejected(_)));
        assert_eq!(assess(&["first", "m5"]), Assessment::Admitted);
    }
    assert_eq!(one.digest(at), other.digest(at));
}

/// Guards against blaming a frequent part for an outage that takes many targets down at once.
#[test]
fn concurrent_crashes_at_the_same_moment_count_as_one() {
    let mut state = PartQuarantine::new();
    for number in 1..9 {
        let at = SECOND * 3 + Duration::from_millis(number);
        state.record_crash(at, &crash(&format!("e-{number}"), &["first"]));
    }
    assert_eq!(
        state.assess(SECOND * 4, &parts(&["first"])),
        Assessment::Admitted
    );
}

/// Guards against a rejection that never expires.
#[test]
fn a_rejection_expires_and_one_crash_renews_it_for_twice_as_long() {
    let (mut state, now) = rejecting();
    let first = verdict_on(&state, now, "bad").expect("a verdict").remaining;
    let later = now + first + SECOND;
    assert_eq!(
        state.assess(later, &parts(&["other", "bad"])),
        Assessment::Admitted
    );
    state.record_crash(later, &crash("e-9", &["other", "bad"]));
    let verdict = verdict_on(&state, later, "bad").expect("a verdict");
    assert_eq!(verdict.kind, VerdictKind::Rejected);
    assert!(verdict.remaining > first);
}

/// Guards against a state that grows with every part that callers make up.
#[test]
fn the_oldest_records_are_evicted_at_the_limit() {
    let mut state = PartQuarantine::new();
    for number in 0..5_000_u32 {
        for target in ["e-1", "e-2"] {
            let name = format!("{number}");
            let target = format!("{target}-{number}");
            let at = SECOND * (number + 1);
            state.record_crash(at, &crash(&target, &[&name]));
        }
    }
    assert!(state.verdicts(SECOND).len() <= 4_096);
}

/// Guards against verdicts that grow with the square of the parts that callers make up.
#[test]
fn the_suspects_of_one_crash_are_bounded() {
    let mut state = PartQuarantine::new();
    for (target, at) in [("e-1", SECOND), ("e-2", SECOND * 3)] {
        for run in 0..40 {
            let names: Vec<String> = (0..60).map(|number| format!("{run}-{number}")).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            state.record_crash(at, &crash(target, &names));
        }
    }
    let verdicts = state.verdicts(SECOND * 3);
    assert!(
        !verdicts.is_empty() && verdicts.len() <= 96,
        "{}",
        verdicts.len()
    );
    for verdict in verdicts {
        assert!(
            verdict
                .crashes
                .iter()
                .all(|crash| crash.companions.len() < 48)
        );
    }
}
