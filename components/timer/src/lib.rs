//! The timer service: one clock, ticks to subscribe to, deadlines, and a detector of pauses.

pub mod pause;
pub mod service;

pub use pause::Pauses;
pub use service::{Ticks, Timer};
