//! Estimates how long a permit request of a class waits.

use std::time::Duration;

use types::{Class, Moment};

/// Weight of one grant in the moving average of the interval between grants.
const WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct ClassRate {
    last_grant: Option<Moment>,
    mean_interval_s: Option<f64>,
}

/// Average interval between two grants of each class, measured while requests of that class wait.
/// The time that more urgent work takes is therefore included without being modelled.
#[derive(Debug, Default)]
pub struct GrantRate {
    classes: [ClassRate; 3],
}

impl GrantRate {
    /// Creates an estimate without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a grant; `waiting` is the number of requests of the class that still wait.
    pub fn record_grant(&mut self, now: Moment, class: Class, waiting: usize) {
        let rate = &mut self.classes[class as usize];
        if let Some(last) = rate.last_grant {
            let gap = now.saturating_sub(last).as_secs_f64();
            let interval = rate.mean_interval_s.get_or_insert(gap);
            *interval += WEIGHT * (gap - *interval);
        }
        rate.last_grant = (waiting > 0).then_some(now);
    }

    /// Records that a request of the class waits from now on.
    pub fn record_waiting(&mut self, now: Moment, class: Class) {
        self.classes[class as usize].last_grant.get_or_insert(now);
    }

    /// Returns the expected interval between two grants of a class while requests of it wait;
    /// `None` without observations.
    #[must_use]
    pub fn interval(&self, now: Moment, class: Class) -> Option<Duration> {
        let rate = &self.classes[class as usize];
        let mut interval = rate.mean_interval_s?;
        let stalled = rate
            .last_grant
            .map_or(0.0, |last| now.saturating_sub(last).as_secs_f64());
        interval += WEIGHT * (stalled - interval).max(0.0);
        Some(Duration::from_secs_f64(interval))
    }

    /// Returns the expected wait behind `ahead` requests of the same class; `None` without
    /// observations.
    #[must_use]
    pub fn expected_wait(&self, now: Moment, class: Class, ahead: usize) -> Option<Duration> {
        if ahead == 0 {
            return Some(Duration::ZERO);
        }
        Some(self.interval(now, class)?.mul_f64(ahead as f64))
    }
}
