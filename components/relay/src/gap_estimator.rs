//! Derives an idle timeout from the gaps observed between events.

use std::time::Duration;

/// Weight of the newest gap in the moving averages, which thus cover about the last 16 gaps.
const WEIGHT: f64 = 1.0 / 16.0;
/// Mean deviations added to the timeout.
const DEVIATIONS: f64 = 8.0;
/// Means added to the timeout. After a few gaps the deviation alone is a poor estimate.
const MEANS: f64 = 4.0;

/// Gaps shorter than this are ignored: their tokens belong to one burst of the engine or of a
/// proxy, and only the time between bursts counts.
const MIN_BURST_GAP: Duration = Duration::from_millis(5);

/// Bounds of the idle timeout between tokens. The minimum is above one long step of an
/// overloaded engine.
pub const TOKEN_GAP_BOUNDS: TimeoutBounds = TimeoutBounds {
    min: Duration::from_millis(400),
    max: Duration::from_secs(4),
    initial: Duration::from_secs(2),
};

/// Limits of an estimated timeout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeoutBounds {
    /// Smallest timeout.
    pub min: Duration,
    /// Largest timeout.
    pub max: Duration,
    /// Timeout before the first observation.
    pub initial: Duration,
}

/// A moving estimate of the mean gap between events and of its mean deviation.
#[derive(Clone, Copy, Debug)]
pub struct GapEstimator {
    bounds: TimeoutBounds,
    mean: Option<f64>,
    deviation: f64,
}

impl GapEstimator {
    /// Creates an estimator without observations.
    #[must_use]
    pub const fn new(bounds: TimeoutBounds) -> Self {
        Self {
            bounds,
            mean: None,
            deviation: 0.0,
        }
    }

    /// Records a gap. Gaps within a burst are ignored.
    pub fn observe(&mut self, gap: Duration) {
        if gap < MIN_BURST_GAP {
            return;
        }
        let gap = gap.as_secs_f64();
        let Some(mean) = self.mean else {
            self.mean = Some(gap);
            self.deviation = gap / 2.0;
            return;
        };
        let diff = gap - mean;
        self.mean = Some(diff.mul_add(WEIGHT, mean));
        self.deviation += (diff.abs() - self.deviation) * WEIGHT;
    }

    /// Returns the longest gap that the observations still explain, within the bounds.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let Some(mean) = self.mean else {
            return self.bounds.initial;
        };
        let estimate = DEVIATIONS.mul_add(self.deviation, MEANS * mean);
        Duration::from_secs_f64(estimate).clamp(self.bounds.min, self.bounds.max)
    }
}
