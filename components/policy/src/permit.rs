//! A permit that occupies a target, as its owner keeps it.

use types::{
    Class, Epoch, Incarnation, InstanceId, Moment, PermitId, RouteId, Tokens, WorkspaceId,
};
use wire::HeldPermit;

use crate::{
    shard::{LAPSE_MARGIN, PERMIT_LIFE},
    wait_queue::TOKENS_MOST,
};

/// Calls that one permit may cover; larger figures of a message are cut to this.
const SLOTS_MOST: u32 = 1 << 16;

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
pub struct Permit {
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
    pub prompt: Tokens,
    /// The most tokens to produce.
    pub max_output: Tokens,
    /// Tokens produced, as last heard.
    pub produced: Tokens,
    /// When that was heard.
    pub heard: Moment,
    /// Concurrent calls it covers.
    pub slots: u32,
    /// Whether the caller has seen any of the answer.
    pub seen: bool,
    /// When it was granted or first heard of.
    pub since: Moment,
    /// When it was first heard that it has produced something.
    pub started: Option<Moment>,
    /// The entry's clock beyond which it can't be used for new work any more.
    pub lapses: Moment,
    /// When the entry was lost, if it was.
    pub orphaned: Option<Moment>,
    /// Whether it has been asked back.
    pub recalled: bool,
    /// Whether its missing first token has been taken as evidence of a cold target.
    pub late: bool,
    /// Tokens that its workspace was charged for it.
    pub charged: f64,
}

impl Permit {
    /// Takes over what an entry says it holds; `stamp` is the entry's clock at saying so.
    #[must_use]
    pub fn adopted(
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
            prompt: held.prompt.min(TOKENS_MOST),
            max_output: held.max_output.min(TOKENS_MOST),
            produced: held.produced.min(TOKENS_MOST),
            heard: now,
            started: (held.produced > 0).then_some(now),
            slots: held.slots.min(SLOTS_MOST),
            seen: held.seen,
            since: now,
            lapses: stamp,
            orphaned: None,
            recalled: false,
            late: true,
            charged: held.prompt as f64 + held.produced as f64,
        }
    }

    /// Tells whether its work surely ran at a moment, so that a report of then counts it: it was
    /// heard to have produced something, or it could no longer be used for new work.
    #[must_use]
    pub fn ran_by(&self, at: Moment) -> bool {
        self.started.is_some_and(|started| started <= at)
            || self.since + PERMIT_LIFE + LAPSE_MARGIN <= at
    }

    /// Tokens produced by now, going by the target's pace since the last news.
    #[must_use]
    pub fn produced_by(&self, now: Moment, rate: f64) -> Tokens {
        if self.produced == 0 {
            return 0;
        }
        let since = now.saturating_sub(self.heard).as_secs_f64();
        (self.produced + (since * rate) as Tokens).min(self.max_output.max(self.produced))
    }
}
