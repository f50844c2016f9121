//! Tests of the pauses between the events of answers that run beside prompts.

mod support;

use std::time::Duration;

use placing::{Pauses, Tuning};
use support::side_by_side::{MAX_PAUSE, Run, run};
use types::{Moment, TargetId};

const START: Moment = Duration::from_secs(100);
/// Tokens from which on an answer is long.
const LONG_ANSWER: u64 = 100;
/// Factors of time of twelve engines, a quarter of them fast.
const UNEVEN: [f64; 12] = [
    0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2,
];

fn without_penalty() -> Tuning {
    Tuning {
        pause_penalty: Duration::ZERO,
        ..Tuning::default()
    }
}

/// Long answers and short ones with long prompts, as many of each.
fn long_and_short_answers() -> Vec<Run> {
    let long = (0..180).map(|n| Run::new(n * 220, 3_000, 600));
    let short = (0..180).map(|n| Run::new(n * 220 + 110, 2_200, 9));
    long.chain(short).collect()
}

fn share(runs: &[&Run], keeps: impl Fn(&Run) -> bool) -> f64 {
    let kept = runs.iter().filter(|run| keeps(run)).count();
    f64::from(u32::try_from(kept).unwrap_or_default())
        / f64::from(u32::try_from(runs.len()).unwrap_or(1))
}

fn keeps_pauses(run: &Run) -> bool {
    Duration::from_millis(run.longest_pause_ms) <= MAX_PAUSE
}

fn begins_in_time(run: &Run) -> bool {
    run.first_event_ms.is_some_and(|time| time <= 1_800)
}

#[test]
fn beside_prompts_on_uneven_engines_long_answers_keep_their_pauses() {
    let kept = |tuning| {
        let runs = run(long_and_short_answers(), &UNEVEN, 45_000, tuning);
        let long: Vec<&Run> = runs.iter().filter(|run| run.tokens > LONG_ANSWER).collect();
        share(&long, keeps_pauses)
    };
    let (with, without) = (kept(Tuning::default()), kept(without_penalty()));
    println!("kept {with:.3}, without penalty {without:.3}");
    assert!(with >= 0.9, "{with:.3}");
    assert!(with > without, "{with:.3} and {without:.3}");
}

#[test]
fn beside_prompts_on_uneven_engines_no_fewer_answers_begin_in_time() {
    let begun = |tuning| {
        let runs = run(long_and_short_answers(), &UNEVEN, 45_000, tuning);
        share(&runs.iter().collect::<Vec<_>>(), begins_in_time)
    };
    let (with, without) = (begun(Tuning::default()), begun(without_penalty()));
    println!("begun {with:.3}, without penalty {without:.3}");
    assert!(with >= without, "{with:.3} and {without:.3}");
}

#[test]
fn on_engines_that_keep_all_pauses_requests_go_where_they_would_without_penalty() {
    let targets = |tuning| {
        let runs = run(long_and_short_answers(), &[0.5; 6], 45_000, tuning);
        runs.into_iter().map(|run| run.target).collect::<Vec<_>>()
    };
    assert_eq!(targets(Tuning::default()), targets(without_penalty()));
}

/// What an owner learns from reports on one engine at a time.
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

    /// An entry sees this pause beside a number of prompts.
    fn see(&mut self, prompts: usize, pause_ms: u64) {
        self.pauses.set_prompts(self.now, &self.target, prompts);
        let from = self.now;
        self.now += Duration::from_millis(700);
        let pause = Duration::from_millis(pause_ms);
        self.pauses.record(&self.target, from, pause, MAX_PAUSE);
    }

    /// A slow engine where each fourth prompt makes an answer late, and a fast one where none does.
    fn with_uneven_engines() -> Self {
        let mut learner = Self::new();
        for report in 0..40 {
            learner.target = "slow".into();
            learner.see(0, 40);
            learner.see(1, if report % 4 == 0 { 190 } else { 75 });
            learner.target = "fast".into();
            learner.see(0, 17);
            learner.see(1, 34);
        }
        learner
    }

    fn risk(&self, target: &str) -> f64 {
        self.pauses.risk(&target.into())
    }
}

// Guards against an owner that has just started and moves work without knowing anything.
#[test]
fn an_owner_that_has_seen_no_long_pause_expects_none() {
    let mut learner = Learner::new();
    assert_eq!(learner.risk("e-1").to_bits(), 0.0_f64.to_bits());
    learner.see(0, 40);
    learner.see(1, 75);
    assert_eq!(learner.risk("e-1").to_bits(), 0.0_f64.to_bits());
}

#[test]
fn slow_engines_are_told_from_those_where_prompts_do_no_harm() {
    let learner = Learner::with_uneven_engines();
    let (slow, fast) = (learner.risk("slow"), learner.risk("fast"));
    assert!((0.2..0.3).contains(&slow), "{slow:.3}");
    assert!(fast < 0.05, "{fast:.3}");
}

// Guards against learning anew of each engine that replaces a reclaimed one.
#[test]
fn an_engine_that_has_just_joined_counts_like_those_with_the_same_pauses() {
    let mut learner = Learner::with_uneven_engines();
    learner.target = "new".into();
    learner.see(0, 17);
    let new = learner.risk("new");
    assert!(new < 0.05, "{new:.3}");
}

// Guards against an engine that turns slow and is given long answers beside prompts as before.
#[test]
fn an_engine_whose_speed_halves_counts_as_slow_until_it_is_fast_again() {
    let mut learner = Learner::with_uneven_engines();
    learner.target = "fast".into();
    (0..60).for_each(|_| learner.see(0, 40));
    assert!(learner.risk("fast") > 0.15, "{:.3}", learner.risk("fast"));
    (0..100).for_each(|_| learner.see(0, 17));
    assert!(learner.risk("fast") < 0.05, "{:.3}", learner.risk("fast"));
}

// Guards against an entry that was frozen and takes its own pause for the engine's.
#[test]
fn the_pauses_that_a_frozen_entry_saw_count_nothing() {
    let mut learner = Learner::with_uneven_engines();
    let before = learner.risk("fast");
    learner.target = "fast".into();
    (0..20).for_each(|_| learner.see(1, 2_000));
    assert_eq!(learner.risk("fast").to_bits(), before.to_bits());
}
