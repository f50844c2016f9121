//! State of the generations on the engines of a service, and the answers to placement requests.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use types::{Moment, TargetId, Tokens};

use crate::{
    account::{Engine, EngineAccount, Generation, LoadReport},
    choice::Candidate,
    demand::{Demand, Standing},
    length::LengthEstimator,
    message::{EngineLoad, GenerationId, GenerationUpdate, PlacementAnswer, PlacementRequest},
    pauses::PauseState,
    queue::{EvaluatedRequest, WaitingRequest, standing},
    retry_schedule::RetrySchedule,
    shares::{Excess, ShareChange, ShareDecisions, Shares, WorkspaceLoad, work},
    speed::{SampleOrigin, Speeds},
    tuning::Tuning,
};

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
            effective_prompt_tokens: self
                .effective_prompt_tokens(request, standing(share_excess.of_room)),
            length: self.estimate_length(&request.route, request.max_tokens, request.length_hint),
        }
    }

    /// By how much the workspace of a request is above its share.
    fn share_excess(&self, request: &PlacementRequest) -> Excess {
        if self.tuning.fair_shares {
            self.shares.excess(request)
        } else {
            Excess::NONE
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
