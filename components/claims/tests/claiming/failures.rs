//! Single failures during a keyed call.

use std::time::Duration;

use crate::common::{Deployment, TIMEOUT, answer, call};
use claims::{ClaimError, ClaimOutcome, Claims};
use stores::memory::Fault;
use timer::Timer;

const SHORT_TIMEOUT: Duration = Duration::from_millis(50);

// A client sends a call three times and the load balancer sends each to another instance. Only one
// of them may run the call; the others must get the same answer.
#[test]
fn of_retries_at_many_instances_one_runs_and_all_get_its_answer() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b, c) = (
            deployment.start("a", 1),
            deployment.start("b", 1),
            deployment.start("c", 1),
        );
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        let waiting = b.claims.claim(&call, SHORT_TIMEOUT).await;
        assert_eq!(waiting, Err(ClaimError::StillRunning));
        let (b_claims, c_claims) = (b.claims.clone(), c.claims.clone());
        let (b_call, c_call) = (call.clone(), call.clone());
        let at_b = workers::spawn(async move { b_claims.claim(&b_call, TIMEOUT).await });
        let at_c = workers::spawn(async move { c_claims.claim(&c_call, TIMEOUT).await });
        a.claims.record(&call, answer("granted")).await;
        let granted = Ok(ClaimOutcome::Completed(answer("granted")));
        assert_eq!(at_b.await, granted);
        assert_eq!(at_c.await, granted);
        assert_eq!(a.claim(&call).await, granted);
    });
}

// The write of a claim takes effect, is lost, or arrives late, and its answer is lost each time.
// The call must not be refused because of it, and the late write must not undo anything.
#[test]
fn a_claim_whose_answer_was_lost_is_resolved_and_runs_once() {
    smol::block_on(async {
        for fault in [Fault::AnswerLost, Fault::CommitLost, Fault::Late] {
            let deployment = Deployment::default();
            let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
            let call = call("k", "d");
            deployment.table.add_faults([fault]);
            assert_eq!(
                a.claim(&call).await,
                Ok(ClaimOutcome::Acquired),
                "{fault:?}"
            );
            assert_eq!(
                deployment.table.apply_late_commits(),
                0,
                "{fault:?}: a late claim took effect"
            );
            a.claims.record(&call, answer("1")).await;
            let before = Ok(ClaimOutcome::Completed(answer("1")));
            assert_eq!(b.claim(&call).await, before, "{fault:?}");
        }
    });
}

// The table service is unavailable. The call must be refused at once as not run, and once the
// service is available the same key must run normally.
#[test]
fn a_claim_while_the_store_is_down_is_refused_and_leaves_no_row() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let a = deployment.start("a", 1);
        let call = call("k", "d");
        deployment.table.set_down(true);
        assert_eq!(a.claim(&call).await, Err(ClaimError::StoreUnavailable));
        deployment.table.set_down(false);
        assert_eq!(deployment.table.rows(), []);
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
    });
}

// The answer to the write of a claim is lost and the table service stays out of reach, so the
// caller is told that the call did not run. The write takes effect much later. No request runs the
// call under this claim, so retries would wait forever if it were not released.
#[test]
fn a_claim_that_arrives_after_its_caller_was_refused_does_not_block_the_key() {
    smol::block_on(async {
        for land_first in [true, false] {
            let deployment = Deployment::default();
            let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
            let call = call("k", "d");
            deployment
                .table
                .add_faults([Fault::Late, Fault::Late, Fault::Late]);
            assert_eq!(a.claim(&call).await, Err(ClaimError::StoreUnavailable));
            if land_first {
                deployment.table.apply_late_commits();
            }
            assert_eq!(b.claim_when_up(&call).await, Ok(ClaimOutcome::Acquired));
            deployment.table.apply_late_commits();
            b.claims.record(&call, answer("1")).await;
            let before = Ok(ClaimOutcome::Completed(answer("1")));
            assert_eq!(a.claim_when_up(&call).await, before);
        }
    });
}

// As above, but the write arrives only after the instance has read the row and not found the claim.
// A missing claim proves nothing about a write in flight, so the instance must write a marker that
// makes the late write fail.
#[test]
fn a_claim_that_arrives_after_it_was_found_missing_does_not_block_the_key() {
    smol::block_on(async {
        for released_before in [false, true] {
            let deployment = Deployment::default();
            let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
            let call = call("k", "d");
            if released_before {
                assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Acquired));
                b.claims.release(&call).await;
            }
            // With a released row, the first write of a claim fails its condition, so the faults
            // begin with the second one.
            deployment
                .table
                .add_faults([Fault::None].repeat(usize::from(released_before)));
            deployment
                .table
                .add_faults([Fault::Late, Fault::Late, Fault::Late]);
            assert_eq!(a.claim(&call).await, Err(ClaimError::StoreUnavailable));
            a.until_finalized().await;
            assert_eq!(
                deployment.table.apply_late_commits(),
                0,
                "a late claim took effect"
            );
            assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Acquired));
        }
    });
}

// An instance crashes between its claim and its record. Whether the call ran can't be determined,
// so no retry may run it again and all must get the same answer. If the instance was only paused,
// its record arrives later and must replace the unknown outcome.
#[test]
fn a_claimant_that_has_ended_leaves_unknown_until_it_records_an_outcome() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b, c) = (
            deployment.start("a", 1),
            deployment.start("b", 1),
            deployment.start("c", 1),
        );
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        deployment.ended.add("a", 1);
        assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Unknown));
        assert_eq!(c.claim(&call).await, Ok(ClaimOutcome::Unknown));
        a.claims.record(&call, answer("placed")).await;
        let end = std::time::Instant::now() + TIMEOUT;
        while c.claim(&call).await == Ok(ClaimOutcome::Unknown) && std::time::Instant::now() < end {
            Timer::new().sleep(SHORT_TIMEOUT).await;
        }
        let placed = Ok(ClaimOutcome::Completed(answer("placed")));
        assert_eq!(c.claim(&call).await, placed);
        assert_eq!(b.claim(&call).await, placed);
    });
}

// An instance is restarted under the same name and finds a claim of its previous incarnation.
#[test]
fn a_claim_of_an_earlier_incarnation_is_unknown() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let call = call("k", "d");
        let before = deployment.start("a", 1);
        assert_eq!(before.claim(&call).await, Ok(ClaimOutcome::Acquired));
        let after = deployment.start("a", 2);
        assert_eq!(after.claim(&call).await, Ok(ClaimOutcome::Unknown));
    });
}

// A client reuses a key for another call by mistake. Returning the recorded answer of the first
// call would hide that the second one was never run.
#[test]
fn the_same_key_with_another_call_is_an_error_everywhere() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
        assert_eq!(a.claim(&call("k", "d")).await, Ok(ClaimOutcome::Acquired));
        assert_eq!(a.claim(&call("k", "e")).await, Err(ClaimError::OtherCall));
        assert_eq!(b.claim(&call("k", "e")).await, Err(ClaimError::OtherCall));
        a.claims.record(&call("k", "d"), answer("1")).await;
        assert_eq!(b.claim(&call("k", "e")).await, Err(ClaimError::OtherCall));
        let mut elsewhere = call("k", "e");
        elsewhere.workspace = "other".into();
        assert_eq!(b.claim(&elsewhere).await, Ok(ClaimOutcome::Acquired));
    });
}

#[test]
fn a_key_that_was_released_may_run_again() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        a.claims.release(&call).await;
        assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Acquired));
        b.claims.abandon(&call).await;
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Unknown));
    });
}

// The caller disconnects while its key is being claimed. The claim takes effect with no request
// left to run the call; a retry must not wait for an outcome that never comes.
#[test]
fn a_caller_that_disconnects_during_its_claim_does_not_block_the_key() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
        let call = call("k", "d");
        deployment.table.set_delay(Duration::from_secs(1));
        let timer = Timer::new();
        let cancelled = timer.within(Duration::from_millis(10), a.claim(&call));
        assert_eq!(cancelled.await, None);
        deployment.table.set_delay(Duration::ZERO);
        let end = std::time::Instant::now() + TIMEOUT;
        while deployment.table.rows().is_empty() {
            assert!(std::time::Instant::now() < end, "the claim never arrives");
            timer.sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Acquired));
    });
}

// The call ran, and the table service fails before its answer is recorded. Retries at the same
// instance must get the answer nevertheless, those at other instances once the service is
// available.
#[test]
fn an_answer_that_the_store_rejected_is_retained_and_recorded_later() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        deployment.table.set_down(true);
        a.claims.record(&call, answer("placed")).await;
        let placed = Ok(ClaimOutcome::Completed(answer("placed")));
        assert_eq!(a.claim(&call).await, placed);
        assert_eq!(b.claim(&call).await, Err(ClaimError::StoreUnavailable));
        deployment.table.set_down(false);
        assert_eq!(b.claim_when_up(&call).await, placed);
    });
}

// An instance is stopped just after a call ran whose answer the table service has not accepted yet.
// If it stopped without waiting, a retry would get the outcome `unknown` although the answer was
// known.
#[test]
fn a_planned_stop_waits_until_outcomes_are_recorded() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        deployment.table.set_down(true);
        a.claims.record(&call, answer("placed")).await;
        assert_eq!(a.claims.drain(SHORT_TIMEOUT).await, 1);
        deployment.table.set_down(false);
        assert_eq!(a.claims.drain(TIMEOUT).await, 0);
        drop(a);
        deployment.ended.add("a", 1);
        assert_eq!(
            b.claim(&call).await,
            Ok(ClaimOutcome::Completed(answer("placed")))
        );
    });
}

#[test]
fn an_answer_too_large_to_store_is_reported_as_run() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        let large = "x".repeat(200_000);
        a.claims.record(&call, answer(&large)).await;
        let Ok(ClaimOutcome::Completed(stored)) = b.claim(&call).await else {
            panic!("the call ran before");
        };
        assert_eq!(stored.status, 201);
        assert_eq!(&*stored.content_type, "application/problem+json");
        assert!(
            stored.body.contains(r#""run":"partial""#),
            "{}",
            stored.body
        );
    });
}

// A hundred new keys arrive at one instance while the table service is slow, and one of them is
// already claimed. The claims must share commits, and the one that fails must not fail the others.
#[test]
fn claims_of_many_requests_share_commits_but_not_failures() {
    smol::block_on(async {
        let deployment = Deployment::default();
        let (a, b) = (deployment.start("a", 1), deployment.start("b", 1));
        let taken = call("7", "other call");
        assert_eq!(b.claim(&taken).await, Ok(ClaimOutcome::Acquired));
        // Long enough for all of them to arrive while the first ones are in flight.
        deployment.table.set_delay(Duration::from_secs(1));
        let before = deployment.table.commits();
        let start = |key: u32| {
            let claims = a.claims.clone();
            let call = call(&key.to_string(), "d");
            workers::spawn(async move { claims.claim(&call, TIMEOUT).await })
        };
        let tasks: Vec<_> = (0..100).map(start).collect();
        Timer::new().sleep(Duration::from_millis(500)).await;
        deployment.table.set_delay(Duration::ZERO);
        for (key, task) in tasks.into_iter().enumerate() {
            let expected = match key {
                7 => Err(ClaimError::OtherCall),
                _ => Ok(ClaimOutcome::Acquired),
            };
            assert_eq!(task.await, expected, "key {key}");
        }
        let commits = deployment.table.commits() - before;
        assert!(commits < 60, "{commits} commits for 100 claims");
    });
}
