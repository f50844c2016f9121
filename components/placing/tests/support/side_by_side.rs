//! Engines of different speeds that process a prompt between the tokens of running answers, on machines that
//! turn slow for moments.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use placing::{
    ActiveGeneration, Engine, GenerationUpdate, Owner, PlacementAnswer, PlacementRequest,
    StateSync, Tuning,
};
use types::{Moment, TargetId, Tokens};

use super::{engine, request};

/// The longest pause that the route allows.
pub const MAX_PAUSE: Duration = Duration::from_millis(180);
/// Tokens in one event.
const TOKENS_PER_EVENT: Tokens = 4;
/// Tokens of a prompt that are processed in one step.
const CHUNK: Tokens = 112;
/// Time of a step without prompts, in milliseconds.
const STEP_MS: u64 = 8;
/// Additional time of a step with a prompt, in milliseconds.
const CHUNK_MS: u64 = 8;
/// Time for which a machine is slow or not, in milliseconds.
const MOMENT_MS: u64 = 600;
/// Moments of a machine of which one is slow.
const SLOW_EVERY: u64 = 7;
/// Factor of time in a slow moment.
const SLOW_FACTOR: f64 = 2.5;
const SYNC_INTERVAL_MS: u64 = 700;
const ENTRIES: usize = 4;

/// A request and what happened to it.
#[derive(Clone, Debug)]
pub struct Run {
    /// Arrival, in milliseconds.
    pub arrives_at: u64,
    /// Tokens of its prompt that are still to be read.
    pub prompt_left: Tokens,
    /// Tokens of the answer that are still to be generated.
    pub answer_left: Tokens,
    /// The engine that it was sent to.
    pub target: Option<TargetId>,
    /// Time to the first event, in milliseconds.
    pub first_event_ms: Option<u64>,
    /// The longest pause between two events, in milliseconds.
    pub longest_pause_ms: u64,
    /// Whether it was rejected.
    pub rejected: bool,
    ask_at: u64,
    prompt_tokens: Tokens,
    /// Tokens that were generated.
    pub tokens: Tokens,
    last_event_at: u64,
    reported_pause_ms: u64,
}

impl Run {
    /// A request that arrives at this millisecond.
    pub fn new(arrives_at: u64, prompt: Tokens, answer: Tokens) -> Self {
        Self {
            arrives_at,
            prompt_left: prompt,
            answer_left: answer,
            target: None,
            first_event_ms: None,
            longest_pause_ms: 0,
            rejected: false,
            ask_at: arrives_at,
            prompt_tokens: prompt,
            tokens: 0,
            last_event_at: 0,
            reported_pause_ms: 0,
        }
    }

    fn is_running(&self) -> bool {
        self.target.is_some() && self.answer_left > 0
    }
}

/// Lets an owner place requests for some milliseconds on engines that take these factors of time.
pub fn run(mut runs: Vec<Run>, factors: &[f64], until: u64, tuning: Tuning) -> Vec<Run> {
    let mut owner = Owner::new(tuning);
    let engines: Vec<Engine> = (0..factors.len())
        .map(|n| engine(&format!("e-{n}"), "dc-1"))
        .collect();
    let mut next_step: BTreeMap<TargetId, u64> = BTreeMap::new();
    for now in 0..until {
        for (number, run) in runs.iter_mut().enumerate() {
            ask(&mut owner, &engines, run, number, now);
        }
        for (number, engine) in engines.iter().enumerate() {
            if next_step.get(&engine.id).is_none_or(|at| *at <= now) {
                let took = step(&mut owner, &engine.id, &mut runs, now);
                let took = as_f64(took) * factors[number] * slowness(number, now);
                next_step.insert(Arc::clone(&engine.id), now + as_ms(took));
            }
        }
        if now % SYNC_INTERVAL_MS == 0 {
            (0..ENTRIES).for_each(|entry| sync(&mut owner, &mut runs, entry, now));
        }
    }
    runs
}

/// Factor of time on a machine at a moment.
fn slowness(machine: usize, now: u64) -> f64 {
    let moment = now / MOMENT_MS + 3 * machine as u64;
    if moment.wrapping_mul(2_654_435_761) >> 7 & 0xffff < 0x10000 / SLOW_EVERY {
        SLOW_FACTOR
    } else {
        1.0
    }
}

fn as_f64(ms: u64) -> f64 {
    Duration::from_millis(ms).as_secs_f64() * 1_000.0
}

fn as_ms(ms: f64) -> u64 {
    u64::try_from(Duration::from_secs_f64(ms / 1_000.0).as_millis()).unwrap_or(1)
}

fn moment(now: u64) -> Moment {
    Duration::from_secs(100) + Duration::from_millis(now)
}

fn placement_request(run: &Run, number: usize, now: u64) -> PlacementRequest {
    let waited = Duration::from_millis(now - run.arrives_at);
    let plain = request(&format!("g-{number}"));
    PlacementRequest {
        entry: format!("entry-{}", number % ENTRIES).into(),
        prompt_tokens: run.prompt_tokens,
        objective_left: plain.objective_left.saturating_sub(waited),
        waited,
        max_pause: Some(MAX_PAUSE),
        ..plain
    }
}

fn ask(owner: &mut Owner, engines: &[Engine], run: &mut Run, number: usize, now: u64) {
    if run.target.is_some() || run.rejected || run.ask_at > now {
        return;
    }
    match owner.place(moment(now), &placement_request(run, number, now), engines) {
        PlacementAnswer::Assigned { target } => run.target = Some(target),
        PlacementAnswer::Wait { after } => {
            run.ask_at = now + u64::try_from(after.as_millis()).unwrap_or(1);
        }
        PlacementAnswer::Rejected { .. } => run.rejected = true,
    }
}

/// One step of an engine; returns how long it takes.
fn step(owner: &mut Owner, target: &TargetId, runs: &mut [Run], now: u64) -> u64 {
    let mut took = STEP_MS;
    let mut has_prompt = false;
    let here = runs.iter_mut().enumerate();
    for (number, run) in
        here.filter(|(_, run)| run.is_running() && run.target.as_ref() == Some(target))
    {
        let generation = format!("g-{number}").into();
        if run.prompt_left > 0 {
            if !has_prompt {
                has_prompt = true;
                took += CHUNK_MS;
                run.prompt_left = run.prompt_left.saturating_sub(CHUNK);
            }
            continue;
        }
        run.answer_left -= 1;
        run.tokens += 1;
        if run.tokens % TOKENS_PER_EVENT == 1 {
            record_event(owner, run, &generation, now);
        }
        if run.answer_left == 0 {
            let update = GenerationUpdate::Ended {
                generation,
                target_failed: false,
                tokens_generated: Some(run.tokens),
            };
            owner.apply_update(moment(now), &update);
        }
    }
    took
}

fn record_event(owner: &mut Owner, run: &mut Run, generation: &Arc<str>, now: u64) {
    if run.first_event_ms.is_none() {
        run.first_event_ms = Some(now - run.arrives_at);
        let update = GenerationUpdate::Started {
            generation: Arc::clone(generation),
            work_time_percent: None,
        };
        owner.apply_update(moment(now), &update);
    } else {
        let pause = now - run.last_event_at;
        run.longest_pause_ms = run.longest_pause_ms.max(pause);
        run.reported_pause_ms = run.reported_pause_ms.max(pause);
    }
    run.last_event_at = now;
}

fn sync(owner: &mut Owner, runs: &mut [Run], entry: usize, now: u64) {
    let of_entry = runs.iter_mut().enumerate().skip(entry).step_by(ENTRIES);
    let report = |(number, run): (usize, &mut Run)| {
        let target = run.target.clone().filter(|_| run.is_running())?;
        let placed = placement_request(run, number, now);
        Some(ActiveGeneration {
            generation: placed.generation,
            service: placed.shard.service,
            target,
            prompt_tokens: placed.prompt_tokens,
            tokens_generated: run.tokens,
            route: placed.route,
            max_tokens: placed.max_tokens,
            length_hint: placed.length_hint,
            priority: placed.priority,
            started: run.first_event_ms.is_some(),
            longest_pause: Duration::from_millis(std::mem::take(&mut run.reported_pause_ms)),
        })
    };
    let state = StateSync {
        entry: format!("entry-{entry}").into(),
        shard: request("any").shard,
        generations: of_entry.filter_map(report).collect(),
    };
    owner.apply_sync(moment(now), &state);
}
