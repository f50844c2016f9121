//! The messages between instances, encoded with MessagePack.
//!
//! Structs are encoded as arrays and variants by name, so the order of fields and the outer names
//! of variants are part of the protocol.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::Display;
use placing::{
    GenerationId, GenerationUpdate, Migration, MigrationOutcome, PlacementAnswer, PlacementRequest,
    StateSync,
};
use quarantine::{Evidence, PartEvidence, PartVerdict, Verdict};
use rates::{RateReport, Reservation};
use rollouts::{Directive, Outcome, Report};
use serde::{Deserialize, Serialize};
use types::{DataCentreId, InstanceId, ServiceId, StoreVersion, TargetId, VersionId, bounded};

use crate::{
    adapters::{EngineAnswer, EngineReport, KvCopyOutcome},
    rollouts::record::RolloutRecord,
};

/// An instance as the others know it. Also stored as JSON in the table of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The instance's id.
    pub id: InstanceId,
    /// The address for messages of other instances.
    pub addr: SocketAddr,
    /// When this incarnation started, in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Its capacity in thousandths of a core: its share of the processors, or less if its network
    /// link is narrow.
    pub capacity: u32,
    /// Its data centre; empty if written by a version without this field.
    #[serde(default)]
    pub data_centre: DataCentreId,
}

impl Member {
    /// Whether `other` differs in nothing but the time of its start.
    #[must_use]
    pub fn is_same_except_start(&self, other: &Self) -> bool {
        let identity = |m: &Self| {
            (
                Arc::clone(&m.id),
                m.addr,
                m.capacity,
                Arc::clone(&m.data_centre),
            )
        };
        identity(self) == identity(other)
    }
}

/// A part of the store that instances follow as a whole.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{}", self.name())]
pub enum Topic {
    /// The configuration, and the data centres taken out of service.
    Operator,
    /// The listed targets.
    Targets,
    /// The instances, and the records of quarantined requests.
    Members,
}

impl Topic {
    /// The topic's name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Targets => "targets",
            Self::Members => "members",
        }
    }
}

/// A row of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The key.
    pub key: Arc<str>,
    /// The content; none if the row was deleted.
    pub value: Option<Arc<[u8]>>,
    /// The store version that wrote or deleted it.
    pub version: StoreVersion,
}

impl Row {
    /// Bytes of the key and the content.
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

/// All rows of a topic, or those that have changed since a version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicUpdate {
    /// All existing rows if the update is full; else those that were changed or deleted.
    pub rows: Vec<Row>,
    /// The version up to which changes are included.
    pub version: StoreVersion,
    /// The version after which changes are included, if the update is not full.
    pub after: StoreVersion,
    /// Whether these are all rows.
    #[serde(rename = "whole")]
    pub is_full: bool,
}

/// A message from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A request to place a generation on an engine.
    #[serde(rename = "Ask")]
    Place(PlacementRequest),
    /// Updates on generations that the receiver has placed.
    #[serde(rename = "Notes")]
    GenerationUpdates(Vec<GenerationUpdate>),
    /// The generations that the sender has running on the engines of one shard.
    Sync {
        /// The sender.
        member: Member,
        /// Its generations.
        #[serde(rename = "held")]
        state: StateSync,
        /// The revision of the receiver's list of members that the sender knows.
        #[serde(rename = "known")]
        known_revision: u64,
        /// The digest of the sender's quarantine state.
        #[serde(rename = "quarantine")]
        quarantine_digest: u64,
    },
    /// A target crashed while it ran a request of the sender; the receiver aggregates the evidence.
    #[serde(rename = "Ended")]
    TargetCrashed(Evidence),
    /// Verdicts on requests during which targets crashed.
    #[serde(rename = "Words")]
    Verdicts(Vec<Verdict>),
    /// A target crashed while it ran a request of the sender that had not proved sound.
    PartCrashed(PartEvidence),
    /// Verdicts on parts of prompts.
    PartVerdicts(Vec<PartVerdict>),
    /// The sender's verdicts on parts of prompts, in exchange for the receiver's.
    ExchangePartVerdicts(Vec<PartVerdict>),
    /// A request to send one request of a service as a probe, to the aggregator.
    RequestProbe {
        /// The service.
        service: ServiceId,
    },
    /// A target's rate limit for all instances together.
    #[serde(rename = "Limit")]
    RateReport(RateReport),
    /// A request for a reservation of a target's rate limit, to its coordinator.
    #[serde(rename = "Slot")]
    ReserveRate {
        /// The limit as the sender knows it.
        #[serde(rename = "limit")]
        report: RateReport,
        /// The longest time that the request can wait.
        #[serde(rename = "patience", deserialize_with = "bounded")]
        max_wait: Duration,
    },
    /// The sender's counts of a rollout, to its coordinator.
    RolloutReport(Report),
    /// A version is about to be rolled back, and gets no further requests.
    RolloutSuspended {
        /// The service.
        service: ServiceId,
        /// The version that is rolled out.
        version: VersionId,
    },
    /// A rollout has ended.
    RolloutEnded {
        /// The service.
        service: ServiceId,
        /// The version that was rolled out.
        version: VersionId,
        /// How it has ended.
        outcome: Outcome,
    },
    /// A question how the rollout that a record stands for has ended.
    AskRolloutEnd(RolloutRecord),
    /// An order to migrate a generation to another engine.
    #[serde(rename = "Carry")]
    Migrate(Migration),
    /// A question whether the receiver can connect to a target that refuses the sender.
    CheckTarget {
        /// The target.
        target: TargetId,
        /// Start of its process in Unix milliseconds, if known.
        started_at: Option<u64>,
    },
    /// A request for the report of an engine that the sender can't connect to.
    EngineReport {
        /// The engine.
        target: TargetId,
        /// Start of its process in Unix milliseconds, if known.
        started_at: Option<u64>,
        /// The longest time that the engine may take.
        #[serde(deserialize_with = "bounded")]
        timeout: Duration,
    },
    /// A request to an engine that the sender can't connect to, to copy a generation's memory.
    CopyKv {
        /// The engine that runs the generation.
        target: TargetId,
        /// Start of its process in Unix milliseconds, if known.
        started_at: Option<u64>,
        /// The generation.
        generation: GenerationId,
        /// The address of the engine that receives the copy.
        to: SocketAddr,
        /// Stop the generation before copying.
        is_final: bool,
        /// The longest time for the copy.
        #[serde(deserialize_with = "bounded")]
        timeout: Duration,
    },
    /// An engine on which the sender has generations running is about to stop.
    #[serde(rename = "Leaving")]
    TargetLeaving {
        /// The engine.
        target: TargetId,
        /// Start of its process in Unix milliseconds, if known: a later incarnation does not leave.
        started_at: Option<u64>,
    },
    /// The sender introduces itself.
    Hello {
        /// The sender.
        member: Member,
        /// Whether it asks for the leading members in return.
        #[serde(rename = "asks")]
        wants_leaders: bool,
    },
    /// A request for the changes of a topic.
    Follow {
        /// The topic.
        topic: Topic,
        /// The version that the sender knows, if any.
        after: Option<StoreVersion>,
        /// The longest time that the receiver may wait for changes.
        #[serde(deserialize_with = "bounded")]
        wait: Duration,
    },
}

impl Message {
    /// The message's topic in metrics.
    #[must_use]
    pub const fn topic(&self) -> &'static str {
        match self {
            Self::Place(_) => "ask",
            Self::GenerationUpdates(_) => "notes",
            Self::Sync { .. } => "sync",
            Self::Migrate(_) => "carry",
            Self::CheckTarget { .. } | Self::EngineReport { .. } | Self::CopyKv { .. } => "engines",
            Self::TargetLeaving { .. } => "leaving",
            Self::Hello { .. } => "hello",
            Self::TargetCrashed(_)
            | Self::Verdicts(_)
            | Self::PartCrashed(_)
            | Self::PartVerdicts(_)
            | Self::ExchangePartVerdicts(_)
            | Self::RequestProbe { .. } => "quarantine",
            Self::RateReport(_) | Self::ReserveRate { .. } => "rates",
            Self::RolloutReport(_)
            | Self::RolloutSuspended { .. }
            | Self::RolloutEnded { .. }
            | Self::AskRolloutEnd(_) => "rollouts",
            Self::Follow { topic, .. } => topic.name(),
        }
    }
}

/// Whether an instance reaches a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reachability {
    /// Connections to it open.
    Reached,
    /// Connections to it don't open, while those to other targets do.
    NotReached,
    /// The instance can't tell: it does not know the target, or reaches no other either.
    Unknown,
    /// Connections to it don't open, but it sends events of a generation that the instance still receives.
    Heard {
        /// Time since the last event.
        #[serde(deserialize_with = "bounded")]
        age: Duration,
    },
}

/// The reply to a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// To a placement request.
    #[serde(rename = "Answer")]
    Placement(PlacementAnswer),
    /// To verdicts in exchange: the replier's.
    PartVerdicts(Vec<PartVerdict>),
    /// To a request for a probe: whether it may be sent.
    Probe(bool),
    /// To a request for a reservation.
    #[serde(rename = "Slot")]
    Reservation(Reservation),
    /// To a report on a rollout.
    RolloutDirective(Directive),
    /// To updates, reports and verdicts, and to a hello that asks for nothing.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// To a sync: members seen recently; to a hello that asks for them: the leading members.
    Members {
        /// Members that the sender of the message may not know.
        members: Vec<Member>,
        /// The revision of the replier's list of members that the sender now knows.
        #[serde(rename = "mark")]
        revision: u64,
        /// Verdicts in which the sender's quarantine state differs.
        #[serde(rename = "words")]
        verdicts: Vec<Verdict>,
        /// The digest of the replier's quarantine state.
        #[serde(rename = "quarantine")]
        quarantine_digest: u64,
    },
    /// To a question about a target.
    TargetChecked(Reachability),
    /// To a request for an engine's report: the engine's answer; none if it was not reached.
    EngineReport(Option<EngineAnswer<EngineReport>>),
    /// To a request to copy a generation's memory: the engine's answer; none if it was not reached.
    KvCopied(Option<EngineAnswer<KvCopyOutcome>>),
    /// To an order to migrate.
    #[serde(rename = "Carried")]
    Migrated(MigrationOutcome),
    /// The changes of a topic, and when the read that confirmed them was sent, relative to the
    /// arrival of the request: the clocks of two instances have nothing in common but the exchange
    /// itself.
    #[serde(rename = "News")]
    Update {
        /// The changes.
        #[serde(rename = "news")]
        update: TopicUpdate,
        /// How long before the arrival of the request the read was sent; zero if after it.
        #[serde(deserialize_with = "bounded")]
        before: Duration,
        /// How long after the arrival of the request the read was sent; zero if before it.
        #[serde(deserialize_with = "bounded")]
        after: Duration,
        /// Time from that read to this reply.
        #[serde(deserialize_with = "bounded")]
        age: Duration,
    },
    /// The replier's history of the topic does not reach back to the requested version. The store
    /// may have the changes in a few rows, whereas all rows of a large service would saturate a
    /// narrow link.
    #[serde(rename = "Behind")]
    HistoryGone {
        /// The version from which on the replier has all changes.
        from: StoreVersion,
    },
    /// The replier has no data on the topic yet.
    #[serde(rename = "Nothing")]
    NoData,
}
