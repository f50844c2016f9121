//! Handling of messages from owners.

use std::collections::BTreeSet;

use types::{
    InstanceId, Moment, PermitRequestId, RouteId, ServiceKind, Shard, Target, WorkspaceId,
};
use wire::{Deny, Done, Grant, Message, Outcome, Query, Revoke};

use crate::{
    api::{Action, DispatchPermit, RequestId},
    entry::{
        machine::Entry,
        pending::{DENIED_RETRY_DELAY, MOVE_AFTER, Stage},
        permit::{OutcomeTally, Permit, PermitKey},
        refusals,
    },
};

impl Entry {
    pub(super) fn handle_grant(
        &mut self,
        now: Moment,
        from: &InstanceId,
        grant: &Grant,
        out: &mut Vec<Action>,
    ) {
        // The grant comes from a former owner that does not know of its successor yet.
        if self
            .shards
            .get(&grant.shard)
            .is_some_and(|info| grant.epoch < info.epoch)
        {
            return;
        }
        let valid_until = grant.stamp + grant.lifetime;
        let request = self
            .permit_requests
            .remove(&grant.permit_request)
            .map(|a| a.request);
        let target = self.granted_target(now, grant);
        let (Some(request), Some(target), true) = (request, target, valid_until > now) else {
            return_unused(from, grant, out);
            self.retry_request(now, request.flatten(), out);
            return;
        };
        let requester = request.and_then(|id| self.requests.get(&id));
        let is_plain = self.call_demand.contains(&grant.shard.service);
        if requester.is_none() && !is_plain {
            return_unused(from, grant, out);
            return;
        }
        if grant.cold && request.is_none() {
            self.call_demand.pause_refill(now, &grant.shard.service);
        }
        let permit = self.new_permit(from, grant, request, target);
        let key = permit.key;
        self.permits.insert(key, permit);
        if let Some(id) = request.filter(|id| self.requests.contains_key(id)) {
            self.dispatch(key, id, out);
        }
        self.fill_block(now, key, out);
    }

    fn granted_target(&self, now: Moment, grant: &Grant) -> Option<Target> {
        let mut targets = self.view.targets.iter();
        let found = targets.find(|t| t.id == grant.target)?;
        self.accepts_work(now, &grant.target, grant.incarnation)
            .then(|| found.clone())
    }

    fn new_permit(
        &self,
        from: &InstanceId,
        grant: &Grant,
        request: Option<RequestId>,
        target: Target,
    ) -> Permit {
        let requester = request
            .and_then(|id| self.requests.get(&id))
            .map(|p| &p.request);
        Permit {
            key: (grant.epoch, grant.permit),
            shard: grant.shard.clone(),
            owner: from.clone(),
            target,
            valid_until: grant.stamp + grant.lifetime,
            slots: grant.slots,
            cold: grant.cold,
            kind: requester.map_or(ServiceKind::Plain, |r| r.kind),
            workspace: requester.map_or_else(|| WorkspaceId::from(""), |r| r.workspace.clone()),
            route: requester.map_or_else(|| RouteId::from(""), |r| r.route.clone()),
            class: requester.map_or_else(Default::default, |r| r.class),
            prompt_tokens: requester.map_or(0, |r| r.prompt_tokens),
            max_output: requester.map_or(0, |r| r.max_output),
            users: BTreeSet::new(),
            produced: 0,
            answer_started: false,
            tally: OutcomeTally::default(),
        }
    }

    /// Assigns a request to a permit and requests the driver to send it.
    pub(super) fn dispatch(&mut self, key: PermitKey, id: RequestId, out: &mut Vec<Action>) {
        let (Some(held), Some(pending)) = (self.permits.get_mut(&key), self.requests.get_mut(&id))
        else {
            return;
        };
        held.users.insert(id);
        assert!(
            held.users.len() <= held.slots as usize,
            "permit {key:?} covers {} calls and is used by {:?}",
            held.slots,
            held.users
        );
        pending.stage = Stage::Placed(key);
        let permit = DispatchPermit {
            permit: key.1,
            target: held.target.clone(),
            valid_until: held.valid_until,
        };
        out.push(Action::Dispatch {
            request: id,
            permit,
        });
    }

    pub(super) fn handle_deny(&mut self, now: Moment, deny: &Deny, out: &mut Vec<Action>) {
        let Some(sent) = self.permit_requests.remove(&deny.permit_request) else {
            return;
        };
        let Some(id) = sent.request else { return };
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.stage = Stage::Waiting;
        match deny.retry_after {
            Some(after) => self.refuse_request(id, refusals::overloaded(after), out),
            None => pending.not_before = now + DENIED_RETRY_DELAY,
        }
    }

    /// Cancels the work under a revoked permit if its caller has seen nothing, so that the engine
    /// need not preempt.
    pub(super) fn handle_revoke(
        &mut self,
        from: &InstanceId,
        revoke: &Revoke,
        out: &mut Vec<Action>,
    ) {
        let permit = self
            .permits
            .values()
            .find(|p| p.owner == *from && p.shard == revoke.shard && p.key.1 == revoke.permit);
        let Some(permit) = permit else { return };
        if permit.kind == ServiceKind::Plain {
            return;
        }
        for id in &permit.users {
            if self.requests.get(id).is_some_and(|p| !p.answer_started) {
                out.push(Action::Revoke { request: *id });
            }
        }
    }

    /// Follows a new owner: from here on only its permits are accepted. Reports the permits held of
    /// the shard to it.
    pub(super) fn handle_query(
        &mut self,
        now: Moment,
        from: &InstanceId,
        query: &Query,
        out: &mut Vec<Action>,
    ) {
        let known = self.shards.get(&query.shard).map_or(0, |info| info.epoch);
        if query.epoch < known {
            return;
        }
        self.shards
            .follow(&query.shard, Some(from.clone()), query.epoch);
        for permit in self.permits.values_mut().filter(|p| p.shard == query.shard) {
            permit.owner = from.clone();
        }
        let held = self.held(now, &query.shard, query.epoch);
        out.push(Action::Send {
            to: from.clone(),
            message: held.into(),
        });
    }

    /// Moves permit requests from long queues to shorter ones, beginning with those that would wait
    /// longest.
    pub(super) fn rebalance(&mut self, now: Moment, out: &mut Vec<Action>) {
        let shards: BTreeSet<Shard> = self
            .permit_requests
            .values()
            .map(|a| a.shard.clone())
            .collect();
        for from in shards {
            let mut own_requests = self.movable_requests(now, &from);
            let Some(plan) = self.shards.plan_rebalance(&from, own_requests.len()) else {
                continue;
            };
            own_requests.truncate(plan.count);
            for (permit_request, id) in own_requests {
                self.withdraw(permit_request, out);
                self.request_permit_from(now, id, plan.to.clone(), plan.owner.clone(), out);
            }
        }
    }

    /// This entry's requests that have waited at a shard for a while, last in order of service
    /// first.
    fn movable_requests(&self, now: Moment, shard: &Shard) -> Vec<(PermitRequestId, RequestId)> {
        let mut movable = Vec::new();
        for (permit_request, sent) in &self.permit_requests {
            let has_waited = now.saturating_sub(sent.sent_at) >= MOVE_AFTER;
            if let Some(id) = sent.request.filter(|_| has_waited && sent.shard == *shard)
                && let Some(pending) = self.requests.get(&id)
            {
                movable.push((
                    pending.request.class,
                    pending.request.deadline,
                    *permit_request,
                    id,
                ));
            }
        }
        movable.sort_by(|a, b| b.cmp(a));
        movable
            .into_iter()
            .map(|(_, _, permit_request, id)| (permit_request, id))
            .collect()
    }
}

fn return_unused(to: &InstanceId, grant: &Grant, out: &mut Vec<Action>) {
    let done = Done {
        shard: grant.shard.clone(),
        permit: grant.permit,
        target: grant.target.clone(),
        outcome: Outcome::Unsent,
    };
    out.push(Action::Send {
        to: to.clone(),
        message: Message::Done(done),
    });
}
