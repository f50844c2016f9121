//! Simulation of many instances that exchange evidence and verdicts about one request that crashes
//! every target. No network is used; messages are delayed or lost, and instances are partitioned
//! and restarted.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use fastrand::Rng;
use proptest::prelude::*;
use quarantine::{Evidence, Fingerprint, QuarantineState, TargetIncarnation, Verdict};
use types::Moment;

/// Time within which a crash is known to all instances that are neither partitioned nor restarted.
const PROPAGATION: Duration = Duration::from_secs(3);
/// Maximum number of times that the request may be sent later than that after the third crash.
const MAX_LATE: usize = 3;
/// Simulated time in which the request is sent.
const SIMULATED: Duration = Duration::from_secs(90);
/// Time between two syncs of an instance with the first one.
const SYNC_PERIOD: Duration = Duration::from_millis(700);
/// Pause before a lost message is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Attempts to deliver a message.
const MAX_ATTEMPTS: u32 = 4;

#[derive(Clone)]
enum Step {
    /// A caller sends the request to an instance.
    Send(usize),
    /// An instance notices that a target crashed while running the request.
    Crash(usize, Evidence),
    /// A message from one instance to another arrives; the last field counts the attempts left.
    Evidence(usize, usize, Evidence, u32),
    Verdicts(usize, usize, Vec<Verdict>, u32),
    Sync(usize),
    /// An instance is partitioned from the others until the given time.
    Partition(usize, Moment),
    Restart(usize),
}

struct Instance {
    state: QuarantineState,
    partitioned_until: Moment,
    /// Last time at which it was restarted or partitioned.
    disturbed: Moment,
}

struct Simulation {
    instances: Vec<Instance>,
    rng: Rng,
    /// Times and numbers of the steps that are due.
    queue: BinaryHeap<Reverse<(Moment, usize)>>,
    steps: Vec<Step>,
    now: Moment,
    /// When targets crashed.
    crashes: Vec<Moment>,
    /// How often an undisturbed instance sent the request later than allowed.
    late: usize,
}

fn request() -> Fingerprint {
    Fingerprint::new(&[b"a request"])
}

impl Simulation {
    fn new(seed: u64, count: usize, disturbances: usize) -> Self {
        let instance = |_| Instance {
            state: QuarantineState::new(),
            partitioned_until: Duration::ZERO,
            disturbed: Duration::ZERO,
        };
        let mut simulation = Self {
            instances: (0..count).map(instance).collect(),
            rng: Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            steps: Vec::new(),
            now: PROPAGATION * 2,
            crashes: Vec::new(),
            late: 0,
        };
        for _ in 0..90 {
            let at = simulation.random_moment();
            let to = simulation.rng.usize(..count);
            simulation.schedule(at, Step::Send(to));
        }
        for number in 0..count {
            let at = simulation.now + SYNC_PERIOD.mul_f64(simulation.rng.f64());
            simulation.schedule(at, Step::Sync(number));
        }
        for _ in 0..disturbances {
            let (at, who) = (simulation.random_moment(), simulation.rng.usize(..count));
            let lasts = PROPAGATION.mul_f64(simulation.rng.f64() * 2.0);
            let partition = simulation.rng.bool();
            let step = if partition {
                Step::Partition(who, at + lasts)
            } else {
                Step::Restart(who)
            };
            simulation.schedule(at, step);
        }
        simulation
    }

    fn random_moment(&mut self) -> Moment {
        self.now + SIMULATED.mul_f64(self.rng.f64())
    }

    fn schedule(&mut self, at: Moment, step: Step) {
        self.queue.push(Reverse((at, self.steps.len())));
        self.steps.push(step);
    }

    /// Schedules a step after a random network delay.
    fn schedule_soon(&mut self, step: Step) {
        let at = self.now + Duration::from_millis(self.rng.u64(1..150));
        self.schedule(at, step);
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let partitioned = |number: usize| self.instances[number].partitioned_until > self.now;
        from == to || !(partitioned(from) || partitioned(to))
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            self.execute(self.steps[number].clone());
        }
    }

    fn execute(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Send(to) => self.send(to),
            Step::Crash(to, evidence) => {
                self.crashes.push(now);
                for aggregator in self.aggregators(to) {
                    self.schedule_soon(Step::Evidence(
                        to,
                        aggregator,
                        evidence.clone(),
                        MAX_ATTEMPTS,
                    ));
                }
            }
            Step::Evidence(from, to, evidence, attempts) => {
                if !self.can_reach(from, to) {
                    if attempts > 1 {
                        self.schedule(
                            now + RETRY_PAUSE,
                            Step::Evidence(from, to, evidence, attempts - 1),
                        );
                    }
                } else if let Some(verdict) = self.instances[to].state.record_crash(now, evidence) {
                    for other in 0..self.instances.len() {
                        self.schedule_soon(Step::Verdicts(to, other, vec![verdict], MAX_ATTEMPTS));
                    }
                }
            }
            Step::Verdicts(from, to, verdicts, attempts) => {
                if !self.can_reach(from, to) {
                    if attempts > 1 {
                        self.schedule(
                            now + RETRY_PAUSE,
                            Step::Verdicts(from, to, verdicts, attempts - 1),
                        );
                    }
                    return;
                }
                for verdict in &verdicts {
                    self.instances[to].state.apply(now, verdict);
                }
            }
            Step::Sync(number) => {
                if now < SIMULATED + PROPAGATION * 2 {
                    self.schedule(now + SYNC_PERIOD, Step::Sync(number));
                }
                let other = usize::from(number == 0);
                let verdicts = |number: usize| self.instances[number].state.verdicts(now);
                let (mine, others) = (verdicts(number), verdicts(other));
                self.schedule_soon(Step::Verdicts(number, other, mine, 1));
                self.schedule_soon(Step::Verdicts(other, number, others, 1));
            }
            Step::Partition(number, until) => {
                let instance = &mut self.instances[number];
                instance.partitioned_until = instance.partitioned_until.max(until);
                instance.disturbed = instance.disturbed.max(until);
            }
            Step::Restart(number) => {
                let instance = &mut self.instances[number];
                instance.state = QuarantineState::new();
                instance.disturbed = instance.disturbed.max(now);
            }
        }
    }

    /// The instance itself, and the first two that it can reach.
    fn aggregators(&self, from: usize) -> Vec<usize> {
        let reached = (0..self.instances.len()).filter(|to| self.can_reach(from, *to));
        let mut aggregators: Vec<usize> = reached.take(2).collect();
        if !aggregators.contains(&from) {
            aggregators.push(from);
        }
        aggregators
    }

    fn send(&mut self, to: usize) {
        let now = self.now;
        if self.instances[to].state.rejects(now, &request()) {
            return;
        }
        let third = self.crashes.get(2).copied();
        let undisturbed = self.instances[to].disturbed + PROPAGATION < now;
        if undisturbed && third.is_some_and(|third| third + PROPAGATION < now) {
            self.late += 1;
        }
        let ran_for = Duration::from_millis(self.rng.u64(50..700));
        let noticed = Duration::from_millis(self.rng.u64(..400));
        let evidence = Evidence {
            fingerprint: request(),
            incarnation: TargetIncarnation {
                target: format!("e-{}", self.rng.u64(..)).into(),
                started_at: None,
            },
            age: noticed,
            ran_for,
            earlier: Vec::new(),
        };
        self.schedule(now + ran_for + noticed, Step::Crash(to, evidence));
    }
}

/// Guards against a request that keeps crashing targets because each instance sees only one crash
/// and is not told of those seen by the others.
#[test]
fn undisturbed_instances_reject_a_request_soon_after_the_third_crash() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed, 9, 0);
        simulation.run();
        assert!(simulation.crashes.len() >= 3, "seed {seed}");
        assert!(
            simulation.late <= MAX_LATE,
            "seed {seed}: {} late",
            simulation.late
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against rejections that are lost together with an aggregator, or that never reach an
    /// instance which was partitioned when they were sent.
    #[test]
    fn a_request_is_rarely_sent_late_despite_partitions_and_restarts(
        seed in any::<u64>(), count in 2..40_usize, disturbances in 0..12_usize,
    ) {
        let mut simulation = Simulation::new(seed, count, disturbances);
        simulation.run();
        prop_assert!(
            simulation.late <= MAX_LATE,
            "{} late, {} crashes",
            simulation.late,
            simulation.crashes.len()
        );
    }
}
