//! Ids and small values that every part of celerystand shares.

pub mod class;
pub mod ids;
pub mod refusal;
pub mod target;

pub use class::Class;
pub use ids::{
    AskId, ConfigVersion, DataCentreId, Epoch, Incarnation, InstanceId, Moment, PermitId, RouteId,
    ServiceId, TargetId, Tokens, WorkspaceId,
};
pub use refusal::{Refusal, Run};
pub use target::{Listing, Member, ServiceKind, Shard, Standing, Target};
