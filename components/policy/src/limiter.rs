//! Limits the number of concurrent requests on one target: a fixed limit during cold start, then an
//! adaptive one.

use std::time::Duration;

use types::Moment;

use crate::api::TargetLimits;

/// Number of first-token times between two adjustments of the limit.
const WINDOW_SAMPLES: usize = 8;
/// Median first-token time, as a multiple of the baseline, above which a target counts as
/// overloaded.
const OVERLOADED_LATENCY_FACTOR: f64 = 2.0;
/// First-token time, as a multiple of the baseline, that suggests that a target is cold.
const COLD_FACTOR: f64 = 5.0;
/// Shorter first-token times, in seconds, never suggest that a target is cold.
const MIN_COLD_FIRST_TOKEN_SECONDS: f64 = 0.5;
/// Number of consecutive slow first tokens after which a target is taken to be cold.
const COLD_SAMPLES: u32 = 2;
/// Factor on the limit when the first-token time shows that a target is overloaded.
const LATENCY_BACKOFF: f64 = 0.85;
/// Factor on the limit when a target refused work as overloaded.
const OVERLOAD_BACKOFF: f64 = 0.5;
/// Weight of a new window's median in the baseline.
const BASELINE_WEIGHT: f64 = 0.1;

/// Returns how many of a target's slots are reserved for urgent work while such work is expected.
#[must_use]
pub fn urgent_slots(slots: u32) -> u32 {
    if slots >= 4 { (slots / 10).max(1) } else { 0 }
}

/// Adaptive limit of concurrent requests on one target.
///
/// A cold target has the small fixed limit until enough requests have finished and it doesn't
/// report itself as cold. After that the limit grows by one for each request that gets its first
/// token while the limit is used up, until latency rises. From there on it follows the median
/// first-token time of a window, with additive increase and multiplicative decrease. A gradient on
/// single samples was considered instead; but the time to the first token depends on the prompt's
/// length and on what is cached, so that single samples say little.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    cold: bool,
    state_changed_at: Moment,
    finished: u32,
    probing: bool,
    limit: f64,
    baseline: Option<f64>,
    first_token_times: Vec<f64>,
    slow_first_tokens: u32,
}

impl ConcurrencyLimiter {
    /// Creates the limiter of a cold target.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            cold: true,
            state_changed_at: now,
            finished: 0,
            probing: true,
            limit: 1.0,
            baseline: None,
            first_token_times: Vec::new(),
            slow_first_tokens: 0,
        }
    }

    /// Returns whether the target is in cold start.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns when the target last became cold or warm.
    #[must_use]
    pub const fn state_changed_at(&self) -> Moment {
        self.state_changed_at
    }

    /// Puts the target back into cold start and discards the evidence that it is warm.
    pub fn mark_cold(&mut self, now: Moment) {
        if !self.cold {
            self.state_changed_at = now;
        }
        self.cold = true;
        self.finished = 0;
        self.slow_first_tokens = 0;
        self.first_token_times.clear();
    }

    /// Marks the target as warm, as found out by another owner; `running` requests are known to be
    /// within its capacity.
    pub fn mark_warm(&mut self, now: Moment, limits: &TargetLimits, running: u32) {
        self.warm_up(now, limits);
        self.limit = self.limit.max(f64::from(running));
    }

    /// Returns the maximum number of concurrent requests.
    #[must_use]
    pub fn slots(&self, limits: &TargetLimits) -> u32 {
        let cold_limit = limits.cold_limit.min(limits.warm_limit);
        if self.cold {
            return cold_limit;
        }
        (self.limit as u32).clamp(cold_limit.max(1).min(limits.warm_limit), limits.warm_limit)
    }

    /// Returns whether `occupied` requests use up the limit, apart from the slots reserved for
    /// urgent work.
    #[must_use]
    pub fn is_saturated(&self, limits: &TargetLimits, occupied: u32) -> bool {
        let slots = self.slots(limits);
        occupied + urgent_slots(slots) >= slots
    }

    /// Records that a request got its first token; `saturated` tells whether the limit was used up.
    pub fn record_first_token(&mut self, limits: &TargetLimits, saturated: bool) {
        if !self.cold && self.probing && saturated {
            self.limit = (self.limit + 1.0).min(f64::from(limits.warm_limit));
        }
        self.slow_first_tokens = 0;
    }

    /// Records a finished request. `may_be_warm` is false if the target reports itself as cold.
    /// Returns whether the target is taken to be cold because of this request.
    pub fn record_finished(
        &mut self,
        now: Moment,
        limits: &TargetLimits,
        first_token: Duration,
        saturated: bool,
        may_be_warm: bool,
    ) -> bool {
        if self.cold {
            self.finished = self.finished.saturating_add(1);
            self.leave_cold_if_proven(now, limits, may_be_warm);
            return false;
        }
        let first_token = first_token.as_secs_f64();
        if self.is_cold_first_token(first_token) {
            return self.record_slow_first_token(now);
        }
        self.record_first_token(limits, saturated);
        self.first_token_times.push(first_token);
        if self.first_token_times.len() >= WINDOW_SAMPLES {
            self.adjust_limit(limits, saturated);
        }
        false
    }

    /// Records that a first token is still missing after `waited`. Returns whether the target is
    /// taken to be cold because of it.
    pub fn record_missing_first_token(&mut self, now: Moment, waited: Duration) -> bool {
        !self.cold
            && self.is_cold_first_token(waited.as_secs_f64())
            && self.record_slow_first_token(now)
    }

    /// Ends cold start if enough requests have finished and `may_be_warm` holds.
    pub fn leave_cold_if_proven(&mut self, now: Moment, limits: &TargetLimits, may_be_warm: bool) {
        if self.cold && may_be_warm && self.finished >= limits.warm_after {
            self.warm_up(now, limits);
        }
    }

    /// Records that the target refused work as overloaded while it had `occupied` requests.
    pub fn record_overload(&mut self, occupied: u32) {
        self.probing = false;
        self.limit = (self.limit.min(f64::from(occupied + 1)) * OVERLOAD_BACKOFF).max(1.0);
        self.first_token_times.clear();
    }

    fn warm_up(&mut self, now: Moment, limits: &TargetLimits) {
        self.cold = false;
        self.state_changed_at = now;
        self.probing = true;
        self.limit = f64::from(limits.cold_limit.max(1));
    }

    fn is_cold_first_token(&self, first_token: f64) -> bool {
        self.baseline.is_some_and(|baseline| {
            first_token > (baseline * COLD_FACTOR).max(MIN_COLD_FIRST_TOKEN_SECONDS)
        })
    }

    fn record_slow_first_token(&mut self, now: Moment) -> bool {
        self.slow_first_tokens += 1;
        if self.slow_first_tokens < COLD_SAMPLES {
            return false;
        }
        self.mark_cold(now);
        true
    }

    fn adjust_limit(&mut self, limits: &TargetLimits, saturated: bool) {
        self.first_token_times.sort_by(f64::total_cmp);
        let median = self.first_token_times[self.first_token_times.len() / 2];
        self.first_token_times.clear();
        let baseline = *self.baseline.get_or_insert(median);
        if median > baseline * OVERLOADED_LATENCY_FACTOR {
            self.probing = false;
            self.limit = (self.limit * LATENCY_BACKOFF).max(1.0);
        } else if saturated {
            self.limit = (self.limit + self.limit.sqrt()).min(f64::from(limits.warm_limit));
        }
        self.baseline = Some(baseline + BASELINE_WEIGHT * (median - baseline));
    }
}
