//! Parameters of admission by memory, chosen by measurement: see docs/design/memory-admission.md.

/// How the memory needed by a set of generations is estimated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MemoryEstimate {
    /// Sum of the expected final sizes. Kept as a variant to compare with.
    ExpectedFinals,
    /// Highest projected usage over the coming tokens.
    #[default]
    ProjectedPeak,
    /// Exact highest usage, taking each request's limit as its true length. The upper bound to
    /// compare with.
    KnownLengths,
}

/// Parameters of admission by memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// How memory needs are estimated.
    pub memory_estimate: MemoryEstimate,
    /// Share of an engine's memory up to which work is admitted.
    pub admit_share: f64,
    /// Safety margin in standard deviations above the mean, before the correction for skewness.
    pub margin_deviations: f64,
    /// Share of memory in use above which nothing is admitted, whatever the projection says.
    pub stop_share: f64,
    /// Share of memory, in use or projected shortly ahead, from which on permits are revoked.
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
    /// Returns the parameters that do best where the true lengths are known and only lags have to
    /// be allowed for.
    #[must_use]
    pub fn with_known_lengths() -> Self {
        Self {
            memory_estimate: MemoryEstimate::KnownLengths,
            admit_share: 0.95,
            ..Self::default()
        }
    }
}
