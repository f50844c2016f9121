//! The state that all parts of one instance share.
//!
//! Lock order: `bounds`, `retry_budget`, `cold_targets`, `selector`, then the locks inside
//! `generations`, `placement`, `peers` and `view`, then `rate_limits`, then `pauses`, then `brittle`, then
//! `paths`. `quarantine`, `part_quarantine`, `rate_allocator`, `relays` and the locks inside `rollouts` are never held together
//! with another lock. No lock is held across an await.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use net::{Client, DynamicLimits};
use parking_lot::{Mutex, RwLock};
use quarantine::{PartQuarantine, QuarantineState};
use rates::{BrittleTargets, Pauses, RateAllocator, RateLimits};
use reach::{Paths, Relays};
use timer::{Timer, boot_time};
use types::{Moment, ServiceId, VersionChoice};
use view::{Service, Target, View};
use workers::Latch;

use crate::{
    adapters::{EngineControl, ProtocolAdapter, Store},
    callers::{intake_limit::IntakeLimit, open_requests::OpenRequests, shutdown::Shutdown},
    config::{Bounds, Config},
    generations::{active::ActiveGenerations, avoidance::AvoidedEngines, placement::Placement},
    instances::{peers::Peers, wire::Topic},
    metrics::Metrics,
    plain_calls::{
        answer_times::AnswerTimes, cold::ColdTargets, retry_budget::RetryBudget,
        selection::TargetSelector,
    },
    quarantine::{crash_detection::RecentCrashes, record::WritePace},
    reaching::server::OthersRequests,
    rollouts::local::Rollouts,
    store::topic_cache::TopicCache,
};

/// Share of the revocation limit up to which cached keys are honoured. The rest is a margin for
/// forwarding the request.
const KEY_AGE_SHARE: f64 = 0.92;
/// Margin beyond the configured idle time before an idle connection is closed. A request that
/// arrives just as its connection is closed is lost, and its caller can't tell whether it was read.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time from the first moment of serving callers during which requests wait until the instance is
/// ready.
const START_TIMEOUT: Duration = Duration::from_millis(400);
/// Size of a connection's read buffer as a multiple of the limit on headers: the request line comes
/// on top, and the body may arrive with the head.
const HEADER_BUFFER_FACTOR: usize = 2;

/// The state that all parts of one instance share.
pub struct Front {
    /// The settings at the start.
    pub cfg: Config,
    /// The cached configuration, data centres and targets.
    pub view: View,
    /// The protocol of callers and targets.
    pub adapter: Arc<dyn ProtocolAdapter>,
    /// The control interface of engines.
    pub engines: Arc<dyn EngineControl>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The HTTP client for targets.
    pub client: Client,
    /// The other instances.
    pub peers: Peers,
    /// Placement of generations on engines.
    pub placement: Placement,
    /// Generations that run for callers of this instance.
    pub generations: ActiveGenerations,
    /// Cached rows of the configuration and of data centres taken out of service.
    pub operator_rows: Arc<TopicCache>,
    /// Cached rows of the targets.
    pub target_rows: Arc<TopicCache>,
    /// Cached rows of the instances.
    pub member_rows: Arc<TopicCache>,
    /// Selection of targets for plain calls.
    pub selector: Mutex<TargetSelector>,
    /// The budget for retries.
    pub retry_budget: Mutex<RetryBudget>,
    /// Targets in slow start.
    pub cold_targets: Mutex<ColdTargets>,
    /// Rate limits that targets have announced for all instances together.
    pub rate_limits: Mutex<RateLimits>,
    /// Pauses that targets have asked this instance for.
    pub pauses: Mutex<Pauses>,
    /// Targets that fall over if they reject too much.
    pub brittle: Mutex<BrittleTargets>,
    /// Allocation of the rate limits that this instance coordinates.
    pub rate_allocator: Mutex<RateAllocator>,
    /// Paths to the targets.
    pub paths: Mutex<Paths>,
    /// Engines that have lost generations of this instance one after the other.
    pub avoided_engines: Mutex<AvoidedEngines>,
    /// The other instances as relays.
    pub relays: Mutex<Relays>,
    /// How long plain calls have taken.
    pub answer_times: Mutex<AnswerTimes>,
    /// Requests of other instances to targets that these don't reach.
    pub others_requests: OthersRequests,
    /// Requests during which targets crashed.
    pub quarantine: Mutex<QuarantineState>,
    /// Parts of prompts under which targets crashed.
    pub part_quarantine: Mutex<PartQuarantine>,
    /// Spaces out the writes of quarantine records.
    pub record_pace: WritePace,
    /// Rollouts of new versions.
    pub rollouts: Rollouts,
    /// Targets that have crashed recently.
    pub recent_crashes: RecentCrashes,
    /// The memory for all that is kept for callers, targets and other instances.
    pub memory: net::Budget,
    /// Shutdown of this instance.
    pub shutdown: Shutdown,
    /// Opened once the other instances have been read from the store or a seed, or the store has
    /// failed.
    pub peers_known: Latch,
    /// Limits the connections that are taken on while there is too little processor time.
    pub intake_limit: Mutex<IntakeLimit>,
    /// Requests that have no answer yet.
    pub open_requests: OpenRequests,
    /// Opened once the instance has been ready for callers for the first time.
    pub became_ready: Latch,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Limits on callers' connections, from the current configuration.
    pub connection_limits: Arc<DynamicLimits>,
    /// All sources of the targets have failed, so the cached targets may be stale.
    pub targets_lost: AtomicBool,
    /// The latest era of the store in which this instance has written its rows again.
    pub restored_era: AtomicU64,
    /// When the instance started.
    pub started_at: Moment,
    /// When the instance began to serve callers.
    pub serving_since: OnceLock<Moment>,
    /// The operators' bounds, from the current settings.
    pub bounds: RwLock<Bounds>,
}

impl Front {
    /// The targets of a service that accept work, of the versions of a choice.
    #[must_use]
    pub fn usable_targets(&self, service: &ServiceId, choice: &VersionChoice) -> Vec<Arc<Target>> {
        let mut targets = self.view.usable_targets(service);
        let has_listed = |choice: &VersionChoice| self.view.has_version(service, choice);
        self.rollouts
            .filter(service, choice, &mut targets, has_listed);
        targets
    }

    /// Whether the cached keys are recent enough to be honoured. A key may have been revoked since
    /// the last read; once that read is too old, honouring any key could let a revoked one through.
    #[must_use]
    pub fn can_honour_keys(&self) -> bool {
        let bounds = *self.bounds.read();
        if !bounds.strict_revocation {
            return true;
        }
        let max_age = bounds.revocation_limit.mul_f64(KEY_AGE_SHARE);
        self.view
            .rules_read_at()
            .is_some_and(|read| elapsed_since(read) < max_age)
    }

    /// The age of the cached configuration: time since the last read of it was sent, or since the
    /// start if there was none.
    #[must_use]
    pub fn config_age(&self) -> Duration {
        elapsed_since(self.view.rules_read_at().unwrap_or(self.started_at))
    }

    /// Whether the instance accepts callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.view.rules().is_some() && self.view.targets_read_at().is_some();
        known && self.shutdown.time_left().is_none() && self.can_honour_keys()
    }

    /// Waits until the instance is ready, if it has only just started: a short wait saves callers
    /// one of their few retries.
    pub async fn wait_until_ready_after_start(&self) {
        let since = self.serving_since.get().copied();
        let serving_for = since.map_or(Duration::ZERO, elapsed_since);
        let time_left = START_TIMEOUT.saturating_sub(serving_for);
        if !time_left.is_zero() {
            // If the wait times out, the request is handled as at any other time.
            let _ = Timer::new()
                .within(time_left, self.became_ready.wait())
                .await;
        }
    }

    /// Applies the limits on callers' connections from the current configuration.
    pub fn apply_connection_limits(&self) {
        let Some(rules) = self.view.rules() else {
            return;
        };
        if let Some(objective) = rules.strictest_objective() {
            self.intake_limit.lock().set_objective(objective);
        }
        let Some(limits) = rules.request_limits else {
            return;
        };
        let idle = limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN;
        self.connection_limits.set(
            limits.header_bytes.saturating_mul(HEADER_BUFFER_FACTOR),
            idle,
        );
    }

    /// The cached rows of a topic.
    #[must_use]
    pub fn topic_cache(&self, topic: Topic) -> Arc<TopicCache> {
        Arc::clone(match topic {
            Topic::Operator => &self.operator_rows,
            Topic::Targets => &self.target_rows,
            Topic::Members => &self.member_rows,
        })
    }

    /// The number of instances that share budgets, including this one.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.peers.count()
    }

    /// Takes a permit to send a request to a target; false if the target is cold and this
    /// instance's share of its rate is used up.
    pub fn take_cold_permit(&self, service: &Service, target: &Target) -> bool {
        let bounds = *self.bounds.read();
        let per_s = if service.cold_requests_per_s > 0.0 {
            service.cold_requests_per_s * bounds.cold_overage + bounds.cold_slack
        } else {
            0.0
        };
        let instances = self.instance_count();
        self.cold_targets
            .lock()
            .try_take(boot_time(), &target.id, per_s, instances)
    }
}

/// The time since a moment.
#[must_use]
pub fn elapsed_since(moment: Moment) -> Duration {
    boot_time().saturating_sub(moment)
}

/// The wall-clock time in Unix milliseconds.
#[must_use]
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
