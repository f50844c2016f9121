//! The timer service: one clock, ticks to subscribe to, deadlines, and a detector of pauses.

pub mod alarm;
pub mod pause;
pub mod service;

pub use alarm::Alarm;
pub use pause::Pauses;
pub use service::{Ticks, Timer, boot_time};
