//! State of the generations on the engines of a service, and the choice of an engine for a request.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use types::{Moment, ServiceId, TargetId, Tokens};

use crate::{
    account::{Engine, EngineAccount, Generation, LoadReport},
    demand::{Demand, Standing},
    length::{LengthEstimate, LengthEstimator},
    memory::{Allocation, peak_tokens, sum_of_final_tokens},
    message::{
        ActiveGeneration, EngineLoad, GenerationId, GenerationUpdate, PlacementAnswer,
        PlacementRequest,
    },
    pauses::PauseState,
    queue::{EvaluatedRequest, WaitingRequest, standing},
    retry_schedule::RetrySchedule,
    shares::{ShareChange, ShareDecisions, Shares, WorkspaceLoad, work},
    speed::{SampleOrigin, SpeedChange, Speeds},
    throughput::Throughput,
    tuning::{Tuning, as_f64},
};

/// Assumed prompt length of each generation in an engine's reported queue.
const QUEUED_PROMPT_TOKENS: Tokens = 2_700;

/// Greatest part of its objective that a request leaves to more urgent ones.
const MAX_DEFERENCE: f64 = 0.8;

/// Greatest part of its objective that a request leaves to workspaces within their share. With what is
/// left, it is served in time if it finds an engine whose backlog is short.
const MAX_SHARE_DEFERENCE: f64 = 0.7;

/// Time for which an entry may be silent about a generation whose first event it then reports. An
/// entry that was frozen reports first events long after they arrived.
const MAX_ENTRY_SILENCE: Duration = Duration::from_secs(2);

/// An engine that has room for a request.
pub(crate) struct Candidate<'a> {
    /// The engine.
    pub engine: &'a Engine,
    /// Time until the engine sends the first event.
    time_to_first_event: Duration,
    /// The part of it that the prompt itself takes.
    pub prefill_time: Duration,
    /// Time for the prompt for which the request must find room.
    effective_prefill_time: Duration,
}

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
    /// Measured speeds of services and of their engines.
    pub(crate) speeds: Speeds,
    /// Pauses between the events of answers.
    pub(crate) pauses: PauseState,
    /// Demand by route.
    pub(crate) demand: Demand,
    /// Work of the workspaces.
    pub(crate) shares: Shares,
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
            self.record_demand(now, request);
        }
        self.record_allowed_pause(request);
        let evaluated = self.evaluate(now, request, engines);
        let Some(best) = self.best_engine(now, &evaluated, engines) else {
            return self.wait_for_memory(now, &evaluated, engines);
        };
        if self.tuning.rejects_by_forecast && !self.can_meet_objective(&evaluated, &best) {
            if self.faster_engine_may_free(now, &evaluated, engines) {
                return self.wait_for_memory(now, &evaluated, engines);
            }
            return self.wait_for_prefill(now, &evaluated, best.time_to_first_event);
        }
        if self.waiting_ahead(now, &evaluated) >= self.available_engines(now, &evaluated, engines) {
            return self.wait_for_memory(now, &evaluated, engines);
        }
        self.waiting.remove(&request.generation);
        self.demand
            .record_outcome(&request.route, evaluated.standing(), false);
        self.shares.record_service(now, request, evaluated.work());
        self.record_placed_prompt(now, request, &best);
        self.assign(now, &evaluated, &best);
        PlacementAnswer::Assigned {
            target: Arc::clone(&best.engine.id),
        }
    }

    /// Records what a new request asks for. A caller that comes back after a rejection has been counted.
    fn record_demand(&mut self, now: Moment, request: &PlacementRequest) {
        if self.retries.is_retry(now, request) {
            return;
        }
        let length = self.estimate_length(&request.route, request.max_tokens, request.length_hint);
        let work = work(request.prompt_tokens, length.expected_remaining(0));
        self.shares.record_demand(now, request, work);
    }

    fn evaluate<'a>(
        &self,
        now: Moment,
        request: &'a PlacementRequest,
        engines: &[Engine],
    ) -> EvaluatedRequest<'a> {
        let objective_left = if self.tuning.recognizes_retries {
            self.retries.objective_left(now, request)
        } else {
            request.objective_left
        };
        let service = &request.shard.service;
        let throughput = self.throughput(service);
        let prefill_time = throughput.prefill_time(request.prompt_tokens);
        let usable = engines.iter().filter(|e| !request.avoid.contains(&e.id));
        let shortest = usable
            .map(|e| self.engine_throughput(now, service, &e.id))
            .map(|throughput| throughput.prefill_time(request.prompt_tokens))
            .min();
        let share_excess = self.share_excess(request);
        EvaluatedRequest {
            request,
            share_excess,
            objective_left,
            throughput,
            prefill_time,
            shortest_prefill: shortest.unwrap_or(prefill_time),
            effective_prompt_tokens: self.effective_prompt_tokens(request, standing(share_excess)),
            length: self.estimate_length(&request.route, request.max_tokens, request.length_hint),
        }
    }

    /// By how much the workspace of a request is above its share, from 0 to 1.
    fn share_excess(&self, request: &PlacementRequest) -> f64 {
        if self.tuning.fair_shares {
            self.shares.excess(request)
        } else {
            0.0
        }
    }

    /// Prompt length for which the request must find room: between its own and that of a large
    /// prompt of its route.
    fn effective_prompt_tokens(&self, request: &PlacementRequest, standing: Standing) -> Tokens {
        if self.tuning.levels_prompt_sizes {
            self.demand
                .effective_prompt_tokens(&request.route, standing, request.prompt_tokens)
        } else {
            request.prompt_tokens
        }
    }

    /// Whether the first event arrives within the objective, or the engine would be idle otherwise.
    pub(crate) fn can_meet_objective(
        &self,
        evaluated: &EvaluatedRequest<'_>,
        candidate: &Candidate<'_>,
    ) -> bool {
        // Late and less urgent requests of a workspace above its share would take the engines that its
        // others could still use in time.
        let urgent_are_short = self
            .demand
            .excess_of_more_urgent(&evaluated.request.route, evaluated.standing())
            > 0.0;
        let slack = if evaluated.yields() && (evaluated.is_late() || urgent_are_short) {
            Duration::ZERO
        } else {
            self.tuning.idle_slack
        };
        let time_to_first_event = candidate.time_to_first_event;
        let idle = time_to_first_event <= candidate.prefill_time + slack;
        let large = time_to_first_event - candidate.prefill_time + candidate.effective_prefill_time;
        idle || (!evaluated.is_late() && large <= self.usable_objective(evaluated))
    }

    /// The part of the time left until the first event is due that a request may use: the rest is left
    /// to more urgent requests that are rejected more often, and to workspaces within their share.
    fn usable_objective(&self, evaluated: &EvaluatedRequest<'_>) -> Duration {
        let excess = self
            .demand
            .excess_of_more_urgent(&evaluated.request.route, evaluated.standing());
        let left_to_urgent = (excess * self.tuning.deference).min(MAX_DEFERENCE);
        let left_to_others = evaluated.share_excess * MAX_SHARE_DEFERENCE;
        evaluated
            .objective_left
            .mul_f64((1.0 - left_to_urgent) * (1.0 - left_to_others))
    }

    /// The workspaces that have come above their share or are within it again since the last call.
    pub fn take_share_changes(&mut self, now: Moment) -> Vec<ShareChange> {
        if self.tuning.fair_shares {
            self.shares.take_changes(now)
        } else {
            Vec::new()
        }
    }

    /// What happened to requests of workspaces above their share since the last call.
    pub fn take_share_decisions(&mut self) -> ShareDecisions {
        std::mem::take(&mut self.shares.decisions)
    }

    /// Work of the workspaces in the shards of this owner.
    #[must_use]
    pub fn workspace_loads(&self, now: Moment) -> Vec<WorkspaceLoad> {
        self.shares.loads(now)
    }

    /// Applies an entry's update about a generation.
    pub fn apply_update(&mut self, now: Moment, update: &GenerationUpdate) {
        match update {
            GenerationUpdate::Started {
                generation,
                work_time_percent,
            } => self.mark_started(now, generation, *work_time_percent),
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
            speed: self.speeds.relative(now, target),
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
        self.speeds
            .retain(|id| listed(id) || self.accounts.contains_key(id));
        self.pauses.retain(&listed);
    }

    /// Drops an engine that is gone or has restarted, with its generations.
    pub fn remove_engine(&mut self, target: &TargetId) {
        self.speeds.remove(target);
        let Some(account) = self.accounts.remove(target) else {
            return;
        };
        for generation in account.generations {
            self.generations.remove(&generation);
        }
    }

    fn best_engine<'a>(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &'a [Engine],
    ) -> Option<Candidate<'a>> {
        let request = evaluated.request;
        let is_uneven = self.has_uneven_engines(now, evaluated, engines);
        let mut best: Option<((bool, Duration), Candidate<'a>)> = None;
        for engine in engines {
            if request.avoid.contains(&engine.id) || !self.can_admit(now, engine, evaluated) {
                continue;
            }
            let candidate = self.candidate(now, engine, evaluated);
            let delay = self.first_event_delay(now, &engine.id, &request.entry);
            let pause_cost = self.pause_cost(now, evaluated, &candidate, engines.len());
            let cost = candidate.time_to_first_event
                + delay
                + pause_cost
                + self.placement_penalty(now, request, engine);
            // An engine that is too slow for the request, or too busy, must not cost it a faster one.
            let ranks_by_time = is_uneven || self.pauses.has_risks(&request.shard.service);
            let is_too_slow = ranks_by_time && !self.can_meet_objective(evaluated, &candidate);
            let rank = (is_too_slow, cost);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Whether an engine could meet the objective if it had room, while those with room are too slow.
    fn faster_engine_may_free(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> bool {
        let avoid = &evaluated.request.avoid;
        !evaluated.is_late()
            && self.has_uneven_engines(now, evaluated, engines)
            && engines.iter().any(|engine| {
                !avoid.contains(&engine.id) && self.would_meet_objective(now, evaluated, engine)
            })
    }

    /// Whether a request that is sent to an engine now would meet its objective.
    pub(crate) fn would_meet_objective(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engine: &Engine,
    ) -> bool {
        let candidate = self.candidate(now, engine, evaluated);
        self.can_meet_objective(evaluated, &candidate)
    }

    /// Whether the speeds of the engines differ by more than the error of their measurement.
    pub(crate) fn has_uneven_engines(
        &self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> bool {
        let service = &evaluated.request.shard.service;
        engines
            .iter()
            .any(|e| self.engine_throughput(now, service, &e.id) != evaluated.throughput)
    }

    /// Forecasts the first event of a request that is sent to an engine now.
    fn candidate<'a>(
        &mut self,
        now: Moment,
        engine: &'a Engine,
        evaluated: &EvaluatedRequest<'_>,
    ) -> Candidate<'a> {
        let prefill_until = self.account(&engine.id).prefill_until;
        let backlog = prefill_until.saturating_sub(now);
        let queued = self
            .fresh_report(now, &engine.id)
            .map_or(0, |report| report.queued);
        let service = &evaluated.request.shard.service;
        let throughput = self.engine_throughput(now, service, &engine.id);
        let reported_prefill = throughput
            .prefill_time(QUEUED_PROMPT_TOKENS)
            .saturating_mul(queued);
        let prefill_time = throughput.prefill_time(evaluated.request.prompt_tokens);
        let backlog = backlog.max(reported_prefill);
        let slowdown = self.slowdown_delay(now, service, &engine.id, backlog + prefill_time);
        Candidate {
            engine,
            time_to_first_event: backlog + slowdown + prefill_time,
            prefill_time,
            effective_prefill_time: throughput.prefill_time(evaluated.effective_prompt_tokens),
        }
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
            .map(|generation| {
                let throughput = self.engine_throughput(now, &generation.service, target);
                generation.allocation(now, throughput)
            })
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

    /// Mean speed of a service's engines: measured, or configured while nothing was measured.
    pub(crate) fn throughput(&self, service: &ServiceId) -> Throughput {
        let measured = self
            .speeds
            .of_service(service)
            .filter(|_| self.tuning.learns_throughput);
        measured.unwrap_or_else(|| self.tuning.throughput())
    }

    /// Speed of one engine, as far as it was measured; otherwise that of its service.
    pub(crate) fn engine_throughput(
        &self,
        now: Moment,
        service: &ServiceId,
        target: &TargetId,
    ) -> Throughput {
        let measured = self
            .speeds
            .of_engine(now, service, target)
            .filter(|_| self.measures_engines());
        measured.unwrap_or_else(|| self.throughput(service))
    }

    /// Additional time that an engine needs now, because its machine is slower than usual.
    fn slowdown_delay(
        &self,
        now: Moment,
        service: &ServiceId,
        target: &TargetId,
        work: Duration,
    ) -> Duration {
        if !self.measures_engines() {
            return Duration::ZERO;
        }
        self.speeds.slowdown_delay(now, service, target, work)
    }

    /// Engines whose speed has become slow or usual since the last call.
    pub fn take_speed_changes(&mut self, now: Moment) -> Vec<SpeedChange> {
        if self.measures_engines() {
            self.speeds.take_changes(now)
        } else {
            Vec::new()
        }
    }

    const fn measures_engines(&self) -> bool {
        self.tuning.learns_throughput && self.tuning.learns_engine_speeds
    }

    /// Records the prefill time that a first event shows. An engine processes one prompt after the
    /// other, so prefill began at the previous first event or at the assignment, whichever came
    /// later.
    fn record_prefill(&mut self, now: Moment, generation: &Generation) {
        let per_engine = self.measures_engines();
        let was_silent = now.saturating_sub(generation.confirmed_at) > MAX_ENTRY_SILENCE;
        if per_engine && (generation.is_adopted || was_silent) {
            return;
        }
        let account = self.account(&generation.target);
        let prefill_began = account.last_first_event.max(generation.assigned_at);
        account.last_first_event = now;
        let time = now.saturating_sub(prefill_began);
        let origin = SampleOrigin {
            now,
            service: &generation.service,
            target: &generation.target,
        };
        let prior = self.tuning.throughput();
        self.speeds
            .record_prefill(origin, prior, per_engine, generation.prompt_tokens, time);
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
        let per_engine = self.measures_engines();
        let prior = self.tuning.throughput();
        let origin = SampleOrigin {
            now,
            service: &reported.service,
            target: &reported.target,
        };
        self.speeds
            .record_decode(origin, prior, per_engine, tokens_generated, time);
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

    fn assign(&mut self, now: Moment, evaluated: &EvaluatedRequest<'_>, best: &Candidate<'_>) {
        let request = evaluated.request;
        let target = &best.engine.id;
        let first_event_due = self.account(target).prefill_until.max(now) + best.prefill_time;
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
            is_adopted: false,
        };
        let account = self.account(target);
        account.prefill_until = first_event_due;
        account.generations.insert(Arc::clone(&request.generation));
        self.generations
            .insert(Arc::clone(&request.generation), generation);
        self.record_prompts(now, &request.shard.service, target);
    }

    fn mark_started(&mut self, now: Moment, id: &GenerationId, work_time_percent: Option<u32>) {
        let Some(generation) = self.generations.get_mut(id) else {
            return;
        };
        generation.started_at = Some(now);
        generation.counted_at = now;
        let generation = generation.clone();
        if let Some(percent) = work_time_percent {
            let origin = SampleOrigin {
                now,
                service: &generation.service,
                target: &generation.target,
            };
            let prior = self.tuning.throughput();
            self.speeds.record_work_time(origin, prior, percent);
        }
        self.record_prefill(now, &generation);
        let is_behind =
            self.measures_engines() && now > generation.first_event_due + self.tuning.idle_slack;
        self.trim_prefill_backlog(now, &generation.target, is_behind);
        self.record_prompts(now, &generation.service, &generation.target);
    }

    /// Shortens the prefill backlog of an engine to the prompts that have no first event yet. An engine
    /// that is behind its schedule still has all of them before it.
    fn trim_prefill_backlog(&mut self, now: Moment, target: &TargetId, is_behind: bool) {
        let Some(account) = self.accounts.get(target) else {
            return;
        };
        let remaining_prefill: Duration = account
            .generations
            .iter()
            .filter_map(|generation| self.generations.get(generation))
            .filter(|generation| generation.started_at.is_none())
            .map(|generation| {
                self.engine_throughput(now, &generation.service, target)
                    .prefill_time(generation.prompt_tokens)
            })
            .sum();
        let latest = now + remaining_prefill;
        let account = self.account(target);
        account.prefill_until = if is_behind {
            latest
        } else {
            account.prefill_until.min(latest)
        };
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
