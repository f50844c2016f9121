//! What instances send one another.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use derive_more::Display;
use placing::{
    GenerationUpdate, Migration, MigrationOutcome, PlacementAnswer, PlacementRequest, StateSync,
};
use quarantine::{Evidence, Verdict};
use rates::{RateReport, Reservation};
use serde::{Deserialize, Serialize};
use types::{DataCentreId, InstanceId, TargetId};

/// An instance, as others reach it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub id: InstanceId,
    /// Where it listens for other instances.
    pub addr: SocketAddr,
    /// When this life of it began, in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Its strength in thousandths of a core: its share of processors, or less where its link is
    /// narrow.
    pub capacity: u32,
    /// Its data centre; empty where a version that does not tell it has written this.
    #[serde(default)]
    pub data_centre: DataCentreId,
}

impl Member {
    /// Whether others reach and rank it like `other`, in whichever life.
    #[must_use]
    pub fn is_reached_like(&self, other: &Self) -> bool {
        let of = |m: &Self| {
            (
                Arc::clone(&m.id),
                m.addr,
                m.capacity,
                Arc::clone(&m.data_centre),
            )
        };
        of(self) == of(other)
    }
}

/// What is followed in the store.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{}", self.name())]
pub enum Topic {
    /// Configuration and data centres that are taken out.
    Operator,
    /// Listings of targets.
    Targets,
    /// Instances of this system.
    Members,
}

impl Topic {
    /// Its name, for metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Targets => "targets",
            Self::Members => "members",
        }
    }
}

/// One row of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Its key.
    pub key: Arc<str>,
    /// Its content; none if it was dropped.
    pub value: Option<Arc<[u8]>>,
    /// The version that wrote or dropped it.
    pub version: u64,
}

/// What one read of a topic brought.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicUpdate {
    /// Rows that changed, or all.
    pub rows: Vec<Row>,
    /// Changes up to here are in.
    pub version: u64,
    /// Changes from here on are in, where not all rows are.
    pub after: u64,
    /// All rows there are.
    #[serde(rename = "whole")]
    pub is_full: bool,
}

/// What one instance sends to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// An ask for an engine.
    Ask(PlacementRequest),
    /// What happened to generations.
    Notes(Vec<GenerationUpdate>),
    /// All that an entry holds on engines of one account.
    Sync {
        /// The entry as a member.
        member: Member,
        /// What it holds.
        held: StateSync,
        /// Members that the receiver told of up to this mark are known.
        known: u64,
        /// What is known of requests that crash targets.
        quarantine: u64,
    },
    /// A target ended while it ran a request for the sender; the receiver sums such evidence up.
    Ended(Evidence),
    /// How requests are taken under which targets ended.
    Words(Vec<Verdict>),
    /// What a target has said of the rate that it takes from all instances together.
    #[serde(rename = "Limit")]
    RateReport(RateReport),
    /// An ask for a slot of that rate, to the one that hands it out.
    #[serde(rename = "Slot")]
    ReserveRate {
        /// What the sender knows of the rate.
        #[serde(rename = "limit")]
        report: RateReport,
        /// How long the request can wait.
        #[serde(rename = "patience")]
        max_wait: Duration,
    },
    /// An order to carry a generation over.
    Carry(Migration),
    /// The sender has heard that an engine leaves, on which it has generations running.
    Leaving(TargetId),
    /// A member makes itself known.
    Hello {
        /// The member.
        member: Member,
        /// Whether it wants to be told who leads.
        asks: bool,
    },
    /// A question for what is new on a topic.
    Follow {
        /// The topic.
        topic: Topic,
        /// What the asker knows already.
        after: Option<u64>,
        /// How long it may be kept waiting.
        wait: Duration,
    },
}

impl Message {
    /// What it is about, for metrics.
    #[must_use]
    pub const fn topic(&self) -> &'static str {
        match self {
            Self::Ask(_) => "ask",
            Self::Notes(_) => "notes",
            Self::Sync { .. } => "sync",
            Self::Carry(_) => "carry",
            Self::Leaving(_) => "leaving",
            Self::Hello { .. } => "hello",
            Self::Ended(_) | Self::Words(_) => "quarantine",
            Self::RateReport(_) | Self::ReserveRate { .. } => "rates",
            Self::Follow { topic, .. } => topic.name(),
        }
    }
}

/// What comes back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// To an ask.
    Answer(PlacementAnswer),
    /// To an ask for a slot.
    #[serde(rename = "Slot")]
    Reservation(Reservation),
    /// To notes, to word of requests that crash targets or of rates, and to a hello that asks nothing.
    Noted,
    /// To a sync: members that were heard lately; to a hello that asks: those that lead.
    Members {
        /// Those that the asker may not know.
        members: Vec<Member>,
        /// The mark up to which it knows all now.
        #[serde(rename = "mark")]
        revision: u64,
        /// How requests are taken under which targets ended, where the asker knows otherwise.
        words: Vec<Verdict>,
        /// What is known here of such requests.
        quarantine: u64,
    },
    /// To an order to carry over.
    Carried(MigrationOutcome),
    /// What is new on a topic, and when the read was sent that confirmed it, as told from when
    /// the question arrived: the asker knows when it sent the question, and nothing else that
    /// both clocks have in common.
    News {
        /// It.
        news: TopicUpdate,
        /// The read was sent so long before the question arrived, if it was.
        before: Duration,
        /// The read was sent so long after the question arrived, if it was.
        after: Duration,
        /// Time from that read to this reply.
        age: Duration,
    },
    /// The receiver knows the topic, but not what has changed since the asker's version: the store
    /// may tell that in a few rows, and all rows of a large service would fill a narrow link.
    Behind {
        /// It can tell what has changed since this version.
        from: u64,
    },
    /// The receiver knows nothing of a topic.
    Nothing,
}
