//! The rhythm of events, and how long a silence it explains.

use std::time::Duration;

/// Weight of the newest gap in the averages: about the last 16 gaps count.
const WEIGHT: f64 = 1.0 / 16.0;
/// Deviations above the mean that still count as ordinary.
const DEVIATIONS: f64 = 8.0;
/// Means that still count as ordinary: a few gaps say little about their deviation.
const MEANS: f64 = 4.0;

/// Tokens closer than this came together: the engine or something on the way sends in bursts,
/// and what counts is the time between bursts.
const TOGETHER: Duration = Duration::from_millis(5);

/// Bounds of the silence between tokens. The floor is above a long step of a crowded engine.
pub const GAP: Bounds = Bounds {
    floor: Duration::from_millis(400),
    ceiling: Duration::from_secs(4),
    unknown: Duration::from_secs(2),
};

/// Bounds within which a silence is judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// No silence shorter than this is suspect.
    pub floor: Duration,
    /// Every silence longer than this is suspect.
    pub ceiling: Duration,
    /// What holds before anything was observed.
    pub unknown: Duration,
}

/// A running estimate of gaps: their mean and their mean deviation.
#[derive(Clone, Copy, Debug)]
pub struct Rhythm {
    bounds: Bounds,
    mean: Option<f64>,
    deviation: f64,
}

impl Rhythm {
    /// Starts without observations.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            mean: None,
            deviation: 0.0,
        }
    }

    /// Takes note of a gap.
    pub fn observe(&mut self, gap: Duration) {
        if gap < TOGETHER {
            return;
        }
        let gap = gap.as_secs_f64();
        let Some(mean) = self.mean else {
            self.mean = Some(gap);
            self.deviation = gap / 2.0;
            return;
        };
        let off = gap - mean;
        self.mean = Some(off.mul_add(WEIGHT, mean));
        self.deviation += (off.abs() - self.deviation) * WEIGHT;
    }

    /// The longest silence that the gaps so far explain.
    #[must_use]
    pub fn limit(&self) -> Duration {
        let Some(mean) = self.mean else {
            return self.bounds.unknown;
        };
        let usual = DEVIATIONS.mul_add(self.deviation, MEANS * mean);
        Duration::from_secs_f64(usual).clamp(self.bounds.floor, self.bounds.ceiling)
    }
}
