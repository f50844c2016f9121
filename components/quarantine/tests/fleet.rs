//! Instances that tell one another what they see of a request that crashes targets, without network:
//! messages are late or lost, instances are cut off and start again.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use fastrand::Rng;
use proptest::prelude::*;
use quarantine::{Evidence, Fingerprint, Ledger, Life, Word};
use types::Moment;

/// Time within which instances in touch know what one of them has seen.
const CONTACT: Duration = Duration::from_secs(3);
/// Sendings later than that after the third end which are allowed.
const ALLOWED: usize = 3;
/// Time that is played.
const PLAYED: Duration = Duration::from_secs(90);
/// Time between two syncs of an instance with the first one.
const SYNC: Duration = Duration::from_millis(700);
/// Pause before a message is sent again, and how often it is sent.
const AGAIN: Duration = Duration::from_millis(800);
const TRIES: u32 = 4;

#[derive(Clone)]
enum Step {
    /// Some caller sends the request to an instance.
    Sent(usize),
    /// A target ended under it, at an instance.
    Ended(usize, Evidence),
    /// A message arrives, and how often it may be sent yet.
    Evidence(usize, usize, Evidence, u32),
    Words(usize, usize, Vec<Word>, u32),
    Sync(usize),
    /// An instance is cut off from the others until then.
    Cut(usize, Moment),
    Restart(usize),
}

struct Instance {
    ledger: Ledger,
    cut_until: Moment,
    /// It was restarted or cut off last.
    harmed: Moment,
}

struct Fleet {
    instances: Vec<Instance>,
    rng: Rng,
    steps: BinaryHeap<Reverse<(Moment, usize)>>,
    what: Vec<Step>,
    now: Moment,
    /// When targets ended.
    ends: Vec<Moment>,
    /// Sendings by instances in touch, later than is allowed.
    late: usize,
}

fn request() -> Fingerprint {
    Fingerprint::new(&[b"a request"])
}

impl Fleet {
    fn new(seed: u64, count: usize, troubles: usize) -> Self {
        let instance = |_| Instance {
            ledger: Ledger::new(),
            cut_until: Duration::ZERO,
            harmed: Duration::ZERO,
        };
        let mut fleet = Self {
            instances: (0..count).map(instance).collect(),
            rng: Rng::with_seed(seed),
            steps: BinaryHeap::new(),
            what: Vec::new(),
            now: CONTACT * 2,
            ends: Vec::new(),
            late: 0,
        };
        for _ in 0..90 {
            let at = fleet.moment();
            let to = fleet.rng.usize(..count);
            fleet.plan(at, Step::Sent(to));
        }
        for number in 0..count {
            let at = fleet.now + SYNC.mul_f64(fleet.rng.f64());
            fleet.plan(at, Step::Sync(number));
        }
        for _ in 0..troubles {
            let (at, who) = (fleet.moment(), fleet.rng.usize(..count));
            let lasts = CONTACT.mul_f64(fleet.rng.f64() * 2.0);
            let cut = fleet.rng.bool();
            let step = if cut {
                Step::Cut(who, at + lasts)
            } else {
                Step::Restart(who)
            };
            fleet.plan(at, step);
        }
        fleet
    }

    fn moment(&mut self) -> Moment {
        self.now + PLAYED.mul_f64(self.rng.f64())
    }

    fn plan(&mut self, at: Moment, step: Step) {
        self.steps.push(Reverse((at, self.what.len())));
        self.what.push(step);
    }

    fn soon(&mut self, step: Step) {
        let at = self.now + Duration::from_millis(self.rng.u64(1..150));
        self.plan(at, step);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = |number: usize| self.instances[number].cut_until > self.now;
        from == to || !(cut(from) || cut(to))
    }

    fn play(&mut self) {
        while let Some(Reverse((at, number))) = self.steps.pop() {
            self.now = at;
            self.act(self.what[number].clone());
        }
    }

    fn act(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Sent(to) => self.send(to),
            Step::Ended(to, evidence) => {
                self.ends.push(now);
                for keeper in self.keepers(to) {
                    self.soon(Step::Evidence(to, keeper, evidence.clone(), TRIES));
                }
            }
            Step::Evidence(from, to, evidence, left) => {
                if !self.reaches(from, to) {
                    if left > 1 {
                        self.plan(now + AGAIN, Step::Evidence(from, to, evidence, left - 1));
                    }
                } else if let Some(word) = self.instances[to].ledger.ended(now, evidence) {
                    for other in 0..self.instances.len() {
                        self.soon(Step::Words(to, other, vec![word], TRIES));
                    }
                }
            }
            Step::Words(from, to, words, left) => {
                if !self.reaches(from, to) {
                    if left > 1 {
                        self.plan(now + AGAIN, Step::Words(from, to, words, left - 1));
                    }
                    return;
                }
                for word in &words {
                    self.instances[to].ledger.learn(now, word);
                }
            }
            Step::Sync(number) => {
                if now < PLAYED + CONTACT * 2 {
                    self.plan(now + SYNC, Step::Sync(number));
                }
                let other = usize::from(number == 0);
                let words = |number: usize| self.instances[number].ledger.words(now);
                let (mine, others) = (words(number), words(other));
                self.soon(Step::Words(number, other, mine, 1));
                self.soon(Step::Words(other, number, others, 1));
            }
            Step::Cut(number, until) => {
                let instance = &mut self.instances[number];
                instance.cut_until = instance.cut_until.max(until);
                instance.harmed = instance.harmed.max(until);
            }
            Step::Restart(number) => {
                let instance = &mut self.instances[number];
                instance.ledger = Ledger::new();
                instance.harmed = instance.harmed.max(now);
            }
        }
    }

    /// The instance itself, and the first two that it reaches.
    fn keepers(&self, from: usize) -> Vec<usize> {
        let reached = (0..self.instances.len()).filter(|to| self.reaches(from, *to));
        let mut keepers: Vec<usize> = reached.take(2).collect();
        if !keepers.contains(&from) {
            keepers.push(from);
        }
        keepers
    }

    fn send(&mut self, to: usize) {
        let now = self.now;
        if self.instances[to].ledger.rejects(now, &request()) {
            return;
        }
        let third = self.ends.get(2).copied();
        let in_touch = self.instances[to].harmed + CONTACT < now;
        if in_touch && third.is_some_and(|third| third + CONTACT < now) {
            self.late += 1;
        }
        let ran = Duration::from_millis(self.rng.u64(50..700));
        let noticed = Duration::from_millis(self.rng.u64(..400));
        let evidence = Evidence {
            fingerprint: request(),
            life: Life {
                target: format!("e-{}", self.rng.u64(..)).into(),
                born: None,
            },
            age: noticed,
            ran,
        };
        self.plan(now + ran + noticed, Step::Ended(to, evidence));
    }
}

/// Guards against a request that goes on crashing targets while instances that see one end each know
/// nothing of the others'.
#[test]
fn instances_in_touch_reject_a_request_soon_after_the_third_end() {
    for seed in 0..200 {
        let mut fleet = Fleet::new(seed, 9, 0);
        fleet.play();
        assert!(fleet.ends.len() >= 3, "seed {seed}");
        assert!(fleet.late <= ALLOWED, "seed {seed}: {} late", fleet.late);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against rejections that are lost with a keeper or miss an instance that was away.
    #[test]
    fn few_sendings_are_late_where_instances_are_cut_off_and_start_again(
        seed in any::<u64>(), count in 2..40_usize, troubles in 0..12_usize,
    ) {
        let mut fleet = Fleet::new(seed, count, troubles);
        fleet.play();
        prop_assert!(fleet.late <= ALLOWED, "{} late, {} ends", fleet.late, fleet.ends.len());
    }
}
