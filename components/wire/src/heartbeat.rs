//! Signs of life between instances.

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, DataCentreId, Epoch, InstanceId, Moment, Shard};

/// What an instance knows about the ownership of a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownOwner {
    /// The shard.
    pub shard: Shard,
    /// The term of ownership.
    pub epoch: Epoch,
    /// The owner that is followed; `None` if it is lost.
    pub owner: Option<InstanceId>,
}

/// What an owner tells entries about a shard, so that they can choose between shards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardSummary {
    /// The shard.
    pub shard: Shard,
    /// The term of ownership.
    pub epoch: Epoch,
    /// Whether the owner grants permits yet.
    pub granting: bool,
    /// Share of the shard's capacity in use, 0.0 to 1.0 and above when overbooked.
    pub load: f32,
    /// Asks waiting at the owner.
    pub queued: u32,
    /// Expected wait of a new normal ask, in milliseconds.
    pub wait_ms: u32,
    /// Targets that can take work.
    pub targets: u32,
}

/// Periodic sign of life, sent to every peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender's own clock at sending.
    pub stamp: Moment,
    /// The last stamp of the receiver that the sender has seen; `None` before the first.
    pub echo: Option<Moment>,
    /// Where the sender runs.
    pub data_centre: DataCentreId,
    /// Newest configuration the sender has in force.
    pub config_version: ConfigVersion,
    /// Set once the sender is shutting down; it gives up its shards.
    pub draining: bool,
    /// Shards that the sender owns, with what entries need to choose among them.
    pub owned: Vec<ShardSummary>,
    /// For shards owned by the receiver: the ownership that the sender follows. For shards that
    /// the receiver claims in an outdated term: the newest term that the sender knows.
    pub follows: Vec<KnownOwner>,
    /// A digest of what the sender knows of requests that crash targets.
    pub quarantine: u64,
}
