//! The exact account of what runs on one target.

use std::{collections::BTreeMap, time::Duration};

use types::{
    Class, Epoch, Incarnation, InstanceId, Moment, PermitId, RouteId, ServiceId, ServiceKind,
    Standing, Target, Tokens, WorkspaceId,
};
use wire::HeldPermit;

use crate::{
    api::{EngineReport, TargetLimits, View},
    length::{Lengths, Source},
    limit::Limiter,
    memory::{Projection, Running},
    prefixes::Prefixes,
    shard::{LAPSE_MARGIN, PERMIT_LIFE},
    tuning::Tuning,
};

/// Age at which a projection is made anew from what has been produced since.
const PROJECTION_LIFE: Duration = Duration::from_millis(100);
/// How long work of a lost entry counts where the target reports nothing about it.
const ORPHAN_BOUND: Duration = Duration::from_secs(300);
/// How long nothing is admitted after a target reported preemptions.
const PREEMPTED_HOLD: Duration = Duration::from_millis(500);
/// Age at which a report no longer says anything about memory in use.
const REPORT_LIFE: Duration = Duration::from_secs(3);
/// Weight of one observation in the estimate of a target's tokens per second.
const RATE_WEIGHT: f64 = 0.1;

/// Which permit of which entry.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PermitKey {
    /// The entry.
    pub entry: InstanceId,
    /// The permit.
    pub permit: PermitId,
}

/// A permit that occupies a target.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The term it was granted in.
    pub epoch: Epoch,
    /// Which life of the target.
    pub incarnation: Incarnation,
    /// Which life of the entry.
    pub entry_incarnation: Incarnation,
    /// Urgency.
    pub class: Class,
    /// Who the work is for.
    pub workspace: WorkspaceId,
    /// The route.
    pub route: RouteId,
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// The most tokens to produce.
    pub max_output: Tokens,
    /// Tokens produced, as last heard.
    pub produced: Tokens,
    /// When that was heard.
    pub heard: Moment,
    /// Concurrent calls it covers.
    pub slots: u32,
    /// Whether the caller has seen any of the answer.
    pub seen: bool,
    /// When it was granted or first heard of.
    pub since: Moment,
    /// When it was first heard that it has produced something.
    pub started: Option<Moment>,
    /// The entry's clock beyond which it can't be used for new work any more.
    pub lapses: Moment,
    /// When the entry was lost, if it was.
    pub orphaned: Option<Moment>,
    /// Whether it has been asked back.
    pub recalled: bool,
    /// Whether its missing first token has been taken as evidence of a cold target.
    pub late: bool,
    /// Tokens that its workspace was charged for it.
    pub charged: f64,
}

impl Permit {
    /// Takes over what an entry says it holds; `stamp` is the entry's clock at saying so.
    #[must_use]
    pub fn adopted(
        held: &HeldPermit,
        entry_incarnation: Incarnation,
        stamp: Moment,
        now: Moment,
    ) -> Self {
        Self {
            epoch: held.epoch,
            incarnation: held.incarnation,
            entry_incarnation,
            class: held.class,
            workspace: held.workspace.clone(),
            route: held.route.clone(),
            prompt: held.prompt,
            max_output: held.max_output,
            produced: held.produced,
            heard: now,
            started: (held.produced > 0).then_some(now),
            slots: held.slots,
            seen: held.seen,
            since: now,
            lapses: stamp,
            orphaned: None,
            recalled: false,
            late: true,
            charged: (held.prompt + held.produced) as f64,
        }
    }

    /// Tells whether its work surely ran at a moment, so that a report of then counts it: it was
    /// heard to have produced something, or it could no longer be used for new work.
    #[must_use]
    pub fn ran_by(&self, at: Moment) -> bool {
        self.started.is_some_and(|started| started <= at)
            || self.since + PERMIT_LIFE + LAPSE_MARGIN <= at
    }

    /// Tokens produced by now, going by the target's pace since the last news.
    #[must_use]
    pub fn produced_by(&self, now: Moment, rate: f64) -> Tokens {
        if self.produced == 0 {
            return 0;
        }
        let since = now.saturating_sub(self.heard).as_secs_f64();
        (self.produced + (since * rate) as Tokens).min(self.max_output.max(self.produced))
    }
}

/// A load report and the moment it describes.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// The moment it describes.
    pub taken: Moment,
    /// What it says.
    pub report: EngineReport,
}

/// One target and what runs there.
#[derive(Debug)]
pub struct Account {
    /// The target as listed; `None` while it isn't listed.
    pub listed: Option<Target>,
    /// Which life of the target this account is of.
    pub life: Option<Incarnation>,
    /// Its permits.
    pub permits: BTreeMap<PermitKey, Permit>,
    /// Its limit.
    pub limiter: Limiter,
    /// Its newest report.
    pub report: Option<Report>,
    /// Prompts it has seen lately.
    pub prefixes: Prefixes,
    /// Whether its own word is enough to count as warm: it was there before this owner, which
    /// therefore hasn't seen it start.
    pub may_trust: bool,
    /// Whether work of before this owner's term, whose entry is lost, may still run there.
    pub strange: bool,
    /// When work was last asked back.
    pub recalled: Moment,
    created: Moment,
    hold_until: Moment,
    rate: f64,
    projection: Projection,
    projected: Option<Moment>,
}

impl Account {
    /// Starts with nothing known to run.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            listed: None,
            life: None,
            permits: BTreeMap::new(),
            limiter: Limiter::new(now),
            report: None,
            prefixes: Prefixes::new(),
            may_trust: false,
            strange: true,
            recalled: Moment::ZERO,
            created: now,
            hold_until: Moment::ZERO,
            rate: 0.0,
            projection: Projection::new(),
            projected: None,
        }
    }

    /// Concurrent requests that it has or may get, orphans included.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        self.permits.values().map(|permit| permit.slots).sum()
    }

    /// Concurrent requests that a cold target may have, work of before this term included.
    ///
    /// When an entry dies together with the owner, nobody can tell the new owner what the dead
    /// entry's work occupies. The cold target would get its bound on top of that and fall over,
    /// so until it reports itself idle once its own count is believed where that is higher.
    #[must_use]
    pub fn bearing(&self) -> u32 {
        let occupied = self.occupied();
        let Some(report) = self.report.filter(|_| self.strange) else {
            return occupied;
        };
        let not_in_it: u32 = self
            .permits
            .values()
            .filter(|permit| !permit.ran_by(report.taken))
            .map(|permit| permit.slots)
            .sum();
        occupied.max(report.report.running + report.report.waiting + not_in_it)
    }

    /// Tells whether it may get new work at all: listed as staying, in a data centre that is
    /// in service, and its report is of the life that is listed.
    #[must_use]
    pub fn is_open(&self, view: &View) -> bool {
        self.is_staying(view)
            && self.report.is_none_or(|report| {
                Some(report.report.incarnation) == self.listed.as_ref().map(|t| t.incarnation)
            })
    }

    /// Tells whether it is listed as staying, in a data centre that is in service.
    #[must_use]
    pub fn is_staying(&self, view: &View) -> bool {
        self.listed.as_ref().is_some_and(|listed| {
            listed.standing == Standing::Live && !view.out.contains(&listed.data_centre)
        })
    }

    /// Tokens of memory in all.
    #[must_use]
    pub fn capacity(&self, limits: &TargetLimits) -> Tokens {
        self.report
            .map(|report| report.report.capacity)
            .filter(|&capacity| capacity > 0)
            .unwrap_or(limits.memory)
    }

    /// Share of the memory in use by the newest report, 0.0 without a fresh one.
    #[must_use]
    pub fn used_share(&self, now: Moment) -> f64 {
        self.report
            .filter(|report| now.saturating_sub(report.taken) < REPORT_LIFE)
            .filter(|report| report.report.capacity > 0)
            .map_or(0.0, |r| r.report.used as f64 / r.report.capacity as f64)
    }

    /// Tells whether nothing is admitted because the projection has proved wrong.
    #[must_use]
    pub fn is_stopped(&self, now: Moment, tuning: &Tuning) -> bool {
        now < self.hold_until || self.used_share(now) > tuning.stop_share
    }

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
        self.drop_orphans(now, bears);
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
        } else if self.limiter.is_cold() && self.may_trust && self.is_life(report) {
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

    /// Starts a life of the target. Permits of earlier lives go on counting until they are given
    /// back: the platform's list lags, so one of them may have been sent to the new life, which
    /// can't tell, and a cold target that got its bound on top of that would fall over. Entries
    /// give those back at once whose work died with an earlier life, for their links broke.
    pub fn begin_life(&mut self, now: Moment, incarnation: Incarnation) {
        if self.life.replace(incarnation).is_none() {
            return;
        }
        self.limiter = Limiter::new(now);
        self.prefixes.clear();
        self.may_trust = false;
        self.strange = false;
        self.projected = None;
    }

    /// Puts the target back to cold start.
    pub fn chill(&mut self, now: Moment) {
        self.limiter.chill(now);
        self.may_trust = false;
    }

    /// Adds a permit; gives back an earlier one of the same number.
    pub fn insert(&mut self, key: PermitKey, permit: Permit) -> Option<Permit> {
        self.projected = None;
        self.permits.insert(key, permit)
    }

    /// Removes a permit.
    pub fn remove(&mut self, key: &PermitKey) -> Option<Permit> {
        let permit = self.permits.remove(key)?;
        self.projected = None;
        Some(permit)
    }

    /// Keeps a permit whose entry has lost the link to the target: the work may still run there,
    /// and a cold target that gets more in its place falls over. The target's reports tell when
    /// it has ended. Tells what the permit was, unless it was lost before.
    pub fn lose(&mut self, now: Moment, key: &PermitKey) -> Option<Permit> {
        let permit = self.permits.get_mut(key)?;
        if permit.orphaned.is_some() {
            return None;
        }
        permit.orphaned = Some(now);
        Some(permit.clone())
    }

    /// Takes news of a permit's progress; `stamp` is the entry's clock at saying so. A block that
    /// can't be used for new calls any more covers only those that still run.
    pub fn progressed(&mut self, now: Moment, stamp: Moment, key: &PermitKey, held: &HeldPermit) {
        let Some(permit) = self.permits.get_mut(key) else {
            return;
        };
        let span = now.saturating_sub(permit.heard).as_secs_f64();
        if permit.produced > 0 && span > 0.0 && held.produced < held.max_output {
            let rate = held.produced.saturating_sub(permit.produced) as f64 / span;
            let weight = if self.rate > 0.0 { RATE_WEIGHT } else { 1.0 };
            self.rate += weight * (rate - self.rate);
        }
        permit.produced = permit.produced.max(held.produced);
        permit.heard = now;
        permit.seen |= held.seen;
        if stamp > permit.lapses {
            permit.slots = permit.slots.min(held.slots);
        }
        if held.produced > 0 {
            permit.started.get_or_insert(now);
        }
        permit.orphaned = None;
    }

    /// The projection of its memory, made anew if it is out of date.
    pub fn projection(
        &mut self,
        now: Moment,
        service: &ServiceId,
        lengths: &mut Lengths,
        tuning: &Tuning,
    ) -> &Projection {
        let fresh = |at: Moment| now.saturating_sub(at) < PROJECTION_LIFE;
        if !self.projected.is_some_and(fresh) {
            self.projection = Projection::new();
            for permit in self.permits.values() {
                let source = Source {
                    service,
                    route: &permit.route,
                    workspace: &permit.workspace,
                };
                let running = Running {
                    prompt: permit.prompt,
                    produced: permit.produced_by(now, self.rate),
                    max_output: permit.max_output,
                    curve: lengths.curve(&source),
                };
                self.projection.add(&running, tuning.admission);
            }
            self.projected = Some(now);
        }
        &self.projection
    }

    /// The projection as it was made last.
    #[must_use]
    pub const fn last_projection(&self) -> &Projection {
        &self.projection
    }

    /// Drops lost work that has surely ended: of all that the target reports, what surely runs
    /// for somebody else can't be lost work. Without reports a generous bound ends it.
    fn drop_orphans(&mut self, now: Moment, bears: u32) {
        let taken = self.report.map_or(Moment::ZERO, |report| report.taken);
        let mut lost: Vec<PermitKey> = Vec::new();
        let mut running = 0;
        for (key, permit) in &self.permits {
            match permit.orphaned {
                Some(since) if since < taken => lost.push(key.clone()),
                None if permit.started.is_some_and(|at| at <= taken) => running += permit.slots,
                _ => {}
            }
        }
        let bears = bears.saturating_sub(running);
        let ended = lost.len().saturating_sub(bears as usize);
        for key in lost.iter().take(ended) {
            self.remove(key);
        }
        self.drop_old_orphans(now);
    }

    /// Drops work of entries that were lost very long ago.
    pub fn drop_old_orphans(&mut self, now: Moment) {
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

    fn is_life(&self, report: Report) -> bool {
        self.listed
            .as_ref()
            .is_some_and(|listed| listed.incarnation == report.report.incarnation)
    }

    /// Tells whether a permit is for a generation.
    #[must_use]
    pub const fn is_model(limits: &TargetLimits) -> bool {
        matches!(limits.kind, ServiceKind::Model)
    }
}
