//! Demand by route: the size of large prompts, and the share of requests that is rejected.
//!
//! Under overload each piece of memory that comes free goes to the first request that fits, and a
//! large prompt fits in hardly any. Small requests that arrive later overtake it, and callers with
//! large prompts are rejected many times as often. Therefore, the larger the rejected share of a
//! route, the closer the room that a small prompt must find comes to the room that a large one
//! needs.
//!
//! Requests with a longer objective can queue behind a longer prefill backlog. Under overload they keep
//! the backlog at a length with which those with a shorter objective are too late. Therefore, the more
//! often a more urgent route is rejected than a less urgent one, the more of their objective the less
//! urgent requests must leave.

use std::{collections::HashMap, sync::Arc};

use types::{RouteId, ServiceId, Tokens};

use crate::{
    message::PlacementRequest,
    tuning::{as_f64, round_tokens},
};

/// Factor by which the estimate of a large prompt rises when a prompt exceeds it. Together with
/// `QUANTILE_STEP_DOWN` it settles at the 95th percentile: 0.095 * 0.05 = 0.005 * 0.95.
const QUANTILE_STEP_UP: f64 = 0.095;
/// Factor by which the estimate falls when a prompt does not exceed it.
const QUANTILE_STEP_DOWN: f64 = 0.005;
/// Weight of one request in the moving average of the rejected share, which thus covers about fifty
/// requests.
const REJECTION_WEIGHT: f64 = 0.02;
/// Rejected share from which on a route counts as fully short of engines.
const FULL_SHORTAGE_AT: f64 = 0.5;

#[derive(Clone, Debug)]
struct RouteDemand {
    service: ServiceId,
    /// Priority of the route; lower values go first.
    priority: u32,
    /// 95th percentile of the prompt length in tokens.
    large_prompt: f64,
    /// Share of recent requests that was rejected, from 0 to 1.
    rejected_shares: RejectedShares,
}

impl RouteDemand {
    fn shortage(&self, standing: Standing) -> f64 {
        (self.rejected_shares.of(standing) / FULL_SHORTAGE_AT).min(1.0)
    }
}

/// Whether the workspace of a request asks for more than its fair share. Rejections of those that do
/// must not make other workspaces leave room to them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Standing {
    /// The workspace is within its share, or there is room for all.
    Within,
    /// The workspace is above its share.
    Above,
}

#[derive(Clone, Copy, Debug, Default)]
struct RejectedShares {
    within: f64,
    above: f64,
}

impl RejectedShares {
    const fn of(&self, standing: Standing) -> f64 {
        match standing {
            Standing::Within => self.within,
            Standing::Above => self.above,
        }
    }

    /// The largest share of the requests to which one of this standing leaves room.
    const fn relevant_for(&self, standing: Standing) -> f64 {
        match standing {
            Standing::Within => self.within,
            Standing::Above => self.within.max(self.above),
        }
    }

    fn record(&mut self, standing: Standing, rejected: bool) {
        let share = match standing {
            Standing::Within => &mut self.within,
            Standing::Above => &mut self.above,
        };
        let sample = if rejected { 1.0 } else { 0.0 };
        *share += REJECTION_WEIGHT * (sample - *share);
    }
}

/// Demand on each route.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    routes: HashMap<RouteId, RouteDemand>,
}

impl Demand {
    /// Records the prompt length of a new request.
    pub fn record_request(&mut self, request: &PlacementRequest) {
        let size = as_f64(request.prompt_tokens);
        let entry = self.routes.entry(Arc::clone(&request.route));
        let demand = entry.or_insert_with(|| RouteDemand {
            service: Arc::clone(&request.shard.service),
            priority: request.route_priority,
            large_prompt: size,
            rejected_shares: RejectedShares::default(),
        });
        demand.priority = request.route_priority;
        demand.large_prompt *= if size > demand.large_prompt {
            1.0 + QUANTILE_STEP_UP
        } else {
            1.0 - QUANTILE_STEP_DOWN
        };
    }

    /// Records whether a request was rejected or assigned an engine.
    pub fn record_outcome(&mut self, route: &RouteId, standing: Standing, rejected: bool) {
        if let Some(demand) = self.routes.get_mut(route) {
            demand.rejected_shares.record(standing, rejected);
        }
    }

    /// Prompt length in tokens for which a request must find room: its own, raised towards that of
    /// a large prompt by the shortage on its route.
    pub fn effective_prompt_tokens(
        &self,
        route: &str,
        standing: Standing,
        prompt_tokens: Tokens,
    ) -> Tokens {
        let Some(demand) = self.routes.get(route) else {
            return prompt_tokens;
        };
        let excess = (demand.large_prompt - as_f64(prompt_tokens)).max(0.0);
        prompt_tokens + round_tokens(excess * demand.shortage(standing))
    }

    /// By how much the rejected share of a more urgent route of the same service exceeds that of a route;
    /// 0 if none is rejected more often.
    pub fn excess_of_more_urgent(&self, route: &str, standing: Standing) -> f64 {
        let Some(own) = self.routes.get(route) else {
            return 0.0;
        };
        let more_urgent = self
            .routes
            .values()
            .filter(|other| other.service == own.service && other.priority < own.priority);
        more_urgent
            .map(|other| {
                other.rejected_shares.relevant_for(standing) - own.rejected_shares.of(standing)
            })
            .fold(0.0, f64::max)
    }

    /// Shortage of engines on a route, from 0 (no rejections) to 1.
    pub fn shortage(&self, route: &str, standing: Standing) -> f64 {
        self.routes
            .get(route)
            .map_or(0.0, |demand| demand.shortage(standing))
    }
}
