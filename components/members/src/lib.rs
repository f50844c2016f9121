//! Which instances are alive, and which of them owns which shard. No I/O.
//!
//! Heartbeats between instances stand beside the platform's lagging list. Each shard has one
//! owner, found by rendezvous hashing over the instances that are heard. An owner gives work to
//! cold targets only while its ownership is exclusive; see `exclusive`.

pub mod api;
pub mod exclusive;
pub mod followed_owners;
pub mod membership;
mod ownership;
pub mod peer;
mod queries;
pub mod rendezvous;
pub mod timeouts;

pub use api::{Change, Identity, Input};
pub use membership::Membership;
