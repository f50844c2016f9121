//! Asks engines themselves whether they leave and what they hold, while nobody else tells.
//!
//! An instance that reaches neither the store nor a peer still reaches its engines and callers.
//! It would see an engine's leaving only when its streams break off, and take engines for empty
//! that others have filled. Each question has a price, so engines are asked only while what is
//! known of them is old, and only by the owner of their service: by one instance where the store
//! is lost to all, by each where they can't hear one another.

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
    state::{Front, elapsed_since},
    store::follow,
};

/// Knowledge of the targets is old after this: two calls of a reader and the answer to a follower
/// fit into it.
const OLD: Duration = Duration::from_millis(2_300);
/// Time between two rounds of questions. Engines leave 1.5 s after their notice at the earliest,
/// and their reports may be half a second old.
const PERIOD: Duration = Duration::from_millis(300);
/// Rounds between two in which all engines are asked, and not those alone that run something for
/// this instance. Where many instances are cut off at once, the questions to all are what costs.
const ALL_EVERY: u32 = 4;
/// Time for an engine to answer.
const PATIENCE: Duration = Duration::from_millis(200);

/// Asks for as long as the instance runs.
pub async fn watch(front: Arc<Front>) {
    let mut ticks = Timer::new().every(PERIOD);
    let mut round = 0_u32;
    loop {
        ticks.next().await;
        if !is_blind(&front) {
            continue;
        }
        let mine: BTreeSet<TargetId> = front
            .generations
            .snapshots()
            .into_iter()
            .map(|r| r.target)
            .collect();
        let all = round.is_multiple_of(ALL_EVERY);
        round = round.wrapping_add(1);
        for target in engines(&front) {
            if !all && !mine.contains(&target.id) {
                continue;
            }
            let front = Arc::clone(&front);
            workers::spawn(async move { ask(&front, target).await }).detach();
        }
    }
}

/// Whether an engine's leaving would go unheard: nobody tells any more, or what was told is old. A
/// store that refuses is known to be lost at once, and engines that leave in that moment are gone
/// before knowledge of them counts as old.
fn is_blind(front: &Front) -> bool {
    let read = front.view.targets_read().unwrap_or_default();
    front.targets_lost.load(Ordering::Acquire) || elapsed_since(read) >= OLD
}

/// Engines whose account this instance owns, listed as taking work.
fn engines(front: &Front) -> Vec<Arc<Target>> {
    let me = &front.cfg.instance;
    let owned = front
        .shards_of_all()
        .filter(|shard| front.owners(shard).first() == Some(me));
    let of_shard = |shard: Shard| {
        let usable = front.view.usable(&shard.service).into_iter();
        usable.filter(move |target| shard.contains(&target.id))
    };
    owned.flat_map(of_shard).collect()
}

async fn ask(front: &Arc<Front>, target: Arc<Target>) {
    let report = match front.engines.report(target.addr, PATIENCE).await {
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
        follow::mark_leaving(front, &target.id);
    }
}
