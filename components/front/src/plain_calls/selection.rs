//! Selects a target for a plain call.
//!
//! Each instance knows the number of its own calls exactly, and those of other instances only from
//! the load that targets report in their answers, which is old when it arrives. A reported load
//! therefore counts only for a short time, the instance's own calls always. A target that fails is
//! ejected for a while, unless more than half of a service would be ejected at once: the cause may
//! then be the callers' requests or this instance's network.
//!
//! Where targets report how long work takes at the moment, the expected time to answer decides instead of
//! the load; see [`super::target_speed`].

use std::{collections::HashMap, sync::Arc, time::Duration};

use types::{DataCentreId, Moment, ServiceId, TargetId};
use view::Target;

use crate::{
    adapters::ReportedLoad,
    plain_calls::target_speed::{PassedOver, SpeedChange, TargetSpeeds},
};

/// How long a reported load counts.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);
/// Cost of a target in another data centre, as a fraction of its capacity: traffic between data
/// centres is billed, and each way takes a tenth of the time of a call.
const REMOTE_COST: f64 = 0.6;
/// How long a target is ejected at first; doubled with each further consecutive failure.
const BASE_EJECTION: Duration = Duration::from_millis(300);
/// Longest time for which a target is ejected.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 2;
/// Cost of an ejected target: it is selected only if all others have been tried or are far over
/// their capacity.
const EJECTION_COST: f64 = 10.0;
/// Fraction of a target's connection limit that instances share out. The rest is for health checks
/// and load reports, and for instances that have just started.
const SHARED_FRACTION: f64 = 0.8;

/// Connections that one of `instances` may open to a target which accepts `limit` from all of them
/// together; at least one. A target resets connections beyond its limit, whoever uses them.
#[must_use]
pub fn connection_share(limit: u32, instances: usize) -> u32 {
    let count = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a limit that fits"
    )]
    let shared = (f64::from(limit) * SHARED_FRACTION) as u32;
    (shared / count).max(1)
}

/// What is known of one target.
#[derive(Clone, Debug, Default)]
struct TargetStats {
    in_flight: u32,
    reported: Option<(Moment, ReportedLoad)>,
    failures: u32,
    ejected_until: Moment,
}

/// A selected target, and what decided.
#[derive(Clone, Debug)]
pub struct Selection {
    /// The target.
    pub target: Arc<Target>,
    /// Its expected time to answer, if that decided.
    pub expected: Option<Duration>,
    /// The target that would usually take the call, if the expected time decided for another one.
    pub passed_over: Option<PassedOver>,
}

/// Selects targets of plain services by load or expected time to answer, distance and recent failures.
#[derive(Debug)]
pub struct TargetSelector {
    /// Targets in the same data centre are preferred.
    prefers_local: bool,
    /// Targets are ejected after failures.
    ejects: bool,
    stats: HashMap<TargetId, TargetStats>,
    speeds: TargetSpeeds,
}

impl Default for TargetSelector {
    fn default() -> Self {
        Self::new(true, true)
    }
}

impl TargetSelector {
    /// Creates a selector without statistics; the arguments switch parts of the selection on.
    #[must_use]
    pub fn new(prefers_local: bool, ejects: bool) -> Self {
        Self {
            prefers_local,
            ejects,
            stats: HashMap::new(),
            speeds: TargetSpeeds::new(prefers_local),
        }
    }

    /// Selects one of the targets that accept work, except those that this call has tried.
    /// `tie_breaker` is a random number in `0.0..1.0`, so that instances don't all select the same
    /// one among equals.
    #[must_use]
    pub fn select(
        &self,
        now: Moment,
        targets: &[Arc<Target>],
        tried: &[TargetId],
        local: &DataCentreId,
        tie_breaker: f64,
    ) -> Option<Arc<Target>> {
        self.choose(now, targets, tried, local, tie_breaker)
            .map(|selection| selection.target)
    }

    /// Selects like [`Self::select`], and tells what decided.
    #[must_use]
    pub fn choose(
        &self,
        now: Moment,
        targets: &[Arc<Target>],
        tried: &[TargetId],
        local: &DataCentreId,
        tie_breaker: f64,
    ) -> Option<Selection> {
        let untried: Vec<&Arc<Target>> = targets
            .iter()
            .filter(|target| !tried.contains(&target.id))
            .collect();
        let ejected = untried
            .iter()
            .filter(|t| self.is_ejected(now, &t.id))
            .count();
        let ignore_ejection = ejected * 2 > untried.len();
        if untried.iter().any(|t| self.is_by_speed(&t.service)) {
            let mut candidates = untried;
            if !ignore_ejection {
                candidates.retain(|t| !self.is_ejected(now, &t.id));
            }
            let in_flight = |id: &TargetId| self.in_flight(id);
            let choice = self
                .speeds
                .select(now, &candidates, in_flight, local, tie_breaker)?;
            return Some(Selection {
                target: choice.target,
                expected: Some(choice.expected),
                passed_over: choice.passed_over,
            });
        }
        let mut best: Option<(f64, &Arc<Target>)> = None;
        for (index, target) in untried.iter().enumerate() {
            let mut cost = self.load(now, target);
            if self.prefers_local && target.data_centre != *local {
                cost += REMOTE_COST;
            }
            if self.is_ejected(now, &target.id) && !ignore_ejection {
                cost += EJECTION_COST;
            }
            let offset = (tie_breaker + as_f64(index) / as_f64(untried.len())).fract();
            cost += offset * 0.01;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, target));
            }
        }
        best.map(|(_, target)| Selection {
            target: Arc::clone(target),
            expected: None,
            passed_over: None,
        })
    }

    /// Whether the expected time to answer decides among the targets of a service.
    #[must_use]
    pub fn is_by_speed(&self, service: &ServiceId) -> bool {
        self.speeds.covers(service)
    }

    /// Expected time until a target answers a call that is sent now.
    #[must_use]
    pub fn expected(&self, now: Moment, target: &Target) -> Duration {
        self.speeds
            .expected(now, target, self.in_flight(&target.id))
    }

    /// The number of targets that are slower than their services.
    #[must_use]
    pub fn slow_count(&self) -> usize {
        self.speeds.slow_count()
    }

    /// Calls of this instance that are in flight at a target. Each uses one connection, and an idle
    /// connection is reused before a new one is opened, so this bounds the open connections too.
    #[must_use]
    pub fn in_flight(&self, target: &TargetId) -> u32 {
        self.stats.get(target).map_or(0, |stats| stats.in_flight)
    }

    /// Records that a call is sent to a target.
    pub fn call_started(&mut self, target: &TargetId) {
        self.entry(target).in_flight += 1;
        self.speeds.call_started(target);
    }

    /// Records that a call at a target has ended, whatever its outcome.
    pub fn call_ended(&mut self, target: &TargetId) {
        let stats = self.entry(target);
        stats.in_flight = stats.in_flight.saturating_sub(1);
    }

    /// Records the load that a target has reported.
    pub fn record_load(&mut self, now: Moment, target: &TargetId, load: ReportedLoad) {
        self.entry(target).reported = Some((now, load));
    }

    /// Records the load in the head of an answer, and the time from sending the call to the head if that
    /// tells the target's speed. Returns a change of its speed that the operator should know of.
    pub fn record_answer(
        &mut self,
        now: Moment,
        target: &Target,
        took: Option<Duration>,
        load: ReportedLoad,
    ) -> Option<SpeedChange> {
        self.record_load(now, &target.id, load);
        match took {
            Some(took) => self.speeds.record_answer(now, target, took, load),
            None => {
                self.speeds.record_load(now, target, load);
                None
            }
        }
    }

    /// Records that a target has answered a call.
    pub fn record_success(&mut self, target: &TargetId) {
        let stats = self.entry(target);
        stats.failures = 0;
        stats.ejected_until = Duration::ZERO;
    }

    /// Records that a target has failed a call in a way that may affect others.
    pub fn record_failure(&mut self, now: Moment, target: &TargetId) {
        let stats = self.entry(target);
        stats.failures = stats.failures.saturating_add(1);
        if stats.failures >= EJECTION_FAILURES {
            let doubled =
                BASE_EJECTION.saturating_mul(1 << (stats.failures - EJECTION_FAILURES).min(8));
            stats.ejected_until = now + doubled.min(MAX_EJECTION);
        }
    }

    /// Drops the statistics of targets that are not listed.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.stats
            .retain(|id, stats| stats.in_flight > 0 || listed(id));
        self.speeds.retain(listed);
    }

    /// Whether a target is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Moment, target: &TargetId) -> bool {
        let stats = self.stats.get(target);
        self.ejects && stats.is_some_and(|stats| stats.ejected_until > now)
    }

    /// Whether a target has free capacity as far as is known, and is not ejected.
    #[must_use]
    pub fn has_room(&self, now: Moment, target: &Target) -> bool {
        self.load(now, target) < 1.0 && !self.is_ejected(now, &target.id)
    }

    /// Load of a target as a fraction of its capacity: the reported one, or this instance's own
    /// calls if those are more.
    fn load(&self, now: Moment, target: &Target) -> f64 {
        let Some(stats) = self.stats.get(&target.id) else {
            return 0.0;
        };
        if self.is_by_speed(&target.service) {
            let line = self.speeds.line(now, &target.id, stats.in_flight);
            return line / f64::from(target.slots.max(1));
        }
        let reported = stats
            .reported
            .filter(|(at, _)| now.saturating_sub(*at) < REPORT_LIFETIME)
            .map_or(0, |(_, load)| load.running + load.waiting);
        f64::from(reported.max(stats.in_flight)) / f64::from(target.slots.max(1))
    }

    fn entry(&mut self, target: &TargetId) -> &mut TargetStats {
        self.stats.entry(Arc::clone(target)).or_default()
    }
}

/// A count as a floating-point number.
fn as_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = count as f64;
    value
}
