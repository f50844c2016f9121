//! What the gateway asks of claims.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use types::WorkspaceId;

/// A call with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedCall {
    /// Whose key it is; keys of two workspaces never meet.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: Arc<str>,
    /// Hash of method, path and body: the same key with another call is an error.
    pub digest: Arc<str>,
}

/// The recorded answer to a keyed call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Arc<str>,
    /// Body of the answer, base64 where it isn't text.
    pub body: Arc<str>,
    /// Whether `body` is base64.
    pub base64: bool,
}

/// What a claim came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The key is this caller's to run, once. Finish with `record` or `release`.
    Acquired,
    /// The call ran before; this is its answer.
    Completed(RecordedAnswer),
    /// The call was sent, and its outcome is not and will not be known.
    Unknown,
}

/// Why a claim can't be made. In every case the call was not run on behalf of this request.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ClaimError {
    /// The same key came with another call.
    #[display("the idempotency key was used for another call")]
    OtherCall,
    /// The table service is down.
    #[display("the table service can't be reached")]
    StoreUnavailable,
    /// Somebody else still runs it and the wait is over.
    #[display("the call is still running under this key")]
    StillRunning,
}

/// At most one run per key.
#[async_trait]
pub trait Claims: Send + Sync {
    /// Claims a key before anything is sent, or finds what became of it. Waits up to `patience`
    /// for another claimant's outcome.
    async fn claim(&self, call: &KeyedCall, patience: Duration)
    -> Result<ClaimOutcome, ClaimError>;

    /// Records the answer of a call claimed before. Keeps trying while the store is down, for a
    /// bounded time.
    async fn record(&self, call: &KeyedCall, answer: RecordedAnswer);

    /// Gives a key back whose call provably did not run, so that a repeat may run it.
    async fn release(&self, call: &KeyedCall);

    /// Marks a call whose outcome can't be known any more.
    async fn abandon(&self, call: &KeyedCall);

    /// Writes the state for a dump.
    fn dump(&self) -> Vec<String>;
}
