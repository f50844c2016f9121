//! Refusal of requests that can't be served in time.

use types::Moment;

use crate::{
    api::{Action, RequestId},
    entry::{
        machine::Entry,
        pending::{NO_OWNER_TIMEOUT, NO_TARGET_TIMEOUT, PendingRequest, Stage},
        refusals,
    },
};

impl Entry {
    /// Refuses requests whose deadline has passed, or for which no owner or target has been found
    /// for too long.
    pub(super) fn refuse_expired(&mut self, now: Moment, out: &mut Vec<Action>) {
        let overdue = |p: &&PendingRequest| match p.stage {
            Stage::Placed(_) => false,
            Stage::Asked(_) => p.request.deadline <= now,
            Stage::Waiting => p.request.deadline <= now || self.has_waited_too_long(now, p),
        };
        let overdue: Vec<RequestId> = self
            .requests
            .values()
            .filter(overdue)
            .map(|p| p.request.id)
            .collect();
        for id in overdue {
            let pending = &self.requests[&id];
            let expired = pending.request.deadline <= now;
            let stage = pending.stage.clone();
            let service = pending.request.service.clone();
            if let Stage::Asked(permit_request) = stage {
                self.withdraw(permit_request, out);
            }
            let refusal = if expired {
                refusals::too_late(self.shards.retry_after(&service))
            } else if self.shards.has_targets(&service) {
                refusals::no_owner()
            } else {
                refusals::no_target()
            };
            self.refuse_request(id, refusal, out);
        }
    }

    /// Returns whether a request has waited too long for an owner or a target. The target listing
    /// lags and ownership changes, so that a short absence of either is tolerated.
    fn has_waited_too_long(&self, now: Moment, pending: &PendingRequest) -> bool {
        let has_targets = self.shards.has_targets(&pending.request.service);
        let limit = if has_targets {
            NO_OWNER_TIMEOUT
        } else {
            NO_TARGET_TIMEOUT
        };
        now.saturating_sub(pending.arrived_at) >= limit
    }
}
