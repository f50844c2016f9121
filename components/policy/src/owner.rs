//! The owner's side of placement: which queued request gets a permit next, and for which target.
//!
//! The owner of a shard accounts for all work on the shard's targets; entries send nothing without
//! a permit from it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use types::{Incarnation, InstanceId, Moment, Shard, TargetId};
use wire::{Done, Held, Message, PermitRequest, ShardSummary};

use crate::{
    api::{Action, Event, ShardRole, TargetLimits, TargetLoad, View},
    outbox::deny,
    owner_state::OwnerState,
    shard::ShardState,
    tuning::Tuning,
};

/// The shards that one instance owns, and the decisions about them.
#[derive(Debug)]
pub struct Owner {
    shards: BTreeMap<Shard, ShardState>,
    owner_state: OwnerState,
}

impl Owner {
    /// Creates an owner without shards. `seed` feeds the jitter of retry times.
    #[must_use]
    pub fn new(me: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            shards: BTreeMap::new(),
            owner_state: OwnerState::new(&me, incarnation, seed, Tuning::default()),
        }
    }

    /// Replaces the parameters of admission by memory.
    #[must_use]
    pub fn with_tuning(mut self, tuning: Tuning) -> Self {
        self.owner_state.tuning = tuning;
        self
    }

    /// Handles one event and appends the resulting actions to `out`. Events for the entry are
    /// ignored.
    pub fn handle(&mut self, now: Moment, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Received {
                from,
                incarnation,
                message,
            } => self.handle_message(now, from, *incarnation, message, out),
            Event::TargetReported { target, report } => {
                self.record_report(now, target, *report, out)
            }
            Event::ViewChanged(view) => self.apply_view(now, view, out),
            Event::RoleChanged { shard, role } => self.apply_role(now, shard, role, out),
            Event::PeerGone { peer } => self.remove_peer(now, peer, out),
            Event::ExclusivityChanged { shard, exclusive } => {
                self.set_exclusive(now, shard, *exclusive, out);
            }
            Event::Paused { gap } => self.handle_pause(now, *gap, out),
            Event::Tick => self.tick(now, out),
            _ => {}
        }
    }

    /// Returns the load summaries of the shards owned here.
    #[must_use]
    pub fn summaries(&self, now: Moment) -> Vec<ShardSummary> {
        self.shards
            .values()
            .map(|state| state.summary(now, &self.owner_state))
            .collect()
    }

    /// Returns the state as lines of text for a dump.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Vec<String> {
        let mut lines = Vec::new();
        for state in self.shards.values() {
            state.dump(now, &self.owner_state, &mut lines);
        }
        lines.push("last decisions:".to_owned());
        lines.extend(
            self.owner_state
                .decision_log
                .to_text()
                .lines()
                .map(str::to_owned),
        );
        lines
    }

    fn handle_message(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: Incarnation,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::PermitRequest(request) => {
                self.record_contact(now, from, incarnation, request.stamp);
                self.handle_permit_request(now, from, request, out);
            }
            Message::Withdraw(withdraw) => {
                if let Some(state) = self.shards.get_mut(&withdraw.shard) {
                    state.withdraw(from, withdraw);
                }
            }
            Message::Done(done) => self.handle_done(now, from, done, out),
            Message::Held(held) => {
                self.record_contact(now, from, incarnation, held.stamp);
                self.handle_held(now, from, incarnation, held, out);
            }
            Message::Heartbeat(heartbeat) => {
                self.record_contact(now, from, incarnation, heartbeat.stamp)
            }
            _ => {}
        }
    }

    /// Records the contact with an entry. If the entry runs in a new incarnation, the work of its
    /// earlier ones is orphaned.
    fn record_contact(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: Incarnation,
        stamp: Moment,
    ) {
        if self
            .owner_state
            .record_contact(now, from, incarnation, stamp)
        {
            for state in self.shards.values_mut() {
                state.orphan(now, from, incarnation);
            }
        }
    }

    fn handle_permit_request(
        &mut self,
        now: Moment,
        from: &InstanceId,
        request: &PermitRequest,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.shards.get_mut(&request.shard) else {
            deny(from, &request.shard, request.permit_request, None, out);
            return;
        };
        state.enqueue(now, from, request, &mut self.owner_state, out);
        state.grant_waiting(now, &mut self.owner_state, out);
    }

    fn handle_done(&mut self, now: Moment, from: &InstanceId, done: &Done, out: &mut Vec<Action>) {
        let Some(state) = self.shards.get_mut(&done.shard) else {
            return;
        };
        let Some(limits) = limits(&self.owner_state, &done.shard) else {
            return;
        };
        state.handle_done(now, from, done, &limits, &mut self.owner_state);
        state.grant_waiting(now, &mut self.owner_state, out);
    }

    fn handle_held(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: Incarnation,
        held: &Held,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.shards.get_mut(&held.shard) else {
            return;
        };
        let Some(limits) = limits(&self.owner_state, &held.shard) else {
            return;
        };
        state.handle_held(now, from, incarnation, held, &limits, &mut self.owner_state);
        state.grant_waiting(now, &mut self.owner_state, out);
    }

    fn record_report(
        &mut self,
        now: Moment,
        target: &TargetId,
        report: TargetLoad,
        out: &mut Vec<Action>,
    ) {
        let report = self.owner_state.record_report(now, target, report);
        for state in self.shards.values_mut() {
            let Some(limits) = limits(&self.owner_state, &state.shard) else {
                continue;
            };
            if state.record_report(now, target, report, &limits) {
                state.revoke_on_low_memory(now, &mut self.owner_state, out);
                state.grant_waiting(now, &mut self.owner_state, out);
            }
        }
    }

    fn apply_view(&mut self, now: Moment, view: &View, out: &mut Vec<Action>) {
        self.owner_state.apply_view(now, view);
        for state in self.shards.values_mut() {
            state.apply_view(now, &self.owner_state);
            state.deny_all_if_no_target(&self.owner_state, out);
            state.grant_waiting(now, &mut self.owner_state, out);
        }
    }

    fn apply_role(&mut self, now: Moment, shard: &Shard, role: &ShardRole, out: &mut Vec<Action>) {
        match role {
            ShardRole::Follow { .. } => self.release_shard(now, shard, out),
            ShardRole::Own {
                epoch,
                entries_to_query,
            } => {
                if self.shards.get(shard).is_some_and(|s| s.epoch >= *epoch) {
                    return;
                }
                self.release_shard(now, shard, out);
                let line =
                    format!("owner of {shard} in term {epoch}, queries {entries_to_query:?}");
                self.owner_state.decision_log.record(now, line);
                let state =
                    ShardState::new(now, shard, *epoch, entries_to_query, &self.owner_state, out);
                self.shards.insert(shard.clone(), state);
            }
        }
    }

    fn release_shard(&mut self, now: Moment, shard: &Shard, out: &mut Vec<Action>) {
        let Some(mut state) = self.shards.remove(shard) else {
            return;
        };
        let line = format!("no longer owner of {shard}");
        self.owner_state.decision_log.record(now, line);
        state.deny_all(out);
    }

    fn remove_peer(&mut self, now: Moment, peer: &InstanceId, out: &mut Vec<Action>) {
        self.owner_state.entries.remove(peer);
        let line = format!("entry {peer} is lost");
        self.owner_state.decision_log.record(now, line);
        for state in self.shards.values_mut() {
            state.remove_peer(peer);
            state.orphan(now, peer, Incarnation::MAX);
            state.grant_waiting(now, &mut self.owner_state, out);
        }
    }

    fn set_exclusive(
        &mut self,
        now: Moment,
        shard: &Shard,
        exclusive: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.shards.get_mut(shard) else {
            return;
        };
        let line = format!("exclusive owner of {shard}: {exclusive}");
        self.owner_state.decision_log.record(now, line);
        state.exclusive = exclusive;
        state.grant_waiting(now, &mut self.owner_state, out);
    }

    /// Gives up all shards after a pause. While this process did not run, another instance may have
    /// become owner. Permits granted here would come on top of those of the new owner and overload
    /// cold targets.
    fn handle_pause(&mut self, now: Moment, gap: Duration, out: &mut Vec<Action>) {
        let line = format!("paused for {gap:?}");
        self.owner_state.decision_log.record(now, line);
        let shards: Vec<Shard> = self.shards.keys().cloned().collect();
        for shard in shards {
            self.release_shard(now, &shard, out);
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Action>) {
        for state in self.shards.values_mut() {
            state.tick(now, &mut self.owner_state, out);
            state.revoke_on_low_memory(now, &mut self.owner_state, out);
            state.grant_waiting(now, &mut self.owner_state, out);
        }
    }
}

fn limits(owner_state: &OwnerState, shard: &Shard) -> Option<Arc<TargetLimits>> {
    owner_state.view.limits.get(&shard.service).cloned()
}
