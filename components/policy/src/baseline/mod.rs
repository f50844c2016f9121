//! Simpler ways to place requests, to measure the product's own against.

mod alone;
mod pick;

pub use alone::Alone;
pub use pick::{FixedShare, LeastLoaded, Pick, RoundRobin};
