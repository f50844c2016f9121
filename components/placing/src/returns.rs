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

use crate::message::{Ask, RequestDigest};

/// Refusals that are remembered at most; the oldest is forgotten first. Two hundred refusals a
/// second for the longest time after which callers come back are fewer.
const MOST: usize = 8_192;
/// How far two such moments may lie apart for the same caller: the time that is left is told by the
/// caller, and passes through an entry.
const SAME_CALLER: Duration = Duration::from_millis(250);
/// Part of the time that a caller still waits after which it comes back at the latest; what is
/// left must do for the whole answer.
const LATEST_PART: f64 = 1.0 / 3.0;

/// Part of that time over which those are spread for whom there is no place before its end.
const BEYOND_PART: f64 = 0.5;
/// Multiples of it, less their whole parts, spread evenly however many there are.
const GOLDEN: f64 = 0.618_033_988_75;

/// A refused request.
#[derive(Clone, Copy, Debug)]
struct Refused {
    /// When it arrived for the first time.
    first: Moment,
    /// Its caller gives up then.
    until: Moment,
}

impl Refused {
    /// Whether an ask comes from the same caller.
    fn is_of(&self, now: Moment, ask: &Ask) -> bool {
        self.until.abs_diff(now + ask.left) < SAME_CALLER
    }
}

/// Callers that were told to come back.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    refused: HashMap<RequestDigest, Refused>,
    /// In the order in which they were first refused.
    order: VecDeque<RequestDigest>,
    /// The next caller is told to come back then, or later.
    next: Moment,
    /// Where in their spread the last caller came for whom that was too late, from 0 up to 1.
    beyond: f64,
}

impl Returns {
    /// Time until the first event of an ask should be out, counted from its caller's first request.
    pub fn aim_left(&self, now: Moment, ask: &Ask) -> Duration {
        let known = self.refused.get(&ask.digest);
        let Some(refused) = known.filter(|refused| refused.is_of(now, ask)) else {
            return ask.aim_left;
        };
        let arrived = now.saturating_sub(ask.waited);
        let before = arrived.saturating_sub(refused.first);
        ask.aim_left.saturating_sub(before)
    }

    /// Notes that an ask is refused.
    pub fn refuse(&mut self, now: Moment, ask: &Ask) {
        let known = self.refused.get(&ask.digest);
        if known.is_some_and(|refused| refused.is_of(now, ask)) {
            return;
        }
        let refused = Refused {
            first: now.saturating_sub(ask.waited),
            until: now + ask.left,
        };
        if self.refused.insert(ask.digest, refused).is_none() {
            self.order.push_back(ask.digest);
        }
        if self.order.len() > MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.refused.remove(&oldest);
        }
    }

    /// When a refused caller should come back: not before `earliest`, and each `spacing` after the
    /// one before, as long as that leaves it time enough; else spread over the time that it has. A
    /// crowd that is told the same moment is refused again as a crowd.
    pub fn book(
        &mut self,
        now: Moment,
        earliest: Duration,
        spacing: Duration,
        ask: &Ask,
    ) -> Duration {
        let at = self.next.max(now + earliest);
        let latest = ask.left.mul_f64(LATEST_PART);
        if at < now + latest {
            self.next = at + spacing;
            return at.saturating_sub(now);
        }
        self.beyond = (self.beyond + GOLDEN).fract();
        latest.mul_f64(1.0 - BEYOND_PART * self.beyond)
    }
}
