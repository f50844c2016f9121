//! Decisions without I/O: typed events and the time go in, typed actions come out.
//!
//! No socket, no clock, no executor; the only randomness is a seeded generator passed in. The
//! daemon, the tests and the measuring tool drive the same code.

pub mod account;
pub mod api;
pub mod asks;
pub mod baseline;
pub mod choose;
pub mod dump;
pub mod entry;
pub mod instance;
pub mod journal;
pub mod length;
pub mod limit;
pub mod line;
pub mod memory;
pub mod outbox;
pub mod owner;
pub mod pace;
pub mod permit;
pub mod prefixes;
pub mod recall;
pub mod reports;
pub mod retry;
pub mod returns;
pub mod serve;
pub mod shard;
pub mod shared;
pub mod summary;
pub mod tuning;

pub use api::{
    Action, Decide, EngineReport, Event, Request, RequestId, ShardRole, TargetLimits, Used, View,
};
pub use entry::Entry;
pub use instance::{Identity, Instance};
pub use owner::Owner;
pub use tuning::{Admission, Tuning};
