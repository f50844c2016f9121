//! Messages between instances, their encoding and their authentication.

pub mod codec;
pub mod heartbeat;
pub mod message;
pub mod permit;

pub use codec::{Key, SIZE_LIMIT, WireError};
pub use heartbeat::{Claim, Heartbeat, ShardSummary};
pub use message::{Envelope, Message};
pub use permit::{
    Ask, Deny, Done, Grant, Held, HeldPermit, Outcome, PERMIT_LIFE, Query, Recall, Withdraw,
};
