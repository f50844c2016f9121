//! Messages between instances, with their encoding and authentication.

pub mod codec;
pub mod heartbeat;
pub mod message;
pub mod permit;

pub use codec::{Key, MAX_ENVELOPE_BYTES, WireError};
pub use heartbeat::{Heartbeat, KnownOwner, ShardSummary};
pub use message::{Envelope, Message};
pub use permit::{
    Deny, Done, Grant, Held, HeldPermit, Outcome, PERMIT_LIFETIME, PermitRequest, Query, Revoke,
    Withdraw,
};
