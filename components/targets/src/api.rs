//! The interfaces to engines and plain services.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use types::{Target, Tokens};

/// An engine's id of a stream.
pub type StreamId = Arc<str>;

/// Why a call to a target failed.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum TargetError {
    /// No byte of the request was sent; it did not run.
    #[display("no byte was sent: {reason}")]
    Unsent {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The target closed the connection before a byte of the request was sent; it did not run. It is reached, and
    /// may have as many connections as it takes.
    #[display("it closed the connection: {reason}")]
    Closed {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The target rejected a request without running it, because it is overloaded or leaving.
    #[display("the target did not take it: {reason}")]
    Rejected {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
        /// How long the target asks to wait before a retry.
        retry_after: Option<Duration>,
        /// Whether the answer is certainly the one to this request. Otherwise the request may have run.
        is_certain: bool,
    },
    /// The target answered with a client error, which is passed on to the caller.
    #[display("the target answered {status}")]
    ClientError {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        #[error(not(source))]
        body: Bytes,
    },
    /// The request was not sent, because the permission to send it had ended.
    #[display("the permission to send it had ended")]
    Withheld,
    /// The connection was lost or timed out after bytes had been sent; the request may have run.
    #[display("the link was lost: {reason}")]
    Lost {
        /// The cause.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// The engine does not know the stream, or no longer does.
    #[display("the engine does not know the stream")]
    Gone,
}

/// Asked right before a request is sent: opening a connection may take longer than the permission to send
/// the request lasts.
pub type MaySend<'a> = &'a (dyn Fn() -> bool + Send + Sync);

/// A generation to start.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCall {
    /// Path of the engine's API: `/v1/completions` or `/v1/chat/completions`.
    pub path: Arc<str>,
    /// The caller's JSON body with `stream` set and `priority` and `max_tokens` filled in.
    pub body: Bytes,
    /// The request's id, unique in the deployment; engines log it.
    pub request: Arc<str>,
}

/// An item of an engine's stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamItem {
    /// Events with consecutive tokens, as the engine wrote them.
    Tokens {
        /// Offset of the first token; 0 is the first of the stream.
        first: Tokens,
        /// Number of tokens; each event has one.
        count: Tokens,
        /// The `data` field of each event.
        data: Vec<Bytes>,
    },
    /// The end of the stream, `[DONE]`.
    End,
}

/// A running generation.
#[async_trait]
pub trait Stream: Send {
    /// The engine's id of the stream.
    fn id(&self) -> StreamId;

    /// Waits for the next item.
    async fn next(&mut self) -> Result<StreamItem, TargetError>;
}

/// What a command tells an engine to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandKind {
    /// Load this model version.
    Load(Arc<str>),
    /// Load this adapter.
    Adapter(Arc<str>),
    /// Change to this role.
    Role(Arc<str>),
}

/// A command to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// What the engine is to do.
    pub kind: CommandKind,
    /// Fencing number. Some engines reject one that is lower than the last.
    pub fence: u64,
}

/// A client of model engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Starts a generation.
    async fn start(
        &self,
        target: &Target,
        call: &EngineCall,
    ) -> Result<Box<dyn Stream>, TargetError>;

    /// Starts a generation if `may_send` still holds once the connection is open.
    async fn start_if(
        &self,
        target: &Target,
        call: &EngineCall,
        may_send: MaySend<'_>,
    ) -> Result<Box<dyn Stream>, TargetError> {
        if !may_send() {
            return Err(TargetError::Withheld);
        }
        self.start(target, call).await
    }

    /// Resumes a generation from token `at` on, over a new connection.
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
    /// The target's incarnation, a number for each run of its process.
    pub incarnation: u64,
    /// Age of the report, stated by the target.
    pub age: Duration,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the target's own queue.
    pub waiting: u32,
    /// Tokens of memory in use; 0 for a plain service.
    pub used: Tokens,
    /// Tokens of memory in total; 0 for a plain service.
    pub capacity: Tokens,
    /// Preemptions since the target's start.
    pub preemptions: u64,
    /// Whether the target reports that it is warmed up.
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
    /// The request's id, unique in the deployment; sent as `x-request-id`.
    pub request: Arc<str>,
}

/// The complete answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: Bytes,
}

/// A client of plain services.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Makes a call and waits for the whole answer, at most for `timeout`.
    async fn call(
        &self,
        target: &Target,
        call: &PlainCall,
        timeout: Duration,
    ) -> Result<PlainAnswer, TargetError>;

    /// Makes a call if `may_send` still holds once the connection is open.
    async fn call_if(
        &self,
        target: &Target,
        call: &PlainCall,
        timeout: Duration,
        may_send: MaySend<'_>,
    ) -> Result<PlainAnswer, TargetError> {
        if !may_send() {
            return Err(TargetError::Withheld);
        }
        self.call(target, call, timeout).await
    }

    /// Reads the load report.
    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError>;
}
