//! The coordinator's account, and one instance's part.

use std::time::Duration;

use rollouts::{
    Answer, Checkpoint, Directive, Evidence, Exposure, ExposureLimits, Fleet, Order, Outcome,
    Reason, Report, Rollout,
};
use types::Moment;

const LIMITS: ExposureLimits = ExposureLimits {
    share: 0.1,
    slack: 50.0,
};
const BOTH: Fleet = Fleet { new: 3, old: 3 };

fn order(duration: Duration) -> Order {
    Order {
        service: "calls".into(),
        to: "v2".into(),
        duration,
        revision: types::StoreVersion::new(1, 1),
    }
}

fn rollout(seconds: u64) -> Rollout {
    let order = order(Duration::from_secs(seconds));
    Rollout::new(at(0), order, LIMITS, at(0))
}

const fn at(millis: u64) -> Moment {
    Duration::from_millis(100_000 + millis)
}

fn report(arrivals: u64, outcome: Option<Outcome>) -> Report {
    let evidence = Evidence::default().with_requests(arrivals, 0);
    Report {
        order: order(Duration::from_secs(10)),
        from: "i-1".into(),
        started_at: 1,
        age: None,
        outcome,
        evidence,
    }
}

fn reason(rollout: &mut Rollout, now: Moment, fleet: Fleet) -> Option<Reason> {
    rollout
        .decide(now, fleet)
        .map(|verdict| verdict.reason.clone())
}

#[test]
fn an_order_that_leaves_no_time_is_rolled_back() {
    assert_eq!(reason(&mut rollout(0), at(1), BOTH), Some(Reason::NoTime));
}

#[test]
fn an_order_for_a_version_without_targets_is_rolled_back_at_its_deadline() {
    let mut rollout = rollout(10);
    let none = Fleet { new: 0, old: 3 };
    assert_eq!(reason(&mut rollout, at(9_900), none), None);
    assert_eq!(
        reason(&mut rollout, at(10_000), none),
        Some(Reason::NoTarget)
    );
}

#[test]
fn an_order_that_is_taken_back_is_rolled_back() {
    let mut rollout = rollout(10);
    rollout.withdraw();
    assert_eq!(reason(&mut rollout, at(1), BOTH), Some(Reason::Withdrawn));
}

/// Evidence of this many answers, failures among them.
fn answers(count: u32, failures: u32) -> Evidence {
    let mut evidence = Evidence::default();
    for number in 0..count {
        let target = format!("t-{}", number % 3).into();
        let answer = Answer {
            failed: number < failures,
            latency: None,
        };
        evidence.record_new(&"calls".into(), &target, answer);
        evidence.record_old(&"calls".into(), Answer::default());
    }
    evidence
}

/// A rollout of 10 s that another coordinator takes over at its deadline.
fn taken_over(saved: Option<Evidence>) -> Rollout {
    let checkpoint = |evidence| Checkpoint {
        to: "v2".into(),
        order: order(Duration::from_secs(10)).revision,
        at_ms: 1_000,
        evidence,
    };
    Rollout::new(at(10_000), order(Duration::from_secs(10)), LIMITS, at(0))
        .with_saved(saved.map(checkpoint))
}

/// A report of an incarnation that was started after the order and after evidence was stored.
fn late_report(evidence: Evidence) -> Report {
    Report {
        started_at: 2_000,
        evidence,
        ..report(0, None)
    }
}

/// Guards against a coordinator that takes over and ends a rollout before it knows the evidence.
#[test]
fn a_new_coordinator_ends_nothing_as_a_success_before_it_has_had_reports() {
    let mut rollout = taken_over(None);
    assert_eq!(reason(&mut rollout, at(11_500), BOTH), None);
    rollout.report(at(11_600), late_report(answers(5, 0)));
    assert_eq!(reason(&mut rollout, at(11_600), BOTH), Some(Reason::Good));
}

/// Guards against an empty account that passes for a good version: the instances were lost with what they
/// had counted.
#[test]
fn without_answers_after_the_loss_of_the_evidence_the_old_version_stays() {
    let mut rollout = taken_over(None);
    rollout.report(at(11_000), late_report(answers(4, 0)));
    assert_eq!(reason(&mut rollout, at(12_900), BOTH), None);
    assert_eq!(
        reason(&mut rollout, at(13_000), BOTH),
        Some(Reason::Unproven(4))
    );
}

/// Guards against a version that succeeds on the good answers of before, although all later ones fail.
#[test]
fn stored_answers_alone_are_no_proof() {
    let mut rollout = taken_over(Some(answers(30, 0)));
    assert_eq!(reason(&mut rollout, at(11_100), BOTH), None);
    rollout.report(at(11_100), late_report(answers(3, 3)));
    assert_eq!(reason(&mut rollout, at(11_200), BOTH), None);
    let reason = reason(&mut rollout, at(13_000), BOTH);
    assert!(matches!(reason, Some(Reason::Unproven(33))), "{reason:?}");
}

/// Guards against failures that are forgotten with the instances that saw them.
#[test]
fn stored_failures_count_after_a_take_over() {
    let mut rollout = taken_over(Some(answers(24, 18)));
    let reason = reason(&mut rollout, at(10_100), BOTH);
    assert!(matches!(reason, Some(Reason::Worse(_))), "{reason:?}");
}

/// Guards against evidence that counts twice: reported by an instance that is still running, and stored.
#[test]
fn stored_evidence_of_running_instances_counts_once() {
    let mut rollout = taken_over(Some(answers(12, 2)));
    rollout.report(
        at(10_100),
        Report {
            evidence: answers(14, 3),
            ..report(0, None)
        },
    );
    let basis = rollout.basis(at(10_100));
    assert_eq!((basis.new_answers, basis.new_failures), (14, 3));
}

/// Guards against a flood of writes to the store, and against a first failure that is not stored.
#[test]
fn evidence_is_stored_a_few_times_and_at_the_first_failure() {
    let mut rollout = rollout(10);
    let mut stored = Vec::new();
    for step in 1..=90 {
        let evidence = answers(step * 10, u32::from(step > 30));
        rollout.report(
            at(u64::from(step) * 100),
            Report {
                evidence,
                ..report(0, None)
            },
        );
        let checkpoint = rollout.checkpoint(at(u64::from(step) * 100), 5_000);
        stored.extend(checkpoint.map(|it| (step, it.evidence.new_failures())));
    }
    assert!(stored.len() <= 4, "{stored:?}");
    assert!(stored.contains(&(31, 1)), "{stored:?}");
}

/// Guards against a success that the operator reads after the deadline because the store is slow.
#[test]
fn a_success_is_written_earlier_while_the_store_is_slow() {
    let slow = Duration::from_millis(200);
    let mut rollout = rollout(10).with_store_latency(slow);
    assert_eq!(reason(&mut rollout, at(9_000), BOTH), None);
    assert_eq!(reason(&mut rollout, at(9_100), BOTH), Some(Reason::Good));
}

/// Guards against two verdicts on one rollout, after a change of the coordinator.
#[test]
fn a_verdict_that_an_instance_knows_is_final() {
    let mut rollout = rollout(10);
    rollout.report(at(100), report(1, Some(Outcome::RolledBack)));
    rollout.report(at(200), report(2, Some(Outcome::Succeeded)));
    let verdict = rollout.decide(at(10_000), BOTH).expect("a verdict");
    assert_eq!(verdict.outcome, Outcome::RolledBack);
}

/// Guards against a version that goes on for seconds after it has turned bad, because it had answered
/// well for long before.
#[test]
fn a_version_that_turns_bad_is_rolled_back_by_its_fiftieth_bad_answer() {
    let mut rollout = rollout(60);
    let mut evidence = Evidence::default();
    let mut record = |millis: u64, failed: bool| {
        for number in 0..10 {
            let target = format!("t-{}", number % 3).into();
            let answer = Answer {
                failed: failed && number % 2 == 0,
                latency: None,
            };
            evidence.record_new(&"calls".into(), &target, answer);
            for _ in 0..10 {
                evidence.record_old(&"calls".into(), Answer::default());
            }
        }
        let mut report = report(millis, None);
        report.evidence = evidence.clone().with_requests(millis, millis / 10);
        rollout.report(at(millis), report);
        reason(&mut rollout, at(millis), BOTH)
    };
    for step in 1..=250 {
        assert_eq!(record(step * 100, false), None);
    }
    let verdict = (251..=260).find_map(|step| record(step * 100, true));
    assert!(matches!(verdict, Some(Reason::Worse(_))), "{verdict:?}");
}

/// Guards against an outage where all targets run the ordered version already.
#[test]
fn without_targets_of_another_version_all_requests_go_to_the_new_one() {
    let only_new = Fleet { new: 3, old: 0 };
    let directive = rollout(10).directive(at(1), &"i-1".into(), only_new);
    assert_eq!(directive, Directive::Unopposed);
}

fn exposing(share: f64, slack: f64, turn_in: Duration) -> Directive {
    Directive::Expose {
        share,
        slack,
        turn_in,
        migrate_in: turn_in,
    }
}

/// Guards against instances that go on sending to a version on what a lost coordinator once said.
#[test]
fn an_instance_that_does_not_hear_from_the_coordinator_leaves_the_version_alone() {
    let mut exposure = Exposure::new(LIMITS, 0.5);
    assert!(!exposure.take(at(0), 0.0), "nothing heard yet");
    exposure.apply(at(0), exposing(1.0, 100.0, Duration::ZERO));
    assert!(exposure.take(at(1_500), 0.0));
    assert!(!exposure.take(at(1_501), 0.0));
}

/// Guards against more requests for the version than this instance's part of the bound.
#[test]
fn an_instance_sends_its_share_of_its_own_requests_and_its_slack() {
    let mut exposure = Exposure::new(LIMITS, 0.0);
    exposure.apply(at(0), exposing(1.0, 2.0, Duration::ZERO));
    let mut taken = 0;
    for _ in 0..100 {
        taken += u32::from(exposure.take(at(1), 0.0));
        exposure.record_sent();
    }
    // 0.095 of 99 earlier requests, and 2.
    assert_eq!(taken, 11);
}

#[test]
fn a_request_that_was_not_sent_is_given_back() {
    let mut exposure = Exposure::new(LIMITS, 0.0);
    exposure.apply(at(0), exposing(1.0, 1.0, Duration::ZERO));
    assert!(exposure.take(at(1), 0.0));
    assert!(!exposure.take(at(1), 0.0));
    exposure.give_back();
    assert!(exposure.take(at(1), 0.0));
}

#[test]
fn the_end_of_a_rollout_is_final_for_an_instance() {
    let mut exposure = Exposure::new(LIMITS, 0.0);
    assert!(exposure.apply(at(0), Directive::Ended(Outcome::RolledBack)));
    assert!(!exposure.apply(at(1), Directive::Ended(Outcome::Succeeded)));
    assert!(!exposure.apply(at(2), exposing(1.0, 100.0, Duration::ZERO)));
    assert!(!exposure.take(at(3), 0.0));
}

/// Guards against a success of a version of which no answer is known, or only failures.
#[test]
fn a_success_needs_answers_of_the_version() {
    let ending = |evidence: Evidence| {
        let mut rollout = rollout(10);
        rollout.report(
            at(9_000),
            Report {
                evidence,
                ..report(0, None)
            },
        );
        let early = reason(&mut rollout, at(9_800), BOTH);
        early.or_else(|| reason(&mut rollout, at(10_000), BOTH))
    };
    let with_requests = |answered: u32, failures: u32| {
        let evidence = ending(answers(answered, failures).with_requests(40, 10));
        evidence.expect("an end")
    };
    let unsupported = |answers, failures| Reason::Unsupported { answers, failures };
    assert_eq!(with_requests(0, 0), unsupported(0, 0));
    assert_eq!(with_requests(1, 1), unsupported(1, 1));
    assert_eq!(with_requests(4, 0), unsupported(4, 0));
    assert_eq!(with_requests(5, 0), Reason::Good);
    // Nobody asks for the service: nothing can be known, and nobody is harmed.
    assert_eq!(ending(Evidence::default()), Some(Reason::Good));
    let few = answers(1, 0).with_requests(3, 1);
    assert_eq!(ending(few), Some(Reason::Good));
}
