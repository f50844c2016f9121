//! Refusing what can't be served in time.

use types::Moment;

use crate::{
    api::{Action, RequestId},
    entry::{
        machine::Entry,
        pending::{NO_OWNER_LIMIT, NO_TARGET_LIMIT, PendingRequest, Stage},
        refusals,
    },
};

impl Entry {
    /// What can't be served in time is told so at once, with the time to come back.
    pub(super) fn refuse_late(&mut self, now: Moment, out: &mut Vec<Action>) {
        let late = |p: &&PendingRequest| match p.stage {
            Stage::Placed(_) => false,
            Stage::Asked(_) => p.request.deadline <= now,
            Stage::Waiting => p.request.deadline <= now || self.waits_in_vain(now, p),
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
                refusals::too_late(self.shards.wait(&service))
            } else if self.shards.serves(&service) {
                refusals::no_owner()
            } else {
                refusals::no_target()
            };
            self.refuse(id, refusal, out);
        }
    }

    /// Whether a request that nobody could be asked for has waited long enough: the list of
    /// targets lags, and owners change hands, so neither is taken for the truth at once.
    fn waits_in_vain(&self, now: Moment, pending: &PendingRequest) -> bool {
        let serves = self.shards.serves(&pending.request.service);
        let limit = if serves {
            NO_OWNER_LIMIT
        } else {
            NO_TARGET_LIMIT
        };
        now.saturating_sub(pending.since) >= limit
    }
}
