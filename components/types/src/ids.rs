//! Type aliases for ids and counts.

use std::{sync::Arc, time::Duration};

/// Name of one celerystand instance, unique in the deployment.
pub type InstanceId = Arc<str>;
/// Name of a data centre.
pub type DataCentreId = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Arc<str>;
/// Name of a service: a set of targets that answer the same calls.
pub type ServiceId = Arc<str>;
/// Name of a route within a service.
pub type RouteId = Arc<str>;
/// Name of one target: an engine or a plain service process.
pub type TargetId = Arc<str>;
/// Number of one life of a process; a restart gives a larger one.
pub type Incarnation = u64;
/// Version of the configuration tree; it only grows.
pub type ConfigVersion = u64;
/// Number of one term of ownership over a shard; a later owner has a larger one.
pub type Epoch = u64;
/// Number of a permit, unique per owner instance and its incarnation.
pub type PermitId = u64;
/// Number of an ask, unique per entry instance and its incarnation.
pub type PermitRequestId = u64;
/// A count of tokens.
pub type Tokens = u64;
/// A point in time on one process's own steady clock, as time since that process started.
pub type Moment = Duration;
