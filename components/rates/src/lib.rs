//! Rate limits that targets announce for all instances together: which limits are known, and how
//! one instance allocates a limit among all of them. No I/O and no clock.

pub mod allocator;
pub mod limits;

pub use allocator::{RateAllocator, Reservation};
pub use limits::{Rate, RateLimits, RateReport};
