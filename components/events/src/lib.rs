//! Numbered log events.

pub mod catalogue;
pub mod count;
pub mod declare;
pub mod event;
pub mod format;
pub mod log;
mod panics;
pub mod queue;

pub use count::counts;
pub use declare::{CatalogueEntry, Level};
pub use event::Event;
pub use format::Format;
pub use log::{Output, emit, finish, start};
