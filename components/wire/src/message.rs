//! The envelope that instances exchange.

use derive_more::From;
use quarantine::{Evidence, Verdict};
use serde::{Deserialize, Serialize};
use types::{Incarnation, InstanceId};

use crate::{
    heartbeat::Heartbeat,
    permit::{Deny, Done, Grant, Held, PermitRequest, Query, Revoke, Withdraw},
};

/// One message from one instance to another. Delivery is at most once and in order per pair;
/// a lost message is made good by the periodic `Held` and `Heartbeat`.
#[derive(Clone, Debug, Deserialize, From, PartialEq, Serialize)]
pub enum Message {
    /// An entry asks an owner for a permit.
    #[serde(rename = "Ask")]
    PermitRequest(PermitRequest),
    /// An entry takes an ask back.
    Withdraw(Withdraw),
    /// An owner grants a permit.
    Grant(Grant),
    /// An owner refuses an ask.
    Deny(Deny),
    /// An entry gives a permit back.
    Done(Done),
    /// An owner asks for a permit back whose caller has seen nothing yet.
    #[serde(rename = "Recall")]
    Revoke(Revoke),
    /// A new owner asks what an entry holds on a shard.
    Query(Query),
    /// An entry tells what it holds on a shard.
    Held(Held),
    /// Periodic sign of life.
    Heartbeat(Heartbeat),
    /// A target ended while it ran a request for the sender; the receiver sums such evidence up.
    #[serde(rename = "Ended")]
    TargetCrashed(Evidence),
    /// How requests are taken under which targets ended.
    #[serde(rename = "Words")]
    Verdicts(Vec<Verdict>),
}

/// A batch of messages from one instance to one other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Version of this format; another version is refused.
    pub format: u16,
    /// The sender.
    pub from: InstanceId,
    /// Which life of the sender this is.
    pub incarnation: Incarnation,
    /// The receiver, so that a message can't be replayed to somebody else.
    pub to: InstanceId,
    /// Grows with each envelope of this life of the sender to this receiver; one that does not
    /// grow was delayed or sent again by somebody else and is dropped.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

impl Envelope {
    /// The format this code speaks.
    pub const FORMAT: u16 = 2;
}
