//! Permits in an entry's hands.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{
    Epoch, InstanceId, Moment, PermitId, RouteId, ServiceKind, Shard, Target, Tokens, WorkspaceId,
};
use wire::{HeldPermit, Outcome};

use crate::api::RequestId;

/// A permit is known by its owner's term and its number.
pub type PermitKey = (Epoch, PermitId);

/// One permit: for a generation it covers one request, for plain calls a few at a time.
#[derive(Clone, Debug)]
pub struct Permit {
    /// The term and number.
    pub key: PermitKey,
    /// The shard.
    pub shard: Shard,
    /// Who granted it.
    pub owner: InstanceId,
    /// Where work may go.
    pub target: Target,
    /// The latest moment to send work.
    pub valid_until: Moment,
    /// Concurrent calls it covers.
    pub slots: u32,
    /// Whether the target is in cold start.
    pub cold: bool,
    /// What the targets are.
    pub kind: ServiceKind,
    /// Who asked for it.
    pub workspace: WorkspaceId,
    /// By which route.
    pub route: RouteId,
    /// Urgency it was asked with.
    pub class: types::Class,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// The most tokens to produce.
    pub max_output: Tokens,
    /// Requests that use it now.
    pub users: BTreeSet<RequestId>,
    /// Tokens that the engine has produced.
    pub produced: Tokens,
    /// Whether the caller has seen any of them.
    pub seen: bool,
    /// How calls under it ended so far.
    pub tally: Tally,
}

impl Permit {
    /// Whether one more call may use it.
    #[must_use]
    pub fn has_room(&self, now: Moment) -> bool {
        self.valid_until > now && self.users.len() < self.slots as usize
    }

    /// Whether it is of no more use.
    #[must_use]
    pub fn is_idle(&self, now: Moment) -> bool {
        self.users.is_empty()
            && (self.valid_until <= now || self.cold || self.kind == ServiceKind::Model)
    }

    /// What the owner is told about it. A lapsed block covers only what still runs under it.
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
            prompt: self.prompt_tokens,
            max_output: self.max_output,
            produced: self.produced,
            slots: if self.valid_until > now {
                self.slots
            } else {
                running
            },
            seen: self.seen,
        }
    }
}

/// How the calls under one permit ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    finished: u32,
    produced: Tokens,
    first: Duration,
    took: Duration,
    cancelled: bool,
    failed: bool,
    overloaded: bool,
}

impl Tally {
    /// Takes one call's end into account.
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
                self.first += first;
                self.took += took;
            }
            Outcome::Cancelled { produced } => {
                self.cancelled = true;
                self.produced += produced;
            }
            Outcome::Overloaded => self.overloaded = true,
            Outcome::Failed => self.failed = true,
        }
    }

    /// One outcome for the permit: the worst, or the mean of what finished.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.overloaded {
            Outcome::Overloaded
        } else if self.failed {
            Outcome::Failed
        } else if self.finished > 0 {
            Outcome::Finished {
                produced: self.produced / Tokens::from(self.finished),
                first: self.first / self.finished,
                took: self.took / self.finished,
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

/// All permits in an entry's hands.
pub type Permits = BTreeMap<PermitKey, Permit>;
