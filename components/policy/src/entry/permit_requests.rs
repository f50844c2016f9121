//! Sending and withdrawing permit requests.

use types::{InstanceId, Moment, PermitRequestId, ServiceId, Shard};
use wire::{PermitRequest, Withdraw};

use crate::{
    api::{Action, RequestId},
    entry::{
        machine::Entry,
        pending::{OutstandingPermitRequest, PERMIT_REQUEST_TIMEOUT, Stage},
        refusals,
    },
};

impl Entry {
    pub(super) fn request_permit(&mut self, now: Moment, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let service = &pending.request.service;
        if let Some(left) = self.first_pause_end(now, |target| target.service == *service) {
            self.refuse_request(id, refusals::paused(left, id), out);
            return;
        }
        if let Some((shard, owner)) = self.choose_shard(now, service, &pending.request.prefix) {
            self.request_permit_from(now, id, shard, owner, out);
        }
    }

    /// Chooses the shard to request a permit from, among those with a target that does not pause.
    pub(super) fn choose_shard(
        &self,
        now: Moment,
        service: &ServiceId,
        prefix: &[u64],
    ) -> Option<(Shard, InstanceId)> {
        let pauses = |shard: &Shard| {
            let end = self.first_pause_end(now, |target| shard.contains(target));
            end.is_some()
        };
        self.shards.choose(service, prefix, |shard| !pauses(shard))
    }

    /// Sends a permit request for a request to the owner of a shard.
    pub(super) fn request_permit_from(
        &mut self,
        now: Moment,
        id: RequestId,
        shard: Shard,
        owner: InstanceId,
        out: &mut Vec<Action>,
    ) {
        let permit_request = self.next_permit_request();
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        // The owner does not know the pauses: they bind this instance only.
        let mut avoid = self.paused_targets(now, &pending.request.service);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        avoid.extend_from_slice(&pending.avoid);
        pending.stage = Stage::Asked(permit_request);
        let request = &pending.request;
        let known_length = request.true_output.filter(|_| self.known_lengths);
        let message = PermitRequest {
            shard: shard.clone(),
            permit_request,
            stamp: now,
            kind: request.kind,
            class: request.class,
            workspace: request.workspace.clone(),
            route: request.route.clone(),
            deadline_left: request.deadline.saturating_sub(now),
            waited: now.saturating_sub(pending.arrived_at),
            prompt_tokens: request.prompt_tokens,
            max_output: known_length.unwrap_or(request.max_output),
            slots: self.call_demand.slots(request),
            prefix: request.prefix.clone(),
            avoid,
        };
        self.shards.record_permit_request(&shard, &request.prefix);
        let outstanding = OutstandingPermitRequest {
            request: Some(id),
            shard,
            owner: owner.clone(),
            sent_at: now,
        };
        self.permit_requests.insert(permit_request, outstanding);
        out.push(Action::Send {
            to: owner,
            message: message.into(),
        });
    }

    pub(super) const fn next_permit_request(&mut self) -> PermitRequestId {
        self.last_permit_request += 1;
        self.last_permit_request
    }

    /// Withdraws a permit request. If it is granted meanwhile, the permit is returned on arrival.
    pub(super) fn withdraw(&mut self, permit_request: PermitRequestId, out: &mut Vec<Action>) {
        let Some(outstanding) = self.permit_requests.remove(&permit_request) else {
            return;
        };
        let message = Withdraw {
            shard: outstanding.shard,
            permit_request,
        };
        out.push(Action::Send {
            to: outstanding.owner,
            message: message.into(),
        });
    }

    /// Repeats permit requests that have not been answered in time.
    pub(super) fn retry_unanswered(&mut self, now: Moment, out: &mut Vec<Action>) {
        let unanswered: Vec<(PermitRequestId, Option<RequestId>)> = self
            .permit_requests
            .iter()
            .filter(|(_, outstanding)| {
                now.saturating_sub(outstanding.sent_at) >= PERMIT_REQUEST_TIMEOUT
            })
            .map(|(permit_request, outstanding)| (*permit_request, outstanding.request))
            .collect();
        for (permit_request, request) in unanswered {
            self.withdraw(permit_request, out);
            self.retry_request(now, request, out);
        }
    }

    pub(super) fn retry_request(
        &mut self,
        now: Moment,
        request: Option<RequestId>,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = request else { return };
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.stage = Stage::Waiting;
            self.place(now, id, out);
        }
    }
}
