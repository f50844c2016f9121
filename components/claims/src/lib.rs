//! At most one run per idempotency key, kept in the platform's table service.

mod answer;
pub mod api;
mod desk;
mod group;
pub mod liveness;
mod open;
mod row;
mod settle;
pub mod store;
pub mod sweep;

pub use api::{ClaimError, Claimed, Claims, KeyedCall, Recorded};
pub use liveness::Liveness;
pub use store::StoreClaims;
pub use sweep::RETENTION_SECONDS;
