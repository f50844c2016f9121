//! How requests, targets and the store are spoken to; implemented for each platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::{HeaderMap, Request, http};
use placing::{GenerationId, LoadReport};
use types::{DataCentreId, TargetId, Tokens};
use view::{Rules, Target};

use crate::{
    instances::wire::{Member, Row, Topic, TopicUpdate},
    quarantine::record::QuarantineRecord,
};

/// Sizes that a caller declares for a generation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GenerationSizes {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the longest answer allowed.
    pub max_tokens: Tokens,
    /// The caller's estimate of the answer's tokens.
    pub length_hint: Option<Tokens>,
}

/// What a caller asks, as far as it decides anything. Body and other headers stay as they are.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerRequest {
    /// Id of this try.
    pub id: GenerationId,
    /// The host it addresses.
    pub host: Arc<str>,
    /// The path without the query.
    pub path: Arc<str>,
    /// How long the caller waits, if it says so.
    pub time_left: Option<Duration>,
    /// Its key, if it has one.
    pub key: Option<Arc<str>>,
    /// Sizes of a generation, if it declares them.
    pub sizes: Option<GenerationSizes>,
}

/// Why a request is not served at all.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BadRequest {
    /// It has no id of its own.
    #[display("the request has no id")]
    NoId,
    /// It names no host.
    #[display("the request names no host")]
    NoHost,
}

/// Where a generation goes on from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resume {
    /// The engine that made the copy.
    pub source: SocketAddr,
    /// The copy's name there.
    pub copy: Arc<str>,
    /// The last event that the caller has.
    pub after: Option<u64>,
}

/// One sending of a request to a target.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// The caller's request.
    pub head: &'a http::request::Parts,
    /// Its body.
    pub body: &'a Bytes,
    /// The target.
    pub target: &'a Target,
    /// Time that the caller still waits.
    pub time_left: Duration,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// Set where a generation goes on.
    pub resume: Option<&'a Resume>,
}

/// A target's load, as it says in its answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
}

/// What the head of a target's answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// It answers the request that was sent.
    pub id_matches: bool,
    /// The target says that it did not run the request.
    pub not_run: bool,
    /// It bears the target's proof.
    pub sealed: bool,
    /// Its body is not the target's own.
    pub encoded: bool,
    /// The target's load.
    pub load: Option<ReportedLoad>,
    /// Requests a second that the target takes from all instances together, while it is in need.
    pub rate_limit: Option<f64>,
}

/// Speaks with callers and targets.
pub trait ProtocolAdapter: Send + Sync {
    /// Reads a caller's request.
    ///
    /// # Errors
    /// Tells what it lacks.
    fn parse_request(&self, head: &http::request::Parts) -> Result<CallerRequest, BadRequest>;

    /// Makes the request that goes to a target.
    fn build_request(&self, outgoing: &OutgoingRequest<'_>) -> Request<Full<Bytes>>;

    /// Reads the head of a target's answer to a request.
    fn parse_response_head(&self, id: &str, head: &http::response::Parts) -> ResponseHead;

    /// The headers of a target's answer that go to the caller.
    fn forwarded_headers(&self, head: &http::response::Parts) -> HeaderMap;

    /// Headers of an answer of our own to a request.
    fn own_headers(&self, id: Option<&str>) -> HeaderMap;

    /// Whether a path asks whether this instance takes callers.
    fn is_readiness_path(&self, path: &str) -> bool;
}

/// An order to copy a running generation's memory.
#[derive(Clone, Copy, Debug)]
pub struct KvCopyRequest<'a> {
    /// The generation.
    pub generation: &'a str,
    /// Where it runs.
    pub from: SocketAddr,
    /// Where the copy goes.
    pub to: SocketAddr,
    /// Stop the generation first, so that the copy is complete.
    pub is_final: bool,
    /// How long to wait for the copy.
    pub timeout: Duration,
}

/// How copying ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KvCopyOutcome {
    /// The copy is complete.
    Complete {
        /// Its name at the source.
        copy: Arc<str>,
    },
    /// The other engine has no room or can't be reached. After a last copy the generation has
    /// stopped, and goes on from the source's own memory under this name.
    NoRoom {
        /// Its name at the source.
        copy: Option<Arc<str>>,
    },
    /// No such generation runs there: not begun, or ended.
    NotRunning,
    /// Another copy of it is under way.
    Busy,
    /// No answer; whether anything was done is unknown.
    Unknown {
        /// Why.
        reason: Arc<str>,
    },
}

/// Whether an engine stays, as it says itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineState {
    /// It takes work.
    Ready,
    /// It leaves.
    Leaving,
}

/// What an engine says of one generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerationReport {
    /// The generation.
    pub generation: GenerationId,
    /// Events that it has made.
    pub events: u64,
}

/// What an engine says of itself, some hundred milliseconds ago.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether it stays.
    pub state: EngineState,
    /// What it holds.
    pub load: LoadReport,
    /// Its generations.
    pub generations: Vec<GenerationReport>,
}

/// Gives engines orders, and asks them.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Copies a running generation's memory to another engine.
    async fn copy_kv(&self, request: &KvCopyRequest<'_>) -> KvCopyOutcome;

    /// Asks an engine for its report.
    ///
    /// # Errors
    /// Tells why there is none.
    async fn report(&self, addr: SocketAddr, timeout: Duration) -> Result<EngineReport, Arc<str>>;
}

/// One thing that the store says.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The configuration.
    Rules(Box<Rules>),
    /// A data centre is taken out.
    Closed(DataCentreId),
    /// A data centre is no longer taken out.
    Opened(DataCentreId),
    /// A target is listed.
    Listed(Target),
    /// A target is not listed any more.
    Unlisted(TargetId),
    /// An instance.
    Member(Member),
    /// A request that is rejected.
    Quarantined(QuarantineRecord),
    /// Something that can't be read; it names nothing.
    Unreadable {
        /// Its key.
        key: Arc<str>,
        /// Why.
        reason: Arc<str>,
    },
}

/// Why the store did not answer as hoped.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum StoreError {
    /// It refuses for now; nothing was done.
    #[display("the store refuses with status {status}")]
    Refused {
        /// The status.
        status: u16,
    },
    /// It no longer has the changes since that version.
    #[display("the store has dropped its history")]
    HistoryGone,
    /// No answer; a change may have been made.
    #[display("no answer from the store: {reason}")]
    NoAnswer {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
    /// An answer that makes no sense.
    #[display("an answer of the store can't be read: {reason}")]
    Malformed {
        /// Why.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

/// The platform's store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads all there is on a topic. `patience` is the time to the head of each answer.
    async fn read(&self, topic: Topic, timeout: Duration) -> Result<TopicUpdate, StoreError>;

    /// Waits for what has changed since a version, for `wait` at most. `patience` is the time to
    /// the head of the answer.
    async fn follow(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<TopicUpdate, StoreError>;

    /// What a row says, if it is of any use to us.
    fn decode(&self, topic: Topic, row: &Row) -> Option<Record>;

    /// Makes an instance known.
    async fn announce(&self, member: &Member) -> Result<(), StoreError>;

    /// Keeps a rejection of a request, among the instances.
    async fn put_quarantine_record(&self, kept: &QuarantineRecord) -> Result<(), StoreError>;

    /// Drops a rejection.
    async fn delete_quarantine_record(&self, kept: &QuarantineRecord) -> Result<(), StoreError>;
}
