//! What an owner knows of one shard: its accounts and the asks that wait.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{Epoch, InstanceId, Moment, Shard, TargetId};
pub use wire::PERMIT_LIFE;
use wire::Query;

use crate::{
    account::{TargetAccount, TimedReport},
    api::{Action, TargetLimits},
    grant_rate::GrantRate,
    limiter::urgent_slots,
    outbox::send,
    owner_state::OwnerState,
    wait_queue::WaitQueue,
};

/// Added to a permit's life where an owner waits for permits to lapse, for clocks that run at
/// slightly different rates.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(250);
/// Time between two questions to an entry that has not told what it holds.
const QUERY_PERIOD: Duration = Duration::from_millis(200);
/// How long cold targets wait for their first report when an entry has told nothing.
const COLD_REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long urgent work is expected to go on after it was last asked for.
const URGENT_RESERVE_DURATION: Duration = Duration::from_secs(60);

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
    pub queue: WaitQueue,
    /// Accounts of the targets.
    pub accounts: BTreeMap<TargetId, TargetAccount>,
    /// How fast each class is served.
    pub grant_rate: GrantRate,
    pub(crate) unanswered_queries: BTreeSet<InstanceId>,
    queried_at: Moment,
    started_at: Moment,
    pub(crate) deadlines_checked_at: Moment,
    pub(crate) last_urgent_at: Option<Moment>,
}

impl ShardState {
    /// Starts a term in which `ask` have to tell what they hold.
    pub fn new(
        now: Moment,
        shard: &Shard,
        epoch: Epoch,
        ask: &[InstanceId],
        owner_state: &OwnerState,
        out: &mut Vec<Action>,
    ) -> Self {
        let mut state = Self {
            shard: shard.clone(),
            epoch,
            exclusive: false,
            queue: WaitQueue::new(),
            accounts: BTreeMap::new(),
            grant_rate: GrantRate::new(),
            unanswered_queries: ask.iter().cloned().collect(),
            queried_at: now,
            started_at: now,
            deadlines_checked_at: now,
            last_urgent_at: None,
        };
        state.send_queries(now, out);
        state.apply_view(now, owner_state);
        state
    }

    /// Asks those that have not told yet. A question may get lost, and without its answer cold
    /// targets would never get work from this owner.
    fn send_queries(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.queried_at = now;
        for entry in &self.unanswered_queries {
            let (shard, epoch) = (self.shard.clone(), self.epoch);
            send(entry, Query { shard, epoch }.into(), out);
        }
    }

    /// Entries that have not yet told what they hold.
    #[must_use]
    pub const fn unanswered_queries(&self) -> &BTreeSet<InstanceId> {
        &self.unanswered_queries
    }

    /// Tells whether permits may be granted: everybody has told what it holds, or whatever an
    /// earlier owner granted and nobody used has lapsed.
    #[must_use]
    pub fn can_grant(&self, now: Moment) -> bool {
        self.unanswered_queries.is_empty() || now >= self.started_at + PERMIT_LIFE + LAPSE_MARGIN
    }

    /// Tells whether a cold target may get work: this owner is alone, it knows of all work that
    /// entries have there, and the target has reported since the term began. Work of an entry
    /// that died shows nowhere else; its former life may even have been this very instance.
    #[must_use]
    pub fn can_grant_cold(&self, now: Moment, account: &TargetAccount) -> bool {
        let reported = account
            .report
            .is_some_and(|report| report.taken_at >= self.started_at);
        self.exclusive
            && self.unanswered_queries.is_empty()
            && (reported || now >= self.started_at + COLD_REPORT_TIMEOUT)
    }

    /// Slots of a target that only urgent work may take.
    #[must_use]
    pub fn urgent_reserve(&self, now: Moment, slots: u32) -> u32 {
        let expected = self
            .last_urgent_at
            .is_some_and(|last| now.saturating_sub(last) < URGENT_RESERVE_DURATION);
        if expected { urgent_slots(slots) } else { 0 }
    }

    /// Takes a target's report; tells whether it was news.
    pub fn record_report(
        &mut self,
        now: Moment,
        target: &TargetId,
        report: TimedReport,
        limits: &TargetLimits,
    ) -> bool {
        self.accounts
            .get_mut(target)
            .is_some_and(|account| account.record_report(now, report, limits))
    }

    /// An entry is gone for good.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.unanswered_queries.remove(peer);
        self.queue.drain_if(|waiting| waiting.entry == *peer);
    }

    /// Marks the permits of an entry's lives before `below` as orphans.
    pub fn orphan(&mut self, now: Moment, entry: &InstanceId, below: u64) {
        for account in self.accounts.values_mut() {
            for (key, permit) in &mut account.permits {
                if key.entry == *entry && permit.entry_incarnation < below {
                    permit.orphaned_at.get_or_insert(now);
                }
            }
        }
    }

    /// Takes note of what is listed now.
    pub fn apply_view(&mut self, now: Moment, owner_state: &OwnerState) {
        for account in self.accounts.values_mut() {
            account.listed = None;
        }
        for target in &owner_state.view.targets {
            if !self.shard.holds(target) {
                continue;
            }
            let account = self
                .accounts
                .entry(target.id.clone())
                .or_insert_with(|| Self::open_account(now, &target.id, owner_state));
            account.listed = Some(target.clone());
            if account.incarnation != Some(target.incarnation) {
                account.start_incarnation(now, target.incarnation);
            }
            if owner_state.started_with_this_view(now, &target.id) {
                account.mark_cold(now);
            }
            if let Some(limits) = owner_state.view.limits.get(&self.shard.service) {
                account.update_warmth(now, limits);
            }
        }
        self.accounts
            .retain(|_, account| account.listed.is_some() || !account.permits.is_empty());
    }

    fn open_account(now: Moment, target: &TargetId, owner_state: &OwnerState) -> TargetAccount {
        let mut account = TargetAccount::new(now);
        account.trusts_warm_report = !owner_state.is_recently_started(now, target);
        account.report = owner_state.report(target);
        account
    }

    /// Time passed: ends what has waited too long.
    pub fn tick(&mut self, now: Moment, owner_state: &mut OwnerState, out: &mut Vec<Action>) {
        self.deny_unservable(now, owner_state, out);
        self.queue.promote_aged(now);
        if !self.unanswered_queries.is_empty() && now >= self.queried_at + QUERY_PERIOD {
            self.send_queries(now, out);
        }
        for account in self.accounts.values_mut() {
            account.drop_ended_orphans(now);
        }
    }
}
