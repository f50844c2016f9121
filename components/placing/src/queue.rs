//! Decides which requests wait for an engine, in which order, and which are rejected.

use std::{cmp::Reverse, collections::HashMap, sync::Arc, time::Duration};

use types::{Moment, TargetId, Tokens, WorkspaceId};

use crate::{
    account::Engine,
    demand::Standing,
    length::LengthEstimate,
    memory::Allocation,
    message::{GenerationId, PlacementAnswer, PlacementRequest},
    owner::Owner,
    shard::Shard,
    shares::{Excess, work},
    throughput::Throughput,
    tuning::as_f64,
};

/// A placement request with the figures that the decision needs.
pub(crate) struct EvaluatedRequest<'a> {
    /// The request as the entry sent it.
    pub request: &'a PlacementRequest,
    /// By how much its workspace is above its fair share.
    pub share_excess: Excess,
    /// Time left until the first event is due, counted from the caller's first attempt.
    pub objective_left: Duration,
    /// Mean speed of the service's engines.
    pub throughput: Throughput,
    /// Time in which an engine of that speed processes the prompt.
    pub prefill_time: Duration,
    /// Time in which the fastest usable engine processes the prompt.
    pub shortest_prefill: Duration,
    /// Prompt length for which the request must find room; larger than its own where its prompt is
    /// small. If each request were judged by its own size, later small ones would take every gap,
    /// and large ones would be rejected.
    pub effective_prompt_tokens: Tokens,
    /// Estimate of the answer's length.
    pub length: LengthEstimate,
}

impl EvaluatedRequest<'_> {
    /// Whether even an idle engine could not meet the objective.
    pub fn is_late(&self) -> bool {
        self.objective_left < self.shortest_prefill
    }

    /// Work that its workspace is charged with.
    pub fn work(&self) -> f64 {
        work(
            self.request.prompt_tokens,
            self.length.expected_remaining(0),
        )
    }

    /// Whether its workspace is above its share, so that requests of others go first.
    pub fn standing(&self) -> Standing {
        standing(self.share_excess.of_room)
    }

    /// Whether it leaves room to requests of other workspaces.
    pub fn yields(&self) -> bool {
        self.standing() == Standing::Above
    }

    /// Whether waiting requests of other workspaces go before it.
    pub fn yields_turn(&self) -> bool {
        self.share_excess.of_turns >= YIELDING_EXCESS
    }

    /// Memory for which the request must find room.
    pub fn effective_allocation(&self) -> Allocation {
        Allocation {
            prompt_tokens: self.effective_prompt_tokens,
            tokens_generated: 0,
            length: self.length,
        }
    }
}

/// A request that was told to wait.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    /// Shard whose engines it waits for; requests for other shards do not compete with it.
    shard: Shard,
    is_late: bool,
    priority: u32,
    route_priority: u32,
    /// Workspace of its caller.
    workspace: Option<WorkspaceId>,
    /// Time since its arrival, as of `last_request_at`.
    waited: Duration,
    /// Time of the last placement request of the entry.
    last_request_at: Moment,
}

/// Position of a waiting request; the lowest goes first. Requests that can still meet their
/// objective come before late ones, then the order is by priority, by that of the route, by whether
/// their workspace is above its share, and by waiting time.
type WaitOrder = (bool, u32, u32, bool, Reverse<Duration>, GenerationId);

/// Excess of a workspace's demand over its share from which on its requests go behind those of others.
const YIELDING_EXCESS: f64 = 0.25;

/// Standing of a workspace with such an excess.
pub(crate) fn standing(share_excess: f64) -> Standing {
    if share_excess >= YIELDING_EXCESS {
        Standing::Above
    } else {
        Standing::Within
    }
}

impl Owner {
    /// Decides on a request that fits on no engine. Memory comes free as generations end, so
    /// waiting helps while the prompt can still be processed in time afterwards. If more requests
    /// already wait than generations are expected to end by then, the caller would only wait to be
    /// rejected.
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
            return self.reject(now, evaluated, evaluated.shortest_prefill);
        }
        let time_for_waiting = evaluated
            .objective_left
            .saturating_sub(evaluated.shortest_prefill);
        // Without any engine there is nothing to forecast: an engine that joins will have room.
        if self.tuning.rejects_by_forecast && !engines.is_empty() {
            let available = as_f64_count(self.engines_with_room(now, evaluated, engines));
            let ahead = as_f64_count(self.waiting_ahead(now, evaluated));
            let completions = self.expected_completions(now, evaluated, engines);
            if ahead + 1.0 > available + completions {
                return self.reject(now, evaluated, time_for_waiting);
            }
        }
        self.wait(now, evaluated)
    }

    /// Conservative estimate of how many generations end while each engine can still process the prompt
    /// in time afterwards: the mean less one standard deviation.
    fn expected_completions(
        &self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> f64 {
        let mut mean = 0.0;
        let mut variance = 0.0;
        for engine in engines {
            let Some(account) = self.accounts.get(&engine.id) else {
                continue;
            };
            let service = &evaluated.request.shard.service;
            let throughput = self.engine_throughput(now, service, &engine.id);
            let prefill_time = throughput.prefill_time(evaluated.request.prompt_tokens);
            let more = throughput.tokens_in(evaluated.objective_left.saturating_sub(prefill_time));
            let generations = account.generations.iter();
            for generation in generations.filter_map(|id| self.generations.get(id)) {
                let still_runs = generation
                    .length
                    .survival_probability(generation.generated_by(now, throughput), more);
                mean += 1.0 - still_runs;
                variance += still_runs * (1.0 - still_runs);
            }
        }
        mean - variance.sqrt()
    }

    /// Decides on a request whose prompt cannot be processed in time. Prefill speed is constant, so
    /// the time left shrinks as fast as the backlog: a prompt that is too late now stays too late.
    /// A request that is late already waits a short time for an idle engine. All others are
    /// rejected at once, and late requests do not hold up those that can still meet their
    /// objective.
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
        if evaluated.yields() {
            self.shares.decisions.rejections += 1;
        }
        self.demand
            .record_outcome(&evaluated.request.route, evaluated.standing(), true);
        let earliest = earliest.max(self.tuning.wait_interval);
        if !self.tuning.recognizes_retries {
            return PlacementAnswer::Rejected {
                after: earliest,
                above_share: evaluated.yields(),
            };
        }
        self.retries.record_rejection(now, evaluated.request);
        let engines = u32::try_from(self.accounts.len())
            .unwrap_or(u32::MAX)
            .max(1);
        let spacing = (evaluated.prefill_time / engines).mul_f64(1.0 / self.tuning.retry_share);
        let after = self
            .retries
            .schedule_retry(now, earliest, spacing, evaluated.request);
        PlacementAnswer::Rejected {
            after,
            above_share: evaluated.yields(),
        }
    }

    pub(crate) fn wait(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
    ) -> PlacementAnswer {
        let request = evaluated.request;
        let waiting = WaitingRequest {
            shard: request.shard.clone(),
            is_late: evaluated.is_late(),
            priority: request.priority,
            route_priority: request.route_priority,
            workspace: request.workspace.clone(),
            waited: request.waited,
            last_request_at: now,
        };
        let known = self
            .waiting
            .insert(Arc::clone(&request.generation), waiting);
        if known.is_none() && evaluated.yields() {
            self.shares.decisions.waits += 1;
        }
        // Every waiting entry retries periodically; the interval grows with their number, so
        // that the requests do not take all of the owner's time.
        let steps =
            u32::try_from(self.waiting.len()).unwrap_or(u32::MAX) / self.tuning.waiting_per_step;
        let after = self.tuning.wait_interval.saturating_mul(steps + 1);
        PlacementAnswer::Wait {
            after: after.min(self.tuning.max_wait_interval),
        }
    }

    /// Number of engines that the request could use. Requests that wait ahead of it may take one
    /// each.
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

    /// Number of engines that have room for the request. Of unequal ones those count that can meet its
    /// objective.
    fn engines_with_room(
        &mut self,
        now: Moment,
        evaluated: &EvaluatedRequest<'_>,
        engines: &[Engine],
    ) -> usize {
        let is_uneven = self.has_uneven_engines(now, evaluated, engines);
        let available = |engine: &&Engine| {
            self.can_admit(now, engine, evaluated)
                && (!is_uneven || self.would_meet_objective(now, evaluated, engine))
        };
        engines.iter().filter(available).count()
    }

    /// Number of waiting requests that go before this one.
    pub(crate) fn waiting_ahead(&mut self, now: Moment, evaluated: &EvaluatedRequest<'_>) -> usize {
        if !self.tuning.orders_waiting {
            return 0;
        }
        let expiry = self.tuning.waiting_expiry;
        self.waiting
            .retain(|_, waiting| now.saturating_sub(waiting.last_request_at) < expiry);
        let request = evaluated.request;
        let own: WaitOrder = (
            evaluated.is_late(),
            request.priority,
            request.route_priority,
            evaluated.yields_turn(),
            Reverse(request.waited),
            Arc::clone(&request.generation),
        );
        let mut yields: HashMap<Option<WorkspaceId>, bool> = HashMap::new();
        let ahead = |(generation, other): &(&GenerationId, &WaitingRequest)| {
            let workspace = other.workspace.clone();
            // Only those with the same priorities compete by their shares.
            let yields = *yields
                .entry(workspace)
                .or_insert_with_key(|workspace| self.workspace_yields(request, workspace.as_ref()));
            let waited = other.waited + now.saturating_sub(other.last_request_at);
            let other_order: WaitOrder = (
                other.is_late,
                other.priority,
                other.route_priority,
                yields,
                Reverse(waited),
                Arc::clone(generation),
            );
            other.shard == request.shard && **generation != request.generation && other_order < own
        };
        self.waiting.iter().filter(ahead).count()
    }

    /// Whether a workspace lets waiting requests of others with the priorities of `request` go first.
    fn workspace_yields(
        &self,
        request: &PlacementRequest,
        workspace: Option<&WorkspaceId>,
    ) -> bool {
        self.tuning.fair_shares
            && workspace.is_some_and(|workspace| {
                self.shares.excess_of(request, workspace).of_turns >= YIELDING_EXCESS
            })
    }

    /// Whether the memory of an engine admits the request. Late requests must leave more memory
    /// free where many are rejected, for the next ones that can meet their objective. Long ones
    /// must leave room for generations that migrate when another engine shuts down.
    pub(crate) fn can_admit(
        &mut self,
        now: Moment,
        engine: &Engine,
        evaluated: &EvaluatedRequest<'_>,
    ) -> bool {
        let tuning = self.tuning;
        let is_long = self.is_long(now, evaluated, &engine.id);
        let share = match (evaluated.is_late(), is_long) {
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

    /// Maximum waiting time of a late request. It is longer where few are rejected, because the
    /// request will probably find room, and the caller need not retry.
    fn max_late_wait(&self, evaluated: &EvaluatedRequest<'_>) -> Duration {
        let (uncontended, contended) = (
            self.tuning.late_wait_uncontended,
            self.tuning.late_wait_contended,
        );
        let wait = interpolate(
            uncontended.as_secs_f64(),
            contended.as_secs_f64(),
            self.shortage(evaluated),
        );
        Duration::from_secs_f64(wait)
    }

    /// Shortage of engines on the request's route, from 0 to 1.
    fn shortage(&self, evaluated: &EvaluatedRequest<'_>) -> f64 {
        self.demand
            .shortage(&evaluated.request.route, evaluated.standing())
    }

    /// Whether a generation will probably run for longer than a reclaimed engine does after its
    /// notice.
    fn is_long(&self, now: Moment, evaluated: &EvaluatedRequest<'_>, target: &TargetId) -> bool {
        self.engine_throughput(now, &evaluated.request.shard.service, target)
            .decode_time(evaluated.length.expected_remaining(0))
            > self.tuning.short_generation
    }
}

/// Linear interpolation: `from` at a `part` of 0, `to` at 1.
fn interpolate(from: f64, to: f64, part: f64) -> f64 {
    from + (to - from) * part
}

/// Converts a count of engines or requests; these are far below the 52 bits that are exact.
pub(crate) fn as_f64_count(count: usize) -> f64 {
    as_f64(u64::try_from(count).unwrap_or(u64::MAX))
}
