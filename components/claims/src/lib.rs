//! At most one run per idempotency key, kept in the platform's table service.

mod answer;
pub mod api;
mod finalize;
mod group;
pub mod liveness;
mod manager;
mod open;
mod row;
pub mod store;
pub mod sweep;

pub use api::{ClaimError, ClaimOutcome, Claims, KeyedCall, RecordedAnswer};
pub use liveness::Liveness;
pub use store::StoreClaims;
pub use sweep::RETENTION_SECONDS;
