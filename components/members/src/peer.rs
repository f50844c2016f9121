//! What is known about one peer.

use std::collections::BTreeMap;

use types::{ConfigVersion, DataCentreId, Epoch, Incarnation, Moment, Shard};

use crate::timeouts::{GONE_TIMEOUT, HEARTBEAT_TIMEOUT};

/// A peer's statement that it follows this instance for a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowStatement {
    /// The term it follows.
    pub epoch: Epoch,
    /// Our own clock at the heartbeat that the statement answers.
    pub echo: Moment,
}

/// One peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Which life of it was heard last.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// When it was heard last, on our clock.
    pub last_seen: Moment,
    /// Its clock at its last heartbeat, to be echoed.
    pub stamp: Moment,
    /// Whether it shuts down.
    pub draining: bool,
    /// Whether its address refuses connections since it was heard last.
    pub connection_refused: bool,
    /// Whether `Silent` was told.
    pub unresponsive_reported: bool,
    /// Whether `Gone` was told.
    pub gone_reported: bool,
    /// The configuration it has in force.
    pub config_version: ConfigVersion,
    /// Shards that it claims to own, with its term.
    pub owned_shards: BTreeMap<Shard, Epoch>,
    /// Shards of ours that it follows.
    pub follows: BTreeMap<Shard, FollowStatement>,
}

impl Peer {
    /// Whether it counts as alive.
    #[must_use]
    pub fn is_alive(&self, now: Moment) -> bool {
        !self.connection_refused && now.saturating_sub(self.last_seen) < HEARTBEAT_TIMEOUT
    }

    /// Whether no permit in its hands can be usable any more.
    #[must_use]
    pub fn is_gone(&self, now: Moment) -> bool {
        now.saturating_sub(self.last_seen) >= GONE_TIMEOUT
    }
}
