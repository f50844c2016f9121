//! Limits that targets announce in their answers: rates for all instances together, how one instance
//! allocates such a rate among all of them, and pauses for a single instance. No I/O and no clock.

pub mod allocator;
pub mod brittle;
pub mod limits;
pub mod pauses;

pub use allocator::{RateAllocator, Reservation};
pub use brittle::BrittleTargets;
pub use limits::{Rate, RateLimits, RateReport};
pub use pauses::Pauses;
