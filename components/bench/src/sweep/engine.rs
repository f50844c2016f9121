//! A toy engine: continuous batching over limited memory, preempting the youngest when full.

use std::{collections::VecDeque, time::Duration};

use types::{Moment, Tokens};

use super::requests::CAPACITY;

/// Time of one step whatever runs.
const STEP_BASE: f64 = 0.012;
/// Time of a step for each sequence in the batch.
const STEP_EACH: f64 = 0.000_25;
/// Time for each token of a prompt that is computed in the step.
const STEP_PROMPT: f64 = 0.000_02;
/// Sequences in a batch at most.
const BATCH: usize = 128;

/// Seconds of one step with `running` sequences and `prompts` tokens of new prompts.
#[must_use]
pub fn step_seconds(running: f64, prompts: f64) -> f64 {
    STEP_BASE + STEP_EACH * running + STEP_PROMPT * prompts
}

/// One generation on an engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Which request.
    pub request: usize,
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// Tokens produced.
    pub produced: Tokens,
    /// Tokens that it will produce.
    pub length: Tokens,
    /// When it came to the engine.
    pub since: Moment,
    /// When it produced its last token.
    pub last_token: Option<Moment>,
    /// When it produced its first.
    pub first: Option<Moment>,
}

impl Sequence {
    const fn size(&self) -> Tokens {
        self.prompt + self.produced
    }
}

/// What a step did.
#[derive(Debug, Default)]
pub struct Step {
    /// Sequences that ended.
    pub finished: Vec<Sequence>,
    /// Time between two tokens of a sequence, for each token but the first.
    pub gaps: Vec<Duration>,
    /// Sequences thrown out of memory.
    pub preempted: u64,
}

/// One toy engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// In the batch, oldest first.
    pub running: Vec<Sequence>,
    /// Not in the batch.
    pub waiting: VecDeque<Sequence>,
    /// Preemptions so far.
    pub preemptions: u64,
    /// Whether a step is under way.
    pub stepping: bool,
}

impl Engine {
    /// Tokens in memory.
    #[must_use]
    pub fn used(&self) -> Tokens {
        self.running.iter().map(Sequence::size).sum()
    }

    /// Takes a request out; tells how much it had produced.
    pub fn cancel(&mut self, request: usize) -> Option<Tokens> {
        self.waiting.retain(|sequence| sequence.request != request);
        let at = self.running.iter().position(|s| s.request == request)?;
        Some(self.running.remove(at).produced)
    }

    /// Begins a step: fills the batch, makes room for one token each. Tells how long it takes.
    pub fn begin(&mut self, step: &mut Step) -> Option<Duration> {
        let mut prompts = 0;
        while self.running.len() + self.waiting.len() > 0 {
            let used = self.used() + self.running.len() as Tokens;
            let Some(next) = self.waiting.front() else {
                break;
            };
            if self.running.len() >= BATCH || used + next.size() + 1 > CAPACITY {
                break;
            }
            prompts += next.size();
            self.running.extend(self.waiting.pop_front());
        }
        while self.used() + self.running.len() as Tokens > CAPACITY {
            let Some(youngest) = self.running.pop() else {
                break;
            };
            self.waiting.push_front(youngest);
            self.preemptions += 1;
            step.preempted += 1;
        }
        if self.running.is_empty() {
            return None;
        }
        let seconds = step_seconds(self.running.len() as f64, prompts as f64);
        Some(Duration::from_secs_f64(seconds))
    }

    /// Ends a step: everything in the batch has one more token.
    pub fn end(&mut self, now: Moment, step: &mut Step) {
        for sequence in &mut self.running {
            sequence.produced += 1;
            sequence.first.get_or_insert(now);
            if let Some(last) = sequence.last_token.replace(now) {
                step.gaps.push(now - last);
            }
        }
        let (done, left): (Vec<_>, Vec<_>) = self
            .running
            .drain(..)
            .partition(|sequence| sequence.produced >= sequence.length);
        self.running = left;
        step.finished = done;
    }
}
