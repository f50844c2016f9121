//! Numbered log events.

pub mod event;
pub mod log;

pub use event::{Event, Level};
pub use log::{emit, start};
