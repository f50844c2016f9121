//! Who gets which target next.

use std::{collections::BTreeSet, sync::Arc};

use types::{Class, InstanceId, Moment, ServiceKind, Target, TargetId};
use wire::{Ask, Grant};

use crate::{
    account::{Account, Permit, PermitKey},
    api::{Action, TargetLimits},
    length::Source,
    line::{Place, Waiting},
    memory::Running,
    outbox::send,
    shard::{PERMIT_LIFE, ShardState},
    shared::{Peer, Shared},
};

/// Share of a target's capacity that full reuse of a cached prefix is worth. This is also the
/// cap on affinity: a target gets work for its cache only while its load is less than this above
/// the least loaded one's, so that one hot prefix can't overload it.
const REUSE_WORTH: f64 = 0.15;
/// Asks that may go ahead of one that doesn't fit anywhere, before a target is kept free for it.
const BYPASS_LIMIT: u32 = 8;

/// Tokens that a plain call counts as in the fairness between workspaces.
const CALL_TOKENS: f64 = 256.0;

/// What an ask needs.
#[derive(Debug)]
struct Need<'a> {
    ask: &'a Ask,
    class: Class,
    /// What it will occupy; `None` for plain calls.
    running: Option<Running>,
}

/// A target that fits and how well; smaller is better.
struct Choice {
    target: TargetId,
    score: f64,
}

impl ShardState {
    /// Grants permits as long as an ask fits somewhere.
    pub fn serve(&mut self, now: Moment, shared: &mut Shared, out: &mut Vec<Action>) {
        if self.line.is_empty() || !self.granting(now) {
            return;
        }
        let Some(limits) = shared.view.limits.get(&self.shard.service).cloned() else {
            return;
        };
        while self.serve_next(now, &limits, shared, out) {}
    }

    /// Grants the first ask that fits somewhere.
    fn serve_next(
        &mut self,
        now: Moment,
        limits: &TargetLimits,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) -> bool {
        self.project(now, limits, shared);
        let mut kept: BTreeSet<TargetId> = BTreeSet::new();
        let mut passed: Vec<Place> = Vec::new();
        for place in self.line.order() {
            let Some(waiting) = self.line.get(place).cloned() else {
                continue;
            };
            let peer = shared.peers.get(&waiting.entry).copied();
            let Some(peer) = peer.filter(|peer| peer.is_heard(now)) else {
                continue;
            };
            let need = self.need(&waiting, limits, shared);
            if let Some(target) = self.choose(now, &need, &kept, limits, shared) {
                passed.into_iter().for_each(|place| self.line.bypass(place));
                self.grant(now, place, &target, peer, limits, shared, out);
                return true;
            }
            if waiting.bypassed >= BYPASS_LIMIT {
                kept.extend(self.keep_free(&waiting.ask, &kept, limits, shared));
            }
            passed.push(place);
        }
        false
    }

    fn project(&mut self, now: Moment, limits: &TargetLimits, shared: &mut Shared) {
        if !Account::is_model(limits) {
            return;
        }
        for account in self.accounts.values_mut() {
            account.projection(
                now,
                &self.shard.service,
                &mut shared.lengths,
                &shared.tuning,
            );
        }
    }

    fn need<'a>(
        &self,
        waiting: &'a Waiting,
        limits: &TargetLimits,
        shared: &mut Shared,
    ) -> Need<'a> {
        let source = Source {
            service: &self.shard.service,
            route: &waiting.ask.route,
            workspace: &waiting.ask.workspace,
        };
        let running = (limits.kind == ServiceKind::Model).then(|| Running {
            prompt: waiting.ask.prompt,
            produced: 0,
            max_output: waiting.ask.max_output,
            curve: shared.lengths.curve(&source),
        });
        Need {
            ask: &waiting.ask,
            class: waiting.rank,
            running,
        }
    }

    /// The best target with room.
    fn choose(
        &self,
        now: Moment,
        need: &Need<'_>,
        kept: &BTreeSet<TargetId>,
        limits: &TargetLimits,
        shared: &Shared,
    ) -> Option<TargetId> {
        self.accounts
            .iter()
            .filter(|(id, account)| {
                !kept.contains(*id)
                    && !need.ask.avoid.contains(id)
                    && account.is_open(&shared.view)
                    && self.room(now, account, need.class, limits) > 0
            })
            .filter_map(|(id, account)| {
                let load = load_with(now, account, need, limits, shared)?;
                let reuse = account.prefixes.reuse(&need.ask.prefix);
                Some(Choice {
                    target: id.clone(),
                    score: load - REUSE_WORTH * reuse,
                })
            })
            .min_by(|a, b| a.score.total_cmp(&b.score))
            .map(|choice| choice.target)
    }

    /// Slots of a target that a class may take.
    fn room(&self, now: Moment, account: &Account, class: Class, limits: &TargetLimits) -> u32 {
        let slots = account.limiter.slots(limits);
        if account.limiter.is_cold() {
            if !self.cold_ready(now, account) {
                return 0;
            }
            return slots.saturating_sub(account.bearing());
        }
        let reserve = match class {
            Class::Urgent => 0,
            _ => self.urgent_reserve(now, slots),
        };
        slots.saturating_sub(account.occupied() + reserve)
    }

    /// A target to be kept free for an ask that others have gone ahead of: the least loaded.
    /// At most a quarter of the targets are kept free at a time.
    fn keep_free(
        &self,
        ask: &Ask,
        kept: &BTreeSet<TargetId>,
        limits: &TargetLimits,
        shared: &Shared,
    ) -> Option<TargetId> {
        let open: Vec<(&TargetId, &Account)> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.is_open(&shared.view))
            .collect();
        if kept.len() >= (open.len() / 4).max(1) {
            return None;
        }
        open.into_iter()
            .filter(|(id, _)| !kept.contains(*id) && !ask.avoid.contains(id))
            .min_by(|(_, a), (_, b)| {
                let load = |account: &Account| {
                    account.last_projection().peak(&shared.tuning)
                        / account.capacity(limits).max(1) as f64
                };
                load(a)
                    .total_cmp(&load(b))
                    .then(a.occupied().cmp(&b.occupied()))
            })
            .map(|(id, _)| id.clone())
    }

    /// How many slots an ask gets: what it wants, within its entry's fair share of the shard.
    fn slots_for(
        &self,
        now: Moment,
        waiting: &Waiting,
        account: &Account,
        limits: &TargetLimits,
        shared: &Shared,
    ) -> u32 {
        let room = self.room(now, account, waiting.rank, limits).max(1);
        if waiting.ask.slots <= 1 {
            return 1;
        }
        let total: u32 = self
            .accounts
            .values()
            .filter(|account| account.is_open(&shared.view))
            .map(|account| account.limiter.slots(limits))
            .sum();
        let mut entries: BTreeSet<InstanceId> = self.line.entries();
        let mut held = 0;
        for account in self.accounts.values() {
            for (key, permit) in &account.permits {
                entries.insert(key.entry.clone());
                if key.entry == waiting.entry {
                    held += permit.slots;
                }
            }
        }
        let share = total / u32::try_from(entries.len().max(1)).unwrap_or(u32::MAX);
        let fair = share.saturating_sub(held).max(1);
        waiting.ask.slots.min(fair).min(room)
    }

    #[allow(clippy::too_many_arguments)] // one decision's parts
    fn grant(
        &mut self,
        now: Moment,
        place: Place,
        id: &TargetId,
        peer: Peer,
        limits: &TargetLimits,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        let granting = self.granting(now);
        assert!(
            granting,
            "granted on {} before everybody told what it holds; last events:\n{}",
            self.shard,
            shared.journal.tail()
        );
        let Some(waiting) = self.line.get(place).cloned() else {
            return;
        };
        let Some(target) = self.accounts.get(id).and_then(|a| a.listed.clone()) else {
            return;
        };
        let need = self.need(&waiting, limits, shared);
        let slots = self.slots_for(now, &waiting, &self.accounts[id], limits, shared);
        let calls = f64::from(slots) * CALL_TOKENS;
        let tokens = need.running.as_ref().map_or(calls, Running::expected_final);
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
            permit: shared.next_permit(),
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
        shared.journal.note(
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
            shared.journal.tail()
        );
        check(account, &target, limits, shared);
        send(&waiting.entry, grant.into(), out);
    }
}

/// Share of a target's capacity that would be in use with one more; `None` if it doesn't fit.
fn load_with(
    now: Moment,
    account: &Account,
    need: &Need<'_>,
    limits: &TargetLimits,
    shared: &Shared,
) -> Option<f64> {
    let occupied = account.occupied();
    let slots = account.limiter.slots(limits);
    let by_slots = f64::from(occupied + 1) / f64::from(slots.max(1));
    let Some(running) = &need.running else {
        return Some(by_slots);
    };
    let capacity = account.capacity(limits).max(1);
    let mut projection = account.last_projection().clone();
    projection.add(running, shared.tuning.admission);
    let load = projection.peak(&shared.tuning) / capacity as f64;
    if occupied == 0 {
        // Nothing is gained by waiting for more room than an idle engine has.
        return (running.prompt < capacity).then_some(load);
    }
    let fits = load <= shared.tuning.share && !account.is_stopped(now, &shared.tuning);
    fits.then_some(load)
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
        lapses: grant.stamp + grant.life,
        started: None,
        orphaned: None,
        recalled: false,
        late: false,
        charged,
    }
}

/// What must hold right after a grant.
fn check(account: &Account, target: &Target, limits: &TargetLimits, shared: &Shared) {
    assert!(
        !account.limiter.is_cold() || account.bearing() <= limits.cold_limit,
        "cold target {} got {} of {} requests; last events:\n{}",
        target.id,
        account.bearing(),
        limits.cold_limit,
        shared.journal.tail()
    );
    assert!(
        account.is_open(&shared.view),
        "target {} got work while leaving, out of service or restarted; last events:\n{}",
        target.id,
        shared.journal.tail()
    );
}
