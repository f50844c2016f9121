//! Who waits, who is refused, and whose turn it is.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use types::{Moment, Tokens};

use crate::{
    account::Engine,
    length::LengthEstimate,
    memory::Allocation,
    message::{GenerationId, PlacementAnswer, PlacementRequest},
    owner::Owner,
    shard::Shard,
    throughput::Throughput,
    tuning::as_f64,
};

/// An ask as the account sees it.
pub(crate) struct EvaluatedRequest<'a> {
    /// The ask itself.
    pub request: &'a PlacementRequest,
    /// Time until its first event should be out, counted from its caller's first request.
    pub objective_left: Duration,
    /// The pace of its service's engines.
    pub throughput: Throughput,
    /// Time to read its prompt.
    pub prefill_time: Duration,
    /// Tokens by which room is looked for: more than its own where its prompt is small. Judged by
    /// their own, large prompts would be refused while small ones that come later take each gap.
    pub effective_prompt_tokens: Tokens,
    /// What is expected of its length.
    pub length: LengthEstimate,
}

impl EvaluatedRequest<'_> {
    /// Whether even an idle engine could not serve it in time.
    pub fn is_late(&self) -> bool {
        self.objective_left < self.prefill_time
    }

    /// What it is judged to hold.
    pub fn effective_allocation(&self) -> Allocation {
        Allocation {
            prompt_tokens: self.effective_prompt_tokens,
            tokens_generated: 0,
            length: self.length,
        }
    }
}

/// An ask that was told to wait.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// The account that it waits for; others' engines are none of its concern.
    shard: Shard,
    late: bool,
    priority: u32,
    /// How long it had waited when it last asked.
    waited: Duration,
    /// When it last asked.
    last_asked_at: Moment,
}

/// The turn of a waiting ask. The lowest goes first: what can still be in time, then by rank, then
/// by how long it has waited.
type WaitOrder = (bool, u32, Reverse<Duration>, GenerationId);

impl Owner {
    /// Memory comes free when generations end, so waiting helps as long as the prompt can still
    /// be read in time after it. Where more wait for it already than will probably end until
    /// then, the caller would only wait to be refused.
    pub(crate) fn wait_for_memory(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> PlacementAnswer {
        if evaluated.is_late() {
            if evaluated.request.waited < self.max_late_wait(evaluated) {
                return self.wait(now, evaluated);
            }
            return self.reject(now, evaluated, evaluated.prefill_time);
        }
        let usable = evaluated
            .objective_left
            .saturating_sub(evaluated.prefill_time);
        // Where there is no engine at all, any that comes has room.
        if self.tuning.rejects_by_forecast && !engines.is_empty() {
            let open = as_f64_count(self.engines_with_room(now, evaluated, engines));
            let before = as_f64_count(self.waiting_ahead(now, evaluated));
            let ends = self.expected_completions(now, evaluated, usable, engines);
            if before + 1.0 > open + ends {
                return self.reject(now, evaluated, usable);
            }
        }
        self.wait(now, evaluated)
    }

    /// Generations that will probably have ended within a time: a standard deviation fewer than on
    /// average.
    fn expected_completions(
        &self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        time: Duration,
        engines: &[Engine],
    ) -> f64 {
        let throughput = evaluated.throughput;
        let more = throughput.tokens_in(time);
        let accounts = engines.iter().filter_map(|e| self.accounts.get(&e.id));
        let generations = accounts.flat_map(|account| &account.generations);
        let mut mean = 0.0;
        let mut variance = 0.0;
        for generation in generations.filter_map(|generation| self.generations.get(generation)) {
            let still_runs = generation
                .length
                .survival_probability(generation.generated_by(now, throughput), more);
            mean += 1.0 - still_runs;
            variance += still_runs * (1.0 - still_runs);
        }
        mean - variance.sqrt()
    }

    /// Prompts are read at a fixed speed: one that can't be read in time now can't be later
    /// either, for what is left of its time shrinks as fast as the queue. A caller that is late
    /// already waits a little for an idle engine; others are told at once, and work that can
    /// still be in time is not held up by theirs.
    pub(crate) fn wait_for_prefill(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        time_to_first_event: Duration,
    ) -> PlacementAnswer {
        if evaluated.is_late() && evaluated.request.waited < self.max_late_wait(evaluated) {
            return self.wait(now, evaluated);
        }
        self.reject(
            now,
            evaluated,
            time_to_first_event.saturating_sub(evaluated.objective_left),
        )
    }

    fn reject(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        earliest: Duration,
    ) -> PlacementAnswer {
        self.waiting.remove(&evaluated.request.generation);
        self.demand.record_outcome(&evaluated.request.route, true);
        let earliest = earliest.max(self.tuning.wait_interval);
        if !self.tuning.recognizes_retries {
            return PlacementAnswer::Rejected { after: earliest };
        }
        self.retries.record_rejection(now, evaluated.request);
        let engines = u32::try_from(self.accounts.len())
            .unwrap_or(u32::MAX)
            .max(1);
        let spacing = (evaluated.prefill_time / engines).mul_f64(1.0 / self.tuning.retry_share);
        let after = self
            .retries
            .schedule_retry(now, earliest, spacing, evaluated.request);
        PlacementAnswer::Rejected { after }
    }

    fn wait(&mut self, now: Moment, evaluated: &EvaluatedRequest<'_>) -> PlacementAnswer {
        let request = evaluated.request;
        let waiting = WaitingRequest {
            shard: request.shard.clone(),
            late: evaluated.is_late(),
            priority: request.priority,
            waited: request.waited,
            last_asked_at: now,
        };
        self.waiting
            .insert(Arc::clone(&request.generation), waiting);
        // Each that waits asks again and again; together they must leave the owner its time.
        let many =
            u32::try_from(self.waiting.len()).unwrap_or(u32::MAX) / self.tuning.waiting_per_step;
        let after = self.tuning.wait_interval.saturating_mul(many + 1);
        PlacementAnswer::Wait {
            after: after.min(self.tuning.max_wait_interval),
        }
    }

    /// Engines that have room for an ask. Those that wait before it may take one each.
    pub(crate) fn available_engines(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> usize {
        if self.waiting.is_empty() {
            return engines.len();
        }
        self.engines_with_room(now, evaluated, engines)
    }

    /// Engines that have room for an ask.
    fn engines_with_room(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> usize {
        let open = |engine: &&Engine| self.can_admit(now, engine, evaluated);
        engines.iter().filter(open).count()
    }

    /// How many wait whose turn comes before this one.
    pub(crate) fn waiting_ahead(&mut self, now: Moment, evaluated: &EvaluatedRequest<'_>) -> usize {
        if !self.tuning.orders_waiting {
            return 0;
        }
        let life = self.tuning.waiting_expiry;
        self.waiting
            .retain(|_, waiting| now.saturating_sub(waiting.last_asked_at) < life);
        let request = evaluated.request;
        let mine: WaitOrder = (
            evaluated.is_late(),
            request.priority,
            Reverse(request.waited),
            Arc::clone(&request.generation),
        );
        let before = |(generation, other): &(&GenerationId, &WaitingRequest)| {
            let waited = other.waited + now.saturating_sub(other.last_asked_at);
            let turn: WaitOrder = (
                other.late,
                other.priority,
                Reverse(waited),
                Arc::clone(generation),
            );
            other.shard == request.shard && **generation != request.generation && turn < mine
        };
        self.waiting.iter().filter(before).count()
    }

    /// Whether an engine may take an ask, as far as its memory goes. Late work leaves more of it
    /// free where many are refused, for what comes next and can be in time; and long work does, for the generations that
    /// move when another engine leaves.
    pub(crate) fn can_admit(
        &mut self,
        now: Moment,
        engine: &Engine,
        evaluated: &EvaluatedRequest<'_>,
    ) -> bool {
        let tuning = self.tuning;
        let share = match (evaluated.is_late(), self.is_long(evaluated)) {
            (true, _) => interpolate(
                tuning.long_share,
                tuning.late_share,
                self.shortage(evaluated),
            ),
            (false, true) => tuning.long_share,
            (false, false) => tuning.memory_share,
        };
        self.has_room(now, engine, evaluated.effective_allocation(), share)
    }

    /// How long a caller that is late already waits: longer where few are refused, since it will
    /// probably find room, and does not come back another time.
    fn max_late_wait(&self, evaluated: &EvaluatedRequest<'_>) -> Duration {
        let (calm, short) = (
            self.tuning.late_wait_uncontended,
            self.tuning.late_wait_contended,
        );
        let wait = interpolate(
            calm.as_secs_f64(),
            short.as_secs_f64(),
            self.shortage(evaluated),
        );
        Duration::from_secs_f64(wait)
    }

    /// How short the route of an ask is of engines, from 0 up to 1.
    fn shortage(&self, evaluated: &EvaluatedRequest<'_>) -> f64 {
        self.demand.shortage(&evaluated.request.route)
    }

    /// Whether a generation probably outlives the notice of an engine that is reclaimed.
    pub(crate) fn is_long(&self, evaluated: &EvaluatedRequest<'_>) -> bool {
        evaluated
            .throughput
            .decode_time(evaluated.length.expected_remaining(0))
            > self.tuning.short_generation
    }
}

/// The value that lies a part of the way from one to another.
fn interpolate(from: f64, to: f64, part: f64) -> f64 {
    from + (to - from) * part
}

/// A count of engines or asks; far below the 52 bits that are exact.
fn as_f64_count(count: usize) -> f64 {
    as_f64(u64::try_from(count).unwrap_or(u64::MAX))
}
