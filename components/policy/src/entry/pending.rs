//! Requests that an entry knows.

use std::{collections::BTreeMap, time::Duration};

use types::{AskId, InstanceId, Moment, Shard, TargetId};

use crate::{
    api::{Request, RequestId},
    entry::permit::PermitKey,
};

/// How far a request has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// It waits here because nobody can be asked.
    Waiting,
    /// Its ask is out.
    Asked(AskId),
    /// It has a permit and is being sent, or runs.
    Placed(PermitKey),
}

/// One request.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: Request,
    /// How far it has come.
    pub stage: Stage,
    /// When it came in.
    pub arrived_at: Moment,
    /// Targets that have failed it.
    pub avoid: Vec<TargetId>,
    /// Whether the caller has seen any of the answer.
    pub seen: bool,
    /// Not asked for again before this moment.
    pub not_before: Moment,
}

/// An ask that is out. PermitRequests without a request fetch plain calls' slots ahead of time.
#[derive(Clone, Debug)]
pub struct OutstandingPermitRequest {
    /// The request that it is for.
    pub request: Option<RequestId>,
    /// Which shard.
    pub shard: Shard,
    /// Who was asked.
    pub owner: InstanceId,
    /// When.
    pub sent_at: Moment,
}

/// All requests.
pub type Requests = BTreeMap<RequestId, PendingRequest>;
/// All asks.
pub type PermitRequests = BTreeMap<AskId, OutstandingPermitRequest>;

/// A request that nobody could be asked for is refused after this time: the owners should have
/// settled by then, and the caller is better told to come back than left waiting.
pub const NO_OWNER_TIMEOUT: Duration = Duration::from_secs(4);
/// A request whose service has no target that takes work is refused after this time.
pub const NO_TARGET_TIMEOUT: Duration = Duration::from_millis(500);
/// An ask that waits longer than this may move to another shard.
pub const MOVE_AFTER: Duration = Duration::from_millis(300);
/// An ask without an answer is made again after this time. It may wait in a line, and keeps its
/// place there by how long its request has waited; but it may also be lost, on a connection to a
/// peer's former life for instance, and then nobody would ever answer it.
pub const PERMIT_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// After a denial without a time, an ask is made again after this long.
pub const DENIED_RETRY_DELAY: Duration = Duration::from_millis(50);
