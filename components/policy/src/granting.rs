//! Who gets which target next.

use std::{collections::BTreeSet, sync::Arc};

use types::{Class, Moment, Target, TargetId};
use wire::{Ask, Grant};

use crate::{
    account::TargetAccount,
    api::{Action, TargetLimits},
    memory::RunningGeneration,
    outbox::send,
    owner_state::{OwnerState, Peer},
    permit::{Permit, PermitKey},
    shard::{PERMIT_LIFE, ShardState},
    wait_queue::QueuePosition,
};

/// Asks that may go ahead of one that doesn't fit anywhere, before a target is kept free for it.
const BYPASS_LIMIT: u32 = 8;

/// A less urgent ask that goes ahead counts as this many: urgent work goes first, and small
/// background work would otherwise take up, piece by piece, the room that larger normal work
/// waits for.
const BYPASS_BY_LESS_URGENT: u32 = 4;

/// Tokens that a plain call counts as in the fairness between workspaces.
const CALL_TOKENS: f64 = 256.0;

impl ShardState {
    /// Grants permits as long as an ask fits somewhere.
    pub fn serve(&mut self, now: Moment, owner_state: &mut OwnerState, out: &mut Vec<Action>) {
        if self.line.is_empty() || !self.granting(now) {
            return;
        }
        let Some(limits) = owner_state.view.limits.get(&self.shard.service).cloned() else {
            return;
        };
        while self.serve_next(now, &limits, owner_state, out) {}
    }

    /// Grants the first ask that fits somewhere.
    fn serve_next(
        &mut self,
        now: Moment,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) -> bool {
        self.project(now, limits, owner_state);
        let mut kept: BTreeSet<TargetId> = BTreeSet::new();
        let mut passed: Vec<QueuePosition> = Vec::new();
        for place in self.line.order() {
            let Some(waiting) = self.line.get(place).cloned() else {
                continue;
            };
            let peer = owner_state.peers.get(&waiting.entry).copied();
            let Some(peer) = peer.filter(|peer| peer.is_heard(now)) else {
                continue;
            };
            let need = self.need(&waiting, limits, owner_state);
            if let Some(target) = self.choose(now, &need, &kept, limits, owner_state) {
                self.bypass(&passed, waiting.rank);
                self.grant(now, place, &target, peer, limits, owner_state, out);
                return true;
            }
            if waiting.bypassed >= BYPASS_LIMIT {
                kept.extend(self.keep_free(&waiting.ask, &kept, limits, owner_state));
            }
            passed.push(place);
        }
        false
    }

    /// Takes note that an ask of class `rank` goes ahead of others.
    fn bypass(&mut self, passed: &[QueuePosition], rank: Class) {
        for place in passed {
            let less_urgent = self.line.get(*place).is_some_and(|w| w.rank < rank);
            let times = if less_urgent {
                BYPASS_BY_LESS_URGENT
            } else {
                1
            };
            self.line.bypass(*place, times);
        }
    }

    fn project(&mut self, now: Moment, limits: &TargetLimits, owner_state: &mut OwnerState) {
        if !TargetAccount::is_model(limits) {
            return;
        }
        for account in self.accounts.values_mut() {
            account.projection(
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
        peer: Peer,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let granting = self.granting(now);
        assert!(
            granting,
            "granted on {} before everybody told what it holds; last events:\n{}",
            self.shard,
            owner_state.decision_log.tail()
        );
        let Some(waiting) = self.line.get(place).cloned() else {
            return;
        };
        let Some(target) = self.accounts.get(id).and_then(|a| a.listed.clone()) else {
            return;
        };
        let need = self.need(&waiting, limits, owner_state);
        let slots = self.slots_for(now, &waiting, &self.accounts[id], limits, owner_state);
        let calls = f64::from(slots) * CALL_TOKENS;
        let tokens = need
            .running
            .as_ref()
            .map_or(calls, RunningGeneration::expected_final);
        self.line.serve(place, tokens);
        self.pace
            .granted(now, waiting.rank, self.line.len_of(waiting.rank));
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
            reserved: if need.running.is_some() {
                tokens as u64
            } else {
                0
            },
            slots,
            stamp: peer.stamp,
            life: PERMIT_LIFE,
            cold: account.limiter.is_cold(),
        };
        owner_state.decision_log.note(
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
        let permit = granted(now, &waiting.ask, &grant, peer.incarnation, tokens);
        let earlier = account.insert(key, permit);
        account.prefixes.used(&waiting.ask.prefix);
        assert!(
            earlier.is_none(),
            "permit {} was granted twice; last events:\n{}",
            grant.permit,
            owner_state.decision_log.tail()
        );
        check(account, &target, limits, owner_state);
        send(&waiting.entry, grant.into(), out);
    }
}

fn granted(now: Moment, ask: &Ask, grant: &Grant, entry_incarnation: u64, charged: f64) -> Permit {
    Permit {
        epoch: grant.epoch,
        incarnation: grant.incarnation,
        entry_incarnation,
        class: ask.class,
        workspace: Arc::clone(&ask.workspace),
        route: Arc::clone(&ask.route),
        prompt: ask.prompt,
        max_output: ask.max_output,
        produced: 0,
        heard: now,
        slots: grant.slots,
        seen: false,
        since: now,
        lapses: grant.stamp.saturating_add(grant.life),
        started: None,
        orphaned: None,
        recalled: false,
        late: false,
        charged,
    }
}

/// What must hold right after a grant.
fn check(
    account: &TargetAccount,
    target: &Target,
    limits: &TargetLimits,
    owner_state: &OwnerState,
) {
    assert!(
        !account.limiter.is_cold() || account.bearing() <= limits.cold_limit,
        "cold target {} got {} of {} requests; last events:\n{}",
        target.id,
        account.bearing(),
        limits.cold_limit,
        owner_state.decision_log.tail()
    );
    assert!(
        account.is_open(&owner_state.view),
        "target {} got work while leaving, out of service or restarted; last events:\n{}",
        target.id,
        owner_state.decision_log.tail()
    );
}
