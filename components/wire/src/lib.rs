//! Messages between instances, their encoding and their authentication.

pub mod heartbeat;
pub mod message;
pub mod permit;

pub use heartbeat::{Claim, Heartbeat, ShardSummary};
pub use message::{Envelope, Message};
pub use permit::{Ask, Deny, Done, Grant, Held, HeldPermit, Outcome, Query, Recall, Withdraw};
