//! Messages about permits. A permit is the right to send one request, or a few plain calls, to one
//! target.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{
    Class, Epoch, Incarnation, Moment, PermitId, PermitRequestId, RouteId, ServiceKind, Shard,
    TargetId, Tokens, WorkspaceId,
};

/// Lifetime of a permit, counted from the stamp of the entry's clock that the grant returns.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(1000);

/// Request of an entry for a permit, sent to the owner of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Shard that the permit is for.
    pub shard: Shard,
    /// Id that the entry gave to the request.
    #[serde(rename = "ask")]
    pub permit_request: PermitRequestId,
    /// Entry's clock at the time of sending; the grant returns it.
    pub stamp: Moment,
    /// Kind of the shard's targets.
    pub kind: ServiceKind,
    /// Urgency of the request.
    pub class: Class,
    /// Workspace of the caller; capacity is shared fairly between workspaces.
    pub workspace: WorkspaceId,
    /// Route of the request; lengths are estimated by route.
    pub route: RouteId,
    /// Time left until the caller's deadline.
    #[serde(rename = "within")]
    pub deadline_left: Duration,
    /// Time that the request has waited so far, at this owner and others.
    pub waited: Duration,
    /// Length of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens that the engine may generate.
    pub max_output: Tokens,
    /// Number of concurrent calls that the permit should cover; 1 for generations.
    pub slots: u32,
    /// Hashes of the prompt's leading blocks, the longest last; empty for plain calls.
    pub prefix: Vec<u64>,
    /// Targets that have just failed this request.
    pub avoid: Vec<TargetId>,
}

/// Withdrawal of a permit request by its entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Withdraw {
    /// Shard that the request was for.
    pub shard: Shard,
    /// Id of the withdrawn request.
    #[serde(rename = "ask")]
    pub permit_request: PermitRequestId,
}

/// Grant of a permit by the owner of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// Shard that the permit belongs to.
    pub shard: Shard,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Id of the granted request.
    #[serde(rename = "ask")]
    pub permit_request: PermitRequestId,
    /// Id of the permit.
    pub permit: PermitId,
    /// Target that the permit is for.
    pub target: TargetId,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Tokens of engine memory that are reserved.
    pub reserved: Tokens,
    /// Number of concurrent calls that the permit covers.
    pub slots: u32,
    /// Latest stamp of the entry's clock that the owner had received. The permit expires at `stamp
    /// + lifetime` on the entry's clock, so grants from an owner that was frozen are void.
    pub stamp: Moment,
    /// How long after `stamp` work may be sent.
    #[serde(rename = "life")]
    pub lifetime: Duration,
    /// Whether the target is in its cold start.
    pub cold: bool,
}

/// Final denial of a permit request by the owner of a shard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Deny {
    /// Shard that the request was for.
    pub shard: Shard,
    /// Id of the denied request.
    #[serde(rename = "ask")]
    pub permit_request: PermitRequestId,
    /// When to retry; `None` if this owner no longer owns the shard, and the entry should ask
    /// another one.
    pub retry_after: Option<Duration>,
}

/// How the work under a permit ended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// Nothing was sent.
    Unsent,
    /// The work finished.
    Finished {
        /// Tokens generated; 0 for a plain call.
        produced: Tokens,
        /// Time to the first token or byte of the answer.
        first: Duration,
        /// Time from sending to the end.
        took: Duration,
    },
    /// The caller disconnected, or the permit was revoked.
    Cancelled {
        /// Tokens generated until then.
        produced: Tokens,
    },
    /// The target rejected the request because of overload.
    Overloaded,
    /// The target could not be reached; nothing was sent.
    Unreachable,
    /// The connection to the target was lost; the work may still run there.
    Failed,
}

/// Return of a permit by its entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Done {
    /// Shard that the permit belongs to.
    pub shard: Shard,
    /// Id of the permit.
    pub permit: PermitId,
    /// Target that the permit was for.
    pub target: TargetId,
    /// How the work ended.
    pub outcome: Outcome,
}

/// Revocation of a permit whose caller has received nothing yet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Revoke {
    /// Shard that the permit belongs to.
    pub shard: Shard,
    /// Id of the permit.
    pub permit: PermitId,
}

/// Request of a new owner for an entry's permits on a shard. Once it has answered, the entry
/// accepts permits for the shard from this epoch or later ones only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Query {
    /// Shard that the permits belong to.
    pub shard: Shard,
    /// Epoch of the new owner.
    pub epoch: Epoch,
}

/// One permit that an entry holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeldPermit {
    /// Id of the permit.
    pub permit: PermitId,
    /// Epoch in which it was granted.
    pub epoch: Epoch,
    /// Target that the permit is for.
    pub target: TargetId,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Urgency of the request.
    pub class: Class,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Route of the request.
    pub route: RouteId,
    /// Length of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens that the engine may generate.
    pub max_output: Tokens,
    /// Tokens generated so far.
    pub produced: Tokens,
    /// Number of concurrent calls that the permit covers.
    pub slots: u32,
    /// Whether the caller has received any part of the answer.
    #[serde(rename = "seen")]
    pub answer_started: bool,
}

/// All permits that an entry holds on a shard: the answer to a `Query`. It is also sent
/// periodically, so that memory does not stay reserved when messages are lost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Held {
    /// Shard that the permits belong to.
    pub shard: Shard,
    /// Epoch of the owner that the entry follows.
    pub epoch: Epoch,
    /// Entry's clock at the time of sending.
    pub stamp: Moment,
    /// Permits that the entry holds.
    pub permits: Vec<HeldPermit>,
}
