//! Failures that a keyed call meets one at a time.

use std::time::Duration;

use crate::common::{Deployment, PATIENCE, answer, call};
use claims::{ClaimError, ClaimOutcome, Claims};
use stores::memory::Fault;
use timer::Timer;

const SHORT: Duration = Duration::from_millis(50);

// A viewer presses play three times and the balancer sends each to another instance. Only one of
// them may grant the rental; the others get the same answer.
#[test]
fn of_repeats_at_many_instances_one_runs_and_all_get_its_answer() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b, c) = (all.start("a", 1), all.start("b", 1), all.start("c", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        let waits = b.claims.claim(&call, SHORT).await;
        assert_eq!(waits, Err(ClaimError::StillRunning));
        let (b_claims, c_claims) = (b.claims.clone(), c.claims.clone());
        let (b_call, c_call) = (call.clone(), call.clone());
        let at_b = workers::spawn(async move { b_claims.claim(&b_call, PATIENCE).await });
        let at_c = workers::spawn(async move { c_claims.claim(&c_call, PATIENCE).await });
        a.claims.record(&call, answer("granted")).await;
        let granted = Ok(ClaimOutcome::Completed(answer("granted")));
        assert_eq!(at_b.await, granted);
        assert_eq!(at_c.await, granted);
        assert_eq!(a.claim(&call).await, granted);
    });
}

// The write of a claim takes effect, or is lost on the way, or arrives only later, and its
// answer is lost each time. The caller must not be refused for it, and the late one must not
// undo anything.
#[test]
fn a_claim_whose_answer_was_lost_is_settled_and_runs_once() {
    smol::block_on(async {
        for fault in [Fault::AnswerLost, Fault::CommitLost, Fault::Late] {
            let all = Deployment::default();
            let (a, b) = (all.start("a", 1), all.start("b", 1));
            let call = call("k", "d");
            all.table.add_faults([fault]);
            assert_eq!(
                a.claim(&call).await,
                Ok(ClaimOutcome::Acquired),
                "{fault:?}"
            );
            assert_eq!(
                all.table.apply_late_commits(),
                0,
                "{fault:?}: a late claim took effect"
            );
            a.claims.record(&call, answer("1")).await;
            let before = Ok(ClaimOutcome::Completed(answer("1")));
            assert_eq!(b.claim(&call).await, before, "{fault:?}");
        }
    });
}

// The table service is down. The caller is refused at once with "not run", and once the service
// is back the same key runs as if nothing had been.
#[test]
fn a_claim_while_the_store_is_down_is_refused_and_leaves_nothing_behind() {
    smol::block_on(async {
        let all = Deployment::default();
        let a = all.start("a", 1);
        let call = call("k", "d");
        all.table.set_down(true);
        assert_eq!(a.claim(&call).await, Err(ClaimError::StoreUnavailable));
        all.table.set_down(false);
        assert_eq!(all.table.rows(), []);
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
    });
}

// The answer to a claim is lost and the table service stays out of reach, so the caller is told
// "not run". The claim's write arrives much later. Nobody runs the call under it, so a repeat
// would wait for good if the claim were not given back.
#[test]
fn a_claim_that_arrives_after_its_caller_was_refused_does_not_block_the_key() {
    smol::block_on(async {
        for land_first in [true, false] {
            let all = Deployment::default();
            let (a, b) = (all.start("a", 1), all.start("b", 1));
            let call = call("k", "d");
            all.table
                .add_faults([Fault::Late, Fault::Late, Fault::Late]);
            assert_eq!(a.claim(&call).await, Err(ClaimError::StoreUnavailable));
            if land_first {
                all.table.apply_late_commits();
            }
            assert_eq!(b.claim_when_up(&call).await, Ok(ClaimOutcome::Acquired));
            all.table.apply_late_commits();
            b.claims.record(&call, answer("1")).await;
            let before = Ok(ClaimOutcome::Completed(answer("1")));
            assert_eq!(a.claim_when_up(&call).await, before);
        }
    });
}

// As before, but the write arrives only after the instance has looked for it in vain. A look
// that finds nothing proves nothing about a write that is still on its way, so it must leave a
// marker that makes the late write fail.
#[test]
fn a_claim_that_arrives_after_it_was_looked_for_in_vain_does_not_block_the_key() {
    smol::block_on(async {
        for released_before in [false, true] {
            let all = Deployment::default();
            let (a, b) = (all.start("a", 1), all.start("b", 1));
            let call = call("k", "d");
            if released_before {
                assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Acquired));
                b.claims.release(&call).await;
            }
            // Over a released row the first write of a claim fails its condition.
            all.table
                .add_faults([Fault::None].repeat(usize::from(released_before)));
            all.table
                .add_faults([Fault::Late, Fault::Late, Fault::Late]);
            assert_eq!(a.claim(&call).await, Err(ClaimError::StoreUnavailable));
            a.until_settled().await;
            assert_eq!(
                all.table.apply_late_commits(),
                0,
                "a late claim took effect"
            );
            assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Acquired));
        }
    });
}

// An instance dies between its claim and its record. Whether the order was placed nobody knows,
// so no repeat may place it again, and every one is told the same. If the instance had only been
// paused, its record comes after all and is the better answer.
#[test]
fn a_claimant_that_is_gone_leaves_unknown_until_it_comes_back() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b, c) = (all.start("a", 1), all.start("b", 1), all.start("c", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        all.gone.add("a", 1);
        assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Unknown));
        assert_eq!(c.claim(&call).await, Ok(ClaimOutcome::Unknown));
        a.claims.record(&call, answer("placed")).await;
        let end = std::time::Instant::now() + PATIENCE;
        while c.claim(&call).await == Ok(ClaimOutcome::Unknown) && std::time::Instant::now() < end {
            Timer::new().sleep(SHORT).await;
        }
        let placed = Ok(ClaimOutcome::Completed(answer("placed")));
        assert_eq!(c.claim(&call).await, placed);
        assert_eq!(b.claim(&call).await, placed);
    });
}

// The instance is restarted under its name and finds a claim of its life before.
#[test]
fn a_claim_of_an_earlier_life_is_unknown() {
    smol::block_on(async {
        let all = Deployment::default();
        let call = call("k", "d");
        let before = all.start("a", 1);
        assert_eq!(before.claim(&call).await, Ok(ClaimOutcome::Acquired));
        let after = all.start("a", 2);
        assert_eq!(after.claim(&call).await, Ok(ClaimOutcome::Unknown));
    });
}

// A caller's program reuses a key by mistake. Answering with the other call's answer would hide
// an order that was never placed.
#[test]
fn the_same_key_with_another_call_is_an_error_everywhere() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b) = (all.start("a", 1), all.start("b", 1));
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
        let all = Deployment::default();
        let (a, b) = (all.start("a", 1), all.start("b", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        a.claims.release(&call).await;
        assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Acquired));
        b.claims.abandon(&call).await;
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Unknown));
    });
}

// The caller's connection breaks while its key is being claimed. The claim takes effect with
// nobody left to run the call; a repeat must not wait for an outcome that never comes.
#[test]
fn a_caller_that_goes_away_during_its_claim_does_not_block_the_key() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b) = (all.start("a", 1), all.start("b", 1));
        let call = call("k", "d");
        all.table.set_delay(Duration::from_secs(1));
        let timer = Timer::new();
        let given_up = timer.within(Duration::from_millis(10), a.claim(&call));
        assert_eq!(given_up.await, None);
        all.table.set_delay(Duration::ZERO);
        let end = std::time::Instant::now() + PATIENCE;
        while all.table.rows().is_empty() {
            assert!(std::time::Instant::now() < end, "the claim never arrives");
            timer.sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(b.claim(&call).await, Ok(ClaimOutcome::Acquired));
    });
}

// The order was placed, and the table service fails before its answer is recorded. Repeats at
// the same instance get the answer all the same, others once the service is back.
#[test]
fn an_answer_that_the_store_could_not_take_is_kept_and_recorded_later() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b) = (all.start("a", 1), all.start("b", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        all.table.set_down(true);
        a.claims.record(&call, answer("placed")).await;
        let placed = Ok(ClaimOutcome::Completed(answer("placed")));
        assert_eq!(a.claim(&call).await, placed);
        assert_eq!(b.claim(&call).await, Err(ClaimError::StoreUnavailable));
        all.table.set_down(false);
        assert_eq!(b.claim_when_up(&call).await, placed);
    });
}

// An instance is stopped on purpose just after a call ran whose answer the table service has not
// taken. If it left without waiting, a repeat would be told `unknown` about a known answer.
#[test]
fn a_planned_stop_waits_for_outcomes_to_be_recorded() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b) = (all.start("a", 1), all.start("b", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        all.table.set_down(true);
        a.claims.record(&call, answer("placed")).await;
        assert_eq!(a.claims.drain(SHORT).await, 1);
        all.table.set_down(false);
        assert_eq!(a.claims.drain(PATIENCE).await, 0);
        drop(a);
        all.gone.add("a", 1);
        assert_eq!(
            b.claim(&call).await,
            Ok(ClaimOutcome::Completed(answer("placed")))
        );
    });
}

#[test]
fn an_answer_too_large_to_keep_is_told_as_run() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b) = (all.start("a", 1), all.start("b", 1));
        let call = call("k", "d");
        assert_eq!(a.claim(&call).await, Ok(ClaimOutcome::Acquired));
        let large = "x".repeat(200_000);
        a.claims.record(&call, answer(&large)).await;
        let Ok(ClaimOutcome::Completed(kept)) = b.claim(&call).await else {
            panic!("the call ran before");
        };
        assert_eq!(kept.status, 201);
        assert_eq!(&*kept.content_type, "application/problem+json");
        assert!(kept.body.contains(r#""run":"partial""#), "{}", kept.body);
    });
}

// A hundred new keys come at one instance at once while the table service is slow, among them
// one that is taken. They go in few commits, and the one that fails does not fail the others.
#[test]
fn claims_of_many_requests_share_commits_but_not_their_fates() {
    smol::block_on(async {
        let all = Deployment::default();
        let (a, b) = (all.start("a", 1), all.start("b", 1));
        let taken = call("7", "other call");
        assert_eq!(b.claim(&taken).await, Ok(ClaimOutcome::Acquired));
        // Long enough for all of them to arrive while the first are under way.
        all.table.set_delay(Duration::from_secs(1));
        let before = all.table.commits();
        let start = |key: u32| {
            let claims = a.claims.clone();
            let call = call(&key.to_string(), "d");
            workers::spawn(async move { claims.claim(&call, PATIENCE).await })
        };
        let tasks: Vec<_> = (0..100).map(start).collect();
        Timer::new().sleep(Duration::from_millis(500)).await;
        all.table.set_delay(Duration::ZERO);
        for (key, task) in tasks.into_iter().enumerate() {
            let expected = match key {
                7 => Err(ClaimError::OtherCall),
                _ => Ok(ClaimOutcome::Acquired),
            };
            assert_eq!(task.await, expected, "key {key}");
        }
        let commits = all.table.commits() - before;
        assert!(commits < 60, "{commits} commits for 100 claims");
    });
}
