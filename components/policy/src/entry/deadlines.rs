//! Refusing what can't be served in time.

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
    /// What can't be served in time is told so at once, with the time to come back.
    pub(super) fn refuse_expired(&mut self, now: Moment, out: &mut Vec<Action>) {
        let late = |p: &&PendingRequest| match p.stage {
            Stage::Placed(_) => false,
            Stage::Asked(_) => p.request.deadline <= now,
            Stage::Waiting => p.request.deadline <= now || self.has_waited_too_long(now, p),
        };
        let late: Vec<RequestId> = self
            .requests
            .values()
            .filter(late)
            .map(|p| p.request.id)
            .collect();
        for id in late {
            let pending = &self.requests[&id];
            let expired = pending.request.deadline <= now;
            let stage = pending.stage.clone();
            let service = pending.request.service.clone();
            if let Stage::Asked(ask) = stage {
                self.withdraw(ask, out);
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

    /// Whether a request that nobody could be asked for has waited long enough: the list of
    /// targets lags, and owners change hands, so neither is taken for the truth at once.
    fn has_waited_too_long(&self, now: Moment, pending: &PendingRequest) -> bool {
        let serves = self.shards.has_targets(&pending.request.service);
        let limit = if serves {
            NO_OWNER_TIMEOUT
        } else {
            NO_TARGET_TIMEOUT
        };
        now.saturating_sub(pending.arrived_at) >= limit
    }
}
