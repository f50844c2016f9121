//! What all parts of one instance share.
//!
//! Locks, in the order in which they may be held together: `bounds`, `retry_budget`, `cold_targets`, `selector`, then those
//! inside `generations`, `placement`, `peers` and `view`. `rate_limits` comes after all of
//! these; `quarantine` and `rate_allocator` are held alone. None is held over an await.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use net::{Client, Terms};
use parking_lot::{Mutex, RwLock};
use quarantine::QuarantineState;
use rates::{RateAllocator, RateLimits};
use timer::{Timer, boot_time};
use types::Moment;
use view::{Service, Target, View};

use crate::{
    adapters::{EngineControl, ProtocolAdapter, Store},
    callers::{open_requests::OpenRequests, shutdown::Shutdown},
    config::{Bounds, Config},
    generations::{active::ActiveGenerations, placement::Placement},
    instances::{peers::Peers, wire::Topic},
    latch::Latch,
    metrics::Metrics,
    plain_calls::{cold::ColdTargets, retry_budget::RetryBudget, selection::TargetSelector},
    quarantine::crash_detection::RecentCrashes,
    store::topic_cache::TopicCache,
};

/// Part of a revoked key's life after which knowledge is too old to honour any key: a request
/// must not be passed on at the very last moment.
const REVOKE_PART: f64 = 0.92;
/// Time beyond the longest idleness that callers are allowed: a request that arrives just as its
/// connection is closed is lost, and its caller can't tell whether it was read.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time from its start in which an instance keeps callers waiting until it knows enough to take them.
const START_PATIENCE: Duration = Duration::from_millis(400);
/// Buffers as a multiple of the headers that callers may send: the request line comes on top, and
/// a whole request may arrive at once.
const HEADER_ROOM: usize = 2;

/// What all parts of one instance share.
pub struct Front {
    /// Its settings.
    pub cfg: Config,
    /// What it believes.
    pub view: View,
    /// Speaks with callers and targets.
    pub adapter: Arc<dyn ProtocolAdapter>,
    /// Gives engines orders.
    pub engines: Arc<dyn EngineControl>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Connections to targets.
    pub client: Client,
    /// The other instances.
    pub peers: Peers,
    /// Engines for generations.
    pub placement: Placement,
    /// Generations that run for its callers.
    pub generations: ActiveGenerations,
    /// Rows of the operator.
    pub operator_rows: Arc<TopicCache>,
    /// Rows of the targets.
    pub target_rows: Arc<TopicCache>,
    /// Rows of the instances.
    pub member_rows: Arc<TopicCache>,
    /// Targets for plain calls.
    pub selector: Mutex<TargetSelector>,
    /// Second sendings.
    pub retry_budget: Mutex<RetryBudget>,
    /// Cold targets.
    pub cold_targets: Mutex<ColdTargets>,
    /// Rates that targets have named for all instances.
    pub rate_limits: Mutex<RateLimits>,
    /// The rates that this instance hands out.
    pub rate_allocator: Mutex<RateAllocator>,
    /// Requests under which targets ended.
    pub quarantine: Mutex<QuarantineState>,
    /// Targets that have ended lately.
    pub recent_crashes: RecentCrashes,
    /// Bytes that bodies may hold together.
    pub body_budget: net::Budget,
    /// The end of its life.
    pub shutdown: Shutdown,
    /// Open once it has looked for the other instances, or can't.
    pub peers_known: Latch,
    /// Requests that were read and have no answer yet.
    pub open_requests: OpenRequests,
    /// Open once it has known enough to take callers.
    pub state_known: Latch,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Limits of callers' connections, as the configuration in force sets them.
    pub terms: Arc<Terms>,
    /// No source tells it of the targets any more.
    pub targets_lost: AtomicBool,
    /// When it started.
    pub started_at: Moment,
    /// The operators' bounds, as the settings say now.
    pub bounds: RwLock<Bounds>,
}

impl Front {
    /// Targets of a service that may get work now.
    #[must_use]
    pub fn usable_targets(&self, service: &Service) -> Vec<Arc<Target>> {
        self.view.usable(&service.name)
    }

    /// Whether knowledge of keys is fresh enough to honour them. A key may have been taken away
    /// since the last read that we know of; when that read is too old, honouring any key might
    /// serve somebody who has lost the right to it.
    #[must_use]
    pub fn can_honour_keys(&self) -> bool {
        let bounds = *self.bounds.read();
        if !bounds.strict_revocation {
            return true;
        }
        let most = bounds.revocation_limit.mul_f64(REVOKE_PART);
        self.view
            .rules_read()
            .is_some_and(|read| elapsed_since(read) < most)
    }

    /// How long it has known too little to serve callers: since the last read of the operator's rows
    /// was sent, or since it started.
    #[must_use]
    pub fn state_age(&self) -> Duration {
        elapsed_since(self.view.rules_read().unwrap_or(self.started_at))
    }

    /// Whether it takes callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.view.rules().is_some() && self.view.targets_read().is_some();
        known && self.shutdown.time_left().is_none() && self.can_honour_keys()
    }

    /// Waits, right after the start, until it knows enough to take callers: a short wait spares them
    /// one of their few retries.
    pub async fn wait_for_state_at_start(&self) {
        let left = START_PATIENCE.saturating_sub(elapsed_since(self.started_at));
        if !left.is_zero() {
            // Where it does not get there in time, the request is judged as at any other time.
            let _ = Timer::new().within(left, self.state_known.wait()).await;
        }
    }

    /// Takes the limits of callers' connections from the configuration in force.
    pub fn apply_connection_limits(&self) {
        let Some(limits) = self.view.rules().and_then(|rules| rules.limits) else {
            return;
        };
        let idle = limits.idle_time.max(limits.header_time) + IDLE_MARGIN;
        self.terms
            .set(limits.header_bytes.saturating_mul(HEADER_ROOM), idle);
    }

    /// The rows of a topic.
    #[must_use]
    pub fn topic_cache(&self, topic: Topic) -> Arc<TopicCache> {
        Arc::clone(match topic {
            Topic::Operator => &self.operator_rows,
            Topic::Targets => &self.target_rows,
            Topic::Members => &self.member_rows,
        })
    }

    /// Instances that share budgets, this one included.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.peers.count()
    }

    /// Takes the right to send a request to a target that may be cold.
    pub fn take_cold_permit(&self, service: &Service, target: &Target) -> bool {
        let bounds = *self.bounds.read();
        let per_s = if service.cold_per_s > 0.0 {
            service.cold_per_s * bounds.cold_overage + bounds.cold_slack
        } else {
            0.0
        };
        let instances = self.instance_count();
        self.cold_targets
            .lock()
            .try_take(boot_time(), &target.id, per_s, instances)
    }
}

/// Time since a moment.
#[must_use]
pub fn elapsed_since(moment: Moment) -> Duration {
    boot_time().saturating_sub(moment)
}

/// The time of day, in Unix milliseconds.
#[must_use]
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
