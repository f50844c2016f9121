//! How long the first token of each service usually takes.

use std::{collections::HashMap, time::Duration};

use parking_lot::Mutex;
use types::ServiceId;

use crate::rhythm::{Bounds, Rhythm};

/// Bounds of the wait for a first token. The floor leaves room for a long prompt.
const FIRST: Bounds = Bounds {
    floor: Duration::from_secs(1),
    ceiling: Duration::from_secs(15),
    unknown: Duration::from_secs(10),
};

/// First-token times by service, shared by all streams of an instance. Its lock is taken twice
/// a stream, never per token.
#[derive(Debug, Default)]
pub struct FirstTokens {
    services: Mutex<HashMap<ServiceId, Rhythm>>,
}

impl FirstTokens {
    /// Starts without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of one first-token time.
    pub fn observe(&self, service: &ServiceId, time: Duration) {
        self.services
            .lock()
            .entry(ServiceId::clone(service))
            .or_insert_with(|| Rhythm::new(FIRST))
            .observe(time);
    }

    /// How long to wait for a first token before the link is suspect.
    #[must_use]
    pub fn limit(&self, service: &ServiceId) -> Duration {
        self.services
            .lock()
            .get(service)
            .map_or(FIRST.unknown, Rhythm::limit)
    }
}
