//! Projects how much of an engine's memory the running generations will need at most.
//!
//! The projection is the peak over the coming tokens, not the sum of final sizes: generations end
//! at different times, and the memory that one releases is used by another. At each horizon the
//! expected usage is the sum over all generations of their size by then, multiplied by the
//! probability that they still run. The safety margin grows with the variance of that sum.

use std::sync::Arc;

use types::Tokens;

use crate::{
    length::SurvivalCurve,
    tuning::{MemoryEstimate, Tuning},
};

/// Horizons, in tokens from now, at which memory usage is projected.
const HORIZONS: [Tokens; 20] = [
    0, 8, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192,
    16384,
];

/// A running generation, as input of the projection.
#[derive(Clone, Debug)]
pub struct RunningGeneration {
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens produced so far.
    pub produced: Tokens,
    /// Upper limit of tokens to produce.
    pub max_output: Tokens,
    /// Probability that the generation exceeds a length.
    pub curve: Arc<SurvivalCurve>,
}

impl RunningGeneration {
    /// Probability that the generation still runs after `more` further tokens.
    fn survival(&self, more: Tokens) -> f64 {
        if self.produced + more >= self.max_output.max(1) {
            // A generation that ends with this token still occupies its memory.
            return if more == 0 { 1.0 } else { 0.0 };
        }
        self.curve.survival(self.produced, more)
    }

    /// Expected number of tokens in memory when the generation ends.
    #[must_use]
    pub fn expected_final_tokens(&self) -> f64 {
        let now = (self.prompt_tokens + self.produced) as f64;
        now + self
            .curve
            .expected_remaining(self.produced, self.max_output)
    }

    /// Maximum number of further tokens.
    const fn max_remaining(&self) -> Tokens {
        self.max_output.saturating_sub(self.produced)
    }
}

/// Projected memory usage of one engine, in tokens.
#[derive(Clone, Debug, Default)]
pub struct MemoryProjection {
    mean: [f64; HORIZONS.len()],
    variance: [f64; HORIZONS.len()],
    third_moment: [f64; HORIZONS.len()],
    expected_final_sum: f64,
    known_lengths: Vec<RunningGeneration>,
}

impl MemoryProjection {
    /// Creates the projection of an idle engine.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a generation to the projection.
    pub fn add(&mut self, generation: &RunningGeneration, estimate: MemoryEstimate) {
        match estimate {
            MemoryEstimate::ExpectedFinals => {
                self.expected_final_sum += generation.expected_final_tokens()
            }
            MemoryEstimate::KnownLengths => self.known_lengths.push(generation.clone()),
            MemoryEstimate::ProjectedPeak => self.add_projected(generation),
        }
    }

    fn add_projected(&mut self, generation: &RunningGeneration) {
        for (at, &horizon) in HORIZONS.iter().enumerate() {
            let survival = generation.survival(horizon);
            if survival <= 0.0 {
                break;
            }
            let size = (generation.prompt_tokens + generation.produced + horizon) as f64;
            self.mean[at] += size * survival;
            let variance = size * size * survival * (1.0 - survival);
            self.variance[at] += variance;
            self.third_moment[at] += variance * size * (1.0 - 2.0 * survival);
        }
    }

    /// Returns the highest expected usage, safety margin included.
    #[must_use]
    pub fn peak(&self, tuning: &Tuning) -> f64 {
        match tuning.memory_estimate {
            MemoryEstimate::ExpectedFinals => self.expected_final_sum,
            MemoryEstimate::KnownLengths => known_lengths_peak(&self.known_lengths),
            MemoryEstimate::ProjectedPeak => self.curve_peak(tuning.margin_deviations),
        }
    }

    fn curve_peak(&self, deviations: f64) -> f64 {
        (0..HORIZONS.len())
            .map(|at| self.mean[at] + self.margin(at, deviations))
            .fold(0.0, f64::max)
    }

    /// Returns the safety margin on top of the mean at one horizon.
    ///
    /// At short horizons nearly all generations still run, so the sum can hardly exceed its mean;
    /// at long ones few do, and the sum has a long upper tail. The margin therefore takes the
    /// skewness of the sum into account (Cornish-Fisher) instead of being a fixed multiple of the
    /// standard deviation.
    fn margin(&self, at: usize, deviations: f64) -> f64 {
        let deviation = self.variance[at].sqrt();
        if deviation <= 0.0 {
            return 0.0;
        }
        let skewness = self.third_moment[at] / (self.variance[at] * deviation);
        let skewed = deviations + (deviations * deviations - 1.0) * skewness / 6.0;
        deviation * skewed.max(0.0)
    }

    /// Returns the highest expected usage over the next 16 tokens, without a margin.
    #[must_use]
    pub fn near_term(&self) -> f64 {
        self.mean[..4].iter().copied().fold(0.0, f64::max)
    }

    /// Returns the current usage according to the account.
    #[must_use]
    pub fn current(&self) -> f64 {
        self.mean[0]
    }
}

/// Returns the exact peak if each generation runs to its limit. The peak lies right before one of
/// them ends.
fn known_lengths_peak(generations: &[RunningGeneration]) -> f64 {
    let mut order: Vec<&RunningGeneration> = generations.iter().collect();
    order.sort_by_key(|generation| generation.max_remaining());
    let mut base: Tokens = order.iter().map(|r| r.prompt_tokens + r.produced).sum();
    let mut still_running = order.len() as Tokens;
    let mut peak = base;
    for generation in order {
        peak = peak.max(base + still_running * generation.max_remaining());
        base -= generation.prompt_tokens + generation.produced;
        still_running -= 1;
    }
    peak as f64
}
