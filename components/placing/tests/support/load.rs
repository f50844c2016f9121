//! Simulation of callers, entries and engines that put an owner under load, in virtual time and
//! without a network.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use placing::{Engine, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest, Tuning};
use types::{Moment, TargetId, Tokens};

use super::{engine, request};

/// Objective for the time to the first event.
pub const OBJECTIVE: Duration = Duration::from_millis(1_800);
/// Prompt tokens that an engine processes per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 7.0;
/// Time between two tokens.
const TOKEN_TIME: Duration = Duration::from_millis(9);
/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(36);

/// Load that a simulation puts on an owner.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Number of engines.
    pub engines: usize,
    /// Interval between two callers.
    pub interval: Duration,
    /// Duration of the load.
    pub duration: Duration,
    /// Tokens of the smallest and of the largest prompt.
    pub prompt_range: (Tokens, Tokens),
    /// Tokens of the shortest and of the longest answer.
    pub answer_range: (Tokens, Tokens),
}

/// Outcome for one caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The first event arrived within the objective.
    InTime,
    /// The first event arrived late.
    Late,
    /// The request was rejected, and so was its retry.
    Rejected,
}

/// One caller and what happened to it.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Arrival of the first request.
    pub arrived_at: Moment,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub answer_tokens: Tokens,
    /// Outcome, once it is known.
    pub outcome: Option<Outcome>,
    /// The longest time from a request's arrival to its rejection.
    pub longest_wait: Duration,
    /// Time of the retry, if the first request was rejected.
    pub retry_at: Option<Moment>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    /// A request asks for an engine; `arrived_at` is when this request arrived.
    Place { arrived_at: Moment },
    /// The first event arrives.
    Start,
    /// The generation ends.
    End,
}

/// Simulates a load; returns all callers with their outcomes.
pub fn simulate(load: &Workload, tuning: Tuning) -> Vec<Caller> {
    let mut simulation = Simulation::new(load, tuning);
    while let Some(Reverse((now, number, step))) = simulation.steps.pop() {
        simulation.step(now, number, step);
    }
    simulation.callers
}

/// Number of callers with an outcome.
pub fn count(callers: &[Caller], outcome: Outcome) -> usize {
    callers
        .iter()
        .filter(|caller| caller.outcome == Some(outcome))
        .count()
}

struct Simulation {
    owner: Owner,
    engines: Vec<Engine>,
    /// Time until which each engine processes prompts.
    prefill_until: BTreeMap<TargetId, Moment>,
    callers: Vec<Caller>,
    steps: BinaryHeap<Reverse<(Moment, usize, Step)>>,
}

impl Simulation {
    fn new(load: &Workload, tuning: Tuning) -> Self {
        let start = Duration::from_secs(100);
        let engines = (0..load.engines).map(|n| engine(&format!("e-{n}"), "dc-1"));
        let count = load.duration.as_micros() / load.interval.as_micros();
        let count = usize::try_from(count).unwrap_or_default();
        let caller = |n: usize| Caller {
            arrived_at: start
                + load
                    .interval
                    .saturating_mul(u32::try_from(n).unwrap_or_default()),
            prompt_tokens: spread_evenly(n, 0.618, load.prompt_range),
            answer_tokens: spread_evenly(n, 0.414, load.answer_range),
            outcome: None,
            longest_wait: Duration::ZERO,
            retry_at: None,
        };
        let callers: Vec<Caller> = (0..count).map(caller).collect();
        let arrivals = callers.iter().enumerate();
        let arrivals = arrivals.map(|(n, caller)| {
            Reverse((
                caller.arrived_at,
                n,
                Step::Place {
                    arrived_at: caller.arrived_at,
                },
            ))
        });
        Self {
            owner: Owner::new(tuning),
            engines: engines.collect(),
            prefill_until: BTreeMap::new(),
            steps: arrivals.collect(),
            callers,
        }
    }

    fn step(&mut self, now: Moment, number: usize, step: Step) {
        match step {
            Step::Place { arrived_at } => self.place(now, number, arrived_at),
            Step::Start => self.start(now, number),
            Step::End => {
                let tokens_generated = Some(self.callers[number].answer_tokens);
                let generation = generation(number, &self.callers[number]).into();
                let target_failed = false;
                self.owner.apply_update(
                    now,
                    &GenerationUpdate::Ended {
                        generation,
                        target_failed,
                        tokens_generated,
                    },
                );
            }
        }
    }

    fn place(&mut self, now: Moment, number: usize, arrived_at: Moment) {
        let caller = &self.callers[number];
        let waited = now.saturating_sub(arrived_at);
        let placement_request = PlacementRequest {
            digest: u64::try_from(number).unwrap_or_default(),
            prompt_tokens: caller.prompt_tokens,
            length_hint: None,
            objective_left: OBJECTIVE.saturating_sub(waited),
            deadline_left: (caller.arrived_at + CALLER_TIMEOUT).saturating_sub(now),
            waited,
            ..request(&generation(number, caller))
        };
        match self.owner.place(now, &placement_request, &self.engines) {
            PlacementAnswer::Assigned { target } => self.send(now, number, &target),
            PlacementAnswer::Wait { after } => {
                self.push(now + after, number, Step::Place { arrived_at })
            }
            PlacementAnswer::Rejected { after } => self.reject(now, number, waited, after),
        }
    }

    /// An engine processes one prompt after the other.
    fn send(&mut self, now: Moment, number: usize, target: &TargetId) {
        let tokens = u32::try_from(self.callers[number].prompt_tokens).unwrap_or_default();
        let prefill_time =
            Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1_000.0);
        let ready_at = self.prefill_until.entry(target.clone()).or_default();
        *ready_at = now.max(*ready_at) + prefill_time;
        let first_event = *ready_at;
        self.push(first_event, number, Step::Start);
    }

    fn start(&mut self, now: Moment, number: usize) {
        let caller = &mut self.callers[number];
        let in_time = now.saturating_sub(caller.arrived_at) <= OBJECTIVE;
        caller.outcome = Some(if in_time {
            Outcome::InTime
        } else {
            Outcome::Late
        });
        let tokens = u32::try_from(caller.answer_tokens).unwrap_or_default();
        let generation = generation(number, caller).into();
        self.owner
            .apply_update(now, &GenerationUpdate::Started { generation });
        self.push(now + TOKEN_TIME.saturating_mul(tokens), number, Step::End);
    }

    fn reject(&mut self, now: Moment, number: usize, waited: Duration, after: Duration) {
        let caller = &mut self.callers[number];
        caller.longest_wait = caller.longest_wait.max(waited);
        if caller.retry_at.is_some() {
            caller.outcome = Some(Outcome::Rejected);
            return;
        }
        let retry_at = now + after;
        caller.retry_at = Some(retry_at);
        self.push(
            retry_at,
            number,
            Step::Place {
                arrived_at: retry_at,
            },
        );
    }

    fn push(&mut self, at: Moment, number: usize, step: Step) {
        self.steps.push(Reverse((at, number, step)));
    }
}

/// Request id of a caller; a retry has another one.
fn generation(number: usize, caller: &Caller) -> String {
    format!("{number}-{}", u32::from(caller.retry_at.is_some()))
}

/// Values between two bounds, evenly spread and the same in every run.
fn spread_evenly(number: usize, step: f64, (min, max): (Tokens, Tokens)) -> Tokens {
    let number = f64::from(u32::try_from(number).unwrap_or_default());
    let range = f64::from(u32::try_from(max - min).unwrap_or_default());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a few thousand tokens"
    )]
    let offset = ((number * step).fract() * range) as Tokens;
    min + offset
}
