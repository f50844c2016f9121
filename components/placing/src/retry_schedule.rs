//! Callers that were told to come back: known again when they do, and told times at which they do
//! not all come together.
//!
//! A request that comes back has another id and may reach another instance. The time that its
//! caller still waits does not tell how long it has waited, for callers differ in patience by
//! seconds: taken for late by that, most callers got the place of one that is late, and most that
//! were late the place of one that could still be in time. What stays the same is the request
//! itself and the moment at which its caller gives up, so each refusal is remembered by both: two
//! callers may ask for the very same.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use types::Moment;

use crate::message::{PlacementRequest, RequestDigest};

/// Refusals that are remembered at most; the oldest is forgotten first. Two hundred refusals a
/// second for the longest time after which callers come back are fewer.
const MAX_REMEMBERED: usize = 8_192;
/// How far two such moments may lie apart for the same caller: the time that is left is told by the
/// caller, and passes through an entry.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(250);
/// Part of the time that a caller still waits after which it comes back at the latest; what is
/// left must do for the whole answer.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;

/// Part of that time over which those are spread for whom there is no place before its end.
const LATE_SPREAD_SHARE: f64 = 0.5;
/// Multiples of it, less their whole parts, spread evenly however many there are.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;

/// A refused request.
#[derive(Clone, Copy, Debug)]
struct RejectedRequest {
    /// When it arrived for the first time.
    first_arrival: Moment,
    /// Its caller gives up then.
    deadline: Moment,
}

impl RejectedRequest {
    /// Whether an ask comes from the same caller.
    fn is_same_caller(&self, now: Moment, request: &PlacementRequest) -> bool {
        self.deadline.abs_diff(now + request.deadline_left) < DEADLINE_TOLERANCE
    }
}

/// Callers that were told to come back.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedule {
    rejected: HashMap<RequestDigest, RejectedRequest>,
    /// In the order in which they were first refused.
    order: VecDeque<RequestDigest>,
    /// The next caller is told to come back then, or later.
    next_slot: Moment,
    /// Where in their spread the last caller came for whom that was too late, from 0 up to 1.
    late_phase: f64,
}

impl RetrySchedule {
    /// Time until the first event of an ask should be out, counted from its caller's first request.
    pub fn objective_left(&self, now: Moment, request: &PlacementRequest) -> Duration {
        let known = self.rejected.get(&request.digest);
        let Some(rejected) = known.filter(|rejected| rejected.is_same_caller(now, request)) else {
            return request.objective_left;
        };
        let arrived = now.saturating_sub(request.waited);
        let before = arrived.saturating_sub(rejected.first_arrival);
        request.objective_left.saturating_sub(before)
    }

    /// Notes that an ask is refused.
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

    /// When a refused caller should come back: not before `earliest`, and each `spacing` after the
    /// one before, as long as that leaves it time enough; else spread over the time that it has. A
    /// crowd that is told the same moment is refused again as a crowd.
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
