//! At most one run per idempotency key, kept in the platform's table service.

pub mod api;

pub use api::{ClaimError, Claimed, Claims, KeyedCall, Recorded};
