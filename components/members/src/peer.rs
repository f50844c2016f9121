//! What is known about one peer.

use std::collections::BTreeMap;

use types::{ConfigVersion, DataCentreId, Epoch, Incarnation, Moment, Shard};

use crate::times::{GONE, SILENT};

/// A peer's statement that it follows this instance for a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Following {
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
    pub heard: Moment,
    /// Its clock at its last heartbeat, to be echoed.
    pub stamp: Moment,
    /// Whether it shuts down.
    pub draining: bool,
    /// Whether its address refuses connections since it was heard last.
    pub refused: bool,
    /// Whether `Silent` was told.
    pub told_silent: bool,
    /// Whether `Gone` was told.
    pub told_gone: bool,
    /// The configuration it has in force.
    pub config_version: ConfigVersion,
    /// Shards that it claims to own, with its term.
    pub claims: BTreeMap<Shard, Epoch>,
    /// Shards of ours that it follows.
    pub follows: BTreeMap<Shard, Following>,
}

impl Peer {
    /// Whether it counts as alive.
    #[must_use]
    pub fn alive(&self, now: Moment) -> bool {
        !self.refused && now.saturating_sub(self.heard) < SILENT
    }

    /// Whether no permit in its hands can be usable any more.
    #[must_use]
    pub fn gone(&self, now: Moment) -> bool {
        now.saturating_sub(self.heard) >= GONE
    }
}
