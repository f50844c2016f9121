//! Random runs: several instances, few keys, and a table service with all kinds of faults.
//!
//! Longer runs: `PROPTEST_CASES=2000 cargo test --release -p claims --test claiming random`.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use crate::common::{Deployment, Instance, TIMEOUT, answer, call};
use claims::{ClaimError, ClaimOutcome, Claims, KeyedCall};
use parking_lot::Mutex;
use proptest::prelude::*;
use stores::memory::Fault;
use timer::Timer;

const INSTANCES: usize = 4;
const KEYS: usize = 3;

/// What a claimant does after it has acquired a key.
#[derive(Clone, Copy, Debug)]
enum ClaimantAction {
    Record,
    Release,
    Abandon,
    /// Other instances consider the claimant ended; it runs the call and records the answer all the
    /// same.
    PausedThenRecord,
    /// The instance crashes before the call is sent.
    CrashBeforeCall,
    /// The instance crashes after the call was sent.
    CrashAfterCall,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Request {
        instance: usize,
        key: usize,
        action: ClaimantAction,
        call_ms: u64,
        timeout_ms: u64,
    },
    /// A request whose caller disconnects soon after.
    CallerDisconnects {
        instance: usize,
        key: usize,
        after_ms: u64,
    },
    Faults(Fault, usize),
    Down(bool),
    Slow(u64),
    ApplyLateCommits,
    Wait(u64),
}

fn action() -> impl Strategy<Value = ClaimantAction> {
    prop_oneof![
        4 => Just(ClaimantAction::Record),
        2 => Just(ClaimantAction::Release),
        1 => Just(ClaimantAction::Abandon),
        1 => Just(ClaimantAction::PausedThenRecord),
        1 => Just(ClaimantAction::CrashBeforeCall),
        1 => Just(ClaimantAction::CrashAfterCall),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(Fault::AnswerLost),
        Just(Fault::CommitLost),
        Just(Fault::Late),
        Just(Fault::Throttled),
    ];
    let request = (0..INSTANCES, 0..KEYS, action(), 0..15_u64, 0..200_u64);
    prop_oneof![
        8 => request.prop_map(|(instance, key, action, call_ms, timeout_ms)| Step::Request {
            instance, key, action, call_ms, timeout_ms,
        }),
        1 => (0..INSTANCES, 0..KEYS, 0..10_u64).prop_map(|(instance, key, after_ms)| {
            Step::CallerDisconnects { instance, key, after_ms }
        }),
        3 => (fault, 1..5_usize).prop_map(|(fault, count)| Step::Faults(fault, count)),
        1 => any::<bool>().prop_map(Step::Down),
        1 => (0..5_u64).prop_map(Step::Slow),
        2 => Just(Step::ApplyLateCommits),
        2 => (0..20_u64).prop_map(Step::Wait),
    ]
}

/// Effects of calls at their target, and the answers that callers received.
#[derive(Default)]
struct ExternalState {
    effects: [AtomicUsize; KEYS],
    answers: Mutex<HashMap<usize, Vec<String>>>,
}

impl ExternalState {
    fn run(&self, key: usize) -> String {
        let before = self.effects[key].fetch_add(1, Ordering::SeqCst);
        assert_eq!(before, 0, "the call of key {key} ran twice");
        format!("answer {key}")
    }

    fn record_answer(&self, key: usize, answer: &str) {
        let mut answers = self.answers.lock();
        answers.entry(key).or_default().push(answer.to_owned());
    }

    fn effects(&self, key: usize) -> usize {
        self.effects[key].load(Ordering::SeqCst)
    }
}

struct Request {
    deployment: Arc<Deployment>,
    external: Arc<ExternalState>,
    instance: Arc<Instance>,
    name: String,
    key: usize,
    call: KeyedCall,
}

impl Request {
    async fn serve(self, action: ClaimantAction, call_duration: Duration, timeout: Duration) {
        match self.instance.claims.claim(&self.call, timeout).await {
            Ok(ClaimOutcome::Acquired) => self.act(action, call_duration).await,
            Ok(ClaimOutcome::Completed(answer)) => {
                self.external.record_answer(self.key, &answer.body)
            }
            // The outcome is not known, or nothing ran on behalf of this request.
            Ok(ClaimOutcome::Unknown) | Err(_) => {}
        }
    }

    async fn act(&self, action: ClaimantAction, call_duration: Duration) {
        let claims = &self.instance.claims;
        let timer = Timer::new();
        match action {
            ClaimantAction::Release => {
                timer.sleep(call_duration).await;
                claims.release(&self.call).await;
            }
            ClaimantAction::CrashBeforeCall => self.deployment.ended.add(&self.name, 1),
            ClaimantAction::CrashAfterCall => {
                self.external.run(self.key);
                self.deployment.ended.add(&self.name, 1);
            }
            ClaimantAction::Abandon => {
                self.external.run(self.key);
                claims.abandon(&self.call).await;
            }
            ClaimantAction::Record | ClaimantAction::PausedThenRecord => {
                if matches!(action, ClaimantAction::PausedThenRecord) {
                    self.deployment.ended.add(&self.name, 1);
                }
                timer.sleep(call_duration).await;
                let text = self.external.run(self.key);
                self.external.record_answer(self.key, &text);
                claims.record(&self.call, answer(&text)).await;
            }
        }
    }
}

async fn run_steps(steps: Vec<Step>, finalize_first: bool) {
    let deployment = Arc::new(Deployment::default());
    let external = Arc::new(ExternalState::default());
    let name = |number: usize| format!("i{number}");
    let instances: Vec<Arc<Instance>> = (0..INSTANCES)
        .map(|number| Arc::new(deployment.start(&name(number), 1)))
        .collect();
    let request = |instance: usize, key: usize| Request {
        deployment: deployment.clone(),
        external: external.clone(),
        instance: instances[instance].clone(),
        name: name(instance),
        key,
        call: call(&key.to_string(), "d"),
    };
    let timer = Timer::new();
    let mut tasks = Vec::new();
    for step in steps {
        match step {
            Step::Request {
                instance,
                key,
                action,
                call_ms,
                timeout_ms,
            } => {
                let call_duration = Duration::from_millis(call_ms);
                let timeout = Duration::from_millis(timeout_ms);
                let serve = request(instance, key).serve(action, call_duration, timeout);
                tasks.push(workers::spawn(serve));
            }
            Step::CallerDisconnects {
                instance,
                key,
                after_ms,
            } => {
                let request = request(instance, key);
                tasks.push(workers::spawn(async move {
                    let claim = request.instance.claims.claim(&request.call, TIMEOUT);
                    let after = Duration::from_millis(after_ms);
                    if Timer::new().within(after, claim).await == Some(Ok(ClaimOutcome::Acquired)) {
                        request.instance.claims.release(&request.call).await;
                    }
                }));
            }
            Step::Faults(fault, count) => deployment.table.add_faults(vec![fault; count]),
            Step::Down(down) => deployment.table.set_down(down),
            Step::Slow(ms) => deployment.table.set_delay(Duration::from_millis(ms)),
            Step::ApplyLateCommits => {
                deployment.table.apply_late_commits();
            }
            Step::Wait(ms) => timer.sleep(Duration::from_millis(ms)).await,
        }
    }
    deployment.table.set_down(false);
    deployment.table.set_delay(Duration::ZERO);
    deployment.table.clear_faults();
    for task in tasks {
        let finished = timer.within(TIMEOUT, task).await;
        assert!(finished.is_some(), "a request hangs");
    }
    if finalize_first {
        for instance in &instances {
            instance.until_finalized().await;
        }
        deployment.table.apply_late_commits();
    }
    check(&deployment, &external).await;
}

/// Checks that once the faults are over, each key gets a final outcome that matches what happened.
async fn check(deployment: &Deployment, external: &ExternalState) {
    let last = deployment.start("late", 1);
    for key in 0..KEYS {
        let call = call(&key.to_string(), "d");
        match last.claim_when_up(&call).await {
            Ok(ClaimOutcome::Acquired) => {
                let text = external.run(key);
                external.record_answer(key, &text);
                last.claims.record(&call, answer(&text)).await;
            }
            Ok(ClaimOutcome::Completed(answer)) => external.record_answer(key, &answer.body),
            Ok(ClaimOutcome::Unknown) => {}
            Err(error @ (ClaimError::StillRunning | ClaimError::StoreUnavailable)) => {
                panic!("key {key} is blocked: {error}");
            }
            Err(ClaimError::OtherCall) => panic!("there is one call for key {key}"),
        }
        deployment.table.apply_late_commits();
        let again = last.claim_when_up(&call).await;
        let is_final = matches!(
            again,
            Ok(ClaimOutcome::Completed(_) | ClaimOutcome::Unknown)
        );
        assert!(is_final, "key {key} could run again: {again:?}");
        if let Ok(ClaimOutcome::Completed(answer)) = again {
            external.record_answer(key, &answer.body);
            assert_eq!(
                external.effects(key),
                1,
                "an answer of key {key} without a run"
            );
        }
    }
    for (key, answers) in external.answers.lock().iter() {
        let expected = format!("answer {key}");
        assert!(answers.iter().all(|a| *a == expected), "{answers:?}");
    }
}

proptest! {
    // Instances crash, pause and race for a few keys while the table service becomes unavailable or
    // slow, rejects writes, loses answers and applies writes late. No call may run twice or have
    // two different answers, and every key must get a final outcome.
    #[test]
    fn a_key_runs_at_most_once_and_gets_a_final_outcome(
        steps in prop::collection::vec(step(), 1..40),
        finalize_first in any::<bool>(),
    ) {
        smol::block_on(run_steps(steps, finalize_first));
    }
}
