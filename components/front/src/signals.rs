//! What targets say of themselves in the heads of their answers, and what that means for further
//! requests. All requests to targets pass the check here: first ones, retries, resumed generations,
//! copy requests and probes.
//!
//! A target that leaves gets no new work from the first answer on that says so, whether or not the
//! store or another instance says the same. A target that rejects a request with a pause wants
//! nothing from this instance until the pause ends; others may be served meanwhile.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use events::{Event, emit};
use timer::boot_time;
use types::{ServiceId, TargetId, VersionChoice, millis};
use view::Target;

use crate::{
    adapters::{
        EngineAnswer, EngineReport, KvCopyOutcome, KvCopyRequest, RejectionBound, TargetSignals,
    },
    reaching::{control, entry, paths},
    state::{Front, elapsed_since},
    store::follow,
};

/// Part of the limit for requests to a leaving target during which a generation may still be
/// resumed there; the rest is for the request to arrive.
const RESUME_FRACTION: f64 = 0.8;
/// Width of the random spread of retries after the end of a pause, as a fraction of the time left.
const RETRY_SPREAD: f64 = 0.25;
/// Least width of that spread.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(200);

/// What a request to a target is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// New work.
    NewWork,
    /// A generation that the target has in its memory, or the control of one.
    RunningWork,
}

/// Why nothing may be sent to a target.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Withheld {
    /// It is leaving or gone.
    #[display("it is leaving")]
    Leaving,
    /// It falls over if it rejects too much, and has rejected a request of this instance.
    #[display("it bears few rejections, and gets nothing for {} ms", millis(*left))]
    Held {
        /// Time until it gets requests again.
        left: Duration,
    },
    /// It has asked for a pause.
    #[display("it wants no requests for {} ms", millis(*left))]
    Paused {
        /// Time until the end of the pause.
        left: Duration,
    },
}

/// Records what a target has said of itself in an answer.
pub fn observe(front: &Arc<Front>, target: &Target, signals: TargetSignals) {
    if signals.is_leaving {
        observe_leaving(front, target);
    }
    observe_rejection_bound(front, target, signals.rejections);
    let Some(pause) = signals.pause else {
        return;
    };
    let is_new = front
        .pauses
        .lock()
        .record(boot_time(), &target.id, target.started_at, pause);
    if is_new {
        front.metrics.pauses.inc();
        emit(&Event::TargetPaused {
            target: Arc::clone(&target.id),
            pause_ms: millis(pause),
        });
    }
}

fn observe_rejection_bound(front: &Front, target: &Target, bound: RejectionBound) {
    let per_s = match bound {
        RejectionBound::Unstated => return,
        RejectionBound::Unlimited => None,
        RejectionBound::PerSecond(per_s) => Some(per_s),
    };
    let is_news = front.brittle.lock().record(
        boot_time(),
        &target.id,
        target.started_at,
        per_s.map(f64::from),
    );
    if !is_news {
        return;
    }
    emit(&match per_s {
        Some(per_s) => Event::TargetBrittle {
            target: Arc::clone(&target.id),
            per_s,
        },
        None => Event::TargetNotBrittle {
            target: Arc::clone(&target.id),
        },
    });
}

/// Records that a target has rejected a request for want of room.
pub fn record_rejection(front: &Front, target: &Target) {
    let hold = front.brittle.lock().record_rejection(
        boot_time(),
        &target.id,
        target.started_at,
        front.instance_count(),
        fastrand::f64(),
    );
    if let Some(hold) = hold {
        front.metrics.brittle_rejections.inc();
        emit(&Event::BrittleTargetRejected {
            target: Arc::clone(&target.id),
            hold_ms: millis(hold),
        });
    }
}

fn observe_leaving(front: &Arc<Front>, target: &Target) {
    front.metrics.said_leaving.inc();
    let read = front.view.targets_read_at().unwrap_or_default();
    if follow::mark_leaving(front, &target.id, target.started_at) {
        emit(&Event::TargetSaidLeaving {
            target: Arc::clone(&target.id),
            started_at: target.started_at.unwrap_or_default(),
            listing_age_ms: millis(elapsed_since(read)),
        });
    }
}

/// Why a request may not be sent to a target now, if it may not. To be asked right before sending.
#[must_use]
pub fn withheld(front: &Front, target: &Target, purpose: Purpose) -> Option<Withheld> {
    if let Some(left) = front.pause_left(target) {
        return Some(Withheld::Paused { left });
    }
    if purpose == Purpose::NewWork
        && let Some(left) = front.hold_left(target)
    {
        return Some(Withheld::Held { left });
    }
    let now = boot_time();
    let since = front.view.departed_since(now, target)?;
    let limit = front.bounds.read().drain_limit.mul_f64(RESUME_FRACTION);
    let is_allowed = purpose == Purpose::RunningWork && now.saturating_sub(since) < limit;
    (!is_allowed).then_some(Withheld::Leaving)
}

/// Requests an engine's report, and records what the engine says of itself.
///
/// # Errors
/// Returns why there is no report.
pub async fn request_report(
    front: &Arc<Front>,
    engine: &Target,
    timeout: Duration,
) -> Result<EngineReport, Arc<str>> {
    if let Some(left) = front.pause_left(engine) {
        return Err(Withheld::Paused { left }.to_string().into());
    }
    let EngineAnswer { value, signals } = report_by_path(front, engine, timeout).await;
    // The address of an engine that has ended may be used by another one.
    let starts = value.as_ref().ok().and_then(|report| report.started_at);
    let starts = starts.zip(engine.started_at);
    if starts.is_some_and(|(reported, listed)| reported != listed) {
        return Err("another process answers at its address".into());
    }
    observe(front, engine, signals);
    value
}

/// Sends a copy request to the engine that runs the generation, and records what the engine says of
/// itself. Waits for the end of a pause as long as the copy may take.
pub async fn copy_kv(
    front: &Arc<Front>,
    source: &Target,
    request: &KvCopyRequest<'_>,
) -> KvCopyOutcome {
    if let Some(left) = front.pause_left(source) {
        if left >= request.timeout {
            let reason = Withheld::Paused { left }.to_string().into();
            return KvCopyOutcome::Withheld { reason };
        }
        smol::Timer::after(left).await;
    }
    let EngineAnswer { value, signals } = copy_by_path(front, source, request).await;
    observe(front, source, signals);
    value
}

/// Requests a report over a connection of this instance, or through others if none opens.
async fn report_by_path(
    front: &Arc<Front>,
    engine: &Target,
    timeout: Duration,
) -> EngineAnswer<Result<EngineReport, Arc<str>>> {
    if !entry::is_needed(front, engine) {
        let answer = front.engines.report(engine.addr, timeout).await;
        if answer.value.is_ok() {
            front.record_contact(engine);
            return answer;
        }
        // An engine that is silent has nothing to say to other instances either.
        if paths::verify(front, engine).await || !entry::is_needed(front, engine) {
            return answer;
        }
    }
    control::report_through_others(front, engine, timeout).await
}

/// Sends a copy request over a connection of this instance, or through another if none opens. Tries this one
/// last if connections did not open before and no other instance has sent it.
async fn copy_by_path(
    front: &Arc<Front>,
    source: &Target,
    request: &KvCopyRequest<'_>,
) -> EngineAnswer<KvCopyOutcome> {
    let was_lost = entry::is_needed(front, source);
    if !was_lost {
        let answer = copy_directly(front, source, request).await;
        let is_unreached = matches!(answer.value, KvCopyOutcome::Unreached { .. });
        if !is_unreached || !entry::is_needed(front, source) {
            return answer;
        }
        let relayed = control::copy_through_others(front, source, request).await;
        return relayed.unwrap_or(answer);
    }
    match control::copy_through_others(front, source, request).await {
        Some(answer) => answer,
        None => copy_directly(front, source, request).await,
    }
}

/// Sends a copy request over a connection of this instance, and records what that shows of the path.
async fn copy_directly(
    front: &Front,
    source: &Target,
    request: &KvCopyRequest<'_>,
) -> EngineAnswer<KvCopyOutcome> {
    let answer = front.engines.copy_kv(request).await;
    match &answer.value {
        KvCopyOutcome::Unreached { reason, is_refused } => {
            front.record_no_connection(source, reason, *is_refused);
        }
        // Whether a connection opened is not known.
        KvCopyOutcome::Unknown { .. } => {}
        _ => front.record_contact(source),
    }
    answer
}

/// When a caller may retry whose request no target takes until the end of a pause. Callers that are
/// refused during a pause would otherwise all return at its end.
#[must_use]
pub fn retry_after_pause(left: Duration) -> Duration {
    let spread = left.mul_f64(RETRY_SPREAD).max(MIN_RETRY_SPREAD);
    left + spread.mul_f64(fastrand::f64())
}

impl Front {
    /// Time until the end of a target's pause, if it pauses.
    #[must_use]
    pub fn pause_left(&self, target: &Target) -> Option<Duration> {
        self.pauses
            .lock()
            .left(boot_time(), &target.id, target.started_at)
    }

    /// How long a brittle target gets nothing new from this instance, if so.
    #[must_use]
    pub fn hold_left(&self, target: &Target) -> Option<Duration> {
        let brittle = self.brittle.lock();
        if brittle.is_empty() {
            return None;
        }
        brittle.hold_left(boot_time(), &target.id, target.started_at)
    }

    /// How long a target gets nothing new from this instance, because it has asked for a pause or is spared
    /// rejections.
    #[must_use]
    pub fn rest_left(&self, target: &Target) -> Option<Duration> {
        self.pause_left(target).max(self.hold_left(target))
    }

    /// The most requests that this instance has under way at a target, if that is brittle.
    #[must_use]
    pub fn max_in_flight(&self, target: &Target) -> Option<u32> {
        let brittle = self.brittle.lock();
        if brittle.is_empty() {
            return None;
        }
        let (now, instances) = (boot_time(), self.instance_count());
        brittle.max_in_flight(now, &target.id, target.started_at, target.slots, instances)
    }

    /// Whether a target that has ended was overloaded, as far as this instance knows.
    #[must_use]
    pub fn was_overloaded(&self, target: &Target) -> bool {
        let brittle = self.brittle.lock();
        brittle.is_overloaded(boot_time(), &target.id, target.started_at)
    }

    /// Whether no target says that it falls over if it rejects too much.
    #[must_use]
    pub fn has_no_brittle_targets(&self) -> bool {
        self.brittle.lock().is_empty()
    }

    /// Whether nothing new is withheld from any target.
    fn has_no_rests(&self) -> bool {
        self.pauses.lock().is_empty(boot_time()) && self.brittle.lock().is_empty()
    }

    /// The targets of a service that pause, or are spared rejections.
    #[must_use]
    pub fn paused_targets(&self, service: &ServiceId) -> Vec<TargetId> {
        if self.has_no_rests() {
            return Vec::new();
        }
        let targets = self.view.usable_targets(service).into_iter();
        let paused = targets.filter(|target| self.rest_left(target).is_some());
        paused.map(|target| Arc::clone(&target.id)).collect()
    }

    /// When callers may retry if all usable targets of a service pause or are spared rejections.
    #[must_use]
    pub fn retry_after_pauses(&self, service: &ServiceId) -> Option<Duration> {
        if self.has_no_rests() {
            return None;
        }
        let targets = self.usable_targets(service, &VersionChoice::Any);
        let left: Option<Vec<Duration>> = targets.iter().map(|t| self.rest_left(t)).collect();
        left?.into_iter().min().map(retry_after_pause)
    }
}
