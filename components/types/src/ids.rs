//! Type aliases for ids and counts.

use std::{sync::Arc, time::Duration};

/// Name of a celerystand instance, unique in the deployment.
pub type InstanceId = Arc<str>;
/// Name of a data centre.
pub type DataCentreId = Arc<str>;
/// Name of a workspace.
pub type WorkspaceId = Arc<str>;
/// Name of a service: a set of targets that answer the same calls.
pub type ServiceId = Arc<str>;
/// Name of a route within a service.
pub type RouteId = Arc<str>;
/// Name of a target: an engine or a plain service process.
pub type TargetId = Arc<str>;
/// Version of the software that a target runs.
pub type VersionId = Arc<str>;
/// Incarnation of a process: it grows with each restart.
pub type Incarnation = u64;
/// Version of the configuration tree; it only grows.
pub type ConfigVersion = u64;
/// Epoch of the ownership of a shard: it grows with each change of owner.
pub type Epoch = u64;
/// Id of a permit, unique within an incarnation of the owner instance.
pub type PermitId = u64;
/// Id of a permit request, unique within an incarnation of the entry instance.
pub type PermitRequestId = u64;
/// Number of tokens.
pub type Tokens = u64;
/// Point in time on the monotonic clock of one process, as the time since its start.
pub type Moment = Duration;
