//! The budget of second sendings.
//!
//! When targets fail, each instance that tries again multiplies the load on those that are left.
//! One sees it as a service that stays down after its targets are back. So second sendings are
//! bounded by a part of the requests, over all instances: each takes its part by its own requests.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use types::{Moment, ServiceId};

/// Part of the bound that is used. Instances learn late of others that came, and windows of
/// those who count begin at other moments.
const USED_FRACTION: f64 = 0.7;

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// Counts requests and second sendings of each service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    services: HashMap<ServiceId, Window>,
}

impl RetryBudget {
    /// A budget of a ratio of the requests, and a slack that all instances share.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            services: HashMap::new(),
        }
    }

    /// Sets its terms anew; what was counts stays.
    pub const fn configure(&mut self, window: Duration, ratio: f64, slack: f64) {
        self.window = window;
        self.ratio = ratio;
        self.slack = slack;
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Moment, service: &ServiceId) {
        let counts = self.window_mut(now, service);
        counts.requests.push_back(now);
    }

    /// Takes one second sending, if there is one left for one of `instances`.
    pub fn try_take(&mut self, now: Moment, service: &ServiceId, instances: usize) -> bool {
        let (ratio, slack) = (self.ratio, self.slack);
        let counts = self.window_mut(now, service);
        let requests = as_f64(counts.requests.len());
        let share = slack / as_f64(instances.max(1));
        let most = (ratio * requests + share) * USED_FRACTION;
        if as_f64(counts.retries.len() + 1) > most {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    fn window_mut(&mut self, now: Moment, service: &ServiceId) -> &mut Window {
        let oldest = now.saturating_sub(self.window);
        let counts = self.services.entry(service.clone()).or_default();
        for list in [&mut counts.requests, &mut counts.retries] {
            while list.front().is_some_and(|at| *at < oldest) {
                list.pop_front();
            }
        }
        counts
    }
}

/// A count of a window; far below the 52 bits that are exact.
fn as_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = count as f64;
    value
}
