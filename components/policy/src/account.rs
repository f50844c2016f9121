//! Bookkeeping of the permits that occupy one target.
//!
//! The owner of a shard is the only one to grant permits for its targets, so an account knows all
//! work that its term has placed there.

use std::{collections::BTreeMap, time::Duration};

use types::{Incarnation, Moment, ServiceId, ServiceKind, ServingState, Target, Tokens};
use wire::HeldPermit;

use crate::{
    api::{TargetLimits, TargetLoad, View},
    length::{GenerationSource, LengthEstimator},
    limiter::ConcurrencyLimiter,
    memory::{MemoryProjection, RunningGeneration},
    permit::{GrantedPermit, MAX_SILENCE, PermitKey},
    prefixes::Prefixes,
    tuning::Tuning,
    wait_queue::MAX_TOKENS,
};

/// A projection older than this is rebuilt from the progress reported since.
const MAX_PROJECTION_AGE: Duration = Duration::from_millis(100);
/// A load report older than this is not used for the memory in use.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Weight of one observation in the moving average of a target's tokens per second.
const RATE_WEIGHT: f64 = 0.1;

/// A load report with the time that it describes.
#[derive(Clone, Copy, Debug)]
pub struct TimedReport {
    /// When the target made the report, on this process's clock.
    pub taken_at: Moment,
    /// The report itself.
    pub report: TargetLoad,
}

/// One target and the permits that occupy it.
#[derive(Debug)]
pub struct TargetAccount {
    /// The target as listed; `None` while it is not listed.
    pub listed: Option<Target>,
    /// The target's incarnation that this account describes.
    pub incarnation: Option<Incarnation>,
    /// Permits that occupy the target.
    pub permits: BTreeMap<PermitKey, GrantedPermit>,
    /// Limit of concurrent requests.
    pub limiter: ConcurrencyLimiter,
    /// The newest load report.
    pub report: Option<TimedReport>,
    /// Prompt blocks that the target has probably cached.
    pub prefixes: Prefixes,
    /// Whether a report that the target is warm is enough to end cold start. True if the target was
    /// there before this owner, which therefore did not see it start.
    pub trusts_warm_report: bool,
    /// When the target last refused a connection while it counted as warm. Only a report made after
    /// that can end cold start early.
    pub uncertain_since: Option<Moment>,
    /// Whether work of an earlier term, whose entry is lost, may still run on the target.
    pub may_run_unknown_work: bool,
    /// When a permit of this target was last revoked.
    pub last_revoked_at: Moment,
    pub(crate) created_at: Moment,
    pub(crate) admission_paused_until: Moment,
    token_rate: f64,
    projection: MemoryProjection,
    pub(crate) projected_at: Option<Moment>,
}

impl TargetAccount {
    /// Creates an account without permits. The target counts as cold.
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

    /// Number of concurrent requests that the permits cover, orphaned ones included.
    #[must_use]
    pub fn occupied_slots(&self) -> u32 {
        self.permits.values().map(|permit| permit.slots).sum()
    }

    /// Upper bound of the concurrent requests on a cold target, work of earlier terms included.
    ///
    /// When an entry dies together with the owner, nobody can tell the new owner which work the
    /// dead entry had placed. Granting the cold limit on top of that work would overload the
    /// target. Until the target has once reported itself idle, its own count is therefore used
    /// where it is higher.
    #[must_use]
    pub fn max_occupied_slots(&self) -> u32 {
        let occupied = self.occupied_slots();
        let Some(report) = self.report.filter(|_| self.may_run_unknown_work) else {
            return occupied;
        };
        let not_in_report: u32 = self
            .permits
            .values()
            .filter(|permit| !permit.was_running_at(report.taken_at))
            .map(|permit| permit.slots)
            .sum();
        occupied.max(report.report.running + report.report.waiting + not_in_report)
    }

    /// Returns whether the target may get new work: it is in service, and its report is of the
    /// listed incarnation.
    #[must_use]
    pub fn accepts_work(&self, view: &View) -> bool {
        self.is_in_service(view)
            && self.report.is_none_or(|report| {
                Some(report.report.incarnation) == self.listed.as_ref().map(|t| t.incarnation)
            })
    }

    /// Returns whether the target is listed as live and its data centre is in service.
    #[must_use]
    pub fn is_in_service(&self, view: &View) -> bool {
        self.listed.as_ref().is_some_and(|listed| {
            listed.state == ServingState::Live
                && !view.data_centres_out.contains(&listed.data_centre)
        })
    }

    /// Total memory in tokens: as reported, or else as configured.
    #[must_use]
    pub fn capacity(&self, limits: &TargetLimits) -> Tokens {
        self.report
            .map(|report| report.report.capacity)
            .filter(|&capacity| capacity > 0)
            .unwrap_or(limits.memory_tokens)
    }

    /// Share of the memory that is in use by the newest report; 0.0 without a recent one.
    #[must_use]
    pub fn used_share(&self, now: Moment) -> f64 {
        self.report
            .filter(|report| now.saturating_sub(report.taken_at) < MAX_REPORT_AGE)
            .filter(|report| report.report.capacity > 0)
            .map_or(0.0, |r| r.report.used as f64 / r.report.capacity as f64)
    }

    /// Returns whether nothing is admitted at present because memory use exceeded the projection.
    #[must_use]
    pub fn is_admission_paused(&self, now: Moment, tuning: &Tuning) -> bool {
        now < self.admission_paused_until || self.used_share(now) > tuning.stop_share
    }

    /// Starts a new incarnation of the target.
    ///
    /// Permits of earlier incarnations count until they are returned. The listing lags, so one of
    /// them may have been used to send a request to the new incarnation, and the full cold limit on
    /// top of it would overload the target. Entries whose work died with the earlier incarnation
    /// notice the broken connection and return its permits at once.
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

    /// Records that the target refused a connection. Its process may have been replaced by a cold
    /// one that the listing does not show yet, for which the previous limit would be too much. A
    /// report of the same incarnation, made after this, that the target is warm lifts the cold
    /// limit again.
    pub fn mark_uncertain(&mut self, now: Moment) {
        if !self.limiter.is_cold() {
            self.limiter.mark_cold(now);
            self.trusts_warm_report = true;
            self.uncertain_since = Some(now);
        }
    }

    /// Puts the target back into cold start, which only finished requests can end.
    pub fn mark_cold(&mut self, now: Moment) {
        self.limiter.mark_cold(now);
        self.trusts_warm_report = false;
    }

    /// Adds a permit and returns an earlier one with the same key.
    pub fn insert(&mut self, key: PermitKey, permit: GrantedPermit) -> Option<GrantedPermit> {
        self.projected_at = None;
        self.permits.insert(key, permit)
    }

    /// Removes a permit and returns it.
    pub fn remove(&mut self, key: &PermitKey) -> Option<GrantedPermit> {
        let permit = self.permits.remove(key)?;
        self.projected_at = None;
        Some(permit)
    }

    /// Keeps a permit whose entry has lost the connection to the target: the work may still run
    /// there, and a cold target that gets more in its place is overloaded. The target's reports
    /// show when the work has ended. Returns the permit, or `None` if it was orphaned before.
    pub fn orphan(&mut self, now: Moment, key: &PermitKey) -> Option<GrantedPermit> {
        let permit = self.permits.get_mut(key)?;
        if permit.orphaned_at.is_some() {
            return None;
        }
        permit.orphaned_at = Some(now);
        Some(permit.clone())
    }

    /// Records the progress of a permit; `stamp` is the entry's clock when it was reported. A block
    /// of plain calls that has expired covers only the calls that still run.
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
        let elapsed = now.saturating_sub(permit.updated_at).as_secs_f64();
        if permit.produced > 0 && elapsed > 0.0 && held.produced < held.max_output {
            let rate = held.produced.saturating_sub(permit.produced) as f64 / elapsed;
            let weight = if self.token_rate > 0.0 {
                RATE_WEIGHT
            } else {
                1.0
            };
            self.token_rate += weight * (rate - self.token_rate);
        }
        if held.produced > permit.produced {
            permit.progressed_at = Some(now);
        }
        permit.was_silent |= now.saturating_sub(permit.updated_at) > MAX_SILENCE;
        permit.produced = permit.produced.max(held.produced.min(MAX_TOKENS));
        permit.updated_at = now;
        permit.answer_started |= held.answer_started;
        if stamp > permit.expires_at {
            permit.slots = permit.slots.min(held.slots);
        }
        if held.produced > 0 {
            permit.started_at.get_or_insert(now);
        }
        permit.orphaned_at = None;
    }

    /// Returns the projection of the memory in use, rebuilt if it is out of date.
    pub fn refresh_projection(
        &mut self,
        now: Moment,
        service: &ServiceId,
        lengths: &mut LengthEstimator,
        tuning: &Tuning,
    ) -> &MemoryProjection {
        let is_fresh = |at: Moment| now.saturating_sub(at) < MAX_PROJECTION_AGE;
        if !self.projected_at.is_some_and(is_fresh) {
            self.projection = MemoryProjection::new();
            for permit in self.permits.values() {
                let source = GenerationSource {
                    service,
                    route: &permit.route,
                    workspace: &permit.workspace,
                };
                let generation = RunningGeneration {
                    prompt_tokens: permit.prompt_tokens,
                    produced: permit.estimated_tokens(now, self.token_rate),
                    max_output: permit.max_output,
                    curve: lengths.curve(&source),
                };
                self.projection.add(&generation, tuning.memory_estimate);
            }
            self.projected_at = Some(now);
        }
        &self.projection
    }

    /// Returns the projection without rebuilding it.
    #[must_use]
    pub const fn last_projection(&self) -> &MemoryProjection {
        &self.projection
    }

    /// Returns whether the targets are engines, whose permits are for generations.
    #[must_use]
    pub const fn is_model(limits: &TargetLimits) -> bool {
        matches!(limits.kind, ServiceKind::Model)
    }
}
