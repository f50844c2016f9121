//! Reads targets' load reports.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use policy::{EngineReport, Event};
use targets::{Engine, PlainService, TargetReport};
use types::{ServiceKind, Shard, Target, TargetId};

use crate::core::Core;

/// Time between two reports of one target.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// A report that takes longer is given up.
const REPORT_LIMIT: Duration = Duration::from_secs(1);

/// Which targets this instance has to watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Those of the shards that it owns.
    Owned,
    /// All of them; for baselines.
    All,
}

/// Polls targets for their load.
pub struct Reports {
    core: Arc<Core>,
    engine: Arc<dyn Engine>,
    plain: Arc<dyn PlainService>,
    scope: Scope,
    under_way: Mutex<HashSet<TargetId>>,
}

impl Reports {
    /// Makes it.
    #[must_use]
    pub fn new(
        core: Arc<Core>,
        engine: Arc<dyn Engine>,
        plain: Arc<dyn PlainService>,
        scope: Scope,
    ) -> Self {
        Self {
            core,
            engine,
            plain,
            scope,
            under_way: Mutex::default(),
        }
    }

    /// Polls until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = self.core.timer.every(REPORT_PERIOD);
        loop {
            ticks.next().await;
            let owned = self.core.with_members(|members, _| members.owned_shards());
            let view = self.core.view();
            for target in &view.targets {
                if self.watches(target, &owned) && self.under_way.lock().insert(target.id.clone()) {
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

    fn watches(&self, target: &Target, owned: &BTreeSet<Shard>) -> bool {
        self.scope == Scope::All
            || owned.contains(&Shard::new(&target.service, &target.data_centre))
    }

    async fn poll(self: Arc<Self>, target: Target, kind: ServiceKind) {
        let begun = self.core.timer.now();
        let read = async {
            match kind {
                ServiceKind::Model => self.engine.report(&target).await,
                ServiceKind::Plain => self.plain.report(&target).await,
            }
        };
        let result = self.core.timer.within(REPORT_LIMIT, read).await;
        self.under_way.lock().remove(&target.id);
        if let Some(Ok(report)) = result {
            // The report may be older than the target says by the time of the way.
            let way = self.core.timer.now().saturating_sub(begun);
            let report = engine_report(&report, way);
            self.core.decide(Event::TargetReported {
                target: target.id,
                report,
            });
        }
    }
}

const fn engine_report(report: &TargetReport, way: Duration) -> EngineReport {
    EngineReport {
        incarnation: report.incarnation,
        age: report.age.saturating_add(way),
        running: report.running,
        waiting: report.waiting,
        used: report.used,
        capacity: report.capacity,
        preemptions: report.preemptions,
        warm: report.warm,
    }
}
