//! Simpler ways to place requests, to measure the product's own against.

mod local;
mod pick;

pub use local::LocalPolicy;
pub use pick::{FixedShare, LeastLoaded, RoundRobin, TargetPicker};
