//! Asks that wait for a shard: who may wait, and who is told that it can't be served.

use std::time::Duration;

use types::{Class, InstanceId, Moment};
use wire::{Ask, Withdraw};

use crate::{
    api::Action, outbox::deny, owner_state::OwnerState, shard::ShardState,
    wait_queue::QueuedRequest,
};

/// Time between two looks for asks that can't be served in time.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the expected wait that an ask's patience must last for, so that one that would just
/// be served isn't refused for a wrong guess.
const MIN_WAIT_SHARE: f64 = 0.7;

impl ShardState {
    /// Takes an ask: it waits its turn or is refused at once.
    pub fn enqueue(
        &mut self,
        now: Moment,
        from: &InstanceId,
        ask: &Ask,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        if ask.class == Class::Urgent {
            self.last_urgent_at = Some(now);
        }
        if self.has_no_target(owner_state) {
            deny(from, &self.shard, ask.ask, None, out);
            return;
        }
        self.queue.remove(from, ask.ask);
        let ahead = self.queue.len_of(ask.class);
        let wait = self
            .grant_rate
            .expected_wait(now, ask.class, ahead)
            .unwrap_or_default();
        if wait > ask.within || !self.make_room(now, ask.class, owner_state, out) {
            let after = owner_state.with_jitter(wait);
            deny(from, &self.shard, ask.ask, Some(after), out);
            return;
        }
        self.grant_rate.record_waiting(now, ask.class);
        self.queue.push(QueuedRequest::new(from, ask, now));
    }

    /// Makes sure that one more ask of a class may wait; a less urgent one gives way.
    fn make_room(
        &mut self,
        now: Moment,
        class: Class,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) -> bool {
        let limit = owner_state
            .view
            .limits
            .get(&self.shard.service)
            .map_or(0, |limits| limits.queue_limit as usize);
        if self.queue.len() < limit {
            return true;
        }
        let Some(displaced) = self.queue.evict_less_urgent(class) else {
            return false;
        };
        self.deny_queued(now, &displaced, owner_state, out);
        true
    }

    /// Refuses an ask that waited, with the time to come back.
    fn deny_queued(
        &self,
        now: Moment,
        waiting: &QueuedRequest,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let ahead = self.queue.len_of(waiting.effective_class);
        let wait = self
            .grant_rate
            .expected_wait(now, waiting.effective_class, ahead)
            .unwrap_or_default();
        let after = owner_state.with_jitter(wait);
        deny(
            &waiting.entry,
            &self.shard,
            waiting.ask.ask,
            Some(after),
            out,
        );
    }

    /// Tells whether none of the shard's targets will take work, so that asks have to go
    /// elsewhere.
    fn has_no_target(&self, owner_state: &OwnerState) -> bool {
        !self
            .accounts
            .values()
            .any(|account| account.is_in_service(&owner_state.view))
    }

    /// Sends all waiting asks elsewhere if no target is left to wait for.
    pub fn deny_all_if_no_target(&mut self, owner_state: &OwnerState, out: &mut Vec<Action>) {
        if !self.queue.is_empty() && self.has_no_target(owner_state) {
            self.deny_all(out);
        }
    }

    /// Sends all waiting asks elsewhere.
    pub fn deny_all(&mut self, out: &mut Vec<Action>) {
        for waiting in self.queue.drain_if(|_| true) {
            deny(&waiting.entry, &self.shard, waiting.ask.ask, None, out);
        }
    }

    /// Takes an ask back.
    pub fn withdraw(&mut self, from: &InstanceId, withdraw: &Withdraw) {
        self.queue.remove(from, withdraw.ask);
    }

    /// Refuses what can't be served in time any more, as soon as that is clear: whoever is told
    /// only at the end of its patience has waited for nothing and can't go elsewhere.
    pub(crate) fn deny_unservable(
        &mut self,
        now: Moment,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let mut hopeless = self.queue.drain_if(|waiting| waiting.deadline <= now);
        if now.saturating_sub(self.deadlines_checked_at) >= DEADLINE_CHECK_INTERVAL {
            self.deadlines_checked_at = now;
            for class in Class::ALL {
                let between = self.grant_rate.interval(now, class).unwrap_or_default();
                let between = between.mul_f64(MIN_WAIT_SHARE);
                hopeless.extend(self.queue.drain_unservable(now, class, between));
            }
        }
        for waiting in hopeless {
            self.deny_queued(now, &waiting, owner_state, out);
        }
    }
}
