//! How many requests one target may have at a time: cold start, then an adaptive limit.

use std::time::Duration;

use crate::api::TargetLimits;

/// Finished requests between two decisions of the adaptive limit.
const WINDOW: usize = 8;
/// First-token time, as a multiple of the usual one, from which a target counts as crowded.
const CROWDED: f64 = 2.0;
/// First-token time, as a multiple of the usual one, that suggests a cold target.
const JUMP: f64 = 5.0;
/// Least first-token time in seconds that can count as a jump.
const JUMP_FLOOR: f64 = 0.25;
/// Jumps in a row after which a target is cold.
const JUMPS: u32 = 2;
/// What the limit is multiplied by when a target is crowded.
const CUT: f64 = 0.85;
/// What the limit is multiplied by when a target refused work.
const CUT_OVERLOADED: f64 = 0.5;
/// Weight of a new window in the usual first-token time.
const BASELINE_WEIGHT: f64 = 0.1;

/// One target's limit of concurrent requests.
///
/// Additive increase, multiplicative decrease on the median first-token time of a window. A
/// gradient on single samples was weighed too, but the time to the first token depends on the
/// prompt's length and on what the cache holds, so single samples say little.
#[derive(Clone, Debug)]
pub struct Limiter {
    cold: bool,
    finished: u32,
    limit: f64,
    usual: Option<f64>,
    window: Vec<f64>,
    jumps: u32,
}

impl Limiter {
    /// Starts in cold start.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            cold: true,
            finished: 0,
            limit: 1.0,
            usual: None,
            window: Vec::new(),
            jumps: 0,
        }
    }

    /// Tells whether the target is in cold start.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.cold
    }

    /// Puts the target back to cold start; its evidence starts anew.
    pub fn chill(&mut self) {
        self.cold = true;
        self.finished = 0;
        self.jumps = 0;
        self.window.clear();
    }

    /// Believes that the target is warm, with at least `running` requests at a time.
    pub fn trust(&mut self, limits: &TargetLimits, running: u32) {
        self.cold = false;
        self.limit = f64::from(running.max(limits.cold_limit).min(limits.warm_limit));
    }

    /// The most requests at a time.
    #[must_use]
    pub fn slots(&self, limits: &TargetLimits) -> u32 {
        if self.cold {
            return limits.cold_limit.min(limits.warm_limit);
        }
        let floor = limits.cold_limit.max(1);
        (self.limit as u32).clamp(floor.min(limits.warm_limit), limits.warm_limit)
    }

    /// Takes note of a finished request; `busy` tells whether the limit was nearly used up.
    /// Tells whether the target turned cold by it.
    pub fn finished(&mut self, limits: &TargetLimits, first: Duration, busy: bool) -> bool {
        let first = first.as_secs_f64();
        if self.cold {
            self.finished += 1;
            if self.finished >= limits.warm_after {
                self.cold = false;
                self.limit = f64::from(limits.cold_limit.max(1));
            }
            return false;
        }
        if self.jumped(first) {
            self.chill();
            return true;
        }
        if self.limit < f64::from(limits.warm_limit) && self.usual.is_none() && busy {
            self.limit += 1.0;
        }
        self.window.push(first);
        if self.window.len() >= WINDOW {
            self.decide(limits, busy);
        }
        false
    }

    /// Takes note that the target refused work as too much.
    pub fn overloaded(&mut self) {
        self.limit = (self.limit * CUT_OVERLOADED).max(1.0);
        self.window.clear();
    }

    fn jumped(&mut self, first: f64) -> bool {
        let Some(usual) = self.usual else {
            return false;
        };
        if first > (usual * JUMP).max(JUMP_FLOOR) {
            self.jumps += 1;
        } else {
            self.jumps = 0;
        }
        self.jumps >= JUMPS
    }

    fn decide(&mut self, limits: &TargetLimits, busy: bool) {
        self.window.sort_by(f64::total_cmp);
        let median = self.window[WINDOW / 2];
        self.window.clear();
        let usual = *self.usual.get_or_insert(median);
        if median > usual * CROWDED {
            self.limit = (self.limit * CUT).max(1.0);
        } else if busy {
            self.limit = (self.limit + self.limit.sqrt()).min(f64::from(limits.warm_limit));
        }
        self.usual = Some(usual + BASELINE_WEIGHT * (median - usual));
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}
