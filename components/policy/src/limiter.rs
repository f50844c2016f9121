//! How many requests one target may have at a time: cold start, then an adaptive limit.

use std::time::Duration;

use types::Moment;

use crate::api::TargetLimits;

/// First-token times between two decisions of the adaptive limit.
const WINDOW_SAMPLES: usize = 8;
/// First-token time, as a multiple of the usual one, from which a target counts as crowded.
const CROWDED_FACTOR: f64 = 2.0;
/// First-token time, as a multiple of the usual one, that suggests a cold target.
const COLD_FACTOR: f64 = 5.0;
/// Least first-token time in seconds that can count as a jump.
const MIN_COLD_FIRST_TOKEN_SECONDS: f64 = 0.5;
/// Jumps in a row after which a target is cold.
const COLD_SAMPLES: u32 = 2;
/// What the limit is multiplied by when a target is crowded.
const CROWDED_BACKOFF: f64 = 0.85;
/// What the limit is multiplied by when a target refused work.
const OVERLOAD_BACKOFF: f64 = 0.5;
/// Weight of a new window in the usual first-token time.
const BASELINE_WEIGHT: f64 = 0.1;

/// The part of a limit that only urgent work may take while urgent work is expected.
#[must_use]
pub fn urgent_slots(slots: u32) -> u32 {
    if slots >= 4 { (slots / 10).max(1) } else { 0 }
}

/// One target's limit of concurrent requests.
///
/// In cold start it is the small fixed bound, until enough requests finished and the target
/// doesn't say that it is cold. From there it grows by one for each request that got its first
/// token while the limit was used up, until latency answers; then additive increase and
/// multiplicative decrease on the median first-token time of a window. A gradient on single
/// samples was weighed too, but the time to the first token depends on the prompt's length and
/// on what the cache holds, so single samples say little.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    cold: bool,
    since: Moment,
    finished: u32,
    probing: bool,
    limit: f64,
    baseline: Option<f64>,
    first_token_times: Vec<f64>,
    slow_first_tokens: u32,
}

impl ConcurrencyLimiter {
    /// Starts in cold start.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            cold: true,
            since: now,
            finished: 0,
            probing: true,
            limit: 1.0,
            baseline: None,
            first_token_times: Vec::new(),
            slow_first_tokens: 0,
        }
    }

    /// Tells whether the target is in cold start.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.cold
    }

    /// When it became cold or warm.
    #[must_use]
    pub const fn since(&self) -> Moment {
        self.since
    }

    /// Puts the target back to cold start; its evidence starts anew.
    pub fn mark_cold(&mut self, now: Moment) {
        if !self.cold {
            self.since = now;
        }
        self.cold = true;
        self.finished = 0;
        self.slow_first_tokens = 0;
        self.first_token_times.clear();
    }

    /// Believes that the target is warm, as somebody else found out; it bears `running` requests.
    pub fn mark_warm(&mut self, now: Moment, limits: &TargetLimits, running: u32) {
        self.warm_up(now, limits);
        self.limit = self.limit.max(f64::from(running));
    }

    /// The most requests at a time.
    #[must_use]
    pub fn slots(&self, limits: &TargetLimits) -> u32 {
        let cold_limit = limits.cold_limit.min(limits.warm_limit);
        if self.cold {
            return cold_limit;
        }
        (self.limit as u32).clamp(cold_limit.max(1).min(limits.warm_limit), limits.warm_limit)
    }

    /// Tells whether `occupied` requests use the limit up, but for the part of urgent work.
    #[must_use]
    pub fn is_saturated(&self, limits: &TargetLimits, occupied: u32) -> bool {
        let slots = self.slots(limits);
        occupied + urgent_slots(slots) >= slots
    }

    /// Takes note that a request got its first token; `busy` tells whether the limit was used up.
    pub fn record_first_token(&mut self, limits: &TargetLimits, busy: bool) {
        if !self.cold && self.probing && busy {
            self.limit = (self.limit + 1.0).min(f64::from(limits.warm_limit));
        }
        self.slow_first_tokens = 0;
    }

    /// Takes note of a finished request. `may_warm` tells that the target doesn't deny being
    /// warm. Tells whether the target turned cold by it.
    pub fn record_finished(
        &mut self,
        now: Moment,
        limits: &TargetLimits,
        first: Duration,
        busy: bool,
        may_warm: bool,
    ) -> bool {
        if self.cold {
            self.finished = self.finished.saturating_add(1);
            self.leave_cold_if_proven(now, limits, may_warm);
            return false;
        }
        let first = first.as_secs_f64();
        if self.is_cold_first_token(first) {
            return self.record_slow_first_token(now);
        }
        self.record_first_token(limits, busy);
        self.first_token_times.push(first);
        if self.first_token_times.len() >= WINDOW_SAMPLES {
            self.adjust_limit(limits, busy);
        }
        false
    }

    /// Takes note of a first token that is missing after `waited`. Tells whether the target
    /// turned cold by it.
    pub fn record_missing_first_token(&mut self, now: Moment, waited: Duration) -> bool {
        !self.cold
            && self.is_cold_first_token(waited.as_secs_f64())
            && self.record_slow_first_token(now)
    }

    /// Leaves cold start if there is enough evidence.
    pub fn leave_cold_if_proven(&mut self, now: Moment, limits: &TargetLimits, may_warm: bool) {
        if self.cold && may_warm && self.finished >= limits.warm_after {
            self.warm_up(now, limits);
        }
    }

    /// Takes note that the target refused work as too much.
    pub fn record_overload(&mut self, occupied: u32) {
        self.probing = false;
        self.limit = (self.limit.min(f64::from(occupied + 1)) * OVERLOAD_BACKOFF).max(1.0);
        self.first_token_times.clear();
    }

    fn warm_up(&mut self, now: Moment, limits: &TargetLimits) {
        self.cold = false;
        self.since = now;
        self.probing = true;
        self.limit = f64::from(limits.cold_limit.max(1));
    }

    fn is_cold_first_token(&self, first: f64) -> bool {
        self.baseline
            .is_some_and(|usual| first > (usual * COLD_FACTOR).max(MIN_COLD_FIRST_TOKEN_SECONDS))
    }

    fn record_slow_first_token(&mut self, now: Moment) -> bool {
        self.slow_first_tokens += 1;
        if self.slow_first_tokens < COLD_SAMPLES {
            return false;
        }
        self.mark_cold(now);
        true
    }

    fn adjust_limit(&mut self, limits: &TargetLimits, busy: bool) {
        self.first_token_times.sort_by(f64::total_cmp);
        let median = self.first_token_times[self.first_token_times.len() / 2];
        self.first_token_times.clear();
        let usual = *self.baseline.get_or_insert(median);
        if median > usual * CROWDED_FACTOR {
            self.probing = false;
            self.limit = (self.limit * CROWDED_BACKOFF).max(1.0);
        } else if busy {
            self.limit = (self.limit + self.limit.sqrt()).min(f64::from(limits.warm_limit));
        }
        self.baseline = Some(usual + BASELINE_WEIGHT * (median - usual));
    }
}
