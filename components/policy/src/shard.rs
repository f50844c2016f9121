//! What an owner knows of one shard: its accounts and the asks that wait.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use types::{Class, DataCentreId, Epoch, InstanceId, Moment, Shard, Standing, TargetId};
pub use wire::PERMIT_LIFE;
use wire::{Ask, ShardSummary};

use crate::{account::Account, api::TargetLimits, line::Line};

/// Added to a permit's life where an owner waits for permits to lapse, for clocks that run at
/// slightly different rates.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(250);
/// Weight of one finished request in the estimate of the time between two.
const PACE_WEIGHT: f64 = 0.05;

/// One shard as its owner sees it.
#[derive(Debug)]
pub struct ShardState {
    /// Which shard.
    pub shard: Shard,
    /// The term of ownership.
    pub epoch: Epoch,
    /// When the term began.
    pub began: Moment,
    /// Entries that have not yet told what they hold.
    pub awaiting: BTreeSet<InstanceId>,
    /// Whether cold targets may get work.
    pub exclusive: bool,
    /// Asks that wait.
    pub line: Line,
    /// Accounts of the targets.
    pub accounts: BTreeMap<TargetId, Account>,
    pace: Pace,
}

impl ShardState {
    /// Starts a term in which `ask` have to tell what they hold.
    #[must_use]
    pub fn new(shard: Shard, epoch: Epoch, now: Moment, ask: &[InstanceId]) -> Self {
        Self {
            shard,
            epoch,
            began: now,
            awaiting: ask.iter().cloned().collect(),
            exclusive: false,
            line: Line::new(),
            accounts: BTreeMap::new(),
            pace: Pace::default(),
        }
    }

    /// Tells whether permits may be granted: everybody has told what it holds, or whatever an
    /// earlier owner granted has lapsed.
    #[must_use]
    pub fn granting(&self, now: Moment) -> bool {
        self.awaiting.is_empty() || now >= self.began + PERMIT_LIFE + LAPSE_MARGIN
    }

    /// Takes note that a request ended.
    pub fn ended(&mut self, now: Moment) {
        self.pace.ended(now, self.line.is_empty());
    }

    /// Expected wait of a new ask, `None` before enough is known.
    #[must_use]
    pub fn expected_wait(&self, class: Class) -> Option<Duration> {
        self.pace.wait(self.line.ahead(class))
    }

    /// What others should know.
    #[must_use]
    pub fn summary(
        &self,
        now: Moment,
        limits: Option<&TargetLimits>,
        out: &[DataCentreId],
    ) -> ShardSummary {
        let open: Vec<&Account> = self
            .accounts
            .values()
            .filter(|account| is_open(account, out))
            .collect();
        let slots: u32 = limits.map_or(0, |limits| {
            open.iter().map(|a| a.limiter.slots(limits)).sum()
        });
        let occupied: u32 = open.iter().map(|account| account.occupied()).sum();
        let wait = self.expected_wait(Class::Normal).unwrap_or_default();
        ShardSummary {
            shard: self.shard.clone(),
            epoch: self.epoch,
            granting: self.granting(now),
            load: occupied as f32 / slots.max(1) as f32,
            queued: u32::try_from(self.line.len()).unwrap_or(u32::MAX),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            targets: u32::try_from(open.len()).unwrap_or(u32::MAX),
        }
    }

    /// Chooses a target with room for an ask: the one with the smallest share in use.
    #[must_use]
    pub fn choose(
        &self,
        ask: &Ask,
        limits: &TargetLimits,
        out: &[DataCentreId],
    ) -> Option<TargetId> {
        self.accounts
            .iter()
            .filter(|(id, account)| {
                !ask.avoid.contains(id)
                    && is_open(account, out)
                    && (self.exclusive || !account.limiter.is_cold())
                    && has_room(account, ask, limits)
            })
            .min_by_key(|(_, account)| (account.reserved(), account.occupied()))
            .map(|(id, _)| id.clone())
    }
}

/// Tells whether a target may get new work at all.
#[must_use]
pub fn is_open(account: &Account, out: &[DataCentreId]) -> bool {
    let Some(listed) = &account.listed else {
        return false;
    };
    let same_life = account
        .report
        .is_none_or(|report| report.report.incarnation == listed.incarnation);
    listed.standing == Standing::Live && !out.contains(&listed.data_centre) && same_life
}

fn has_room(account: &Account, ask: &Ask, limits: &TargetLimits) -> bool {
    let occupied = account.occupied();
    if occupied + ask.slots.max(1) > account.limiter.slots(limits) {
        return false;
    }
    let capacity = account
        .report
        .map_or(limits.memory, |report| report.report.capacity);
    occupied == 0 || account.reserved() + ask.prompt + ask.max_output <= capacity
}

/// How fast requests end while others wait.
#[derive(Debug, Default)]
struct Pace {
    last: Option<Moment>,
    between: Option<f64>,
}

impl Pace {
    fn ended(&mut self, now: Moment, idle: bool) {
        let last = self.last.replace(now);
        if idle {
            self.last = None;
            return;
        }
        let Some(last) = last else { return };
        let gap = now.saturating_sub(last).as_secs_f64();
        let between = self.between.get_or_insert(gap);
        *between += PACE_WEIGHT * (gap - *between);
    }

    fn wait(&self, ahead: usize) -> Option<Duration> {
        let between = self.between?;
        Some(Duration::from_secs_f64(between * (ahead as f64)))
    }
}
