//! What is asked for on a route: how large its prompts get, and how many are refused.
//!
//! Under more load than engines can take each gap goes to whom it fits, and a large prompt fits
//! hardly any: small ones that come later pass it, and callers with large prompts are refused many
//! times as often. So the more of a route is refused, the more a small prompt must wait for the
//! room that a large one needs.

use std::collections::HashMap;

use types::{RouteId, Tokens};

use crate::tuning::{as_f64, round_tokens};

/// How far up the estimate of a large prompt goes where one is larger than it, and down where one
/// is smaller, as parts of the estimate. They balance where one prompt in twenty is larger.
const QUANTILE_STEP_UP: f64 = 0.095;
/// See [`UP`].
const QUANTILE_STEP_DOWN: f64 = 0.005;
/// What one ask counts in the part that is refused: some fifty asks are remembered.
const REJECTION_WEIGHT: f64 = 0.02;
/// A route is as short of engines as it can be where this part is refused.
const FULL_SHORTAGE_AT: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct RouteDemand {
    /// Tokens that nineteen of twenty prompts stay below.
    large_prompt: f64,
    /// Part of the asks that was refused lately.
    rejected_share: f64,
}

impl RouteDemand {
    fn shortage(&self) -> f64 {
        (self.rejected_share / FULL_SHORTAGE_AT).min(1.0)
    }
}

/// What is asked for on each route.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    routes: HashMap<RouteId, RouteDemand>,
}

impl Demand {
    /// Learns from a prompt that is asked for.
    pub fn record_request(&mut self, route: &RouteId, prompt_tokens: Tokens) {
        let size = as_f64(prompt_tokens);
        let known = self.routes.entry(route.clone()).or_insert(RouteDemand {
            large_prompt: size,
            rejected_share: 0.0,
        });
        known.large_prompt *= if size > known.large_prompt {
            1.0 + QUANTILE_STEP_UP
        } else {
            1.0 - QUANTILE_STEP_DOWN
        };
    }

    /// Learns how an ask was answered in the end.
    pub fn record_outcome(&mut self, route: &RouteId, rejected: bool) {
        if let Some(known) = self.routes.get_mut(route) {
            let seen = if rejected { 1.0 } else { 0.0 };
            known.rejected_share += REJECTION_WEIGHT * (seen - known.rejected_share);
        }
    }

    /// Tokens by which room is looked for, for a prompt of a route.
    pub fn effective_prompt_tokens(&self, route: &str, prompt_tokens: Tokens) -> Tokens {
        let Some(known) = self.routes.get(route) else {
            return prompt_tokens;
        };
        let more = (known.large_prompt - as_f64(prompt_tokens)).max(0.0);
        prompt_tokens + round_tokens(more * known.shortage())
    }

    /// How short a route is of engines, from 0, where nobody is refused, up to 1.
    pub fn shortage(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(0.0, RouteDemand::shortage)
    }
}
