//! Serves plain calls: sends each to one target after the other until there is a complete answer or
//! no further attempt is allowed.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use hyper::Response;
use net::Body;
use rates::Reservation;
use reach::Path;
use timer::boot_time;
use types::{Moment, ServiceId, TargetId, VersionChoice, millis};
use view::{RouteKind, Target};

use crate::{
    adapters::ReportedLoad,
    callers::{
        call::Call,
        refusal::{ELSEWHERE_RETRY_AFTER, Refusal, SHUTDOWN_REASON},
    },
    plain_calls::selection::{Selection, connection_share},
    quarantine::{
        aggregation, crash_detection,
        parts::{self, Progress},
    },
    reaching::paths,
    rollouts::version_permit::VersionPermit,
    send::{SendOutcome, buffer_response, log_send_failure, send},
    state::Front,
    target_rates,
};

/// How long an idempotent call waits for one target before the next one is tried, as a multiple of
/// the route's objective. Calls usually take 15 ms and at most 110 ms, against objectives of 100
/// ms.
const ATTEMPT_OBJECTIVES: f64 = 1.6;
/// Fraction of the time left that one attempt may take if another one could follow.
const ATTEMPT_FRACTION: f64 = 0.5;
/// `Retry-After` of a call for which no target was found.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Pause before targets are looked up again while none is usable.
const LOOKUP_PAUSE: Duration = Duration::from_millis(40);
/// Pause before targets are looked up again while all are brittle and have their share of requests.
const ROOM_PAUSE: Duration = Duration::from_millis(10);
/// How long a call waits for a usable target, as a fraction of the route's objective.
const LOOKUP_FRACTION: f64 = 1.0;
/// Fraction of the calls that may go to a target with a rate limit although others have room; their
/// answers tell when the limit is lifted.
const LIMITED_FRACTION: f64 = 0.02;
/// Reason of the refusal of a call because this instance may not open more connections to the targets.
const SHARE_IN_USE: &str = "this instance's share of connections to the targets is in use";
/// Targets in a row that may report that they did not run a call before it is refused.
const MAX_NOT_RUN: usize = 4;

/// Counts a call as in flight at a target until it is dropped.
struct InFlightGuard<'a> {
    front: &'a Front,
    service: &'a ServiceId,
    target: &'a TargetId,
    started: Moment,
}

impl<'a> InFlightGuard<'a> {
    fn new(front: &'a Front, service: &'a ServiceId, target: &'a TargetId) -> Self {
        front.selector.lock().call_started(target);
        Self {
            front,
            service,
            target,
            started: boot_time(),
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.front.selector.lock().call_ended(self.target);
        let took = boot_time().saturating_sub(self.started);
        self.front.answer_times.lock().record(self.service, took);
    }
}

/// The outcome of one attempt.
enum Outcome {
    /// An answer for the caller.
    Answer(Response<Body>),
    /// A server error, which the caller gets if no other target answers better.
    ServerError(Response<Body>),
    /// The call did not run.
    NotRun,
    /// The call was not sent, so it has not arrived at the target.
    Withheld,
    /// The call was not sent, because it is quarantined.
    Rejected(Refusal),
    /// The call may have run.
    Unknown { reason: Arc<str>, timed_out: bool },
}

/// The outcome of all attempts so far.
#[derive(Default)]
struct Attempts {
    /// Number of targets on which the call may have run.
    may_have_run: u32,
    /// Targets that are not tried again.
    tried: Vec<TargetId>,
    count: u32,
    /// The error of a target, for the caller if no better answer comes.
    server_error: Option<Response<Body>>,
    timed_out: bool,
    reason: Option<Arc<str>>,
    /// The refusal of a call that is quarantined.
    rejection: Option<Refusal>,
    /// When a target accepts more, if all have reached their rate limits or pause.
    retry_after: Option<Duration>,
}

impl Attempts {
    /// The response to a caller when no further attempt is allowed.
    fn into_response(self, front: &Front, call: &Call) -> Response<Body> {
        if let Some(resp) = self.server_error {
            front.metrics.count_request(call.kind(), "failed");
            return resp;
        }
        let reason = self.reason.unwrap_or_else(|| "no target takes it".into());
        if let Some(rejection) = self.rejection {
            return front.refuse_call(call, &rejection);
        }
        let refusal = match (call.execution.may_have_run(), self.timed_out) {
            (false, _) => {
                let after = self
                    .retry_after
                    .or_else(|| front.retry_after_pauses(&call.service.name));
                Refusal::not_run(reason, after.unwrap_or(NO_TARGET_RETRY_AFTER))
            }
            (true, true) => Refusal::timed_out(reason),
            (true, false) => Refusal::unknown(reason),
        };
        front.refuse_call(call, &refusal)
    }
}

/// Serves a plain call.
pub async fn serve(front: &Arc<Front>, call: &Call) -> Response<Body> {
    let mut attempts = Attempts::default();
    if let Err(refusal) = parts::admit(front, call).await {
        return front.refuse_call(call, &refusal);
    }
    loop {
        if !may_attempt(front, call, &attempts) {
            return attempts.into_response(front, call);
        }
        if !ends_before_stop(front, call) {
            attempts.reason = Some(SHUTDOWN_REASON.into());
            attempts.retry_after = Some(ELSEWHERE_RETRY_AFTER);
            return attempts.into_response(front, call);
        }
        let mut version = VersionPermit::new(front, &call.service.name);
        let target = match find_target(front, call, &attempts.tried, &mut version).await {
            Ok(selection) => {
                record_selection(front, call, &selection);
                selection.target
            }
            Err(NoTarget::Unusable) => return attempts.into_response(front, call),
            Err(NoTarget::ShareInUse) => {
                front.metrics.share_refusals.inc();
                attempts.reason.get_or_insert_with(|| SHARE_IN_USE.into());
                return attempts.into_response(front, call);
            }
            Err(NoTarget::Unreached) => {
                attempts
                    .reason
                    .get_or_insert_with(|| "no instance reaches a target".into());
                return attempts.into_response(front, call);
            }
            Err(NoTarget::Limited { after }) => {
                attempts.retry_after = Some(after);
                return attempts.into_response(front, call);
            }
        };
        version.use_up();
        attempts.tried.push(Arc::clone(&target.id));
        let outcome = attempt(front, call, &target, attempts.count + 1).await;
        if !matches!(outcome, Outcome::Withheld) {
            attempts.count += 1;
        }
        match outcome {
            Outcome::Answer(resp) => {
                front.metrics.count_request(call.kind(), "answered");
                return resp;
            }
            Outcome::ServerError(resp) => {
                attempts.may_have_run += 1;
                attempts.server_error = Some(resp);
            }
            Outcome::NotRun | Outcome::Withheld => {}
            Outcome::Rejected(refusal) => {
                attempts.rejection = Some(refusal);
                return attempts.into_response(front, call);
            }
            Outcome::Unknown { reason, timed_out } => {
                attempts.may_have_run += 1;
                attempts.timed_out = timed_out;
                attempts.reason = Some(reason);
            }
        }
    }
}

/// Whether a call will probably end before this instance stops. Otherwise its caller would be told that it may
/// have run; refused at once, it gets an answer from another instance.
fn ends_before_stop(front: &Front, call: &Call) -> bool {
    let Some(left) = front
        .shutdown
        .time_left()
        .filter(|_| front.cfg.decisions.features.drain_offload)
    else {
        return true;
    };
    let times = front.answer_times.lock();
    times.probably_ends(&call.service.name, call.route.objective, left)
}

/// Whether a further attempt is allowed; takes it from the retry budget.
fn may_attempt(front: &Front, call: &Call, attempts: &Attempts) -> bool {
    if call.time_left().is_zero() {
        return false;
    }
    if attempts.count == 0 {
        return true;
    }
    if front.rejects(&call.fingerprint) {
        return false;
    }
    let has_run_enough = match call.route.kind {
        RouteKind::Idempotent => attempts.may_have_run >= call.route.max_targets,
        RouteKind::NonIdempotent | RouteKind::Generation => call.execution.may_have_run(),
    };
    let retries = front.cfg.decisions.features.retries;
    if !retries || has_run_enough || attempts.tried.len() >= MAX_NOT_RUN {
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
    /// None is usable, or all have been tried.
    Unusable,
    /// This instance has as many calls at each as its share of their connections allows.
    ShareInUse,
    /// Neither this instance nor another one reaches any.
    Unreached,
    /// The usable ones have reached their rate limits or pause, and accept more after this time.
    Limited { after: Duration },
}

/// Finds a target; waits for a while if none is usable at the moment.
async fn find_target(
    front: &Arc<Front>,
    call: &Call,
    tried: &[TargetId],
    version: &mut VersionPermit,
) -> Result<Selection, NoTarget> {
    let timeout = call
        .route
        .objective
        .mul_f64(LOOKUP_FRACTION)
        .min(call.time_left());
    let until = boot_time() + timeout;
    let mut skipped = tried.to_vec();
    let mut limited: Option<Duration> = None;
    loop {
        let now = boot_time();
        let mut selected = select_ready(front, call, &skipped, version.choice(), now);
        if selected.is_none() && version.avoid_new() {
            selected = select_ready(front, call, &skipped, version.choice(), now);
        }
        if let Some(selection) = selected {
            let target = &selection.target;
            match target_rates::reserve(front, &target.id, until.saturating_sub(now)).await {
                Reservation::Granted { after } => {
                    smol::Timer::after(after).await;
                    return Ok(selection);
                }
                Reservation::Rejected { after } => {
                    skipped.push(Arc::clone(&target.id));
                    limited = Some(limited.map_or(after, |earliest| earliest.min(after)));
                    continue;
                }
            }
        }
        if let Some(after) = limited.or_else(|| front.retry_after_pauses(&call.service.name)) {
            return Err(NoTarget::Limited { after });
        }
        if front.reaches_none(&call.service.name) {
            return Err(NoTarget::Unreached);
        }
        // Other targets may join, but a call that has been sent already does not wait for them.
        if now >= until || !tried.is_empty() {
            return Err(if is_share_in_use(front, call, tried) {
                NoTarget::ShareInUse
            } else {
                NoTarget::Unusable
            });
        }
        let pause = if front.has_no_brittle_targets() {
            LOOKUP_PAUSE
        } else {
            ROOM_PAUSE
        };
        smol::Timer::after(pause).await;
    }
}

/// Selects a target that takes the call now: a cold one may have taken all that it bears.
fn select_ready(
    front: &Front,
    call: &Call,
    tried: &[TargetId],
    versions: &VersionChoice,
    now: Moment,
) -> Option<Selection> {
    let selected = select(front, call, tried, versions, now);
    selected.filter(|selection| front.take_cold_permit(&call.service, &selection.target))
}

/// Whether there are targets that the call has not tried, and this instance's share of the connections to
/// each of them is in use.
fn is_share_in_use(front: &Front, call: &Call, tried: &[TargetId]) -> bool {
    let share = connection_share(call.service.max_connections, front.instance_count());
    let targets = front.view.usable_targets(&call.service.name);
    let selector = front.selector.lock();
    let mut untried = targets
        .iter()
        .filter(|target| !tried.contains(&target.id))
        .peekable();
    untried.peek().is_some() && untried.all(|target| selector.in_flight(&target.id) >= share)
}

/// Counts a target that was selected by its expected time to answer, and logs one that was selected in
/// place of the usual one.
fn record_selection(front: &Front, call: &Call, selection: &Selection) {
    let Some(expected) = selection.expected else {
        return;
    };
    let choice = match &selection.passed_over {
        Some(passed_over) => {
            emit(&Event::SlowTargetPassedOver {
                id: Arc::clone(&call.request.id),
                target: Arc::clone(&selection.target.id),
                expected_ms: millis(expected),
                passed_over: Arc::clone(&passed_over.target),
                passed_over_ms: millis(passed_over.expected),
            });
            "passed_over"
        }
        None => "usual",
    };
    front.metrics.count_speed_selection(choice);
}

/// Selects among the targets to which this instance may open one more connection. Those with a rate
/// limit are avoided while others have room, except for a few calls that find out whether the limit
/// still applies.
fn select(
    front: &Front,
    call: &Call,
    tried: &[TargetId],
    versions: &VersionChoice,
    now: Moment,
) -> Option<Selection> {
    let share = connection_share(call.service.max_connections, front.instance_count());
    let mut targets = front.usable_targets(&call.service.name, versions);
    targets.retain(|target| !tried.contains(&target.id) && front.rest_left(target).is_none());
    targets.retain(|target| front.path(target) != Path::Down);
    let shares: Vec<u32> = targets
        .iter()
        .map(|target| {
            front
                .max_in_flight(target)
                .map_or(share, |most| most.min(share))
        })
        .collect();
    let selector = front.selector.lock();
    let mut shares = shares.into_iter();
    targets.retain(|target| selector.in_flight(&target.id) < shares.next().unwrap_or(share));
    let has_room = |target: &&Arc<Target>| selector.has_room(now, target);
    let is_direct = |target: &&Arc<Target>| front.path(target) == Path::Direct;
    if targets.iter().filter(is_direct).any(|t| has_room(&t)) {
        targets.retain(|target| is_direct(&target));
    }
    let is_unlimited = |target: &&Arc<Target>| !front.is_limited(&target.id);
    if targets.iter().filter(is_unlimited).any(|t| has_room(&t))
        && fastrand::f64() >= LIMITED_FRACTION
    {
        targets.retain(|target| is_unlimited(&target));
    }
    let local = &front.cfg.data_centre;
    selector.choose(now, &targets, tried, local, fastrand::f64())
}

async fn attempt(
    front: &Arc<Front>,
    call: &Call,
    target: &Arc<Target>,
    attempt_number: u32,
) -> Outcome {
    let _in_flight = InFlightGuard::new(front, &call.service.name, &target.id);
    emit(&Event::RequestSent {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&target.id),
        fingerprint: call.fingerprint.to_string().into(),
        parts: call.part_names(),
        sending: attempt_number,
        held_ms: millis(call.elapsed()),
        left_ms: millis(call.caller_time_left()),
    });
    if attempt_number == 1 {
        front.metrics.observe_held(call.elapsed());
    }
    let timeout = attempt_timeout(call, attempt_number);
    let started = boot_time();
    match send(front, call, target, None, timeout).await {
        SendOutcome::Response {
            head,
            parsed_head,
            body,
        } => {
            let now = boot_time();
            if let Some(load) = parsed_head.load {
                let tells_speed =
                    !head.status.is_server_error() && front.path(target) == Path::Direct;
                let took = tells_speed.then(|| now.saturating_sub(started));
                record_load(front, target, took, load);
            }
            let rest = timeout.saturating_sub(now.saturating_sub(started));
            match buffer_response(front, &head, body, rest.max(LOOKUP_PAUSE)).await {
                Ok(resp) => record_answer(front, call, target, resp, started),
                Err(reason) => {
                    log_send_failure(call, target, &reason, false);
                    crash_detection::investigate(front, call, target, started, Progress::NONE);
                    front.selector.lock().record_failure(now, &target.id);
                    Outcome::Unknown {
                        reason,
                        timed_out: false,
                    }
                }
            }
        }
        SendOutcome::NotRun { .. } => {
            // A target that pauses has not failed, and serves again when the pause ends.
            if front.rest_left(target).is_none() {
                let mut selector = front.selector.lock();
                selector.record_failure(boot_time(), &target.id);
            }
            Outcome::NotRun
        }
        SendOutcome::Withheld { .. } | SendOutcome::NotReached { .. } => Outcome::Withheld,
        SendOutcome::Rejected { reason } => Outcome::Rejected(Refusal::rejected(&reason)),
        SendOutcome::Unknown { reason, timed_out } => {
            if timed_out {
                record_silence(front, call, target, started);
            }
            front
                .selector
                .lock()
                .record_failure(boot_time(), &target.id);
            Outcome::Unknown { reason, timed_out }
        }
    }
}

/// Records the load that a target has reported, and how long it took to answer if that tells its speed.
fn record_load(front: &Front, target: &Target, took: Option<Duration>, load: ReportedLoad) {
    let now = boot_time();
    let change = front.selector.lock().record_answer(now, target, took, load);
    if let Some(change) = change {
        let slow_count = front.selector.lock().slow_count();
        front.metrics.set_slow_targets(slow_count);
        emit(&Event::TargetSpeedChanged {
            target: Arc::clone(&target.id),
            state: if change.is_slow { "slow" } else { "normal" }.into(),
            work_ms: millis(change.work_time),
            service_ms: millis(change.service_work_time),
        });
    }
}

/// Records in the background that no answer came in time, if a connection to the target opens: the silence
/// is then that of the target. Otherwise it may be that of this instance's network.
fn record_silence(front: &Arc<Front>, call: &Call, target: &Arc<Target>, sent_at: Moment) {
    if front.path(target) != Path::Direct {
        return;
    }
    let (front, call, target) = (Arc::clone(front), call.clone(), Arc::clone(target));
    let record = async move {
        if paths::verify(&front, &target).await {
            front.record_answer(&call, &target, sent_at, false);
        }
    };
    workers::spawn(record).detach();
}

/// Records the answer of a target.
fn record_answer(
    front: &Arc<Front>,
    call: &Call,
    target: &Target,
    resp: Response<Body>,
    sent_at: Moment,
) -> Outcome {
    let status = resp.status();
    front.record_answer(call, target, sent_at, status.is_server_error());
    aggregation::report_success(front, &call.fingerprint);
    parts::report_sound(front, call, sent_at);
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
        return Outcome::ServerError(resp);
    }
    front.selector.lock().record_success(&target.id);
    Outcome::Answer(resp)
}

/// How long one attempt may take.
fn attempt_timeout(call: &Call, attempt_number: u32) -> Duration {
    let left = call.time_left();
    let may_retry =
        call.route.kind == RouteKind::Idempotent && attempt_number < call.route.max_targets;
    if !may_retry {
        return left;
    }
    let objectives = call.route.objective.mul_f64(ATTEMPT_OBJECTIVES);
    objectives.min(left.mul_f64(ATTEMPT_FRACTION))
}
