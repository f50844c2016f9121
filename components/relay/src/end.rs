//! Ends of generations, and where their tokens go.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use types::Tokens;

/// After this time without a token the generation is given up: longer than any preemption.
pub const STALL_LIMIT: Duration = Duration::from_secs(30);

/// Why a generation can't go on.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Broken {
    /// The engine does not know the stream any more.
    #[display("the engine lost the generation")]
    Gone,
    /// The engine refuses connections.
    #[display("the engine can't be reached: {reason}")]
    Unreachable {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The link broke and was not to be mended.
    #[display("the link broke")]
    LinkLost,
    /// No token came for too long.
    #[display("no token came for {STALL_LIMIT:?}")]
    Stalled,
}

/// The receiver of tokens does not take any more.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the receiver went away")]
pub struct Closed;

/// Takes a generation's tokens.
#[async_trait]
pub trait Sink: Send {
    /// Takes tokens, of which `first` is the offset of the first.
    ///
    /// # Errors
    /// Fails when the receiver went away.
    async fn tokens(&mut self, first: Tokens, data: Vec<Bytes>) -> Result<(), Closed>;
}

/// How pumping a generation ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The engine ended it.
    Finished,
    /// The sink did not take any more; the generation is still running.
    Closed,
    /// It can't go on.
    Broken(Broken),
}
