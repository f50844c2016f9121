//! Targets that fall over if they have to reject too many requests in a second, whoever sends them.
//!
//! Rejections are the danger, not load, and they add up over all instances, which learn of each only by
//! their own. Two things keep the sum low without asking anybody: no instance has more requests under way at
//! such a target than its share of the target's slots, so that hardly any is rejected; and after each
//! rejection an instance sends nothing new for so long that all instances together stay below the bound even
//! if each is rejected again.

use std::{collections::HashMap, time::Duration};

use types::{Moment, TargetId};

/// Part of the rejections that a target bears which instances risk together: their holds end at different
/// times, and not every instance is known everywhere at once.
const USED_FRACTION: f64 = 0.5;
/// Width of the random spread of holds, as a fraction, so that they don't end together.
const SPREAD: f64 = 1.0;
/// The longest hold: a target that bears no rejection at all must be tried again some time.
const MAX_HOLD: Duration = Duration::from_secs(20);
/// How long a statement holds without another answer of the target.
const STATEMENT_TIME: Duration = Duration::from_secs(15);
/// How long after a rejection the end of a target is put down to overload.
const OVERLOAD_TIME: Duration = Duration::from_secs(5);

/// What one target says, and what followed.
#[derive(Clone, Copy, Debug)]
struct Brittle {
    incarnation: Option<u64>,
    /// Rejections that it bears in a second.
    per_s: f64,
    said_at: Moment,
    held_until: Moment,
    rejected_at: Option<Moment>,
}

/// The targets that say that they are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleTargets {
    by_target: HashMap<TargetId, Brittle>,
}

impl BrittleTargets {
    /// Records what an answer of a target says: how many rejections it bears in a second, or nothing if it is
    /// not brittle. Returns whether this is news.
    pub fn record(
        &mut self,
        now: Moment,
        target: &TargetId,
        incarnation: Option<u64>,
        per_s: Option<f64>,
    ) -> bool {
        let Some(per_s) = per_s else {
            return self.by_target.remove(target).is_some();
        };
        let new = Brittle {
            incarnation,
            per_s,
            said_at: now,
            held_until: Duration::ZERO,
            rejected_at: None,
        };
        let known = self.by_target.entry(TargetId::clone(target)).or_insert(new);
        if known.incarnation != incarnation {
            *known = new;
        }
        let is_new = known.said_at == now && known.rejected_at.is_none();
        let changes = known.per_s.to_bits() != per_s.to_bits();
        known.per_s = per_s;
        known.said_at = now;
        is_new || changes
    }

    /// Records that a target has rejected a request for want of room. `random` is in `0.0..1.0`. Returns how
    /// long this instance sends it nothing new, if it is brittle.
    pub fn record_rejection(
        &mut self,
        now: Moment,
        target: &str,
        incarnation: Option<u64>,
        instances: usize,
        random: f64,
    ) -> Option<Duration> {
        let brittle = self.by_target.get_mut(target)?;
        if brittle.incarnation != incarnation {
            return None;
        }
        let count = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        let seconds = f64::from(count) / (brittle.per_s * USED_FRACTION).max(f64::MIN_POSITIVE);
        let spread = 1.0 + SPREAD * random;
        let hold = Duration::try_from_secs_f64(seconds * spread).unwrap_or(MAX_HOLD);
        let hold = hold.min(MAX_HOLD.mul_f64(spread));
        brittle.rejected_at = Some(now);
        brittle.held_until = brittle.held_until.max(now + hold);
        Some(hold)
    }

    /// How long nothing new is sent to a target because it has rejected a request, if so.
    #[must_use]
    pub fn hold_left(
        &self,
        now: Moment,
        target: &str,
        incarnation: Option<u64>,
    ) -> Option<Duration> {
        let brittle = self.known(now, target, incarnation)?;
        let left = brittle.held_until.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// The most requests that one of `instances` has under way at a brittle target; none if it is not.
    #[must_use]
    pub fn max_in_flight(
        &self,
        now: Moment,
        target: &str,
        incarnation: Option<u64>,
        slots: u32,
        instances: usize,
    ) -> Option<u32> {
        self.known(now, target, incarnation)?;
        let count = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        Some((slots / count).max(1))
    }

    /// Whether the end of a target at `now` is that of an overloaded one: it is brittle, and has rejected
    /// requests of this instance lately.
    #[must_use]
    pub fn is_overloaded(&self, now: Moment, target: &str, incarnation: Option<u64>) -> bool {
        let brittle = self.known(now, target, incarnation);
        brittle
            .and_then(|brittle| brittle.rejected_at)
            .is_some_and(|at| now.saturating_sub(at) < OVERLOAD_TIME)
    }

    /// Whether no target is brittle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Drops targets that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.by_target.retain(|id, _| listed(id));
    }

    fn known(&self, now: Moment, target: &str, incarnation: Option<u64>) -> Option<&Brittle> {
        let brittle = self.by_target.get(target)?;
        let is_recent = now.saturating_sub(brittle.said_at) < STATEMENT_TIME.max(MAX_HOLD * 2);
        (brittle.incarnation == incarnation && is_recent).then_some(brittle)
    }
}
