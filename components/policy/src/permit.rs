//! A granted permit, as its owner accounts for it.

use std::time::Duration;

use types::{
    Class, Epoch, Incarnation, InstanceId, Moment, PermitId, RouteId, Tokens, WorkspaceId,
};
use wire::HeldPermit;

use crate::{
    shard::{EXPIRY_MARGIN, PERMIT_LIFETIME},
    wait_queue::MAX_TOKENS,
};

/// Maximum number of calls that one permit covers; larger numbers in a message are capped.
const MAX_SLOTS: u32 = 1 << 16;

/// Time without a report after which an entry may have been paused. Entries report twice as often.
pub const MAX_SILENCE: Duration = Duration::from_millis(500);

/// Time by which a loaded entry may read a token after its target generated it.
const MAX_RELAY_LAG: Duration = Duration::from_secs(1);

/// Identifies a permit together with the entry that holds it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PermitKey {
    /// The entry that holds the permit.
    pub entry: InstanceId,
    /// The permit's id.
    pub permit: PermitId,
}

/// A permit that occupies a target.
#[derive(Clone, Debug)]
pub struct GrantedPermit {
    /// The term in which it was granted.
    pub epoch: Epoch,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The incarnation of the entry.
    pub entry_incarnation: Incarnation,
    /// Priority class.
    pub class: Class,
    /// The workspace that the work is for.
    pub workspace: WorkspaceId,
    /// The route of the request.
    pub route: RouteId,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Upper limit of tokens to generate.
    pub max_output: Tokens,
    /// Tokens generated, as last reported.
    pub produced: Tokens,
    /// When the entry last reported the permit.
    pub updated_at: Moment,
    /// When the entry last reported more tokens than before; `None` if it never did.
    pub progressed_at: Option<Moment>,
    /// Whether the entry once reported nothing for longer than `MAX_SILENCE`.
    pub was_silent: bool,
    /// Concurrent calls that it covers.
    pub slots: u32,
    /// Whether the caller has seen any of the answer.
    pub answer_started: bool,
    /// When it was granted, or first reported if an earlier owner granted it.
    pub granted_at: Moment,
    /// When it was first reported to have generated tokens.
    pub started_at: Option<Moment>,
    /// When it expires, on the entry's clock. It can't be used for new work after that.
    pub expires_at: Moment,
    /// When its entry, or the entry's connection to the target, was lost; `None` if neither was.
    pub orphaned_at: Option<Moment>,
    /// Whether it has been revoked.
    pub revoked: bool,
    /// Whether its missing first token has been counted as evidence that the target is cold.
    pub slow_start_recorded: bool,
    /// Tokens charged to its workspace.
    pub charged_tokens: f64,
}

impl GrantedPermit {
    /// Accounts for a permit that an entry reports to hold; `stamp` is the entry's clock when it
    /// was reported.
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
            prompt_tokens: held.prompt_tokens.min(MAX_TOKENS),
            max_output: held.max_output.min(MAX_TOKENS),
            produced: held.produced.min(MAX_TOKENS),
            updated_at: now,
            progressed_at: None,
            was_silent: false,
            started_at: (held.produced > 0).then_some(now),
            slots: held.slots.min(MAX_SLOTS),
            answer_started: held.answer_started,
            granted_at: now,
            expires_at: stamp,
            orphaned_at: None,
            revoked: false,
            slow_start_recorded: true,
            charged_tokens: held.prompt_tokens as f64 + held.produced as f64,
        }
    }

    /// Returns whether its work certainly ran at a moment, and a load report of that moment
    /// therefore includes it: it had generated tokens, or it could no longer be used for new work.
    #[must_use]
    pub fn was_running_at(&self, at: Moment) -> bool {
        self.started_at.is_some_and(|started| started <= at)
            || self.granted_at + PERMIT_LIFETIME + EXPIRY_MARGIN <= at
    }

    /// Returns whether its work certainly ran at the time of a load report, so that the report
    /// includes it: its entry has received more tokens so long after that the target must have
    /// generated them later. An entry that was paused reads what the target sent it meanwhile, and
    /// is no witness.
    #[must_use]
    pub fn ran_past(&self, at: Moment) -> bool {
        let received_later = self
            .progressed_at
            .is_some_and(|progressed| progressed >= at + MAX_RELAY_LAG);
        received_later && !self.was_silent && self.started_at.is_some_and(|started| started <= at)
    }

    /// Returns an estimate of the tokens generated by now, from the last report and the target's
    /// token rate per second.
    #[must_use]
    pub fn estimated_tokens(&self, now: Moment, rate: f64) -> Tokens {
        if self.produced == 0 {
            return 0;
        }
        let since = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.produced + (since * rate) as Tokens).min(self.max_output.max(self.produced))
    }
}
