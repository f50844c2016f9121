//! Recovers a generation whose stream was lost while its engine may still hold its KV cache.
//!
//! A connection that is reset or idle says nothing about the engine. Without recovery the caller
//! would get an incomplete answer although the engine could still hand the generation over.

use std::sync::Arc;

use events::{Event, emit};
use placing::PlacementAnswer;
use timer::boot_time;
use types::{Moment, millis};
use view::Target;

use crate::{
    adapters::Resume,
    callers::call::Call,
    generations::{
        active::GenerationHandle,
        assignment,
        resumption::patience,
        stopping::{self, Stopped, Stopping, any_other_engine},
    },
    signals::{self, Purpose},
    state::Front,
};

/// What is left of a generation whose engine has stopped.
pub enum Rest {
    /// A copy from which it can go on at an engine.
    Copy(Arc<Target>, Resume),
    /// Nothing, for this reason.
    Nothing(Arc<str>),
}

/// What is known of the run of a generation at its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Run {
    /// It was sent to the engine, and no event has come.
    Sent {
        /// When it was sent.
        at: Moment,
    },
    /// Events have come.
    Begun,
    /// The engine has ended its answer, and so its run.
    Ended,
}

/// Stops a generation at its engine, and copies its KV cache to another one. If the engine no longer has it, an
/// earlier copy counts. `run` says what is known of its run there.
///
/// # Errors
/// Returns why the engine may still work on the generation, which can then go on nowhere else.
pub async fn recover(
    front: &Arc<Front>,
    call: &Call,
    generation: &GenerationHandle,
    run: Run,
) -> Result<Rest, Arc<str>> {
    let source = generation.target();
    let started = boot_time();
    let earlier = generation.take_copy();
    let to = match &earlier {
        Some((to, _)) => Arc::clone(to),
        None => match destination(front, call, generation, &source).await {
            Ok(to) => to,
            // A copy is requested even without an engine that has room: the source then stops the
            // generation and can resume it from its own memory.
            Err(why) => any_other_engine(front, &source).ok_or(why)?,
        },
    };
    let stopping = Stopping {
        id: &generation.id,
        source: &source,
        to: &to,
        queued_since: match run {
            Run::Sent { at } => Some(at),
            Run::Begun | Run::Ended => None,
        },
    };
    let stopped = if run == Run::Ended {
        stopping::copy_ended(front, &stopping).await
    } else {
        let timeout = patience(call.route.objective, call.time_left());
        stopping::stop(front, &stopping, timeout).await?
    };
    let reason = match stopped {
        Stopped::Copied { at, resume } => {
            if at.id != source.id {
                emit(&Event::GenerationRescued {
                    id: Arc::clone(&generation.id),
                    from: Arc::clone(&source.id),
                    to: Arc::clone(&at.id),
                    copy_ms: millis(boot_time().saturating_sub(started)),
                });
            }
            return Ok(Rest::Copy(at, resume));
        }
        Stopped::NotRunning => "the engine no longer has the generation",
        Stopped::NotReached => "the engine is not reached",
    };
    Ok(match earlier {
        Some((at, resume)) => Rest::Copy(at, resume),
        None => Rest::Nothing(reason.into()),
    })
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
