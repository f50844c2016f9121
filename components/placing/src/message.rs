//! What instances tell one another about generations.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use types::{DataCentreId, InstanceId, RouteId, ServiceId, TargetId, Tokens};

use crate::shard::Shard;

/// Id of one generation: that of its request.
pub type GenerationId = Arc<str>;

/// What stays the same of a request when its caller sends it again under another id.
pub type RequestDigest = u64;

/// An entry asks for an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// The generation.
    #[serde(rename = "run")]
    pub generation: GenerationId,
    /// The request, whatever its id.
    pub digest: RequestDigest,
    /// Who asks.
    pub entry: InstanceId,
    /// The entry's data centre.
    pub data_centre: DataCentreId,
    /// The part of the service's engines that is asked for.
    pub shard: Shard,
    /// The route, by which lengths are learned.
    pub route: RouteId,
    /// Tokens of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// Tokens of the longest answer allowed.
    #[serde(rename = "longest")]
    pub max_tokens: Tokens,
    /// The caller's estimate of the answer's tokens.
    #[serde(rename = "hint")]
    pub length_hint: Option<Tokens>,
    /// Rank, the lowest first.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Time left until the first event should be out, counted from this request's arrival.
    #[serde(rename = "aim_left")]
    pub objective_left: Duration,
    /// Time that the caller still waits.
    #[serde(rename = "left")]
    pub deadline_left: Duration,
    /// How long it has waited already.
    pub waited: Duration,
    /// Engines that have refused or failed it.
    pub avoid: Vec<TargetId>,
}

/// The owner's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlacementAnswer {
    /// Send it there.
    #[serde(rename = "Go")]
    Assigned {
        /// The engine.
        target: TargetId,
    },
    /// No room now; ask again.
    Wait {
        /// When.
        after: Duration,
    },
    /// No room in time; the caller should come back.
    #[serde(rename = "Full")]
    Rejected {
        /// When.
        after: Duration,
    },
}

/// What happened to a generation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GenerationUpdate {
    /// Its first event has come.
    Started {
        /// The generation.
        #[serde(rename = "run")]
        generation: GenerationId,
    },
    /// It holds nothing any more.
    Ended {
        /// The generation.
        #[serde(rename = "run")]
        generation: GenerationId,
        /// The engine refused or failed it.
        #[serde(rename = "doubt")]
        target_failed: bool,
        /// Tokens that it made, if it came to its end.
        #[serde(rename = "made")]
        tokens_generated: Option<Tokens>,
    },
}

/// A generation that an entry holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ActiveGeneration {
    /// The generation.
    #[serde(rename = "run")]
    pub generation: GenerationId,
    /// Its service.
    pub service: ServiceId,
    /// The engine.
    pub target: TargetId,
    /// Tokens of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// Tokens made so far.
    #[serde(rename = "made")]
    pub tokens_generated: Tokens,
    /// Its route.
    pub route: RouteId,
    /// Tokens of the longest answer allowed.
    #[serde(rename = "longest")]
    pub max_tokens: Tokens,
    /// The caller's estimate of the answer's tokens.
    #[serde(rename = "hint")]
    pub length_hint: Option<Tokens>,
    /// Rank, the lowest first.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Whether its first event has come.
    pub started: bool,
}

/// All that an entry holds on engines of one account, sent to the owner from time to time: what single notes lost on their
/// way, and what a new owner must learn.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StateSync {
    /// The entry.
    pub entry: InstanceId,
    /// The part of a service's engines that this is about.
    pub shard: Shard,
    /// What it holds there.
    #[serde(rename = "runs")]
    pub generations: Vec<ActiveGeneration>,
}

/// How full an engine is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub target: TargetId,
    /// Time until it has read the prompts that it was given.
    #[serde(rename = "busy")]
    pub prefill_backlog: Duration,
    /// Generations there.
    #[serde(rename = "runs")]
    pub generations: u32,
}

/// An order to an entry: carry a generation over to another engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Migration {
    /// The generation.
    #[serde(rename = "run")]
    pub generation: GenerationId,
    /// Where it runs.
    pub from: TargetId,
    /// Where it is to go on.
    pub to: TargetId,
}

/// How carrying over ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MigrationOutcome {
    /// It goes on at the other engine.
    Done,
    /// The other engine has no room, or can't be reached; the generation still runs.
    NoRoom,
    /// There is nothing to move: not begun, ended, or held by somebody else.
    Nothing,
    /// It was lost on the way.
    Lost,
}
