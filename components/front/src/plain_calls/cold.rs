//! Bounds the requests to cold targets.
//!
//! A target that has just started crashes when it gets its full load, and the next one then gets
//! the crashed one's share as well. So while a target is cold each instance gives it no more than
//! its own part of what it bears.

use std::{collections::HashMap, time::Duration};

use types::{Moment, TargetId};

/// Part of what a cold target bears that is used: instances that have just come are not updated
/// everywhere yet.
const USED_FRACTION: f64 = 0.6;
/// How long a target is taken for cold after its listing said it would be warm: the listing may
/// be a heartbeat old, and clocks of two machines differ.
const COLD_MARGIN: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct ColdTarget {
    until: Moment,
    /// Requests that may be sent just now.
    permitted: f64,
    updated: Moment,
}

/// The cold targets.
#[derive(Debug, Default)]
pub struct ColdTargets {
    cold: HashMap<TargetId, ColdTarget>,
}

impl ColdTargets {
    /// Notes that a target says it stays cold for `left`.
    pub fn mark_cold(&mut self, now: Moment, target: &TargetId, left: Duration) {
        if left.is_zero() {
            return;
        }
        let until = now + left + COLD_MARGIN;
        let fresh = ColdTarget {
            until,
            permitted: 1.0,
            updated: now,
        };
        let cold = self.cold.entry(target.clone()).or_insert(fresh);
        cold.until = cold.until.max(until);
    }

    /// Whether a target is cold.
    #[must_use]
    pub fn is_cold(&self, now: Moment, target: &str) -> bool {
        self.cold.get(target).is_some_and(|cold| cold.until > now)
    }

    /// Takes the right to send a request to a target that bears `per_s` when cold, as one of
    /// `instances`. A warm target takes any number.
    pub fn try_take(&mut self, now: Moment, target: &str, per_s: f64, instances: usize) -> bool {
        self.cold.retain(|_, cold| cold.until > now);
        let Some(cold) = self.cold.get_mut(target) else {
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
