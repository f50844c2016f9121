//! Metrics of the gateway.

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use types::{Class, Execution};

/// How a request ended.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Answered completely.
    Whole,
    /// Refused before it ran.
    NotRun,
    /// Refused, and it may have run.
    Unknown,
    /// Only a part of the answer was sent.
    Partial,
    /// The caller disconnected.
    Left,
}

impl From<Execution> for Outcome {
    fn from(execution: Execution) -> Self {
        match execution {
            Execution::NotRun => Self::NotRun,
            Execution::Unknown => Self::Unknown,
            Execution::Partial => Self::Partial,
        }
    }
}

/// Labels of finished requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EndLabels {
    class: &'static str,
    outcome: Outcome,
}

/// Labels of refusals.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CodeLabels {
    code: String,
}

/// Metrics of the gateway. Clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Finished requests by urgency and outcome.
    requests: Family<EndLabels, Counter>,
    /// Refusals by code.
    refusals: Family<CodeLabels, Counter>,
    /// Seconds from a request's arrival to its first token.
    first_token: Histogram,
    /// Seconds between two chunks of tokens.
    gap: Histogram,
    /// Tokens relayed.
    tokens: Counter,
    /// Streams resumed over a new connection.
    resumes: Counter,
    /// Streams resumed by their callers at this instance.
    adoptions: Counter,
    /// Attempts after the first.
    retries: Counter,
    /// Requests in flight.
    in_flight: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates metrics at zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            requests: Family::default(),
            refusals: Family::default(),
            first_token: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            gap: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            tokens: Counter::default(),
            resumes: Counter::default(),
            adoptions: Counter::default(),
            retries: Counter::default(),
            in_flight: Gauge::default(),
        }
    }

    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "gateway_requests",
            "Finished requests by urgency and outcome",
            self.requests.clone(),
        );
        registry.register(
            "gateway_refusals",
            "Refusals by code",
            self.refusals.clone(),
        );
        registry.register(
            "gateway_first_token_seconds",
            "Time from a request's arrival to its first token",
            self.first_token.clone(),
        );
        registry.register(
            "gateway_gap_seconds",
            "Time between two chunks of tokens",
            self.gap.clone(),
        );
        registry.register("gateway_tokens", "Tokens relayed", self.tokens.clone());
        registry.register(
            "gateway_resumes",
            "Streams resumed over a new connection",
            self.resumes.clone(),
        );
        registry.register(
            "gateway_adoptions",
            "Streams taken up again by their callers",
            self.adoptions.clone(),
        );
        registry.register(
            "gateway_retries",
            "Tries after the first",
            self.retries.clone(),
        );
        registry.register(
            "gateway_in_flight",
            "Requests in flight",
            self.in_flight.clone(),
        );
    }

    /// Records that a request ended.
    pub fn record_end(&self, class: Class, outcome: Outcome) {
        let class = match class {
            Class::Urgent => "urgent",
            Class::Normal => "normal",
            Class::Background => "background",
        };
        self.requests
            .get_or_create(&EndLabels { class, outcome })
            .inc();
    }

    /// Records a refusal.
    pub fn record_refusal(&self, code: &str) {
        self.refusals
            .get_or_create(&CodeLabels { code: code.into() })
            .inc();
    }

    /// Records the time from a request's arrival to its first token.
    pub fn record_first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Records `count` relayed tokens and the gap before them.
    pub fn record_tokens(&self, count: u64, gap: Duration) {
        self.tokens.inc_by(count);
        self.gap.observe(gap.as_secs_f64());
    }

    /// Records how often a stream was resumed over a new connection.
    pub fn record_resumptions(&self, times: u32) {
        self.resumes.inc_by(times.into());
    }

    /// Records that a caller resumed a stream at this instance.
    pub fn record_adoption(&self) {
        self.adoptions.inc();
    }

    /// Records an attempt after the first.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Counts a request as in flight.
    pub fn increment_in_flight(&self) {
        self.in_flight.inc();
    }

    /// Ends the count of a request as in flight.
    pub fn decrement_in_flight(&self) {
        self.in_flight.dec();
    }

    /// Returns the number of tokens relayed so far.
    #[must_use]
    pub fn tokens_relayed(&self) -> u64 {
        self.tokens.get()
    }
}
