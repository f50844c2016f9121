//! Where an instance follows a topic of the store: at the store, or at another instance. No I/O.
//!
//! Two instances, the readers, follow the store for all. Which source comes next when one fails
//! decides how soon everybody knows again, and how many calls that costs: on eighty instances a
//! single round in which each asks the store itself costs as much as ten seconds of following.

use std::time::Duration;

use derive_more::Display;
use fastrand::Rng;
use types::{InstanceId, Moment};

/// Instances that read a topic at the store. A second one, so that nobody has to wait when the
/// first is stopped.
pub const READERS: usize = 2;
/// Failures of the store in a row after which a follower takes it for lost to all. One alone may be
/// a connection that was cut.
const STORE_FAILURES: u32 = 3;
/// Rounds of failures between two in which a follower then asks the store itself.
const STORE_EVERY: u32 = 2;
/// Followers that ask the store in one round where the readers answer and have lost it: enough that
/// one gets through where it turns a third of all away, and few where it is away for all.
const FOLLOWERS_ASK: f64 = 8.0;
/// How long another source than the first choice is kept before the first is tried again.
const KEEP_SOURCE: Duration = Duration::from_millis(1_500);

/// Where a topic is followed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// The store itself.
    #[display("the store")]
    Store,
    /// Another instance.
    #[display("{_0}")]
    Peer(InstanceId),
}

/// How a source failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failing {
    /// It did not answer, or refused.
    Silent,
    /// It answered, and knows nothing new itself.
    Stale,
}

/// Chooses among sources.
#[derive(Debug)]
pub struct Sources {
    rng: Rng,
    /// Which of two readers is followed; followers spread over both.
    turn: bool,
    /// Sources that failed in a row, which are passed over.
    skipped: usize,
    /// Sources in the list at present.
    count: usize,
    /// When a source behind the first was taken.
    strayed: Option<Moment>,
    /// Peers in a row that answered and knew nothing new.
    stale: u32,
    /// Rounds in a row in which all sources failed.
    rounds: u32,
    /// Failures of the store itself in a row.
    store_failures: u32,
    /// This instance reads the topic at the store for others.
    reads: bool,
    /// A peer beside the readers that is asked where these have lost the store.
    third: Option<InstanceId>,
    /// In this round the store may be asked although readers answer.
    asks_store: bool,
}

impl Sources {
    /// Nothing has failed yet.
    #[must_use]
    pub fn new(mut rng: Rng) -> Self {
        Self {
            turn: rng.bool(),
            rng,
            skipped: 0,
            count: 1,
            strayed: None,
            stale: 0,
            rounds: 0,
            store_failures: 0,
            reads: false,
            third: None,
            asks_store: true,
        }
    }

    /// The source to ask now. `ranked` are the instances that answer, this one among them, those
    /// first that should read.
    pub fn next(&mut self, now: Moment, me: &InstanceId, ranked: &[InstanceId]) -> Source {
        if self.strayed.is_some_and(|at| at + KEEP_SOURCE < now) {
            self.skipped = 0;
            self.stale = 0;
            self.strayed = None;
        }
        let list = self.list(me, ranked);
        self.count = list.len();
        list[self.skipped % list.len()].clone()
    }

    /// Whether the store was lost to an instance that reads it for others, which then does not wait
    /// for a call that may never be answered.
    #[must_use]
    pub const fn has_lost_store(&self) -> bool {
        self.reads && (self.rounds > 0 || self.store_failures > 0)
    }

    /// Rounds in a row in which all sources failed.
    #[must_use]
    pub const fn rounds(&self) -> u32 {
        self.rounds
    }

    /// Calls to the store in a row that failed.
    #[must_use]
    pub const fn store_failures(&self) -> u32 {
        self.store_failures
    }

    /// Notes that the store answered, whatever it said.
    pub const fn store_answered(&mut self) {
        self.store_failures = 0;
    }

    /// Notes that a source served.
    pub const fn served(&mut self) {
        self.rounds = 0;
    }

    /// Notes that a source failed; tells whether all have failed by now.
    pub fn failed(&mut self, now: Moment, source: &Source, how: Failing) -> bool {
        match (source, how) {
            (Source::Store, _) => self.store_failures = self.store_failures.saturating_add(1),
            (Source::Peer(_), Failing::Stale) => self.stale = self.stale.saturating_add(1),
            (Source::Peer(_), Failing::Silent) => {}
        }
        self.skipped += 1;
        self.strayed = Some(now);
        if !self.skipped.is_multiple_of(self.count) {
            return false;
        }
        self.skipped = 0;
        self.rounds = self.rounds.saturating_add(1);
        self.third = None;
        true
    }

    fn list(&mut self, me: &InstanceId, ranked: &[InstanceId]) -> Vec<Source> {
        let readers = &ranked[..ranked.len().min(READERS)];
        self.reads = readers.contains(me);
        let others = readers.iter().filter(|id| *id != me).cloned();
        let mut list: Vec<Source> = others.map(Source::Peer).collect();
        if self.reads {
            // Twice: a connection that the store cut says nothing about the store.
            list.insert(0, Source::Store);
            list.insert(0, Source::Store);
            return list;
        }
        if self.turn && list.len() > 1 {
            list.swap(0, 1);
        }
        if self.skipped == 0 {
            self.asks_store = self.draw_store(ranked.len());
        }
        if self.stale == 0 {
            self.add_store(&mut list);
        } else {
            self.add_beside_stale(&mut list, me, ranked);
        }
        list
    }

    const fn lost_to_all(&self) -> bool {
        self.store_failures >= STORE_FAILURES
    }

    /// Where a reader is silent the store comes next: the other reader may have failed with it, and
    /// two waits would be too long.
    fn add_store(&self, list: &mut Vec<Source>) {
        if list.is_empty() || !self.lost_to_all() || self.rounds.is_multiple_of(STORE_EVERY) {
            let second = list.len().min(1);
            list.insert(second, Source::Store);
            list.insert(second, Source::Store);
        }
    }

    /// Where a reader answers and has lost the store, the others are asked first, which costs
    /// nothing: one of them may get through.
    fn add_beside_stale(&mut self, list: &mut Vec<Source>, me: &InstanceId, ranked: &[InstanceId]) {
        if self.third.is_none() {
            let rest = ranked.iter().skip(READERS).filter(|id| *id != me);
            let rest: Vec<&InstanceId> = rest.collect();
            self.third = self.rng.choice(rest).cloned();
        }
        list.extend(self.third.clone().map(Source::Peer));
        if self.asks_store || list.is_empty() {
            list.push(Source::Store);
            list.push(Source::Store);
        }
    }

    /// Whether this follower is one of the few that ask the store in this round.
    fn draw_store(&mut self, instances: usize) -> bool {
        if self.lost_to_all() && !self.rounds.is_multiple_of(STORE_EVERY) {
            return false;
        }
        let count = u32::try_from(instances).unwrap_or(u32::MAX);
        let chance = FOLLOWERS_ASK / f64::from(count.max(1));
        self.rng.f64() < chance
    }
}
