//! Continuous batching: token memory, priorities, preemption and step times. Does no I/O.

use std::{collections::BTreeMap, time::Duration};

use async_channel::Sender;
use serde::{Deserialize, Serialize};

use crate::engine::{EngineSettings, prefix::PrefixCache, text::Api};

/// Why a generation ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// All tokens were produced.
    Finished,
    /// It was cancelled by request.
    Cancelled,
    /// It had no reader for too long.
    Unobserved,
    /// The engine crashed.
    Dropped,
}

/// A generation, as recorded in the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Generation {
    /// API that the request used.
    pub api: Api,
    /// Name of the stream, under which it can be resumed.
    pub stream: String,
    /// Request id from the header `x-request-id`.
    pub request: String,
    /// Name that the caller gave the request, from the metadata in the body.
    pub caller: String,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Time of arrival on the engine's clock, in milliseconds.
    pub admitted_ms: u64,
    /// Priority; smaller values are scheduled first.
    pub priority: i64,
    /// Prompt length in tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// Tokens to produce in total.
    #[serde(rename = "wanted")]
    pub output_tokens: u64,
    /// Tokens produced so far.
    pub produced: u64,
    /// Number of preemptions.
    pub preempted: u32,
    /// Total stall by preemptions in milliseconds, from the last token before each to the next one.
    pub stall_ms: u64,
    /// Why it ended; `None` while it is in progress.
    pub end: Option<EndReason>,
    #[serde(skip)]
    progress: Progress,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    // Tokens still to be prefilled.
    prefill: u64,
    // When the last token was produced.
    last_token: Duration,
    // Whether it was preempted after its last token.
    was_preempted: bool,
    // Wake the readers.
    observers: Vec<Sender<()>>,
    // When it last had a reader.
    last_read: Duration,
}

/// Parameters of a new generation.
#[derive(Clone, Debug, Default)]
pub struct NewGeneration {
    /// API that the request used.
    pub api: Api,
    /// Name of the stream, under which it can be resumed.
    pub stream: String,
    /// Request id.
    pub request: String,
    /// Name that the caller gave the request.
    pub caller: String,
    /// Priority; smaller values are scheduled first.
    pub priority: i64,
    /// Text of the prompt.
    pub prompt: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Tokens to produce.
    pub output_tokens: u64,
}

/// Counters and maxima since the engine started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Totals {
    /// Number of preemptions.
    pub preemptions: u64,
    /// Total stall of preempted generations in milliseconds.
    pub stall_ms: u64,
    /// Number of tokens produced.
    pub tokens: u64,
    /// Number of steps.
    pub steps: u64,
    /// Highest number of generations in one step.
    #[serde(rename = "most_running")]
    pub max_running: u32,
    /// Highest memory use, in tokens.
    #[serde(rename = "most_used")]
    pub max_used: u64,
}

/// The running and waiting generations of an engine. Memory in use never exceeds the capacity.
pub struct Batch {
    settings: EngineSettings,
    /// All generations since the start; the index is a generation's number.
    pub generations: Vec<Generation>,
    /// Counters since the start.
    pub totals: Totals,
    /// Cache of prompt prefixes.
    pub prefix_cache: PrefixCache,
    running: Vec<usize>,
    // By priority and number, both ascending.
    waiting: BTreeMap<(i64, usize), usize>,
    // Memory in use, in tokens.
    used: u64,
}

impl Batch {
    /// Creates an empty batch.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            prefix_cache: PrefixCache::new(settings.prefix_blocks),
            settings,
            generations: Vec::new(),
            totals: Totals::default(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            used: 0,
        }
    }

    /// Settings of the engine.
    #[must_use]
    pub const fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Number of generations in the batch.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of generations waiting for memory.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Describes the running and waiting generations, for a log message.
    #[must_use]
    pub fn describe_active(&self) -> String {
        let numbers = self.running.iter().chain(self.waiting.values());
        let one = |number: &usize| {
            let g = &self.generations[*number];
            format!("{} by {} since {} ms", g.caller, g.request, g.admitted_ms)
        };
        numbers.map(one).collect::<Vec<_>>().join(", ")
    }

    /// Memory in use, in tokens.
    #[must_use]
    pub const fn tokens_used(&self) -> u64 {
        self.used
    }

    /// Queues a generation and returns its number.
    pub fn add(&mut self, now: Duration, incarnation: u64, new: NewGeneration) -> usize {
        let hit = self.prefix_cache.insert(now, &new.prompt);
        let room = self.settings.capacity.saturating_sub(new.prompt_tokens + 1);
        let number = self.generations.len();
        self.waiting.insert((new.priority, number), number);
        self.generations.push(Generation {
            api: new.api,
            stream: new.stream,
            request: new.request,
            caller: new.caller,
            incarnation,
            admitted_ms: now.as_millis() as u64,
            priority: new.priority,
            prompt_tokens: new.prompt_tokens,
            output_tokens: new.output_tokens.min(room).max(1),
            produced: 0,
            preempted: 0,
            stall_ms: 0,
            end: None,
            progress: Progress {
                prefill: new.prompt_tokens.saturating_sub(hit).max(1),
                last_token: now,
                last_read: now,
                ..Progress::default()
            },
        });
        number
    }

    /// Adds a reader of a generation, which is woken whenever there is new output.
    pub fn observe(&mut self, number: usize, tx: Sender<()>) {
        self.generations[number].progress.observers.push(tx);
    }

    /// Ends a generation and frees its memory; has no effect if it has ended already.
    pub fn end(&mut self, number: usize, end: EndReason) {
        let generation = &mut self.generations[number];
        if generation.end.is_some() {
            return;
        }
        generation.end = Some(end);
        wake(generation);
        let priority = generation.priority;
        let size = generation.prompt_tokens + generation.produced;
        if self.waiting.remove(&(priority, number)).is_none() {
            self.running.retain(|n| *n != number);
            self.used -= size;
        }
    }

    /// Ends all generations and clears the prefix cache, as in a crash.
    pub fn drop_all(&mut self) {
        let waiting: Vec<usize> = self.waiting.values().copied().collect();
        for number in self.running.clone().into_iter().chain(waiting) {
            self.end(number, EndReason::Dropped);
        }
        self.prefix_cache.clear();
        assert!(self.used == 0, "an empty batch holds {} tokens", self.used);
    }

    /// Schedules the next step and returns its duration; `None` if nothing can run.
    pub fn plan(&mut self, now: Duration) -> Option<Duration> {
        self.end_unobserved(now);
        if !self.preempt() {
            self.admit();
        }
        if self.running.is_empty() {
            return None;
        }
        let prefilled = self.prefill();
        let settings = &self.settings;
        let ms = settings.step_ms
            + settings.step_ms_per_stream * self.running.len() as f64
            + settings.step_ms_per_ktoken * self.used as f64 / 1000.0
            + settings.prefill_ms_per_token * prefilled as f64;
        Some(Duration::from_secs_f64(ms / 1000.0))
    }

    /// Completes the step: each generation whose prompt has been prefilled produces one token.
    /// Returns how many generations finished.
    pub fn step(&mut self, now: Duration) -> u32 {
        let totals = &mut self.totals;
        totals.steps += 1;
        totals.max_running = totals.max_running.max(self.running.len() as u32);
        let mut finished = Vec::new();
        for number in &self.running {
            let generation = &mut self.generations[*number];
            if generation.progress.prefill > 0 {
                continue;
            }
            generation.produced += 1;
            self.used += 1;
            totals.tokens += 1;
            if generation.progress.was_preempted {
                let stall = now
                    .saturating_sub(generation.progress.last_token)
                    .as_millis() as u64;
                generation.stall_ms += stall;
                totals.stall_ms += stall;
                generation.progress.was_preempted = false;
            }
            generation.progress.last_token = now;
            wake(generation);
            if generation.produced >= generation.output_tokens {
                finished.push(*number);
            }
        }
        totals.max_used = totals.max_used.max(self.used);
        assert!(
            self.used <= self.settings.capacity,
            "{} tokens in a memory of {}",
            self.used,
            self.settings.capacity
        );
        for number in &finished {
            self.end(*number, EndReason::Finished);
        }
        finished.len() as u32
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.max_running
            && let Some((key, number)) = self.waiting.first_key_value()
        {
            let (key, number) = (*key, *number);
            let size = self.generations[number].prompt_tokens + self.generations[number].produced;
            let next_step = self.running.len() as u64 + 1;
            if self.used + size + next_step > self.settings.capacity {
                return;
            }
            self.waiting.remove(&key);
            self.running.push(number);
            self.used += size;
        }
    }

    /// Preempts the least urgent generations until the next step's tokens fit into memory. A
    /// preempted generation is recomputed from its prompt when it is admitted again. Returns whether
    /// any was preempted.
    fn preempt(&mut self) -> bool {
        let mut any = false;
        while self.used + self.running.len() as u64 > self.settings.capacity {
            let worst = |number: &&usize| (self.generations[**number].priority, **number);
            let Some(victim) = self.running.iter().max_by_key(worst).copied() else {
                break;
            };
            self.running.retain(|n| *n != victim);
            let generation = &mut self.generations[victim];
            let size = generation.prompt_tokens + generation.produced;
            generation.preempted += 1;
            generation.progress.was_preempted = generation.produced > 0;
            generation.progress.prefill = size;
            self.waiting.insert((generation.priority, victim), victim);
            self.used -= size;
            self.totals.preemptions += 1;
            any = true;
        }
        any
    }

    fn prefill(&mut self) -> u64 {
        let mut budget = self.settings.prefill_chunk;
        for number in &self.running {
            let progress = &mut self.generations[*number].progress;
            let part = progress.prefill.min(budget);
            progress.prefill -= part;
            budget -= part;
        }
        self.settings.prefill_chunk - budget
    }

    fn end_unobserved(&mut self, now: Duration) {
        let limit = Duration::from_millis(self.settings.unobserved_ms);
        let waiting: Vec<usize> = self.waiting.values().copied().collect();
        for number in self.running.clone().into_iter().chain(waiting) {
            let progress = &mut self.generations[number].progress;
            progress.observers.retain(|tx| !tx.is_closed());
            if !progress.observers.is_empty() {
                progress.last_read = now;
            } else if now.saturating_sub(progress.last_read) > limit {
                self.end(number, EndReason::Unobserved);
            }
        }
    }
}

fn wake(generation: &Generation) {
    for tx in &generation.progress.observers {
        // If the channel is full, an earlier wake-up is still pending.
        let _ = tx.try_send(());
    }
}
