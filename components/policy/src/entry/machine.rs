//! The entry's state machine.

use std::{collections::BTreeSet, time::Duration};

use rates::Pauses;
use types::{
    DataCentreId, Incarnation, InstanceId, Moment, PermitRequestId, ServiceId, ServiceKind,
    ServingState, Shard, Target, TargetId,
};
use wire::{Message, Outcome};

use crate::{
    api::{Action, Event, Request, RequestId, View},
    entry::{
        pending::{PendingRequest, PermitRequests, Requests, Stage},
        permit::Permits,
        plain_calls::CallDemand,
        refusals,
        shard_directory::ShardDirectory,
    },
    retry_budget::RetryBudgets,
};

/// The entry of one instance.
#[derive(Debug)]
pub struct Entry {
    pub(super) me: InstanceId,
    pub(super) view: View,
    pub(super) shards: ShardDirectory,
    pub(super) requests: Requests,
    pub(super) permit_requests: PermitRequests,
    pub(super) permits: Permits,
    pub(super) call_demand: CallDemand,
    pub(super) retry_budgets: RetryBudgets,
    /// Pauses that targets have asked this instance for.
    pub(super) pauses: Pauses,
    /// Shards reported with the last report. Their owners get one more report after the last
    /// permit.
    pub(super) reported_shards: BTreeSet<Shard>,
    pub(super) last_report_at: Moment,
    /// Whether owners are given the true lengths, for the oracle baseline only.
    pub(super) known_lengths: bool,
    pub(super) last_permit_request: PermitRequestId,
}

impl Entry {
    /// Creates an entry without requests; `home` is this instance's data centre.
    #[must_use]
    pub fn new(me: InstanceId, home: DataCentreId) -> Self {
        Self {
            me,
            view: View::default(),
            shards: ShardDirectory::new(home),
            requests: Requests::new(),
            permit_requests: PermitRequests::new(),
            permits: Permits::new(),
            call_demand: CallDemand::default(),
            retry_budgets: RetryBudgets::default(),
            pauses: Pauses::new(),
            reported_shards: BTreeSet::new(),
            last_report_at: Moment::ZERO,
            known_lengths: false,
            last_permit_request: 0,
        }
    }

    /// Turns it into the entry of the oracle baseline, which gives owners the true lengths.
    #[must_use]
    pub const fn with_known_lengths(mut self) -> Self {
        self.known_lengths = true;
        self
    }

    /// Returns the id of the newest permit request.
    #[must_use]
    pub const fn last_permit_request(&self) -> PermitRequestId {
        self.last_permit_request
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Moment, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => self.add_request(now, request, out),
            Event::CallerLeft { request } => {
                self.remove_request(now, *request, Outcome::Unsent, out)
            }
            Event::Progress {
                request,
                produced,
                answer_started,
            } => self.record_progress(*request, *produced, *answer_started),
            Event::Ended {
                request,
                outcome,
                retry,
            } => {
                self.end_request(now, *request, *outcome, *retry, out);
            }
            Event::Received { from, message, .. } => self.handle_message(now, from, message, out),
            Event::ViewChanged(view) => self.apply_view(now, view, out),
            Event::RoleChanged { shard, role } => self.apply_role(now, shard, role, out),
            Event::Summary { owner, shards } => self.shards.apply_summaries(owner, shards),
            Event::PeerGone { peer } => self.remove_owner(now, peer, out),
            Event::Tick => self.tick(now, out),
            Event::TargetPaused {
                target,
                incarnation,
                time,
            } => {
                self.pauses.record(now, target, Some(*incarnation), *time);
            }
            Event::Sent { .. } | Event::Paused { .. } => {}
            Event::TargetReported { .. } | Event::ExclusivityChanged { .. } => {}
        }
    }

    /// Returns whether a request may still be sent under its permit.
    ///
    /// Since the request was placed, its permit may have expired, its target may be leaving, or the
    /// target's data centre may have been taken out of service. A request sent after that would be
    /// work that the owner no longer accounts for, or that the target should not get.
    #[must_use]
    pub fn may_send(&self, now: Moment, request: RequestId) -> bool {
        let Some(Stage::Placed(key)) = self.requests.get(&request).map(|p| &p.stage) else {
            return false;
        };
        let Some(permit) = self.permits.get(key) else {
            return false;
        };
        permit.valid_until > now
            && self.accepts_work(now, &permit.target.id, permit.target.incarnation)
    }

    /// Returns the state as lines of text for a dump.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Vec<String> {
        let mut lines = Vec::new();
        for (id, pending) in &self.requests {
            let age = now.saturating_sub(pending.arrived_at).as_millis();
            let class = pending.request.class;
            lines.push(format!(
                "request {id} {class} {:?} since {age} ms",
                pending.stage
            ));
        }
        for permit in self.permits.values() {
            let used = permit.users.len();
            let (target, slots) = (&permit.target.id, permit.slots);
            lines.push(format!(
                "permit {:?} on {target} uses {used} of {slots}",
                permit.key
            ));
        }
        lines
    }

    fn add_request(&mut self, now: Moment, request: &Request, out: &mut Vec<Action>) {
        let limits = self.view.limits.get(&request.service);
        self.retry_budgets
            .deposit(&request.service, limits.map_or(0, |l| l.retry_percent));
        let pending = PendingRequest {
            request: request.clone(),
            stage: Stage::Waiting,
            arrived_at: now,
            avoid: Vec::new(),
            answer_started: false,
            not_before: Moment::ZERO,
        };
        let before = self.requests.insert(request.id, pending);
        assert!(before.is_none(), "request {} arrived twice", request.id);
        if request.kind == ServiceKind::Plain {
            self.call_demand.record_call(now, &request.service);
        }
        self.place(now, request.id, out);
    }

    /// Finds a permit for a request: for a plain call one that is held, otherwise by a permit
    /// request.
    pub(super) fn place(&mut self, now: Moment, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if pending.request.kind == ServiceKind::Plain && self.place_on_block(now, id, out) {
            return;
        }
        self.request_permit(now, id, out);
    }

    pub(super) fn refuse_request(
        &mut self,
        id: RequestId,
        refusal: types::Refusal,
        out: &mut Vec<Action>,
    ) {
        self.requests.remove(&id);
        out.push(Action::Refuse {
            request: id,
            refusal,
        });
    }

    /// Removes a request that has ended or whose caller went away, with its permit request or
    /// permit.
    fn remove_request(
        &mut self,
        now: Moment,
        id: RequestId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        match pending.stage {
            Stage::Waiting => {}
            Stage::Asked(permit_request) => self.withdraw(permit_request, out),
            Stage::Placed(key) => self.release(now, key, id, outcome, out),
        }
    }

    fn record_progress(&mut self, id: RequestId, produced: types::Tokens, answer_started: bool) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.answer_started |= answer_started;
        if let Stage::Placed(key) = pending.stage
            && let Some(permit) = self.permits.get_mut(&key)
        {
            permit.produced = permit.produced.max(produced);
            permit.answer_started |= answer_started;
        }
    }

    fn end_request(
        &mut self,
        now: Moment,
        id: RequestId,
        outcome: Outcome,
        retry: bool,
        out: &mut Vec<Action>,
    ) {
        if !retry {
            self.remove_request(now, id, outcome, out);
            return;
        }
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        assert!(
            !pending.answer_started,
            "request {id} is to be retried although its caller has seen tokens"
        );
        let Stage::Placed(key) = std::mem::replace(&mut pending.stage, Stage::Waiting) else {
            return;
        };
        let failed = matches!(
            outcome,
            Outcome::Overloaded | Outcome::Unreachable | Outcome::Failed
        );
        let service = pending.request.service.clone();
        if failed && let Some(permit) = self.permits.get_mut(&key) {
            pending.avoid.push(permit.target.id.clone());
            // The target may have died and be back cold, so no further call is sent under this
            // permit.
            permit.valid_until = permit.valid_until.min(now);
        }
        self.release(now, key, id, outcome, out);
        if failed && !self.retry_budgets.try_spend(&service) {
            self.refuse_request(id, refusals::no_retry(), out);
            return;
        }
        self.place(now, id, out);
    }

    fn handle_message(
        &mut self,
        now: Moment,
        from: &InstanceId,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Grant(grant) => self.handle_grant(now, from, grant, out),
            Message::Deny(deny) => self.handle_deny(now, deny, out),
            Message::Revoke(revoke) => self.handle_revoke(from, revoke, out),
            Message::Query(query) => self.handle_query(now, from, query, out),
            _ => {}
        }
    }

    pub(super) fn place_waiting(&mut self, now: Moment, out: &mut Vec<Action>) {
        let waiting = |p: &&PendingRequest| p.stage == Stage::Waiting && p.not_before <= now;
        let mut ready: Vec<&PendingRequest> = self.requests.values().filter(waiting).collect();
        ready.sort_by_key(|p| (p.request.class, p.request.deadline));
        let ready: Vec<RequestId> = ready.iter().map(|p| p.request.id).collect();
        for id in ready {
            self.place(now, id, out);
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.refuse_expired(now, out);
        self.retry_unanswered(now, out);
        self.place_waiting(now, out);
        self.rebalance(now, out);
        self.return_unneeded_permits(now, out);
        self.refill(now, out);
        self.report_held(now, out);
    }

    /// Returns whether work may be sent to a target now.
    pub(super) fn accepts_work(&self, now: Moment, target: &str, incarnation: Incarnation) -> bool {
        let in_service = self
            .view
            .targets
            .iter()
            .any(|t| *t.id == *target && t.incarnation == incarnation && self.is_in_service(t));
        in_service && self.pauses.left(now, target, Some(incarnation)).is_none()
    }

    fn is_in_service(&self, target: &Target) -> bool {
        target.state == ServingState::Live
            && !self.view.data_centres_out.contains(&target.data_centre)
    }

    /// Returns the targets of a service that pause.
    pub(super) fn paused_targets(&self, now: Moment, service: &ServiceId) -> Vec<TargetId> {
        if self.pauses.is_empty(now) {
            return Vec::new();
        }
        let of_service = self.view.targets.iter().filter(|t| t.service == *service);
        let paused = of_service.filter(|t| self.pause_left(now, t).is_some());
        paused.map(|t| t.id.clone()).collect()
    }

    /// Returns the time until the end of the first pause if all targets in service among those that
    /// `filter` selects pause.
    pub(super) fn first_pause_end(
        &self,
        now: Moment,
        filter: impl Fn(&Target) -> bool,
    ) -> Option<Duration> {
        if self.pauses.is_empty(now) {
            return None;
        }
        let targets = self.view.targets.iter();
        let in_service = targets.filter(|t| filter(t) && self.is_in_service(t));
        let left: Option<Vec<Duration>> = in_service.map(|t| self.pause_left(now, t)).collect();
        left?.into_iter().min()
    }

    fn pause_left(&self, now: Moment, target: &Target) -> Option<Duration> {
        self.pauses.left(now, &target.id, Some(target.incarnation))
    }
}
