//! Tests of the pauses between the events of answers that run beside prompts.

mod support;

use std::time::Duration;

use placing::{Pauses, Tuning};
use support::side_by_side::{MAX_PAUSE, Run, run};
use types::{Moment, TargetId};

const START: Moment = Duration::from_secs(100);

fn unbounded() -> Tuning {
    Tuning {
        bounds_pauses: false,
        ..Tuning::default()
    }
}

/// Long answers all the time, and a burst of short ones with long prompts every three seconds.
fn bursts_beside_long_answers() -> Vec<Run> {
    let long = (0..48).map(|n| Run::new(n * 500, 2_000, 900));
    let bursts = (0..8).flat_map(|burst| (0..15).map(move |_| Run::new(burst * 3_000, 2_800, 9)));
    long.chain(bursts).collect()
}

fn share(runs: &[Run], keeps: impl Fn(&Run) -> bool) -> f64 {
    let kept = u32::try_from(runs.iter().filter(|run| keeps(run)).count()).unwrap_or_default();
    f64::from(kept) / f64::from(u32::try_from(runs.len()).unwrap_or(1))
}

fn keeps_pauses(run: &Run) -> bool {
    Duration::from_millis(run.longest_pause_ms) <= MAX_PAUSE
}

fn begins_in_time(run: &Run) -> bool {
    run.first_event_ms.is_some_and(|time| time <= 1_800)
}

#[test]
fn beside_bursts_of_fifteen_prompts_at_four_engines_answers_keep_their_pauses() {
    let bounded = run(bursts_beside_long_answers(), 4, 40_000, Tuning::default());
    let free = run(bursts_beside_long_answers(), 4, 40_000, unbounded());
    let (kept, kept_free) = (share(&bounded, keeps_pauses), share(&free, keeps_pauses));
    println!("kept {kept:.3}, unbounded {kept_free:.3}");
    assert!(kept >= 0.95, "{kept:.3}");
    assert!(kept > kept_free, "{kept:.3} and {kept_free:.3}");
}

#[test]
fn beside_bursts_of_fifteen_prompts_at_four_engines_no_fewer_answers_begin_in_time() {
    let bounded = run(bursts_beside_long_answers(), 4, 40_000, Tuning::default());
    let free = run(bursts_beside_long_answers(), 4, 40_000, unbounded());
    let (begun, begun_free) = (
        share(&bounded, begins_in_time),
        share(&free, begins_in_time),
    );
    println!("begun {begun:.3}, unbounded {begun_free:.3}");
    assert!(begun >= begun_free - 0.01, "{begun:.3} and {begun_free:.3}");
}

#[test]
fn under_light_load_requests_go_where_they_would_without_bounds() {
    let light = || (0..20).map(|n| Run::new(n * 1_500, 2_000, 300)).collect();
    let targets = |tuning| {
        let runs = run(light(), 4, 40_000, tuning);
        runs.into_iter().map(|run| run.target).collect::<Vec<_>>()
    };
    assert_eq!(targets(Tuning::default()), targets(unbounded()));
}

/// What an owner learns from two entries of an engine.
struct Learner {
    pauses: Pauses,
    target: TargetId,
    now: Moment,
}

impl Learner {
    fn new() -> Self {
        Self {
            pauses: Pauses::default(),
            target: "e-1".into(),
            now: START,
        }
    }

    /// Both entries see this pause beside a number of prompts.
    fn see(&mut self, prompts: usize, pause_ms: u64) {
        for entry in ["entry-1", "entry-2"] {
            self.see_by(entry, prompts, pause_ms);
        }
    }

    fn see_by(&mut self, entry: &str, prompts: usize, pause_ms: u64) {
        self.pauses.set_prompts(self.now, &self.target, prompts);
        let from = self.now;
        self.now += Duration::from_millis(700);
        let pause = Duration::from_millis(pause_ms);
        self.pauses
            .record(self.now, &self.target, &entry.into(), from, pause);
    }

    fn limit(&self) -> Option<usize> {
        self.pauses.limit(self.now, &self.target, MAX_PAUSE)
    }

    /// An engine whose pauses grow by 30 ms with each prompt.
    fn with_usual_pauses(mut self) -> Self {
        for _ in 0..3 {
            (0..4).for_each(|prompts| self.see(prompts, 50 + 30 * prompts as u64));
        }
        self
    }
}

// Guards against an owner that has just started and holds back requests without knowing anything.
#[test]
fn an_owner_that_has_seen_no_pauses_limits_nothing() {
    assert_eq!(Learner::new().limit(), None);
}

#[test]
fn an_engine_reads_as_many_prompts_as_its_answers_bear() {
    let learner = Learner::new().with_usual_pauses();
    let allowed = Duration::from_millis(150);
    assert_eq!(
        learner.pauses.limit(learner.now, &learner.target, allowed),
        Some(2)
    );
}

// Guards against an engine that turns slow and goes on being given as many prompts.
#[test]
fn an_engine_whose_speed_halves_reads_fewer_prompts_until_it_is_fast_again() {
    let mut learner = Learner::new().with_usual_pauses();
    assert_eq!(learner.limit(), None);
    learner.see(0, 120);
    assert_eq!(learner.limit(), Some(0));
    (0..10).for_each(|_| learner.see(0, 50));
    assert_eq!(learner.limit(), None);
}

// Guards against an entry that was frozen and takes its own pause for the engine's.
#[test]
fn the_pause_that_one_frozen_entry_saw_limits_nothing() {
    let mut learner = Learner::new().with_usual_pauses();
    learner.see_by("entry-3", 0, 2_000);
    learner.see_by("entry-3", 1, 2_000);
    assert_eq!(learner.limit(), None);
}

// Guards against an engine that looks safe only because it has not yet had its slow moments.
#[test]
fn an_engine_is_expected_to_slow_down_for_moments_as_the_others_do() {
    let mut learner = Learner::new();
    for other in ["e-2", "e-3", "e-4"] {
        learner.target = other.into();
        learner.see(0, 40);
        learner.see(0, 90);
    }
    learner.target = "e-1".into();
    learner.see(0, 60);
    let expected = learner.pauses.expected(learner.now, &learner.target, 0);
    assert!(expected > Some(Duration::from_millis(100)), "{expected:?}");
}

// Guards against an engine that was slow once and is held to it for ever.
#[test]
fn reports_that_are_old_limit_nothing() {
    let mut learner = Learner::new();
    learner.see(0, 170);
    learner.see(1, 400);
    assert_eq!(learner.limit(), Some(0));
    learner.now += Duration::from_secs(30);
    assert_eq!(learner.limit(), None);
}
