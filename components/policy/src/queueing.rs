//! Asks that wait for a shard: who may wait, and who is told that it can't be served.

use std::time::Duration;

use types::{Class, InstanceId, Moment};
use wire::{Ask, Withdraw};

use crate::{
    api::Action, outbox::deny, owner_state::OwnerState, shard::ShardState,
    wait_queue::QueuedRequest,
};

/// Time between two looks for asks that can't be served in time.
const JUDGE_EVERY: Duration = Duration::from_millis(250);
/// Part of the expected wait that an ask's patience must last for, so that one that would just
/// be served isn't refused for a wrong guess.
const HOPE: f64 = 0.7;

impl ShardState {
    /// Takes an ask: it waits its turn or is refused at once.
    pub fn asked(
        &mut self,
        now: Moment,
        from: &InstanceId,
        ask: &Ask,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        if ask.class == Class::Urgent {
            self.urgent = Some(now);
        }
        if self.refuses_all(owner_state) {
            deny(from, &self.shard, ask.ask, None, out);
            return;
        }
        self.line.remove(from, ask.ask);
        let ahead = self.line.len_of(ask.class);
        let wait = self.pace.wait(now, ask.class, ahead).unwrap_or_default();
        if wait > ask.within || !self.make_place(now, ask.class, owner_state, out) {
            let after = owner_state.jittered(wait);
            deny(from, &self.shard, ask.ask, Some(after), out);
            return;
        }
        self.pace.waits(now, ask.class);
        self.line.push(QueuedRequest::new(from, ask, now));
    }

    /// Makes sure that one more ask of a class may wait; a less urgent one gives way.
    fn make_place(
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
        if self.line.len() < limit {
            return true;
        }
        let Some(displaced) = self.line.displace(class) else {
            return false;
        };
        self.refuse(now, &displaced, owner_state, out);
        true
    }

    /// Refuses an ask that waited, with the time to come back.
    fn refuse(
        &self,
        now: Moment,
        waiting: &QueuedRequest,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let ahead = self.line.len_of(waiting.rank);
        let wait = self.pace.wait(now, waiting.rank, ahead).unwrap_or_default();
        let after = owner_state.jittered(wait);
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
    fn refuses_all(&self, owner_state: &OwnerState) -> bool {
        !self
            .accounts
            .values()
            .any(|account| account.is_staying(&owner_state.view))
    }

    /// Sends all waiting asks elsewhere if no target is left to wait for.
    pub fn send_on(&mut self, owner_state: &OwnerState, out: &mut Vec<Action>) {
        if !self.line.is_empty() && self.refuses_all(owner_state) {
            self.deny_all(out);
        }
    }

    /// Sends all waiting asks elsewhere.
    pub fn deny_all(&mut self, out: &mut Vec<Action>) {
        for waiting in self.line.drain_if(|_| true) {
            deny(&waiting.entry, &self.shard, waiting.ask.ask, None, out);
        }
    }

    /// Takes an ask back.
    pub fn withdrawn(&mut self, from: &InstanceId, withdraw: &Withdraw) {
        self.line.remove(from, withdraw.ask);
    }

    /// Refuses what can't be served in time any more, as soon as that is clear: whoever is told
    /// only at the end of its patience has waited for nothing and can't go elsewhere.
    pub(crate) fn give_up(
        &mut self,
        now: Moment,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let mut hopeless = self.line.drain_if(|waiting| waiting.deadline <= now);
        if now.saturating_sub(self.judged) >= JUDGE_EVERY {
            self.judged = now;
            for class in Class::ALL {
                let between = self.pace.between(now, class).unwrap_or_default();
                let between = between.mul_f64(HOPE);
                hopeless.extend(self.line.drain_hopeless(now, class, between));
            }
        }
        for waiting in hopeless {
            self.refuse(now, &waiting, owner_state, out);
        }
    }
}
