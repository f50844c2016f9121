//! Budget of retries.
//!
//! When targets fail, every retry adds to the load on those that are left, and a service can stay
//! down after its targets are back. Retries are therefore bounded by a fraction of the requests of
//! all instances; each instance applies it to its own requests.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use types::{Moment, ServiceId};

/// Fraction of the bound that is used. Instances learn of new ones with a delay, and their time
/// windows are not aligned.
const USED_FRACTION: f64 = 0.7;

/// Requests and retries of one service in the time window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// Counts the requests and retries of each service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    services: HashMap<ServiceId, Window>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request, plus a number of retries that all instances
    /// share, in each time window.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            services: HashMap::new(),
        }
    }

    /// Changes the parameters; the counts stay.
    pub const fn configure(&mut self, window: Duration, ratio: f64, slack: f64) {
        self.window = window;
        self.ratio = ratio;
        self.slack = slack;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Moment, service: &ServiceId) {
        let window = self.window_mut(now, service);
        window.requests.push_back(now);
    }

    /// Takes a retry from the budget of one of `instances`; returns false if none is left.
    pub fn try_take(&mut self, now: Moment, service: &ServiceId, instances: usize) -> bool {
        let (ratio, slack) = (self.ratio, self.slack);
        let window = self.window_mut(now, service);
        let requests = as_f64(window.requests.len());
        let share = slack / as_f64(instances.max(1));
        let max_retries = (ratio * requests + share) * USED_FRACTION;
        if as_f64(window.retries.len() + 1) > max_retries {
            return false;
        }
        window.retries.push_back(now);
        true
    }

    /// The counts of a service, without those older than the time window.
    fn window_mut(&mut self, now: Moment, service: &ServiceId) -> &mut Window {
        let oldest = now.saturating_sub(self.window);
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.retries] {
            while times.front().is_some_and(|at| *at < oldest) {
                times.pop_front();
            }
        }
        window
    }
}

/// A count as a floating-point number.
fn as_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = count as f64;
    value
}
