//! Makes sure that an engine no longer works on a generation before another one goes on with it.
//!
//! A connection that was closed, or lost on its way, proves nothing: the engine may go on without a reader.
//! The request for a final copy stops a generation, so only the answer to that counts.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use timer::{Timer, boot_time};
use types::millis;
use view::Target;

use crate::{
    adapters::{KvCopyOutcome, KvCopyRequest, Resume},
    reaching::entry,
    signals,
    state::Front,
};

/// Time for one answer. A copy of 5,000 tokens takes 0.3 s on a free link, and twice that between data centres.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause before an engine is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Connections in a row that don't open, after which an engine counts as not reached: one may be lost.
const UNOPENED_CONNECTIONS: u32 = 2;

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
    /// No connection to it opens, from here or from another instance.
    NotReached,
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
    /// No connection to the engine opened.
    Unopened,
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
            KvCopyOutcome::Withheld { .. } => Self::Unopened,
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
    id: &str,
    source: &Arc<Target>,
    to: &Arc<Target>,
    timeout: Duration,
) -> Result<Stopped, Arc<str>> {
    let timer = Timer::new();
    let mut unopened = 0;
    let mut requests = 0;
    let result = loop {
        let left = timeout.saturating_sub(timer.now());
        requests += 1;
        match request_stop(front, id, source, to, left.min(ANSWER_TIMEOUT)).await {
            Observation::Stopped(stopped) => break Ok(stopped),
            Observation::Unopened => {
                unopened += 1;
                // Other instances have been asked as well once their help is needed.
                if unopened >= UNOPENED_CONNECTIONS || entry::is_needed(front, source) {
                    break Ok(Stopped::NotReached);
                }
            }
            Observation::Unknown(reason) => {
                unopened = 0;
                if timer.now() + RETRY_PAUSE >= timeout {
                    break Err(reason);
                }
            }
        }
        smol::Timer::after(RETRY_PAUSE).await;
    };
    record(front, id, source, &result, (requests, timer.now()));
    result
}

/// Copies what an engine keeps of a generation whose answer it has ended. Whatever it says, it works on it no
/// more.
pub async fn copy_ended(
    front: &Arc<Front>,
    id: &str,
    source: &Arc<Target>,
    to: &Arc<Target>,
) -> Stopped {
    match request_stop(front, id, source, to, ANSWER_TIMEOUT).await {
        Observation::Stopped(stopped) => stopped,
        Observation::Unopened => Stopped::NotReached,
        Observation::Unknown(_) => Stopped::NotRunning,
    }
}

/// Sends one request to stop. An engine that asks for a pause may not be sent one until its end.
async fn request_stop(
    front: &Arc<Front>,
    id: &str,
    source: &Arc<Target>,
    to: &Arc<Target>,
    timeout: Duration,
) -> Observation {
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
    id: &str,
    source: &Target,
    result: &Result<Stopped, Arc<str>>,
    (requests, took): (u32, Duration),
) {
    let outcome = result.as_ref().map_or("unknown", Stopped::label);
    front.metrics.count_stop(outcome);
    emit(&match result {
        Ok(stopped) => Event::GenerationStopped {
            id: id.into(),
            target: Arc::clone(&source.id),
            how: stopped.label().into(),
            requests,
            took_ms: millis(took),
        },
        Err(reason) => Event::GenerationNotStopped {
            id: id.into(),
            target: Arc::clone(&source.id),
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
