//! Polls targets for their load reports and passes these to the policy.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use policy::{Event, TargetLoad};
use targets::{Engine, PlainService, TargetReport};
use types::{ServiceKind, Shard, Target, TargetId};

use crate::core::Core;

/// Time between two polls of one target.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Time limit for a target to answer with its report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The targets that this instance polls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportScope {
    /// The targets of the shards that it owns.
    Owned,
    /// All targets; for baselines.
    All,
}

/// Polls targets for their load reports.
pub struct LoadPoller {
    core: Arc<Core>,
    engine: Arc<dyn Engine>,
    plain: Arc<dyn PlainService>,
    scope: ReportScope,
    in_progress: Mutex<HashSet<TargetId>>,
}

impl LoadPoller {
    /// Creates a poller.
    #[must_use]
    pub fn new(
        core: Arc<Core>,
        engine: Arc<dyn Engine>,
        plain: Arc<dyn PlainService>,
        scope: ReportScope,
    ) -> Self {
        Self {
            core,
            engine,
            plain,
            scope,
            in_progress: Mutex::default(),
        }
    }

    /// Polls periodically; never returns. A target is not polled again while an answer of it is
    /// outstanding.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = self.core.timer.every(REPORT_PERIOD);
        loop {
            ticks.next().await;
            let owned = self.core.with_members(|members, _| members.owned_shards());
            let view = self.core.view();
            for target in &view.targets {
                if self.is_watched(target, &owned)
                    && self.in_progress.lock().insert(target.id.clone())
                {
                    let kind = view
                        .limits
                        .get(&target.service)
                        .map_or_else(Default::default, |l| l.kind);
                    let this = Arc::clone(&self);
                    workers::spawn(this.poll(target.clone(), kind)).detach();
                }
            }
        }
    }

    fn is_watched(&self, target: &Target, owned: &BTreeSet<Shard>) -> bool {
        self.scope == ReportScope::All
            || owned.contains(&Shard::new(&target.service, &target.data_centre))
    }

    async fn poll(self: Arc<Self>, target: Target, kind: ServiceKind) {
        let started_at = self.core.timer.now();
        let read = async {
            match kind {
                ServiceKind::Model => self.engine.report(&target).await,
                ServiceKind::Plain => self.plain.report(&target).await,
            }
        };
        let result = self.core.timer.within(REPORT_TIMEOUT, read).await;
        self.in_progress.lock().remove(&target.id);
        if let Some(Ok(report)) = result {
            // The age that the target states does not include the time of the transmission, which
            // is at most the time since the request was sent.
            let transit = self.core.timer.now().saturating_sub(started_at);
            let report = engine_report(&report, transit);
            self.core.handle_event(Event::TargetReported {
                target: target.id,
                report,
            });
        }
    }
}

const fn engine_report(report: &TargetReport, transit: Duration) -> TargetLoad {
    TargetLoad {
        incarnation: report.incarnation,
        age: report.age.saturating_add(transit),
        running: report.running,
        waiting: report.waiting,
        used: report.used,
        capacity: report.capacity,
        preemptions: report.preemptions,
        warm: report.warm,
    }
}
