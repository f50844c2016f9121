//! What goes into the decisions and what comes out.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use types::{
    AskId, Class, DataCentreId, Epoch, Incarnation, InstanceId, Moment, PermitId, Refusal, RouteId,
    ServiceId, ServiceKind, Shard, Target, TargetId, Tokens, WorkspaceId,
};
use wire::{Message, Outcome, ShardSummary};

/// Number of a request within one instance.
pub type RequestId = u64;

/// A caller's request, as far as decisions need it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Number within this instance.
    pub id: RequestId,
    /// Which service.
    pub service: ServiceId,
    /// What the service's targets are.
    pub kind: ServiceKind,
    /// Who asks.
    pub workspace: WorkspaceId,
    /// By which route.
    pub route: RouteId,
    /// Urgency.
    pub class: Class,
    /// When the caller's patience ends, on this process's clock.
    pub deadline: Moment,
    /// Whether it may be sent again when it is unknown whether it ran.
    pub idempotent: bool,
    /// Tokens in the prompt, 0 for plain calls.
    pub prompt_tokens: Tokens,
    /// The most tokens to produce, 0 for plain calls.
    pub max_output: Tokens,
    /// Hashes of the prompt's leading blocks, longest last.
    pub prefix: Vec<u64>,
    /// How many tokens it really produces; only the oracle baseline may look at it.
    pub true_output: Option<Tokens>,
}

/// What the configuration says about one service's targets.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLimits {
    /// What the targets are.
    pub kind: ServiceKind,
    /// Concurrent requests that a target in cold start bears.
    pub cold_limit: u32,
    /// Concurrent requests that a warm target bears at most.
    pub warm_limit: u32,
    /// Tokens of memory of an engine; a load report overrides it.
    pub memory_tokens: Tokens,
    /// Finished requests after which a cold target counts as warm.
    pub warm_after: u32,
    /// Asks that may wait at an owner for one shard.
    pub queue_limit: u32,
    /// Retries that 100 requests may cause.
    pub retry_percent: u32,
}

/// What a target reports about itself, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Which life of the target.
    pub incarnation: Incarnation,
    /// How old the report is.
    pub age: Duration,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the target.
    pub waiting: u32,
    /// Tokens of memory occupied.
    pub used: Tokens,
    /// Tokens of memory in all.
    pub capacity: Tokens,
    /// Preemptions since its start.
    pub preemptions: u64,
    /// Whether it says that it is warm.
    pub warm: bool,
}

/// Whether this instance owns a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardRole {
    /// It owns the shard in this term.
    Own {
        /// The term.
        epoch: Epoch,
        /// Entries whose answer to a `Query` is awaited before anything is granted.
        entries_to_query: Vec<InstanceId>,
    },
    /// Somebody else does, or nobody yet.
    Follow {
        /// The owner, if one is known.
        owner: Option<InstanceId>,
        /// The owner's term.
        epoch: Epoch,
    },
}

/// What the configuration and the platform's list say now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// All targets of the services in use.
    pub targets: Vec<Target>,
    /// Limits per service.
    pub limits: BTreeMap<ServiceId, Arc<TargetLimits>>,
    /// Data centres that operators have taken out.
    pub data_centres_out: Vec<DataCentreId>,
    /// Instances listed, this one included; 0 if unknown.
    pub instances: u32,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request came in.
    Arrived(Request),
    /// A caller went away, or its request ended before a permit was used.
    CallerLeft {
        /// The request.
        request: RequestId,
    },
    /// The driver is about to send under a permit; answered by `Action::Send` of nothing, see
    /// `Policy::may_send`.
    Sent {
        /// The request.
        request: RequestId,
    },
    /// The engine has produced tokens.
    Progress {
        /// The request.
        request: RequestId,
        /// Tokens produced so far.
        produced: Tokens,
        /// Whether the caller has seen any of them.
        seen: bool,
    },
    /// Work under a permit ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        outcome: Outcome,
        /// Whether the driver wants another try for the same request.
        retry: bool,
    },
    /// A message of another instance, or of this one to itself.
    Received {
        /// The sender.
        from: InstanceId,
        /// Which life of the sender.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// A target's load report.
    TargetReported {
        /// The target.
        target: TargetId,
        /// What it says.
        report: EngineReport,
    },
    /// Configuration or the platform's list changed.
    ViewChanged(View),
    /// This instance's role for a shard changed.
    RoleChanged {
        /// The shard.
        shard: Shard,
        /// The role.
        role: ShardRole,
    },
    /// A peer is gone for good: no heartbeat, and its permits have lapsed.
    PeerGone {
        /// The peer.
        peer: InstanceId,
    },
    /// What a peer says about the shards it owns.
    Summary {
        /// The owner.
        owner: InstanceId,
        /// Its shards.
        shards: Vec<ShardSummary>,
    },
    /// For shards owned here: may cold targets get work now? False while another instance
    /// might own the shard too.
    ExclusivityChanged {
        /// The shard.
        shard: Shard,
        /// The answer.
        exclusive: bool,
    },
    /// This process was not running for a while.
    Paused {
        /// For how long.
        gap: Duration,
    },
    /// Time passed.
    Tick,
}

/// The right to send one request to one target, as the driver gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchPermit {
    /// The permit.
    pub permit: PermitId,
    /// Where to send.
    pub target: Target,
    /// The latest moment to send, on this process's clock.
    pub valid_until: Moment,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message; the receiver may be this instance itself.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Send a request to a target now.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The right to do so.
        permit: DispatchPermit,
    },
    /// Refuse a request at once.
    Refuse {
        /// The request.
        request: RequestId,
        /// What to tell the caller.
        refusal: Refusal,
    },
    /// Cancel a running request of which the caller has seen nothing; the driver cancels it at
    /// the target, then reports `Ended` with `again` set.
    Revoke {
        /// The request.
        request: RequestId,
    },
}

/// The decisions of one instance: the product's own, or a baseline's.
pub trait Policy: Send {
    /// Takes one event and appends what has to be done to `out`.
    fn handle(&mut self, now: Moment, event: Event, out: &mut Vec<Action>);

    /// Tells whether a request may still be sent under its permit, checked right before sending.
    fn may_send(&self, now: Moment, request: RequestId) -> bool;

    /// Tells what others should know of the shards owned here.
    fn summaries(&self, now: Moment) -> Vec<ShardSummary>;

    /// Writes the state for a dump.
    fn dump(&self, now: Moment) -> Vec<String>;

    /// The number of the newest ask, for tests and dumps.
    fn last_permit_request(&self) -> AskId;
}
