//! Migrates generations off an engine that is leaving, one after the other.

use std::{collections::HashSet, sync::Arc, time::Duration};

use placing::{GenerationId, Migration, MigrationOutcome};
use timer::boot_time;
use types::TargetId;
use view::Target;

use crate::{
    generations::migration::migrate,
    instances::wire::{Message, Reply},
    state::Front,
};

/// How long a leaving engine is evacuated. It is gone about two seconds after its notice.
const EVACUATION_TIME: Duration = Duration::from_millis(3_000);
/// Pause before the next attempt if no generation can be migrated at the moment.
const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// Pause before the next attempt if the account shows no generation on the engine: an entry may
/// report one later.
const EMPTY_PAUSE: Duration = Duration::from_millis(60);
/// Time for an entry to migrate one generation.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time for the owner to accept the notification of a leaving engine.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(300);

/// Migrates the generations in this instance's account off an engine that is leaving.
pub async fn evacuate(front: Arc<Front>, source: Arc<Target>) {
    if !front.cfg.decisions.features.migration {
        return;
    }
    migrate_all(&front, &source, || true).await;
    front.placement.owner.lock().remove_engine(&source.id);
}

/// Migrates the generations in this instance's account off an engine whose version is being replaced,
/// as long as the rollout goes on.
pub async fn evacuate_replaced(front: Arc<Front>, source: Arc<Target>) {
    if !front.cfg.decisions.features.migration {
        return;
    }
    let goes_on = || {
        let migrates = front.rollouts.with(&source.service, |rollout| {
            rollout.exposure.migrates(boot_time())
        });
        migrates == Some(true)
    };
    migrate_all(&front, &source, goes_on).await;
}

async fn migrate_all(front: &Arc<Front>, source: &Target, goes_on: impl Fn() -> bool) {
    let until = boot_time() + EVACUATION_TIME;
    let mut excluded: HashSet<(GenerationId, Option<TargetId>)> = HashSet::new();
    let shard = front.shard_of(&source.service, &source.id);
    while boot_time() < until && goes_on() {
        // On most instances the account shows nothing on this engine, and hundreds of engines may
        // leave at once, so this check comes before the expensive ones.
        if !front.placement.owner.lock().has_generations_on(&source.id) {
            smol::Timer::after(EMPTY_PAUSE).await;
            continue;
        }
        let engines = front.migration_destinations(&shard, source);
        let is_excluded = |generation: &GenerationId, to: &TargetId| {
            excluded.contains(&(Arc::clone(generation), None))
                || excluded.contains(&(Arc::clone(generation), Some(Arc::clone(to))))
        };
        let next = front.placement.owner.lock().next_migration(
            boot_time(),
            &source.id,
            &source.data_centre,
            &engines,
            &is_excluded,
        );
        let Some(order) = next else {
            smol::Timer::after(RETRY_PAUSE).await;
            continue;
        };
        let outcome = send_order(front, &order).await;
        front
            .placement
            .owner
            .lock()
            .finish_migration(&order, outcome);
        match outcome {
            MigrationOutcome::Done => {}
            MigrationOutcome::NoRoom => {
                excluded.insert((order.generation, Some(order.to)));
            }
            MigrationOutcome::Nothing | MigrationOutcome::Lost => {
                excluded.insert((order.generation, None));
            }
        }
    }
}

/// Notifies the owner that an engine is leaving on which this instance has generations. The owner
/// may follow the store through a reader that has just crashed, and would then learn of it a second
/// later: too late to migrate much.
pub async fn notify_owner(front: Arc<Front>, target: Arc<Target>) {
    let active = front.generations.snapshots();
    if !active
        .iter()
        .any(|generation| generation.target == target.id)
    {
        return;
    }
    let shard = front.shard_of(&target.service, &target.id);
    let owner = front.owners(&shard).into_iter().next();
    let Some(owner) = owner.filter(|id| *id != front.cfg.instance) else {
        return;
    };
    let message = Message::TargetLeaving {
        target: Arc::clone(&target.id),
        started_at: target.started_at,
    };
    // The reply carries no information, and other entries notify the owner as well.
    let _ = front.peers.call(&owner, &message, NOTIFY_TIMEOUT).await;
}

/// Sends the migration order to the entry that relays the generation.
async fn send_order(front: &Arc<Front>, order: &Migration) -> MigrationOutcome {
    let Some(entry) = front.placement.entry_of(&order.generation) else {
        return MigrationOutcome::Nothing;
    };
    if entry == front.cfg.instance {
        return migrate(front, order).await;
    }
    let message = Message::Migrate(order.clone());
    match front.peers.call(&entry, &message, MIGRATION_TIMEOUT).await {
        Some(Reply::Migrated(outcome)) => outcome,
        _ => MigrationOutcome::Lost,
    }
}
