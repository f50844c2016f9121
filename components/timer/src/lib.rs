//! The timer service: one clock, ticks to subscribe to, deadlines, and a detector of pauses.

pub mod pause;
pub mod reusable_timeout;
pub mod service;

pub use pause::PauseDetector;
pub use reusable_timeout::ReusableTimeout;
pub use service::{Ticks, Timer, boot_time};
