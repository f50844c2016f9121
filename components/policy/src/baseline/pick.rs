//! Strategies by which a baseline picks a target.

use std::collections::BTreeMap;

use types::{Target, TargetId};

use crate::api::{Request, TargetLimits, TargetLoad};

/// What one instance knows of a target.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    /// The target.
    pub target: Target,
    /// The newest load report.
    pub report: TargetLoad,
    /// Requests that this instance runs on the target.
    pub running: u32,
}

/// A strategy to pick a target for a request.
pub trait TargetPicker: Send {
    /// Picks one of the targets in `available`, all of which may get work. `None` if the request
    /// has to wait.
    fn pick(
        &mut self,
        request: &Request,
        limits: &TargetLimits,
        targets: &BTreeMap<TargetId, LocalTarget>,
        available: &[TargetId],
    ) -> Option<TargetId>;
}

/// Picks the targets in turn, without a limit on concurrent requests.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl TargetPicker for RoundRobin {
    fn pick(
        &mut self,
        _request: &Request,
        _limits: &TargetLimits,
        _targets: &BTreeMap<TargetId, LocalTarget>,
        available: &[TargetId],
    ) -> Option<TargetId> {
        self.next = self.next.wrapping_add(1);
        available.get(self.next % available.len().max(1)).cloned()
    }
}

/// Picks the target with the least load: the load in its last report plus this instance's own
/// requests.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl TargetPicker for LeastLoaded {
    fn pick(
        &mut self,
        _request: &Request,
        _limits: &TargetLimits,
        targets: &BTreeMap<TargetId, LocalTarget>,
        available: &[TargetId],
    ) -> Option<TargetId> {
        let load = |id: &&TargetId| {
            targets
                .get(*id)
                .map_or(0, |k| k.report.running + k.report.waiting + k.running)
        };
        available.iter().min_by_key(load).cloned()
    }
}

/// Uses at most a fixed share of each target's concurrency, the same for every instance.
#[derive(Debug)]
pub struct FixedShare {
    /// Number of instances that share the targets.
    pub instances: u32,
}

impl TargetPicker for FixedShare {
    fn pick(
        &mut self,
        _request: &Request,
        limits: &TargetLimits,
        targets: &BTreeMap<TargetId, LocalTarget>,
        available: &[TargetId],
    ) -> Option<TargetId> {
        let running = |id: &TargetId| targets.get(id).map_or(0, |k| k.running);
        let share = |id: &TargetId| {
            let warm = targets.get(id).is_none_or(|k| k.report.warm);
            let limit = if warm {
                limits.warm_limit
            } else {
                limits.cold_limit
            };
            (limit / self.instances.max(1)).max(1)
        };
        let free = available.iter().filter(|id| running(id) < share(id));
        free.min_by_key(|id| running(id)).cloned()
    }
}
