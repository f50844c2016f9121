//! The owner's side: the exact account of all targets of the shards owned here, and who goes
//! next.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use types::{Incarnation, InstanceId, Moment, PermitId, ServiceKind, Shard, Target, TargetId};
use wire::{Ask, Deny, Done, Grant, Held, Message, Outcome, Query, ShardSummary, Withdraw};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    account::{Account, Permit, PermitKey, Report},
    api::{Action, EngineReport, Event, ShardRole, TargetLimits, View},
    journal::Journal,
    line::{Place, Waiting},
    shard::{PERMIT_LIFE, ShardState},
};

/// An entry's clock older than this, on the owner's clock, makes a grant useless on arrival.
const STALE: Duration = Duration::from_millis(600);
/// Least time to come back that is told to anybody.
const LEAST_RETRY: Duration = Duration::from_millis(100);
/// The bits of a permit's number that count; those above tell owners apart.
const COUNTER_BITS: u32 = 40;

/// What is known of one peer, this instance included.
#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: Incarnation,
    stamp: Moment,
    heard: Moment,
}

/// The decisions of one instance about the shards that it owns.
pub struct Owner {
    me: InstanceId,
    next_permit: PermitId,
    rng: fastrand::Rng,
    view: View,
    peers: BTreeMap<InstanceId, Peer>,
    reports: BTreeMap<TargetId, Report>,
    shards: BTreeMap<Shard, ShardState>,
    journal: Journal,
}

impl Owner {
    /// Starts without shards. `seed` feeds the jitter of times to come back.
    #[must_use]
    pub fn new(me: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        let base = xxh3_64_with_seed(me.as_bytes(), incarnation) << COUNTER_BITS;
        Self {
            me,
            next_permit: base,
            rng: fastrand::Rng::with_seed(seed),
            view: View::default(),
            peers: BTreeMap::new(),
            reports: BTreeMap::new(),
            shards: BTreeMap::new(),
            journal: Journal::new(),
        }
    }

    /// Takes one event and appends what has to be done to `out`. Events of the entry side are
    /// ignored.
    pub fn handle(&mut self, now: Moment, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Received {
                from,
                incarnation,
                message,
            } => self.received(now, from, *incarnation, message, out),
            Event::Reported { target, report } => self.reported(now, target, *report),
            Event::Changed(view) => self.changed(view),
            Event::Role { shard, role } => self.role(now, shard, role, out),
            Event::PeerGone { peer } => self.peer_gone(now, peer),
            Event::Exclusive { shard, exclusive } => self.exclusive(shard, *exclusive),
            Event::Paused { gap } => self.paused(now, *gap, out),
            Event::Tick => self.tick(now, out),
            _ => return,
        }
        self.deny_where_out(out);
        self.serve_all(now, out);
    }

    /// Tells what others should know of the shards owned here.
    #[must_use]
    pub fn summaries(&self, now: Moment) -> Vec<ShardSummary> {
        self.shards
            .values()
            .map(|state| {
                let limits = self.view.limits.get(&state.shard.service);
                state.summary(now, limits.map(Arc::as_ref), &self.view.out)
            })
            .collect()
    }

    /// Writes the state for a dump.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Vec<String> {
        let mut lines = Vec::new();
        for state in self.shards.values() {
            lines.push(format!(
                "owner of {} in term {}, granting {}, exclusive {}, {} waiting, awaiting {:?}",
                state.shard,
                state.epoch,
                state.granting(now),
                state.exclusive,
                state.line.len(),
                state.awaiting
            ));
            for (id, account) in &state.accounts {
                lines.push(format!(
                    "  target {id}: {} running, cold {}, {} tokens set aside",
                    account.occupied(),
                    account.limiter.is_cold(),
                    account.reserved()
                ));
            }
        }
        lines
    }

    fn received(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: Incarnation,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ask(ask) => {
                self.heard(now, from, incarnation, Some(ask.stamp));
                self.asked(now, from, ask, out);
            }
            Message::Withdraw(withdraw) => self.withdrawn(from, withdraw),
            Message::Done(done) => self.done(now, from, done),
            Message::Held(held) => {
                self.heard(now, from, incarnation, Some(held.stamp));
                self.held(from, incarnation, held);
            }
            Message::Heartbeat(beat) => self.heard(now, from, incarnation, Some(beat.stamp)),
            _ => {}
        }
    }

    fn heard(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: Incarnation,
        stamp: Option<Moment>,
    ) {
        let stamp = stamp.unwrap_or_default();
        let peer = self.peers.entry(from.clone()).or_insert(Peer {
            incarnation,
            stamp,
            heard: now,
        });
        if incarnation > peer.incarnation {
            *peer = Peer {
                incarnation,
                stamp,
                heard: now,
            };
            self.orphan(now, from, incarnation);
        } else if incarnation == peer.incarnation && stamp >= peer.stamp {
            peer.stamp = stamp;
            peer.heard = now;
        }
    }

    fn asked(&mut self, now: Moment, from: &InstanceId, ask: &Ask, out: &mut Vec<Action>) {
        let limit = self
            .view
            .limits
            .get(&ask.shard.service)
            .map_or(0, |limits| limits.queue_limit as usize);
        let Some(state) = self.shards.get_mut(&ask.shard) else {
            deny(from, &ask.shard, ask.ask, None, out);
            return;
        };
        let wait = state.expected_wait(ask.class).unwrap_or_default();
        let displaced = if state.line.len() < limit {
            None
        } else if ask.class == types::Class::Urgent {
            state.line.displace()
        } else {
            None
        };
        if wait > ask.within || (state.line.len() >= limit && displaced.is_none()) {
            let after = jittered(&mut self.rng, wait);
            deny(from, &ask.shard, ask.ask, Some(after), out);
            return;
        }
        if let Some(displaced) = displaced {
            let after = jittered(&mut self.rng, wait);
            let shard = &displaced.ask.shard;
            deny(&displaced.entry, shard, displaced.ask.ask, Some(after), out);
        }
        state.line.push(Waiting {
            entry: from.clone(),
            ask: ask.clone(),
            since: now,
            deadline: now + ask.within,
        });
    }

    fn withdrawn(&mut self, from: &InstanceId, withdraw: &Withdraw) {
        if let Some(state) = self.shards.get_mut(&withdraw.shard) {
            state.line.remove(from, withdraw.ask);
        }
    }

    fn done(&mut self, now: Moment, from: &InstanceId, done: &Done) {
        let Some(state) = self.shards.get_mut(&done.shard) else {
            return;
        };
        let Some(limits) = self.view.limits.get(&done.shard.service) else {
            return;
        };
        let Some(account) = state.accounts.get_mut(&done.target) else {
            return;
        };
        let busy = account.occupied() + 1 >= account.limiter.slots(limits);
        let key = PermitKey {
            entry: from.clone(),
            permit: done.permit,
        };
        if account.permits.remove(&key).is_none() {
            return;
        }
        match done.outcome {
            Outcome::Finished { first, .. } => {
                account.limiter.finished(limits, first, busy);
            }
            Outcome::Overloaded => account.limiter.overloaded(),
            _ => {}
        }
        state.ended(now);
    }

    fn held(&mut self, from: &InstanceId, incarnation: Incarnation, held: &Held) {
        let Some(state) = self.shards.get_mut(&held.shard) else {
            return;
        };
        if held.epoch == state.epoch {
            state.awaiting.remove(from);
        }
        let listed: BTreeMap<PermitId, &wire::HeldPermit> =
            held.permits.iter().map(|p| (p.permit, p)).collect();
        for account in state.accounts.values_mut() {
            account.permits.retain(|key, permit| {
                key.entry != *from
                    || permit.entry_incarnation != incarnation
                    || listed.contains_key(&key.permit)
                    || held.stamp <= permit.lapses
            });
        }
        for permit in &held.permits {
            let Some(account) = state.accounts.get_mut(&permit.target) else {
                continue;
            };
            if account
                .listed
                .as_ref()
                .is_some_and(|listed| listed.incarnation > permit.incarnation)
            {
                continue;
            }
            let key = PermitKey {
                entry: from.clone(),
                permit: permit.permit,
            };
            let known = account
                .permits
                .entry(key)
                .or_insert_with(|| Permit::heard(permit, incarnation, held.stamp));
            known.produced = known.produced.max(permit.produced);
            known.seen |= permit.seen;
            known.orphaned = None;
        }
    }

    fn reported(&mut self, now: Moment, target: &TargetId, report: EngineReport) {
        let report = Report {
            taken: now.saturating_sub(report.age),
            report,
        };
        self.reports.insert(target.clone(), report);
        for state in self.shards.values_mut() {
            let Some(account) = state.accounts.get_mut(target) else {
                continue;
            };
            account.report = Some(report);
            if !report.report.warm {
                account.limiter.chill();
            }
            let bearing = report.report.running + report.report.waiting;
            drop_finished_orphans(account, report.taken, bearing);
        }
    }

    fn changed(&mut self, view: &View) {
        self.view = view.clone();
        for state in self.shards.values_mut() {
            refresh(state, &self.view, &self.reports);
        }
    }

    fn deny_where_out(&mut self, out: &mut Vec<Action>) {
        for state in self.shards.values_mut() {
            if !self.view.out.contains(&state.shard.data_centre) {
                continue;
            }
            for waiting in state.line.drain_if(|_| true) {
                deny(&waiting.entry, &state.shard, waiting.ask.ask, None, out);
            }
        }
    }

    fn role(&mut self, now: Moment, shard: &Shard, role: &ShardRole, out: &mut Vec<Action>) {
        match role {
            ShardRole::Follow { .. } => self.disown(shard, out),
            ShardRole::Own { epoch, ask } => {
                if self.shards.get(shard).is_some_and(|s| s.epoch >= *epoch) {
                    return;
                }
                self.disown(shard, out);
                let mut state = ShardState::new(shard.clone(), *epoch, now, ask);
                refresh(&mut state, &self.view, &self.reports);
                self.shards.insert(shard.clone(), state);
                for entry in ask {
                    let query = Query {
                        shard: shard.clone(),
                        epoch: *epoch,
                    };
                    send(entry, query.into(), out);
                }
            }
        }
    }

    fn disown(&mut self, shard: &Shard, out: &mut Vec<Action>) {
        let Some(mut state) = self.shards.remove(shard) else {
            return;
        };
        for waiting in state.line.drain_if(|_| true) {
            deny(&waiting.entry, shard, waiting.ask.ask, None, out);
        }
    }

    fn peer_gone(&mut self, now: Moment, peer: &InstanceId) {
        self.peers.remove(peer);
        for state in self.shards.values_mut() {
            state.awaiting.remove(peer);
            state.line.drain_if(|waiting| waiting.entry == *peer);
        }
        self.orphan(now, peer, Incarnation::MAX);
    }

    fn orphan(&mut self, now: Moment, entry: &InstanceId, below: Incarnation) {
        for state in self.shards.values_mut() {
            for account in state.accounts.values_mut() {
                for (key, permit) in &mut account.permits {
                    if key.entry == *entry && permit.entry_incarnation < below {
                        permit.orphaned.get_or_insert(now);
                    }
                }
            }
        }
    }

    fn exclusive(&mut self, shard: &Shard, exclusive: bool) {
        if let Some(state) = self.shards.get_mut(shard) {
            state.exclusive = exclusive;
        }
    }

    fn paused(&mut self, now: Moment, gap: Duration, out: &mut Vec<Action>) {
        self.journal.note(now, format!("paused for {gap:?}"));
        let shards: Vec<Shard> = self.shards.keys().cloned().collect();
        for shard in shards {
            self.disown(&shard, out);
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Action>) {
        for state in self.shards.values_mut() {
            for late in state.line.drain_if(|waiting| waiting.deadline <= now) {
                let wait = state.expected_wait(late.ask.class).unwrap_or_default();
                let after = jittered(&mut self.rng, wait);
                deny(&late.entry, &state.shard, late.ask.ask, Some(after), out);
            }
        }
    }

    fn serve_all(&mut self, now: Moment, out: &mut Vec<Action>) {
        let shards: Vec<Shard> = self.shards.keys().cloned().collect();
        for shard in shards {
            self.serve(now, &shard, out);
        }
    }

    fn serve(&mut self, now: Moment, shard: &Shard, out: &mut Vec<Action>) {
        let Some(limits) = self.view.limits.get(&shard.service).cloned() else {
            return;
        };
        let Some(state) = self.shards.get(shard) else {
            return;
        };
        if !state.granting(now) {
            return;
        }
        for place in state.line.order() {
            self.try_grant(now, shard, &limits, &place, out);
        }
    }

    fn try_grant(
        &mut self,
        now: Moment,
        shard: &Shard,
        limits: &TargetLimits,
        place: &Place,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.shards.get_mut(shard) else {
            return;
        };
        let Some(waiting) = state.line.get(place) else {
            return;
        };
        let Some(peer) = self.peers.get(&waiting.entry).copied() else {
            return;
        };
        if now.saturating_sub(peer.heard) > STALE {
            return;
        }
        let Some(id) = state.choose(&waiting.ask, limits, &self.view.out) else {
            return;
        };
        let tokens = (waiting.ask.prompt + waiting.ask.max_output) as f64;
        let Some(waiting) = state.line.serve(place, tokens) else {
            return;
        };
        let Some(account) = state.accounts.get_mut(&id) else {
            return;
        };
        let Some(target) = account.listed.clone() else {
            return;
        };
        let permit = self.next_permit;
        self.next_permit += 1;
        let grant = grant(
            state.epoch,
            &waiting.ask,
            permit,
            &target,
            peer.stamp,
            account,
        );
        let key = PermitKey {
            entry: waiting.entry.clone(),
            permit,
        };
        let earlier = account
            .permits
            .insert(key, granted(&waiting.ask, &grant, peer.incarnation));
        assert!(
            earlier.is_none(),
            "permit {permit} was granted twice; last events:\n{}",
            self.journal.tail()
        );
        assert!(
            !account.limiter.is_cold() || account.occupied() <= limits.cold_limit,
            "cold target {id} got more than its bound; last events:\n{}",
            self.journal.tail()
        );
        send(&waiting.entry, grant.into(), out);
    }

    /// The name of this instance.
    #[must_use]
    pub const fn me(&self) -> &InstanceId {
        &self.me
    }
}

fn refresh(state: &mut ShardState, view: &View, reports: &BTreeMap<TargetId, Report>) {
    for account in state.accounts.values_mut() {
        account.listed = None;
    }
    for target in &view.targets {
        if state.shard.holds(target) {
            list(state, target, reports.get(&target.id).copied());
        }
    }
    state
        .accounts
        .retain(|_, account| account.listed.is_some() || !account.permits.is_empty());
}

fn list(state: &mut ShardState, target: &Target, report: Option<Report>) {
    let account = state
        .accounts
        .entry(target.id.clone())
        .or_insert_with(|| Account::new(target.clone()));
    account.listed = Some(target.clone());
    account.report = account.report.or(report);
    account.drop_earlier_lives(target.incarnation);
}

fn drop_finished_orphans(account: &mut Account, taken: Moment, bearing: u32) {
    let orphans: Vec<PermitKey> = account
        .permits
        .iter()
        .filter(|(_, permit)| permit.orphaned.is_some_and(|since| since < taken))
        .map(|(key, _)| key.clone())
        .collect();
    let excess = orphans.len().saturating_sub(bearing as usize);
    for key in orphans.into_iter().take(excess) {
        account.permits.remove(&key);
    }
}

fn grant(
    epoch: types::Epoch,
    ask: &Ask,
    permit: PermitId,
    target: &Target,
    stamp: Moment,
    account: &Account,
) -> Grant {
    let reserved = match ask.kind {
        ServiceKind::Model => ask.prompt + ask.max_output,
        ServiceKind::Plain => 0,
    };
    Grant {
        shard: ask.shard.clone(),
        epoch,
        ask: ask.ask,
        permit,
        target: target.id.clone(),
        incarnation: target.incarnation,
        reserved,
        slots: ask.slots.max(1),
        stamp,
        life: PERMIT_LIFE,
        cold: account.limiter.is_cold(),
    }
}

fn granted(ask: &Ask, grant: &Grant, entry_incarnation: Incarnation) -> Permit {
    Permit {
        epoch: grant.epoch,
        incarnation: grant.incarnation,
        entry_incarnation,
        class: ask.class,
        workspace: ask.workspace.clone(),
        route: ask.route.clone(),
        prompt: ask.prompt,
        max_output: ask.max_output,
        produced: 0,
        slots: grant.slots,
        seen: false,
        lapses: grant.stamp + grant.life,
        orphaned: None,
    }
}

fn jittered(rng: &mut fastrand::Rng, wait: Duration) -> Duration {
    wait.max(LEAST_RETRY).mul_f64(0.9 + 0.2 * rng.f64())
}

fn deny(
    to: &InstanceId,
    shard: &Shard,
    ask: types::AskId,
    retry_after: Option<Duration>,
    out: &mut Vec<Action>,
) {
    let deny = Deny {
        shard: shard.clone(),
        ask,
        retry_after,
    };
    send(to, deny.into(), out);
}

fn send(to: &InstanceId, message: Message, out: &mut Vec<Action>) {
    out.push(Action::Send {
        to: to.clone(),
        message,
    });
}
