//! Carries one generation over to another engine, on its owner's order.

use std::{sync::Arc, time::Duration};

use async_channel::bounded;
use events::{Event, emit};
use placing::{Migration, MigrationOutcome};
use timer::{Timer, boot_time};
use types::Moment;
use view::Target;

use crate::{
    adapters::{KvCopyOutcome, KvCopyRequest, Resume},
    callers::refusal::millis,
    generations::active::{GenerationHandle, RelayCommand},
    metrics::MigrationLabels,
    state::Front,
};

/// Time for the first copy. One of 6,000 tokens takes 0.33 s on a free link, twice that between
/// data centres; an engine that leaves is gone in two seconds.
const COPY_PATIENCE: Duration = Duration::from_millis(1_800);
/// Time for the final copy, which holds what came since the first one began: a few dozen tokens.
const LAST_PATIENCE: Duration = Duration::from_millis(700);
/// Time for the generation to go on at the other engine.
const SPLICE_PATIENCE: Duration = Duration::from_millis(1_600);

/// Why a generation was not carried over.
struct Failure {
    outcome: MigrationOutcome,
    reason: Arc<str>,
}

impl Failure {
    fn new(outcome: MigrationOutcome, reason: impl Into<Arc<str>>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
        }
    }
}

/// Carries a generation over. It is done once the final copy is there: the engine's link is free
/// for the next generation then, while this one goes on at its new engine.
pub async fn migrate(front: &Arc<Front>, order: &Migration) -> MigrationOutcome {
    let Some(live) = front.generations.get(&order.generation) else {
        return MigrationOutcome::Nothing;
    };
    let source = live.target();
    if source.id != order.from || !live.begin_migration() {
        return MigrationOutcome::Nothing;
    }
    match copy(front, &live, &source, order).await {
        Ok(splice) => {
            let (front, order) = (Arc::clone(front), order.clone());
            workers::spawn(async move { finish(&front, &live, &order, splice).await }).detach();
            MigrationOutcome::Done
        }
        Err(failure) => {
            live.end_migration();
            // Fails only where the relay has ended.
            let _ = live.send_command(RelayCommand::MigrationCancelled);
            failed(front, order, failure)
        }
    }
}

/// Lets the generation go on, and logs how that went.
async fn finish(front: &Front, live: &GenerationHandle, order: &Migration, splice: Splice) {
    let (from, stopped) = (splice.from, splice.stopped);
    let result = go_on(live, splice).await;
    live.end_migration();
    if let Err(failure) = result {
        failed(front, order, failure);
        return;
    }
    emit(&Event::GenerationCarried {
        id: Arc::clone(&order.generation),
        from: Arc::clone(&order.from),
        to: Arc::clone(&order.to),
        copy_ms: millis(stopped.saturating_sub(from)),
        pause_ms: millis(boot_time().saturating_sub(stopped)),
    });
    count(front, MigrationOutcome::Done);
}

fn failed(front: &Front, order: &Migration, failure: Failure) -> MigrationOutcome {
    emit(&Event::CarryFailed {
        id: Arc::clone(&order.generation),
        from: Arc::clone(&order.from),
        to: Arc::clone(&order.to),
        reason: failure.reason,
    });
    count(front, failure.outcome);
    failure.outcome
}

fn count(front: &Front, outcome: MigrationOutcome) {
    let outcome = match outcome {
        MigrationOutcome::Done => "done",
        MigrationOutcome::NoRoom => "no_room",
        MigrationOutcome::Nothing => "nothing",
        MigrationOutcome::Lost => "lost",
    };
    let ending = MigrationLabels { outcome };
    front.metrics.migrations.get_or_create(&ending).inc();
}

/// A generation that has stopped, and where it goes on.
struct Splice {
    target: Arc<Target>,
    resume: Resume,
    /// When the first copy began.
    from: Moment,
    /// When the engine was told to stop.
    stopped: Moment,
}

/// Copies a generation's memory and stops it.
async fn copy(
    front: &Front,
    live: &GenerationHandle,
    source: &Arc<Target>,
    order: &Migration,
) -> Result<Splice, Failure> {
    let from = boot_time();
    let to = front
        .view
        .target(&order.to)
        .ok_or_else(|| Failure::new(MigrationOutcome::NoRoom, "the destination is not listed"))?;
    let first = KvCopyRequest {
        generation: &order.generation,
        from: source.addr,
        to: to.addr,
        is_final: false,
        timeout: COPY_PATIENCE,
    };
    let copy = whole(front.engines.copy_kv(&first).await)?;
    live.store_copy(Arc::clone(&to), resume(source, copy));
    let stopped = boot_time();
    if !live.send_command(RelayCommand::MigrationStarted) {
        return Err(Failure::new(MigrationOutcome::Nothing, "it has ended"));
    }
    let last = KvCopyRequest {
        is_final: true,
        timeout: LAST_PATIENCE,
        ..first
    };
    let splice = |target: &Arc<Target>, copy| Splice {
        target: Arc::clone(target),
        resume: resume(source, copy),
        from,
        stopped,
    };
    match front.engines.copy_kv(&last).await {
        KvCopyOutcome::Complete { copy } => Ok(splice(&to, copy)),
        KvCopyOutcome::NoRoom { copy: Some(copy) } => {
            // It has stopped, and can only go on where it was.
            go_on(live, splice(source, copy)).await?;
            Err(Failure::new(
                MigrationOutcome::NoRoom,
                "no room for the final copy",
            ))
        }
        other => {
            if matches!(other, KvCopyOutcome::Unknown { .. }) {
                // Fails only where the relay has ended.
                let _ = live.send_command(RelayCommand::MigrationUncertain);
            }
            whole(other).map(|copy| splice(&to, copy))
        }
    }
}

fn resume(source: &Target, copy: Arc<str>) -> Resume {
    Resume {
        source: source.addr,
        copy,
        after: None,
    }
}

/// The name of a whole copy.
fn whole(copied: KvCopyOutcome) -> Result<Arc<str>, Failure> {
    match copied {
        KvCopyOutcome::Complete { copy } => Ok(copy),
        KvCopyOutcome::NoRoom { .. } => Err(Failure::new(
            MigrationOutcome::NoRoom,
            "no room for the copy",
        )),
        KvCopyOutcome::NotRunning => Err(Failure::new(
            MigrationOutcome::Nothing,
            "it does not run there",
        )),
        KvCopyOutcome::Busy => Err(Failure::new(
            MigrationOutcome::Nothing,
            "it is being copied already",
        )),
        KvCopyOutcome::Unknown { reason } => Err(Failure::new(MigrationOutcome::Lost, reason)),
    }
}

async fn go_on(live: &GenerationHandle, splice: Splice) -> Result<(), Failure> {
    let (tx, rx) = bounded(1);
    let order = RelayCommand::Resume {
        target: splice.target,
        resume: splice.resume,
        done: tx,
    };
    if !live.send_command(order) {
        return Err(Failure::new(MigrationOutcome::Nothing, "it has ended"));
    }
    let done = Timer::new().within(SPLICE_PATIENCE, rx.recv()).await;
    match done {
        Some(Ok(true)) => Ok(()),
        _ => Err(Failure::new(
            MigrationOutcome::Lost,
            "it does not go on from its copy",
        )),
    }
}
