//! Carrying a generation from its engine to a caller, across broken and silent links.

pub mod end;
pub mod first;
pub mod relay;
pub mod rhythm;
pub mod running;
mod tries;

pub use end::{Broken, Closed, End, Sink};
pub use first::FirstTokens;
pub use relay::Relay;
pub use rhythm::Rhythm;
pub use running::Running;
