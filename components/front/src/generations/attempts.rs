//! The engines that a generation was sent to, and what becomes of it when one fails it.

use std::sync::Arc;

use events::{Event, emit};
use timer::boot_time;
use types::{Moment, TargetId};
use view::Target;

use crate::{
    callers::call::Call,
    generations::resumption::{Cause, Decision, GiveUp, Interruption, Position},
    state::Front,
};

/// The engines that a generation has been sent to.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Engines that have certainly not run it.
    pub refused: Vec<TargetId>,
    /// Engines that have failed it.
    failed: Vec<TargetId>,
    /// Engines that can't go on with it, for their weights differ from those that have begun it.
    unsuitable: Vec<TargetId>,
    /// Engines that have run it, or may have.
    pub runs: u32,
    /// The latest failure.
    pub loss: Option<Loss>,
}

/// The failure of an engine that ran a generation, or may have.
#[derive(Clone, Debug)]
pub struct Loss {
    /// The engine.
    pub target: Arc<Target>,
    /// How it failed.
    pub cause: Cause,
    /// How much of the stream the caller has received.
    pub position: Position,
    /// When it was sent to the engine.
    pub sent_at: Moment,
}

impl Attempts {
    /// Records that an engine has failed the generation.
    pub fn record_loss(&mut self, loss: Loss) {
        self.failed.push(Arc::clone(&loss.target.id));
        self.loss = Some(loss);
    }

    /// Makes the attempts to go on after a stream was lost. Engines that refused the generation earlier may
    /// have room now.
    #[must_use]
    pub fn after_loss(&self, loss: Loss, unsuitable: Vec<TargetId>) -> Self {
        let mut attempts = Self {
            refused: Vec::new(),
            unsuitable,
            ..self.clone()
        };
        attempts.record_loss(loss);
        attempts
    }

    /// Engines that are not tried.
    #[must_use]
    pub fn avoid(&self) -> Vec<TargetId> {
        [&*self.refused, &*self.failed, &*self.unsuitable].concat()
    }

    /// The number of the next sending.
    #[must_use]
    pub fn next_number(&self) -> u32 {
        let sent = self.refused.len() + self.failed.len();
        u32::try_from(sent + 1).unwrap_or(u32::MAX)
    }
}

/// Decides whether a generation that an engine has failed goes on at another one; logs if it does not
/// although the route allows it.
pub fn decide(front: &Front, call: &Call, attempts: &Attempts, loss: &Loss) -> Decision {
    let interruption = Interruption {
        is_resumable: call.route.is_resumable && front.cfg.decisions.features.retries,
        position: loss.position,
        runs: attempts.runs,
        max_runs: call.route.max_targets,
        time_left: call.time_left(),
        is_quarantined: front.rejects(&call.fingerprint),
    };
    let decision = interruption.decide(|| take_retry(front, call));
    if let Decision::GiveUp(why) = decision {
        record_give_up(front, call, loss, why);
    }
    decision
}

/// Logs and counts a generation that does not go on elsewhere, if its route would allow that.
pub fn record_give_up(front: &Front, call: &Call, loss: &Loss, why: GiveUp) {
    if why == GiveUp::NotResumable {
        return;
    }
    let cause = loss.cause.label();
    front.metrics.count_resumption(cause, why.label());
    emit(&Event::ResumptionGivenUp {
        id: Arc::clone(&call.request.id),
        target: Arc::clone(&loss.target.id),
        cause: cause.into(),
        why: why.label().into(),
        last_event: match loss.position {
            Position::After(last) => last,
            Position::Start | Position::Unknown => 0,
        },
    });
}

/// Takes a retry from the budget of the call's service; returns false if none is left.
pub fn take_retry(front: &Front, call: &Call) -> bool {
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
