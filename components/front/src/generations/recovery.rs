//! Recovers a generation whose stream was lost while its engine may still hold its KV cache.
//!
//! A connection that is reset or idle says nothing about the engine. Without recovery the caller
//! would get an incomplete answer although the engine could still hand the generation over.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use placing::PlacementAnswer;
use timer::boot_time;
use types::millis;
use view::Target;

use crate::{
    adapters::{KvCopyOutcome, KvCopyRequest, Resume},
    callers::call::Call,
    generations::{active::GenerationHandle, assignment},
    signals::{self, Purpose},
    state::Front,
};

/// Time for the copy: 5,000 tokens take 0.3 s on a free link, and twice that between data centres.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Stops a generation at its engine and copies its KV cache to another one. Returns the engine and
/// the copy from which it can be resumed.
///
/// # Errors
/// The reason why the generation can't be recovered: it has ended, its engine does not answer, or
/// no copy could be made.
pub async fn recover(
    front: &Arc<Front>,
    call: &Call,
    generation: &GenerationHandle,
) -> Result<(Arc<Target>, Resume), Arc<str>> {
    let source = generation.target();
    let started = boot_time();
    let to = match destination(front, call, generation, &source).await {
        Ok(to) => to,
        // A copy is requested even without an engine that has room: the source then stops the
        // generation and can resume it from its own memory.
        Err(why) => any_other_engine(front, generation, &source).ok_or(why)?,
    };
    let request = KvCopyRequest {
        generation: &generation.id,
        from: source.addr,
        to: to.addr,
        is_final: true,
        timeout: COPY_TIMEOUT.min(call.time_left()),
    };
    let resume = |copy| Resume {
        source: source.addr,
        copy,
        after: None,
    };
    match signals::copy_kv(front, &source, &request).await {
        KvCopyOutcome::Complete { copy } => {
            emit(&Event::GenerationRescued {
                id: Arc::clone(&generation.id),
                from: Arc::clone(&source.id),
                to: Arc::clone(&to.id),
                copy_ms: millis(boot_time().saturating_sub(started)),
            });
            Ok((to, resume(copy)))
        }
        // The generation has stopped, and can only be resumed at the source.
        KvCopyOutcome::NoRoom { copy: Some(copy) } => Ok((Arc::clone(&source), resume(copy))),
        KvCopyOutcome::NoRoom { copy: None } => Err("no room for the copy".into()),
        KvCopyOutcome::NotRunning => Err("the engine no longer has the generation".into()),
        KvCopyOutcome::Busy => Err("another copy is in progress".into()),
        KvCopyOutcome::Withheld { reason } | KvCopyOutcome::Unknown { reason } => Err(reason),
    }
}

/// Requests an engine with room for the prompt and the tokens generated so far.
async fn destination(
    front: &Arc<Front>,
    call: &Call,
    generation: &GenerationHandle,
    source: &Target,
) -> Result<Arc<Target>, Arc<str>> {
    let shard = assignment::first_shard(front, call);
    let mut request = assignment::placement_request(front, call, shard, &[Arc::clone(&source.id)]);
    request.versions = front.rollouts.destinations(boot_time(), source);
    request.prompt_tokens += generation.tokens_generated();
    // The first event is already late, so any engine will do.
    request.objective_left = call.time_left();
    match front.place(&request).await {
        PlacementAnswer::Assigned { target } => front
            .view
            .target(&target)
            .filter(|target| target.weights == source.weights)
            .filter(|target| signals::withheld(front, target, Purpose::NewWork).is_none())
            .ok_or_else(|| "the assigned engine takes nothing, or has other weights".into()),
        PlacementAnswer::Wait { .. } | PlacementAnswer::Rejected { .. } => {
            Err("no engine has room for the generation".into())
        }
    }
}

/// Any other engine of the generation's service that accepts work.
fn any_other_engine(
    front: &Front,
    generation: &GenerationHandle,
    source: &Target,
) -> Option<Arc<Target>> {
    let choice = front.rollouts.destinations(boot_time(), source);
    let mut others = front.usable_targets(&generation.service, &choice);
    others.retain(|target| target.id != source.id && target.weights == source.weights);
    others.retain(|target| front.pause_left(target).is_none());
    fastrand::choice(others)
}
