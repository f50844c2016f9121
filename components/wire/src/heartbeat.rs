//! Heartbeats between instances.

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, DataCentreId, Epoch, InstanceId, Moment, Shard};

/// Ownership of a shard as an instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownOwner {
    /// Id of the shard.
    pub shard: Shard,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Owner that the instance follows; `None` if it was lost.
    pub owner: Option<InstanceId>,
}

/// State of a shard that its owner publishes, so that entries can choose between shards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardSummary {
    /// Id of the shard.
    pub shard: Shard,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Whether the owner already grants permits.
    pub granting: bool,
    /// Used share of the shard's capacity; above 1.0 if overbooked.
    pub load: f32,
    /// Number of permit requests that wait at the owner.
    pub queued: u32,
    /// Expected wait of a new permit request of class `Normal`, in milliseconds.
    pub wait_ms: u32,
    /// Number of targets that accept work.
    pub targets: u32,
}

/// Heartbeat, sent to every peer periodically.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender's clock at the time of sending.
    pub stamp: Moment,
    /// Latest `stamp` that the sender has received from the receiver; `None` before the first.
    pub echo: Option<Moment>,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Version of the configuration that the sender has in force.
    pub config_version: ConfigVersion,
    /// Whether the sender is shutting down and gives up its shards.
    pub draining: bool,
    /// Shards that the sender owns.
    pub owned: Vec<ShardSummary>,
    /// For shards that the receiver owns: the ownership that the sender follows. For shards that
    /// the receiver claims with an outdated epoch: the latest epoch that the sender knows.
    pub follows: Vec<KnownOwner>,
    /// Digest of the sender's quarantine state, which covers requests that crash targets.
    pub quarantine: u64,
}
