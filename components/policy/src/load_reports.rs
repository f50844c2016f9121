//! What follows from a target's load reports: whether it is cold, and which orphaned work has
//! ended.

use std::time::Duration;

use types::Moment;

use crate::{
    account::{TargetAccount, TimedReport},
    api::TargetLimits,
    permit::PermitKey,
};

/// How long orphaned work counts if no report shows that it has ended.
const MAX_ORPHAN_AGE: Duration = Duration::from_secs(300);
/// How long nothing is admitted after a target reported preemptions.
const PREEMPTION_PAUSE: Duration = Duration::from_millis(500);

impl TargetAccount {
    /// Records a load report. Returns whether it is newer than the last one.
    pub fn record_report(
        &mut self,
        now: Moment,
        report: TimedReport,
        limits: &TargetLimits,
    ) -> bool {
        if self
            .report
            .is_some_and(|last| last.taken_at > report.taken_at)
        {
            return false;
        }
        let last = self.report.replace(report);
        let same_incarnation =
            |last: &TimedReport| last.report.incarnation == report.report.incarnation;
        if let Some(last) = last.filter(same_incarnation)
            && report.report.preemptions > last.report.preemptions
        {
            self.admission_paused_until = now + PREEMPTION_PAUSE;
        }
        let unfinished = report.report.running + report.report.waiting;
        if unfinished == 0 && report.taken_at > self.created_at {
            self.may_run_unknown_work = false;
        }
        self.drop_ended_orphans(now);
        self.update_warmth(now, limits);
        true
    }

    /// Updates the cold or warm state from the newest report.
    pub fn update_warmth(&mut self, now: Moment, limits: &TargetLimits) {
        let Some(report) = self.report else { return };
        if !report.report.warm {
            if report.taken_at >= self.limiter.state_changed_at() {
                self.limiter.mark_cold(now);
                self.trusts_warm_report = false;
            }
        } else if self.limiter.is_cold()
            && self.trusts_warm_report
            && self.is_trusted_report(report)
        {
            self.trusts_warm_report = false;
            self.limiter.mark_warm(now, limits, report.report.running);
        } else {
            self.limiter.leave_cold_if_proven(now, limits, true);
        }
    }

    /// Returns whether the target does not report itself as cold.
    #[must_use]
    pub fn may_be_warm(&self) -> bool {
        self.report.is_none_or(|report| report.report.warm)
    }

    /// Removes orphaned permits whose work has certainly ended. Requests that the target reports
    /// and that are not accounted for by running permits may be orphaned work; orphaned permits
    /// beyond that number are removed. Without reports they are removed after `MAX_ORPHAN_AGE`.
    ///
    /// A permit whose work has ended stays in the account until its `Done` arrives, or longer if
    /// that is lost. If it counted as running, orphaned work that still runs would look ended, and
    /// a cold target would get one request too many. Therefore a permit counts as running only if
    /// its entry has received more of it well after the time of the report.
    pub fn drop_ended_orphans(&mut self, now: Moment) {
        let Some(report) = self.report else {
            self.expire_orphans(now);
            return;
        };
        let taken_at = report.taken_at;
        let mut orphans: Vec<PermitKey> = Vec::new();
        let mut running = 0;
        for (key, permit) in &self.permits {
            match permit.orphaned_at {
                Some(since) if since < taken_at => orphans.push(key.clone()),
                None if permit.ran_past(taken_at) => running += permit.slots,
                _ => {}
            }
        }
        let unfinished = report.report.running + report.report.waiting;
        let unfinished = unfinished.saturating_sub(running);
        let ended = orphans.len().saturating_sub(unfinished as usize);
        for key in orphans.iter().take(ended) {
            self.remove(key);
        }
        self.expire_orphans(now);
    }

    /// Removes permits that were orphaned long ago.
    fn expire_orphans(&mut self, now: Moment) {
        let before = self.permits.len();
        self.permits.retain(|_, permit| {
            permit
                .orphaned_at
                .is_none_or(|since| now.saturating_sub(since) < MAX_ORPHAN_AGE)
        });
        if self.permits.len() < before {
            self.projected_at = None;
        }
        if now.saturating_sub(self.created_at) > MAX_ORPHAN_AGE {
            self.may_run_unknown_work = false;
        }
    }

    fn is_trusted_report(&self, report: TimedReport) -> bool {
        self.is_current_incarnation(report)
            && self.uncertain_since.is_none_or(|at| report.taken_at > at)
    }

    fn is_current_incarnation(&self, report: TimedReport) -> bool {
        self.listed
            .as_ref()
            .is_some_and(|listed| listed.incarnation == report.report.incarnation)
    }
}
