//! Engines that this instance sends no further generations for a while, because they have lost one after the
//! other. No I/O.
//!
//! What an instance loses says as much about its own path as about the engine, so it is neither reported to the
//! owner of the engine nor to other instances.

use std::{collections::HashMap, time::Duration};

use types::{Moment, TargetId};

/// Generations in a row that an engine loses before it is avoided. A single one may be a broken connection.
const MIN_LOSSES: u32 = 3;
/// How long an engine is avoided at first; doubled with each further loss.
const BASE_TIME: Duration = Duration::from_millis(500);
/// The longest time for which an engine is avoided.
const MAX_TIME: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, Default)]
struct Losses {
    in_a_row: u32,
    avoided_until: Moment,
}

/// The losses of engines in a row.
#[derive(Debug, Default)]
pub struct AvoidedEngines {
    losses: HashMap<TargetId, Losses>,
}

impl AvoidedEngines {
    /// No engine has lost a generation.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an engine has lost a generation before it began to answer. Returns how long the engine
    /// is avoided from now on.
    pub fn record_loss(&mut self, now: Moment, target: &TargetId) -> Option<Duration> {
        let losses = self.losses.entry(TargetId::clone(target)).or_default();
        losses.in_a_row = losses.in_a_row.saturating_add(1);
        let beyond = losses.in_a_row.checked_sub(MIN_LOSSES)?;
        let time = BASE_TIME.saturating_mul(1 << beyond.min(8)).min(MAX_TIME);
        losses.avoided_until = now + time;
        Some(time)
    }

    /// Records that an engine has answered.
    pub fn record_answer(&mut self, target: &TargetId) {
        if !self.losses.is_empty() {
            self.losses.remove(target);
        }
    }

    /// Whether an engine is avoided.
    #[must_use]
    pub fn is_avoided(&self, now: Moment, target: &str) -> bool {
        let losses = self.losses.get(target);
        losses.is_some_and(|losses| now < losses.avoided_until)
    }

    /// Whether no engine has lost a generation since it last answered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty()
    }

    /// Forgets engines that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.losses.retain(|target, _| is_listed(target));
    }
}
