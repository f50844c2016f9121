//! Messages that instances exchange about the placement of generations.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use types::{
    DataCentreId, InstanceId, RouteId, ServiceId, TargetId, Tokens, VersionChoice, WorkspaceId,
    bounded,
};

use crate::{shard::Shard, speed::RelativeSpeed};

/// Id of a generation; the same as the id of its request.
pub type GenerationId = Arc<str>;

/// Hash of the request's content. It stays the same when the caller retries under another request
/// id.
pub type RequestDigest = u64;

/// Request of an entry for an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRequest {
    /// Generation to place.
    #[serde(rename = "run")]
    pub generation: GenerationId,
    /// Hash of the request's content.
    pub digest: RequestDigest,
    /// Entry that sends this.
    pub entry: InstanceId,
    /// Data centre of the entry.
    pub data_centre: DataCentreId,
    /// Shard whose engines are considered.
    pub shard: Shard,
    /// Route of the request; lengths are estimated by route.
    pub route: RouteId,
    /// Length of the prompt.
    #[serde(rename = "prompt", deserialize_with = "bounded")]
    pub prompt_tokens: Tokens,
    /// Maximum length of the answer.
    #[serde(rename = "longest", deserialize_with = "bounded")]
    pub max_tokens: Tokens,
    /// The caller's estimate of the answer's length in tokens.
    #[serde(rename = "hint", default, deserialize_with = "bounded")]
    pub length_hint: Option<Tokens>,
    /// Priority; lower values go first.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Priority of the route, whoever sends the request; lower values go first.
    pub route_priority: u32,
    /// Time left until the first event is due, counted from the arrival of this request.
    #[serde(rename = "aim_left", deserialize_with = "bounded")]
    pub objective_left: Duration,
    /// Time left until the caller gives up.
    #[serde(rename = "left", deserialize_with = "bounded")]
    pub deadline_left: Duration,
    /// Time since the arrival of this request.
    #[serde(deserialize_with = "bounded")]
    pub waited: Duration,
    /// Engines that have rejected or failed this request.
    pub avoid: Vec<TargetId>,
    /// Versions of engines that it may be sent to.
    pub versions: VersionChoice,
    /// Longest pause between two events for which the answer is on time, if its route sets one.
    #[serde(default, deserialize_with = "bounded")]
    pub max_pause: Option<Duration>,
    /// The caller's workspace, if the configuration has workspaces.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
}

/// Answer of the owner to a placement request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PlacementAnswer {
    /// An engine was assigned.
    #[serde(rename = "Go")]
    Assigned {
        /// Engine to send the request to.
        target: TargetId,
    },
    /// No engine has room now; the entry retries later.
    Wait {
        /// Time after which to retry.
        #[serde(deserialize_with = "bounded")]
        after: Duration,
    },
    /// No engine will have room in time; the caller is told to retry.
    #[serde(rename = "Full")]
    Rejected {
        /// Time after which the caller should retry.
        #[serde(deserialize_with = "bounded")]
        after: Duration,
        /// Whether the caller's workspace is above its fair share, so that others went first.
        #[serde(default)]
        above_share: bool,
    },
}

/// Change in the state of a generation, sent by its entry to the owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GenerationUpdate {
    /// The first event has arrived.
    Started {
        /// Generation that started.
        #[serde(rename = "run")]
        generation: GenerationId,
        /// How long work takes on the engine at this moment, in percent of the usual time, if the
        /// engine reports it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        work_time_percent: Option<u32>,
    },
    /// The generation no longer occupies its engine.
    Ended {
        /// Generation that ended.
        #[serde(rename = "run")]
        generation: GenerationId,
        /// Whether the engine rejected or failed it.
        #[serde(rename = "doubt")]
        target_failed: bool,
        /// Length of the answer; `None` if the generation did not finish.
        #[serde(rename = "made", default, deserialize_with = "bounded")]
        tokens_generated: Option<Tokens>,
    },
}

/// A generation as its entry reports it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ActiveGeneration {
    /// Id of the generation.
    #[serde(rename = "run")]
    pub generation: GenerationId,
    /// Service that the generation belongs to.
    pub service: ServiceId,
    /// Engine that runs the generation.
    pub target: TargetId,
    /// Length of the prompt.
    #[serde(rename = "prompt", deserialize_with = "bounded")]
    pub prompt_tokens: Tokens,
    /// Tokens generated so far.
    #[serde(rename = "made", deserialize_with = "bounded")]
    pub tokens_generated: Tokens,
    /// Route of the request.
    pub route: RouteId,
    /// Maximum length of the answer.
    #[serde(rename = "longest", deserialize_with = "bounded")]
    pub max_tokens: Tokens,
    /// The caller's estimate of the answer's length in tokens.
    #[serde(rename = "hint", default, deserialize_with = "bounded")]
    pub length_hint: Option<Tokens>,
    /// Priority; lower values go first.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// Whether the first event has arrived.
    pub started: bool,
    /// Longest pause between two events since the previous sync, as the entry received them.
    #[serde(
        default,
        skip_serializing_if = "Duration::is_zero",
        deserialize_with = "bounded"
    )]
    pub longest_pause: Duration,
}

/// All generations of one entry on the engines of one shard. Entries send it to the owner
/// periodically: it makes up for lost updates and rebuilds the state of a new owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StateSync {
    /// Entry that sends this.
    pub entry: InstanceId,
    /// Shard that this covers.
    pub shard: Shard,
    /// The entry's generations there.
    #[serde(rename = "runs")]
    pub generations: Vec<ActiveGeneration>,
}

/// Load of one engine as its owner accounts for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Id of the engine.
    pub target: TargetId,
    /// Time until the engine has processed all prompts assigned to it.
    #[serde(rename = "busy", deserialize_with = "bounded")]
    pub prefill_backlog: Duration,
    /// Number of generations on the engine.
    #[serde(rename = "runs")]
    pub generations: u32,
    /// Speeds in percent of those of the service, if they were measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<RelativeSpeed>,
}

/// Order from an owner to an entry to migrate a generation to another engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Migration {
    /// Generation to migrate.
    #[serde(rename = "run")]
    pub generation: GenerationId,
    /// Engine that runs the generation.
    pub from: TargetId,
    /// Destination.
    pub to: TargetId,
}

/// Result of a migration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MigrationOutcome {
    /// The generation continues on the destination.
    Done,
    /// The destination has no room or cannot be reached; the generation still runs on its engine.
    NoRoom,
    /// There is nothing to migrate: the generation has not started, has ended, or is not held by
    /// this entry.
    Nothing,
    /// The generation was lost during the migration.
    Lost,
}
