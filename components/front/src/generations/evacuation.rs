//! Moves generations off an engine that leaves, one after the other.

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

/// How long an engine that leaves is watched. It is gone some two seconds after its notice.
const WATCH: Duration = Duration::from_millis(3_000);
/// Pause before the account is looked at again where nothing can be moved just now.
const LOOK_AGAIN: Duration = Duration::from_millis(15);
/// Pause before the account is looked at again where it has nothing on the engine: an entry may
/// tell of a generation there only now.
const NOTHING_THERE: Duration = Duration::from_millis(60);
/// Time for an entry to carry one generation over.
const CARRY_PATIENCE: Duration = Duration::from_millis(3_500);

/// Time for the owner to take word of a leaving engine.
const TELL_PATIENCE: Duration = Duration::from_millis(300);

/// Moves off an engine what this instance has in its account there.
pub async fn evacuate(front: Arc<Front>, source: Arc<Target>) {
    if !front.cfg.decisions.features.migration {
        return;
    }
    let until = boot_time() + WATCH;
    let mut unfit: HashSet<(GenerationId, Option<TargetId>)> = HashSet::new();
    let shard = front.shard_of(&source.service, &source.id);
    while boot_time() < until {
        // On most instances nothing of the account runs there, and hundreds of engines may leave.
        if !front.placement.owner.lock().has_generations_on(&source.id) {
            smol::Timer::after(NOTHING_THERE).await;
            continue;
        }
        let engines = front.engines_of(&shard);
        let is_unfit = |run: &GenerationId, to: &TargetId| {
            unfit.contains(&(Arc::clone(run), None))
                || unfit.contains(&(Arc::clone(run), Some(Arc::clone(to))))
        };
        let next = front.placement.owner.lock().next_migration(
            boot_time(),
            &source.id,
            &source.data_centre,
            &engines,
            &is_unfit,
        );
        let Some(order) = next else {
            smol::Timer::after(LOOK_AGAIN).await;
            continue;
        };
        let outcome = send(&front, &order).await;
        front
            .placement
            .owner
            .lock()
            .finish_migration(&order, outcome);
        match outcome {
            MigrationOutcome::Done => {}
            MigrationOutcome::NoRoom => {
                unfit.insert((order.generation, Some(order.to)));
            }
            MigrationOutcome::Nothing | MigrationOutcome::Lost => {
                unfit.insert((order.generation, None));
            }
        }
    }
    front.placement.owner.lock().remove_engine(&source.id);
}

/// Tells the owner that an engine leaves on which generations of this instance run. The owner may
/// follow the store through a reader that has just died, and hear of it a second later: too late
/// to move much.
pub async fn notify_owner(front: Arc<Front>, target: Arc<Target>) {
    let running = front.generations.snapshots();
    if !running.iter().any(|run| run.target == target.id) {
        return;
    }
    let shard = front.shard_of(&target.service, &target.id);
    let owner = front.owners(&shard).into_iter().next();
    let Some(owner) = owner.filter(|id| *id != front.cfg.instance) else {
        return;
    };
    let message = Message::Leaving(Arc::clone(&target.id));
    // An answer says nothing beyond that it was taken; other entries tell the owner as well.
    let _ = front.peers.call(&owner, &message, TELL_PATIENCE).await;
}

/// Gives the order to the entry that holds the generation.
async fn send(front: &Arc<Front>, order: &Migration) -> MigrationOutcome {
    let Some(entry) = front.placement.entry_of(&order.generation) else {
        return MigrationOutcome::Nothing;
    };
    if entry == front.cfg.instance {
        return migrate(front, order).await;
    }
    let message = Message::Carry(order.clone());
    match front.peers.call(&entry, &message, CARRY_PATIENCE).await {
        Some(Reply::Carried(outcome)) => outcome,
        _ => MigrationOutcome::Lost,
    }
}
