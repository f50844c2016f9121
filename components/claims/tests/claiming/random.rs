//! Randomised runs: several instances, few keys, and a table service that fails in every way.
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

use crate::common::{Deployment, Instance, PATIENCE, answer, call};
use claims::{ClaimError, ClaimOutcome, Claims, KeyedCall};
use parking_lot::Mutex;
use proptest::prelude::*;
use stores::memory::Fault;
use timer::Timer;

const INSTANCES: usize = 4;
const KEYS: usize = 3;

/// What a claimant does with a key that is its own.
#[derive(Clone, Copy, Debug)]
enum Then {
    Record,
    Release,
    GiveUp,
    /// Others take its instance for gone; it runs the call and records all the same.
    PausedThenRecord,
    /// Its instance dies before the call is sent.
    DieBefore,
    /// Its instance dies after the call was sent.
    DieAfter,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Request {
        instance: usize,
        key: usize,
        then: Then,
        runs_ms: u64,
        patience_ms: u64,
    },
    /// A request whose caller goes away soon after.
    GoesAway {
        instance: usize,
        key: usize,
        after_ms: u64,
    },
    Faults(Fault, usize),
    Down(bool),
    Slow(u64),
    Land,
    Wait(u64),
}

fn then() -> impl Strategy<Value = Then> {
    prop_oneof![
        4 => Just(Then::Record),
        2 => Just(Then::Release),
        1 => Just(Then::GiveUp),
        1 => Just(Then::PausedThenRecord),
        1 => Just(Then::DieBefore),
        1 => Just(Then::DieAfter),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(Fault::AnswerLost),
        Just(Fault::CommitLost),
        Just(Fault::Late),
        Just(Fault::Throttled),
    ];
    let request = (0..INSTANCES, 0..KEYS, then(), 0..15_u64, 0..200_u64);
    prop_oneof![
        8 => request.prop_map(|(instance, key, then, runs_ms, patience_ms)| Step::Request {
            instance, key, then, runs_ms, patience_ms,
        }),
        1 => (0..INSTANCES, 0..KEYS, 0..10_u64).prop_map(|(instance, key, after_ms)| {
            Step::GoesAway { instance, key, after_ms }
        }),
        3 => (fault, 1..5_usize).prop_map(|(fault, count)| Step::Faults(fault, count)),
        1 => any::<bool>().prop_map(Step::Down),
        1 => (0..5_u64).prop_map(Step::Slow),
        2 => Just(Step::Land),
        2 => (0..20_u64).prop_map(Step::Wait),
    ]
}

/// The world outside: what took effect, and what callers were told.
#[derive(Default)]
struct Outside {
    effects: [AtomicUsize; KEYS],
    answers: Mutex<HashMap<usize, Vec<String>>>,
}

impl Outside {
    fn run(&self, key: usize) -> String {
        let before = self.effects[key].fetch_add(1, Ordering::SeqCst);
        assert_eq!(before, 0, "the call of key {key} ran twice");
        format!("answer {key}")
    }

    fn told(&self, key: usize, answer: &str) {
        let mut answers = self.answers.lock();
        answers.entry(key).or_default().push(answer.to_owned());
    }

    fn effects(&self, key: usize) -> usize {
        self.effects[key].load(Ordering::SeqCst)
    }
}

struct Request {
    all: Arc<Deployment>,
    outside: Arc<Outside>,
    instance: Arc<Instance>,
    name: String,
    key: usize,
    call: KeyedCall,
}

impl Request {
    async fn serve(self, then: Then, runs: Duration, patience: Duration) {
        match self.instance.claims.claim(&self.call, patience).await {
            Ok(ClaimOutcome::Acquired) => self.act(then, runs).await,
            Ok(ClaimOutcome::Completed(answer)) => self.outside.told(self.key, &answer.body),
            // Nothing is said about the outcome, or nothing ran on behalf of this request.
            Ok(ClaimOutcome::Unknown) | Err(_) => {}
        }
    }

    async fn act(&self, then: Then, runs: Duration) {
        let claims = &self.instance.claims;
        let timer = Timer::new();
        match then {
            Then::Release => {
                timer.sleep(runs).await;
                claims.release(&self.call).await;
            }
            Then::DieBefore => self.all.gone.add(&self.name, 1),
            Then::DieAfter => {
                self.outside.run(self.key);
                self.all.gone.add(&self.name, 1);
            }
            Then::GiveUp => {
                self.outside.run(self.key);
                claims.abandon(&self.call).await;
            }
            Then::Record | Then::PausedThenRecord => {
                if matches!(then, Then::PausedThenRecord) {
                    self.all.gone.add(&self.name, 1);
                }
                timer.sleep(runs).await;
                let text = self.outside.run(self.key);
                self.outside.told(self.key, &text);
                claims.record(&self.call, answer(&text)).await;
            }
        }
    }
}

async fn play(steps: Vec<Step>, settle_first: bool) {
    let all = Arc::new(Deployment::default());
    let outside = Arc::new(Outside::default());
    let name = |number: usize| format!("i{number}");
    let instances: Vec<Arc<Instance>> = (0..INSTANCES)
        .map(|number| Arc::new(all.start(&name(number), 1)))
        .collect();
    let request = |instance: usize, key: usize| Request {
        all: all.clone(),
        outside: outside.clone(),
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
                then,
                runs_ms,
                patience_ms,
            } => {
                let runs = Duration::from_millis(runs_ms);
                let patience = Duration::from_millis(patience_ms);
                let serve = request(instance, key).serve(then, runs, patience);
                tasks.push(workers::spawn(serve));
            }
            Step::GoesAway {
                instance,
                key,
                after_ms,
            } => {
                let request = request(instance, key);
                tasks.push(workers::spawn(async move {
                    let claim = request.instance.claims.claim(&request.call, PATIENCE);
                    let after = Duration::from_millis(after_ms);
                    if Timer::new().within(after, claim).await == Some(Ok(ClaimOutcome::Acquired)) {
                        request.instance.claims.release(&request.call).await;
                    }
                }));
            }
            Step::Faults(fault, count) => all.table.add_faults(vec![fault; count]),
            Step::Down(down) => all.table.set_down(down),
            Step::Slow(ms) => all.table.set_delay(Duration::from_millis(ms)),
            Step::Land => {
                all.table.apply_late_commits();
            }
            Step::Wait(ms) => timer.sleep(Duration::from_millis(ms)).await,
        }
    }
    all.table.set_down(false);
    all.table.set_delay(Duration::ZERO);
    all.table.clear_faults();
    for task in tasks {
        let ended = timer.within(PATIENCE, task).await;
        assert!(ended.is_some(), "a request hangs");
    }
    if settle_first {
        for instance in &instances {
            instance.until_settled().await;
        }
        all.table.apply_late_commits();
    }
    check(&all, &outside).await;
}

/// Once the faults are over, each key comes to an end that fits what happened, and stays there.
async fn check(all: &Deployment, outside: &Outside) {
    let late = all.start("late", 1);
    for key in 0..KEYS {
        let call = call(&key.to_string(), "d");
        match late.claim_when_up(&call).await {
            Ok(ClaimOutcome::Acquired) => {
                let text = outside.run(key);
                outside.told(key, &text);
                late.claims.record(&call, answer(&text)).await;
            }
            Ok(ClaimOutcome::Completed(answer)) => outside.told(key, &answer.body),
            Ok(ClaimOutcome::Unknown) => {}
            Err(error @ (ClaimError::StillRunning | ClaimError::StoreUnavailable)) => {
                panic!("key {key} is blocked: {error}");
            }
            Err(ClaimError::OtherCall) => panic!("there is one call for key {key}"),
        }
        all.table.apply_late_commits();
        let again = late.claim_when_up(&call).await;
        let ended = matches!(
            again,
            Ok(ClaimOutcome::Completed(_) | ClaimOutcome::Unknown)
        );
        assert!(ended, "key {key} could run again: {again:?}");
        if let Ok(ClaimOutcome::Completed(answer)) = again {
            outside.told(key, &answer.body);
            assert_eq!(
                outside.effects(key),
                1,
                "an answer of key {key} without a run"
            );
        }
    }
    for (key, answers) in outside.answers.lock().iter() {
        let expected = format!("answer {key}");
        assert!(answers.iter().all(|a| *a == expected), "{answers:?}");
    }
}

proptest! {
    // Instances die, pause and race over a few keys while the table service goes down, slows,
    // refuses, loses answers and lets writes take effect late. A caller would notice a call that
    // ran twice, two different answers, or a key that never comes to an end.
    #[test]
    fn a_key_runs_at_most_once_and_comes_to_an_end(
        steps in prop::collection::vec(step(), 1..40),
        settle_first in any::<bool>(),
    ) {
        smol::block_on(play(steps, settle_first));
    }
}
