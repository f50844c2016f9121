//! What an entry knows about shards, and which of them it asks.

use std::{collections::BTreeMap, time::Duration};

use types::{DataCentreId, Epoch, InstanceId, ServiceId, Shard, Standing};
use wire::ShardSummary;

use crate::api::View;

/// Added to the score of a shard in another data centre: the way there and back.
const REMOTE: f32 = 0.05;
/// Taken off the score of a shard that lately ran a request with the same prompt prefix.
const AFFINITY: f32 = 0.3;
/// Above this load a owner_state prefix no longer draws requests, or one popular prefix would fill
/// one data centre while others idle.
const AFFINITY_LOAD: f32 = 0.85;
/// Part of the difference between two lines that moves at once.
const MOVE_PART: f32 = 0.5;
/// Callers are never told to come back sooner.
const LEAST_WAIT: Duration = Duration::from_secs(1);
/// Prefixes remembered.
const PREFIXES: usize = 4096;

/// One shard as an entry sees it.
#[derive(Clone, Debug, Default)]
pub struct ShardInfo {
    /// The owner followed.
    pub owner: Option<InstanceId>,
    /// The newest term seen; grants of earlier ones are void.
    pub epoch: Epoch,
    /// What the owner said last.
    pub summary: Option<ShardSummary>,
    /// PermitRequests sent since the owner said so.
    pub asked_since: u32,
    /// Targets that may take work.
    pub targets: u32,
    /// Whether the summary has come since asks were last moved away.
    pub fresh: bool,
}

/// PermitRequests that should change shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Where to.
    pub to: Shard,
    /// Its owner.
    pub owner: InstanceId,
    /// How many.
    pub count: usize,
}

/// All shards that an entry knows.
#[derive(Debug, Default)]
pub struct ShardDirectory {
    home: Option<DataCentreId>,
    instances: u32,
    known: BTreeMap<Shard, ShardInfo>,
    prefixes: BTreeMap<u64, DataCentreId>,
}

impl ShardDirectory {
    /// Starts knowing none; `home` is this instance's data centre.
    #[must_use]
    pub fn new(home: DataCentreId) -> Self {
        Self {
            home: Some(home),
            ..Self::default()
        }
    }

    /// Takes targets and data centres from a new view.
    pub fn update(&mut self, view: &View) {
        self.instances = view.instances.max(1);
        for info in self.known.values_mut() {
            info.targets = 0;
        }
        for target in &view.targets {
            let open = target.standing == Standing::Live
                && !view.data_centres_out.contains(&target.data_centre);
            let shard = Shard::new(&target.service, &target.data_centre);
            self.known.entry(shard).or_default().targets += u32::from(open);
        }
    }

    /// One shard.
    #[must_use]
    pub fn get(&self, shard: &Shard) -> Option<&ShardInfo> {
        self.known.get(shard)
    }

    /// Follows an owner unless its term is older than the newest seen.
    pub fn follow(&mut self, shard: &Shard, owner: Option<InstanceId>, epoch: Epoch) {
        let info = self.known.entry(shard.clone()).or_default();
        if epoch < info.epoch {
            return;
        }
        if info.owner != owner {
            info.summary = None;
        }
        info.epoch = epoch;
        info.owner = owner;
    }

    /// Takes what an owner says.
    pub fn hear(&mut self, owner: &InstanceId, summaries: &[ShardSummary]) {
        for summary in summaries {
            let info = self.known.entry(summary.shard.clone()).or_default();
            if info.owner.as_ref() == Some(owner) && info.epoch == summary.epoch {
                info.summary = Some(summary.clone());
                info.asked_since = 0;
                info.fresh = true;
            }
        }
    }

    /// Takes note of an ask just sent.
    pub fn note_ask(&mut self, shard: &Shard, prefix: &[u64]) {
        if let Some(info) = self.known.get_mut(shard) {
            info.asked_since += 1;
        }
        if self.prefixes.len() >= PREFIXES {
            self.prefixes.pop_first();
        }
        if let Some(block) = prefix.first() {
            self.prefixes.insert(*block, shard.data_centre.clone());
        }
    }

    /// Whether any target of a service may take work now.
    #[must_use]
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.of(service).any(|(_, info)| info.targets > 0)
    }

    /// The shard to ask for a request, and its owner.
    #[must_use]
    pub fn choose(&self, service: &ServiceId, prefix: &[u64]) -> Option<(Shard, InstanceId)> {
        let usable = self.of(service).filter(|(_, info)| info.targets > 0);
        let scored = usable.filter_map(|(shard, info)| {
            let owner = info.owner.clone()?;
            Some((self.score(shard, info, prefix), shard, owner))
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some((best.1.clone(), best.2))
    }

    /// When a caller that was not served in time may come back with more hope.
    #[must_use]
    pub fn wait(&self, service: &ServiceId) -> Duration {
        let summaries = self
            .of(service)
            .filter_map(|(_, info)| info.summary.as_ref());
        let shortest = summaries.map(|s| s.wait_ms).min().unwrap_or_default();
        Duration::from_millis(u64::from(shortest)).max(LEAST_WAIT)
    }

    /// How many of `mine` asks that wait at a shard to move elsewhere, and where to.
    ///
    /// All instances see the same summaries. If each moved all its asks to the emptiest shard,
    /// the line would jump from shard to shard; one would notice lines of hundreds beside empty
    /// ones, changing places every heartbeat. So each moves its part of half the difference, and
    /// only once for each summary.
    pub fn plan_move(&mut self, from: &Shard, mine: usize) -> Option<Move> {
        let here = self.known.get_mut(from)?;
        if !std::mem::take(&mut here.fresh) {
            return None;
        }
        let (queued, targets) = line(here)?;
        let (to, owner) = self.choose(&from.service, &[])?;
        let (queued_there, targets_there) = line(self.known.get(&to)?)?;
        if to == *from {
            return None;
        }
        let level = (queued * targets_there - queued_there * targets) / (targets + targets_there);
        let part = mine as f32 / queued.max(1.0);
        let count = (level * part * MOVE_PART).round();
        (count >= 1.0).then_some(Move {
            to,
            owner,
            count: count as usize,
        })
    }

    fn of(&self, service: &ServiceId) -> impl Iterator<Item = (&Shard, &ShardInfo)> {
        self.known
            .iter()
            .filter(move |(shard, _)| shard.service == *service)
    }

    fn score(&self, shard: &Shard, info: &ShardInfo, prefix: &[u64]) -> f32 {
        let summary = info.summary.as_ref();
        let load = summary.map_or(0.0, |s| s.load);
        // The other instances see the same summaries and choose alike meanwhile; without
        // counting them, all would rush to the same shard from one summary to the next.
        let asked = info.asked_since * self.instances;
        let queued = summary.map_or(0, |s| s.queued) + asked;
        let targets = summary.map_or(info.targets, |s| s.targets).max(1);
        let mut score = load + share(queued, targets);
        if self.home.as_ref() != Some(&shard.data_centre) {
            score += REMOTE;
        }
        if summary.is_some_and(|s| !s.granting) {
            score += 1.0;
        }
        let seen = prefix.first().and_then(|block| self.prefixes.get(block));
        if load < AFFINITY_LOAD && seen == Some(&shard.data_centre) {
            score -= AFFINITY;
        }
        score
    }
}

fn share(queued: u32, targets: u32) -> f32 {
    queued as f32 / targets as f32
}

/// PermitRequests that wait at a shard and its targets, as its owner said.
fn line(info: &ShardInfo) -> Option<(f32, f32)> {
    let summary = info.summary.as_ref().filter(|s| s.granting)?;
    Some((summary.queued as f32, summary.targets.max(1) as f32))
}
