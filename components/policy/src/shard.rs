//! The owner's state of one shard: accounts of its targets and the queue of permit requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{Epoch, InstanceId, Moment, Shard, TargetId};
pub use wire::PERMIT_LIFETIME;
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

/// Added to a permit's lifetime when an owner waits for permits to expire, as clocks may run at
/// slightly different rates.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(250);
/// Interval between queries to an entry that has not answered.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// How long a cold target waits for its first load report of the term.
const COLD_REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long slots stay reserved for urgent work after the last urgent request.
const URGENT_RESERVE_DURATION: Duration = Duration::from_secs(60);

/// One shard as its owner sees it.
#[derive(Debug)]
pub struct ShardState {
    /// The shard.
    pub shard: Shard,
    /// The term of ownership.
    pub epoch: Epoch,
    /// Whether this instance is the only owner, so that cold targets may get work.
    pub exclusive: bool,
    /// Permit requests that wait.
    pub queue: WaitQueue,
    /// Accounts of the shard's targets.
    pub accounts: BTreeMap<TargetId, TargetAccount>,
    /// Rate at which requests of each class are granted.
    pub grant_rate: GrantRate,
    pub(crate) unanswered_queries: BTreeSet<InstanceId>,
    queried_at: Moment,
    term_started_at: Moment,
    pub(crate) deadlines_checked_at: Moment,
    pub(crate) last_urgent_at: Option<Moment>,
}

impl ShardState {
    /// Starts a term in which the entries in `entries_to_query` have to report the permits that
    /// they hold.
    pub fn new(
        now: Moment,
        shard: &Shard,
        epoch: Epoch,
        entries_to_query: &[InstanceId],
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
            unanswered_queries: entries_to_query.iter().cloned().collect(),
            queried_at: now,
            term_started_at: now,
            deadlines_checked_at: now,
            last_urgent_at: None,
        };
        state.send_queries(now, out);
        state.apply_view(now, owner_state);
        state
    }

    /// Queries the entries that have not answered. A query may get lost, and without an answer cold
    /// targets would never get work from this owner.
    fn send_queries(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.queried_at = now;
        for entry in &self.unanswered_queries {
            let (shard, epoch) = (self.shard.clone(), self.epoch);
            send(entry, Query { shard, epoch }.into(), out);
        }
    }

    /// Entries that have not yet reported the permits that they hold.
    #[must_use]
    pub const fn unanswered_queries(&self) -> &BTreeSet<InstanceId> {
        &self.unanswered_queries
    }

    /// Returns whether permits may be granted: all entries have reported the permits that they
    /// hold, or all unused permits of an earlier owner have expired.
    #[must_use]
    pub fn can_grant(&self, now: Moment) -> bool {
        self.unanswered_queries.is_empty()
            || now >= self.term_started_at + PERMIT_LIFETIME + EXPIRY_MARGIN
    }

    /// Returns whether a cold target may get work: this is the only owner, it knows all work that
    /// entries have placed there, and the target has reported since the term began. Only such a
    /// report shows the work of an entry that died, which may have been an earlier incarnation of
    /// this very instance.
    #[must_use]
    pub fn can_grant_cold(&self, now: Moment, account: &TargetAccount) -> bool {
        let reported = account
            .report
            .is_some_and(|report| report.taken_at >= self.term_started_at);
        self.exclusive
            && self.unanswered_queries.is_empty()
            && (reported || now >= self.term_started_at + COLD_REPORT_TIMEOUT)
    }

    /// Returns how many of a target's slots are reserved for urgent work at present.
    #[must_use]
    pub fn urgent_reserve(&self, now: Moment, slots: u32) -> u32 {
        let expected = self
            .last_urgent_at
            .is_some_and(|last| now.saturating_sub(last) < URGENT_RESERVE_DURATION);
        if expected { urgent_slots(slots) } else { 0 }
    }

    /// Records a target's load report. Returns whether it is newer than the last one.
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

    /// Removes a lost entry's requests, and no longer waits for its answer.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        self.unanswered_queries.remove(peer);
        self.queue.drain_if(|queued| queued.entry == *peer);
    }

    /// Marks permits of an entry's incarnations before `below` as orphaned.
    pub fn orphan(&mut self, now: Moment, entry: &InstanceId, below: u64) {
        for account in self.accounts.values_mut() {
            for (key, permit) in &mut account.permits {
                if key.entry == *entry && permit.entry_incarnation < below {
                    permit.orphaned_at.get_or_insert(now);
                }
            }
        }
    }

    /// Updates the accounts to the target listing in force.
    pub fn apply_view(&mut self, now: Moment, owner_state: &OwnerState) {
        for account in self.accounts.values_mut() {
            account.listed = None;
        }
        for target in &owner_state.view.targets {
            if !self.shard.contains(target) {
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

    /// Handles time-outs: denies requests that can't be served in time, repeats queries, and drops
    /// orphaned permits.
    pub fn tick(&mut self, now: Moment, owner_state: &mut OwnerState, out: &mut Vec<Action>) {
        self.deny_unservable(now, owner_state, out);
        self.queue.promote_aged(now);
        if !self.unanswered_queries.is_empty() && now >= self.queried_at + QUERY_INTERVAL {
            self.send_queries(now, out);
        }
        for account in self.accounts.values_mut() {
            account.drop_ended_orphans(now);
        }
    }
}
