//! What goes into membership and what comes out.

use std::{collections::BTreeSet, time::Duration};

use types::{ConfigVersion, DataCentreId, Epoch, Incarnation, InstanceId, Member, Shard};
use wire::{Heartbeat, ShardSummary};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The platform's list was read.
    Listed(Vec<Member>),
    /// A peer's heartbeat came.
    Heartbeat {
        /// The peer.
        from: InstanceId,
        /// Which life of the peer.
        incarnation: Incarnation,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// A new owner asked what this instance holds.
    Queried {
        /// The owner.
        from: InstanceId,
        /// The shard.
        shard: Shard,
        /// The owner's term.
        epoch: Epoch,
    },
    /// A peer's address refused a connection: its process is gone.
    ConnectionRefused {
        /// The peer.
        peer: InstanceId,
    },
    /// The shards that exist now.
    Shards(BTreeSet<Shard>),
    /// This process was not running for a while.
    Paused {
        /// For how long.
        gap: Duration,
    },
    /// The shutdown has begun: own nothing from now on.
    Drain,
    /// Time passed.
    Tick,
}

/// Something that others have to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// This instance owns a shard from now on and should ask these entries what they hold.
    Own {
        /// The shard.
        shard: Shard,
        /// The term.
        epoch: Epoch,
        /// Entries that are heard, this instance among them.
        entries_to_query: Vec<InstanceId>,
    },
    /// Somebody else owns a shard, or nobody.
    Follow {
        /// The shard.
        shard: Shard,
        /// The owner.
        owner: Option<InstanceId>,
        /// The owner's term.
        epoch: Epoch,
    },
    /// Whether this instance's ownership is certainly the only one.
    ExclusivityChanged {
        /// The shard.
        shard: Shard,
        /// The answer.
        exclusive: bool,
    },
    /// A peer is heard for the first time, or again.
    PeerAlive {
        /// The peer.
        peer: InstanceId,
    },
    /// A peer is no longer heard.
    PeerUnresponsive {
        /// The peer.
        peer: InstanceId,
    },
    /// A peer is gone for good, its permits have lapsed.
    PeerGone {
        /// The peer.
        peer: InstanceId,
    },
    /// What an owner says about its shards.
    Summary {
        /// The owner.
        owner: InstanceId,
        /// Its shards.
        shards: Vec<ShardSummary>,
    },
    /// A peer has this configuration in force.
    PeerConfig {
        /// The peer.
        peer: InstanceId,
        /// The version.
        version: ConfigVersion,
    },
}

/// Who this instance is.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Its name.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Which life of the instance this is.
    pub incarnation: Incarnation,
}
