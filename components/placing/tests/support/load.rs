//! Callers, entries and engines that put an owner under load, in virtual time and without a network.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use placing::{Engine, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest, Tuning};
use types::{Moment, TargetId, Tokens};

use super::{engine, request};

/// Time in which the first event should be out.
pub const AIM: Duration = Duration::from_millis(1_800);
/// Prompt tokens that an engine reads in a millisecond.
const READS: f64 = 7.0;
/// Time between two tokens.
const TOKEN: Duration = Duration::from_millis(9);
/// Time that a caller waits before it gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(36);

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Engines.
    pub engines: usize,
    /// Time between two callers.
    pub every: Duration,
    /// How long callers come.
    pub lasts: Duration,
    /// Tokens of the smallest and the largest prompt.
    pub prompt_range: (Tokens, Tokens),
    /// Tokens of the shortest and the longest answer.
    pub answers: (Tokens, Tokens),
}

/// How one caller fared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// Its first event came in time.
    InTime,
    /// Its first event came late.
    Late,
    /// It was refused, came back and was refused again.
    RejectedRequest,
}

/// One caller, and what became of it.
#[derive(Clone, Debug)]
pub struct Caller {
    /// When it came first.
    pub came: Moment,
    /// Tokens of its prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of its answer.
    pub answer: Tokens,
    /// How it fared, once that is known.
    pub fate: Option<Fate>,
    /// The longest time that it was kept waiting before a refusal.
    pub kept: Duration,
    /// When it was told to come back.
    pub told: Option<Moment>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    /// A caller's request asks; `came` is when this request arrived.
    Place { came: Moment },
    /// Its first event comes.
    Start,
    /// It ends.
    End,
}

/// Plays a load; tells how each caller fared.
pub fn play(load: &Workload, tuning: Tuning) -> Vec<Caller> {
    let mut play = Play::new(load, tuning);
    while let Some(Reverse((now, number, step))) = play.steps.pop() {
        play.step(now, number, step);
    }
    play.callers
}

/// How many callers fared so.
pub fn count(callers: &[Caller], fate: Fate) -> usize {
    callers.iter().filter(|it| it.fate == Some(fate)).count()
}

struct Play {
    owner: Owner,
    engines: Vec<Engine>,
    /// Until when each engine reads.
    reads_until: BTreeMap<TargetId, Moment>,
    callers: Vec<Caller>,
    steps: BinaryHeap<Reverse<(Moment, usize, Step)>>,
}

impl Play {
    fn new(load: &Workload, tuning: Tuning) -> Self {
        let start = Duration::from_secs(100);
        let engines = (0..load.engines).map(|n| engine(&format!("e-{n}"), "dc-1"));
        let count = load.lasts.as_micros() / load.every.as_micros();
        let count = usize::try_from(count).unwrap_or_default();
        let caller = |n: usize| Caller {
            came: start
                + load
                    .every
                    .saturating_mul(u32::try_from(n).unwrap_or_default()),
            prompt_tokens: spread(n, 0.618, load.prompt_range),
            answer: spread(n, 0.414, load.answers),
            fate: None,
            kept: Duration::ZERO,
            told: None,
        };
        let callers: Vec<Caller> = (0..count).map(caller).collect();
        let asks = callers.iter().enumerate();
        let asks = asks.map(|(n, it)| Reverse((it.came, n, Step::Place { came: it.came })));
        Self {
            owner: Owner::new(tuning),
            engines: engines.collect(),
            reads_until: BTreeMap::new(),
            steps: asks.collect(),
            callers,
        }
    }

    fn step(&mut self, now: Moment, number: usize, step: Step) {
        match step {
            Step::Place { came } => self.place(now, number, came),
            Step::Start => self.start(now, number),
            Step::End => {
                let tokens_generated = Some(self.callers[number].answer);
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

    fn place(&mut self, now: Moment, number: usize, came: Moment) {
        let caller = &self.callers[number];
        let waited = now.saturating_sub(came);
        let evaluated = PlacementRequest {
            digest: u64::try_from(number).unwrap_or_default(),
            prompt_tokens: caller.prompt_tokens,
            length_hint: None,
            objective_left: AIM.saturating_sub(waited),
            deadline_left: (caller.came + CALLER_TIMEOUT).saturating_sub(now),
            waited,
            ..request(&generation(number, caller))
        };
        match self.owner.place(now, &evaluated, &self.engines) {
            PlacementAnswer::Assigned { target } => self.send(now, number, &target),
            PlacementAnswer::Wait { after } => self.push(now + after, number, Step::Place { came }),
            PlacementAnswer::Rejected { after } => self.reject(now, number, waited, after),
        }
    }

    /// An engine reads one prompt after the other.
    fn send(&mut self, now: Moment, number: usize, target: &TargetId) {
        let tokens = u32::try_from(self.callers[number].prompt_tokens).unwrap_or_default();
        let read = Duration::from_secs_f64(f64::from(tokens) / READS / 1_000.0);
        let until = self.reads_until.entry(target.clone()).or_default();
        *until = now.max(*until) + read;
        let first = *until;
        self.push(first, number, Step::Start);
    }

    fn start(&mut self, now: Moment, number: usize) {
        let caller = &mut self.callers[number];
        let can_meet_objective = now.saturating_sub(caller.came) <= AIM;
        caller.fate = Some(if can_meet_objective {
            Fate::InTime
        } else {
            Fate::Late
        });
        let tokens = u32::try_from(caller.answer).unwrap_or_default();
        let generation = generation(number, caller).into();
        self.owner
            .apply_update(now, &GenerationUpdate::Started { generation });
        self.push(now + TOKEN.saturating_mul(tokens), number, Step::End);
    }

    fn reject(&mut self, now: Moment, number: usize, waited: Duration, after: Duration) {
        let caller = &mut self.callers[number];
        caller.kept = caller.kept.max(waited);
        if caller.told.is_some() {
            caller.fate = Some(Fate::RejectedRequest);
            return;
        }
        let back = now + after;
        caller.told = Some(back);
        self.push(back, number, Step::Place { came: back });
    }

    fn push(&mut self, at: Moment, number: usize, step: Step) {
        self.steps.push(Reverse((at, number, step)));
    }
}

/// A request's id: another one once its caller has come back.
fn generation(number: usize, caller: &Caller) -> String {
    format!("{number}-{}", u32::from(caller.told.is_some()))
}

/// Figures between two bounds that spread evenly and repeat in every play.
fn spread(number: usize, step: f64, (least, most): (Tokens, Tokens)) -> Tokens {
    let number = f64::from(u32::try_from(number).unwrap_or_default());
    let wide = f64::from(u32::try_from(most - least).unwrap_or_default());
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a few thousand tokens"
    )]
    let more = ((number * step).fract() * wide) as Tokens;
    least + more
}
