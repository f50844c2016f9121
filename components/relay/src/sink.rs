//! Where a generation's tokens are written, and how forwarding them ends.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use types::Tokens;

/// A generation that produces no token for this long is given up. Longer than any preemption by
/// an engine.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a generation can't be continued.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The engine does not know the stream any more.
    #[display("the engine lost the generation")]
    Gone,
    /// The engine refuses connections.
    #[display("the engine can't be reached: {reason}")]
    Unreachable {
        /// Text of the last connection error.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The connection was lost while resuming was disabled.
    #[display("the link broke")]
    ConnectionLost,
    /// The engine produced no token within [`STALL_TIMEOUT`].
    #[display("no token came for {STALL_TIMEOUT:?}")]
    Stalled,
}

/// The receiver of the tokens has closed its end.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the receiver closed the stream")]
pub struct ReceiverClosed;

/// Receives a generation's tokens in order.
#[async_trait]
pub trait TokenSink: Send {
    /// Writes tokens; `first` is the offset of the first of them in the generation.
    ///
    /// # Errors
    /// Fails when the receiver has closed its end.
    async fn write_tokens(&mut self, first: Tokens, data: Vec<Bytes>)
    -> Result<(), ReceiverClosed>;
}

/// How forwarding a generation ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The engine completed the generation.
    Finished,
    /// The sink was closed by its receiver; the generation still runs at the engine.
    Closed,
    /// The generation can't be continued.
    Failed(StreamError),
}
