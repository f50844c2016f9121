//! Rates that targets name for all instances together. No I/O and no clock.

pub mod allocator;
pub mod limits;

pub use allocator::{RateAllocator, Reservation};
pub use limits::{Rate, RateLimits, RateReport};
