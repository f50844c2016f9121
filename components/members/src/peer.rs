//! The state of one peer, as its heartbeats report it.

use std::collections::BTreeMap;

use types::{ConfigVersion, DataCentreId, Epoch, Incarnation, Moment, Shard};

use crate::timeouts::{GONE_TIMEOUT, HEARTBEAT_TIMEOUT};

/// A peer's statement that it follows this instance as the owner of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowStatement {
    /// The term in which it follows.
    pub epoch: Epoch,
    /// This instance's clock when it sent the heartbeat that the statement answers.
    pub echo: Moment,
}

/// A peer from which at least one heartbeat has arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The incarnation that sent the last heartbeat.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// When its last heartbeat arrived, on this instance's clock.
    pub last_seen: Moment,
    /// The peer's clock at its last heartbeat; it is echoed in heartbeats to the peer.
    pub stamp: Moment,
    /// Whether the peer is shutting down.
    pub draining: bool,
    /// Whether its address has refused a connection since its last heartbeat.
    pub connection_refused: bool,
    /// Whether `Change::PeerUnresponsive` was reported since the last heartbeat.
    pub unresponsive_reported: bool,
    /// Whether `Change::PeerGone` was reported since the last heartbeat.
    pub gone_reported: bool,
    /// The version of the configuration that it has in force.
    pub config_version: ConfigVersion,
    /// Shards that the peer states to own, with its term for each.
    pub owned_shards: BTreeMap<Shard, Epoch>,
    /// Shards for which the peer follows this instance.
    pub follows: BTreeMap<Shard, FollowStatement>,
}

impl Peer {
    /// Whether the peer counts as alive.
    #[must_use]
    pub fn is_alive(&self, now: Moment) -> bool {
        !self.connection_refused && now.saturating_sub(self.last_seen) < HEARTBEAT_TIMEOUT
    }

    /// Whether all permits that the peer held have certainly expired.
    #[must_use]
    pub fn is_gone(&self, now: Moment) -> bool {
        now.saturating_sub(self.last_seen) >= GONE_TIMEOUT
    }
}
