//! Inputs and outputs of a policy: events that it handles and actions that it requests.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use types::{
    Class, DataCentreId, Epoch, Incarnation, InstanceId, Moment, PermitId, PermitRequestId,
    Refusal, RouteId, ServiceId, ServiceKind, Shard, Target, TargetId, Tokens, WorkspaceId,
};
use wire::{Message, Outcome, ShardSummary};

/// Identifies a request within one instance.
pub type RequestId = u64;

/// A caller's request, reduced to what decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Unique within this instance.
    pub id: RequestId,
    /// The requested service.
    pub service: ServiceId,
    /// Whether the service runs generations or plain calls.
    pub kind: ServiceKind,
    /// The workspace on whose behalf the request is made.
    pub workspace: WorkspaceId,
    /// The route by which the request came in.
    pub route: RouteId,
    /// Priority class.
    pub class: Class,
    /// The caller's deadline, on this process's clock.
    pub deadline: Moment,
    /// Whether the request may be sent again when it is unknown whether it was executed.
    pub idempotent: bool,
    /// Tokens in the prompt; 0 for plain calls.
    pub prompt_tokens: Tokens,
    /// Upper limit of tokens to generate; 0 for plain calls.
    pub max_output: Tokens,
    /// Hashes of the prompt's leading blocks; each covers all blocks before it.
    pub prefix: Vec<u64>,
    /// Tokens that the request will really generate. Only the oracle baseline may read it.
    pub true_output: Option<Tokens>,
}

/// Limits of one service's targets, from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLimits {
    /// Whether the targets are engines or plain services.
    pub kind: ServiceKind,
    /// Maximum concurrent requests of a target in cold start.
    pub cold_limit: u32,
    /// Maximum concurrent requests of a warm target.
    pub warm_limit: u32,
    /// Memory of an engine in tokens; the capacity in a load report takes precedence.
    pub memory_tokens: Tokens,
    /// Requests that a cold target has to finish before it counts as warm.
    pub warm_after: u32,
    /// Maximum number of permit requests queued at an owner for one shard.
    pub queue_limit: u32,
    /// Retries allowed per 100 requests.
    pub retry_percent: u32,
}

/// A target's load report. It describes the target as it was `age` ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetLoad {
    /// The incarnation of the target that made the report.
    pub incarnation: Incarnation,
    /// Time since the report was made.
    pub age: Duration,
    /// Requests that are running.
    pub running: u32,
    /// Requests queued inside the target.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub used: Tokens,
    /// Total memory, in tokens.
    pub capacity: Tokens,
    /// Preemptions since the target started.
    pub preemptions: u64,
    /// Whether the target reports itself as warm.
    pub warm: bool,
}

/// This instance's role for a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShardRole {
    /// It owns the shard for this term.
    Own {
        /// The term.
        epoch: Epoch,
        /// Entries that have to answer a `Query` before anything is granted.
        entries_to_query: Vec<InstanceId>,
    },
    /// Another instance owns the shard, or none does yet.
    Follow {
        /// The owner, if known.
        owner: Option<InstanceId>,
        /// The owner's term.
        epoch: Epoch,
    },
}

/// The configuration and the target listing in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// All targets of the services in use.
    pub targets: Vec<Target>,
    /// Limits by service.
    pub limits: BTreeMap<ServiceId, Arc<TargetLimits>>,
    /// Data centres that operators have taken out of service.
    pub data_centres_out: Vec<DataCentreId>,
    /// Number of listed instances, this one included; 0 if unknown.
    pub instances: u32,
}

/// Something that a policy has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request arrived.
    Arrived(Request),
    /// The caller went away, or its request ended before a permit was used.
    CallerLeft {
        /// The request.
        request: RequestId,
    },
    /// The driver is about to send under a permit. Policies ignore it: whether sending is allowed
    /// is answered by `Policy::may_send`.
    Sent {
        /// The request.
        request: RequestId,
    },
    /// The engine has generated tokens.
    Progress {
        /// The request.
        request: RequestId,
        /// Total tokens generated so far.
        produced: Tokens,
        /// Whether any of them reached the caller.
        answer_started: bool,
    },
    /// Work under a permit ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the driver needs another permit to retry the same request.
        retry: bool,
    },
    /// A message from another instance, or from this one to itself.
    Received {
        /// The sender.
        from: InstanceId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// A target's load report arrived.
    TargetReported {
        /// The target.
        target: TargetId,
        /// The report.
        report: TargetLoad,
    },
    /// A target has rejected a request and wants no further ones from this instance for a while.
    TargetPaused {
        /// The target.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Time from now until the end of the pause.
        time: Duration,
    },
    /// The configuration or the target listing changed.
    ViewChanged(View),
    /// This instance's role for a shard changed.
    RoleChanged {
        /// The shard.
        shard: Shard,
        /// The role.
        role: ShardRole,
    },
    /// A peer is lost: it sends no heartbeats, and its permits have expired.
    PeerGone {
        /// The peer.
        peer: InstanceId,
    },
    /// Load summaries of the shards that a peer owns.
    Summary {
        /// The owner.
        owner: InstanceId,
        /// One summary for each of its shards.
        shards: Vec<ShardSummary>,
    },
    /// Tells whether cold targets of an owned shard may get work. They may not while another
    /// instance might still own the shard.
    ExclusivityChanged {
        /// The shard.
        shard: Shard,
        /// Whether this instance is the only owner.
        exclusive: bool,
    },
    /// This process did not run for a while, for example because it was suspended.
    Paused {
        /// How long it did not run.
        gap: Duration,
    },
    /// Sent regularly, so that time-outs are noticed.
    Tick,
}

/// Permission for the driver to send one request to one target.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchPermit {
    /// The permit's id.
    pub permit: PermitId,
    /// The target to send to.
    pub target: Target,
    /// Latest time to start sending, on this process's clock.
    pub valid_until: Moment,
}

/// Something that the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. The receiver may be this instance itself.
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
        /// The permission to send it.
        permit: DispatchPermit,
    },
    /// Refuse a request without sending it.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal for the caller.
        refusal: Refusal,
    },
    /// Cancel a running request of which the caller has seen nothing. The driver cancels it at the
    /// target, then reports `Ended` with `retry` set.
    Revoke {
        /// The request.
        request: RequestId,
    },
}

/// The decisions of one instance, made by the product or by a baseline.
pub trait Policy: Send {
    /// Handles one event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Moment, event: Event, out: &mut Vec<Action>);

    /// Returns whether a request may still be sent under its permit. To be checked right before
    /// sending.
    fn may_send(&self, now: Moment, request: RequestId) -> bool;

    /// Returns the load summaries of the shards owned here, for the other instances.
    fn summaries(&self, now: Moment) -> Vec<ShardSummary>;

    /// Returns the state as lines of text for a dump.
    fn dump(&self, now: Moment) -> Vec<String>;

    /// Returns the id of the newest permit request, for tests and dumps.
    fn last_permit_request(&self) -> PermitRequestId;
}
