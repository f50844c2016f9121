//! Polls engines directly for their state and load while all other sources are lost.
//!
//! An instance that reaches neither the store nor a peer may still reach its engines and callers.
//! It would otherwise notice a leaving engine only when its streams break, and would assume that
//! engines are empty which other instances have filled. Every request to an engine has a cost, so
//! engines are polled only while the known state is stale and shortly after, and only by the owner
//! of their shard: by one instance if all have lost the store, by each if they can't reach one
//! another.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use events::{Event, emit};
use placing::Shard;
use timer::{Timer, boot_time};
use types::TargetId;
use view::Target;

use crate::{
    adapters::EngineState,
    signals,
    state::{Front, elapsed_since},
    store::follow,
};

/// Age at which the known targets are stale: long enough for two reads by a reader and the reply to
/// a follower.
const STALE_AGE: Duration = Duration::from_millis(2_300);
/// How long engines are polled after the sources are back. Engines announce in the store that they
/// leave, and their calls to it may fail for a while after an outage.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Time between two rounds. Engines leave 1.5 s after their notice at the earliest, and their
/// reports may be half a second old.
const PERIOD: Duration = Duration::from_millis(300);
/// Every n-th round polls all engines; the others poll only those that run something, as far as the
/// owner knows. If many instances are partitioned at once, requests to all engines are the main cost.
const FULL_ROUND_PERIOD: u32 = 4;
/// Time for an engine to answer: that of two rounds. A late report leaves enough of the notice to migrate what
/// runs, and a busy engine may answer all of them late.
const REPORT_TIMEOUT: Duration = PERIOD.saturating_mul(2);

/// Runs for the lifetime of the instance.
pub async fn watch(front: Arc<Front>) {
    let mut ticks = Timer::new().every(PERIOD);
    let mut round = 0_u32;
    let mut lost_at = None;
    loop {
        ticks.next().await;
        let (now, is_lost) = (boot_time(), has_lost_sources(&front));
        // Before the first read nothing was lost, and all instances may be starting.
        if is_lost && front.view.targets_read_at().is_some() {
            lost_at = Some(now);
        }
        let is_recovering = lost_at.is_some_and(|at| now <= at + RECOVERY_TIME);
        if !is_lost && !is_recovering {
            continue;
        }
        let in_use = engines_in_use(&front);
        let full_round = round.is_multiple_of(FULL_ROUND_PERIOD);
        round = round.wrapping_add(1);
        for target in owned_engines(&front) {
            if !full_round && !in_use.contains(&target.id) {
                continue;
            }
            let front = Arc::clone(&front);
            workers::spawn(async move { probe(&front, target).await }).detach();
        }
    }
}

/// Whether this instance would not learn that an engine is leaving: its sources are lost, or what
/// it knows is stale. A source that refuses is known to be lost at once, and engines that leave at
/// that moment are gone before the known state counts as stale.
fn has_lost_sources(front: &Front) -> bool {
    let read = front.view.targets_read_at().unwrap_or_default();
    front.targets_lost.load(Ordering::Acquire) || elapsed_since(read) >= STALE_AGE
}

/// Engines that run something for this instance, or for others whose generations it accounts for.
fn engines_in_use(front: &Front) -> BTreeSet<TargetId> {
    let own = front.generations.snapshots().into_iter();
    let mut in_use: BTreeSet<TargetId> = own.map(|generation| generation.target).collect();
    in_use.extend(front.placement.owner.lock().engines_in_use());
    in_use
}

/// Listed engines that accept work, in the shards that this instance owns.
fn owned_engines(front: &Front) -> Vec<Arc<Target>> {
    let me = &front.cfg.instance;
    let owned = front
        .shards_of_all()
        .filter(|shard| front.owners(shard).first() == Some(me));
    let of_shard = |shard: Shard| {
        let usable = front.view.usable_targets(&shard.service).into_iter();
        usable.filter(move |target| shard.contains(&target.id))
    };
    owned.flat_map(of_shard).collect()
}

/// Requests an engine's report and applies it.
async fn probe(front: &Arc<Front>, target: Arc<Target>) {
    let report = match signals::request_report(front, &target, REPORT_TIMEOUT).await {
        Ok(report) => report,
        Err(reason) => {
            emit(&Event::EngineUnheard {
                target: Arc::clone(&target.id),
                reason,
            });
            return;
        }
    };
    let mut owner = front.placement.owner.lock();
    owner.record_report(boot_time(), &target.id, report.load);
    drop(owner);
    if report.state == EngineState::Leaving {
        follow::mark_leaving(front, &target.id, target.started_at);
    }
}
