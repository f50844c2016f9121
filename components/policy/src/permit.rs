//! A permit that occupies a target, as its owner keeps it.

use types::{
    Class, Epoch, Incarnation, InstanceId, Moment, PermitId, RouteId, Tokens, WorkspaceId,
};
use wire::HeldPermit;

use crate::{
    shard::{LAPSE_MARGIN, PERMIT_LIFE},
    wait_queue::MAX_TOKENS,
};

/// Calls that one permit may cover; larger figures of a message are cut to this.
const MAX_SLOTS: u32 = 1 << 16;

/// Which permit of which entry.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PermitKey {
    /// The entry.
    pub entry: InstanceId,
    /// The permit.
    pub permit: PermitId,
}

/// A permit that occupies a target.
#[derive(Clone, Debug)]
pub struct GrantedPermit {
    /// The term it was granted in.
    pub epoch: Epoch,
    /// Which life of the target.
    pub incarnation: Incarnation,
    /// Which life of the entry.
    pub entry_incarnation: Incarnation,
    /// Urgency.
    pub class: Class,
    /// Who the work is for.
    pub workspace: WorkspaceId,
    /// The route.
    pub route: RouteId,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// The most tokens to produce.
    pub max_output: Tokens,
    /// Tokens produced, as last heard.
    pub produced: Tokens,
    /// When that was heard.
    pub updated_at: Moment,
    /// Concurrent calls it covers.
    pub slots: u32,
    /// Whether the caller has seen any of the answer.
    pub seen: bool,
    /// When it was granted or first heard of.
    pub granted_at: Moment,
    /// When it was first heard that it has produced something.
    pub started_at: Option<Moment>,
    /// The entry's clock beyond which it can't be used for new work any more.
    pub expires_at: Moment,
    /// When the entry was lost, if it was.
    pub orphaned_at: Option<Moment>,
    /// Whether it has been asked back.
    pub revoked: bool,
    /// Whether its missing first token has been taken as evidence of a cold target.
    pub slow_start_recorded: bool,
    /// Tokens that its workspace was charged for it.
    pub charged_tokens: f64,
}

impl GrantedPermit {
    /// Takes over what an entry says it holds; `stamp` is the entry's clock at saying so.
    #[must_use]
    pub fn from_held(
        held: &HeldPermit,
        entry_incarnation: Incarnation,
        stamp: Moment,
        now: Moment,
    ) -> Self {
        Self {
            epoch: held.epoch,
            incarnation: held.incarnation,
            entry_incarnation,
            class: held.class,
            workspace: held.workspace.clone(),
            route: held.route.clone(),
            prompt_tokens: held.prompt.min(MAX_TOKENS),
            max_output: held.max_output.min(MAX_TOKENS),
            produced: held.produced.min(MAX_TOKENS),
            updated_at: now,
            started_at: (held.produced > 0).then_some(now),
            slots: held.slots.min(MAX_SLOTS),
            seen: held.seen,
            granted_at: now,
            expires_at: stamp,
            orphaned_at: None,
            revoked: false,
            slow_start_recorded: true,
            charged_tokens: held.prompt as f64 + held.produced as f64,
        }
    }

    /// Tells whether its work surely ran at a moment, so that a report of then counts it: it was
    /// heard to have produced something, or it could no longer be used for new work.
    #[must_use]
    pub fn was_running_at(&self, at: Moment) -> bool {
        self.started_at.is_some_and(|started| started <= at)
            || self.granted_at + PERMIT_LIFE + LAPSE_MARGIN <= at
    }

    /// Tokens produced by now, going by the target's pace since the last news.
    #[must_use]
    pub fn estimated_tokens(&self, now: Moment, rate: f64) -> Tokens {
        if self.produced == 0 {
            return 0;
        }
        let since = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.produced + (since * rate) as Tokens).min(self.max_output.max(self.produced))
    }
}
