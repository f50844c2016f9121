//! Whether a request may have run at a target.
//!
//! A caller that is told that its request has not run sends it again, and so does this instance. So a
//! sending counts as a run from before its first byte leaves until there is proof of the contrary: a missing
//! answer, a missing header or a timeout is none.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use derive_more::Display;
use hyper::http::response::Parts;
use net::Unsent;

use crate::{
    adapters::{NamedRequest, ResponseHead},
    reaching::envelope::{RelayOutcome, RelayStatement},
};

/// Proof that one sending of a request has not run it and never will. It is made from what the client, the
/// target or another instance states, and from nothing else.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{reason}")]
pub struct NotRun {
    reason: Arc<str>,
}

impl NotRun {
    /// No byte of the request has left this process.
    #[must_use]
    pub fn from_unsent(unsent: &Unsent) -> Self {
        Self {
            reason: Arc::clone(unsent.reason()),
        }
    }

    /// The target states it in an answer to this request and no other. A success contradicts the statement, and
    /// so does a seal, which only the answer of a run has.
    #[must_use]
    pub fn from_answer(head: &Parts, parsed: &ResponseHead) -> Option<Self> {
        let is_own = parsed.named == NamedRequest::Sent;
        let is_refusal = parsed.states_not_run && !parsed.sealed && !head.status.is_success();
        (is_own && is_refusal).then(|| Self {
            reason: format!("the target refused it with status {}", head.status).into(),
        })
    }

    /// The instance that was to relay the request states that it has sent nothing.
    #[must_use]
    pub fn from_relay(statement: &RelayStatement) -> Option<Self> {
        let is_unsent = match statement.outcome() {
            RelayOutcome::Declined | RelayOutcome::NotReached { .. } | RelayOutcome::Withheld => {
                true
            }
            RelayOutcome::Answered | RelayOutcome::Lost => false,
        };
        is_unsent.then(|| Self {
            reason: Arc::clone(statement.reason()),
        })
    }

    /// What was stated.
    #[must_use]
    pub const fn reason(&self) -> &Arc<str> {
        &self.reason
    }
}

/// The sendings of a request. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Execution {
    /// All sendings.
    begun: Arc<AtomicUsize>,
    /// Sendings without proof that they did not run it.
    unproven: Arc<AtomicUsize>,
}

impl Execution {
    /// Begins a sending. Until it is disproved, the request may have run.
    pub fn begin(&self) -> PossibleRun {
        self.unproven.fetch_add(1, Ordering::AcqRel);
        self.begun.fetch_add(1, Ordering::AcqRel);
        PossibleRun {
            unproven: Arc::clone(&self.unproven),
        }
    }

    /// Whether the request may have run, or may be running, anywhere.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.unproven.load(Ordering::Acquire) > 0
    }

    /// Whether a sending of the request has begun, whatever became of it.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.begun.load(Ordering::Acquire) > 0
    }
}

/// One sending of a request, which may have run it. It counts for good if it is dropped without proof.
#[derive(Debug)]
#[must_use]
pub struct PossibleRun {
    unproven: Arc<AtomicUsize>,
}

impl PossibleRun {
    /// Records the proof that this sending has not run the request.
    pub fn disprove(self, _proof: &NotRun) {
        self.unproven.fetch_sub(1, Ordering::AcqRel);
    }
}
