//! Estimates the length of generations from those that ended and those that still run.
//!
//! Lengths are modelled by hazards: of the generations that reached a length bucket, the share that
//! ended in it (Kaplan-Meier). Generations that were cancelled or still run count as at risk in the
//! buckets that they passed. Without them long generations would be underestimated, because it is
//! the long ones that are cancelled or still running. Estimates of a route or a workspace are drawn
//! towards those of the service until they have enough observations of their own.

use std::{collections::BTreeMap, sync::Arc};

use types::{RouteId, ServiceId, Tokens, WorkspaceId};

/// Number of length buckets.
const BUCKETS: usize = 64;
/// Lower edges of the buckets in tokens. Longer generations fall into the last bucket.
const EDGES: [Tokens; BUCKETS] = edges();
/// Weight of the prior in a service's hazards, in generations at risk.
const PRIOR_WEIGHT: f64 = 2.0;
/// Weight of the service's hazards in a route's, and of the route's in a workspace's, in
/// generations at risk.
const PARENT_WEIGHT: f64 = 16.0;
/// Hazard of a bucket without observations. Equal hazards spread lengths evenly over their
/// logarithm.
const PRIOR_HAZARD: f64 = 0.12;
/// Upper bound of a hazard, so that a generation longer than all observed ones is still expected to
/// go on.
const MAX_HAZARD: f64 = 0.98;
/// Lower bound of a hazard, so that the tail of the distribution ends.
const MIN_HAZARD: f64 = 1e-4;
/// Observations between two decay steps.
const DECAY_INTERVAL: u32 = 256;
/// Factor on all counts in a decay step. Together with the interval it makes the estimate remember
/// about 2,500 observations.
const DECAY_FACTOR: f64 = 0.9;
/// Observations of a service after which a cached curve is rebuilt.
const REBUILD_INTERVAL: u64 = 8;
/// With up to this many observations of a service, each new one causes its curves to be rebuilt.
const ALWAYS_REBUILD_BELOW: u64 = 64;

/// Computes the lower edges: each is a fifth larger than the one before.
const fn edges() -> [Tokens; BUCKETS] {
    let mut edges = [0; BUCKETS];
    let mut at = 1;
    while at < BUCKETS {
        let last = edges[at - 1];
        let next = last + last / 5;
        edges[at] = if next > last + 1 { next } else { last + 1 };
        at += 1;
    }
    edges
}

/// Returns the bucket of a length.
fn bucket(length: Tokens) -> usize {
    EDGES.partition_point(|&edge| edge <= length) - 1
}

/// Where a generation comes from, which its length is estimated by.
#[derive(Clone, Copy, Debug)]
pub struct GenerationSource<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The route within the service.
    pub route: &'a RouteId,
    /// The workspace that made the request.
    pub workspace: &'a WorkspaceId,
}

/// Numbers of generations at risk and of ended ones, by bucket.
#[derive(Clone, Debug)]
struct HazardTable {
    at_risk: [f64; BUCKETS],
    ended: [f64; BUCKETS],
}

impl HazardTable {
    const fn new() -> Self {
        Self {
            at_risk: [0.0; BUCKETS],
            ended: [0.0; BUCKETS],
        }
    }

    fn add_passed(&mut self, from: usize, to: usize) {
        for count in &mut self.at_risk[from..to.max(from)] {
            *count += 1.0;
        }
    }

    fn add_ended(&mut self, at: usize) {
        self.at_risk[at] += 1.0;
        self.ended[at] += 1.0;
    }

    fn decay(&mut self) {
        for count in self.at_risk.iter_mut().chain(&mut self.ended) {
            *count *= DECAY_FACTOR;
        }
    }

    fn hazards(&self, parent: &[f64; BUCKETS], weight: f64) -> [f64; BUCKETS] {
        let mut hazards = [0.0; BUCKETS];
        for (at, hazard) in hazards.iter_mut().enumerate() {
            let ended = self.ended[at] + weight * parent[at];
            *hazard = ended / (self.at_risk[at] + weight);
        }
        hazards
    }
}

/// Probability that a generation exceeds a length.
#[derive(Clone, Debug)]
pub struct SurvivalCurve {
    /// Cumulative hazard at each edge: the negative logarithm of the probability to reach it.
    cumulative: [f64; BUCKETS],
    /// Increase of the cumulative hazard per token within each bucket.
    slope: [f64; BUCKETS],
}

impl SurvivalCurve {
    fn new(hazards: &[f64; BUCKETS]) -> Self {
        let mut cumulative = [0.0; BUCKETS];
        let mut slope = [0.0; BUCKETS];
        for at in 0..BUCKETS {
            let hazard = hazards[at].clamp(MIN_HAZARD, MAX_HAZARD);
            let step = -(1.0 - hazard).ln();
            let next = EDGES.get(at + 1).copied().unwrap_or(EDGES[at] * 6 / 5);
            slope[at] = step / (next - EDGES[at]) as f64;
            if at + 1 < BUCKETS {
                cumulative[at + 1] = cumulative[at] + step;
            }
        }
        Self { cumulative, slope }
    }

    /// Returns the cumulative hazard at a length.
    fn cumulative_hazard(&self, length: Tokens) -> f64 {
        let at = bucket(length);
        self.cumulative[at] + self.slope[at] * (length - EDGES[at]) as f64
    }

    /// Returns the probability that a generation that has produced `produced` tokens produces at
    /// least `more` further ones.
    #[must_use]
    pub fn survival(&self, produced: Tokens, more: Tokens) -> f64 {
        (self.cumulative_hazard(produced) - self.cumulative_hazard(produced + more)).exp()
    }

    /// Returns the expected number of further tokens of a generation that has produced `produced`,
    /// limited to `max_output` in all.
    #[must_use]
    pub fn expected_remaining(&self, produced: Tokens, max_output: Tokens) -> f64 {
        let base = self.cumulative_hazard(produced);
        let mut from = produced;
        let mut sum = 0.0;
        for edge in &EDGES[bucket(produced) + 1..] {
            let to = (*edge).min(max_output);
            if to <= from {
                break;
            }
            let survival = (base - self.cumulative_hazard(from + (to - from) / 2)).exp();
            sum += survival * (to - from) as f64;
            from = to;
        }
        sum
    }
}

/// A curve and the number of observations that it was built from.
#[derive(Debug)]
struct CachedCurve {
    curve: Arc<SurvivalCurve>,
    observations: u64,
}

#[derive(Debug)]
struct RouteLengths {
    table: HazardTable,
    workspaces: BTreeMap<WorkspaceId, HazardTable>,
    curves: BTreeMap<WorkspaceId, CachedCurve>,
}

#[derive(Debug)]
struct ServiceLengths {
    table: HazardTable,
    observations: u64,
    until_decay: u32,
    routes: BTreeMap<RouteId, RouteLengths>,
}

impl ServiceLengths {
    const fn new() -> Self {
        Self {
            table: HazardTable::new(),
            observations: 0,
            until_decay: DECAY_INTERVAL,
            routes: BTreeMap::new(),
        }
    }

    fn route(&mut self, route: &RouteId) -> &mut RouteLengths {
        self.routes
            .entry(route.clone())
            .or_insert_with(|| RouteLengths {
                table: HazardTable::new(),
                workspaces: BTreeMap::new(),
                curves: BTreeMap::new(),
            })
    }

    fn count_observation(&mut self) {
        self.observations += 1;
        self.until_decay -= 1;
        if self.until_decay > 0 {
            return;
        }
        self.until_decay = DECAY_INTERVAL;
        self.table.decay();
        for route in self.routes.values_mut() {
            route.table.decay();
            route.workspaces.values_mut().for_each(HazardTable::decay);
        }
    }
}

/// Length estimates by service, route and workspace.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    services: BTreeMap<ServiceId, ServiceLengths>,
}

impl LengthEstimator {
    /// Creates an estimator without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a generation that had produced `from` tokens when last recorded has now
    /// produced `to`, and still runs or was cancelled.
    pub fn record_progress(&mut self, source: &GenerationSource<'_>, from: Tokens, to: Tokens) {
        let (from, to) = (bucket(from), bucket(to));
        if from < to {
            self.update_tables(source, |table| table.add_passed(from, to));
        }
    }

    /// Records that a generation ended by itself with `length` tokens; `from` is its length when
    /// last recorded.
    pub fn record_end(&mut self, source: &GenerationSource<'_>, from: Tokens, length: Tokens) {
        self.record_progress(source, from, length);
        let at = bucket(length);
        self.update_tables(source, |table| table.add_ended(at));
        if let Some(service) = self.services.get_mut(source.service) {
            service.count_observation();
        }
    }

    /// Returns the survival curve for generations of one source.
    pub fn curve(&mut self, source: &GenerationSource<'_>) -> Arc<SurvivalCurve> {
        let service = self
            .services
            .entry(source.service.clone())
            .or_insert_with(ServiceLengths::new);
        let observations = service.observations;
        let route = service.route(source.route);
        if let Some(cached) = route.curves.get(source.workspace) {
            let age = observations - cached.observations;
            if age == 0 || (age < REBUILD_INTERVAL && observations > ALWAYS_REBUILD_BELOW) {
                return Arc::clone(&cached.curve);
            }
        }
        self.rebuild(source, observations)
    }

    fn rebuild(&mut self, source: &GenerationSource<'_>, observations: u64) -> Arc<SurvivalCurve> {
        let prior = [PRIOR_HAZARD; BUCKETS];
        let service = self
            .services
            .entry(source.service.clone())
            .or_insert_with(ServiceLengths::new);
        let mut hazards = service.table.hazards(&prior, PRIOR_WEIGHT);
        let route = service.route(source.route);
        hazards = route.table.hazards(&hazards, PARENT_WEIGHT);
        if let Some(table) = route.workspaces.get(source.workspace) {
            hazards = table.hazards(&hazards, PARENT_WEIGHT);
        }
        let curve = Arc::new(SurvivalCurve::new(&hazards));
        let cached = CachedCurve {
            curve: Arc::clone(&curve),
            observations,
        };
        route.curves.insert(source.workspace.clone(), cached);
        curve
    }

    fn update_tables(
        &mut self,
        source: &GenerationSource<'_>,
        mut change: impl FnMut(&mut HazardTable),
    ) {
        let service = self
            .services
            .entry(source.service.clone())
            .or_insert_with(ServiceLengths::new);
        change(&mut service.table);
        let route = service.route(source.route);
        change(&mut route.table);
        let workspace = route
            .workspaces
            .entry(source.workspace.clone())
            .or_insert_with(HazardTable::new);
        change(workspace);
    }
}
