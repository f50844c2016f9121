//! One try of a generation: what can happen until its caller has seen a token.

use futures_lite::future;
use relay::ActiveStream;
use targets::{Piece, TargetError};
use types::{Refusal, Run};

use crate::{
    admission::{PermitHandle, WorkOutcome},
    refusals,
};

/// Bytes of an engine's refusal that the caller gets to see.
const SAID_LIMIT: usize = 500;

/// What one try came to.
pub enum Tried<T> {
    /// It gave this.
    Good(T),
    /// It gave nothing; another try may be made.
    Again {
        /// How it ended.
        outcome: WorkOutcome,
        /// Whether the engine may have run any of it.
        ran: bool,
    },
    /// It failed for good.
    Over {
        /// How it ended; `None` if it is still to be stopped, which must not keep the caller
        /// waiting.
        outcome: Option<WorkOutcome>,
        /// What to tell the caller.
        refusal: Refusal,
    },
}

/// What happened first.
pub enum Step {
    /// A piece came.
    Piece(Piece),
    /// The permit was pulled back.
    PulledBack,
    /// The deadline passed.
    Late,
    /// The engine did not start it.
    NotStarted(TargetError),
    /// It can't go on.
    Broken,
}

/// Work under a permit, of which the caller has seen nothing.
///
/// The permit stands for memory of the engine. Ended before the engine has let go of the work,
/// as when a caller's connection is dropped in the middle of everything, it would let the owner
/// put other work on top: a cold engine would get more than it bears. So if this is dropped, the
/// work is cancelled first and then the permit is ended.
pub struct Work {
    permit: Option<Box<dyn PermitHandle>>,
    /// The generation, once the engine has named it.
    pub running: Option<ActiveStream>,
    /// Whether a request for it may have left.
    pub sent: bool,
}

impl Work {
    /// Nothing was sent yet.
    pub const fn new(permit: Box<dyn PermitHandle>) -> Self {
        Self {
            permit: Some(permit),
            running: None,
            sent: false,
        }
    }

    /// The permit.
    pub fn permit(&self) -> &dyn PermitHandle {
        let permit = self.permit.as_deref();
        permit.expect("the permit is there until the work is taken apart")
    }

    /// Does something that no caller sees yet, until the permit is pulled back. Pulling back
    /// comes first, so that no token goes out after it.
    pub async fn next(&mut self) -> Step {
        let Some(running) = &mut self.running else {
            return Step::Broken;
        };
        let permit = self.permit.as_deref();
        let permit = permit.expect("the permit is there until the work is taken apart");
        let piece = async {
            match running.next().await {
                Ok(piece) => Step::Piece(piece),
                Err(_) => Step::Broken,
            }
        };
        guarded(permit, piece).await
    }

    /// What a step other than a piece means.
    pub async fn give_up<T>(&mut self, step: Step) -> Tried<T> {
        match step {
            Step::Piece(_) | Step::PulledBack => Tried::Again {
                outcome: stop(self.running.take(), self.sent).await,
                ran: true,
            },
            Step::Late => Tried::Over {
                outcome: None,
                refusal: refusals::deadline(Run::Unknown),
            },
            Step::Broken => {
                // Whether the engine can still be told matters to nobody who waits.
                self.running = None;
                Tried::Again {
                    outcome: WorkOutcome::Failed,
                    ran: true,
                }
            }
            Step::NotStarted(e) => not_started(e),
        }
    }

    /// Takes it apart: from now on the caller of this answers for both.
    pub fn take(mut self) -> (Box<dyn PermitHandle>, Option<ActiveStream>) {
        let permit = self.permit.take();
        let permit = permit.expect("the permit is there until the work is taken apart");
        (permit, self.running.take())
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let running = self.running.take();
        if running.is_none() {
            permit.finish(unnamed(self.sent));
            return;
        }
        let sent = self.sent;
        workers::spawn(async move { permit.finish(stop(running, sent).await) }).detach();
    }
}

/// Waits for a step until the permit is pulled back.
pub async fn guarded(permit: &dyn PermitHandle, step: impl Future<Output = Step>) -> Step {
    let pulled = async {
        permit.revoked().await;
        Step::PulledBack
    };
    future::or(pulled, step).await
}

async fn stop(running: Option<ActiveStream>, sent: bool) -> WorkOutcome {
    match running {
        Some(running) => cancelled(running).await,
        None => unnamed(sent),
    }
}

/// A request that was sent and not answered may run without anybody knowing its name.
const fn unnamed(sent: bool) -> WorkOutcome {
    if sent {
        WorkOutcome::Failed
    } else {
        WorkOutcome::Unsent
    }
}

/// Cancels a generation. The engine's memory must be free again before the account says so; if
/// the engine could not be told, the work may run on, and the account has to go on counting it.
pub async fn cancelled(running: ActiveStream) -> WorkOutcome {
    let produced = running.produced();
    if running.cancel().await {
        WorkOutcome::Cancelled { produced }
    } else {
        WorkOutcome::Failed
    }
}

fn not_started<T>(error: TargetError) -> Tried<T> {
    match error {
        TargetError::Unsent { .. } => Tried::Again {
            outcome: WorkOutcome::Unreachable,
            ran: false,
        },
        TargetError::Turned { .. } => Tried::Again {
            outcome: WorkOutcome::Overloaded,
            ran: false,
        },
        TargetError::Wrong { status, body } => Tried::Over {
            outcome: Some(WorkOutcome::Cancelled { produced: 0 }),
            refusal: engine_refusal(status, &body),
        },
        TargetError::Lost { .. } | TargetError::Gone => Tried::Again {
            outcome: WorkOutcome::Failed,
            ran: true,
        },
    }
}

/// The engine found the request wrong: it tells so before it runs anything.
fn engine_refusal(status: u16, body: &[u8]) -> Refusal {
    let said = String::from_utf8_lossy(&body[..body.len().min(SAID_LIMIT)]);
    Refusal::new(
        status,
        "engine-refused",
        "The engine refused the request",
        &said,
    )
}

/// A refusal of a later try must not say `not-run` when an earlier one may have run.
pub fn truthful(refusal: Refusal, ran: bool) -> Refusal {
    if ran && refusal.run == Run::NotRun {
        return refusal.with_run(Run::Unknown);
    }
    refusal
}
