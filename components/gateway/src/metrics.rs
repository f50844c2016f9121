//! What the gateway counts.

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
use types::{Class, Run};

/// How a request ended.
#[derive(Clone, Copy, Debug, EncodeLabelValue, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Answered in full.
    Whole,
    /// Refused before it ran.
    NotRun,
    /// Refused, and it may have run.
    Unknown,
    /// A part of the answer went out.
    Partial,
    /// The caller went away.
    Left,
}

impl From<Run> for Outcome {
    fn from(run: Run) -> Self {
        match run {
            Run::NotRun => Self::NotRun,
            Run::Unknown => Self::Unknown,
            Run::Partial => Self::Partial,
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

/// Counters of the gateway. Clones share them.
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
    /// Streams taken up again by their callers.
    adoptions: Counter,
    /// Tries after the first.
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
    /// Makes counters at zero.
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

    /// Registers all of them.
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

    /// A request ended.
    pub fn ended(&self, class: Class, outcome: Outcome) {
        let class = match class {
            Class::Urgent => "urgent",
            Class::Normal => "normal",
            Class::Background => "background",
        };
        self.requests
            .get_or_create(&EndLabels { class, outcome })
            .inc();
    }

    /// A request was refused.
    pub fn refused(&self, code: &str) {
        self.refusals
            .get_or_create(&CodeLabels { code: code.into() })
            .inc();
    }

    /// The first token of a generation came after this time.
    pub fn first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Tokens came after this time.
    pub fn tokens(&self, count: u64, gap: Duration) {
        self.tokens.inc_by(count);
        self.gap.observe(gap.as_secs_f64());
    }

    /// A stream needed this many new connections.
    pub fn resumed(&self, times: u32) {
        self.resumes.inc_by(times.into());
    }

    /// A caller went on with a stream here.
    pub fn adopted(&self) {
        self.adoptions.inc();
    }

    /// A request is tried again.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// A request began.
    pub fn entered(&self) {
        self.in_flight.inc();
    }

    /// A request is over.
    pub fn left(&self) {
        self.in_flight.dec();
    }

    /// Tokens relayed so far.
    #[must_use]
    pub fn relayed(&self) -> u64 {
        self.tokens.get()
    }
}
