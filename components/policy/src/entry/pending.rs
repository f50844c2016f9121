//! Requests that an entry handles, and its outstanding permit requests.

use std::{collections::BTreeMap, time::Duration};

use types::{InstanceId, Moment, PermitRequestId, Shard, TargetId};

use crate::{
    api::{Request, RequestId},
    entry::permit::PermitKey,
};

/// Progress of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Waits at the entry because there is no owner to request a permit from.
    Waiting,
    /// A permit request is outstanding.
    Asked(PermitRequestId),
    /// It has a permit and is being sent or is running.
    Placed(PermitKey),
}

/// A request at the entry.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: Request,
    /// Its progress.
    pub stage: Stage,
    /// When it arrived.
    pub arrived_at: Moment,
    /// Targets on which it has failed.
    pub avoid: Vec<TargetId>,
    /// Whether the caller has seen any of the answer.
    pub answer_started: bool,
    /// No permit is requested before this moment.
    pub not_before: Moment,
}

/// An outstanding permit request. One without a caller's request fetches slots for plain calls
/// ahead of time.
#[derive(Clone, Debug)]
pub struct OutstandingPermitRequest {
    /// The caller's request that it is for.
    pub request: Option<RequestId>,
    /// The shard of the owner.
    pub shard: Shard,
    /// The owner that it was sent to.
    pub owner: InstanceId,
    /// When it was sent.
    pub sent_at: Moment,
}

/// All requests by id.
pub type Requests = BTreeMap<RequestId, PendingRequest>;
/// All outstanding permit requests by id.
pub type PermitRequests = BTreeMap<PermitRequestId, OutstandingPermitRequest>;

/// A request for which no owner could be found is refused after this time. Changes of ownership
/// normally take less, and the caller can retry sooner than if it were left waiting.
pub const NO_OWNER_TIMEOUT: Duration = Duration::from_secs(4);
/// A request whose service has no target that accepts work is refused after this time.
pub const NO_TARGET_TIMEOUT: Duration = Duration::from_millis(500);
/// A permit request that has waited longer than this may be moved to another shard.
pub const MOVE_AFTER: Duration = Duration::from_millis(300);
/// A permit request that is not answered within this time is sent again. It may be queued, in which
/// case the time that its request has waited counts on; or it may be lost, for example on a
/// connection to an earlier incarnation of the peer, and would never be answered.
pub const PERMIT_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a permit is requested again after a denial without a retry delay.
pub const DENIED_RETRY_DELAY: Duration = Duration::from_millis(50);
