//! What a target's load reports say about it: whether it is cold, and which lost work has ended.

use std::time::Duration;

use types::Moment;

use crate::{
    account::{Report, TargetAccount},
    api::TargetLimits,
    permit::PermitKey,
    shard::LAPSE_MARGIN,
};

/// How long work of a lost entry counts where the target reports nothing about it.
const ORPHAN_BOUND: Duration = Duration::from_secs(300);
/// How long nothing is admitted after a target reported preemptions.
const PREEMPTED_HOLD: Duration = Duration::from_millis(500);

impl TargetAccount {
    /// Takes a report; tells whether it was news.
    pub fn reported(&mut self, now: Moment, report: Report, limits: &TargetLimits) -> bool {
        if self.report.is_some_and(|last| last.taken > report.taken) {
            return false;
        }
        let last = self.report.replace(report);
        let same_life = |last: &Report| last.report.incarnation == report.report.incarnation;
        if let Some(last) = last.filter(same_life)
            && report.report.preemptions > last.report.preemptions
        {
            self.hold_until = now + PREEMPTED_HOLD;
        }
        let bears = report.report.running + report.report.waiting;
        if bears == 0 && report.taken > self.created {
            self.strange = false;
        }
        self.drop_orphans(now);
        self.judge(now, limits);
        true
    }

    /// Draws conclusions from the newest report on whether the target is cold.
    pub fn judge(&mut self, now: Moment, limits: &TargetLimits) {
        let Some(report) = self.report else { return };
        if !report.report.warm {
            if report.taken >= self.limiter.since() {
                self.limiter.chill(now);
                self.may_trust = false;
            }
        } else if self.limiter.is_cold() && self.may_trust && self.is_believed(report) {
            self.may_trust = false;
            self.limiter.trust(now, limits, report.report.running);
        } else {
            self.limiter.consider(now, limits, true);
        }
    }

    /// Tells whether the target doesn't deny being warm.
    #[must_use]
    pub fn may_warm(&self) -> bool {
        self.report.is_none_or(|report| report.report.warm)
    }

    /// Drops lost work that has surely ended: of all that the target reports, what surely ran for
    /// somebody else at that time can't be lost work. Without reports a generous bound ends it.
    ///
    /// A permit whose work has ended stays on the account while its `Done` is on its way, or for
    /// longer if that got lost. Taken for running, it would make lost work that still runs look
    /// ended, and a cold target would get one request too many; so only a permit that its entry
    /// listed well after the time of the report counts as running then.
    pub fn drop_orphans(&mut self, now: Moment) {
        let Some(report) = self.report else {
            self.drop_old_orphans(now);
            return;
        };
        let taken = report.taken;
        let mut lost: Vec<PermitKey> = Vec::new();
        let mut running = 0;
        for (key, permit) in &self.permits {
            let listed_after = permit.heard >= taken + LAPSE_MARGIN;
            match permit.orphaned {
                Some(since) if since < taken => lost.push(key.clone()),
                None if listed_after && permit.started.is_some_and(|at| at <= taken) => {
                    running += permit.slots;
                }
                _ => {}
            }
        }
        let bears = report.report.running + report.report.waiting;
        let bears = bears.saturating_sub(running);
        let ended = lost.len().saturating_sub(bears as usize);
        for key in lost.iter().take(ended) {
            self.remove(key);
        }
        self.drop_old_orphans(now);
    }

    /// Drops work of entries that were lost very long ago.
    fn drop_old_orphans(&mut self, now: Moment) {
        let before = self.permits.len();
        self.permits.retain(|_, permit| {
            permit
                .orphaned
                .is_none_or(|since| now.saturating_sub(since) < ORPHAN_BOUND)
        });
        if self.permits.len() < before {
            self.projected = None;
        }
        if now.saturating_sub(self.created) > ORPHAN_BOUND {
            self.strange = false;
        }
    }

    fn is_believed(&self, report: Report) -> bool {
        self.is_life(report) && self.doubted.is_none_or(|at| report.taken > at)
    }

    fn is_life(&self, report: Report) -> bool {
        self.listed
            .as_ref()
            .is_some_and(|listed| listed.incarnation == report.report.incarnation)
    }
}
