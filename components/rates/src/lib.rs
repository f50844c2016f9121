//! Rates that targets name for all instances together. No I/O and no clock.

pub mod limits;
pub mod slots;

pub use limits::{Limits, Rate, Word};
pub use slots::{Slot, Slots};
