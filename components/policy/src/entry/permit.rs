//! Permits held by an entry.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{
    Epoch, InstanceId, Moment, PermitId, RouteId, ServiceKind, Shard, Target, Tokens, WorkspaceId,
};
use wire::{HeldPermit, Outcome};

use crate::api::RequestId;

/// Identifies a permit by its owner's term and its id.
pub type PermitKey = (Epoch, PermitId);

/// A permit that the entry holds. It covers one generation, or a block of several plain calls.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The term and id.
    pub key: PermitKey,
    /// The shard.
    pub shard: Shard,
    /// The owner that granted it.
    pub owner: InstanceId,
    /// The target that work may be sent to.
    pub target: Target,
    /// Latest time to start sending work.
    pub valid_until: Moment,
    /// Number of concurrent calls that it covers.
    pub slots: u32,
    /// Whether the target is in cold start.
    pub cold: bool,
    /// Whether it is for a generation or for plain calls.
    pub kind: ServiceKind,
    /// The workspace that it was requested for.
    pub workspace: WorkspaceId,
    /// The route that it was requested for.
    pub route: RouteId,
    /// Priority class of the permit request.
    pub class: types::Class,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Upper limit of tokens to generate.
    pub max_output: Tokens,
    /// Requests that use it now.
    pub users: BTreeSet<RequestId>,
    /// Tokens generated so far.
    pub produced: Tokens,
    /// Whether any of them reached the caller.
    pub answer_started: bool,
    /// Outcomes of the calls that have ended.
    pub tally: OutcomeTally,
}

impl Permit {
    /// Returns whether one more call may use it.
    #[must_use]
    pub fn has_room(&self, now: Moment) -> bool {
        self.valid_until > now && self.users.len() < self.slots as usize
    }

    /// Returns whether nothing uses it and nothing may use it any more.
    #[must_use]
    pub fn is_returnable(&self, now: Moment) -> bool {
        self.users.is_empty()
            && (self.valid_until <= now || self.cold || self.kind == ServiceKind::Model)
    }

    /// Returns what is reported to the owner. An expired block covers only the calls that still run
    /// under it.
    #[must_use]
    pub fn held(&self, now: Moment) -> HeldPermit {
        let running = u32::try_from(self.users.len()).unwrap_or(u32::MAX);
        HeldPermit {
            permit: self.key.1,
            epoch: self.key.0,
            target: self.target.id.clone(),
            incarnation: self.target.incarnation,
            class: self.class,
            workspace: self.workspace.clone(),
            route: self.route.clone(),
            prompt_tokens: self.prompt_tokens,
            max_output: self.max_output,
            produced: self.produced,
            slots: if self.valid_until > now {
                self.slots
            } else {
                running
            },
            answer_started: self.answer_started,
        }
    }
}

/// Outcomes of the calls under one permit.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeTally {
    finished: u32,
    produced: Tokens,
    first_token_time: Duration,
    duration: Duration,
    cancelled: bool,
    failed: bool,
    overloaded: bool,
}

impl OutcomeTally {
    /// Adds the outcome of one call.
    pub fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Unsent | Outcome::Unreachable => {}
            Outcome::Finished {
                produced,
                first,
                took,
            } => {
                self.finished += 1;
                self.produced += produced;
                self.first_token_time += first;
                self.duration += took;
            }
            Outcome::Cancelled { produced } => {
                self.cancelled = true;
                self.produced += produced;
            }
            Outcome::Overloaded => self.overloaded = true,
            Outcome::Failed => self.failed = true,
        }
    }

    /// Returns one outcome for the permit: the worst, or else the mean of the finished calls.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.overloaded {
            Outcome::Overloaded
        } else if self.failed {
            Outcome::Failed
        } else if self.finished > 0 {
            Outcome::Finished {
                produced: self.produced / Tokens::from(self.finished),
                first: self.first_token_time / self.finished,
                took: self.duration / self.finished,
            }
        } else if self.cancelled {
            Outcome::Cancelled {
                produced: self.produced,
            }
        } else {
            Outcome::Unsent
        }
    }
}

/// All permits that an entry holds.
pub type Permits = BTreeMap<PermitKey, Permit>;
