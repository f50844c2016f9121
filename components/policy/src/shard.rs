//! What an owner knows of one shard: its accounts and the asks that wait.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{Class, Epoch, InstanceId, Moment, PermitId, Shard, TargetId};
pub use wire::PERMIT_LIFE;
use wire::{Ask, Done, Held, HeldPermit, Outcome, Query, ShardSummary, Withdraw};

use crate::{
    account::{Account, Permit, PermitKey, Report},
    api::{Action, TargetLimits},
    length::Source,
    limit::urgent_part,
    line::{Line, Waiting},
    outbox::{deny, send},
    pace::Pace,
    shared::Shared,
};

/// Added to a permit's life where an owner waits for permits to lapse, for clocks that run at
/// slightly different rates.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(250);
/// Time between two questions to an entry that has not told what it holds.
const QUERY_PERIOD: Duration = Duration::from_millis(200);
/// How long cold targets wait for their first report when an entry has told nothing.
const REPORT_WAIT: Duration = Duration::from_secs(3);
/// Time between two looks for asks that can't be served in time.
const JUDGE_EVERY: Duration = Duration::from_millis(250);
/// Part of the expected wait that an ask's patience must last for, so that one that would just
/// be served isn't refused for a wrong guess.
const HOPE: f64 = 0.7;
/// How long urgent work is expected to go on after it was last asked for.
const URGENT_MEMORY: Duration = Duration::from_secs(60);

/// One shard as its owner sees it.
#[derive(Debug)]
pub struct ShardState {
    /// Which shard.
    pub shard: Shard,
    /// The term of ownership.
    pub epoch: Epoch,
    /// Whether cold targets may get work.
    pub exclusive: bool,
    /// Asks that wait.
    pub line: Line,
    /// Accounts of the targets.
    pub accounts: BTreeMap<TargetId, Account>,
    /// How fast each class is served.
    pub pace: Pace,
    awaiting: BTreeSet<InstanceId>,
    queried: Moment,
    missing: bool,
    began: Moment,
    judged: Moment,
    urgent: Option<Moment>,
}

impl ShardState {
    /// Starts a term in which `ask` have to tell what they hold.
    pub fn new(
        now: Moment,
        shard: &Shard,
        epoch: Epoch,
        ask: &[InstanceId],
        shared: &Shared,
        out: &mut Vec<Action>,
    ) -> Self {
        let mut state = Self {
            shard: shard.clone(),
            epoch,
            exclusive: false,
            line: Line::new(),
            accounts: BTreeMap::new(),
            pace: Pace::new(),
            awaiting: ask.iter().cloned().collect(),
            queried: now,
            missing: false,
            began: now,
            judged: now,
            urgent: None,
        };
        state.query(now, out);
        state.refresh(now, shared);
        state
    }

    /// Asks those that have not told yet. A question may get lost, and without its answer cold
    /// targets would never get work from this owner.
    fn query(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.queried = now;
        for entry in &self.awaiting {
            let (shard, epoch) = (self.shard.clone(), self.epoch);
            send(entry, Query { shard, epoch }.into(), out);
        }
    }

    /// Entries that have not yet told what they hold.
    #[must_use]
    pub const fn awaiting(&self) -> &BTreeSet<InstanceId> {
        &self.awaiting
    }

    /// Tells whether permits may be granted: everybody has told what it holds, or whatever an
    /// earlier owner granted and nobody used has lapsed.
    #[must_use]
    pub fn granting(&self, now: Moment) -> bool {
        self.awaiting.is_empty() || now >= self.began + PERMIT_LIFE + LAPSE_MARGIN
    }

    /// Tells whether a cold target may get work: this owner is alone, it knows of all work that
    /// entries have there, and where an entry was lost before it told, the target has reported.
    #[must_use]
    pub fn cold_ready(&self, now: Moment, account: &Account) -> bool {
        let reported = account
            .report
            .is_some_and(|report| report.taken >= self.began);
        self.exclusive
            && self.awaiting.is_empty()
            && (!self.missing || reported || now >= self.began + REPORT_WAIT)
    }

    /// Slots of a target that only urgent work may take.
    #[must_use]
    pub fn urgent_reserve(&self, now: Moment, slots: u32) -> u32 {
        let expected = self
            .urgent
            .is_some_and(|last| now.saturating_sub(last) < URGENT_MEMORY);
        if expected { urgent_part(slots) } else { 0 }
    }

    /// Takes an ask: it waits its turn or is refused at once.
    pub fn asked(
        &mut self,
        now: Moment,
        from: &InstanceId,
        ask: &Ask,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        if ask.class == Class::Urgent {
            self.urgent = Some(now);
        }
        if self.refuses_all(shared) {
            deny(from, &self.shard, ask.ask, None, out);
            return;
        }
        self.line.remove(from, ask.ask);
        let ahead = self.line.len_of(ask.class);
        let wait = self.pace.wait(now, ask.class, ahead).unwrap_or_default();
        if wait > ask.within || !self.make_place(now, ask.class, shared, out) {
            let after = shared.jittered(wait);
            deny(from, &self.shard, ask.ask, Some(after), out);
            return;
        }
        self.pace.waits(now, ask.class);
        self.line.push(Waiting::new(from, ask, now));
    }

    /// Makes sure that one more ask of a class may wait; a less urgent one gives way.
    fn make_place(
        &mut self,
        now: Moment,
        class: Class,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) -> bool {
        let limit = shared
            .view
            .limits
            .get(&self.shard.service)
            .map_or(0, |limits| limits.queue_limit as usize);
        if self.line.len() < limit {
            return true;
        }
        let Some(displaced) = self.line.displace(class) else {
            return false;
        };
        self.refuse(now, &displaced, shared, out);
        true
    }

    /// Refuses an ask that waited, with the time to come back.
    fn refuse(&self, now: Moment, waiting: &Waiting, shared: &mut Shared, out: &mut Vec<Action>) {
        let ahead = self.line.len_of(waiting.rank);
        let wait = self.pace.wait(now, waiting.rank, ahead).unwrap_or_default();
        let after = shared.jittered(wait);
        deny(
            &waiting.entry,
            &self.shard,
            waiting.ask.ask,
            Some(after),
            out,
        );
    }

    /// Tells whether none of the shard's targets will take work, so that asks have to go
    /// elsewhere.
    fn refuses_all(&self, shared: &Shared) -> bool {
        !self
            .accounts
            .values()
            .any(|account| account.is_staying(&shared.view))
    }

    /// Sends all waiting asks elsewhere if no target is left to wait for.
    pub fn send_on(&mut self, shared: &Shared, out: &mut Vec<Action>) {
        if !self.line.is_empty() && self.refuses_all(shared) {
            self.deny_all(out);
        }
    }

    /// Sends all waiting asks elsewhere.
    pub fn deny_all(&mut self, out: &mut Vec<Action>) {
        for waiting in self.line.drain_if(|_| true) {
            deny(&waiting.entry, &self.shard, waiting.ask.ask, None, out);
        }
    }

    /// Takes an ask back.
    pub fn withdrawn(&mut self, from: &InstanceId, withdraw: &Withdraw) {
        self.line.remove(from, withdraw.ask);
    }

    /// Takes a permit back.
    pub fn done(
        &mut self,
        now: Moment,
        from: &InstanceId,
        done: &Done,
        limits: &TargetLimits,
        shared: &mut Shared,
    ) {
        let Some(account) = self.accounts.get_mut(&done.target) else {
            return;
        };
        let key = PermitKey {
            entry: from.clone(),
            permit: done.permit,
        };
        let occupied = account.occupied();
        let given_back = if done.outcome == Outcome::Failed {
            account.lose(now, &key)
        } else {
            account.remove(&key)
        };
        let Some(permit) = given_back else {
            return;
        };
        judge(now, account, &permit, occupied, &done.outcome, limits);
        let length = match done.outcome {
            Outcome::Finished { produced, .. } | Outcome::Cancelled { produced } => produced,
            _ => permit.produced,
        };
        if Account::is_model(limits) {
            self.learn(&permit, length, &done.outcome, shared);
        }
        let spent = match done.outcome {
            Outcome::Unsent | Outcome::Overloaded => 0.0,
            _ if Account::is_model(limits) => (permit.prompt + length) as f64,
            _ => permit.charged,
        };
        self.line.settle(&permit.workspace, spent - permit.charged);
    }

    fn learn(&self, permit: &Permit, length: u64, outcome: &Outcome, shared: &mut Shared) {
        let source = Source {
            service: &self.shard.service,
            route: &permit.route,
            workspace: &permit.workspace,
        };
        let whole = matches!(outcome, Outcome::Finished { .. }) && length < permit.max_output;
        if whole {
            shared.lengths.ended(&source, permit.produced, length);
        } else {
            shared.lengths.passed(&source, permit.produced, length);
        }
    }

    /// Takes an entry's account of what it holds.
    pub fn held(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: u64,
        held: &Held,
        limits: &TargetLimits,
        shared: &mut Shared,
    ) {
        if held.epoch == self.epoch {
            self.awaiting.remove(from);
        }
        self.drop_unlisted(from, incarnation, held);
        for permit in &held.permits {
            self.held_one(now, from, incarnation, held.stamp, permit, limits, shared);
        }
    }

    /// Drops an entry's permits that it no longer lists and can no longer use.
    ///
    /// A `Done` or a `Grant` that gets lost would otherwise leave its place reserved for good,
    /// and with time the targets would stand idle. A grant may be on its way while the entry
    /// lists what it holds, so a permit goes only once the entry's clock is past its life.
    fn drop_unlisted(&mut self, from: &InstanceId, incarnation: u64, held: &Held) {
        let listed: BTreeSet<PermitId> = held.permits.iter().map(|p| p.permit).collect();
        for account in self.accounts.values_mut() {
            let gone: Vec<PermitKey> = account
                .permits
                .iter()
                .filter(|(key, permit)| {
                    key.entry == *from
                        && permit.entry_incarnation == incarnation
                        && held.stamp > permit.lapses
                        && permit.orphaned.is_none()
                        && !listed.contains(&key.permit)
                })
                .map(|(key, _)| key.clone())
                .collect();
            for key in gone {
                account.remove(&key);
            }
        }
    }

    #[allow(clippy::too_many_arguments)] // the message's parts
    fn held_one(
        &mut self,
        now: Moment,
        from: &InstanceId,
        incarnation: u64,
        stamp: Moment,
        held: &HeldPermit,
        limits: &TargetLimits,
        shared: &mut Shared,
    ) {
        let account = self
            .accounts
            .entry(held.target.clone())
            .or_insert_with(|| Account::new(now));
        let key = PermitKey {
            entry: from.clone(),
            permit: held.permit,
        };
        let Some(known) = account.permits.get(&key) else {
            let permit = Permit::adopted(held, incarnation, stamp, now);
            account.insert(key, permit);
            return;
        };
        let (before, since, late) = (known.produced, known.since, known.late);
        if before == 0 && held.produced > 0 {
            let busy = account.limiter.is_busy(limits, account.occupied());
            account.limiter.started(limits, busy);
        }
        account.progressed(now, stamp, &key, held);
        if !Account::is_model(limits) {
            return;
        }
        let source = Source {
            service: &self.shard.service,
            route: &held.route,
            workspace: &held.workspace,
        };
        shared.lengths.passed(&source, before, held.produced);
        if held.produced == 0 && !late {
            let turned = account.limiter.late(now, now.saturating_sub(since));
            if let Some(permit) = account.permits.get_mut(&key) {
                permit.late = turned;
            }
        }
    }

    /// Takes a target's report; tells whether it was news.
    pub fn reported(
        &mut self,
        now: Moment,
        target: &TargetId,
        report: Report,
        limits: &TargetLimits,
    ) -> bool {
        self.accounts
            .get_mut(target)
            .is_some_and(|account| account.reported(now, report, limits))
    }

    /// An entry is gone for good.
    pub fn peer_gone(&mut self, peer: &InstanceId) {
        if self.awaiting.remove(peer) {
            self.missing = true;
        }
        self.line.drain_if(|waiting| waiting.entry == *peer);
    }

    /// Marks the permits of an entry's lives before `below` as orphans.
    pub fn orphan(&mut self, now: Moment, entry: &InstanceId, below: u64) {
        for account in self.accounts.values_mut() {
            for (key, permit) in &mut account.permits {
                if key.entry == *entry && permit.entry_incarnation < below {
                    permit.orphaned.get_or_insert(now);
                }
            }
        }
    }

    /// Takes note of what is listed now.
    pub fn refresh(&mut self, now: Moment, shared: &Shared) {
        for account in self.accounts.values_mut() {
            account.listed = None;
        }
        for target in &shared.view.targets {
            if !self.shard.holds(target) {
                continue;
            }
            let account = self
                .accounts
                .entry(target.id.clone())
                .or_insert_with(|| Self::open(now, &target.id, shared));
            account.listed = Some(target.clone());
            if account.life != Some(target.incarnation) {
                account.begin_life(now, target.incarnation);
            }
            if shared.is_fresh_now(now, &target.id) {
                account.chill(now);
            }
            if let Some(limits) = shared.view.limits.get(&self.shard.service) {
                account.judge(now, limits);
            }
        }
        self.accounts
            .retain(|_, account| account.listed.is_some() || !account.permits.is_empty());
    }

    fn open(now: Moment, target: &TargetId, shared: &Shared) -> Account {
        let mut account = Account::new(now);
        account.may_trust = !shared.is_fresh(now, target);
        account.report = shared.report(target);
        account
    }

    /// Time passed: ends what has waited too long.
    pub fn tick(&mut self, now: Moment, shared: &mut Shared, out: &mut Vec<Action>) {
        self.give_up(now, shared, out);
        self.line.age(now);
        if !self.awaiting.is_empty() && now >= self.queried + QUERY_PERIOD {
            self.query(now, out);
        }
        for account in self.accounts.values_mut() {
            account.drop_old_orphans(now);
        }
    }

    /// Refuses what can't be served in time any more, as soon as that is clear: whoever is told
    /// only at the end of its patience has waited for nothing and can't go elsewhere.
    fn give_up(&mut self, now: Moment, shared: &mut Shared, out: &mut Vec<Action>) {
        let mut hopeless = self.line.drain_if(|waiting| waiting.deadline <= now);
        if now.saturating_sub(self.judged) >= JUDGE_EVERY {
            self.judged = now;
            for class in Class::ALL {
                let between = self.pace.between(now, class).unwrap_or_default();
                let between = between.mul_f64(HOPE);
                hopeless.extend(self.line.drain_hopeless(now, class, between));
            }
        }
        for waiting in hopeless {
            self.refuse(now, &waiting, shared, out);
        }
    }

    /// What others should know.
    #[must_use]
    pub fn summary(&self, now: Moment, shared: &Shared) -> ShardSummary {
        let Some(limits) = shared.view.limits.get(&self.shard.service) else {
            return self.summary_of(now, 0.0, 0);
        };
        let open: Vec<&Account> = self
            .accounts
            .values()
            .filter(|account| account.is_open(&shared.view))
            .collect();
        let slots: u32 = open.iter().map(|a| a.limiter.slots(limits)).sum();
        let occupied: u32 = open.iter().map(|a| a.occupied()).sum();
        let memory: u64 = open.iter().map(|a| a.capacity(limits)).sum();
        let peaks: f64 = open
            .iter()
            .map(|a| a.last_projection().peak(&shared.tuning))
            .sum();
        let by_slots = f64::from(occupied) / f64::from(slots.max(1));
        let by_memory = peaks / memory.max(1) as f64;
        self.summary_of(now, by_slots.max(by_memory), open.len())
    }

    fn summary_of(&self, now: Moment, load: f64, targets: usize) -> ShardSummary {
        let ahead = self.line.len_of(Class::Normal) + self.line.len_of(Class::Urgent);
        let wait = self.pace.wait(now, Class::Normal, ahead);
        let wait = wait.unwrap_or_default().as_millis();
        ShardSummary {
            shard: self.shard.clone(),
            epoch: self.epoch,
            granting: self.granting(now),
            load: load as f32,
            queued: u32::try_from(self.line.len()).unwrap_or(u32::MAX),
            wait_ms: u32::try_from(wait).unwrap_or(u32::MAX),
            targets: u32::try_from(targets).unwrap_or(u32::MAX),
        }
    }
}

/// What an ended request says about its target's limit.
fn judge(
    now: Moment,
    account: &mut Account,
    permit: &Permit,
    occupied: u32,
    outcome: &Outcome,
    limits: &TargetLimits,
) {
    let busy = account.limiter.is_busy(limits, occupied);
    let may_warm = account.may_warm();
    if account.limiter.is_cold() && permit.since < account.limiter.since() {
        // It ran before the target turned cold, and so says nothing about what it bears now.
        return;
    }
    match outcome {
        Outcome::Finished { first, .. } => {
            let turned = account
                .limiter
                .finished(now, limits, *first, busy, may_warm);
            if turned {
                account.may_trust = false;
            }
        }
        Outcome::Overloaded => account.limiter.overloaded(occupied),
        _ => {}
    }
}
