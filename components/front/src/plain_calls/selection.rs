//! Chooses a target for a plain call.
//!
//! Each instance knows its own calls exactly, and the others' only from the load that targets say
//! in their answers, which is old when it arrives. So the load that was said counts for a short
//! while, one's own calls always, and a target that failed is put aside for a moment, though
//! never more than half of a service at once: the failures may be the callers' or our own.

use std::{collections::HashMap, sync::Arc, time::Duration};

use types::{DataCentreId, Moment, TargetId};
use view::Target;

use crate::adapters::ReportedLoad;

/// How long a load that was said counts.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);
/// What a target in another data centre costs, as a part of its places: bytes between data
/// centres are priced, and each way takes as long as a tenth of a call.
const REMOTE_COST: f64 = 0.6;
/// How long a target is put aside after its first failure in a row; doubled with each further.
const BASE_EJECTION: Duration = Duration::from_millis(300);
/// The longest time that a target is put aside before it is tried again.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Failures in a row after which a target is put aside.
const EJECTION_FAILURES: u32 = 2;
/// What a target that is put aside costs where all are.
const EJECTION_COST: f64 = 10.0;
/// Part of the connections that a target takes from all instances which they share out. The rest
/// is for questions about its health and load, and for instances that have just come.
const CONNECTION_SHARE: f64 = 0.8;

/// Connections that one of `instances` may have open to a target that takes `limit` from all of
/// them; one at least. A target resets what is beyond its limit, whoever's call it carries.
#[must_use]
pub fn connection_share(limit: u32, instances: usize) -> u32 {
    let count = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a limit that fits"
    )]
    let shared = (f64::from(limit) * CONNECTION_SHARE) as u32;
    (shared / count).max(1)
}

#[derive(Clone, Debug, Default)]
struct TargetStats {
    in_flight: u32,
    reported: Option<(Moment, ReportedLoad)>,
    failures: u32,
    ejected_until: Moment,
}

/// What this instance knows of the targets of plain services.
#[derive(Debug)]
pub struct TargetSelector {
    /// Targets near by go first.
    prefers_local: bool,
    /// Targets that failed are put aside.
    ejects: bool,
    stats: HashMap<TargetId, TargetStats>,
}

impl Default for TargetSelector {
    fn default() -> Self {
        Self::new(true, true)
    }
}

impl TargetSelector {
    /// Knows nothing yet; tells which parts of the choice are in use.
    #[must_use]
    pub fn new(prefers_local: bool, ejects: bool) -> Self {
        Self {
            prefers_local,
            ejects,
            stats: HashMap::new(),
        }
    }

    /// Picks one of the targets that may get work, less those that this call has tried. `tie_breaker`
    /// from 0 up to 1 breaks ties, so that instances don't all select the same one.
    #[must_use]
    pub fn select(
        &self,
        now: Moment,
        targets: &[Arc<Target>],
        tried: &[TargetId],
        local: &DataCentreId,
        tie_breaker: f64,
    ) -> Option<Arc<Target>> {
        let untried: Vec<&Arc<Target>> = targets
            .iter()
            .filter(|target| !tried.contains(&target.id))
            .collect();
        let ejected = untried
            .iter()
            .filter(|t| self.is_ejected(now, &t.id))
            .count();
        let ignore_ejection = ejected * 2 > untried.len();
        let mut best: Option<(f64, &Arc<Target>)> = None;
        for (number, target) in untried.iter().enumerate() {
            let mut cost = self.load(now, target);
            if self.prefers_local && target.data_centre != *local {
                cost += REMOTE_COST;
            }
            if self.is_ejected(now, &target.id) && !ignore_ejection {
                cost += EJECTION_COST;
            }
            let tie = (tie_breaker + as_f64(number) / as_f64(untried.len())).fract();
            cost += tie * 0.01;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, target));
            }
        }
        best.map(|(_, target)| Arc::clone(target))
    }

    /// Calls of this instance at a target. Each holds a connection, and a connection that is idle
    /// is used before another is made, so no more are open than calls were there at once.
    #[must_use]
    pub fn in_flight(&self, target: &TargetId) -> u32 {
        self.stats.get(target).map_or(0, |known| known.in_flight)
    }

    /// Notes that a call goes to a target.
    pub fn call_started(&mut self, target: &TargetId) {
        self.entry(target).in_flight += 1;
    }

    /// Notes that a call has left a target, whatever came of it.
    pub fn call_ended(&mut self, target: &TargetId) {
        let known = self.entry(target);
        known.in_flight = known.in_flight.saturating_sub(1);
    }

    /// Notes the load that a target said.
    pub fn record_load(&mut self, now: Moment, target: &TargetId, load: ReportedLoad) {
        self.entry(target).reported = Some((now, load));
    }

    /// Notes that a target served a call.
    pub fn record_success(&mut self, target: &TargetId) {
        let known = self.entry(target);
        known.failures = 0;
        known.ejected_until = Duration::ZERO;
    }

    /// Notes that a target failed a call in a way that it might fail others.
    pub fn record_failure(&mut self, now: Moment, target: &TargetId) {
        let known = self.entry(target);
        known.failures = known.failures.saturating_add(1);
        if known.failures >= EJECTION_FAILURES {
            let doubled =
                BASE_EJECTION.saturating_mul(1 << (known.failures - EJECTION_FAILURES).min(8));
            known.ejected_until = now + doubled.min(MAX_EJECTION);
        }
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, listed: impl Fn(&TargetId) -> bool) {
        self.stats
            .retain(|id, known| known.in_flight > 0 || listed(id));
    }

    /// Whether a target is put aside.
    #[must_use]
    pub fn is_ejected(&self, now: Moment, target: &TargetId) -> bool {
        let known = self.stats.get(target);
        self.ejects && known.is_some_and(|known| known.ejected_until > now)
    }

    /// Whether a target has a free place as far as is known, and is not put aside.
    #[must_use]
    pub fn has_room(&self, now: Moment, target: &Target) -> bool {
        self.load(now, target) < 1.0 && !self.is_ejected(now, &target.id)
    }

    /// Calls at a target as a part of its places: our own, or those that it said if more.
    fn load(&self, now: Moment, target: &Target) -> f64 {
        let Some(known) = self.stats.get(&target.id) else {
            return 0.0;
        };
        let reported = known
            .reported
            .filter(|(at, _)| now.saturating_sub(*at) < REPORT_LIFETIME)
            .map_or(0, |(_, load)| load.running + load.waiting);
        f64::from(reported.max(known.in_flight)) / f64::from(target.slots.max(1))
    }

    fn entry(&mut self, target: &TargetId) -> &mut TargetStats {
        self.stats.entry(Arc::clone(target)).or_default()
    }
}

/// A count of targets; far below the 52 bits that are exact.
fn as_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "far below 52 bits")]
    let value = count as f64;
    value
}
