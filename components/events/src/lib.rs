//! Numbered log events.
//!
//! Everything that the program logs is an [`Event`] with a number, a name, a level and advice for
//! the operator. Events are counted for the metrics and written by a separate thread, so that a
//! slow reader of the log never blocks the process.

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
pub use log::{Output, emit, flush, init};
