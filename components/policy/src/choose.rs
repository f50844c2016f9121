//! Selects the target for a permit request.

use std::collections::BTreeSet;

use types::{Class, InstanceId, Moment, ServiceKind, TargetId};
use wire::PermitRequest;

use crate::{
    account::TargetAccount, api::TargetLimits, length::GenerationSource, memory::RunningGeneration,
    owner_state::OwnerState, shard::ShardState, wait_queue::QueuedRequest,
};

/// Bonus in the score, as a share of the target's capacity, if a prompt's whole prefix is cached.
/// It also limits affinity: a target gets work for its cache only while its load is less than this
/// above that of the least loaded target, so that one popular prefix can't overload it.
const MAX_CACHE_BONUS: f64 = 0.15;

/// What a permit request requires of a target.
#[derive(Debug)]
pub(crate) struct Demand<'a> {
    pub(crate) request: &'a PermitRequest,
    pub(crate) class: Class,
    /// The generation to be placed; `None` for plain calls.
    pub(crate) generation: Option<RunningGeneration>,
}

/// A target with room for the request. The lowest score is chosen.
struct Candidate {
    target: TargetId,
    score: f64,
}

impl ShardState {
    pub(crate) fn demand<'a>(
        &self,
        queued: &'a QueuedRequest,
        limits: &TargetLimits,
        owner_state: &mut OwnerState,
    ) -> Demand<'a> {
        let source = GenerationSource {
            service: &self.shard.service,
            route: &queued.request.route,
            workspace: &queued.request.workspace,
        };
        let generation = (limits.kind == ServiceKind::Model).then(|| RunningGeneration {
            prompt_tokens: queued.request.prompt_tokens,
            produced: 0,
            max_output: queued.request.max_output,
            curve: owner_state.lengths.curve(&source),
        });
        Demand {
            request: &queued.request,
            class: queued.effective_class,
            generation,
        }
    }

    /// Returns the best target with room for the request. Targets in `reserved` are left out.
    pub(crate) fn choose(
        &self,
        now: Moment,
        demand: &Demand<'_>,
        reserved: &BTreeSet<TargetId>,
        limits: &TargetLimits,
        owner_state: &OwnerState,
    ) -> Option<TargetId> {
        self.accounts
            .iter()
            .filter(|(id, account)| {
                !reserved.contains(*id)
                    && !demand.request.avoid.contains(id)
                    && account.accepts_work(&owner_state.view)
                    && self.free_slots(now, account, demand.class, limits) > 0
            })
            .filter_map(|(id, account)| {
                let load = load_with(now, account, demand, limits, owner_state)?;
                let cached_share = account.prefixes.cached_share(&demand.request.prefix);
                Some(Candidate {
                    target: id.clone(),
                    score: load - MAX_CACHE_BONUS * cached_share,
                })
            })
            .min_by(|a, b| a.score.total_cmp(&b.score))
            .map(|choice| choice.target)
    }

    /// Number of slots of a target that a class may still take.
    fn free_slots(
        &self,
        now: Moment,
        account: &TargetAccount,
        class: Class,
        limits: &TargetLimits,
    ) -> u32 {
        let slots = account.limiter.slots(limits);
        if account.limiter.is_cold() {
            if !self.can_grant_cold(now, account) {
                return 0;
            }
            return slots.saturating_sub(account.max_occupied_slots());
        }
        let reserve = match class {
            Class::Urgent => 0,
            _ => self.urgent_reserve(now, slots),
        };
        slots.saturating_sub(account.occupied_slots() + reserve)
    }

    /// Returns a target to be kept free for a request that others have overtaken: the least loaded
    /// one. At most a quarter of the targets, but at least one, is reserved at a time.
    pub(crate) fn reserve_target(
        &self,
        request: &PermitRequest,
        reserved: &BTreeSet<TargetId>,
        limits: &TargetLimits,
        owner_state: &OwnerState,
    ) -> Option<TargetId> {
        let candidates: Vec<(&TargetId, &TargetAccount)> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.accepts_work(&owner_state.view))
            .collect();
        if reserved.len() >= (candidates.len() / 4).max(1) {
            return None;
        }
        candidates
            .into_iter()
            .filter(|(id, _)| !reserved.contains(*id) && !request.avoid.contains(id))
            .min_by(|(_, a), (_, b)| {
                let load = |account: &TargetAccount| {
                    account.last_projection().peak(&owner_state.tuning)
                        / account.capacity(limits).max(1) as f64
                };
                load(a)
                    .total_cmp(&load(b))
                    .then(a.occupied_slots().cmp(&b.occupied_slots()))
            })
            .map(|(id, _)| id.clone())
    }

    /// Number of slots that a permit covers: those requested, up to the entry's fair share of the
    /// shard and the free slots of the target.
    pub(crate) fn slots_for(
        &self,
        now: Moment,
        queued: &QueuedRequest,
        account: &TargetAccount,
        limits: &TargetLimits,
        owner_state: &OwnerState,
    ) -> u32 {
        let free = self
            .free_slots(now, account, queued.effective_class, limits)
            .max(1);
        if queued.request.slots <= 1 {
            return 1;
        }
        let total: u32 = self
            .accounts
            .values()
            .filter(|account| account.accepts_work(&owner_state.view))
            .map(|account| account.limiter.slots(limits))
            .sum();
        let mut entries: BTreeSet<InstanceId> = self.queue.entries();
        let mut held = 0;
        for account in self.accounts.values() {
            for (key, permit) in &account.permits {
                entries.insert(key.entry.clone());
                if key.entry == queued.entry {
                    held += permit.slots;
                }
            }
        }
        let share = total / u32::try_from(entries.len().max(1)).unwrap_or(u32::MAX);
        let fair = share.saturating_sub(held).max(1);
        queued.request.slots.min(fair).min(free)
    }
}

/// Returns the share of a target's capacity in use if the request were placed there; `None` if it
/// does not fit.
fn load_with(
    now: Moment,
    account: &TargetAccount,
    demand: &Demand<'_>,
    limits: &TargetLimits,
    owner_state: &OwnerState,
) -> Option<f64> {
    let occupied = account.occupied_slots();
    let slots = account.limiter.slots(limits);
    let by_slots = f64::from(occupied + 1) / f64::from(slots.max(1));
    let Some(generation) = &demand.generation else {
        return Some(by_slots);
    };
    let capacity = account.capacity(limits).max(1);
    let mut projection = account.last_projection().clone();
    projection.add(generation, owner_state.tuning.memory_estimate);
    let load = projection.peak(&owner_state.tuning) / capacity as f64;
    if occupied == 0 {
        // An idle engine is as empty as it can get, so waiting for more room would be pointless.
        return (generation.prompt_tokens < capacity).then_some(load);
    }
    let fits = load <= owner_state.tuning.admit_share
        && !account.is_admission_paused(now, &owner_state.tuning);
    fits.then_some(load)
}
