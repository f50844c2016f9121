//! Pauses that targets ask this instance for: a target that rejects a request may state for how long
//! it wants no further ones from the instance that sent it.

use std::{collections::HashMap, time::Duration};

use types::{Moment, TargetId};

/// The pause of one target.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Moment,
    /// The incarnation that asked for it, if known.
    incarnation: Option<u64>,
}

/// The pauses of all targets. A pause binds only the instance that was rejected, and ends with the
/// incarnation of the target that asked for it.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    by_target: HashMap<TargetId, Pause>,
}

impl Pauses {
    /// No target pauses.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an incarnation of a target wants no requests for `time` from `now`. Of several
    /// pauses the one that ends last counts. Returns whether the end has changed.
    pub fn record(
        &mut self,
        now: Moment,
        target: &TargetId,
        incarnation: Option<u64>,
        time: Duration,
    ) -> bool {
        self.by_target.retain(|_, pause| pause.until > now);
        let until = now.saturating_add(time);
        let known = self.by_target.get(target);
        let is_covered = known
            .is_some_and(|pause| pause.until >= until && is_same(pause.incarnation, incarnation));
        if is_covered || time.is_zero() {
            return false;
        }
        self.by_target
            .insert(target.clone(), Pause { until, incarnation });
        true
    }

    /// Time until the end of the pause of a target's incarnation, if it pauses.
    #[must_use]
    pub fn left(&self, now: Moment, target: &str, incarnation: Option<u64>) -> Option<Duration> {
        let pause = self.by_target.get(target)?;
        let pauses = pause.until > now && is_same(pause.incarnation, incarnation);
        pauses.then(|| pause.until.saturating_sub(now))
    }

    /// Whether no target pauses.
    #[must_use]
    pub fn is_empty(&self, now: Moment) -> bool {
        self.by_target.values().all(|pause| pause.until <= now)
    }
}

/// Whether two incarnations may be the same.
fn is_same(one: Option<u64>, other: Option<u64>) -> bool {
    one.is_none() || other.is_none() || one == other
}
