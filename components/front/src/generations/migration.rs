//! Migrates one generation to another engine, as ordered by the owner of its engine.

use std::{sync::Arc, time::Duration};

use async_channel::bounded;
use events::{Event, emit};
use placing::{Migration, MigrationOutcome};
use timer::{Timer, boot_time};
use types::{Moment, millis};
use view::Target;

use crate::{
    adapters::{KvCopyOutcome, KvCopyRequest, Resume},
    generations::active::{GenerationHandle, RelayCommand},
    metrics::MigrationLabels,
    signals::{self, Purpose},
    state::Front,
};

/// Time for the first copy. A copy of 6,000 tokens takes 0.33 s on a free link and twice that
/// between data centres; an engine that leaves is gone after two seconds.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time for the final copy. It holds only the tokens generated since the first copy began, a few
/// dozen.
const FINAL_COPY_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for the generation to be resumed at the other engine.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Why a generation was not migrated.
struct MigrationError {
    outcome: MigrationOutcome,
    reason: Arc<str>,
}

impl MigrationError {
    fn new(outcome: MigrationOutcome, reason: impl Into<Arc<str>>) -> Self {
        Self {
            outcome,
            reason: reason.into(),
        }
    }
}

/// Migrates a generation. Returns as soon as the final copy is complete: the source's link is then
/// free for the next generation, while this one is resumed in the background.
pub async fn migrate(front: &Arc<Front>, order: &Migration) -> MigrationOutcome {
    let Some(generation) = front.generations.get(&order.generation) else {
        return MigrationOutcome::Nothing;
    };
    let source = generation.target();
    if source.id != order.from || !generation.begin_migration() {
        return MigrationOutcome::Nothing;
    }
    match copy(front, &generation, &source, order).await {
        Ok(stopped_generation) => {
            let (front, order) = (Arc::clone(front), order.clone());
            workers::spawn(async move {
                resume_and_log(&front, &generation, &order, stopped_generation).await
            })
            .detach();
            MigrationOutcome::Done
        }
        Err(failure) => {
            generation.end_migration();
            // Fails only if the relay has ended.
            let _ = generation.send_command(RelayCommand::MigrationCancelled);
            record_failure(front, order, failure)
        }
    }
}

/// Resumes the generation, and logs and counts the outcome.
async fn resume_and_log(
    front: &Front,
    generation: &GenerationHandle,
    order: &Migration,
    stopped_generation: StoppedGeneration,
) {
    let (copy_started, stopped) = (stopped_generation.copy_started, stopped_generation.stopped);
    let result = resume_at_target(generation, stopped_generation).await;
    generation.end_migration();
    if let Err(failure) = result {
        record_failure(front, order, failure);
        return;
    }
    emit(&Event::GenerationCarried {
        id: Arc::clone(&order.generation),
        from: Arc::clone(&order.from),
        to: Arc::clone(&order.to),
        copy_ms: millis(stopped.saturating_sub(copy_started)),
        pause_ms: millis(boot_time().saturating_sub(stopped)),
    });
    count(front, MigrationOutcome::Done);
}

fn record_failure(front: &Front, order: &Migration, failure: MigrationError) -> MigrationOutcome {
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
    let labels = MigrationLabels { outcome };
    front.metrics.migrations.get_or_create(&labels).inc();
}

/// A generation that was stopped for a migration, and where it is to be resumed.
struct StoppedGeneration {
    target: Arc<Target>,
    resume: Resume,
    /// When the first copy began.
    copy_started: Moment,
    /// When the engine was told to stop the generation.
    stopped: Moment,
}

/// Copies the KV cache of a generation, stops the generation, and copies what was added since.
async fn copy(
    front: &Arc<Front>,
    generation: &GenerationHandle,
    source: &Arc<Target>,
    order: &Migration,
) -> Result<StoppedGeneration, MigrationError> {
    let copy_started = boot_time();
    let to = front.view.target(&order.to).ok_or_else(|| {
        MigrationError::new(MigrationOutcome::NoRoom, "the destination is not listed")
    })?;
    // The owner may not have heard yet, and pauses bind this instance only.
    if generation.was_refused_by(&to.id) {
        let reason = "the destination has refused the generation before";
        return Err(MigrationError::new(MigrationOutcome::NoRoom, reason));
    }
    if let Some(withheld) = signals::withheld(front, &to, Purpose::NewWork) {
        let reason = format!("the destination takes nothing: {withheld}");
        return Err(MigrationError::new(MigrationOutcome::NoRoom, reason));
    }
    let first = KvCopyRequest {
        generation: &order.generation,
        from: source.addr,
        to: to.addr,
        is_final: false,
        timeout: COPY_TIMEOUT,
    };
    let copy = complete_copy(signals::copy_kv(front, source, &first).await)?;
    generation.store_copy(Arc::clone(&to), resume_from(source, copy));
    let stopped = boot_time();
    if !generation.send_command(RelayCommand::MigrationStarted) {
        return Err(MigrationError::new(
            MigrationOutcome::Nothing,
            "the generation has ended",
        ));
    }
    let final_copy = KvCopyRequest {
        is_final: true,
        timeout: FINAL_COPY_TIMEOUT,
        ..first
    };
    let stopped_generation = |target: &Arc<Target>, copy| StoppedGeneration {
        target: Arc::clone(target),
        resume: resume_from(source, copy),
        copy_started,
        stopped,
    };
    match signals::copy_kv(front, source, &final_copy).await {
        KvCopyOutcome::Complete { copy } => Ok(stopped_generation(&to, copy)),
        KvCopyOutcome::NoRoom { copy: Some(copy) } => {
            // The generation has stopped, and can only be resumed at the source.
            resume_at_target(generation, stopped_generation(source, copy)).await?;
            Err(MigrationError::new(
                MigrationOutcome::NoRoom,
                "no room for the final copy",
            ))
        }
        other => {
            if matches!(other, KvCopyOutcome::Unknown { .. }) {
                // Fails only if the relay has ended.
                let _ = generation.send_command(RelayCommand::MigrationUncertain);
            }
            complete_copy(other).map(|copy| stopped_generation(&to, copy))
        }
    }
}

fn resume_from(source: &Target, copy: Arc<str>) -> Resume {
    Resume {
        source: source.addr,
        copy,
        after: None,
    }
}

/// The name of a complete copy.
fn complete_copy(outcome: KvCopyOutcome) -> Result<Arc<str>, MigrationError> {
    match outcome {
        KvCopyOutcome::Complete { copy } => Ok(copy),
        KvCopyOutcome::NoRoom { .. } => Err(MigrationError::new(
            MigrationOutcome::NoRoom,
            "no room for the copy",
        )),
        KvCopyOutcome::NotRunning => Err(MigrationError::new(
            MigrationOutcome::Nothing,
            "the generation does not run on the source",
        )),
        KvCopyOutcome::Busy => Err(MigrationError::new(
            MigrationOutcome::Nothing,
            "another copy is in progress",
        )),
        KvCopyOutcome::Withheld { reason } | KvCopyOutcome::Unreached { reason, .. } => {
            Err(MigrationError::new(MigrationOutcome::Nothing, reason))
        }
        KvCopyOutcome::Unknown { reason } => {
            Err(MigrationError::new(MigrationOutcome::Lost, reason))
        }
    }
}

/// Asks the relay to resume the generation, and waits until it has done so.
async fn resume_at_target(
    generation: &GenerationHandle,
    stopped_generation: StoppedGeneration,
) -> Result<(), MigrationError> {
    let (tx, rx) = bounded(1);
    let command = RelayCommand::Resume {
        target: stopped_generation.target,
        resume: stopped_generation.resume,
        done: tx,
    };
    if !generation.send_command(command) {
        return Err(MigrationError::new(
            MigrationOutcome::Nothing,
            "the generation has ended",
        ));
    }
    let done = Timer::new().within(RESUME_TIMEOUT, rx.recv()).await;
    match done {
        Some(Ok(true)) => Ok(()),
        _ => Err(MigrationError::new(
            MigrationOutcome::Lost,
            "the generation was not resumed from its copy",
        )),
    }
}
