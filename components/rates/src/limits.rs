//! What one instance believes of the rates that targets have named.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use types::{Moment, TargetId};

/// Requests a second.
pub type Rate = f64;

/// Part of a rate by which it must change before other instances are told.
const REPORT_THRESHOLD: f64 = 0.1;

/// What a target has said of its rate, as instances tell one another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateReport {
    /// The target.
    pub target: TargetId,
    /// The rate; none if it has named none any more.
    pub rate: Option<Rate>,
    /// How long ago it said so.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct LastReport {
    rate: Option<Rate>,
    at: Moment,
}

/// The rates that targets have named.
#[derive(Debug, Default)]
pub struct RateLimits {
    said: HashMap<TargetId, LastReport>,
}

impl RateLimits {
    /// Knows of none.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The rate that a target takes from all instances together, if it has named one.
    #[must_use]
    pub fn rate(&self, target: &str) -> Option<Rate> {
        self.said.get(target)?.rate
    }

    /// Takes what an answer says to a request that was sent at `sent`. Gives word for the others, if
    /// that changes much.
    pub fn observe(
        &mut self,
        now: Moment,
        sent: Moment,
        target: &TargetId,
        rate: Option<Rate>,
    ) -> Option<RateReport> {
        let known = self.said.get(target).copied();
        // An answer that was under way while another one named a rate does not end it.
        if rate.is_none() && known.is_none_or(|known| known.rate.is_none() || sent < known.at) {
            return None;
        }
        let before = known.and_then(|known| known.rate);
        let said = self
            .said
            .entry(target.clone())
            .or_insert(LastReport { rate, at: now });
        said.at = now;
        if same(before, rate) {
            return None;
        }
        said.rate = rate;
        self.report(now, target)
    }

    /// Takes another instance's word; tells whether it is news.
    pub fn apply(&mut self, now: Moment, word: &RateReport) -> bool {
        let at = now.saturating_sub(word.age);
        let known = self.said.get(&word.target);
        if known.is_some_and(|known| known.at >= at) {
            return false;
        }
        let before = known.and_then(|known| known.rate);
        let said = LastReport {
            rate: word.rate,
            at,
        };
        self.said.insert(word.target.clone(), said);
        !same(before, word.rate)
    }

    /// What is known of a target.
    #[must_use]
    pub fn report(&self, now: Moment, target: &TargetId) -> Option<RateReport> {
        let said = self.said.get(target)?;
        Some(RateReport {
            target: target.clone(),
            rate: said.rate,
            age: now.saturating_sub(said.at),
        })
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.said.retain(|target, _| listed(target));
    }
}

/// Whether two rates are so close that nobody need be told.
fn same(before: Option<Rate>, now: Option<Rate>) -> bool {
    match (before, now) {
        (Some(before), Some(now)) => (before - now).abs() <= before * REPORT_THRESHOLD,
        (None, None) => true,
        _ => false,
    }
}
