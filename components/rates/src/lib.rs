//! Rates that targets name for all instances together. No I/O and no clock.

pub mod limits;

pub use limits::{Limits, Word};
