//! Runs one instance: wires the other crates together around the shared state in `core`.
//!
//! Lock order: membership, then policy, then all others. A lock may be acquired while an earlier
//! one in this order is held, never a later one, and no lock is held across an await.

mod admission;
mod components;
mod core;
mod directory;
mod liveness;
mod outbox;
mod peers;
mod prompt_parts;
mod quarantine;
mod reports;
mod serve;
mod servers;
mod shutdown;
mod state;
mod tasks;
mod view;

pub use serve::{Instance, serve};
