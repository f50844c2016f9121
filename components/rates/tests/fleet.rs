//! Instances that share out the rate of one target, without network: answers and messages are late,
//! instances are cut off, start again, and for a moment two of them keep the account.

use std::time::Duration;

use fastrand::Rng;
use proptest::prelude::*;
use rates::{RateAllocator, RateLimits, RateReport, Reservation};
use types::{Moment, TargetId};

/// Time from the target's first naming until its limit is kept.
const CONTACT: Duration = Duration::from_secs(3);
/// Time that an instance has known of the limit when its requests count.
const TOLD: Duration = Duration::from_millis(500);
/// The time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What a window may have beyond the limit: a part of it, and some requests.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time between two steps of the model.
const STEP: Duration = Duration::from_millis(5);
/// Time that is played.
const PLAYED: Duration = Duration::from_secs(30);
/// Time until an instance that does not answer is passed over, and for how long.
const SUSPECT: Duration = Duration::from_millis(1_500);

struct Instance {
    limits: RateLimits,
    slots: RateAllocator,
    /// It can't be reached, and reaches nobody but the target, until then.
    cut_until: Moment,
    /// It was cut off or started again last.
    harmed: Moment,
    /// When an answer first told it of the limit.
    told: Option<Moment>,
    /// Others that did not answer it, and until when it passes them over.
    passed_over: Vec<Moment>,
}

struct Fleet {
    instances: Vec<Instance>,
    rng: Rng,
    now: Moment,
    rate: f64,
    /// Answers and words under way: when they arrive, at whom, and the moment at which the request
    /// of an answer was sent.
    answers: Vec<(Moment, usize, Moment)>,
    words: Vec<(Moment, usize, RateReport)>,
    /// Requests that count.
    counted: Vec<Moment>,
    sent: usize,
}

fn target() -> TargetId {
    "p-1".into()
}

fn instance(count: usize) -> Instance {
    Instance {
        limits: RateLimits::new(),
        slots: RateAllocator::new(),
        cut_until: Duration::ZERO,
        harmed: Duration::ZERO,
        told: None,
        passed_over: vec![Duration::ZERO; count],
    }
}

impl Fleet {
    fn new(seed: u64, count: usize, rate: f64) -> Self {
        Self {
            instances: (0..count).map(|_| instance(count)).collect(),
            rng: Rng::with_seed(seed),
            now: CONTACT * 2,
            rate,
            answers: Vec::new(),
            words: Vec::new(),
            counted: Vec::new(),
            sent: 0,
        }
    }

    /// Plays traffic of so many requests a second, and trouble at so many moments.
    fn play(&mut self, per_s: f64, troubles: usize) {
        let begun = self.now;
        let moment = |rng: &mut Rng| begun + PLAYED.mul_f64(rng.f64());
        let mut trouble: Vec<Moment> = (0..troubles).map(|_| moment(&mut self.rng)).collect();
        while self.now < begun + PLAYED {
            self.now += STEP;
            self.deliver();
            trouble.retain(|at| {
                let due = *at <= self.now;
                if due {
                    harm(&mut self.rng, &mut self.instances, self.now);
                }
                !due
            });
            if self.rng.f64() < per_s * STEP.as_secs_f64() {
                let number = self.rng.usize(..self.instances.len());
                self.request(number);
            }
        }
    }

    fn soon(&mut self) -> Moment {
        self.now + Duration::from_millis(self.rng.u64(1..60))
    }

    fn deliver(&mut self) {
        let (now, rate) = (self.now, self.rate);
        let due: Vec<_> = self.answers.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, number, sent) in due {
            let instance = &mut self.instances[number];
            instance.told.get_or_insert(now);
            let word = instance.limits.observe(now, sent, &target(), Some(rate));
            if let Some(word) = word {
                self.tell_all(number, &word);
            }
        }
        let due: Vec<_> = self.words.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, number, word) in due {
            self.instances[number].limits.apply(now, &word);
        }
    }

    fn tell_all(&mut self, from: usize, word: &RateReport) {
        for to in 0..self.instances.len() {
            if self.reaches(from, to) {
                let at = self.soon();
                self.words.push((at, to, word.clone()));
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = |number: usize| self.instances[number].cut_until > self.now;
        from == to || !(cut(from) || cut(to))
    }

    fn request(&mut self, number: usize) {
        let now = self.now;
        let rate = self.instances[number].limits.rate(&target());
        let slot = match rate {
            None => Reservation::NOW,
            Some(rate) => self.ask(number, rate),
        };
        let Reservation::Granted { after } = slot else {
            return;
        };
        self.sent += 1;
        let instance = &self.instances[number];
        let counts = instance.told.is_some_and(|told| told + TOLD <= now)
            && instance.harmed + CONTACT < now
            && now > CONTACT * 3;
        if counts {
            self.counted.push(now + after);
        }
        let at = self.soon() + after;
        self.answers.push((at, number, now + after));
    }

    /// Asks the first that answers, as an instance sees it.
    fn ask(&mut self, number: usize, rate: f64) -> Reservation {
        let now = self.now;
        let passed_over = &self.instances[number].passed_over;
        let keeper = (0..self.instances.len()).find(|to| *to == number || passed_over[*to] <= now);
        let keeper = keeper.unwrap_or(number);
        if !self.reaches(number, keeper) {
            self.instances[number].passed_over[keeper] = now + SUSPECT;
            return Reservation::Rejected { after: SUSPECT };
        }
        self.instances[keeper]
            .slots
            .reserve(now, &target(), rate, Duration::from_millis(100))
    }

    /// The most requests that count in one window.
    fn most(&self) -> usize {
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

/// Cuts an instance off for a while, or starts it again.
fn harm(rng: &mut Rng, instances: &mut [Instance], now: Moment) {
    let (count, number) = (instances.len(), rng.usize(..instances.len()));
    if rng.bool() {
        let until = now + CONTACT.mul_f64(rng.f64() * 2.0);
        instances[number].cut_until = until;
        instances[number].harmed = until;
    } else {
        instances[number] = instance(count);
        instances[number].harmed = now;
    }
}

/// Guards against a sum over hundreds of instances that lies above a rate which each of them keeps.
#[test]
fn hundreds_of_instances_keep_the_rate_together_and_use_it() {
    for (seed, rate) in [(1, 4.0), (2, 0.8), (3, 20.0)] {
        let mut fleet = Fleet::new(seed, 195, rate);
        fleet.play(120.0, 0);
        assert!(
            fleet.most() as f64 <= fleet.allowed(),
            "{} at {rate}",
            fleet.most()
        );
        let used = fleet.sent as f64 / PLAYED.as_secs_f64();
        assert!(used > rate * 0.5, "{used} a second at {rate}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Guards against more than a target takes while the account changes hands.
    #[test]
    fn instances_in_touch_keep_a_rate_where_others_are_cut_off_and_start_again(
        seed in any::<u64>(),
        count in 2..40_usize,
        rate in 0.5..12.0_f64,
        per_s in 5.0..80.0_f64,
        troubles in 0..12_usize,
    ) {
        let mut fleet = Fleet::new(seed, count, rate);
        fleet.play(per_s, troubles);
        let most = fleet.most();
        prop_assert!(most as f64 <= fleet.allowed(), "{most}, {} allowed", fleet.allowed());
    }
}
