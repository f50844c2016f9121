//! How long plain calls have taken lately, which tells whether one ends before this instance stops.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use types::ServiceId;

/// Calls of a service that are remembered.
const MAX_CALLS: usize = 64;
/// Calls from which is concluded; with fewer a call is expected to take the route's objective.
const MIN_CALLS: usize = 8;
/// Fraction of the calls that must have ended within the time that is left. The caller of a refused one is served
/// elsewhere at once; that of one which does not end is told that it may have run.
const MIN_ENDED_FRACTION: f64 = 0.98;

/// How long the latest calls of each service have taken.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    by_service: HashMap<ServiceId, VecDeque<Duration>>,
}

impl AnswerTimes {
    /// Records a call that was answered or given up after this time.
    pub fn record(&mut self, service: &ServiceId, took: Duration) {
        let times = self
            .by_service
            .entry(ServiceId::clone(service))
            .or_default();
        if times.len() == MAX_CALLS {
            times.pop_front();
        }
        times.push_back(took);
    }

    /// Whether a call of a service will probably end within `left`.
    #[must_use]
    pub fn probably_ends(&self, service: &ServiceId, objective: Duration, left: Duration) -> bool {
        let times = self.by_service.get(service);
        let Some(times) = times.filter(|times| times.len() >= MIN_CALLS) else {
            return objective <= left;
        };
        let ended = times.iter().filter(|took| **took <= left).count();
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let fraction = ended as f64 / times.len() as f64;
        fraction >= MIN_ENDED_FRACTION
    }
}
