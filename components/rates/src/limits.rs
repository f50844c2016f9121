//! The rate limits that targets have announced, as one instance knows them.
//!
//! For each target the most recent announcement wins, in whichever order answers and reports
//! arrive.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use types::{Moment, TargetId, bounded};

/// Requests a second.
pub type Rate = f64;

/// Relative change of a rate from which on other instances are notified.
const REPORT_THRESHOLD: f64 = 0.1;

/// A target's rate limit, as instances report it to one another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RateReport {
    /// The target.
    pub target: TargetId,
    /// The limit; none if the target no longer announces one.
    pub rate: Option<Rate>,
    /// Time since the target's announcement.
    #[serde(deserialize_with = "bounded")]
    pub age: Duration,
}

/// The last announcement of one target.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    rate: Option<Rate>,
    at: Moment,
}

/// The last announcement of each target.
#[derive(Debug, Default)]
pub struct RateLimits {
    announcements: HashMap<TargetId, Announcement>,
}

impl RateLimits {
    /// No limit is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The limit that a target has announced for all instances together, if any.
    #[must_use]
    pub fn rate(&self, target: &str) -> Option<Rate> {
        self.announcements.get(target)?.rate
    }

    /// Records the limit in an answer to a request that was sent at `sent`. Returns a report for
    /// the other instances if the limit has changed by more than a tenth, begun or ended.
    pub fn observe(
        &mut self,
        now: Moment,
        sent: Moment,
        target: &TargetId,
        rate: Option<Rate>,
    ) -> Option<RateReport> {
        let known = self.announcements.get(target).copied();
        // An answer without a limit ends the limit only if its request was sent after the limit was
        // announced: the target may have answered it before.
        if rate.is_none() && known.is_none_or(|known| known.rate.is_none() || sent < known.at) {
            return None;
        }
        let before = known.and_then(|known| known.rate);
        let announcement = self
            .announcements
            .entry(target.clone())
            .or_insert(Announcement { rate, at: now });
        announcement.at = now;
        if is_similar(before, rate) {
            return None;
        }
        announcement.rate = rate;
        self.report(now, target)
    }

    /// Applies another instance's report unless a more recent announcement is known. Returns
    /// whether the limit has changed by more than a tenth, begun or ended.
    pub fn apply(&mut self, now: Moment, report: &RateReport) -> bool {
        let at = now.saturating_sub(report.age);
        let known = self.announcements.get(&report.target);
        if known.is_some_and(|known| known.at >= at) {
            return false;
        }
        let before = known.and_then(|known| known.rate);
        let announcement = Announcement {
            rate: report.rate,
            at,
        };
        self.announcements
            .insert(report.target.clone(), announcement);
        !is_similar(before, report.rate)
    }

    /// A report of a target's last announcement, if there was one.
    #[must_use]
    pub fn report(&self, now: Moment, target: &TargetId) -> Option<RateReport> {
        let announcement = self.announcements.get(target)?;
        Some(RateReport {
            target: target.clone(),
            rate: announcement.rate,
            age: now.saturating_sub(announcement.at),
        })
    }

    /// Removes targets that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.announcements.retain(|target, _| is_listed(target));
    }
}

/// Whether two rates differ too little to notify other instances.
fn is_similar(before: Option<Rate>, now: Option<Rate>) -> bool {
    match (before, now) {
        (Some(before), Some(now)) => (before - now).abs() <= before * REPORT_THRESHOLD,
        (None, None) => true,
        _ => false,
    }
}
