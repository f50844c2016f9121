//! Ids and small values that all parts of celerystand share.

pub mod bounded;
pub mod class;
pub mod ids;
pub mod refusal;
pub mod store_version;
pub mod target;
pub mod time;
pub mod version;

pub use bounded::{Bounded, bounded};
pub use class::Class;
pub use ids::{
    ConfigVersion, DataCentreId, Epoch, Incarnation, InstanceId, Moment, PermitId, PermitRequestId,
    RouteId, ServiceId, TargetId, Tokens, VersionId, WorkspaceId,
};
pub use refusal::{Execution, Refusal};
pub use store_version::StoreVersion;
pub use target::{Listing, Member, ServiceKind, ServingState, Shard, Target};
pub use time::millis;
pub use version::VersionChoice;
