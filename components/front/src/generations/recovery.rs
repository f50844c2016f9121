//! Takes a generation elsewhere whose stream was lost while its engine may still have its memory.
//!
//! A connection that is reset or falls silent says nothing about the engine. Without this the
//! caller gets half an answer although the engine could hand the other half over.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use placing::PlacementAnswer;
use timer::boot_time;
use view::Target;

use crate::{
    adapters::{KvCopyOutcome, KvCopyRequest, Resume},
    callers::{call::Call, refusal::millis},
    generations::{active::GenerationHandle, dispatch},
    state::Front,
};

/// Time for the copy: 5,000 tokens of one generation take 0.3 s on a free link, and twice that
/// between data centres.
const COPY_PATIENCE: Duration = Duration::from_millis(1_200);

/// Stops a generation at its engine and copies it to another one. Tells where it goes on.
///
/// # Errors
/// Tells why it can't; it has ended, or stopped for good, or its engine does not answer.
pub async fn recover(
    front: &Arc<Front>,
    call: &Call,
    live: &GenerationHandle,
) -> Result<(Arc<Target>, Resume), Arc<str>> {
    let source = live.target();
    let from = boot_time();
    let to = match destination(front, call, live, &source).await {
        Ok(to) => to,
        // The engine itself can go on too, and tells under which name when a copy finds no room.
        Err(why) => another(front, live, &source).ok_or(why)?,
    };
    let order = KvCopyRequest {
        generation: &live.run,
        from: source.addr,
        to: to.addr,
        is_final: true,
        timeout: COPY_PATIENCE.min(call.time_left()),
    };
    let resume = |copy| Resume {
        source: source.addr,
        copy,
        after: None,
    };
    match front.engines.copy_kv(&order).await {
        KvCopyOutcome::Complete { copy } => {
            emit(&Event::GenerationRescued {
                id: Arc::clone(&live.run),
                from: Arc::clone(&source.id),
                to: Arc::clone(&to.id),
                copy_ms: millis(boot_time().saturating_sub(from)),
            });
            Ok((to, resume(copy)))
        }
        // It has stopped, and can only go on where it was.
        KvCopyOutcome::NoRoom { copy: Some(copy) } => Ok((Arc::clone(&source), resume(copy))),
        KvCopyOutcome::NoRoom { copy: None } => Err("no room for its copy".into()),
        KvCopyOutcome::NotRunning => Err("its engine has dropped it".into()),
        KvCopyOutcome::Busy => Err("it is being copied already".into()),
        KvCopyOutcome::Unknown { reason } => Err(reason),
    }
}

/// An engine that has room for what the generation holds.
async fn destination(
    front: &Arc<Front>,
    call: &Call,
    live: &GenerationHandle,
    source: &Target,
) -> Result<Arc<Target>, Arc<str>> {
    let shard = dispatch::first_shard(front, call);
    let mut ask = dispatch::ask(front, call, shard, &[Arc::clone(&source.id)]);
    ask.prompt_tokens += live.tokens_generated();
    // It is late already; any engine will do.
    ask.objective_left = call.time_left();
    match front.place(&ask).await {
        PlacementAnswer::Assigned { target } => front
            .view
            .target(&target)
            .ok_or_else(|| "the engine that it should go to is not listed".into()),
        PlacementAnswer::Wait { .. } | PlacementAnswer::Rejected { .. } => {
            Err("no engine has room for it".into())
        }
    }
}

/// Any other engine of the generation's service that takes work.
fn another(front: &Front, live: &GenerationHandle, source: &Target) -> Option<Arc<Target>> {
    let mut others = front.view.usable(&live.service);
    others.retain(|target| target.id != source.id);
    fastrand::choice(others)
}
