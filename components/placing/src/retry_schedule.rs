//! Recognizes callers that retry after a rejection, and spreads their retries over time.
//!
//! A retry has another request id and may reach another instance. The time left until the caller's
//! deadline does not show how long it has waited, because callers' timeouts differ by seconds. When
//! lateness was derived from it, most new requests were treated as late, and most late ones as if
//! they could still meet their objective. What stays the same across retries is the content of the
//! request and the moment of the caller's deadline. Each rejection is stored with both, because two
//! callers may send identical requests.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use types::Moment;

use crate::message::{PlacementRequest, RequestDigest};

/// Maximum number of rejections that are stored; the oldest is dropped first. It exceeds 200
/// rejections a second over the longest delay until a retry.
const MAX_REMEMBERED: usize = 8_192;
/// Maximum difference between the deadlines of two requests of the same caller. The time left is
/// measured by the caller and passes through an entry.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(250);
/// Maximum delay until a retry, as a share of the time left until the caller's deadline; the rest
/// must suffice for the whole answer.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;

/// Retries that find no slot before that maximum are spread over this share of it.
const LATE_SPREAD_SHARE: f64 = 0.5;
/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly for
/// any number of them.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// A rejected request.
#[derive(Clone, Copy, Debug)]
struct RejectedRequest {
    /// Arrival of the caller's first attempt.
    first_arrival: Moment,
    /// Moment at which the caller gives up.
    deadline: Moment,
}

impl RejectedRequest {
    /// Whether a request comes from the same caller.
    fn is_same_caller(&self, now: Moment, request: &PlacementRequest) -> bool {
        self.deadline.abs_diff(now + request.deadline_left) < DEADLINE_TOLERANCE
    }
}

/// Rejected requests, and the time slots that are assigned to their retries.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedule {
    rejected: HashMap<RequestDigest, RejectedRequest>,
    /// Digests in the order of their first rejection.
    order: VecDeque<RequestDigest>,
    /// Earliest slot for the next retry.
    next_slot: Moment,
    /// Position of the last retry without a slot within its spread, from 0 to 1.
    late_phase: f64,
}

impl RetrySchedule {
    /// Time left until the first event is due, counted from the caller's first attempt.
    pub fn objective_left(&self, now: Moment, request: &PlacementRequest) -> Duration {
        let known = self.rejected.get(&request.digest);
        let Some(rejected) = known.filter(|rejected| rejected.is_same_caller(now, request)) else {
            return request.objective_left;
        };
        let arrived = now.saturating_sub(request.waited);
        let elapsed = arrived.saturating_sub(rejected.first_arrival);
        request.objective_left.saturating_sub(elapsed)
    }

    /// Whether a request is the retry of a caller that was rejected.
    pub fn is_retry(&self, now: Moment, request: &PlacementRequest) -> bool {
        let known = self.rejected.get(&request.digest);
        known.is_some_and(|rejected| rejected.is_same_caller(now, request))
    }

    /// Records that a request is rejected.
    pub fn record_rejection(&mut self, now: Moment, request: &PlacementRequest) {
        let known = self.rejected.get(&request.digest);
        if known.is_some_and(|rejected| rejected.is_same_caller(now, request)) {
            return;
        }
        let rejected = RejectedRequest {
            first_arrival: now.saturating_sub(request.waited),
            deadline: now + request.deadline_left,
        };
        if self.rejected.insert(request.digest, rejected).is_none() {
            self.order.push_back(request.digest);
        }
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.rejected.remove(&oldest);
        }
    }

    /// Delay after which a rejected caller should retry: at least `earliest`, and each retry
    /// `spacing` after the one before, as long as this leaves the caller enough time; otherwise
    /// spread over the time that it has. Callers that retry at the same moment would be rejected
    /// together again.
    pub fn schedule_retry(
        &mut self,
        now: Moment,
        earliest: Duration,
        spacing: Duration,
        request: &PlacementRequest,
    ) -> Duration {
        let at = self.next_slot.max(now + earliest);
        let latest = request.deadline_left.mul_f64(MAX_DELAY_SHARE);
        if at < now + latest {
            self.next_slot = at + spacing;
            return at.saturating_sub(now);
        }
        self.late_phase = (self.late_phase + GOLDEN_RATIO_FRACTION).fract();
        latest.mul_f64(1.0 - LATE_SPREAD_SHARE * self.late_phase)
    }
}
