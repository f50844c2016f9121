//! Tracks which instances are alive, and which of them owns each shard. Does no I/O.
//!
//! The platform's list of instances lags, so instances also exchange heartbeats. Each shard has
//! one owner, chosen by rendezvous hashing among the live instances. Two instances may
//! temporarily both believe that they own a shard; an owner therefore gives work to cold targets
//! only while its ownership is exclusive (see [`exclusive`]). At most one instance at a time has
//! exclusive ownership of a shard.

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
