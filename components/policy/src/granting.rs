//! Grants permits to queued requests, in order of service.
//!
//! Invariants, asserted after each grant: a cold target never has more requests than its cold
//! limit, and no target that is leaving, out of service or restarted gets work.

use std::{collections::BTreeSet, sync::Arc};

use types::{Class, Moment, Target, TargetId};
use wire::{Ask, Grant};

use crate::{
    account::TargetAccount,
    api::{Action, TargetLimits},
    memory::RunningGeneration,
    outbox::send,
    owner_state::{EntryContact, OwnerState},
    permit::{GrantedPermit, PermitKey},
    shard::{PERMIT_LIFE, ShardState},
    wait_queue::QueuePosition,
};

/// Number of requests that may overtake one that fits nowhere, before a target is reserved for it.
const BYPASS_LIMIT: u32 = 8;

/// Weight of a less urgent request that overtakes another. Urgent work is served first, so small
/// background requests could otherwise use up bit by bit the room that a larger normal request
/// waits for.
const LESS_URGENT_BYPASS_WEIGHT: u32 = 4;

/// Tokens that a plain call is charged with in the fair sharing between workspaces.
const TOKENS_PER_PLAIN_CALL: f64 = 256.0;

impl ShardState {
    /// Grants permits until no queued request fits on any target.
    pub fn grant_waiting(
        &mut self,
        now: Moment,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        if self.queue.is_empty() || !self.can_grant(now) {
            return;
        }
        let Some(limits) = owner_state.view.limits.get(&self.shard.service).cloned() else {
            return;
        };
        while self.grant_next(now, &limits, owner_state, out) {}
    }

    /// Grants a permit to the first request that fits on a target. Returns whether there was one.
    fn grant_next(
        &mut self,
        now: Moment,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) -> bool {
        self.refresh_projections(now, limits, owner_state);
        let mut kept: BTreeSet<TargetId> = BTreeSet::new();
        let mut passed: Vec<QueuePosition> = Vec::new();
        for place in self.queue.service_order() {
            let Some(waiting) = self.queue.get(place).cloned() else {
                continue;
            };
            let peer = owner_state.entries.get(&waiting.entry).copied();
            let Some(peer) = peer.filter(|peer| peer.is_recent(now)) else {
                continue;
            };
            let need = self.demand(&waiting, limits, owner_state);
            if let Some(target) = self.choose(now, &need, &kept, limits, owner_state) {
                self.record_bypassed(&passed, waiting.effective_class);
                self.grant(now, place, &target, peer, limits, owner_state, out);
                return true;
            }
            if waiting.bypassed >= BYPASS_LIMIT {
                kept.extend(self.reserve_target(&waiting.ask, &kept, limits, owner_state));
            }
            passed.push(place);
        }
        false
    }

    /// Records that a request of class `rank` overtakes the ones in `passed`.
    fn record_bypassed(&mut self, passed: &[QueuePosition], rank: Class) {
        for place in passed {
            let less_urgent = self
                .queue
                .get(*place)
                .is_some_and(|w| w.effective_class < rank);
            let times = if less_urgent {
                LESS_URGENT_BYPASS_WEIGHT
            } else {
                1
            };
            self.queue.record_bypass(*place, times);
        }
    }

    fn refresh_projections(
        &mut self,
        now: Moment,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
    ) {
        if !TargetAccount::is_model(limits) {
            return;
        }
        for account in self.accounts.values_mut() {
            account.refresh_projection(
                now,
                &self.shard.service,
                &mut owner_state.lengths,
                &owner_state.tuning,
            );
        }
    }

    #[allow(clippy::too_many_arguments)] // one decision's parts
    fn grant(
        &mut self,
        now: Moment,
        place: QueuePosition,
        id: &TargetId,
        peer: EntryContact,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let granting = self.can_grant(now);
        assert!(
            granting,
            "granted on {} before everybody told what it holds; last events:\n{}",
            self.shard,
            owner_state.decision_log.to_text()
        );
        let Some(waiting) = self.queue.get(place).cloned() else {
            return;
        };
        let Some(target) = self.accounts.get(id).and_then(|a| a.listed.clone()) else {
            return;
        };
        let need = self.demand(&waiting, limits, owner_state);
        let slots = self.slots_for(now, &waiting, &self.accounts[id], limits, owner_state);
        let calls = f64::from(slots) * TOKENS_PER_PLAIN_CALL;
        let tokens = need
            .generation
            .as_ref()
            .map_or(calls, RunningGeneration::expected_final_tokens);
        self.queue.dequeue_and_charge(place, tokens);
        self.grant_rate.record_grant(
            now,
            waiting.effective_class,
            self.queue.len_of(waiting.effective_class),
        );
        let Some(account) = self.accounts.get_mut(id) else {
            return;
        };
        let grant = Grant {
            shard: self.shard.clone(),
            epoch: self.epoch,
            ask: waiting.ask.ask,
            permit: owner_state.next_permit(),
            target: target.id.clone(),
            incarnation: target.incarnation,
            reserved: if need.generation.is_some() {
                tokens as u64
            } else {
                0
            },
            slots,
            stamp: peer.stamp,
            life: PERMIT_LIFE,
            cold: account.limiter.is_cold(),
        };
        owner_state.decision_log.record(
            now,
            format!(
                "permit {} for ask {} of {} on {id}, {slots} slots, cold {}",
                grant.permit, grant.ask, waiting.entry, grant.cold
            ),
        );
        let key = PermitKey {
            entry: waiting.entry.clone(),
            permit: grant.permit,
        };
        let permit = new_permit(now, &waiting.ask, &grant, peer.incarnation, tokens);
        let earlier = account.insert(key, permit);
        account.prefixes.record(&waiting.ask.prefix);
        assert!(
            earlier.is_none(),
            "permit {} was granted twice; last events:\n{}",
            grant.permit,
            owner_state.decision_log.to_text()
        );
        assert_invariants(account, &target, limits, owner_state);
        send(&waiting.entry, grant.into(), out);
    }
}

fn new_permit(
    now: Moment,
    ask: &Ask,
    grant: &Grant,
    entry_incarnation: u64,
    charged_tokens: f64,
) -> GrantedPermit {
    GrantedPermit {
        epoch: grant.epoch,
        incarnation: grant.incarnation,
        entry_incarnation,
        class: ask.class,
        workspace: Arc::clone(&ask.workspace),
        route: Arc::clone(&ask.route),
        prompt_tokens: ask.prompt,
        max_output: ask.max_output,
        produced: 0,
        updated_at: now,
        slots: grant.slots,
        seen: false,
        granted_at: now,
        expires_at: grant.stamp.saturating_add(grant.life),
        started_at: None,
        orphaned_at: None,
        revoked: false,
        slow_start_recorded: false,
        charged_tokens,
    }
}

/// Asserts what must hold right after a grant.
fn assert_invariants(
    account: &TargetAccount,
    target: &Target,
    limits: &TargetLimits,
    owner_state: &OwnerState,
) {
    assert!(
        !account.limiter.is_cold() || account.max_occupied_slots() <= limits.cold_limit,
        "cold target {} got {} of {} requests; last events:\n{}",
        target.id,
        account.max_occupied_slots(),
        limits.cold_limit,
        owner_state.decision_log.to_text()
    );
    assert!(
        account.accepts_work(&owner_state.view),
        "target {} got work while leaving, out of service or restarted; last events:\n{}",
        target.id,
        owner_state.decision_log.to_text()
    );
}
