//! Decides on which engine a generation runs, and where it goes on when its engine leaves.
//!
//! For each service one instance, its owner, keeps the account of what runs on which engine. The
//! decisions take the time and what happened as arguments; there is no I/O and no clock in here.

pub mod account;
mod demand;
pub mod length;
pub mod memory;
pub mod message;
pub mod migration;
pub mod owner;
pub mod ownership;
mod queue;
mod retry_schedule;
pub mod shard;
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
pub use shard::{Shard, ShardCounts};
pub use throughput::Throughput;
pub use tuning::Tuning;
