//! Admission to a shard's queue: which permit requests may wait, and which are denied.

use std::time::Duration;

use types::{Class, InstanceId, Moment};
use wire::{PermitRequest, Withdraw};

use crate::{
    api::Action, outbox::deny, owner_state::OwnerState, shard::ShardState,
    wait_queue::QueuedRequest,
};

/// Interval between two checks for requests that can't be served before their deadline.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Factor on the estimated interval between grants when requests are denied ahead of their
/// deadline. Below 1, so that a request that would just be served isn't denied because of a wrong
/// estimate.
const GRANT_INTERVAL_FACTOR: f64 = 0.7;

impl ShardState {
    /// Queues a permit request, or denies it at once if it could not be served in time.
    pub fn enqueue(
        &mut self,
        now: Moment,
        from: &InstanceId,
        request: &PermitRequest,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        if request.class == Class::Urgent {
            self.last_urgent_at = Some(now);
        }
        if self.has_no_target(owner_state) {
            deny(from, &self.shard, request.permit_request, None, out);
            return;
        }
        self.queue.remove(from, request.permit_request);
        let ahead = self.queue.len_of(request.class);
        let wait = self
            .grant_rate
            .expected_wait(now, request.class, ahead)
            .unwrap_or_default();
        if wait > request.deadline_left || !self.make_room(now, request.class, owner_state, out) {
            let after = owner_state.with_jitter(wait);
            deny(from, &self.shard, request.permit_request, Some(after), out);
            return;
        }
        self.grant_rate.record_waiting(now, request.class);
        self.queue.push(QueuedRequest::new(from, request, now));
    }

    /// Makes room in the queue for one more request of a class, if necessary by denying a less
    /// urgent one. Returns whether there is room.
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
        let Some(evicted) = self.queue.evict_less_urgent(class) else {
            return false;
        };
        self.deny_queued(now, &evicted, owner_state, out);
        true
    }

    /// Denies a request that was queued, with a retry delay.
    fn deny_queued(
        &self,
        now: Moment,
        queued: &QueuedRequest,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let ahead = self.queue.len_of(queued.effective_class);
        let wait = self
            .grant_rate
            .expected_wait(now, queued.effective_class, ahead)
            .unwrap_or_default();
        let after = owner_state.with_jitter(wait);
        deny(
            &queued.entry,
            &self.shard,
            queued.request.permit_request,
            Some(after),
            out,
        );
    }

    /// Returns whether no target of the shard accepts work, so that requests have to go
    /// elsewhere.
    fn has_no_target(&self, owner_state: &OwnerState) -> bool {
        !self
            .accounts
            .values()
            .any(|account| account.is_in_service(&owner_state.view))
    }

    /// Denies all queued requests without a retry delay, if no target is left to wait for. Their
    /// entries then try another shard.
    pub fn deny_all_if_no_target(&mut self, owner_state: &OwnerState, out: &mut Vec<Action>) {
        if !self.queue.is_empty() && self.has_no_target(owner_state) {
            self.deny_all(out);
        }
    }

    /// Denies all queued requests without a retry delay, so that their entries try another shard or
    /// owner.
    pub fn deny_all(&mut self, out: &mut Vec<Action>) {
        for queued in self.queue.drain_if(|_| true) {
            deny(
                &queued.entry,
                &self.shard,
                queued.request.permit_request,
                None,
                out,
            );
        }
    }

    /// Removes a request that its entry has withdrawn.
    pub fn withdraw(&mut self, from: &InstanceId, withdraw: &Withdraw) {
        self.queue.remove(from, withdraw.permit_request);
    }

    /// Denies requests as soon as it is clear that they can't be served before their deadline. A
    /// caller refused only at its deadline would have waited for nothing and could not try
    /// elsewhere.
    pub(crate) fn deny_unservable(
        &mut self,
        now: Moment,
        owner_state: &mut OwnerState,
        out: &mut Vec<Action>,
    ) {
        let mut unservable = self.queue.drain_if(|queued| queued.deadline <= now);
        if now.saturating_sub(self.deadlines_checked_at) >= DEADLINE_CHECK_INTERVAL {
            self.deadlines_checked_at = now;
            for class in Class::ALL {
                let interval = self.grant_rate.interval(now, class).unwrap_or_default();
                let interval = interval.mul_f64(GRANT_INTERVAL_FACTOR);
                unservable.extend(self.queue.drain_unservable(now, class, interval));
            }
        }
        for queued in unservable {
            self.deny_queued(now, &queued, owner_state, out);
        }
    }
}
