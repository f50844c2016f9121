//! Time for a process: its clock, periodic ticks, time limits, and detection of process pauses.

pub mod lateness;
pub mod pause;
pub mod reusable_timeout;
pub mod service;

pub use pause::PauseDetector;
pub use reusable_timeout::ReusableTimeout;
pub use service::{NoAnswer, Ticks, Timer, boot_time};
