//! State of the generations on the engines of a service, and the choice of an engine for a request.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use types::{Moment, ServiceId, TargetId, Tokens};

use crate::{
    account::{Engine, EngineAccount, Generation, LoadReport},
    demand::Demand,
    length::{LengthEstimate, LengthEstimator},
    memory::{Allocation, peak_tokens, sum_of_final_tokens},
    message::{
        ActiveGeneration, EngineLoad, GenerationId, GenerationUpdate, PlacementAnswer,
        PlacementRequest,
    },
    pauses::{Choice, PauseState},
    queue::{EvaluatedRequest, WaitingRequest},
    retry_schedule::RetrySchedule,
    throughput::{Throughput, ThroughputEstimator},
    tuning::{Tuning, as_f64},
};

/// Assumed prompt length of each generation in an engine's reported queue.
const QUEUED_PROMPT_TOKENS: Tokens = 2_700;

/// Greatest part of its objective that a request leaves to more urgent ones.
const MAX_DEFERENCE: f64 = 0.8;

/// State of all generations that this instance has assigned to engines or learned of.
///
/// The state is soft: a new owner rebuilds it from the entries' syncs, and errors in it cost
/// waiting or preemption but never a wrong answer.
#[derive(Debug, Default)]
pub struct Owner {
    pub(crate) tuning: Tuning,
    pub(crate) accounts: BTreeMap<TargetId, EngineAccount>,
    pub(crate) generations: HashMap<GenerationId, Generation>,
    pub(crate) lengths: LengthEstimator,
    /// Measured speed of each service's engines.
    pub(crate) throughputs: HashMap<ServiceId, ThroughputEstimator>,
    /// Pauses between the events of answers.
    pub(crate) pauses: PauseState,
    /// Demand by route.
    pub(crate) demand: Demand,
    /// Rejected callers that are expected to retry.
    pub(crate) retries: RetrySchedule,
    /// Requests that were told to wait.
    pub(crate) waiting: HashMap<GenerationId, WaitingRequest>,
}

impl Owner {
    /// Creates an owner that knows of no generations.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Answers a placement request, given the engines of its shard that may be given work.
    pub fn place(
        &mut self,
        now: Moment,
        request: &PlacementRequest,
        engines: &[Engine],
    ) -> PlacementAnswer {
        self.remove_stale(now);
        // A repeated request means that the previous answer was lost: an engine assigned then is
        // not used.
        self.release(&request.generation);
        if !self.waiting.contains_key(&request.generation) {
            self.demand.record_request(request);
        }
        self.record_allowed_pause(request);
        let evaluated = self.evaluate(now, request);
        let (time_to_first_event, target) = match self.choose_engine(now, &evaluated, engines) {
            Choice::Engine(time_to_first_event, target) => (time_to_first_event, target),
            Choice::Hold => return self.wait(now, &evaluated),
            Choice::NoRoom => return self.wait_for_memory(now, &evaluated, engines),
        };
        if self.tuning.rejects_by_forecast
            && !self.can_meet_objective(&evaluated, time_to_first_event)
        {
            return self.wait_for_prefill(now, &evaluated, time_to_first_event);
        }
        if self.waiting_ahead(now, &evaluated) >= self.available_engines(now, &evaluated, engines) {
            return self.wait_for_memory(now, &evaluated, engines);
        }
        self.waiting.remove(&request.generation);
        self.demand.record_outcome(&request.route, false);
        self.assign(now, &evaluated, &target);
        PlacementAnswer::Assigned { target }
    }

    fn evaluate<'a>(&self, now: Moment, request: &'a PlacementRequest) -> EvaluatedRequest<'a> {
        let objective_left = if self.tuning.recognizes_retries {
            self.retries.objective_left(now, request)
        } else {
            request.objective_left
        };
        let throughput = self.throughput(&request.shard.service);
        EvaluatedRequest {
            request,
            objective_left,
            throughput,
            prefill_time: throughput.prefill_time(request.prompt_tokens),
            effective_prompt_tokens: self.effective_prompt_tokens(request),
            length: self.estimate_length(&request.route, request.max_tokens, request.length_hint),
        }
    }

    /// Prompt length for which the request must find room: between its own and that of a large
    /// prompt of its route.
    fn effective_prompt_tokens(&self, request: &PlacementRequest) -> Tokens {
        if self.tuning.levels_prompt_sizes {
            self.demand
                .effective_prompt_tokens(&request.route, request.prompt_tokens)
        } else {
            request.prompt_tokens
        }
    }

    /// Whether the first event arrives within the objective, or the engine would be idle otherwise.
    pub(crate) fn can_meet_objective(
        &self,
        evaluated: &EvaluatedRequest<'_>,
        time_to_first_event: Duration,
    ) -> bool {
        let idle = time_to_first_event <= evaluated.prefill_time + self.tuning.idle_slack;
        let large = time_to_first_event - evaluated.prefill_time
            + evaluated
                .throughput
                .prefill_time(evaluated.effective_prompt_tokens);
        idle || (!evaluated.is_late() && large <= self.usable_objective(evaluated))
    }

    /// The part of the time left until the first event is due that a request may use: the rest is left
    /// to more urgent requests that are rejected more often.
    pub(crate) fn usable_objective(&self, evaluated: &EvaluatedRequest<'_>) -> Duration {
        let excess = self.demand.excess_of_more_urgent(&evaluated.request.route);
        let left_to_urgent = (excess * self.tuning.deference).min(MAX_DEFERENCE);
        evaluated.objective_left.mul_f64(1.0 - left_to_urgent)
    }

    /// Applies an entry's update about a generation.
    pub fn apply_update(&mut self, now: Moment, update: &GenerationUpdate) {
        match update {
            GenerationUpdate::Started { generation, .. } => self.mark_started(now, generation),
            GenerationUpdate::Ended {
                generation,
                target_failed,
                tokens_generated,
            } => {
                self.record_length(generation, *tokens_generated);
                let target = self.release(generation);
                if let (true, Some(target)) = (*target_failed, target) {
                    self.mark_uncertain(now, &target);
                }
            }
        }
    }

    /// Records an engine's own load report. An instance that cannot reach any other instance knows
    /// only its own generations; without reports, engines filled by others would look empty to it.
    pub fn record_report(&mut self, now: Moment, target: &TargetId, report: LoadReport) {
        self.account(target).report = Some((now, report));
    }

    /// Load of all known engines.
    #[must_use]
    pub fn loads(&self, now: Moment) -> Vec<EngineLoad> {
        let load = |(target, account): (&TargetId, &EngineAccount)| EngineLoad {
            target: Arc::clone(target),
            prefill_backlog: account.prefill_until.saturating_sub(now),
            generations: u32::try_from(account.generations.len()).unwrap_or(u32::MAX),
        };
        self.accounts.iter().map(load).collect()
    }

    /// Returns a known generation.
    #[must_use]
    pub fn generation(&self, id: &str) -> Option<&Generation> {
        self.generations.get(id)
    }

    /// Assigns no new work to an engine for the length of the failure cooldown.
    pub fn mark_uncertain(&mut self, now: Moment, target: &TargetId) {
        let until = now + self.tuning.failure_cooldown;
        self.account(target).uncertain_until = until;
    }

    /// Drops engines that have no generations and are no longer listed.
    pub fn retain_engines(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.accounts.retain(|id, account| {
            !account.generations.is_empty() || !account.incoming_copies.is_empty() || listed(id)
        });
        self.pauses.retain(listed);
    }

    /// Drops an engine that is gone or has restarted, with its generations.
    pub fn remove_engine(&mut self, target: &TargetId) {
        let Some(account) = self.accounts.remove(target) else {
            return;
        };
        for generation in account.generations {
            self.generations.remove(&generation);
        }
    }

    pub(crate) fn best_engine(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> Option<(Duration, TargetId)> {
        let request = evaluated.request;
        let mut best: Option<(Duration, Duration, &Engine)> = None;
        for engine in engines {
            if request.avoid.contains(&engine.id) || !self.can_admit(now, engine, evaluated) {
                continue;
            }
            let time_to_first_event = self.time_to_first_event(now, engine, evaluated);
            let delay = self.first_event_delay(now, &engine.id, &request.entry);
            let penalty = self.placement_penalty(now, request, engine)
                + self.pause_penalty(now, evaluated, &engine.id);
            let cost = time_to_first_event + delay + penalty;
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, time_to_first_event, engine));
            }
        }
        best.map(|(_, time_to_first_event, engine)| (time_to_first_event, Arc::clone(&engine.id)))
    }

    /// Time until the first event of a request that is sent to an engine now.
    fn time_to_first_event(
        &mut self,
        now: Moment,
        engine: &Engine,
        evaluated: &EvaluatedRequest<'_>,
    ) -> Duration {
        let prefill_until = self.account(&engine.id).prefill_until;
        let backlog = prefill_until.saturating_sub(now);
        let queued = self
            .fresh_report(now, &engine.id)
            .map_or(0, |report| report.queued);
        let reported_prefill = evaluated
            .throughput
            .prefill_time(QUEUED_PROMPT_TOKENS)
            .saturating_mul(queued);
        backlog.max(reported_prefill) + evaluated.prefill_time
    }

    /// The longest time by which a first event from an engine is overdue. An engine that has failed
    /// silently stays listed for some seconds, and its expected prefill backlog keeps shrinking, so
    /// it would attract every new request until then.
    ///
    /// What one entry waits for says as much about its path to the engine as about the engine. For the
    /// requests of other entries a delay counts only if a second entry waits as long.
    fn first_event_delay(&self, now: Moment, target: &TargetId, entry: &str) -> Duration {
        let Some(account) = self.accounts.get(target) else {
            return Duration::ZERO;
        };
        let mut by_entry: HashMap<&str, Duration> = HashMap::new();
        for id in &account.generations {
            let Some(generation) = self.generations.get(id) else {
                continue;
            };
            let longest = by_entry.entry(&generation.entry).or_default();
            *longest = (*longest).max(generation.first_event_delay(now));
        }
        let own = by_entry.get(entry).copied().unwrap_or_default();
        let mut delays: Vec<Duration> = by_entry.into_values().collect();
        delays.sort_unstable();
        let second = delays.iter().rev().nth(1).copied();
        own.max(second.unwrap_or_default())
    }

    fn fresh_report(&self, now: Moment, target: &TargetId) -> Option<LoadReport> {
        let (at, report) = self.accounts.get(target)?.report?;
        (now.saturating_sub(at) < self.tuning.report_max_age).then_some(report)
    }

    /// Tokens that other instances' generations hold on an engine, according to its load report; 0
    /// without a recent report.
    fn foreign_tokens(&self, now: Moment, target: &TargetId, own: &[Allocation]) -> f64 {
        let Some(report) = self.fresh_report(now, target) else {
            return 0.0;
        };
        let own: Tokens = own
            .iter()
            .map(|allocation| allocation.prompt_tokens + allocation.tokens_generated)
            .sum();
        as_f64(report.tokens_held.saturating_sub(own))
    }

    fn placement_penalty(
        &mut self,
        now: Moment,
        request: &PlacementRequest,
        engine: &Engine,
    ) -> Duration {
        let tuning = self.tuning;
        let memory_used = self.projected_tokens(&self.allocations(now, &engine.id))
            / as_f64(engine.memory.max(1));
        let mut penalty = tuning
            .memory_pressure_penalty
            .mul_f64(memory_used.clamp(0.0, 1.0));
        if engine.data_centre != request.data_centre {
            penalty += tuning.remote_penalty;
        }
        penalty
    }

    /// Whether an engine has a free slot, and room for one more generation within a share of its
    /// memory.
    pub(crate) fn has_room(
        &mut self,
        now: Moment,
        engine: &Engine,
        added: Allocation,
        share: f64,
    ) -> bool {
        let account = self.account(&engine.id);
        if account.uncertain_until > now {
            return false;
        }
        let occupied_slots = account.generations.len() + account.incoming_copies.len();
        if occupied_slots >= usize::try_from(engine.slots).unwrap_or(usize::MAX) {
            return false;
        }
        let mut allocations = self.allocations(now, &engine.id);
        let foreign = self.foreign_tokens(now, &engine.id, &allocations);
        allocations.push(added);
        self.projected_tokens(&allocations) + foreign <= as_f64(engine.memory) * share
    }

    /// Tokens that count as reserved for the generations on an engine.
    fn projected_tokens(&self, allocations: &[Allocation]) -> f64 {
        if self.tuning.uses_peak_memory {
            peak_tokens(allocations)
        } else {
            sum_of_final_tokens(allocations)
        }
    }

    /// Allocations on an engine: those of its generations and of incoming copies.
    fn allocations(&self, now: Moment, target: &TargetId) -> Vec<Allocation> {
        let Some(account) = self.accounts.get(target) else {
            return Vec::new();
        };
        let all = account.generations.iter().chain(&account.incoming_copies);
        all.filter_map(|generation| self.generations.get(generation))
            .map(|generation| generation.allocation(now, self.throughput(&generation.service)))
            .collect()
    }

    /// Probability that a generation that starts now ends within `time`.
    #[must_use]
    pub fn completion_probability(&self, request: &PlacementRequest, time: Duration) -> f64 {
        let length = self.estimate_length(&request.route, request.max_tokens, request.length_hint);
        let throughput = self.throughput(&request.shard.service);
        let decode_budget = time.saturating_sub(throughput.prefill_time(request.prompt_tokens));
        1.0 - length.survival_probability(0, throughput.tokens_in(decode_budget))
    }

    /// Estimates the length of an answer.
    pub(crate) fn estimate_length(
        &self,
        route: &str,
        max_tokens: Tokens,
        length_hint: Option<Tokens>,
    ) -> LengthEstimate {
        let length_hint = length_hint.filter(|_| self.tuning.uses_length_hints);
        self.lengths.estimate(route, max_tokens, length_hint)
    }

    /// Speed of a service's engines: measured, or configured while nothing was measured.
    pub(crate) fn throughput(&self, service: &ServiceId) -> Throughput {
        let estimator = self
            .throughputs
            .get(service)
            .filter(|_| self.tuning.learns_throughput);
        estimator.map_or_else(|| self.tuning.throughput(), ThroughputEstimator::throughput)
    }

    fn estimator(&mut self, service: &ServiceId) -> &mut ThroughputEstimator {
        let prior = self.tuning.throughput();
        self.throughputs
            .entry(service.clone())
            .or_insert_with(|| ThroughputEstimator::new(prior))
    }

    /// Records the prefill time that a first event shows. An engine processes one prompt after the
    /// other, so prefill began at the previous first event or at the assignment, whichever came
    /// later.
    fn record_prefill(&mut self, now: Moment, generation: &Generation) {
        let account = self.account(&generation.target);
        let prefill_began = account.last_first_event.max(generation.assigned_at);
        account.last_first_event = now;
        let time = now.saturating_sub(prefill_began);
        self.estimator(&generation.service)
            .record_prefill(generation.prompt_tokens, time);
    }

    /// Records the generation speed since the entry's previous sync.
    pub(crate) fn record_decode(&mut self, now: Moment, reported: &ActiveGeneration) {
        let known = self.generations.get(&reported.generation);
        let Some(generation) = known.filter(|generation| {
            generation.started_at.is_some() && generation.tokens_generated > 0
        }) else {
            return;
        };
        let tokens_generated = reported
            .tokens_generated
            .saturating_sub(generation.tokens_generated);
        let time = now.saturating_sub(generation.counted_at);
        self.estimator(&reported.service)
            .record_decode(tokens_generated, time);
    }

    /// Records the length of a finished generation.
    fn record_length(&mut self, id: &GenerationId, tokens_generated: Option<Tokens>) {
        if !self.tuning.learns_lengths {
            return;
        }
        if let (Some(generation), Some(tokens_generated)) =
            (self.generations.get(id), tokens_generated)
        {
            self.lengths
                .record(&generation.route, generation.max_tokens, tokens_generated);
        }
    }

    fn assign(&mut self, now: Moment, evaluated: &EvaluatedRequest<'_>, target: &TargetId) {
        let request = evaluated.request;
        let first_event_due = self.account(target).prefill_until.max(now) + evaluated.prefill_time;
        let generation = Generation {
            entry: Arc::clone(&request.entry),
            service: Arc::clone(&request.shard.service),
            target: Arc::clone(target),
            prompt_tokens: request.prompt_tokens,
            route: Arc::clone(&request.route),
            max_tokens: request.max_tokens,
            length: evaluated.length,
            priority: request.priority,
            assigned_at: now,
            first_event_due,
            started_at: None,
            tokens_generated: 0,
            counted_at: now,
            confirmed_at: now,
            copying_to: None,
        };
        let account = self.account(target);
        account.prefill_until = first_event_due;
        account.generations.insert(Arc::clone(&request.generation));
        self.generations
            .insert(Arc::clone(&request.generation), generation);
        self.record_prompts(now, &request.shard.service, target);
    }

    fn mark_started(&mut self, now: Moment, id: &GenerationId) {
        let Some(generation) = self.generations.get_mut(id) else {
            return;
        };
        generation.started_at = Some(now);
        generation.counted_at = now;
        let generation = generation.clone();
        self.record_prefill(now, &generation);
        self.trim_prefill_backlog(now, &generation.target);
        self.record_prompts(now, &generation.service, &generation.target);
    }

    /// Shortens the prefill backlog of an engine to the prompts that have no first event yet.
    fn trim_prefill_backlog(&mut self, now: Moment, target: &TargetId) {
        let Some(account) = self.accounts.get(target) else {
            return;
        };
        let remaining_prefill: Duration = account
            .generations
            .iter()
            .filter_map(|generation| self.generations.get(generation))
            .filter(|generation| generation.started_at.is_none())
            .map(|generation| {
                self.throughput(&generation.service)
                    .prefill_time(generation.prompt_tokens)
            })
            .sum();
        let latest = now + remaining_prefill;
        let account = self.account(target);
        account.prefill_until = account.prefill_until.min(latest);
    }

    /// Removes a generation; returns the engine that it ran on.
    pub(crate) fn release(&mut self, id: &GenerationId) -> Option<TargetId> {
        let generation = self.generations.remove(id)?;
        if let Some(account) = self.accounts.get_mut(&generation.target) {
            account.generations.remove(id);
        }
        if let Some(account) = generation
            .copying_to
            .and_then(|to| self.accounts.get_mut(&to))
        {
            account.incoming_copies.remove(id);
        }
        Some(generation.target)
    }

    pub(crate) fn account(&mut self, target: &TargetId) -> &mut EngineAccount {
        self.accounts.entry(Arc::clone(target)).or_default()
    }
}
