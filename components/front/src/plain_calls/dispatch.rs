//! Plain calls: one answer, whole or not at all.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use hyper::Response;
use net::Body;
use rates::Reservation;
use timer::boot_time;
use types::{Moment, TargetId};
use view::{Kind, Target};

use crate::{
    callers::{
        call::Call,
        refusal::{Refusal, millis},
    },
    plain_calls::selection::connection_share,
    quarantine::{aggregation, crash_detection},
    send::{SendOutcome, buffer_response, log_send_failure, send},
    state::Front,
    target_rates,
};

/// How long an idempotent call waits for one target before it is tried at another, as a multiple
/// of the route's aim. Calls take 15 ms as a rule against aims of 100 ms, and 110 ms at most.
const PATIENCE_AIMS: f64 = 1.6;
/// Part of the time left that one target may take of a call that could be tried elsewhere.
const PATIENCE_PART: f64 = 0.5;
/// When a caller may come back that found no target.
const NO_TARGET_RETRY: Duration = Duration::from_millis(400);
/// Pause before targets are looked for again while none is usable.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// How long a call waits for a usable target, as a part of its aim.
const LOOK_PART: f64 = 1.0;
/// Part of the calls that may go to a target in need though others have room.
const PROBED_PART: f64 = 0.02;
/// Targets that may say in a row that they did not run a call before its caller is told so.
const NOT_RUN_MOST: usize = 4;

/// Counts a call at a target for as long as it is there.
struct AtTarget<'a> {
    front: &'a Front,
    target: &'a TargetId,
}

impl<'a> AtTarget<'a> {
    fn new(front: &'a Front, target: &'a TargetId) -> Self {
        front.selector.lock().call_started(target);
        Self { front, target }
    }
}

impl Drop for AtTarget<'_> {
    fn drop(&mut self) {
        self.front.selector.lock().call_ended(self.target);
    }
}

/// What one try brought.
enum Try {
    /// An answer for the caller.
    Answer(Response<Body>),
    /// An answer for the caller, if no other target has a better one.
    Failure(Response<Body>),
    /// Not run.
    NotRun,
    /// Perhaps run.
    Unknown { reason: Arc<str>, late: bool },
}

/// What the tries so far came to.
#[derive(Default)]
struct Tries {
    /// Targets that it may have run on.
    run: u32,
    /// Targets that are not tried again.
    tried: Vec<TargetId>,
    sendings: u32,
    /// The answer that passes if no better one comes.
    spare: Option<Response<Body>>,
    late: bool,
    reason: Option<Arc<str>>,
    /// When a target takes more, where none does now.
    come_back: Option<Duration>,
}

impl Tries {
    /// What the caller gets when there are no more tries.
    fn give_up(self, front: &Front, call: &Call) -> Response<Body> {
        if let Some(resp) = self.spare {
            front.metrics.count_request(call.kind(), "failed");
            return resp;
        }
        let reason = self.reason.unwrap_or_else(|| "no target takes it".into());
        let refusal = match (self.run, self.late) {
            (0, _) => Refusal::not_run(reason, self.come_back.unwrap_or(NO_TARGET_RETRY)),
            (_, true) => Refusal::late(reason),
            (_, false) => Refusal::unknown(reason),
        };
        front.refuse_call(call, &refusal)
    }
}

/// Serves a plain call.
pub async fn serve(front: &Arc<Front>, call: &Call) -> Response<Body> {
    let mut tries = Tries::default();
    loop {
        if !may_try(front, call, &tries) {
            return tries.give_up(front, call);
        }
        let target = match find(front, call, &tries.tried).await {
            Ok(target) => target,
            Err(NoTarget::Unusable) => return tries.give_up(front, call),
            Err(NoTarget::Limited { after }) => {
                tries.come_back = Some(after);
                return tries.give_up(front, call);
            }
        };
        tries.sendings += 1;
        tries.tried.push(Arc::clone(&target.id));
        match attempt(front, call, &target, tries.sendings).await {
            Try::Answer(resp) => {
                front.metrics.count_request(call.kind(), "answered");
                return resp;
            }
            Try::Failure(resp) => {
                tries.run += 1;
                tries.spare = Some(resp);
            }
            Try::NotRun => {}
            Try::Unknown { reason, late } => {
                tries.run += 1;
                tries.late = late;
                tries.reason = Some(reason);
            }
        }
    }
}

/// Whether a call may go to one more target.
fn may_try(front: &Front, call: &Call, tries: &Tries) -> bool {
    if call.time_left().is_zero() {
        return false;
    }
    if tries.sendings == 0 {
        return true;
    }
    if front.rejects(&call.fingerprint) {
        return false;
    }
    let run_out = match call.route.kind {
        Kind::Idempotent => tries.run >= call.route.max_targets,
        Kind::NonIdempotent | Kind::Generation => tries.run > 0,
    };
    let sends_again = front.cfg.decisions.features.retries;
    if !sends_again || run_out || tries.tried.len() >= NOT_RUN_MOST {
        return false;
    }
    let instances = front.instance_count();
    let service = &call.service.name;
    let granted = front
        .retry_budget
        .lock()
        .try_take(boot_time(), service, instances);
    if granted {
        front.metrics.retries.inc();
    }
    granted
}

/// Why no target was found.
enum NoTarget {
    /// None is usable, or all were tried.
    Unusable,
    /// Those that are usable are in need, and take nothing more for so long.
    Limited { after: Duration },
}

/// Finds a target; waits a little where none is usable just now.
async fn find(
    front: &Arc<Front>,
    call: &Call,
    tried: &[TargetId],
) -> Result<Arc<Target>, NoTarget> {
    let patience = call.route.aim.mul_f64(LOOK_PART).min(call.time_left());
    let until = boot_time() + patience;
    let mut passed_over = tried.to_vec();
    let mut limited: Option<Duration> = None;
    loop {
        let now = boot_time();
        let picked = pick(front, call, &passed_over, now);
        if let Some(target) = picked.filter(|target| front.take_cold_permit(&call.service, target))
        {
            match target_rates::reserve(front, &target.id, until.saturating_sub(now)).await {
                Reservation::Granted { after } => {
                    smol::Timer::after(after).await;
                    return Ok(target);
                }
                Reservation::Rejected { after } => {
                    passed_over.push(Arc::clone(&target.id));
                    limited = Some(limited.map_or(after, |least| least.min(after)));
                    continue;
                }
            }
        }
        if let Some(after) = limited {
            return Err(NoTarget::Limited { after });
        }
        // Others than those tried may come, but a call that was sent is not held for them.
        if now >= until || !tried.is_empty() {
            return Err(NoTarget::Unusable);
        }
        smol::Timer::after(LOOK_AGAIN).await;
    }
}

/// Picks among the targets that this instance may open one more connection to. Those in need are
/// passed over while others have room, but for a few calls that tell whether the need is over.
fn pick(front: &Front, call: &Call, tried: &[TargetId], now: Moment) -> Option<Arc<Target>> {
    let share = connection_share(call.service.connections, front.instance_count());
    let mut targets = front.usable_targets(&call.service);
    targets.retain(|target| !tried.contains(&target.id));
    let selector = front.selector.lock();
    targets.retain(|target| selector.in_flight(&target.id) < share);
    let has_room = |target: &&Arc<Target>| selector.has_room(now, target);
    let is_free = |target: &&Arc<Target>| !front.is_limited(&target.id);
    if targets.iter().filter(is_free).any(|t| has_room(&t)) && fastrand::f64() >= PROBED_PART {
        targets.retain(|target| is_free(&target));
    }
    let near = &front.cfg.data_centre;
    selector.select(now, &targets, tried, near, fastrand::f64())
}

async fn attempt(front: &Arc<Front>, call: &Call, target: &Arc<Target>, sending: u32) -> Try {
    let _at = AtTarget::new(front, &target.id);
    emit(&Event::RequestSent {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&target.id),
        fingerprint: call.fingerprint.to_string().into(),
        sending,
        held_ms: millis(call.elapsed()),
        left_ms: millis(call.caller_time_left()),
    });
    if sending == 1 {
        front.metrics.observe_held(call.elapsed());
    }
    let limit = patience(call, sending);
    let from = boot_time();
    match send(front, call, target, None, limit).await {
        SendOutcome::Response {
            head,
            heading,
            body,
        } => {
            let now = boot_time();
            if let Some(load) = heading.load {
                front.selector.lock().record_load(now, &target.id, load);
            }
            let rest = limit.saturating_sub(now.saturating_sub(from));
            match buffer_response(front, &head, body, rest.max(LOOK_AGAIN)).await {
                Ok(resp) => answered(front, call, target, resp),
                Err(reason) => {
                    log_send_failure(call, target, &reason, false);
                    crash_detection::look_into(front, call, target, from, 0);
                    front.selector.lock().record_failure(now, &target.id);
                    Try::Unknown {
                        reason,
                        late: false,
                    }
                }
            }
        }
        SendOutcome::NotRun { .. } => {
            front
                .selector
                .lock()
                .record_failure(boot_time(), &target.id);
            Try::NotRun
        }
        SendOutcome::Rejected { reason } => Try::Unknown {
            reason,
            late: false,
        },
        SendOutcome::Unknown {
            reason,
            timed_out: late,
        } => {
            front
                .selector
                .lock()
                .record_failure(boot_time(), &target.id);
            Try::Unknown { reason, late }
        }
    }
}

fn answered(front: &Arc<Front>, call: &Call, target: &Target, resp: Response<Body>) -> Try {
    let status = resp.status();
    aggregation::served(front, &call.fingerprint);
    emit(&Event::RequestAnswered {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&target.id),
        status: status.as_u16(),
        took_ms: millis(call.elapsed()),
    });
    if status.is_server_error() {
        front
            .selector
            .lock()
            .record_failure(boot_time(), &target.id);
        return Try::Failure(resp);
    }
    front.selector.lock().record_success(&target.id);
    Try::Answer(resp)
}

/// How long one target may take.
fn patience(call: &Call, sending: u32) -> Duration {
    let left = call.time_left();
    let may_go_on = call.route.kind == Kind::Idempotent && sending < call.route.max_targets;
    if !may_go_on {
        return left;
    }
    let aims = call.route.aim.mul_f64(PATIENCE_AIMS);
    aims.min(left.mul_f64(PATIENCE_PART))
}
