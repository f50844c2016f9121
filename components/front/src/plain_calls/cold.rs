//! Limits the rate of requests to cold targets (slow start).
//!
//! A target that has just started crashes under its full load, and the next one then gets the load
//! of the crashed one too. While a target is cold, each instance therefore sends it no more than
//! its share of the rate that the target can bear.

use std::{collections::HashMap, time::Duration};

use types::{Moment, TargetId};

/// Fraction of the rate of a cold target that is used: new instances are not yet counted
/// everywhere.
const USED_FRACTION: f64 = 0.6;
/// How much longer a target is treated as cold than its listing says: the listing may be one
/// heartbeat old, and the clocks of two machines differ.
const COLD_MARGIN: Duration = Duration::from_millis(500);

/// Token bucket of one cold target.
#[derive(Clone, Copy, Debug)]
struct ColdTarget {
    until: Moment,
    /// Requests that may be sent now.
    permitted: f64,
    updated: Moment,
}

/// Token buckets of the cold targets.
#[derive(Debug, Default)]
pub struct ColdTargets {
    by_id: HashMap<TargetId, ColdTarget>,
}

impl ColdTargets {
    /// Records that a target reports to stay cold for `cold_left`.
    pub fn mark_cold(&mut self, now: Moment, target: &TargetId, cold_left: Duration) {
        if cold_left.is_zero() {
            return;
        }
        let until = now + cold_left + COLD_MARGIN;
        let new = ColdTarget {
            until,
            permitted: 1.0,
            updated: now,
        };
        let cold = self.by_id.entry(target.clone()).or_insert(new);
        cold.until = cold.until.max(until);
    }

    /// Whether a target is cold.
    #[must_use]
    pub fn is_cold(&self, now: Moment, target: &str) -> bool {
        self.by_id.get(target).is_some_and(|cold| cold.until > now)
    }

    /// Takes the right to send a request to a target that bears `per_s` requests a second from all
    /// `instances` while it is cold. A warm target accepts any number.
    pub fn try_take(&mut self, now: Moment, target: &str, per_s: f64, instances: usize) -> bool {
        self.by_id.retain(|_, cold| cold.until > now);
        let Some(cold) = self.by_id.get_mut(target) else {
            return true;
        };
        if per_s <= 0.0 {
            return true;
        }
        let count = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        let share = per_s * USED_FRACTION / f64::from(count);
        let elapsed = now.saturating_sub(cold.updated).as_secs_f64();
        cold.permitted = (cold.permitted + elapsed * share).min(share.max(1.0));
        cold.updated = now;
        if cold.permitted < 1.0 {
            return false;
        }
        cold.permitted -= 1.0;
        true
    }
}
