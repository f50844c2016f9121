//! Carrying a generation from its engine to a caller, across broken and silent links.

pub mod first;
pub mod relay;
pub mod rhythm;
pub mod running;

pub use first::FirstTokens;
pub use relay::Relay;
pub use rhythm::Rhythm;
pub use running::{Broken, Closed, End, Running, Sink};
