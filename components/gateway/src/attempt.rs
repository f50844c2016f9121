//! One attempt at a generation, up to the first token that the caller receives.

use futures_lite::future;
use relay::{ActiveStream, StreamError};
use targets::{StreamItem, TargetError};
use types::{Execution, Refusal};

use crate::{
    admission::{PermitHandle, WorkOutcome},
    prompt_parts::{SharedParts, SoundnessWatch},
    refusals,
};

/// Bytes of an engine's error body that the caller receives.
const ERROR_BODY_LIMIT: usize = 500;

/// Result of one attempt.
pub enum AttemptResult<T> {
    /// The attempt succeeded.
    Success(T),
    /// The attempt failed before the caller received a token; another one may be made.
    Retry {
        /// How the work ended.
        outcome: WorkOutcome,
        /// Whether the engine may have run part of it.
        ran: bool,
    },
    /// The request failed for good.
    Failed {
        /// How the work ended. `None` if it has yet to be cancelled, which must not delay the
        /// caller.
        outcome: Option<WorkOutcome>,
        /// The answer to the caller.
        refusal: Refusal,
    },
}

/// The next event of an attempt.
pub enum AttemptEvent {
    /// The engine sent an item of the stream.
    StreamItem(StreamItem),
    /// The permit was revoked.
    Revoked,
    /// The deadline passed.
    DeadlineExceeded,
    /// The engine did not start the generation.
    StartFailed(TargetError),
    /// The generation can't be continued, for this reason.
    StreamFailed(StreamError),
}

/// Work under a permit of which the caller has received nothing yet.
///
/// A permit reserves memory of an engine. If it ended while the engine still works on the request,
/// for instance because the caller disconnected, the owner would place other work on top and
/// overload a cold engine. Therefore dropping an attempt first cancels the work and only then ends
/// the permit.
pub struct Attempt {
    permit: Option<Box<dyn PermitHandle>>,
    /// The generation, once the engine has accepted it.
    pub stream: Option<ActiveStream>,
    /// Whether any byte of the request may have been sent.
    pub sent: bool,
    /// Watches whether the prompt proves sound, once the answer has begun.
    pub watch: Option<SoundnessWatch>,
}

impl Attempt {
    /// Creates an attempt of which nothing has been sent.
    pub const fn new(permit: Box<dyn PermitHandle>) -> Self {
        Self {
            permit: Some(permit),
            stream: None,
            sent: false,
            watch: None,
        }
    }

    /// Returns the permit.
    pub fn permit(&self) -> &dyn PermitHandle {
        let permit = self.permit.as_deref();
        permit.expect("an attempt has its permit until it is taken apart")
    }

    /// Waits for the next event. A revocation takes precedence over an item, so that no token is
    /// sent after it.
    pub async fn next(&mut self) -> AttemptEvent {
        let Some(stream) = &mut self.stream else {
            return AttemptEvent::StreamFailed(StreamError::Gone);
        };
        let permit = self.permit.as_deref();
        let permit = permit.expect("an attempt has its permit until it is taken apart");
        let item = async {
            match stream.next().await {
                Ok(item) => AttemptEvent::StreamItem(item),
                Err(error) => AttemptEvent::StreamFailed(error),
            }
        };
        unless_revoked(permit, item).await
    }

    /// Ends the attempt because of an event other than an expected item. Waits for the engine to
    /// confirm a cancellation before the attempt may be repeated.
    pub async fn give_up<T>(&mut self, event: AttemptEvent) -> AttemptResult<T> {
        match event {
            AttemptEvent::StreamItem(_) | AttemptEvent::Revoked => AttemptResult::Retry {
                outcome: stop(self.stream.take(), self.sent).await,
                ran: true,
            },
            AttemptEvent::DeadlineExceeded => AttemptResult::Failed {
                outcome: None,
                refusal: refusals::deadline(Execution::Unknown),
            },
            AttemptEvent::StreamFailed(error) => self.give_up_stream(&error).await,
            AttemptEvent::StartFailed(e) => start_failed(e),
        }
    }

    /// Gives up a stream that can't be continued. An engine that is reached may still work on the generation,
    /// which then runs at no other one until the engine has confirmed that it does not.
    async fn give_up_stream<T>(&mut self, error: &StreamError) -> AttemptResult<T> {
        let retry = AttemptResult::Retry {
            outcome: WorkOutcome::Failed,
            ran: true,
        };
        let Some(stream) = self.stream.take() else {
            return retry;
        };
        // One that is not reached is cancelled in the background.
        let is_reached = !matches!(error, StreamError::Unreachable { .. });
        if !is_reached || stream.cancel().await {
            return retry;
        }
        AttemptResult::Failed {
            outcome: Some(WorkOutcome::Failed),
            refusal: refusals::answer_lost(&format!(
                "{error}; its engine has not confirmed that it stopped"
            )),
        }
    }

    /// The parts of its prompt that are suspect if its target has crashed: none once they proved sound.
    pub fn suspect_parts(&self, parts: &SharedParts) -> SharedParts {
        match &self.watch {
            Some(watch) if watch.is_sound() => SharedParts::default(),
            _ => parts.clone(),
        }
    }

    /// Takes the attempt apart. The receiver becomes responsible for ending both parts.
    pub fn take(mut self) -> (Box<dyn PermitHandle>, Option<ActiveStream>) {
        let permit = self.permit.take();
        let permit = permit.expect("an attempt has its permit until it is taken apart");
        (permit, self.stream.take())
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let stream = self.stream.take();
        if stream.is_none() {
            permit.finish(outcome_without_stream(self.sent));
            return;
        }
        let sent = self.sent;
        workers::spawn(async move { permit.finish(stop(stream, sent).await) }).detach();
    }
}

/// Waits for an event, or for the revocation of the permit.
pub async fn unless_revoked(
    permit: &dyn PermitHandle,
    event: impl Future<Output = AttemptEvent>,
) -> AttemptEvent {
    let revoked = async {
        permit.revoked().await;
        AttemptEvent::Revoked
    };
    future::or(revoked, event).await
}

async fn stop(stream: Option<ActiveStream>, sent: bool) -> WorkOutcome {
    match stream {
        Some(stream) => cancel(stream).await,
        None => outcome_without_stream(sent),
    }
}

/// Without a stream id, a request that was sent can't be cancelled and may still run.
const fn outcome_without_stream(sent: bool) -> WorkOutcome {
    if sent {
        WorkOutcome::Failed
    } else {
        WorkOutcome::Unsent
    }
}

/// Cancels a generation. Returns `Cancelled` only once the engine has confirmed it, because the
/// permit may be given back only when the engine's memory is free; otherwise the work may still
/// run and is accounted as failed.
pub async fn cancel(stream: ActiveStream) -> WorkOutcome {
    let produced = stream.produced();
    if stream.cancel().await {
        WorkOutcome::Cancelled { produced }
    } else {
        WorkOutcome::Failed
    }
}

fn start_failed<T>(error: TargetError) -> AttemptResult<T> {
    match error {
        TargetError::Unsent { .. } => AttemptResult::Retry {
            outcome: WorkOutcome::Unreachable,
            ran: false,
        },
        TargetError::Closed { .. } => AttemptResult::Retry {
            outcome: WorkOutcome::Overloaded,
            ran: false,
        },
        TargetError::Withheld => AttemptResult::Retry {
            outcome: WorkOutcome::Unsent,
            ran: false,
        },
        TargetError::Rejected { is_certain, .. } => AttemptResult::Retry {
            outcome: WorkOutcome::Overloaded,
            ran: !is_certain,
        },
        TargetError::ClientError { status, body } => AttemptResult::Failed {
            outcome: Some(WorkOutcome::Cancelled { produced: 0 }),
            refusal: engine_refusal(status, &body),
        },
        TargetError::Lost { .. } | TargetError::Gone => AttemptResult::Retry {
            outcome: WorkOutcome::Failed,
            ran: true,
        },
    }
}

/// Passes on an engine's error answer. Engines reject an invalid request before they run any of it.
fn engine_refusal(status: u16, body: &[u8]) -> Refusal {
    let detail = String::from_utf8_lossy(&body[..body.len().min(ERROR_BODY_LIMIT)]);
    Refusal::new(
        status,
        "engine-refused",
        "The engine refused the request",
        &detail,
    )
}

/// Corrects a refusal that says `not-run` if an earlier attempt may have run.
pub fn with_earlier_runs(refusal: Refusal, ran: bool) -> Refusal {
    if ran && refusal.execution == Execution::NotRun {
        return refusal.with_execution(Execution::Unknown);
    }
    refusal
}
