//! Idempotency keys: the call of a key runs at most once across all instances.
//!
//! Claims are rows of the platform's table service. A call is sent only after its claim is written,
//! and an outcome once recorded never changes.

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
