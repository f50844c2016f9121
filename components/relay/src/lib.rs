//! Relays a generation from its engine to a receiver, and resumes it when the connection to the
//! engine breaks or goes silent. Each token is handed out once and in order.

pub mod active_stream;
pub mod first_token;
pub mod gap_estimator;
pub mod relay;
mod retry;
pub mod sink;

pub use active_stream::ActiveStream;
pub use first_token::FirstTokenEstimator;
pub use gap_estimator::GapEstimator;
pub use relay::Relay;
pub use sink::{ReceiverClosed, StreamEnd, StreamError, TokenSink};
