//! The exact account of what runs on one target.

use std::{collections::BTreeMap, time::Duration};

use types::{Incarnation, Moment, ServiceId, ServiceKind, Standing, Target, Tokens};
use wire::HeldPermit;

use crate::{
    api::{EngineReport, TargetLimits, View},
    length::{GenerationSource, LengthEstimator},
    limiter::ConcurrencyLimiter,
    memory::{MemoryProjection, RunningGeneration},
    permit::{GrantedPermit, PermitKey},
    prefixes::Prefixes,
    tuning::Tuning,
    wait_queue::MAX_TOKENS,
};

/// Age at which a projection is made anew from what has been produced since.
const MAX_PROJECTION_AGE: Duration = Duration::from_millis(100);
/// Age at which a report no longer says anything about memory in use.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Weight of one observation in the estimate of a target's tokens per second.
const RATE_WEIGHT: f64 = 0.1;

/// A load report and the moment it describes.
#[derive(Clone, Copy, Debug)]
pub struct TimedReport {
    /// The moment it describes.
    pub taken_at: Moment,
    /// What it says.
    pub report: EngineReport,
}

/// One target and what runs there.
#[derive(Debug)]
pub struct TargetAccount {
    /// The target as listed; `None` while it isn't listed.
    pub listed: Option<Target>,
    /// Which life of the target this account is of.
    pub incarnation: Option<Incarnation>,
    /// Its permits.
    pub permits: BTreeMap<PermitKey, GrantedPermit>,
    /// Its limit.
    pub limiter: ConcurrencyLimiter,
    /// Its newest report.
    pub report: Option<TimedReport>,
    /// Prompts it has seen lately.
    pub prefixes: Prefixes,
    /// Whether its own word is enough to count as warm: it was there before this owner, which
    /// therefore hasn't seen it start.
    pub trusts_warm_report: bool,
    /// When it refused a connection last while it counted as warm; only a later report that it
    /// is warm is believed.
    pub uncertain_since: Option<Moment>,
    /// Whether work of before this owner's term, whose entry is lost, may still run there.
    pub may_run_unknown_work: bool,
    /// When work was last asked back.
    pub last_revoked_at: Moment,
    pub(crate) created_at: Moment,
    pub(crate) admission_paused_until: Moment,
    token_rate: f64,
    projection: MemoryProjection,
    pub(crate) projected_at: Option<Moment>,
}

impl TargetAccount {
    /// Starts with nothing known to run.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            listed: None,
            incarnation: None,
            permits: BTreeMap::new(),
            limiter: ConcurrencyLimiter::new(now),
            report: None,
            prefixes: Prefixes::new(),
            trusts_warm_report: false,
            uncertain_since: None,
            may_run_unknown_work: true,
            last_revoked_at: Moment::ZERO,
            created_at: now,
            admission_paused_until: Moment::ZERO,
            token_rate: 0.0,
            projection: MemoryProjection::new(),
            projected_at: None,
        }
    }

    /// Concurrent requests that it has or may get, orphans included.
    #[must_use]
    pub fn occupied_slots(&self) -> u32 {
        self.permits.values().map(|permit| permit.slots).sum()
    }

    /// Concurrent requests that a cold target may have, work of before this term included.
    ///
    /// When an entry dies together with the owner, nobody can tell the new owner what the dead
    /// entry's work occupies. The cold target would get its bound on top of that and fall over,
    /// so until it reports itself idle once its own count is believed where that is higher.
    #[must_use]
    pub fn max_occupied_slots(&self) -> u32 {
        let occupied = self.occupied_slots();
        let Some(report) = self.report.filter(|_| self.may_run_unknown_work) else {
            return occupied;
        };
        let not_in_it: u32 = self
            .permits
            .values()
            .filter(|permit| !permit.was_running_at(report.taken_at))
            .map(|permit| permit.slots)
            .sum();
        occupied.max(report.report.running + report.report.waiting + not_in_it)
    }

    /// Tells whether it may get new work at all: listed as staying, in a data centre that is
    /// in service, and its report is of the life that is listed.
    #[must_use]
    pub fn accepts_work(&self, view: &View) -> bool {
        self.is_in_service(view)
            && self.report.is_none_or(|report| {
                Some(report.report.incarnation) == self.listed.as_ref().map(|t| t.incarnation)
            })
    }

    /// Tells whether it is listed as staying, in a data centre that is in service.
    #[must_use]
    pub fn is_in_service(&self, view: &View) -> bool {
        self.listed.as_ref().is_some_and(|listed| {
            listed.standing == Standing::Live
                && !view.data_centres_out.contains(&listed.data_centre)
        })
    }

    /// Tokens of memory in all.
    #[must_use]
    pub fn capacity(&self, limits: &TargetLimits) -> Tokens {
        self.report
            .map(|report| report.report.capacity)
            .filter(|&capacity| capacity > 0)
            .unwrap_or(limits.memory_tokens)
    }

    /// Share of the memory in use by the newest report, 0.0 without a fresh one.
    #[must_use]
    pub fn used_share(&self, now: Moment) -> f64 {
        self.report
            .filter(|report| now.saturating_sub(report.taken_at) < MAX_REPORT_AGE)
            .filter(|report| report.report.capacity > 0)
            .map_or(0.0, |r| r.report.used as f64 / r.report.capacity as f64)
    }

    /// Tells whether nothing is admitted because the projection has proved wrong.
    #[must_use]
    pub fn is_admission_paused(&self, now: Moment, tuning: &Tuning) -> bool {
        now < self.admission_paused_until || self.used_share(now) > tuning.stop_share
    }

    /// Starts a life of the target. Permits of earlier lives go on counting until they are given
    /// back: the platform's list lags, so one of them may have been sent to the new life, which
    /// can't tell, and a cold target that got its bound on top of that would fall over. Entries
    /// give those back at once whose work died with an earlier life, for their links broke.
    pub fn start_incarnation(&mut self, now: Moment, incarnation: Incarnation) {
        if self.incarnation.replace(incarnation).is_none() {
            return;
        }
        self.limiter = ConcurrencyLimiter::new(now);
        self.prefixes.clear();
        self.trusts_warm_report = false;
        self.may_run_unknown_work = false;
        self.projected_at = None;
    }

    /// Takes note that the target refused a connection. Its process may be gone, and back again
    /// cold before the platform's list says so; what is granted on the word of before would be
    /// too much for it. A report of the same life that it is warm ends the doubt.
    pub fn mark_uncertain(&mut self, now: Moment) {
        if !self.limiter.is_cold() {
            self.limiter.mark_cold(now);
            self.trusts_warm_report = true;
            self.uncertain_since = Some(now);
        }
    }

    /// Puts the target back to cold start.
    pub fn mark_cold(&mut self, now: Moment) {
        self.limiter.mark_cold(now);
        self.trusts_warm_report = false;
    }

    /// Adds a permit; gives back an earlier one of the same number.
    pub fn insert(&mut self, key: PermitKey, permit: GrantedPermit) -> Option<GrantedPermit> {
        self.projected_at = None;
        self.permits.insert(key, permit)
    }

    /// Removes a permit.
    pub fn remove(&mut self, key: &PermitKey) -> Option<GrantedPermit> {
        let permit = self.permits.remove(key)?;
        self.projected_at = None;
        Some(permit)
    }

    /// Keeps a permit whose entry has lost the link to the target: the work may still run there,
    /// and a cold target that gets more in its place falls over. The target's reports tell when
    /// it has ended. Tells what the permit was, unless it was lost before.
    pub fn orphan(&mut self, now: Moment, key: &PermitKey) -> Option<GrantedPermit> {
        let permit = self.permits.get_mut(key)?;
        if permit.orphaned_at.is_some() {
            return None;
        }
        permit.orphaned_at = Some(now);
        Some(permit.clone())
    }

    /// Takes news of a permit's progress; `stamp` is the entry's clock at saying so. A block that
    /// can't be used for new calls any more covers only those that still run.
    pub fn record_progress(
        &mut self,
        now: Moment,
        stamp: Moment,
        key: &PermitKey,
        held: &HeldPermit,
    ) {
        let Some(permit) = self.permits.get_mut(key) else {
            return;
        };
        let span = now.saturating_sub(permit.updated_at).as_secs_f64();
        if permit.produced > 0 && span > 0.0 && held.produced < held.max_output {
            let rate = held.produced.saturating_sub(permit.produced) as f64 / span;
            let weight = if self.token_rate > 0.0 {
                RATE_WEIGHT
            } else {
                1.0
            };
            self.token_rate += weight * (rate - self.token_rate);
        }
        permit.produced = permit.produced.max(held.produced.min(MAX_TOKENS));
        permit.updated_at = now;
        permit.seen |= held.seen;
        if stamp > permit.expires_at {
            permit.slots = permit.slots.min(held.slots);
        }
        if held.produced > 0 {
            permit.started_at.get_or_insert(now);
        }
        permit.orphaned_at = None;
    }

    /// The projection of its memory, made anew if it is out of date.
    pub fn refresh_projection(
        &mut self,
        now: Moment,
        service: &ServiceId,
        lengths: &mut LengthEstimator,
        tuning: &Tuning,
    ) -> &MemoryProjection {
        let fresh = |at: Moment| now.saturating_sub(at) < MAX_PROJECTION_AGE;
        if !self.projected_at.is_some_and(fresh) {
            self.projection = MemoryProjection::new();
            for permit in self.permits.values() {
                let source = GenerationSource {
                    service,
                    route: &permit.route,
                    workspace: &permit.workspace,
                };
                let running = RunningGeneration {
                    prompt_tokens: permit.prompt_tokens,
                    produced: permit.estimated_tokens(now, self.token_rate),
                    max_output: permit.max_output,
                    curve: lengths.curve(&source),
                };
                self.projection.add(&running, tuning.memory_estimate);
            }
            self.projected_at = Some(now);
        }
        &self.projection
    }

    /// The projection as it was made last.
    #[must_use]
    pub const fn last_projection(&self) -> &MemoryProjection {
        &self.projection
    }

    /// Tells whether a permit is for a generation.
    #[must_use]
    pub const fn is_model(limits: &TargetLimits) -> bool {
        matches!(limits.kind, ServiceKind::Model)
    }
}
