//! The inputs that membership handles and the changes that it reports.

use std::{collections::BTreeSet, time::Duration};

use types::{ConfigVersion, DataCentreId, Epoch, Incarnation, InstanceId, Member, Shard};
use wire::{Heartbeat, ShardSummary};

/// An event that membership handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The platform's list of instances was read.
    Listed(Vec<Member>),
    /// A heartbeat arrived from a peer.
    Heartbeat {
        /// The peer.
        from: InstanceId,
        /// The incarnation of the peer that sent it.
        incarnation: Incarnation,
        /// Content of the heartbeat.
        heartbeat: Heartbeat,
    },
    /// A new owner queried the permits that this instance holds.
    Queried {
        /// The owner.
        from: InstanceId,
        /// The shard.
        shard: Shard,
        /// The owner's term.
        epoch: Epoch,
    },
    /// A peer's address refused a connection, so its process no longer runs.
    ConnectionRefused {
        /// The peer.
        peer: InstanceId,
    },
    /// The complete set of shards.
    Shards(BTreeSet<Shard>),
    /// This process did not run for a while.
    Paused {
        /// Duration of the pause.
        gap: Duration,
    },
    /// The shutdown has begun: the instance owns no shard from now on.
    Drain,
    /// A periodic tick, on which timeouts are checked.
    Tick,
}

/// A change of membership or ownership that other parts of the instance act on.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// This instance became the owner of a shard and must query the permits that these entries
    /// hold.
    Own {
        /// The shard.
        shard: Shard,
        /// The term.
        epoch: Epoch,
        /// All instances that are alive, including this one.
        entries_to_query: Vec<InstanceId>,
    },
    /// Another instance became the owner of a shard, or the shard lost its owner.
    Follow {
        /// The shard.
        shard: Shard,
        /// The owner, if there is one.
        owner: Option<InstanceId>,
        /// The owner's term.
        epoch: Epoch,
    },
    /// This instance's ownership of a shard became, or ceased to be, certainly the only one.
    ExclusivityChanged {
        /// The shard.
        shard: Shard,
        /// Whether the ownership is exclusive now.
        exclusive: bool,
    },
    /// A peer became alive: its first heartbeat arrived, or the first after it was unresponsive.
    PeerAlive {
        /// The peer.
        peer: InstanceId,
    },
    /// A peer stopped responding.
    PeerUnresponsive {
        /// The peer.
        peer: InstanceId,
    },
    /// A peer is gone, and all permits that it held have expired.
    PeerGone {
        /// The peer.
        peer: InstanceId,
    },
    /// An owner reported the state of its shards.
    Summary {
        /// The owner.
        owner: InstanceId,
        /// Its shards.
        shards: Vec<ShardSummary>,
    },
    /// A peer reported the version of the configuration that it has in force.
    PeerConfig {
        /// The peer.
        peer: InstanceId,
        /// The version.
        version: ConfigVersion,
    },
}

/// The identity of this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Name of the instance.
    pub id: InstanceId,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The incarnation, which grows with every start of the process.
    pub incarnation: Incarnation,
}
