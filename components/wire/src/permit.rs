//! Messages about permits: the right to send one request, or a few plain calls, to one target.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{
    Class, Epoch, Incarnation, Moment, PermitId, PermitRequestId, RouteId, ServiceKind, Shard,
    TargetId, Tokens, WorkspaceId,
};

/// How long a permit may be used, counted from the entry's clock stamp that it answers.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(1000);

/// An entry asks a shard's owner for a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Which shard.
    pub shard: Shard,
    /// The entry's number for this ask.
    #[serde(rename = "ask")]
    pub permit_request: PermitRequestId,
    /// The entry's own clock at sending; the grant carries it back.
    pub stamp: Moment,
    /// What the shard's targets are.
    pub kind: ServiceKind,
    /// Urgency.
    pub class: Class,
    /// Who the request is for; fairness is between workspaces.
    pub workspace: WorkspaceId,
    /// The request's route; lengths are learned by it.
    pub route: RouteId,
    /// Time left until the caller's deadline.
    #[serde(rename = "within")]
    pub deadline_left: Duration,
    /// Time the request has waited already, at this or another owner.
    pub waited: Duration,
    /// Tokens in the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// The most tokens the caller lets the engine produce.
    pub max_output: Tokens,
    /// How many concurrent calls the permit should cover; 1 for generations.
    pub slots: u32,
    /// Hashes of the prompt's leading blocks, longest last; empty for plain calls.
    pub prefix: Vec<u64>,
    /// Targets that have just failed this request.
    pub avoid: Vec<TargetId>,
}

/// An entry takes an ask back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Withdraw {
    /// Which shard.
    pub shard: Shard,
    /// The ask.
    #[serde(rename = "ask")]
    pub permit_request: PermitRequestId,
}

/// An owner grants a permit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// Which shard.
    pub shard: Shard,
    /// The owner's term.
    pub epoch: Epoch,
    /// The ask it answers.
    #[serde(rename = "ask")]
    pub permit_request: PermitRequestId,
    /// The permit's number.
    pub permit: PermitId,
    /// Where the work may go.
    pub target: TargetId,
    /// Which life of the target.
    pub incarnation: Incarnation,
    /// Tokens of engine memory set aside.
    pub reserved: Tokens,
    /// How many concurrent calls it covers.
    pub slots: u32,
    /// The newest stamp of the entry's clock that the owner had seen. The permit may be used
    /// until `stamp + life` on the entry's clock, so a grant of a frozen owner is void.
    pub stamp: Moment,
    /// How long after `stamp` work may be sent.
    #[serde(rename = "life")]
    pub lifetime: Duration,
    /// Whether the target is in cold start.
    pub cold: bool,
}

/// An owner refuses an ask for good.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Deny {
    /// Which shard.
    pub shard: Shard,
    /// The ask.
    #[serde(rename = "ask")]
    pub permit_request: PermitRequestId,
    /// When to come back; `None` if this owner no longer serves the shard and the entry should
    /// ask elsewhere.
    pub retry_after: Option<Duration>,
}

/// How the work under a permit ended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// No byte was sent.
    Unsent,
    /// It finished.
    Finished {
        /// Tokens produced, 0 for a plain call.
        produced: Tokens,
        /// Time to the first token or byte of the answer.
        first: Duration,
        /// Time from sending to the end.
        took: Duration,
    },
    /// The caller went away or the work was pulled back, after this many tokens.
    Cancelled {
        /// Tokens produced until then.
        produced: Tokens,
    },
    /// The target refused it as too much.
    Overloaded,
    /// The target could not be reached: no byte was sent.
    Unreachable,
    /// The link to the target was lost: the work may still run there.
    Failed,
}

/// An entry gives a permit back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Done {
    /// Which shard.
    pub shard: Shard,
    /// The permit.
    pub permit: PermitId,
    /// The target it named.
    pub target: TargetId,
    /// How it ended.
    pub outcome: Outcome,
}

/// An owner asks for a permit back whose caller has seen nothing yet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Revoke {
    /// Which shard.
    pub shard: Shard,
    /// The permit.
    pub permit: PermitId,
}

/// A new owner asks what an entry holds on a shard. From its answer on the entry takes permits
/// for the shard from this term or a later one only.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Query {
    /// Which shard.
    pub shard: Shard,
    /// The new owner's term.
    pub epoch: Epoch,
}

/// One permit that an entry holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeldPermit {
    /// The permit.
    pub permit: PermitId,
    /// The term it was granted in.
    pub epoch: Epoch,
    /// Where the work goes.
    pub target: TargetId,
    /// Which life of the target.
    pub incarnation: Incarnation,
    /// Urgency.
    pub class: Class,
    /// Who the work is for.
    pub workspace: WorkspaceId,
    /// The route.
    pub route: RouteId,
    /// Tokens in the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: Tokens,
    /// The most tokens the caller lets the engine produce.
    pub max_output: Tokens,
    /// Tokens produced so far.
    pub produced: Tokens,
    /// Concurrent calls it covers.
    pub slots: u32,
    /// Whether the caller has seen any of the answer.
    #[serde(rename = "seen")]
    pub answer_started: bool,
}

/// An entry tells an owner all that it holds on a shard: the answer to a `Query`, and otherwise
/// sent every so often so that lost messages don't leave memory reserved for good.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Held {
    /// Which shard.
    pub shard: Shard,
    /// The term that the entry follows.
    pub epoch: Epoch,
    /// The entry's own clock at sending.
    pub stamp: Moment,
    /// What it holds.
    pub permits: Vec<HeldPermit>,
}
