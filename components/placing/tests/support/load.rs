//! Simulation of callers, entries and engines that put an owner under load, in virtual time and
//! without a network.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use placing::{
    ActiveGeneration, Engine, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest,
    StateSync, Tuning,
};
use types::{Moment, TargetId, Tokens, WorkspaceId};

use super::{engine, request};

/// Objective for the time to the first event.
pub const OBJECTIVE: Duration = Duration::from_millis(1_800);
/// Time between two tokens.
const TOKEN_TIME: Duration = Duration::from_millis(9);
/// Time between two confirmations of the generations that run.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(700);
/// Time after which an impatient caller repeats a rejected request.
const REPEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The workspace that floods.
pub const FIRST_WORKSPACE: &str = "workspace-0";
/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(36);

/// Requests of one kind beside the others.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Share of the callers that send such requests.
    pub share: f64,
    /// Priority of their route; that of the others is 1.
    pub route_priority: u32,
    /// Objective for the time to the first event.
    pub objective: Duration,
    /// Time after which their callers give up.
    pub timeout: Duration,
    /// Tokens of the smallest and of the largest prompt.
    pub prompt_range: (Tokens, Tokens),
    /// Tokens of the shortest and of the longest answer.
    pub answer_range: (Tokens, Tokens),
}

/// Load that a simulation puts on an owner.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Number of engines.
    pub engines: usize,
    /// Interval between two callers.
    pub interval: Duration,
    /// Duration of the load.
    pub duration: Duration,
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Tokens of the smallest and of the largest prompt.
    pub prompt_range: (Tokens, Tokens),
    /// Tokens of the shortest and of the longest answer.
    pub answer_range: (Tokens, Tokens),
    /// Requests of another kind, if there are any.
    pub second: Option<Kind>,
    /// Whether the entry confirms its generations periodically. Otherwise the owner forgets those that
    /// run for longer than a few seconds.
    pub confirms: bool,
}

/// Callers of several workspaces, which send equally often except for one.
#[derive(Clone, Copy, Debug)]
pub struct Workspaces {
    /// Number of workspaces.
    pub count: usize,
    /// How many times as often as usual the first workspace sends while it floods.
    pub flood_factor: usize,
    /// Time in which it floods, since the start of the load.
    pub flood: (Duration, Duration),
    /// Seed by which callers are drawn from the workspaces, as a shard's are by the hash of their
    /// requests; otherwise they belong to them in turn.
    pub seed: Option<u64>,
    /// How often callers of the first workspace repeat a rejected request, without waiting as long as
    /// they are told.
    pub repeats: u32,
    /// When another instance becomes the owner, which knows only what entries confirm to it.
    pub new_owner_at: Option<Duration>,
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
    /// Its workspace, if there are any.
    pub workspace: Option<WorkspaceId>,
    /// Time from its arrival to the first event.
    pub first_event_after: Option<Duration>,
    /// The kind of its request; none if it is of the first kind.
    pub kind: Option<Kind>,
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
    /// Number of further retries that the caller sends at once.
    pub repeats_left: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    /// A request asks for an engine; `arrived_at` is when this request arrived.
    Place { arrived_at: Moment },
    /// The first event arrives.
    Start,
    /// The generation ends.
    End,
    /// The entry confirms all generations that run.
    Confirm,
    /// Another instance becomes the owner.
    ChangeOwner,
}

/// Speed of an engine as a multiple of the usual speed, by its number and the time since the start of
/// the load.
pub type SpeedAt = fn(usize, Duration) -> f64;

/// Simulates a load; returns all callers with their outcomes.
pub fn simulate(load: &Workload, tuning: Tuning) -> Vec<Caller> {
    Simulation::new(load, tuning).run()
}

/// Simulates a load on engines of given speeds.
pub fn simulate_with_speeds(load: &Workload, tuning: Tuning, speed: SpeedAt) -> Vec<Caller> {
    let mut simulation = Simulation::new(load, tuning);
    simulation.speed = speed;
    simulation.run()
}

/// Simulates a load of several workspaces.
pub fn simulate_workspaces(load: &Workload, shared: Workspaces, tuning: Tuning) -> Vec<Caller> {
    let mut simulation = Simulation::new(load, tuning);
    simulation.assign_workspaces(load, shared);
    simulation.run()
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
    tuning: Tuning,
    engines: Vec<Engine>,
    prefill_tokens_per_ms: f64,
    speed: SpeedAt,
    start: Moment,
    /// Time until which each engine processes prompts.
    prefill_until: BTreeMap<TargetId, Moment>,
    callers: Vec<Caller>,
    steps: BinaryHeap<Reverse<(Moment, usize, Step)>>,
    /// The engine of each generation that runs, and when its first event arrived.
    active: BTreeMap<usize, (TargetId, Option<Moment>)>,
    /// Until when generations are confirmed.
    confirms_until: Moment,
}

impl Simulation {
    fn new(load: &Workload, tuning: Tuning) -> Self {
        let start = Duration::from_secs(100);
        let engines = (0..load.engines).map(|n| engine(&format!("e-{n}"), "dc-1"));
        let count = load.duration.as_micros() / load.interval.as_micros();
        let count = usize::try_from(count).unwrap_or_default();
        let caller = |n: usize| {
            let kind = load.second.filter(|kind| is_in_share(n, kind.share));
            let prompt_range = kind.map_or(load.prompt_range, |kind| kind.prompt_range);
            let answer_range = kind.map_or(load.answer_range, |kind| kind.answer_range);
            let number = u32::try_from(n).unwrap_or_default();
            Caller {
                arrived_at: start + load.interval.saturating_mul(number),
                workspace: None,
                first_event_after: None,
                kind,
                prompt_tokens: spread_evenly(n, 0.618, prompt_range),
                answer_tokens: spread_evenly(n, 0.414, answer_range),
                outcome: None,
                longest_wait: Duration::ZERO,
                retry_at: None,
                repeats_left: 0,
            }
        };
        let callers: Vec<Caller> = (0..count).map(caller).collect();
        let first_confirmation =
            Reverse((start + CONFIRMATION_INTERVAL, usize::MAX, Step::Confirm));
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
            tuning,
            engines: engines.collect(),
            prefill_tokens_per_ms: load.prefill_tokens_per_ms,
            speed: |_, _| 1.0,
            start,
            prefill_until: BTreeMap::new(),
            steps: arrivals
                .chain(load.confirms.then_some(first_confirmation))
                .collect(),
            callers,
            active: BTreeMap::new(),
            confirms_until: start + load.duration + CALLER_TIMEOUT,
        }
    }

    fn run(mut self) -> Vec<Caller> {
        while let Some(Reverse((now, number, step))) = self.steps.pop() {
            self.step(now, number, step);
        }
        self.callers
    }

    /// Distributes the callers over workspaces, and adds those of the flood.
    fn assign_workspaces(&mut self, load: &Workload, shared: Workspaces) {
        let Some(start) = self.callers.first().map(|caller| caller.arrived_at) else {
            return;
        };
        let (from, until) = shared.flood;
        let round = load.interval * u32::try_from(shared.count).unwrap_or_default();
        let more = u32::try_from(shared.flood_factor).unwrap_or_default();
        for number in 0..self.callers.len() {
            let workspace = shared.seed.map_or(number, |seed| drawn(number, seed)) % shared.count;
            self.callers[number].workspace = Some(format!("workspace-{workspace}").into());
            let caller = self.callers[number].clone();
            let since_start = caller.arrived_at.saturating_sub(start);
            if workspace != 0 || since_start < from || since_start >= until {
                continue;
            }
            for extra in 1..more {
                let added = self.callers.len();
                let arrived_at = caller.arrived_at + round * extra / more;
                self.callers.push(Caller {
                    arrived_at,
                    // Its requests are those of the callers in turn, of all kinds and sizes.
                    ..self.callers[(added * 7) % number.max(1)].clone()
                });
                self.callers[added].workspace = caller.workspace.clone();
                self.push(arrived_at, added, Step::Place { arrived_at });
            }
        }
        for caller in &mut self.callers {
            if caller.workspace.as_deref() == Some(FIRST_WORKSPACE) {
                caller.repeats_left = shared.repeats;
            }
        }
        if let Some(after) = shared.new_owner_at {
            self.push(start + after, usize::MAX, Step::ChangeOwner);
        }
    }

    fn step(&mut self, now: Moment, number: usize, step: Step) {
        match step {
            Step::ChangeOwner => self.owner = Owner::new(self.tuning),
            Step::Place { arrived_at } => self.place(now, number, arrived_at),
            Step::Start => self.start(now, number),
            Step::Confirm => self.confirm(now),
            Step::End => {
                self.active.remove(&number);
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
        let timeout = caller.kind.map_or(CALLER_TIMEOUT, |kind| kind.timeout);
        let placement_request = PlacementRequest {
            objective_left: objective(caller).saturating_sub(waited),
            deadline_left: (caller.arrived_at + timeout).saturating_sub(now),
            waited,
            ..placement_request(number, caller)
        };
        match self.owner.place(now, &placement_request, &self.engines) {
            PlacementAnswer::Assigned { target } => self.send(now, number, &target),
            PlacementAnswer::Wait { after } => {
                self.push(now + after, number, Step::Place { arrived_at })
            }
            PlacementAnswer::Rejected { after, .. } => self.reject(now, number, waited, after),
        }
    }

    fn confirm(&mut self, now: Moment) {
        let report = |(number, (target, started_at)): (&usize, &(TargetId, Option<Moment>))| {
            let caller = &self.callers[*number];
            let placed = placement_request(*number, caller);
            let running = started_at.map(|at| now.saturating_sub(at));
            let token_time = TOKEN_TIME.div_f64(self.speed_of(now, target));
            let tokens = running.unwrap_or_default().as_micros() / token_time.as_micros();
            ActiveGeneration {
                generation: Arc::clone(&placed.generation),
                service: Arc::clone(&placed.shard.service),
                target: Arc::clone(target),
                prompt_tokens: placed.prompt_tokens,
                tokens_generated: u64::try_from(tokens).unwrap_or_default(),
                route: Arc::clone(&placed.route),
                max_tokens: placed.max_tokens,
                length_hint: placed.length_hint,
                priority: placed.priority,
                started: started_at.is_some(),
                longest_pause: Duration::ZERO,
            }
        };
        let sync = StateSync {
            entry: request("any").entry,
            shard: request("any").shard,
            generations: self.active.iter().map(report).collect(),
        };
        self.owner.apply_sync(now, &sync);
        if now < self.confirms_until {
            self.push(now + CONFIRMATION_INTERVAL, usize::MAX, Step::Confirm);
        }
    }

    /// An engine processes one prompt after the other.
    fn send(&mut self, now: Moment, number: usize, target: &TargetId) {
        self.active.insert(number, (target.clone(), None));
        let tokens = u32::try_from(self.callers[number].prompt_tokens).unwrap_or_default();
        let tokens_per_ms = self.prefill_tokens_per_ms * self.speed_of(now, target);
        let prefill_time = Duration::from_secs_f64(f64::from(tokens) / tokens_per_ms / 1_000.0);
        let ready_at = self.prefill_until.entry(target.clone()).or_default();
        *ready_at = now.max(*ready_at) + prefill_time;
        let first_event = *ready_at;
        self.push(first_event, number, Step::Start);
    }

    /// Speed of an engine, whose id ends in its number.
    fn speed_of(&self, now: Moment, target: &TargetId) -> f64 {
        let number = target.strip_prefix("e-").and_then(|n| n.parse().ok());
        (self.speed)(
            number.expect("an engine of this load"),
            now.saturating_sub(self.start),
        )
    }

    fn start(&mut self, now: Moment, number: usize) {
        let mut token_time = TOKEN_TIME;
        if let Some((target, started_at)) = self.active.get_mut(&number) {
            *started_at = Some(now);
            let target = target.clone();
            token_time = TOKEN_TIME.div_f64(self.speed_of(now, &target));
        }
        let caller = &mut self.callers[number];
        let after = now.saturating_sub(caller.arrived_at);
        caller.first_event_after = Some(after);
        let in_time = after <= objective(caller);
        caller.outcome = Some(if in_time {
            Outcome::InTime
        } else {
            Outcome::Late
        });
        let tokens = u32::try_from(caller.answer_tokens).unwrap_or_default();
        let generation = generation(number, caller).into();
        self.owner.apply_update(
            now,
            &GenerationUpdate::Started {
                generation,
                work_time_percent: None,
            },
        );
        self.push(now + token_time.saturating_mul(tokens), number, Step::End);
    }

    fn reject(&mut self, now: Moment, number: usize, waited: Duration, after: Duration) {
        let caller = &mut self.callers[number];
        caller.longest_wait = caller.longest_wait.max(waited);
        if caller.retry_at.is_some() && caller.repeats_left == 0 {
            caller.outcome = Some(Outcome::Rejected);
            return;
        }
        let repeats = caller.repeats_left > 0;
        caller.repeats_left = caller.repeats_left.saturating_sub(1);
        let retry_at = now + if repeats { REPEAT_INTERVAL } else { after };
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

fn objective(caller: &Caller) -> Duration {
    caller.kind.map_or(OBJECTIVE, |kind| kind.objective)
}

/// The parts of a placement request that do not change while the caller waits.
fn placement_request(number: usize, caller: &Caller) -> PlacementRequest {
    let route = if caller.kind.is_some() {
        "second"
    } else {
        "drafts"
    };
    PlacementRequest {
        route: route.into(),
        // The workspace's priority is the same for all.
        route_priority: caller.kind.map_or(1, |kind| kind.route_priority),
        objective_left: objective(caller),
        digest: u64::try_from(number).unwrap_or_default(),
        prompt_tokens: caller.prompt_tokens,
        length_hint: None,
        workspace: caller.workspace.clone(),
        ..request(&generation(number, caller))
    }
}

/// A number that is spread like a hash and the same in every run.
fn drawn(number: usize, seed: u64) -> usize {
    let number = u64::try_from(number).unwrap_or_default();
    let mut hash = (number + seed * 1_000_003).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    usize::try_from(hash >> 40).unwrap_or_default()
}

/// Whether a caller belongs to a share of all, spread evenly and the same in every run.
fn is_in_share(number: usize, share: f64) -> bool {
    let number = f64::from(u32::try_from(number).unwrap_or_default());
    (number * 0.754_877).fract() < share
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
