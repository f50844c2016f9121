//! Chooses the engine for a request: which have room, when each would send the first event, and which costs
//! the others least.

use std::{collections::HashMap, time::Duration};

use types::{Moment, ServiceId, TargetId, Tokens};

use crate::{
    account::{Engine, LoadReport},
    memory::{Allocation, peak_tokens, sum_of_final_tokens},
    message::PlacementRequest,
    owner::Owner,
    queue::EvaluatedRequest,
    tuning::as_f64,
};

/// Assumed prompt length of each generation in an engine's reported queue.
const QUEUED_PROMPT_TOKENS: Tokens = 2_700;

/// Greatest part of its objective that a request leaves to more urgent ones.
const MAX_DEFERENCE: f64 = 0.8;

/// Greatest part of its objective that a request leaves to workspaces within their share. With what is
/// left, it is served in time if it finds an engine whose backlog is short.
const MAX_SHARE_DEFERENCE: f64 = 0.7;

/// An engine that has room for a request.
pub(crate) struct Candidate<'a> {
    /// The engine.
    pub engine: &'a Engine,
    /// Time until the engine sends the first event.
    pub time_to_first_event: Duration,
    /// The part of it that the prompt itself takes.
    pub prefill_time: Duration,
    /// Time for the prompt for which the request must find room.
    pub effective_prefill_time: Duration,
}

impl Owner {
    pub(crate) fn best_engine<'a>(
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
    pub(crate) fn faster_engine_may_free(
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
        let left_to_others = evaluated.share_excess.of_room * MAX_SHARE_DEFERENCE;
        evaluated
            .objective_left
            .mul_f64((1.0 - left_to_urgent) * (1.0 - left_to_others))
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
}
