//! A simulation of instances that share the rate limit of one target: answers and reports are
//! delayed, instances are partitioned and restarted, and for a moment two of them act as the
//! coordinator.

use std::time::Duration;

use fastrand::Rng;
use proptest::prelude::*;
use rates::{RateAllocator, RateLimits, RateReport, Reservation};
use types::{Moment, TargetId};

/// Time from the target's first announcement, or from the end of a fault, until requests count.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which an instance must have known the limit for its requests to count.
const KNOWN_TIME: Duration = Duration::from_millis(500);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window: this multiple of the limit, plus `SLACK`.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Simulated time.
const DURATION: Duration = Duration::from_secs(30);
/// How long an instance that did not answer is skipped.
const SKIP_TIME: Duration = Duration::from_millis(1_500);

struct Instance {
    limits: RateLimits,
    allocator: RateAllocator,
    /// Until then it reaches only the target and itself, and no other instance reaches it.
    partitioned_until: Moment,
    /// When its last fault ended.
    last_fault: Moment,
    /// When an answer first announced the limit to it.
    known_since: Option<Moment>,
    /// For each other instance, until when this one skips it because it did not answer.
    skipped_until: Vec<Moment>,
}

struct Fleet {
    instances: Vec<Instance>,
    rng: Rng,
    now: Moment,
    rate: f64,
    /// Answers in transit: arrival, receiver, and when the request was sent.
    answers: Vec<(Moment, usize, Moment)>,
    /// Reports in transit: arrival and receiver.
    reports: Vec<(Moment, usize, RateReport)>,
    /// When the requests that count reach the target.
    counted: Vec<Moment>,
    sent: usize,
}

fn target() -> TargetId {
    "p-1".into()
}

fn instance(count: usize) -> Instance {
    Instance {
        limits: RateLimits::new(),
        allocator: RateAllocator::new(),
        partitioned_until: Duration::ZERO,
        last_fault: Duration::ZERO,
        known_since: None,
        skipped_until: vec![Duration::ZERO; count],
    }
}

impl Fleet {
    fn new(seed: u64, count: usize, rate: f64) -> Self {
        Self {
            instances: (0..count).map(|_| instance(count)).collect(),
            rng: Rng::with_seed(seed),
            now: SETTLE_TIME * 2,
            rate,
            answers: Vec::new(),
            reports: Vec::new(),
            counted: Vec::new(),
            sent: 0,
        }
    }

    /// Simulates traffic of `per_s` requests a second with `faults` faults at random moments.
    fn run(&mut self, per_s: f64, faults: usize) {
        let start = self.now;
        let moment = |rng: &mut Rng| start + DURATION.mul_f64(rng.f64());
        let mut pending: Vec<Moment> = (0..faults).map(|_| moment(&mut self.rng)).collect();
        while self.now < start + DURATION {
            self.now += STEP;
            self.deliver();
            pending.retain(|at| {
                let due = *at <= self.now;
                if due {
                    inject_fault(&mut self.rng, &mut self.instances, self.now);
                }
                !due
            });
            if self.rng.f64() < per_s * STEP.as_secs_f64() {
                let number = self.rng.usize(..self.instances.len());
                self.request(number);
            }
        }
    }

    fn delivery_time(&mut self) -> Moment {
        self.now + Duration::from_millis(self.rng.u64(1..60))
    }

    fn deliver(&mut self) {
        let (now, rate) = (self.now, self.rate);
        let due: Vec<_> = self.answers.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, number, sent) in due {
            let instance = &mut self.instances[number];
            instance.known_since.get_or_insert(now);
            let report = instance.limits.observe(now, sent, &target(), Some(rate));
            if let Some(report) = report {
                self.broadcast(number, &report);
            }
        }
        let due: Vec<_> = self.reports.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, number, report) in due {
            self.instances[number].limits.apply(now, &report);
        }
    }

    fn broadcast(&mut self, from: usize, report: &RateReport) {
        for to in 0..self.instances.len() {
            if self.can_reach(from, to) {
                let at = self.delivery_time();
                self.reports.push((at, to, report.clone()));
            }
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let partitioned = |number: usize| self.instances[number].partitioned_until > self.now;
        from == to || !(partitioned(from) || partitioned(to))
    }

    fn request(&mut self, number: usize) {
        let now = self.now;
        let rate = self.instances[number].limits.rate(&target());
        let reservation = match rate {
            None => Reservation::NOW,
            Some(rate) => self.reserve(number, rate),
        };
        let Reservation::Granted { after } = reservation else {
            return;
        };
        self.sent += 1;
        let instance = &self.instances[number];
        let counts = instance
            .known_since
            .is_some_and(|known_since| known_since + KNOWN_TIME <= now)
            && instance.last_fault + SETTLE_TIME < now
            && now > SETTLE_TIME * 3;
        if counts {
            self.counted.push(now + after);
        }
        let at = self.delivery_time() + after;
        self.answers.push((at, number, now + after));
    }

    /// Reserves a request at the coordinator: the first instance that this one does not skip.
    fn reserve(&mut self, number: usize, rate: f64) -> Reservation {
        let now = self.now;
        let skipped_until = &self.instances[number].skipped_until;
        let coordinator =
            (0..self.instances.len()).find(|to| *to == number || skipped_until[*to] <= now);
        let coordinator = coordinator.unwrap_or(number);
        if !self.can_reach(number, coordinator) {
            self.instances[number].skipped_until[coordinator] = now + SKIP_TIME;
            return Reservation::Rejected { after: SKIP_TIME };
        }
        self.instances[coordinator].allocator.reserve(
            now,
            &target(),
            rate,
            Duration::from_millis(100),
        )
    }

    /// The largest number of counted requests in one window.
    fn max_in_window(&self) -> usize {
        let inside = |from: &Moment| {
            let window = *from..*from + WINDOW;
            self.counted.iter().filter(|at| window.contains(at)).count()
        };
        self.counted.iter().map(inside).max().unwrap_or_default()
    }

    fn allowed(&self) -> f64 {
        OVERAGE * self.rate * WINDOW.as_secs_f64() + SLACK
    }
}

/// Partitions a random instance for a while, or restarts it.
fn inject_fault(rng: &mut Rng, instances: &mut [Instance], now: Moment) {
    let (count, number) = (instances.len(), rng.usize(..instances.len()));
    if rng.bool() {
        let until = now + SETTLE_TIME.mul_f64(rng.f64() * 2.0);
        instances[number].partitioned_until = until;
        instances[number].last_fault = until;
    } else {
        instances[number] = instance(count);
        instances[number].last_fault = now;
    }
}

/// Each instance may stay within the limit while their sum does not.
#[test]
fn hundreds_of_instances_together_stay_within_the_limit_and_use_it() {
    for (seed, rate) in [(1, 4.0), (2, 0.8), (3, 20.0)] {
        let mut fleet = Fleet::new(seed, 195, rate);
        fleet.run(120.0, 0);
        assert!(
            fleet.max_in_window() as f64 <= fleet.allowed(),
            "{} at {rate}",
            fleet.max_in_window()
        );
        let used = fleet.sent as f64 / DURATION.as_secs_f64();
        assert!(used > rate * 0.5, "{used} a second at {rate}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// While the coordinator changes, two instances may allocate the same limit.
    #[test]
    fn connected_instances_stay_within_the_limit_while_others_are_partitioned_and_restart(
        seed in any::<u64>(),
        count in 2..40_usize,
        rate in 0.5..12.0_f64,
        per_s in 5.0..80.0_f64,
        faults in 0..12_usize,
    ) {
        let mut fleet = Fleet::new(seed, count, rate);
        fleet.run(per_s, faults);
        let max = fleet.max_in_window();
        prop_assert!(max as f64 <= fleet.allowed(), "{max}, {} allowed", fleet.allowed());
    }
}
