//! Decisions without I/O: typed events and the time go in, typed actions come out.
//!
//! No socket, no clock, no executor; the only randomness is a seeded generator passed in. The
//! daemon, the tests and the measuring tool drive the same code.

pub mod account;
pub mod api;
pub mod baseline;
pub mod choose;
pub mod decision_log;
pub mod dump;
pub mod entry;
pub mod grant_rate;
pub mod granting;
pub mod instance;
pub mod length;
pub mod limiter;
pub mod load_reports;
pub mod memory;
pub mod outbox;
pub mod owner;
pub mod owner_state;
pub mod permit;
pub mod permit_updates;
pub mod prefixes;
pub mod queueing;
pub mod retry_budget;
pub mod revoke;
pub mod shard;
pub mod summary;
pub mod tuning;
pub mod wait_queue;

pub use api::{
    Action, DispatchPermit, EngineReport, Event, Policy, Request, RequestId, ShardRole,
    TargetLimits, View,
};
pub use entry::Entry;
pub use instance::{Identity, Instance};
pub use owner::Owner;
pub use tuning::{MemoryEstimate, Tuning};
