//! Fair shares among workspaces while an owner has less room than its callers ask for.
//!
//! Without it, engines serve workspaces in proportion to what they send. A workspace that sends eight
//! times as much takes the room of all others, and their callers are rejected as often as its own.
//!
//! For each shard and urgency, the work that each workspace asks for and gets is summed over the
//! last seconds. The fair share is that of max-min fairness: the level up to which the demand of each
//! workspace can be met with what the engines serve. A workspace that asks for less is not short; one
//! that asks for more gets what the others leave. Where all demand is met there is no level.
//!
//! Sums fade out, so a workspace that was silent has saved up nothing beyond one window, and one that
//! flooded is soon forgotten. They are soft state of the owner.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::Serialize;
use types::{Moment, ServiceId, Tokens, WorkspaceId, millis};

use crate::{
    message::PlacementRequest,
    shard::Shard,
    tuning::{as_f64, round_tokens},
};

/// Work of a generated token, in prompt tokens. It occupies memory for a whole step, while the tokens
/// of a prompt are processed together.
const GENERATED_TOKEN_WORK: f64 = 2.0;
/// Time in which a sum falls to 1/e. Shorter ones confuse a few large requests with a flood.
const WINDOW: Duration = Duration::from_secs(4);
/// A pool without requests for this long is dropped.
const POOL_EXPIRY: Duration = Duration::from_secs(40);
/// Maximum number of workspaces of a pool; the one with the least demand is dropped.
const MAX_WORKSPACES: usize = 256;
/// A workspace whose demand has fallen below this has left.
const MIN_DEMAND: f64 = 1.0;
/// Part of the demand that may be unmet before there is a level: sums lag behind each other.
const SLACK: f64 = 0.03;
/// Part of the served work that is the share of usual workspaces from which on others leave them all
/// that their excess says.
const FULL_CLAIM: f64 = 0.1;
/// Ratio of a workspace's demand to its share, less one, at which it is fully above it.
const FULL_EXCESS_AT: f64 = 0.5;
/// Ratio of a workspace's demand to a usual one up to which it leaves nothing to others: sums of a few
/// requests differ as much by chance.
const INDISTINCT_RATIO: f64 = 2.0;
/// The ratio from which on it leaves them all that its excess says.
const DISTINCT_RATIO: f64 = 3.0;
/// Excess from which on a workspace counts as above its share in logs and metrics.
const NOTABLE_EXCESS: f64 = 0.5;
/// Excess below which it counts as within its share again.
const SETTLED_EXCESS: f64 = 0.1;
/// Maximum number of changes that are reported at a time; the others follow.
const MAX_CHANGES: usize = 4;

/// Work of a request: its prompt, and the tokens that it is expected to generate.
pub(crate) fn work(prompt_tokens: Tokens, generated_tokens: Tokens) -> f64 {
    as_f64(prompt_tokens) + GENERATED_TOKEN_WORK * as_f64(generated_tokens)
}

/// Requests that compete with each other: those for the engines of one shard with the same urgency.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct PoolId {
    shard: Shard,
    priority: u32,
    route_priority: u32,
}

impl PoolId {
    fn of(request: &PlacementRequest) -> Self {
        Self {
            shard: request.shard.clone(),
            priority: request.priority,
            route_priority: request.route_priority,
        }
    }
}

/// Work of one workspace in the last seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Work asked for, whether it was served or not.
    demand: f64,
    /// Work that was assigned an engine.
    served: f64,
    /// Whether the last event about the workspace said that it is above its share.
    is_noted: bool,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    usages: BTreeMap<WorkspaceId, Usage>,
    /// Time to which the sums refer.
    faded_at: Moment,
    last_request_at: Moment,
}

/// By how much a workspace is above its share, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Excess {
    /// For the order of those that wait: how little the others ask for doesn't matter, since letting them go
    /// first costs no room.
    pub of_turns: f64,
    /// For the room that it leaves free: no more than what the others may ask for.
    pub of_room: f64,
}

impl Excess {
    /// Within the share.
    pub const NONE: Self = Self {
        of_turns: 0.0,
        of_room: 0.0,
    };
}

/// Max-min fair share of the workspaces of a pool.
#[derive(Clone, Copy, Debug)]
struct Level {
    /// Work that each workspace may get. Those that ask for less are within their share.
    share: f64,
    /// Demand of a usual workspace.
    usual: f64,
    /// Part of the served work that is the share of those with about the usual demand, from 0 to 1.
    claimed: f64,
}

/// The level up to which all of the demands, in ascending order, can be met with what is served.
fn max_min_share(demands: &[f64], served: f64) -> Option<f64> {
    let mut left = served;
    let mut sharing = as_f64(u64::try_from(demands.len()).unwrap_or(u64::MAX));
    for demand in demands {
        if demand * sharing > left {
            return Some(left / sharing);
        }
        left -= demand;
        sharing -= 1.0;
    }
    None
}

fn mean<'a>(values: impl Iterator<Item = &'a f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), it| (sum + it, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

impl Pool {
    /// Reduces all sums to `now`.
    fn fade(&mut self, now: Moment) {
        let elapsed = now.saturating_sub(self.faded_at);
        self.faded_at = self.faded_at.max(now);
        let factor = libm::exp(-elapsed.as_secs_f64() / WINDOW.as_secs_f64());
        for usage in self.usages.values_mut() {
            usage.demand *= factor;
            usage.served *= factor;
        }
        self.usages
            .retain(|_, usage| usage.demand.max(usage.served) >= MIN_DEMAND || usage.is_noted);
    }

    fn add_demand(&mut self, now: Moment, workspace: &WorkspaceId, work: f64) {
        self.fade(now);
        self.last_request_at = now;
        let usage = self.usages.entry(Arc::clone(workspace)).or_default();
        usage.demand += work;
        if self.usages.len() <= MAX_WORKSPACES {
            return;
        }
        let least = self
            .usages
            .iter()
            .filter(|(id, _)| *id != workspace)
            .min_by(|(_, a), (_, b)| a.demand.total_cmp(&b.demand))
            .map(|(id, _)| Arc::clone(id));
        if let Some(least) = least {
            self.usages.remove(&least);
        }
    }

    /// The fair share. `None` if there is one workspace only, or all demand is met.
    fn level(&self) -> Option<Level> {
        let mut demands: Vec<f64> = self.usages.values().map(|usage| usage.demand).collect();
        let served: f64 = self.usages.values().map(|usage| usage.served).sum();
        let asked: f64 = demands.iter().sum();
        if demands.len() < 2 || served >= asked * (1.0 - SLACK) {
            return None;
        }
        demands.sort_unstable_by(f64::total_cmp);
        let share = max_min_share(&demands, served)?;
        let median = demands[(demands.len() - 1) / 2];
        let within = demands.iter().filter(|demand| **demand <= share);
        let usual = mean(within).map_or(median, |mean| mean.min(median));
        let modest = demands
            .iter()
            .filter(|demand| **demand <= usual * INDISTINCT_RATIO);
        let claimed: f64 = modest.map(|demand| demand.min(share)).sum();
        Some(Level {
            share,
            usual,
            claimed: claimed / served.max(MIN_DEMAND),
        })
    }

    /// By how much a workspace asks for more than its share and than others. It is nothing if all ask for
    /// about as much, because they have nothing to leave to each other.
    fn excess(&self, workspace: &str) -> Excess {
        let Some(usage) = self.usages.get(workspace) else {
            return Excess::NONE;
        };
        self.level().map_or(Excess::NONE, |level| {
            let claim = (level.claimed / FULL_CLAIM).min(1.0);
            let above = usage.demand / level.share.max(MIN_DEMAND) - 1.0;
            let ratio = usage.demand / level.usual.max(MIN_DEMAND);
            let distinct = (ratio - INDISTINCT_RATIO) / (DISTINCT_RATIO - INDISTINCT_RATIO);
            let of_turns = (above / FULL_EXCESS_AT).clamp(0.0, 1.0) * distinct.clamp(0.0, 1.0);
            Excess {
                of_turns,
                of_room: claim * of_turns,
            }
        })
    }
}

/// A workspace that has come above its share, or is within it again.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Shard for whose engines workspaces compete.
    pub shard: Shard,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Whether it is above its share now.
    pub is_above: bool,
    /// What it was served of what it asked for lately, in percent.
    pub served_percent: u32,
    /// Number of other workspaces that ask for engines of the shard with the same urgency.
    pub others: usize,
}

/// Work of a workspace as the owner of a shard accounts for it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkspaceLoad {
    /// Service of the engines.
    pub service: ServiceId,
    /// Index of the shard.
    pub shard: u32,
    /// Priority of the workspace.
    pub priority: u32,
    /// Priority of the route.
    pub route_priority: u32,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens of work asked for lately.
    pub asked: Tokens,
    /// Tokens of work served lately.
    pub served: Tokens,
    /// By how much it is above its share, in percent.
    pub excess_percent: u32,
    /// Time to which these sums refer, in milliseconds.
    pub age_ms: u64,
}

/// What happened to requests of workspaces above their share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareDecisions {
    /// Requests that began to wait, behind those of other workspaces.
    pub waits: u64,
    /// Requests that were rejected.
    pub rejections: u64,
}

/// Work of all workspaces in the shards of an owner.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    pools: HashMap<PoolId, Pool>,
    /// Decisions since they were last taken.
    pub decisions: ShareDecisions,
}

impl Shares {
    /// Records that a new request asks for work. Retries of a caller that was told to come back are
    /// not new.
    pub fn record_demand(&mut self, now: Moment, request: &PlacementRequest, work: f64) {
        if let Some(workspace) = &request.workspace {
            let pool = self.pools.entry(PoolId::of(request)).or_default();
            pool.add_demand(now, workspace, work);
        }
    }

    /// Records that a request was assigned an engine.
    pub fn record_service(&mut self, now: Moment, request: &PlacementRequest, work: f64) {
        let Some(workspace) = &request.workspace else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&PoolId::of(request)) {
            pool.fade(now);
            pool.usages.entry(Arc::clone(workspace)).or_default().served += work;
        }
    }

    /// By how much the workspace of a request is above its share.
    pub fn excess(&self, request: &PlacementRequest) -> Excess {
        let workspace = request.workspace.as_deref();
        workspace.map_or(Excess::NONE, |workspace| self.excess_of(request, workspace))
    }

    /// By how much a workspace is above its share of the engines that a request competes for.
    pub fn excess_of(&self, request: &PlacementRequest, workspace: &str) -> Excess {
        let pool = self.pools.get(&PoolId::of(request));
        pool.map_or(Excess::NONE, |pool| pool.excess(workspace))
    }

    /// The workspaces that have come above their share or are within it again since the last call.
    pub fn take_changes(&mut self, now: Moment) -> Vec<ShareChange> {
        let mut changes = Vec::new();
        for (id, pool) in &mut self.pools {
            pool.fade(now);
            let others = pool.usages.len().saturating_sub(1);
            let excesses: Vec<(WorkspaceId, f64)> = pool
                .usages
                .keys()
                .map(|workspace| (Arc::clone(workspace), pool.excess(workspace).of_room))
                .collect();
            for (workspace, excess) in excesses {
                let Some(usage) = pool.usages.get_mut(&workspace) else {
                    continue;
                };
                let is_above = if usage.is_noted {
                    excess > SETTLED_EXCESS
                } else {
                    excess >= NOTABLE_EXCESS
                };
                if is_above != usage.is_noted && changes.len() < MAX_CHANGES {
                    usage.is_noted = is_above;
                    changes.push(ShareChange {
                        shard: id.shard.clone(),
                        workspace,
                        is_above,
                        served_percent: percent(usage.served / usage.demand.max(MIN_DEMAND)),
                        others,
                    });
                }
            }
        }
        self.pools
            .retain(|_, pool| now.saturating_sub(pool.last_request_at) < POOL_EXPIRY);
        changes
    }

    /// The work of each workspace, by shard and urgency.
    pub fn loads(&self, now: Moment) -> Vec<WorkspaceLoad> {
        let of_pool = |(id, pool): (&PoolId, &Pool)| {
            let load = |(workspace, usage): (&WorkspaceId, &Usage)| WorkspaceLoad {
                service: Arc::clone(&id.shard.service),
                shard: id.shard.index,
                priority: id.priority,
                route_priority: id.route_priority,
                workspace: Arc::clone(workspace),
                asked: round_tokens(usage.demand),
                served: round_tokens(usage.served),
                excess_percent: percent(pool.excess(workspace).of_room),
                age_ms: millis(now.saturating_sub(pool.faded_at)),
            };
            pool.usages.iter().map(load).collect::<Vec<_>>()
        };
        self.pools.iter().flat_map(of_pool).collect()
    }
}

fn percent(part: f64) -> u32 {
    u32::try_from(round_tokens(part * 100.0)).unwrap_or(u32::MAX)
}
