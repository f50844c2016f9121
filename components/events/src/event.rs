//! All events that the program logs. `docs/EVENTS.md` is their catalogue.
//!
//! Numbers never change meaning. Ranges: 100 life of the process, 200 members and ownership,
//! 300 decisions, 400 callers, 500 targets, 600 platform and claims, 700 configuration,
//! 800 administration.

use std::sync::Arc;

use derive_more::Display;
use types::{ConfigVersion, Epoch, InstanceId, Shard};

/// Severity of an event.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// An operator is needed now.
    #[display("error")]
    Error,
    /// An operator may be needed.
    #[display("warn")]
    Warn,
    /// What happened.
    #[display("info")]
    Info,
    /// Details for maintainers.
    #[display("debug")]
    Debug,
}

/// Something worth a log line.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Event {
    /// 100: the instance has started.
    #[display("instance {instance} has started")]
    Started {
        /// Its name.
        instance: InstanceId,
    },
    /// 101: a shutdown has begun.
    #[display("shutdown begins, {open} requests are running")]
    Draining {
        /// Requests that are still running.
        open: usize,
    },
    /// 102: the process ends.
    #[display("all work is done, the process ends")]
    Stopped,
    /// 103: the process did not run for a while.
    #[display("the process did not run for {gap_ms} ms; it gives up its shards")]
    Paused {
        /// Length of the gap in milliseconds.
        gap_ms: u64,
    },
    /// 200: a peer is heard for the first time, or again.
    #[display("peer {peer} is heard")]
    PeerHeard {
        /// The peer.
        peer: InstanceId,
    },
    /// 201: a peer is no longer heard.
    #[display("peer {peer} is silent")]
    PeerSilent {
        /// The peer.
        peer: InstanceId,
    },
    /// 202: this instance owns a shard now.
    #[display("owner of {shard} in term {epoch}")]
    Owning {
        /// The shard.
        shard: Shard,
        /// The term.
        epoch: Epoch,
    },
    /// 203: this instance no longer owns a shard.
    #[display("no longer owner of {shard}")]
    Disowned {
        /// The shard.
        shard: Shard,
    },
    /// 600: the table service can't be reached.
    #[display("the table service can't be reached: {reason}")]
    TableDown {
        /// Why.
        reason: Arc<str>,
    },
    /// 601: the table service answers again.
    #[display("the table service answers again")]
    TableUp,
    /// 700: a configuration is in force.
    #[display("configuration {version} is in force")]
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
    },
    /// 701: no configuration was found, neither at the table service nor at a peer.
    #[display("no configuration found yet, not ready: {reason}")]
    ConfigMissing {
        /// Why the table service gave none.
        reason: Arc<str>,
    },
}

impl Event {
    /// Its number in the catalogue.
    #[must_use]
    pub const fn number(&self) -> u16 {
        match self {
            Self::Started { .. } => 100,
            Self::Draining { .. } => 101,
            Self::Stopped => 102,
            Self::Paused { .. } => 103,
            Self::PeerHeard { .. } => 200,
            Self::PeerSilent { .. } => 201,
            Self::Owning { .. } => 202,
            Self::Disowned { .. } => 203,
            Self::TableDown { .. } => 600,
            Self::TableUp => 601,
            Self::ConfigInForce { .. } => 700,
            Self::ConfigMissing { .. } => 701,
        }
    }

    /// Its severity.
    #[must_use]
    pub const fn level(&self) -> Level {
        match self {
            Self::Paused { .. }
            | Self::PeerSilent { .. }
            | Self::TableDown { .. }
            | Self::ConfigMissing { .. } => Level::Warn,
            _ => Level::Info,
        }
    }
}
