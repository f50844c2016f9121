//! An entry's knowledge of all shards, and the choice of the shard to request a permit from.

use std::{collections::BTreeMap, time::Duration};

use types::{DataCentreId, Epoch, InstanceId, ServiceId, ServingState, Shard};
use wire::ShardSummary;

use crate::api::View;

/// Added to the score of a shard in another data centre, for the longer round trip.
const REMOTE_PENALTY: f32 = 0.05;
/// Subtracted from the score of a shard that recently ran a request with the same prompt prefix.
const AFFINITY_BONUS: f32 = 0.3;
/// Above this load a shared prefix attracts no more requests. One popular prefix could otherwise
/// fill one data centre while others are idle.
const MAX_AFFINITY_LOAD: f32 = 0.85;
/// Share of the difference between two queues that is moved at a time.
const REBALANCE_SHARE: f32 = 0.5;
/// Minimum retry delay given to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of prefixes recorded.
const MAX_PREFIXES: usize = 4096;

/// One shard as seen by an entry.
#[derive(Clone, Debug, Default)]
pub struct ShardInfo {
    /// The owner that requests are sent to.
    pub owner: Option<InstanceId>,
    /// The newest known term; grants of earlier terms are ignored.
    pub epoch: Epoch,
    /// The owner's newest load summary.
    pub summary: Option<ShardSummary>,
    /// Permit requests sent since that summary.
    pub requests_since_summary: u32,
    /// Number of targets that may get work.
    pub targets: u32,
    /// Whether a summary has arrived since requests were last moved away.
    pub is_summary_new: bool,
}

/// A number of permit requests to be moved to another shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Rebalance {
    /// The shard to move to.
    pub to: Shard,
    /// The owner of that shard.
    pub owner: InstanceId,
    /// How many requests to move.
    pub count: usize,
}

/// All shards that an entry knows.
#[derive(Debug, Default)]
pub struct ShardDirectory {
    home: Option<DataCentreId>,
    instances: u32,
    shards: BTreeMap<Shard, ShardInfo>,
    prefixes: BTreeMap<u64, DataCentreId>,
}

impl ShardDirectory {
    /// Creates an empty directory; `home` is this instance's data centre.
    #[must_use]
    pub fn new(home: DataCentreId) -> Self {
        Self {
            home: Some(home),
            ..Self::default()
        }
    }

    /// Updates the numbers of targets from a new view.
    pub fn update(&mut self, view: &View) {
        self.instances = view.instances.max(1);
        for info in self.shards.values_mut() {
            info.targets = 0;
        }
        for target in &view.targets {
            let accepts_work = target.state == ServingState::Live
                && !view.data_centres_out.contains(&target.data_centre);
            let shard = Shard::new(&target.service, &target.data_centre);
            self.shards.entry(shard).or_default().targets += u32::from(accepts_work);
        }
    }

    /// Returns one shard.
    #[must_use]
    pub fn get(&self, shard: &Shard) -> Option<&ShardInfo> {
        self.shards.get(shard)
    }

    /// Follows an owner, unless its term is older than the newest known one.
    pub fn follow(&mut self, shard: &Shard, owner: Option<InstanceId>, epoch: Epoch) {
        let info = self.shards.entry(shard.clone()).or_default();
        if epoch < info.epoch {
            return;
        }
        if info.owner != owner {
            info.summary = None;
        }
        info.epoch = epoch;
        info.owner = owner;
    }

    /// Records the load summaries of an owner's shards.
    pub fn apply_summaries(&mut self, owner: &InstanceId, summaries: &[ShardSummary]) {
        for summary in summaries {
            let info = self.shards.entry(summary.shard.clone()).or_default();
            if info.owner.as_ref() == Some(owner) && info.epoch == summary.epoch {
                info.summary = Some(summary.clone());
                info.requests_since_summary = 0;
                info.is_summary_new = true;
            }
        }
    }

    /// Records that a permit request was sent to a shard.
    pub fn record_permit_request(&mut self, shard: &Shard, prefix: &[u64]) {
        if let Some(info) = self.shards.get_mut(shard) {
            info.requests_since_summary += 1;
        }
        if self.prefixes.len() >= MAX_PREFIXES {
            self.prefixes.pop_first();
        }
        if let Some(block) = prefix.first() {
            self.prefixes.insert(*block, shard.data_centre.clone());
        }
    }

    /// Returns whether any target of a service may get work.
    #[must_use]
    pub fn has_targets(&self, service: &ServiceId) -> bool {
        self.shards_of(service).any(|(_, info)| info.targets > 0)
    }

    /// Returns the shard to request a permit from, among the usable ones, and its owner.
    #[must_use]
    pub fn choose(
        &self,
        service: &ServiceId,
        prefix: &[u64],
        is_usable: impl Fn(&Shard) -> bool,
    ) -> Option<(Shard, InstanceId)> {
        let usable = self
            .shards_of(service)
            .filter(|(shard, info)| info.targets > 0 && is_usable(shard));
        let scored = usable.filter_map(|(shard, info)| {
            let owner = info.owner.clone()?;
            Some((self.score(shard, info, prefix), shard, owner))
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((best.1.clone(), best.2))
    }

    /// Returns the retry delay for a caller that was not served in time: the shortest expected wait
    /// of the service's shards.
    #[must_use]
    pub fn retry_after(&self, service: &ServiceId) -> Duration {
        let summaries = self
            .shards_of(service)
            .filter_map(|(_, info)| info.summary.as_ref());
        let shortest = summaries.map(|s| s.wait_ms).min().unwrap_or_default();
        Duration::from_millis(u64::from(shortest)).max(MIN_RETRY_AFTER)
    }

    /// Returns how many of the `own_requests` permit requests that wait at a shard should move, and
    /// where to.
    ///
    /// All instances see the same summaries. If each moved all its requests to the emptiest shard,
    /// the whole queue would move from shard to shard with every heartbeat, hundreds of requests
    /// beside empty queues. Each instance therefore moves its part of half the difference, and
    /// only once per summary.
    pub fn plan_rebalance(&mut self, from: &Shard, own_requests: usize) -> Option<Rebalance> {
        let here = self.shards.get_mut(from)?;
        if !std::mem::take(&mut here.is_summary_new) {
            return None;
        }
        let (queued, targets) = queue_and_targets(here)?;
        let (to, owner) = self.choose(&from.service, &[], |_| true)?;
        let (queued_there, targets_there) = queue_and_targets(self.shards.get(&to)?)?;
        if to == *from {
            return None;
        }
        let surplus = (queued * targets_there - queued_there * targets) / (targets + targets_there);
        let own_share = own_requests as f32 / queued.max(1.0);
        let count = (surplus * own_share * REBALANCE_SHARE).round();
        (count >= 1.0).then_some(Rebalance {
            to,
            owner,
            count: count as usize,
        })
    }

    fn shards_of(&self, service: &ServiceId) -> impl Iterator<Item = (&Shard, &ShardInfo)> {
        self.shards
            .iter()
            .filter(move |(shard, _)| shard.service == *service)
    }

    fn score(&self, shard: &Shard, info: &ShardInfo, prefix: &[u64]) -> f32 {
        let summary = info.summary.as_ref();
        let load = summary.map_or(0.0, |s| s.load);
        // Until the next summary the other instances, which see the same ones, choose the same way.
        // Without counting their requests all would rush to one shard.
        let requested = info.requests_since_summary * self.instances;
        let queued = summary.map_or(0, |s| s.queued) + requested;
        let targets = summary.map_or(info.targets, |s| s.targets).max(1);
        let mut score = load + queued_per_target(queued, targets);
        if self.home.as_ref() != Some(&shard.data_centre) {
            score += REMOTE_PENALTY;
        }
        if summary.is_some_and(|s| !s.granting) {
            score += 1.0;
        }
        let cached_in = prefix.first().and_then(|block| self.prefixes.get(block));
        if load < MAX_AFFINITY_LOAD && cached_in == Some(&shard.data_centre) {
            score -= AFFINITY_BONUS;
        }
        score
    }
}

fn queued_per_target(queued: u32, targets: u32) -> f32 {
    queued as f32 / targets as f32
}

/// Returns the number of requests queued at a shard and the number of its targets, according to its
/// owner.
fn queue_and_targets(info: &ShardInfo) -> Option<(f32, f32)> {
    let summary = info.summary.as_ref().filter(|s| s.granting)?;
    Some((summary.queued as f32, summary.targets.max(1) as f32))
}
