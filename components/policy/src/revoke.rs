//! Revokes permits before an engine preempts generations.
//!
//! If lengths were underestimated, an engine's memory fills up and it preempts generations of its
//! own choice, whose callers see their answers stall. A generation of which the caller has seen
//! nothing can run elsewhere instead, at the cost of a later first token.

use std::{cmp::Reverse, time::Duration};

use types::{Class, Moment};
use wire::Revoke;

use crate::{
    account::TargetAccount,
    api::{Action, TargetLimits},
    outbox::send,
    owner_state::OwnerState,
    permit::PermitKey,
    shard::ShardState,
};

/// Minimum time between two revocations at one target, so that the first can take effect.
const MIN_REVOKE_INTERVAL: Duration = Duration::from_millis(250);

impl ShardState {
    /// Revokes a permit of each target that is about to run out of memory: the one that costs
    /// least to run again.
    pub fn revoke_on_low_memory(
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
            let line = format!("permit {} revoked on {id}", key.permit);
            owner_state.decision_log.record(now, line);
            let revoke = Revoke {
                shard: self.shard.clone(),
                permit: key.permit,
            };
            send(&key.entry, revoke.into(), out);
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
    let revoke_share = owner_state.tuning.revoke_share;
    let near_term = account.last_projection().near_term() / account.capacity(limits).max(1) as f64;
    account.used_share(now) >= revoke_share || near_term >= revoke_share
}

/// Returns the permit that costs least to run again, among those of which the caller has seen
/// nothing: background work first, then the one with the fewest tokens to recompute. Urgent work is
/// never revoked.
fn cheapest_to_revoke(account: &TargetAccount) -> Option<PermitKey> {
    account
        .permits
        .iter()
        .filter(|(_, permit)| {
            !permit.answer_started
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
