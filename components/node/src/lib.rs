//! One instance: all parts put together over shared tables.
//!
//! Lock order: membership, then decisions, then anything else. A later lock may be taken while
//! an earlier one is held, never the other way round, and no lock is held over an await.

mod admitted;
mod core;
mod directory;
mod dump;
mod liveness;
mod outbox;
mod parts;
mod peers;
mod quarantine;
mod reports;
mod serve;
mod servers;
mod shutdown;
mod ticks;
mod view;

pub use serve::{Instance, serve};
