//! Changes of the configuration, the target listing and the ownership of shards.

use types::{InstanceId, Moment, PermitRequestId, Shard};

use crate::{
    api::{Action, RequestId, ShardRole, View},
    entry::machine::Entry,
};

impl Entry {
    pub(super) fn apply_view(&mut self, now: Moment, view: &View, out: &mut Vec<Action>) {
        self.view = view.clone();
        self.shards.update(view);
        // Requests to shards that no longer accept work are placed elsewhere at once.
        let without_targets: Vec<(PermitRequestId, Option<RequestId>)> = self
            .permit_requests
            .iter()
            .filter(|(_, a)| self.shards.get(&a.shard).is_none_or(|i| i.targets == 0))
            .map(|(permit_request, a)| (*permit_request, a.request))
            .collect();
        for (permit_request, request) in without_targets {
            self.withdraw(permit_request, out);
            self.retry_request(now, request, out);
        }
        self.place_waiting(now, out);
    }

    pub(super) fn apply_role(
        &mut self,
        now: Moment,
        shard: &Shard,
        role: &ShardRole,
        out: &mut Vec<Action>,
    ) {
        let (owner, epoch) = match role {
            ShardRole::Own { epoch, .. } => (Some(self.me.clone()), *epoch),
            ShardRole::Follow { owner, epoch } => (owner.clone(), *epoch),
        };
        self.shards.follow(shard, owner, epoch);
        let lost: Vec<PermitRequestId> = self
            .permit_requests
            .iter()
            .filter(|(_, a)| a.shard == *shard)
            .map(|(permit_request, _)| *permit_request)
            .collect();
        for permit_request in lost {
            let request = self
                .permit_requests
                .remove(&permit_request)
                .and_then(|a| a.request);
            self.retry_request(now, request, out);
        }
        self.place_waiting(now, out);
    }

    pub(super) fn remove_owner(&mut self, now: Moment, peer: &InstanceId, out: &mut Vec<Action>) {
        let lost: Vec<PermitRequestId> = self
            .permit_requests
            .iter()
            .filter(|(_, a)| a.owner == *peer)
            .map(|(permit_request, _)| *permit_request)
            .collect();
        for permit_request in lost {
            let request = self
                .permit_requests
                .remove(&permit_request)
                .and_then(|a| a.request);
            self.retry_request(now, request, out);
        }
    }
}
