//! Interface of claims for the gateway.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use types::WorkspaceId;

/// A call with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedCall {
    /// The workspace that the key belongs to; equal keys of two workspaces are independent.
    pub workspace: WorkspaceId,
    /// The key that the caller chose.
    pub key: Arc<str>,
    /// Hash of method, path and body. Using a key again with another digest is an error.
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

/// Outcome of an attempt to claim a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The key was claimed for this request, which has to run the call, once, and then call
    /// `record`, `release` or `abandon`.
    Acquired,
    /// The call has already run; this is its answer.
    Completed(RecordedAnswer),
    /// The call was claimed before and its outcome can't be determined.
    Unknown,
}

/// Why a key could not be claimed. In every case the call was not run on behalf of this request.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ClaimError {
    /// The key was used for a call with another digest.
    #[display("the idempotency key was used for another call")]
    OtherCall,
    /// The table service is unavailable.
    #[display("the table service can't be reached")]
    StoreUnavailable,
    /// Another request still runs the call and the timeout has passed.
    #[display("the call is still running under this key")]
    StillRunning,
}

/// Idempotency keys: the call of a key runs at most once.
#[async_trait]
pub trait Claims: Send + Sync {
    /// Claims a key before its call is sent, or returns the outcome of an earlier call. Waits up to
    /// `timeout` for the outcome of a call that is still running.
    async fn claim(&self, call: &KeyedCall, timeout: Duration) -> Result<ClaimOutcome, ClaimError>;

    /// Records the answer of a claimed call. The write is retried for a bounded time while the
    /// table service is unavailable.
    async fn record(&self, call: &KeyedCall, answer: RecordedAnswer);

    /// Releases a key whose call certainly did not run, so that a retry may run it.
    async fn release(&self, call: &KeyedCall);

    /// Marks the outcome of a claimed call as unknown.
    async fn abandon(&self, call: &KeyedCall);

    /// The state of claims as lines of a dump.
    fn dump(&self) -> Vec<String>;
}
