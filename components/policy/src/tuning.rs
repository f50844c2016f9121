//! The figures that were found by measurement; see docs/design/memory-admission.md.

/// How much memory a set of generations is taken to need.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MemoryEstimate {
    /// The sum of expected final sizes; a variant to measure against.
    ExpectedFinals,
    /// The highest projected occupation over the coming tokens.
    #[default]
    ProjectedPeak,
    /// The exact highest occupation, taking each request's limit as its true length; the bound
    /// to measure against.
    KnownLengths,
}

/// What the decisions about memory are tuned by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// How memory needs are worked out.
    pub memory_estimate: MemoryEstimate,
    /// Share of an engine's memory up to which work is admitted.
    pub admit_share: f64,
    /// Standard deviations that are kept free on top of the mean, before the correction for
    /// skewness.
    pub margin_deviations: f64,
    /// Share of memory in use from which nothing is admitted, whatever the projection says.
    pub stop_share: f64,
    /// Share of memory in use from which unseen work is pulled back.
    pub revoke_share: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            memory_estimate: MemoryEstimate::ProjectedPeak,
            admit_share: 0.9,
            margin_deviations: 2.5,
            stop_share: 0.95,
            revoke_share: 0.97,
        }
    }
}

impl Tuning {
    /// The figures that do best where the true lengths are told: only lags are left to allow for.
    #[must_use]
    pub fn with_known_lengths() -> Self {
        Self {
            memory_estimate: MemoryEstimate::KnownLengths,
            admit_share: 0.95,
            ..Self::default()
        }
    }
}
