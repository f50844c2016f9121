//! Counters and histograms of requests by declared routes.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use std::time::Duration;

/// Upper edge of the first bucket of time, in seconds.
const FIRST_BUCKET: f64 = 0.001;
/// Buckets of time; each is twice as wide as the one before, so the last ends at 33 s.
const BUCKETS: u16 = 16;

/// How a request ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// What the route allows: `idempotent`, `non_idempotent` or `generation`.
    pub kind: &'static str,
    /// `answered`, `refused`, `failed` or `cut`.
    pub outcome: &'static str,
}

/// How carrying a generation over ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct MigrationLabels {
    /// `done`, `no_room`, `nothing` or `lost`.
    pub outcome: &'static str,
}

/// Bytes of messages that this instance sent to others, and of their replies.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PeerBytesLabels {
    /// What the message is about, as [`crate::instances::wire::Message::topic`] names it.
    pub topic: &'static str,
    /// `out` or `in`.
    pub direction: &'static str,
    /// `same` or `other`.
    pub data_centre: &'static str,
}

/// A call to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StoreCallLabels {
    /// `operator`, `targets` or `members`.
    pub topic: &'static str,
    /// `read`, `follow` or `write`.
    pub call: &'static str,
    /// `answered`, `refused` or `silent`.
    pub outcome: &'static str,
}

/// The metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by kind and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Second sendings.
    pub retries: Counter,
    /// Targets that ended while they ran a request.
    pub target_crashes: Counter,
    /// Requests that were rejected because targets ended while they ran them.
    pub quarantined: Counter,
    /// Generations carried over, by outcome.
    pub migrations: Family<MigrationLabels, Counter>,
    /// Bytes of messages between instances, and of replies, by the instance that sent the message.
    pub peer_bytes: Family<PeerBytesLabels, Counter>,
    /// Calls to the store.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Time to the head of an answer, in seconds.
    pub head_seconds: Histogram,
    /// Time from a request's arrival to its sending, in seconds.
    pub held_seconds: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Makes them, all zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("celerystand");
        let times = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let all = Self {
            requests: Family::default(),
            retries: Counter::default(),
            target_crashes: Counter::default(),
            quarantined: Counter::default(),
            migrations: Family::default(),
            peer_bytes: Family::default(),
            store_calls: Family::default(),
            head_seconds: times(),
            held_seconds: times(),
            registry: Registry::default(),
        };
        registry.register(
            "requests",
            "Requests by kind and outcome",
            all.requests.clone(),
        );
        registry.register(
            "repeats",
            "Second sendings of requests",
            all.retries.clone(),
        );
        registry.register(
            "target_ends",
            "Requests under which a target ended",
            all.target_crashes.clone(),
        );
        registry.register(
            "quarantined",
            "Requests rejected because targets ended under them",
            all.quarantined.clone(),
        );
        registry.register(
            "carries",
            "Generations carried over",
            all.migrations.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes of messages between instances",
            all.peer_bytes.clone(),
        );
        registry.register("store_calls", "Calls to the store", all.store_calls.clone());
        registry.register(
            "head_seconds",
            "Time to the head of an answer",
            all.head_seconds.clone(),
        );
        registry.register(
            "held_seconds",
            "Time before a request is sent",
            all.held_seconds.clone(),
        );
        registry.register("events", "Log events", events::counts());
        Self { registry, ..all }
    }

    /// Notes how long a request was held before it was sent.
    pub fn observe_held(&self, time: Duration) {
        self.held_seconds.observe(time.as_secs_f64());
    }

    /// Notes how long the head of an answer took.
    pub fn observe_head(&self, time: Duration) {
        self.head_seconds.observe(time.as_secs_f64());
    }

    /// Notes how a request ended.
    pub fn count_request(&self, kind: &'static str, outcome: &'static str) {
        self.requests
            .get_or_create(&RequestLabels { kind, outcome })
            .inc();
    }

    /// All metrics as text.
    #[must_use]
    pub fn page(&self) -> String {
        let mut page = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut page, &self.registry);
        page
    }
}
