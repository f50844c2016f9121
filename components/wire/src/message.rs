//! Messages between instances and the envelope that carries them.

use derive_more::From;
use quarantine::{Evidence, PartEvidence, PartVerdict, Verdict};
use serde::{Deserialize, Serialize};
use types::{Incarnation, InstanceId, ServiceId};

use crate::{
    heartbeat::Heartbeat,
    permit::{Deny, Done, Grant, Held, PermitRequest, Query, Revoke, Withdraw},
};

/// One message between instances. Messages between a pair are delivered in order and at most once;
/// the periodic `Held` and `Heartbeat` make up for lost ones.
#[derive(Clone, Debug, Deserialize, From, PartialEq, Serialize)]
pub enum Message {
    /// An entry requests a permit from an owner.
    #[serde(rename = "Ask")]
    PermitRequest(PermitRequest),
    /// An entry withdraws a permit request.
    Withdraw(Withdraw),
    /// An owner grants a permit.
    Grant(Grant),
    /// An owner denies a permit request.
    Deny(Deny),
    /// An entry returns a permit.
    Done(Done),
    /// An owner revokes a permit whose caller has received nothing yet.
    #[serde(rename = "Recall")]
    Revoke(Revoke),
    /// A new owner asks an entry for its permits on a shard.
    Query(Query),
    /// An entry reports its permits on a shard.
    Held(Held),
    /// Periodic heartbeat.
    Heartbeat(Heartbeat),
    /// A target crashed while it ran a request of the sender. The receiver aggregates the evidence.
    #[serde(rename = "Ended")]
    TargetCrashed(Evidence),
    /// Verdicts on requests that were running when targets crashed.
    #[serde(rename = "Words")]
    Verdicts(Vec<Verdict>),
    /// A target crashed while it ran a request whose prompt had not proved sound. The receiver aggregates
    /// the evidence.
    PartCrashed(PartEvidence),
    /// Verdicts on parts of prompts.
    PartVerdicts(Vec<PartVerdict>),
    /// The sender asks to send a request as a probe, so that one is sent at a time.
    #[from(skip)]
    RequestProbe {
        /// The service.
        service: ServiceId,
    },
    /// The receiver may send a request as a probe.
    #[from(skip)]
    ProbeGranted {
        /// The service.
        service: ServiceId,
    },
}

/// A batch of messages from one instance to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// Version of the format; other versions are rejected.
    pub format: u16,
    /// Sender.
    pub from: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Receiver, so that an envelope cannot be replayed to another instance.
    pub to: InstanceId,
    /// Sequence number, which grows with each envelope from this incarnation of the sender to this
    /// receiver. An envelope whose number does not grow was delayed or replayed, and is dropped.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Messages in order.
    pub messages: Vec<Message>,
}

impl Envelope {
    /// Version that this code sends and accepts.
    pub const FORMAT: u16 = 3;
}
