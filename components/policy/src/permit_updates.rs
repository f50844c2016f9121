//! Updates from entries: permits that are returned, and permits that are still held.

use std::collections::BTreeSet;

use types::{InstanceId, Moment, PermitId};
use wire::{Done, Held, HeldPermit, Outcome};

use crate::{
    account::TargetAccount,
    api::TargetLimits,
    length::GenerationSource,
    owner_state::OwnerState,
    permit::{GrantedPermit, PermitKey},
    shard::ShardState,
};

impl ShardState {
    /// Takes back a permit whose work has ended. After a lost connection the permit is kept as
    /// orphaned.
    pub fn handle_done(
        &mut self,
        now: Moment,
        from: &InstanceId,
        done: &Done,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
    ) {
        let Some(account) = self.accounts.get_mut(&done.target) else {
            return;
        };
        let key = PermitKey {
            entry: from.clone(),
            permit: done.permit,
        };
        let occupied = account.occupied_slots();
        let returned = if done.outcome == Outcome::Failed {
            account.orphan(now, &key)
        } else {
            account.remove(&key)
        };
        let Some(permit) = returned else {
            return;
        };
        update_limit(now, account, &permit, occupied, &done.outcome, limits);
        let length = match done.outcome {
            Outcome::Finished { produced, .. } | Outcome::Cancelled { produced } => produced,
            _ => permit.produced,
        };
        if TargetAccount::is_model(limits) {
            self.record_length(&permit, length, &done.outcome, owner_state);
        }
        let used_tokens = match done.outcome {
            Outcome::Unsent | Outcome::Unreachable | Outcome::Overloaded => 0.0,
            _ if TargetAccount::is_model(limits) => permit.prompt_tokens as f64 + length as f64,
            _ => permit.charged_tokens,
        };
        self.queue
            .adjust_charge(&permit.workspace, used_tokens - permit.charged_tokens);
    }

    fn record_length(
        &self,
        permit: &GrantedPermit,
        length: u64,
        outcome: &Outcome,
        owner_state: &mut OwnerState,
    ) {
        let source = GenerationSource {
            service: &self.shard.service,
            route: &permit.route,
            workspace: &permit.workspace,
        };
        let complete = matches!(outcome, Outcome::Finished { .. }) && length < permit.max_output;
        if complete {
            owner_state
                .lengths
                .record_end(&source, permit.produced, length);
        } else {
            owner_state
                .lengths
                .record_progress(&source, permit.produced, length);
        }
    }

    /// Applies an entry's list of the permits that it holds.
    pub fn handle_held(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: u64,
        held: &Held,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
    ) {
        if held.epoch == self.epoch {
            self.unanswered_queries.remove(from);
        }
        self.drop_unlisted(from, incarnation, held);
        for permit in &held.permits {
            self.handle_held_permit(
                now,
                from,
                incarnation,
                held.stamp,
                permit,
                limits,
                owner_state,
            );
        }
    }

    /// Removes permits that an entry no longer lists and can no longer use.
    ///
    /// If a `Done` or a `Grant` is lost, the permit's slot would otherwise stay reserved for ever,
    /// and in time the targets would be idle. A grant may still be on its way while the entry lists
    /// its permits, so a permit is removed only once it has expired by the entry's clock.
    fn drop_unlisted(&mut self, from: &InstanceId, incarnation: u64, held: &Held) {
        let listed: BTreeSet<PermitId> = held.permits.iter().map(|p| p.permit).collect();
        for account in self.accounts.values_mut() {
            let expired: Vec<PermitKey> = account
                .permits
                .iter()
                .filter(|(key, permit)| {
                    key.entry == *from
                        && permit.entry_incarnation == incarnation
                        && held.stamp > permit.expires_at
                        && permit.orphaned_at.is_none()
                        && !listed.contains(&key.permit)
                })
                .map(|(key, _)| key.clone())
                .collect();
            for key in expired {
                account.remove(&key);
            }
        }
    }

    #[allow(clippy::too_many_arguments)] // the parts of the message
    fn handle_held_permit(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: u64,
        stamp: Moment,
        held: &HeldPermit,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
    ) {
        let account = self
            .accounts
            .entry(held.target.clone())
            .or_insert_with(|| TargetAccount::new(now));
        let key = PermitKey {
            entry: from.clone(),
            permit: held.permit,
        };
        let Some(known) = account.permits.get(&key) else {
            let permit = GrantedPermit::from_held(held, incarnation, stamp, now);
            account.insert(key, permit);
            return;
        };
        let (produced_before, granted_at, slow_start_recorded) =
            (known.produced, known.granted_at, known.slow_start_recorded);
        if produced_before == 0 && held.produced > 0 {
            let saturated = account
                .limiter
                .is_saturated(limits, account.occupied_slots());
            account.limiter.record_first_token(limits, saturated);
        }
        account.record_progress(now, stamp, &key, held);
        if !TargetAccount::is_model(limits) {
            return;
        }
        let source = GenerationSource {
            service: &self.shard.service,
            route: &held.route,
            workspace: &held.workspace,
        };
        owner_state
            .lengths
            .record_progress(&source, produced_before, held.produced);
        if held.produced == 0 && !slow_start_recorded {
            let turned_cold = account
                .limiter
                .record_missing_first_token(now, now.saturating_sub(granted_at));
            if let Some(permit) = account.permits.get_mut(&key) {
                permit.slow_start_recorded = turned_cold;
            }
        }
    }
}

/// Updates the target's limit by how a request ended.
fn update_limit(
    now: Moment,
    account: &mut TargetAccount,
    permit: &GrantedPermit,
    occupied: u32,
    outcome: &Outcome,
    limits: &TargetLimits,
) {
    let saturated = account.limiter.is_saturated(limits, occupied);
    let may_be_warm = account.may_be_warm();
    if account.limiter.is_cold() && permit.granted_at < account.limiter.state_changed_at() {
        // The request started before the target turned cold, so it says nothing about its present
        // capacity.
        return;
    }
    match outcome {
        Outcome::Finished { first, .. } => {
            let turned_cold =
                account
                    .limiter
                    .record_finished(now, limits, *first, saturated, may_be_warm);
            if turned_cold {
                account.trusts_warm_report = false;
            }
        }
        Outcome::Overloaded => account.limiter.record_overload(occupied),
        Outcome::Unreachable => account.mark_uncertain(now),
        _ => {}
    }
}
