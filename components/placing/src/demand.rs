//! What is asked for on a route: how large its prompts get, and how many are refused.
//!
//! Under more load than engines can take each gap goes to whom it fits, and a large prompt fits
//! hardly any: small ones that come later pass it, and callers with large prompts are refused many
//! times as often. So the more of a route is refused, the more a small prompt must wait for the
//! room that a large one needs.

use std::collections::HashMap;

use types::{RouteId, Tokens};

use crate::tuning::{as_f64, whole};

/// How far up the estimate of a large prompt goes where one is larger than it, and down where one
/// is smaller, as parts of the estimate. They balance where one prompt in twenty is larger.
const UP: f64 = 0.095;
/// See [`UP`].
const DOWN: f64 = 0.005;
/// What one ask counts in the part that is refused: some fifty asks are remembered.
const WEIGHT: f64 = 0.02;
/// A route is as short of engines as it can be where this part is refused.
const SHORT_AT: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Route {
    /// Tokens that nineteen of twenty prompts stay below.
    large: f64,
    /// Part of the asks that was refused lately.
    refused: f64,
}

impl Route {
    fn shortage(&self) -> f64 {
        (self.refused / SHORT_AT).min(1.0)
    }
}

/// What is asked for on each route.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    routes: HashMap<RouteId, Route>,
}

impl Demand {
    /// Learns from a prompt that is asked for.
    pub fn asked(&mut self, route: &RouteId, prompt: Tokens) {
        let size = as_f64(prompt);
        let known = self.routes.entry(route.clone()).or_insert(Route {
            large: size,
            refused: 0.0,
        });
        known.large *= if size > known.large {
            1.0 + UP
        } else {
            1.0 - DOWN
        };
    }

    /// Learns how an ask was answered in the end.
    pub fn answered(&mut self, route: &RouteId, refused: bool) {
        if let Some(known) = self.routes.get_mut(route) {
            let seen = if refused { 1.0 } else { 0.0 };
            known.refused += WEIGHT * (seen - known.refused);
        }
    }

    /// Tokens by which room is looked for, for a prompt of a route.
    pub fn judged(&self, route: &str, prompt: Tokens) -> Tokens {
        let Some(known) = self.routes.get(route) else {
            return prompt;
        };
        let more = (known.large - as_f64(prompt)).max(0.0);
        prompt + whole(more * known.shortage())
    }

    /// How short a route is of engines, from 0, where nobody is refused, up to 1.
    pub fn shortage(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(0.0, Route::shortage)
    }
}
