//! Grants permits to queued requests, in order of service.
//!
//! Invariants, asserted after each grant: a cold target never has more requests than its cold
//! limit, and no target that is leaving, out of service or restarted gets work.

use std::{collections::BTreeSet, sync::Arc};

use types::{Class, Moment, Target, TargetId};
use wire::{Grant, PermitRequest};

use crate::{
    account::TargetAccount,
    api::{Action, TargetLimits},
    memory::RunningGeneration,
    outbox::send,
    owner_state::{EntryContact, OwnerState},
    permit::{GrantedPermit, PermitKey},
    shard::{PERMIT_LIFETIME, ShardState},
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
        let mut reserved_targets: BTreeSet<TargetId> = BTreeSet::new();
        let mut overtaken: Vec<QueuePosition> = Vec::new();
        for position in self.queue.service_order() {
            let Some(queued) = self.queue.get(position).cloned() else {
                continue;
            };
            let contact = owner_state.entries.get(&queued.entry).copied();
            let Some(contact) = contact.filter(|contact| contact.is_recent(now)) else {
                continue;
            };
            let demand = self.demand(&queued, limits, owner_state);
            if let Some(target) = self.choose(now, &demand, &reserved_targets, limits, owner_state)
            {
                self.record_bypassed(&overtaken, queued.effective_class);
                self.grant(now, position, &target, contact, limits, owner_state, out);
                return true;
            }
            if queued.bypassed >= BYPASS_LIMIT {
                reserved_targets.extend(self.reserve_target(
                    &queued.request,
                    &reserved_targets,
                    limits,
                    owner_state,
                ));
            }
            overtaken.push(position);
        }
        false
    }

    /// Records that a request of class `class` overtakes the ones in `overtaken`.
    fn record_bypassed(&mut self, overtaken: &[QueuePosition], class: Class) {
        for position in overtaken {
            let less_urgent = self
                .queue
                .get(*position)
                .is_some_and(|w| w.effective_class < class);
            let times = if less_urgent {
                LESS_URGENT_BYPASS_WEIGHT
            } else {
                1
            };
            self.queue.record_bypass(*position, times);
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

    #[allow(clippy::too_many_arguments)] // the parts of one decision
    fn grant(
        &mut self,
        now: Moment,
        position: QueuePosition,
        id: &TargetId,
        contact: EntryContact,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let can_grant = self.can_grant(now);
        assert!(
            can_grant,
            "granted a permit on {} before all entries reported their permits; last events:\n{}",
            self.shard,
            owner_state.decision_log.to_text()
        );
        let Some(queued) = self.queue.get(position).cloned() else {
            return;
        };
        let Some(target) = self.accounts.get(id).and_then(|a| a.listed.clone()) else {
            return;
        };
        let demand = self.demand(&queued, limits, owner_state);
        let slots = self.slots_for(now, &queued, &self.accounts[id], limits, owner_state);
        let calls = f64::from(slots) * TOKENS_PER_PLAIN_CALL;
        let tokens = demand
            .generation
            .as_ref()
            .map_or(calls, RunningGeneration::expected_final_tokens);
        self.queue.dequeue_and_charge(position, tokens);
        self.grant_rate.record_grant(
            now,
            queued.effective_class,
            self.queue.len_of(queued.effective_class),
        );
        let Some(account) = self.accounts.get_mut(id) else {
            return;
        };
        let grant = Grant {
            shard: self.shard.clone(),
            epoch: self.epoch,
            permit_request: queued.request.permit_request,
            permit: owner_state.next_permit(),
            target: target.id.clone(),
            incarnation: target.incarnation,
            reserved: if demand.generation.is_some() {
                tokens as u64
            } else {
                0
            },
            slots,
            stamp: contact.stamp,
            lifetime: PERMIT_LIFETIME,
            cold: account.limiter.is_cold(),
        };
        owner_state.decision_log.record(
            now,
            format!(
                "permit {} for request {} of {} on {id}, {slots} slots, cold {}",
                grant.permit, grant.permit_request, queued.entry, grant.cold
            ),
        );
        let key = PermitKey {
            entry: queued.entry.clone(),
            permit: grant.permit,
        };
        let permit = new_permit(now, &queued.request, &grant, contact.incarnation, tokens);
        let previous = account.insert(key, permit);
        account.prefixes.record(&queued.request.prefix);
        assert!(
            previous.is_none(),
            "permit {} was granted twice; last events:\n{}",
            grant.permit,
            owner_state.decision_log.to_text()
        );
        assert_invariants(account, &target, limits, owner_state);
        send(&queued.entry, grant.into(), out);
    }
}

fn new_permit(
    now: Moment,
    request: &PermitRequest,
    grant: &Grant,
    entry_incarnation: u64,
    charged_tokens: f64,
) -> GrantedPermit {
    GrantedPermit {
        epoch: grant.epoch,
        incarnation: grant.incarnation,
        entry_incarnation,
        class: request.class,
        workspace: Arc::clone(&request.workspace),
        route: Arc::clone(&request.route),
        prompt_tokens: request.prompt_tokens,
        max_output: request.max_output,
        produced: 0,
        updated_at: now,
        progressed_at: None,
        was_silent: false,
        slots: grant.slots,
        answer_started: false,
        granted_at: now,
        expires_at: grant.stamp.saturating_add(grant.lifetime),
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
        "cold target {} has {} concurrent requests, its limit is {}; last events:\n{}",
        target.id,
        account.max_occupied_slots(),
        limits.cold_limit,
        owner_state.decision_log.to_text()
    );
    assert!(
        account.accepts_work(&owner_state.view),
        "target {} was given work while leaving, out of service or restarted; last events:\n{}",
        target.id,
        owner_state.decision_log.to_text()
    );
}
