//! How long an ask of a class waits.

use std::time::Duration;

use types::{Class, Moment};

/// Weight of one grant in the estimate of the time between two.
const WEIGHT: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct ClassRate {
    last_grant: Option<Moment>,
    mean_interval_s: Option<f64>,
}

/// Time between two grants of each class while asks of that class wait. More urgent work that
/// goes first is in it without being counted.
#[derive(Debug, Default)]
pub struct GrantRate {
    classes: [ClassRate; 3],
}

impl GrantRate {
    /// Starts knowing nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of a grant; `waiting` tells how many asks of the class wait still.
    pub fn record_grant(&mut self, now: Moment, class: Class, waiting: usize) {
        let pace = &mut self.classes[class as usize];
        if let Some(last) = pace.last_grant {
            let gap = now.saturating_sub(last).as_secs_f64();
            let between = pace.mean_interval_s.get_or_insert(gap);
            *between += WEIGHT * (gap - *between);
        }
        pace.last_grant = (waiting > 0).then_some(now);
    }

    /// Takes note that an ask of a class waits from now on.
    pub fn record_waiting(&mut self, now: Moment, class: Class) {
        self.classes[class as usize].last_grant.get_or_insert(now);
    }

    /// Expected time between two grants of a class while asks of it wait; `None` before anything
    /// is known.
    #[must_use]
    pub fn interval(&self, now: Moment, class: Class) -> Option<Duration> {
        let pace = &self.classes[class as usize];
        let mut between = pace.mean_interval_s?;
        let stalled = pace
            .last_grant
            .map_or(0.0, |last| now.saturating_sub(last).as_secs_f64());
        between += WEIGHT * (stalled - between).max(0.0);
        Some(Duration::from_secs_f64(between))
    }

    /// Expected wait behind `ahead` asks of the same class; `None` before anything is known.
    #[must_use]
    pub fn expected_wait(&self, now: Moment, class: Class, ahead: usize) -> Option<Duration> {
        if ahead == 0 {
            return Some(Duration::ZERO);
        }
        Some(self.interval(now, class)?.mul_f64(ahead as f64))
    }
}
