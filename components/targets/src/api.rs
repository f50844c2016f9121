//! What celerystand needs of engines and plain services.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use types::{Target, Tokens};

/// Name of a stream at an engine.
pub type StreamId = Arc<str>;

/// Why a call to a target brought no answer.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum TargetError {
    /// No byte of the request left: it did not run.
    #[display("no byte was sent: {reason}")]
    Unsent {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The target says that it did not run it, because it has too much or is leaving.
    #[display("the target did not take it: {reason}")]
    Rejected {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
        /// When the target wants to be asked again.
        retry_after: Option<Duration>,
    },
    /// The target finds the request wrong; the caller gets this answer.
    #[display("the target answered {status}")]
    ClientError {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        #[error(not(source))]
        body: Bytes,
    },
    /// The link broke or went silent after bytes had left: it may have run.
    #[display("the link was lost: {reason}")]
    Lost {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The engine does not know the stream (any more).
    #[display("the engine does not know the stream")]
    Gone,
}

/// A generation to start.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCall {
    /// Path of the engine's API: `/v1/completions` or `/v1/chat/completions`.
    pub path: Arc<str>,
    /// The caller's JSON body with `stream` set and `priority` and `max_tokens` filled in.
    pub body: Bytes,
    /// A name for the request, unique in the deployment; engines log it.
    pub request: Arc<str>,
}

/// An item of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// Events that carry tokens, whole and in order, as the engine wrote them.
    Tokens {
        /// Offset of the first token in it; 0 is the stream's first.
        first: Tokens,
        /// Number of tokens, one event each.
        count: Tokens,
        /// The `data` of each event.
        data: Vec<Bytes>,
    },
    /// The stream's end: `[DONE]`.
    End,
}

/// A running generation.
#[async_trait]
pub trait Stream: Send {
    /// Name of the stream at the engine.
    fn id(&self) -> StreamId;

    /// Waits for the next piece.
    async fn next(&mut self) -> Result<StreamItem, TargetError>;
}

/// What a command asks an engine to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandKind {
    /// Load a model version.
    Load(Arc<str>),
    /// Load an adapter.
    Adapter(Arc<str>),
    /// Change role.
    Role(Arc<str>),
}

/// A command to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// What to do.
    pub kind: CommandKind,
    /// Fencing number; some engines refuse an older one.
    pub fence: u64,
}

/// The client of model engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation.
    async fn start(
        &self,
        target: &Target,
        call: &EngineCall,
    ) -> Result<Box<dyn Stream>, TargetError>;

    /// Goes on with a generation at a token, over a new connection.
    async fn resume(
        &self,
        target: &Target,
        stream: &StreamId,
        at: Tokens,
    ) -> Result<Box<dyn Stream>, TargetError>;

    /// Cancels a generation.
    async fn cancel(&self, target: &Target, stream: &StreamId) -> Result<(), TargetError>;

    /// Reads the load report.
    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError>;

    /// Sends a command to an engine.
    async fn send_command(&self, target: &Target, command: &Command) -> Result<(), TargetError>;
}

/// A target's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetReport {
    /// Which life of the target.
    pub incarnation: u64,
    /// How old the report is, as the target says.
    pub age: Duration,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the target.
    pub waiting: u32,
    /// Tokens of memory occupied, 0 for a plain service.
    pub used: Tokens,
    /// Tokens of memory in all, 0 for a plain service.
    pub capacity: Tokens,
    /// Preemptions since its start.
    pub preemptions: u64,
    /// Whether it says that it is warm.
    pub warm: bool,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Headers to pass on.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: Bytes,
    /// A name for the request, unique in the deployment; sent as `x-request-id`.
    pub request: Arc<str>,
}

/// A plain service's answer, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: Bytes,
}

/// The client of plain services.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes a call and waits for the whole answer, at most `patience`.
    async fn call(
        &self,
        target: &Target,
        call: &PlainCall,
        patience: Duration,
    ) -> Result<PlainAnswer, TargetError>;

    /// Reads the load report.
    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError>;
}
