//! Makes sure that an engine no longer works on a generation before another one goes on with it.
//!
//! A connection that was closed, or lost on its way, proves nothing: the engine may go on without a reader.
//! The request for a final copy stops a generation, so only the answer to that counts. An engine that can't be
//! asked may be at its connection limit and counts as ended only once nothing has reached it for a time.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use timer::{Timer, boot_time};
use types::{Moment, millis};
use view::Target;

use crate::{
    adapters::{KvCopyOutcome, KvCopyRequest, Resume},
    reaching::presence,
    signals,
    state::Front,
};

/// Time for one answer. A copy of 5,000 tokens takes 0.3 s on a free link, and twice that between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause before an engine is asked again; it doubles each time.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before an engine is asked again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Age of an engine's report at most.
const REPORT_AGE: Duration = Duration::from_millis(500);

/// Why an engine no longer works on a generation, as far as this instance can tell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stopped {
    /// It has stopped, and the generation can go on at an engine from a copy.
    Copied {
        /// The engine that has the copy.
        at: Arc<Target>,
        /// The copy.
        resume: Resume,
    },
    /// It does not run the generation.
    NotRunning,
    /// It has ended: nothing has reached it for a time, from here or from another instance.
    NotReached,
}

/// A generation that is to stop at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Stopping<'a> {
    /// Id of its request.
    pub id: &'a str,
    /// The engine.
    pub source: &'a Arc<Target>,
    /// The engine that its memory is copied to.
    pub to: &'a Arc<Target>,
    /// When it was sent to the engine, if no event has come from there: it may wait in the engine's queue, which
    /// then states that it does not run it, and begin later.
    pub queued_since: Option<Moment>,
}

impl Stopped {
    /// Its name in metrics and the log.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Copied { .. } => "copied",
            Self::NotRunning => "not_running",
            Self::NotReached => "not_reached",
        }
    }
}

/// What one request to stop has shown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The engine no longer works on the generation.
    Stopped(Stopped),
    /// No connection to the engine opened, for this reason.
    Unreached(Arc<str>),
    /// The engine may still work on it, for this reason.
    Unknown(Arc<str>),
}

impl Observation {
    /// What the answer to the request for a final copy from `source` to `to` shows.
    #[must_use]
    pub fn of(outcome: KvCopyOutcome, source: &Arc<Target>, to: &Arc<Target>) -> Self {
        let copied = |at: &Arc<Target>, copy| {
            Self::Stopped(Stopped::Copied {
                at: Arc::clone(at),
                resume: Resume {
                    source: source.addr,
                    copy,
                    after: None,
                },
            })
        };
        match outcome {
            KvCopyOutcome::Complete { copy } => copied(to, copy),
            // Only the engine that made the copy has it.
            KvCopyOutcome::NoRoom { copy: Some(copy) } => copied(source, copy),
            KvCopyOutcome::NotRunning => Self::Stopped(Stopped::NotRunning),
            KvCopyOutcome::Unreached { reason, .. } => Self::Unreached(reason),
            KvCopyOutcome::Withheld { reason } => Self::Unknown(reason),
            KvCopyOutcome::NoRoom { copy: None } => Self::Unknown("it refuses to stop".into()),
            KvCopyOutcome::Busy => Self::Unknown("another copy is in progress".into()),
            KvCopyOutcome::Unknown { reason } => Self::Unknown(reason),
        }
    }
}

/// Tells an engine to stop a generation until it is known to work on it no more, for at most `timeout`. If the
/// engine still runs it, its memory is copied to another one.
///
/// # Errors
/// Returns why the engine may still work on the generation.
pub async fn stop(
    front: &Arc<Front>,
    stopping: &Stopping<'_>,
    timeout: Duration,
) -> Result<Stopped, Arc<str>> {
    let timer = Timer::new();
    let mut requests = 0;
    let mut pause = RETRY_PAUSE;
    let mut last_reason: Arc<str> = "".into();
    let result = loop {
        let left = timeout.saturating_sub(timer.now());
        requests += 1;
        let reason = match request_stop(front, stopping, left.min(ANSWER_TIMEOUT)).await {
            Observation::Stopped(Stopped::NotRunning) => {
                match why_it_may_wait(front, stopping, left.min(REPORT_TIMEOUT)).await {
                    None => break Ok(Stopped::NotRunning),
                    Some(reason) => reason,
                }
            }
            Observation::Stopped(stopped) => break Ok(stopped),
            Observation::Unreached(reason) => {
                last_reason = Arc::clone(&reason);
                if presence::has_ended(front, stopping.source).await {
                    break Ok(Stopped::NotReached);
                }
                reason
            }
            Observation::Unknown(reason) => reason,
        };
        last_reason = Arc::clone(&reason);
        if timer.now() + RETRY_PAUSE >= timeout {
            break Err(reason);
        }
        smol::Timer::after(until_next_request(front, stopping.source, pause)).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    };
    record(
        front,
        stopping,
        &result,
        &last_reason,
        (requests, timer.now()),
    );
    result
}

/// How long to wait before an engine is asked again: no longer than until its absence shows that it has ended.
fn until_next_request(front: &Front, source: &Target, pause: Duration) -> Duration {
    let left = front.absence(source).time_left(boot_time());
    left.map_or(pause, |left| left.clamp(RETRY_PAUSE, pause))
}

/// Why a generation that an engine does not run may wait in its queue; none if it certainly does not.
async fn why_it_may_wait(
    front: &Arc<Front>,
    stopping: &Stopping<'_>,
    timeout: Duration,
) -> Option<Arc<str>> {
    let sent_at = stopping.queued_since?;
    if boot_time().saturating_sub(sent_at) < REPORT_AGE {
        return Some("its report may be older than the request".into());
    }
    match signals::request_report(front, stopping.source, timeout).await {
        Err(reason) => Some(reason),
        Ok(report) if report.runs(stopping.id) => Some("it has begun it".into()),
        Ok(report) if report.load.queued > 0 => Some("it may have it in its queue".into()),
        Ok(_) => None,
    }
}

/// Copies what an engine keeps of a generation whose answer it has ended. Whatever it says, it works on it no
/// more.
pub async fn copy_ended(front: &Arc<Front>, stopping: &Stopping<'_>) -> Stopped {
    match request_stop(front, stopping, ANSWER_TIMEOUT).await {
        Observation::Stopped(stopped) => stopped,
        Observation::Unreached(_) => Stopped::NotReached,
        Observation::Unknown(_) => Stopped::NotRunning,
    }
}

/// Sends one request to stop. An engine that asks for a pause may not be sent one until its end.
async fn request_stop(
    front: &Arc<Front>,
    stopping: &Stopping<'_>,
    timeout: Duration,
) -> Observation {
    let Stopping { id, source, to, .. } = *stopping;
    if let Some(left) = front.pause_left(source) {
        smol::Timer::after(left.min(timeout)).await;
        if left >= timeout {
            return Observation::Unknown("it wants no requests".into());
        }
    }
    let request = KvCopyRequest {
        generation: id,
        from: source.addr,
        to: to.addr,
        is_final: true,
        timeout,
    };
    Observation::of(signals::copy_kv(front, source, &request).await, source, to)
}

fn record(
    front: &Front,
    stopping: &Stopping<'_>,
    result: &Result<Stopped, Arc<str>>,
    last_reason: &Arc<str>,
    (requests, took): (u32, Duration),
) {
    let outcome = result.as_ref().map_or("unknown", Stopped::label);
    front.metrics.count_stop(outcome);
    let target = Arc::clone(&stopping.source.id);
    emit(&match result {
        Ok(stopped) => Event::GenerationStopped {
            id: stopping.id.into(),
            target,
            how: stopped.label().into(),
            last_reason: Arc::clone(last_reason),
            requests,
            took_ms: millis(took),
        },
        Err(reason) => Event::GenerationNotStopped {
            id: stopping.id.into(),
            target,
            reason: Arc::clone(reason),
            requests,
            took_ms: millis(took),
        },
    });
}

/// An engine to name as the destination where no copy is needed: best one that could use it, else any other one,
/// else the engine itself.
pub fn any_destination(front: &Front, source: &Arc<Target>) -> Arc<Target> {
    any_other_engine(front, source).unwrap_or_else(|| {
        let listed = front.view.targets();
        let mut others = listed
            .values()
            .filter(|target| target.service == source.service && target.id != source.id);
        Arc::clone(others.next().unwrap_or(source))
    })
}

/// Any other engine of the service that accepts work and has the same weights, for a copy.
pub fn any_other_engine(front: &Front, source: &Target) -> Option<Arc<Target>> {
    let choice = front.rollouts.destinations(boot_time(), source);
    let mut others = front.usable_targets(&source.service, &choice);
    others.retain(|target| target.id != source.id && target.weights == source.weights);
    others.retain(|target| front.pause_left(target).is_none());
    fastrand::choice(others)
}
