//! What all parts of one instance share.
//!
//! Locks, in the order in which they may be held together: `budget`, `cold`, `choice`, then those
//! inside `live`, `placement`, `peers` and `view`. None is held over an await.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use net::Client;
use parking_lot::Mutex;
use timer::boot_time;
use types::Moment;
use view::{Service, Target, View};

use crate::{
    budget::Budget,
    choice::Choice,
    cold::ColdTargets,
    config::Config,
    face::{Engines, Face},
    live::LiveRuns,
    metrics::Metrics,
    peers::Peers,
    placement::Placement,
    shelf::Shelf,
    wire::Topic,
};

/// Part of a revoked key's life after which knowledge is too old to honour any key: a request
/// must not be passed on at the very last moment.
const REVOKE_PART: f64 = 0.92;

/// What all parts of one instance share.
pub struct Front {
    /// Its settings.
    pub cfg: Config,
    /// What it believes.
    pub view: View,
    /// Speaks with callers and targets.
    pub face: Arc<dyn Face>,
    /// Gives engines orders.
    pub engines: Arc<dyn Engines>,
    /// Connections to targets.
    pub client: Client,
    /// The other instances.
    pub peers: Peers,
    /// Engines for generations.
    pub placement: Placement,
    /// Generations that run for its callers.
    pub live: LiveRuns,
    /// Rows of the operator.
    pub operator_rows: Arc<Shelf>,
    /// Rows of the targets.
    pub target_rows: Arc<Shelf>,
    /// Rows of the instances.
    pub member_rows: Arc<Shelf>,
    /// Targets for plain calls.
    pub choice: Mutex<Choice>,
    /// Second sendings.
    pub budget: Mutex<Budget>,
    /// Cold targets.
    pub cold: Mutex<ColdTargets>,
    /// Bytes that bodies may hold together.
    pub bodies: net::Budget,
    /// Set once it is told to stop.
    pub stopping: AtomicBool,
    /// Requests being served.
    pub open: Arc<AtomicUsize>,
    /// Counters and histograms.
    pub metrics: Metrics,
}

impl Front {
    /// Targets of a service that may get work now.
    #[must_use]
    pub fn usable(&self, service: &Service) -> Vec<Arc<Target>> {
        let targets = self.view.targets();
        let fits =
            |target: &&Arc<Target>| target.service == service.name && self.view.takes_work(target);
        targets.values().filter(fits).cloned().collect()
    }

    /// Whether knowledge of keys is fresh enough to honour them. A key may have been taken away
    /// since the last read that we know of; when that read is too old, honouring any key might
    /// serve somebody who has lost the right to it.
    #[must_use]
    pub fn keys_fresh(&self) -> bool {
        if !self.cfg.bounds.strict_revocation {
            return true;
        }
        let most = self.cfg.bounds.revoke.mul_f64(REVOKE_PART);
        self.view.rules_read().is_some_and(|read| age(read) < most)
    }

    /// Whether it takes callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.view.rules().is_some() && self.view.targets_read().is_some();
        known && !self.stopping.load(Ordering::Acquire) && self.keys_fresh()
    }

    /// The rows of a topic.
    #[must_use]
    pub fn shelf(&self, topic: Topic) -> Arc<Shelf> {
        Arc::clone(match topic {
            Topic::Operator => &self.operator_rows,
            Topic::Targets => &self.target_rows,
            Topic::Members => &self.member_rows,
        })
    }

    /// Instances that share budgets, this one included.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.peers.count()
    }

    /// Takes the right to send a request to a target that may be cold.
    pub fn take_cold(&self, service: &Service, target: &Target) -> bool {
        let bounds = &self.cfg.bounds;
        let per_s = if service.cold_per_s > 0.0 {
            service.cold_per_s * bounds.cold_overage + bounds.cold_slack
        } else {
            0.0
        };
        let instances = self.instances();
        self.cold
            .lock()
            .take(boot_time(), &target.id, per_s, instances)
    }
}

/// Time since a moment.
#[must_use]
pub fn age(moment: Moment) -> std::time::Duration {
    boot_time().saturating_sub(moment)
}
