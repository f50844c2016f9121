//! Decides which engine runs a generation, and where a generation migrates when its engine shuts
//! down.
//!
//! The engines of a service are divided into shards. Each shard has one owner instance, which
//! accounts for the generations on its engines. Decisions depend only on their arguments, which
//! include the time; this crate does no I/O and reads no clock.

pub mod account;
mod choice;
mod demand;
pub mod length;
mod measurement;
pub mod memory;
pub mod message;
pub mod migration;
pub mod owner;
pub mod ownership;
pub mod pauses;
mod queue;
mod retry_schedule;
pub mod shard;
pub mod shares;
pub mod speed;
mod sync;
pub mod throughput;
pub mod tuning;

pub use account::{Engine, Generation, LoadReport};
pub use length::{LengthEstimate, LengthEstimator};
pub use message::{
    ActiveGeneration, EngineLoad, GenerationId, GenerationUpdate, Migration, MigrationOutcome,
    PlacementAnswer, PlacementRequest, RequestDigest, StateSync,
};
pub use owner::Owner;
pub use ownership::{OwnerCandidate, rank_owners};
pub use pauses::{Pauses, StretchedPauses};
pub use shard::{Shard, ShardCounts};
pub use shares::{ShareChange, ShareDecisions, WorkspaceLoad};
pub use speed::{RelativeSpeed, SpeedChange};
pub use throughput::Throughput;
pub use tuning::Tuning;
