//! Obtains an engine for a generation from the owner of a shard, and keeps the owner informed.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use placing::{GenerationUpdate, PlacementAnswer, PlacementRequest, Shard};
use timer::boot_time;
use types::{ServiceId, TargetId, Tokens, VersionChoice};
use view::Target;

use crate::{
    adapters::GenerationSizes,
    callers::{
        call::Call,
        refusal::{ELSEWHERE_RETRY_AFTER, Refusal},
    },
    generations::active::GenerationHandle,
    state::Front,
};

/// `Retry-After` of a generation for which no engine was found.
pub(super) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// `Retry-After` of a generation that fits into no engine. Only another configuration changes that.
const TOO_LARGE_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Shards of a service's engines that are tried before a generation is refused. Even with two of
/// many, a full shard hardly ever decides while others have room.
const MAX_SHARD_ATTEMPTS: u32 = 3;
/// Sizes assumed for a generation that declares none: those of a short question.
pub(super) const DEFAULT_SIZES: GenerationSizes = GenerationSizes {
    prompt_tokens: 1_000,
    max_tokens: 1_000,
    length_hint: None,
};
/// Time within which the listing of a new engine arrives at the other instances.
const LISTING_DELAY: Duration = Duration::from_millis(20);

/// The assignment of a generation to an engine, as the owner of the shard accounts for it. When it
/// is released or dropped the owner is notified; otherwise the engine's capacity would stay
/// reserved.
pub struct Assignment {
    pub(super) front: Arc<Front>,
    /// The generation.
    pub generation: Arc<GenerationHandle>,
    /// Whether the engine refused or failed the generation.
    pub target_failed: bool,
    /// Whether the generation ran to its end, so that its length can be recorded.
    pub completed: bool,
    /// Whether the owner has been notified of the release.
    released: bool,
}

impl Assignment {
    pub(super) fn new(front: &Arc<Front>, generation: GenerationHandle) -> Self {
        let generation = Arc::new(generation);
        front.generations.add(&generation);
        Self {
            front: Arc::clone(front),
            generation,
            target_failed: false,
            completed: false,
            released: false,
        }
    }

    /// Releases the assignment, and waits until the owner has processed that. The owner would
    /// otherwise take an update that arrives after the next placement request for the end of the
    /// new assignment.
    pub async fn release(mut self) {
        self.release_early().await;
    }

    /// Releases the assignment of a generation that goes on elsewhere, as [`Self::release`] does.
    pub async fn release_early(&mut self) {
        // Nothing is ever sent: `recv` fails once the owner has been notified.
        let _ = self.notify_owner().recv().await;
    }

    /// Notifies the owner that the assignment is released.
    fn notify_owner(&mut self) -> Receiver<()> {
        self.released = true;
        self.generation.close();
        self.front.generations.remove(&self.generation.id);
        let update = GenerationUpdate::Ended {
            generation: Arc::clone(&self.generation.id),
            target_failed: self.target_failed,
            tokens_generated: self.completed.then(|| self.generation.tokens_generated()),
        };
        let shard = self
            .front
            .shard_of(&self.generation.service, &self.generation.target().id);
        Front::notify_owner(&self.front, &shard, update)
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if !self.released {
            self.notify_owner();
        }
    }
}

/// Requests engines until one is assigned, or refuses once none can serve the call in time.
pub(super) async fn assign_engine(
    front: &Arc<Front>,
    call: &Call,
    avoid: &[TargetId],
    versions: &VersionChoice,
) -> Result<Arc<Target>, Refusal> {
    check_size(call)?;
    let mut shard = first_shard(front, call);
    let mut full_shards = 0;
    // Engines that the owner assigned although this instance can't use them.
    let mut unusable: Vec<TargetId> = Vec::new();
    let usable = |id: &TargetId| {
        let listed = front.view.target(id);
        let in_service = listed.filter(|target| front.view.accepts_work(target));
        in_service.filter(|target| front.rest_left(target).is_none())
    };
    loop {
        if call.time_left().is_zero() {
            return Err(Refusal::not_run(
                "no engine came free in time",
                NO_TARGET_RETRY_AFTER,
            ));
        }
        if let Some(after) = front.retry_after_pauses(&call.service.name) {
            return Err(Refusal::not_run("every engine wants a pause", after));
        }
        if front.reaches_none(&call.service.name) {
            return Err(Refusal::not_run(
                "no instance reaches an engine",
                NO_TARGET_RETRY_AFTER,
            ));
        }
        unusable.retain(|id| usable(id).is_none());
        // The owner does not know the pauses: they bind this instance only. It may still reach engines
        // that neither this instance nor its relays do.
        let paused = front.paused_targets(&call.service.name);
        let down = front.down_targets(&call.service.name);
        let losing = front.losing_engines(&call.service.name);
        let avoid = [avoid, &unusable, &paused, &down, &losing].concat();
        let request = PlacementRequest {
            versions: versions.clone(),
            ..placement_request(front, call, shard.clone(), &avoid)
        };
        if !front.can_complete(&request) {
            return Err(Refusal::not_run(
                "this instance stops before it would end",
                ELSEWHERE_RETRY_AFTER,
            ));
        }
        let after = match front.place(&request).await {
            PlacementAnswer::Assigned { target: id } => match usable(&id) {
                Some(target) => return Ok(target),
                None => {
                    // The owner and this instance know different listings of the engine: it has
                    // just joined or is about to leave.
                    unusable.push(id);
                    let generation = Arc::clone(&call.request.id);
                    let update = GenerationUpdate::Ended {
                        generation,
                        target_failed: false,
                        tokens_generated: None,
                    };
                    // Awaited, because the owner would take a late update for the end of its next
                    // assignment.
                    let _ = Front::notify_owner(front, &shard, update).recv().await;
                    LISTING_DELAY
                }
            },
            PlacementAnswer::Wait { after } => after,
            PlacementAnswer::Rejected { .. }
                if full_shards + 1 < shard.count.min(MAX_SHARD_ATTEMPTS) =>
            {
                full_shards += 1;
                shard = shard.next();
                continue;
            }
            PlacementAnswer::Rejected { after, above_share } => {
                let reason = if above_share {
                    "no engine can begin it in time, its workspace is above its share"
                } else {
                    "no engine can begin it in time"
                };
                return Err(Refusal::not_run(reason, after));
            }
        };
        smol::Timer::after(after.min(call.time_left())).await;
    }
}

impl Front {
    /// Engines of a service that are avoided because they have lost generations of this instance. None if
    /// that would leave less than half of them.
    fn losing_engines(&self, service: &ServiceId) -> Vec<TargetId> {
        let avoided = self.avoided_engines.lock();
        if avoided.is_empty() {
            return Vec::new();
        }
        let now = boot_time();
        let usable = self.view.usable_targets(service);
        let losing = usable
            .iter()
            .filter(|target| avoided.is_avoided(now, &target.id));
        let losing: Vec<TargetId> = losing.map(|target| Arc::clone(&target.id)).collect();
        if 2 * losing.len() > usable.len() {
            return Vec::new();
        }
        losing
    }
}

/// Refuses a generation that is larger than the memory of an engine.
fn check_size(call: &Call) -> Result<(), Refusal> {
    let memory = call
        .service
        .engine
        .as_ref()
        .map_or(0, |engine| engine.memory);
    let sizes = call.request.sizes.unwrap_or_default();
    // A memory of zero is not known.
    if memory > 0 && sizes.prompt_tokens + sizes.max_tokens > memory {
        return Err(Refusal::not_run(
            "it is larger than the memory of an engine",
            TOO_LARGE_RETRY_AFTER,
        ));
    }
    Ok(())
}

/// The shard that is tried first for a generation. It is chosen by the fingerprint, so that
/// requests are spread over the shards while retries of one request go to the same shard.
pub(crate) fn first_shard(front: &Front, call: &Call) -> Shard {
    let service = &call.service.name;
    Shard::of_target(
        Arc::clone(service),
        &call.fingerprint.to_string(),
        front.shard_count(service),
    )
}

/// Builds the placement request for a call.
pub(crate) fn placement_request(
    front: &Front,
    call: &Call,
    shard: Shard,
    avoid: &[TargetId],
) -> PlacementRequest {
    let sizes = remaining_sizes(call);
    PlacementRequest {
        generation: Arc::clone(&call.request.id),
        digest: call.fingerprint.short(),
        entry: Arc::clone(&front.cfg.instance),
        data_centre: Arc::clone(&front.cfg.data_centre),
        shard,
        route: Arc::clone(&call.route.name),
        prompt_tokens: sizes.prompt_tokens,
        max_tokens: sizes.max_tokens,
        length_hint: sizes.length_hint,
        priority: call.priority,
        route_priority: call.route.priority,
        objective_left: call.objective_left(),
        deadline_left: call.time_left(),
        waited: call.elapsed(),
        avoid: avoid.to_vec(),
        versions: VersionChoice::Any,
        max_pause: call.route.max_pause,
        workspace: call.workspace.clone(),
    }
}

/// The sizes of what is left of a generation: events that the caller has are read as part of the prompt.
fn remaining_sizes(call: &Call) -> GenerationSizes {
    let sizes = call.request.sizes.unwrap_or(DEFAULT_SIZES);
    let events = call.resumes_after.or_else(|| call.caller_last_event());
    let generated = (events.unwrap_or(0))
        .saturating_mul(tokens_per_event(call))
        .min(sizes.max_tokens);
    GenerationSizes {
        prompt_tokens: sizes.prompt_tokens.saturating_add(generated),
        max_tokens: sizes.max_tokens - generated,
        length_hint: sizes.length_hint.map(|hint| hint.saturating_sub(generated)),
    }
}

/// Tokens in one event of the call's service.
fn tokens_per_event(call: &Call) -> Tokens {
    let engine = call.service.engine.as_ref();
    engine.map_or(1, |engine| engine.tokens_per_event)
}

pub(super) fn new_handle(call: &Call, target: &Arc<Target>) -> GenerationHandle {
    let sizes = call.request.sizes.unwrap_or(DEFAULT_SIZES);
    let events = call.resumes_after.or_else(|| call.caller_last_event());
    let id = Arc::clone(&call.request.id);
    let service = Arc::clone(&call.service.name);
    GenerationHandle::new(id, service, Arc::clone(target))
        .with_sizes(sizes, tokens_per_event(call))
        .with_events_received(events.unwrap_or(0))
        .with_route(Arc::clone(&call.route.name), call.priority)
}
