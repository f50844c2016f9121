//! Pulling work back before an engine preempts.
//!
//! Where a length was guessed wrong an engine's memory fills up, and it preempts whom it likes:
//! a caller sees its answer stall in the middle. Work whose caller has seen nothing yet can be
//! run again elsewhere instead, and nobody notices more than a later first token.

use std::{cmp::Reverse, time::Duration};

use types::{Class, Moment};
use wire::Recall;

use crate::{
    account::TargetAccount,
    api::{Action, TargetLimits},
    outbox::send,
    owner_state::OwnerState,
    permit::PermitKey,
    shard::ShardState,
};

/// Time between two recalls from one target, so that the first shows its effect.
const MIN_REVOKE_INTERVAL: Duration = Duration::from_millis(250);

impl ShardState {
    /// Asks for the cheapest unseen permit of each target that is about to run out of memory.
    pub fn revoke_unseen(
        &mut self,
        now: Moment,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let Some(limits) = owner_state.view.limits.get(&self.shard.service).cloned() else {
            return;
        };
        if !TargetAccount::is_model(&limits) {
            return;
        }
        for (id, account) in &mut self.accounts {
            account.refresh_projection(
                now,
                &self.shard.service,
                &mut owner_state.lengths,
                &owner_state.tuning,
            );
            if !is_low_on_memory(now, account, &limits, owner_state) {
                continue;
            }
            let Some(key) = cheapest_to_revoke(account) else {
                continue;
            };
            account.last_revoked_at = now;
            if let Some(permit) = account.permits.get_mut(&key) {
                permit.revoked = true;
            }
            let line = format!("permit {} recalled from {id}", key.permit);
            owner_state.decision_log.record(now, line);
            let recall = Recall {
                shard: self.shard.clone(),
                permit: key.permit,
            };
            send(&key.entry, recall.into(), out);
        }
    }
}

fn is_low_on_memory(
    now: Moment,
    account: &TargetAccount,
    limits: &TargetLimits,
    owner_state: &OwnerState,
) -> bool {
    if now.saturating_sub(account.last_revoked_at) < MIN_REVOKE_INTERVAL {
        return false;
    }
    let recall_share = owner_state.tuning.revoke_share;
    let soon = account.last_projection().near_term() / account.capacity(limits).max(1) as f64;
    account.used_share(now) >= recall_share || soon >= recall_share
}

/// The unseen permit whose loss costs least: background first, then the fewest tokens to be
/// computed again. Urgent work stays.
fn cheapest_to_revoke(account: &TargetAccount) -> Option<PermitKey> {
    account
        .permits
        .iter()
        .filter(|(_, permit)| {
            !permit.seen
                && !permit.revoked
                && permit.orphaned_at.is_none()
                && permit.class != Class::Urgent
        })
        .min_by_key(|(_, permit)| {
            (
                Reverse(permit.class),
                permit.prompt_tokens + permit.produced,
            )
        })
        .map(|(key, _)| key.clone())
}
