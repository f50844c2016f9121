//! Simpler policies, as a baseline for measurements.

mod local;
mod pick;

pub use local::LocalPolicy;
pub use pick::{FixedShare, LeastLoaded, RoundRobin, TargetPicker};
