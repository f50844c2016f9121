//! Decides on which engine a generation runs, and where it goes on when its engine leaves.
//!
//! For each service one instance, its owner, keeps the account of what runs on which engine. The
//! decisions take the time and what happened as arguments; there is no I/O and no clock in here.

pub mod account;
pub mod carry;
mod demand;
pub mod length;
pub mod memory;
pub mod message;
pub mod owner;
pub mod pace;
mod queue;
pub mod rank;
mod returns;
pub mod shard;
mod sync;
pub mod tuning;

pub use account::{Engine, Report, Run};
pub use length::{Length, Lengths};
pub use message::{Answer, Ask, Carried, Carry, Load, Note, RequestDigest, RunId, Running, Sync};
pub use owner::Owner;
pub use pace::Pace;
pub use rank::{Candidate, ranked};
pub use shard::{Shard, ShardCounts};
pub use tuning::Tuning;
