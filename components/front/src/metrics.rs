//! The metrics of an instance.

use placing::ShareDecisions;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use std::time::Duration;

/// Upper bound of the first bucket of the time histograms, in seconds.
const FIRST_BUCKET: f64 = 0.001;
/// Buckets of the time histograms. Each bound is twice the one before, so the last is 33 s.
const BUCKETS: u16 = 16;

/// Labels of the counter of requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// The kind of the route: `idempotent`, `non_idempotent` or `generation`.
    pub kind: &'static str,
    /// `answered`, `refused`, `failed` or `cut`.
    pub outcome: &'static str,
}

/// Labels of the counter of migrations.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct MigrationLabels {
    /// `done`, `no_room`, `nothing` or `lost`.
    pub outcome: &'static str,
}

/// Labels of the gauge of engines.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EngineLabels {
    /// `slow`, `usual` or `fast`, against the mean of the service.
    pub speed: &'static str,
}

/// Labels of the counter of generations that engines failed on routes whose streams may be resumed.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ResumptionLabels {
    /// How the engine failed, as [`crate::generations::resumption::Cause`] names it.
    pub cause: &'static str,
    /// `restarted`, `resumed`, or why it was given up, as
    /// [`crate::generations::resumption::GiveUp`] names it.
    pub outcome: &'static str,
}

/// Labels of engines that were told to stop a generation.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StopLabels {
    /// What is known of the engine.
    pub outcome: &'static str,
}

/// Labels of the counter of bytes exchanged with other instances.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PeerBytesLabels {
    /// The topic of the message, as [`crate::instances::wire::Message::topic`] names it.
    pub topic: &'static str,
    /// `out` for messages sent, `in` for their replies.
    pub direction: &'static str,
    /// `same` or `other`: the data centre of the other instance.
    pub data_centre: &'static str,
}

/// Labels of the counter of calls to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StoreCallLabels {
    /// `operator`, `targets` or `members`.
    pub topic: &'static str,
    /// `read`, `follow` if it waits for changes, `poll` if it doesn't, or `write`.
    pub call: &'static str,
    /// `answered`, `refused` or `silent`.
    pub outcome: &'static str,
}

/// Labels of the counter of answers during rollouts.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RolloutLabels {
    /// `new` for the version that is rolled out, `old` for the others.
    pub version: &'static str,
    /// `answered` or `failed`.
    pub outcome: &'static str,
}

/// Labels of the counter of requests of workspaces above their fair share.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ShareLabels {
    /// `waits` or `rejected`.
    pub decision: &'static str,
}

/// Labels of the counter of targets that were selected by expected time to answer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct SpeedSelectionLabels {
    /// `passed_over` if the target that would usually take the call was expected to be slower, otherwise
    /// `usual`.
    pub choice: &'static str,
}

/// Labels of the counter of targets' answers that were not forwarded.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct UnforwardedLabels {
    /// Which request the answer names: `sent` for the one that was sent, `other` or `none`.
    pub named: &'static str,
    /// Whether it states that the request did not run: `yes` or `no`.
    pub states_not_run: &'static str,
}

/// The metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by kind and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Retries of requests.
    pub retries: Counter,
    /// Crashes of targets while they ran a request.
    pub target_crashes: Counter,
    /// Requests rejected because targets have crashed while they ran them.
    pub quarantined: Counter,
    /// Requests sent to find out whether a part of their prompts crashes targets.
    pub part_probes: Counter,
    /// Answers of targets that say that they are leaving.
    pub said_leaving: Counter,
    /// Pauses that targets have asked for.
    pub pauses: Counter,
    /// Requests that were not sent because of what their target had said.
    pub withheld: Counter,
    /// Rejections by targets that fall over if they reject too much.
    pub brittle_rejections: Counter,
    /// Answers of targets that were not forwarded.
    pub unforwarded_answers: Family<UnforwardedLabels, Counter>,
    /// Connections to targets that failed to open.
    pub failed_connections: Counter,
    /// Requests sent through other instances.
    pub relayed: Counter,
    /// Requests of other instances to targets that these don't reach.
    pub others_requests: Counter,
    /// Placements that probably make a running answer pause for too long.
    pub pauses_stretched: Counter,
    /// Answers of targets of services with a rollout.
    pub rollout_answers: Family<RolloutLabels, Counter>,
    /// Targets of plain calls that were selected by expected time to answer.
    pub speed_selections: Family<SpeedSelectionLabels, Counter>,
    /// Targets of plain calls whose work takes longer than that of their services.
    pub slow_targets: Gauge,
    /// Migrations of generations by outcome.
    pub migrations: Family<MigrationLabels, Counter>,
    /// Requests of workspaces above their fair share, by what this instance decided as owner.
    pub above_share: Family<ShareLabels, Counter>,
    /// Engines that this instance accounts for, by their speed.
    pub engines: Family<EngineLabels, Gauge>,
    /// Generations that engines failed on routes whose streams may be resumed, by what became of them.
    pub resumptions: Family<ResumptionLabels, Counter>,
    /// Engines that were told to stop a generation before another one goes on, by what is known of them.
    pub stops: Family<StopLabels, Counter>,
    /// Bytes of messages sent to other instances, and of their replies.
    pub peer_bytes: Family<PeerBytesLabels, Counter>,
    /// Calls to the store by topic, call and outcome.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Time from sending a request to the head of its answer, in seconds.
    pub head_seconds: Histogram,
    /// Time from the arrival of a request to its sending, in seconds.
    pub held_seconds: Histogram,
    /// Time from the acceptance of a connection to its first turn on a worker thread, in seconds.
    pub turn_seconds: Histogram,
    /// Connections of callers that were closed unread for want of processor time.
    pub closed_unread: Counter,
    /// Moments in which this instance did not listen for connections of callers for want of processor time.
    pub listening_pauses: Counter,
    /// Connections of callers that were closed after an answer for want of processor time.
    pub shed: Counter,
    /// Answers of targets that were not passed on because there was no memory for them.
    pub answers_without_memory: Counter,
    /// Plain calls refused because this instance's share of connections to the targets was in use.
    pub share_refusals: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers all metrics, with value zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("celerystand");
        let times = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let all = Self {
            requests: Family::default(),
            retries: Counter::default(),
            target_crashes: Counter::default(),
            quarantined: Counter::default(),
            part_probes: Counter::default(),
            said_leaving: Counter::default(),
            pauses: Counter::default(),
            withheld: Counter::default(),
            brittle_rejections: Counter::default(),
            unforwarded_answers: Family::default(),
            failed_connections: Counter::default(),
            relayed: Counter::default(),
            others_requests: Counter::default(),
            pauses_stretched: Counter::default(),
            rollout_answers: Family::default(),
            speed_selections: Family::default(),
            slow_targets: Gauge::default(),
            migrations: Family::default(),
            above_share: Family::default(),
            engines: Family::default(),
            resumptions: Family::default(),
            stops: Family::default(),
            peer_bytes: Family::default(),
            store_calls: Family::default(),
            head_seconds: times(),
            held_seconds: times(),
            turn_seconds: times(),
            closed_unread: Counter::default(),
            listening_pauses: Counter::default(),
            shed: Counter::default(),
            answers_without_memory: Counter::default(),
            share_refusals: Counter::default(),
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
            "part_probes",
            "Requests sent to find out whether a part of their prompts crashes targets",
            all.part_probes.clone(),
        );
        registry.register(
            "said_leaving",
            "Answers in which a target says that it is leaving",
            all.said_leaving.clone(),
        );
        registry.register(
            "pauses",
            "Pauses that targets have asked for",
            all.pauses.clone(),
        );
        registry.register(
            "withheld",
            "Requests not sent because of what their target had said",
            all.withheld.clone(),
        );
        registry.register(
            "brittle_rejections",
            "Rejections by targets that fall over if they reject too much",
            all.brittle_rejections.clone(),
        );
        registry.register(
            "unforwarded_answers",
            "Answers of targets that were not forwarded",
            all.unforwarded_answers.clone(),
        );
        registry.register(
            "failed_connections",
            "Connections to targets that failed to open",
            all.failed_connections.clone(),
        );
        registry.register(
            "relayed",
            "Requests sent through other instances",
            all.relayed.clone(),
        );
        registry.register(
            "others_requests",
            "Requests of other instances to targets that these don't reach",
            all.others_requests.clone(),
        );
        registry.register(
            "pauses_stretched",
            "Placements that probably make a running answer pause for too long",
            all.pauses_stretched.clone(),
        );
        registry.register(
            "rollout_answers",
            "Answers during rollouts by version and outcome",
            all.rollout_answers.clone(),
        );
        registry.register(
            "speed_selections",
            "Targets selected by expected time to answer",
            all.speed_selections.clone(),
        );
        registry.register(
            "slow_targets",
            "Targets whose work takes longer than that of their services",
            all.slow_targets.clone(),
        );
        registry.register(
            "carries",
            "Generations carried over",
            all.migrations.clone(),
        );
        registry.register(
            "above_share",
            "Requests of workspaces above their fair share by decision",
            all.above_share.clone(),
        );
        registry.register(
            "engines",
            "Engines that this instance accounts for, by speed",
            all.engines.clone(),
        );
        registry.register(
            "resumptions",
            "Generations that engines failed where streams may be resumed, by cause and outcome",
            all.resumptions.clone(),
        );
        registry.register(
            "generation_stops",
            "Engines told to stop a generation before another one goes on, by outcome",
            all.stops.clone(),
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
        registry.register(
            "turn_seconds",
            "Time from the acceptance of a connection to its first turn on a worker thread",
            all.turn_seconds.clone(),
        );
        registry.register(
            "answers_without_memory",
            "Answers of targets that were not passed on because there was no memory for them",
            all.answers_without_memory.clone(),
        );
        registry.register(
            "closed_unread",
            "Connections of callers that were closed unread for want of processor time",
            all.closed_unread.clone(),
        );
        registry.register(
            "listening_pauses",
            "Moments without listening for connections of callers for want of processor time",
            all.listening_pauses.clone(),
        );
        registry.register(
            "shed",
            "Connections of callers that were closed after an answer for want of processor time",
            all.shed.clone(),
        );
        registry.register(
            "share_refusals",
            "Plain calls refused because the share of connections to the targets was in use",
            all.share_refusals.clone(),
        );
        registry.register("events", "Log events", events::counts());
        Self { registry, ..all }
    }

    /// Records how long a request was held before it was sent.
    pub fn observe_held(&self, time: Duration) {
        self.held_seconds.observe(time.as_secs_f64());
    }

    /// Records how long an accepted connection has waited for its first turn.
    pub fn observe_turn(&self, time: Duration) {
        self.turn_seconds.observe(time.as_secs_f64());
    }

    /// Records the time from sending a request to the head of its answer.
    pub fn observe_head(&self, time: Duration) {
        self.head_seconds.observe(time.as_secs_f64());
    }

    /// Counts a request by kind and outcome.
    pub fn count_request(&self, kind: &'static str, outcome: &'static str) {
        self.requests
            .get_or_create(&RequestLabels { kind, outcome })
            .inc();
    }

    /// Counts an answer of a target that is not forwarded.
    pub fn count_unforwarded(&self, named: &'static str, states_not_run: bool) {
        let states_not_run = if states_not_run { "yes" } else { "no" };
        self.unforwarded_answers
            .get_or_create(&UnforwardedLabels {
                named,
                states_not_run,
            })
            .inc();
    }

    /// Counts decisions on requests of workspaces above their fair share.
    pub fn count_share_decisions(&self, decisions: ShareDecisions) {
        for (decision, count) in [
            ("waits", decisions.waits),
            ("rejected", decisions.rejections),
        ] {
            if count > 0 {
                self.above_share
                    .get_or_create(&ShareLabels { decision })
                    .inc_by(count);
            }
        }
    }

    /// Counts a target that was selected by expected time to answer.
    pub fn count_speed_selection(&self, choice: &'static str) {
        self.speed_selections
            .get_or_create(&SpeedSelectionLabels { choice })
            .inc();
    }

    /// Sets the number of targets that are slower than their services.
    pub fn set_slow_targets(&self, count: usize) {
        self.slow_targets
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a generation that an engine failed where streams may be resumed.
    pub fn count_resumption(&self, cause: &'static str, outcome: &'static str) {
        self.resumptions
            .get_or_create(&ResumptionLabels { cause, outcome })
            .inc();
    }

    /// Counts an engine that was told to stop a generation.
    pub fn count_stop(&self, outcome: &'static str) {
        self.stops.get_or_create(&StopLabels { outcome }).inc();
    }

    /// All metrics in the text format of Prometheus.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
