//! Placement policy without I/O: events and the current time go in, actions come out.
//!
//! It opens no sockets, reads no clock and runs no tasks; its only randomness is a seeded
//! generator. The daemon, the tests and the benchmark therefore run the same code.

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
    Action, DispatchPermit, Event, Policy, Request, RequestId, ShardRole, TargetLimits, TargetLoad,
    View,
};
pub use entry::Entry;
pub use instance::{Identity, Instance};
pub use owner::Owner;
pub use tuning::{MemoryEstimate, Tuning};
