//! Estimates how long each service takes to its first token.

use std::{collections::HashMap, time::Duration};

use parking_lot::Mutex;
use types::ServiceId;

use crate::gap_estimator::{GapEstimator, TimeoutBounds};

/// Bounds of the timeout for a first token. The minimum leaves room for a long prompt.
const FIRST_TOKEN_BOUNDS: TimeoutBounds = TimeoutBounds {
    min: Duration::from_secs(1),
    max: Duration::from_secs(15),
    initial: Duration::from_secs(10),
};

/// Time to first token by service, shared by all streams of an instance. The lock is taken
/// twice per stream, never per token.
#[derive(Debug, Default)]
pub struct FirstTokenEstimator {
    services: Mutex<HashMap<ServiceId, GapEstimator>>,
}

impl FirstTokenEstimator {
    /// Creates an estimator without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time to first token of one generation.
    pub fn observe(&self, service: &ServiceId, time: Duration) {
        self.services
            .lock()
            .entry(ServiceId::clone(service))
            .or_insert_with(|| GapEstimator::new(FIRST_TOKEN_BOUNDS))
            .observe(time);
    }

    /// Returns how long to wait for a first token before the connection is considered lost.
    #[must_use]
    pub fn timeout(&self, service: &ServiceId) -> Duration {
        self.services
            .lock()
            .get(service)
            .map_or(FIRST_TOKEN_BOUNDS.initial, GapEstimator::timeout)
    }
}
