//! Generations: a place first, then the stream.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use events::{Event, emit};
use hyper::{Response, http};
use net::{Body, fed};
use placing::{GenerationUpdate, PlacementAnswer, PlacementRequest, Shard};
use rates::Reservation;
use smol::future;
use timer::boot_time;
use types::TargetId;
use view::Target;

use crate::{
    adapters::GenerationSizes,
    callers::{
        call::Call,
        refusal::{ELSEWHERE_RETRY, Refusal, millis},
    },
    generations::{
        active::GenerationHandle,
        idle::{Diagnosis, IdleMonitor, diagnose},
        relay::Relay,
    },
    quarantine::{aggregation, crash_detection},
    send::{SendOutcome, buffer_response, send},
    state::Front,
    target_rates,
};

/// When a caller may come back whose generation found no engine that would take it.
const NO_TARGET_RETRY: Duration = Duration::from_millis(1_000);
/// Parts of a service's engines that are asked before a generation is refused. With two at random
/// of many, a full one among free ones hardly ever decides.
const SHARDS_ASKED: u32 = 3;
/// Engines that may say in a row that they did not run a generation before its caller is told.
const NOT_RUN_MOST: usize = 4;
/// Part of its aim that a generation waits for an engine in need.
const SLOT_PART: f64 = 0.25;
/// Sizes of a generation that declares none: that of a short question.
const UNKNOWN_SIZES: GenerationSizes = GenerationSizes {
    prompt_tokens: 1_000,
    max_tokens: 1_000,
    length_hint: None,
};

/// A generation's place on an engine, as its owner counts it. The owner is told when it is given
/// up, however that comes about: a place that nobody holds would stay taken.
pub struct Assignment {
    front: Arc<Front>,
    /// The generation.
    pub live: Arc<GenerationHandle>,
    /// Its engine refused or failed it.
    pub doubt: bool,
    /// It came to its end, so that its length says something.
    pub whole: bool,
    /// Its owner was told that it was given up.
    told: bool,
}

impl Assignment {
    fn new(front: &Arc<Front>, live: GenerationHandle) -> Self {
        let live = Arc::new(live);
        front.generations.add(&live);
        Self {
            front: Arc::clone(front),
            live,
            doubt: false,
            whole: false,
            told: false,
        }
    }

    /// Gives it up, and waits until its owner was told. The owner would take word that comes after
    /// the next ask for the end of what it has granted then.
    async fn give_up(mut self) {
        // Nothing is ever sent; it fails once the owner was told.
        let _ = self.tell().recv().await;
    }

    /// Tells its owner that it is given up.
    fn tell(&mut self) -> Receiver<()> {
        self.told = true;
        self.live.close();
        self.front.generations.remove(&self.live.run);
        let note = GenerationUpdate::Ended {
            generation: Arc::clone(&self.live.run),
            target_failed: self.doubt,
            tokens_generated: self.whole.then(|| self.live.tokens_generated()),
        };
        let shard = self
            .front
            .shard_of(&self.live.service, &self.live.target().id);
        Front::notify_owner(&self.front, &shard, note)
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if !self.told {
            self.tell();
        }
    }
}

/// Serves a generation.
pub async fn serve(front: Arc<Front>, call: Call) -> Response<Body> {
    let mut avoid = Vec::new();
    loop {
        let target = match find(&front, &call, &avoid).await {
            Ok(target) => target,
            Err(refusal) => return front.refuse_call(&call, &refusal),
        };
        match attempt(&front, &call, target, &mut avoid).await {
            Attempt::Answer(resp) => return resp,
            Attempt::Again => {}
            Attempt::GiveUp(refusal) => return front.refuse_call(&call, &refusal),
        }
    }
}

/// Asks for an engine until there is one, or until it is no use any more.
async fn find(front: &Arc<Front>, call: &Call, avoid: &[TargetId]) -> Result<Arc<Target>, Refusal> {
    let mut shard = first_shard(front, call);
    let mut full = 0;
    // Engines that its owner granted and that this instance can't use.
    let mut unusable: Vec<TargetId> = Vec::new();
    let usable = |id: &TargetId| {
        let listed = front.view.target(id);
        listed.filter(|target| front.view.takes_work(target))
    };
    loop {
        if call.time_left().is_zero() {
            return Err(Refusal::not_run(
                "no engine came free in time",
                NO_TARGET_RETRY,
            ));
        }
        unusable.retain(|id| usable(id).is_none());
        let avoid = [avoid, &unusable].concat();
        let ask = ask(front, call, shard.clone(), &avoid);
        if !front.can_finish(&ask) {
            return Err(Refusal::not_run(
                "this instance stops before it would end",
                ELSEWHERE_RETRY,
            ));
        }
        let after = match front.place(&ask).await {
            PlacementAnswer::Assigned { target: id } => match usable(&id) {
                Some(target) => return Ok(target),
                None => {
                    // One of the two has not heard yet that the engine is there, or leaves.
                    unusable.push(id);
                    let run = Arc::clone(&call.request.id);
                    let note = GenerationUpdate::Ended {
                        generation: run,
                        target_failed: false,
                        tokens_generated: None,
                    };
                    // Told before it is asked again, or it would take this for the end of its next grant.
                    let _ = Front::notify_owner(front, &shard, note).recv().await;
                    UNHEARD_PAUSE
                }
            },
            PlacementAnswer::Wait { after } => after,
            PlacementAnswer::Rejected { .. } if full + 1 < shard.count.min(SHARDS_ASKED) => {
                full += 1;
                shard = shard.next();
                continue;
            }
            PlacementAnswer::Rejected { after } => {
                return Err(Refusal::not_run("no engine can begin it in time", after));
            }
        };
        smol::Timer::after(after.min(call.time_left())).await;
    }
}

/// Time for the listing of a new target to arrive here too.
const UNHEARD_PAUSE: Duration = Duration::from_millis(20);

/// The part of a service's engines that is asked first for a generation: another one for each request, and the same
/// one when its caller comes back.
pub(crate) fn first_shard(front: &Front, call: &Call) -> Shard {
    let service = &call.service.name;
    Shard::of_target(
        Arc::clone(service),
        &call.fingerprint.to_string(),
        front.shard_count(service),
    )
}

/// What a generation asks an owner for.
pub(crate) fn ask(
    front: &Front,
    call: &Call,
    shard: Shard,
    avoid: &[TargetId],
) -> PlacementRequest {
    let sizes = call.request.sizes.unwrap_or(UNKNOWN_SIZES);
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
        objective_left: call.objective_left(),
        deadline_left: call.time_left(),
        waited: call.elapsed(),
        avoid: avoid.to_vec(),
    }
}

enum Attempt {
    Answer(Response<Body>),
    Again,
    GiveUp(Refusal),
}

async fn attempt(
    front: &Arc<Front>,
    call: &Call,
    target: Arc<Target>,
    avoid: &mut Vec<TargetId>,
) -> Attempt {
    let mut place = Assignment::new(front, live(call, &target));
    if let Reservation::Rejected { after } = wait_for_rate(front, call, &target.id).await {
        // Nothing was sent, so that no budget of repeats is drawn on.
        avoid.push(Arc::clone(&target.id));
        place.give_up().await;
        if avoid.len() < NOT_RUN_MOST {
            return Attempt::Again;
        }
        return Attempt::GiveUp(Refusal::not_run("engines in need take no more", after));
    }
    let sending = u32::try_from(avoid.len() + 1).unwrap_or(u32::MAX);
    if !front.take_cold_permit(&call.service, &target) {
        avoid.push(Arc::clone(&target.id));
        return again_or("every engine is cold", place, call, avoid).await;
    }
    emit(&Event::RequestSent {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&target.id),
        fingerprint: call.fingerprint.to_string().into(),
        sending,
        held_ms: millis(call.elapsed()),
        left_ms: millis(call.caller_time_left()),
    });
    front.metrics.observe_held(call.elapsed());
    let sending = send(front, call, &target, None, call.time_left());
    match future::or(sending, until_gone(front, call, &place.live)).await {
        SendOutcome::Response { head, body, .. } if head.status.is_success() => {
            Attempt::Answer(stream(front, call, place, &head, body))
        }
        SendOutcome::Response { head, body, .. } => {
            match buffer_response(front, &head, body, call.time_left()).await {
                Ok(resp) => {
                    front.metrics.count_request(call.kind(), "failed");
                    aggregation::served(front, &call.fingerprint);
                    Attempt::Answer(resp)
                }
                Err(reason) => Attempt::GiveUp(Refusal::unknown(reason)),
            }
        }
        SendOutcome::NotRun { reason } => {
            place.doubt = true;
            avoid.push(Arc::clone(&target.id));
            again_or(&reason, place, call, avoid).await
        }
        SendOutcome::Rejected { .. } => Attempt::GiveUp(Refusal::quarantined()),
        SendOutcome::Unknown {
            reason,
            timed_out: late,
        } => {
            place.doubt = !late;
            let refusal = if late {
                Refusal::late
            } else {
                Refusal::unknown
            };
            Attempt::GiveUp(refusal(reason))
        }
    }
}

/// Waits for a slot of the rate that an engine in need has named.
async fn wait_for_rate(front: &Arc<Front>, call: &Call, target: &TargetId) -> Reservation {
    let patience = call.objective_left().mul_f64(SLOT_PART);
    let reservation = target_rates::reserve(front, target, patience).await;
    if let Reservation::Granted { after } = reservation {
        smol::Timer::after(after).await;
    }
    reservation
}

/// Waits until an engine that owes the first event is known to be gone. Its caller would wait for
/// seconds otherwise, and learn no more.
async fn until_gone(front: &Arc<Front>, call: &Call, live: &GenerationHandle) -> SendOutcome {
    if !front.cfg.decisions.features.idle_detection {
        return future::pending().await;
    }
    let mut silence = IdleMonitor::new(boot_time() + call.objective_left());
    loop {
        smol::Timer::after(silence.ask_at().saturating_sub(boot_time())).await;
        if diagnose(front, live, &mut silence).await == Diagnosis::EngineGone {
            let sent = call.arrived;
            crash_detection::ended_under(front, call, &live.target(), sent, live.events_received());
            return SendOutcome::Unknown {
                reason: "its engine is silent and not listed any more".into(),
                timed_out: false,
            };
        }
    }
}

/// Tries again where that is allowed; it has not run yet.
async fn again_or(reason: &str, place: Assignment, call: &Call, avoid: &[TargetId]) -> Attempt {
    let front = Arc::clone(&place.front);
    let service = &call.service.name;
    let instances = front.instance_count();
    let granted = front.cfg.decisions.features.retries
        && avoid.len() < NOT_RUN_MOST
        && front
            .retry_budget
            .lock()
            .try_take(boot_time(), service, instances);
    if !granted {
        return Attempt::GiveUp(Refusal::not_run(reason, NO_TARGET_RETRY));
    }
    front.metrics.retries.inc();
    place.give_up().await;
    Attempt::Again
}

fn live(call: &Call, target: &Arc<Target>) -> GenerationHandle {
    let sizes = call.request.sizes.unwrap_or(UNKNOWN_SIZES);
    let per_event = call
        .service
        .engine
        .as_ref()
        .map_or(1, |engine| engine.tokens_per_event);
    let run = Arc::clone(&call.request.id);
    let service = Arc::clone(&call.service.name);
    GenerationHandle::new(run, service, Arc::clone(target))
        .with_sizes(sizes, per_event)
        .with_route(Arc::clone(&call.route.name), call.priority)
}

fn stream(
    front: &Arc<Front>,
    call: &Call,
    place: Assignment,
    head: &http::response::Parts,
    body: hyper::body::Incoming,
) -> Response<Body> {
    let relay = Relay::new(Arc::clone(front), call.clone(), place, head, body);
    let mut resp = Response::new(fed(move |tx| relay.run(tx)));
    *resp.status_mut() = head.status;
    *resp.headers_mut() = front.adapter.forwarded_headers(head);
    resp
}
