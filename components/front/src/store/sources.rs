//! Where an instance follows a topic of the store: at the store, or at another instance. No I/O.
//!
//! Who follows whom while all goes well is the tree of [`crate::store::fanout`]. Which source comes next
//! when one fails decides how soon all know again, and how many calls to the store that costs.

use std::time::Duration;

use derive_more::Display;
use fastrand::Rng;
use types::{InstanceId, Moment};

use crate::store::fanout::{Ranking, Role, TreePosition, position};

/// Failures of the store in a row after which a follower takes it for lost to all. One alone may be
/// a connection that was cut.
const STORE_FAILURES: u32 = 3;
/// Rounds of failures between two in which a follower then asks the store itself.
const STORE_EVERY: u32 = 2;
/// Leaves that ask the store in one round where the readers answer and have lost it: enough that
/// one gets through where it turns a third of all away, and few where it is away for all. Relays
/// always ask, for whole data centres follow them.
const LEAVES_ASK: f64 = 8.0;
/// Times that the store is asked in one round.
const STORE_TRIES: usize = 2;
/// Failures in a row after which an instance takes itself for one that has no source. One alone may
/// be a connection that was cut.
const FAILURES: u32 = 2;
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
pub enum SourceFailure {
    /// It did not answer, or refused.
    NoAnswer,
    /// It answered, and knows nothing new itself.
    Stale,
}

/// Chooses among sources.
#[derive(Debug)]
pub struct SourceSelector {
    rng: Rng,
    /// Which of two instances a leaf follows first; leaves spread over both.
    turn: bool,
    /// This instance's place in the tree, as it was last asked for.
    position: TreePosition,
    /// A peer beside those upstream, for this round.
    third: Option<InstanceId>,
    /// In this round the store may be asked although peers answer.
    asks_store: bool,
    /// The source that served last, and when it became the one.
    current: Option<(Source, Moment)>,
    /// Sources that have failed in this round.
    tried: Vec<(Source, SourceFailure)>,
    /// Failures in a row, of whatever source.
    failures: u32,
    /// Rounds in a row in which all sources failed.
    rounds: u32,
    /// Failures of the store itself in a row.
    store_failures: u32,
}

impl SourceSelector {
    /// Nothing has failed yet.
    #[must_use]
    pub fn new(mut rng: Rng) -> Self {
        Self {
            turn: rng.bool(),
            rng,
            position: TreePosition {
                role: Role::Leaf,
                upstream: Vec::new(),
            },
            third: None,
            asks_store: true,
            current: None,
            tried: Vec::new(),
            failures: 0,
            rounds: 0,
            store_failures: 0,
        }
    }

    /// The source to ask now.
    pub fn next(&mut self, now: Moment, me: &InstanceId, ranking: &Ranking) -> Source {
        self.position = position(me, ranking, self.turn);
        if self.tried.is_empty() {
            self.asks_store = self.draw_store(ranking.all.len());
        }
        if let Some((source, since)) = &self.current {
            let stays = since.saturating_add(KEEP_SOURCE) >= now && self.is_there(source, ranking);
            if stays {
                return source.clone();
            }
            self.current = None;
        }
        self.draw_third(me, &ranking.all);
        let source = self.untried().unwrap_or(Source::Store);
        // Where a peer was silent it is left out from now on, and the next one is as good as it was.
        // One that answers and has lost the store would be asked in vain again and again.
        let stale = self
            .tried
            .iter()
            .any(|(_, how)| *how == SourceFailure::Stale);
        self.current = stale.then(|| (source.clone(), now));
        source
    }

    /// Whether something has failed since a source served last. A call to the store should then be
    /// answered at once, and not when something changes: knowledge is old already.
    #[must_use]
    pub const fn needs_immediate_answer(&self) -> bool {
        self.failures > 0
    }

    /// Whether those that follow this instance should not wait for it: several sources in a row have
    /// failed. A reader without the store counts as such also while another instance tells it,
    /// which may follow this one.
    #[must_use]
    pub fn has_no_source(&self) -> bool {
        let failures = match self.position.role {
            Role::Reader => self.store_failures,
            Role::Relay | Role::Leaf => self.failures,
        };
        failures >= FAILURES
    }

    /// Rounds in a row in which all sources failed.
    #[must_use]
    pub const fn failed_rounds(&self) -> u32 {
        self.rounds
    }

    /// Calls to the store in a row that failed.
    #[must_use]
    pub const fn store_failures(&self) -> u32 {
        self.store_failures
    }

    /// Notes that the store answered, whatever it said.
    pub const fn record_store_answer(&mut self) {
        self.store_failures = 0;
    }

    /// Notes that a source served.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.rounds = 0;
        self.tried.clear();
    }

    /// Notes that a source failed; tells whether all have failed by now.
    pub fn record_failure(&mut self, source: &Source, how: SourceFailure) -> bool {
        if *source == Source::Store {
            self.store_failures = self.store_failures.saturating_add(1);
        }
        self.failures = self.failures.saturating_add(1);
        self.current = None;
        self.tried.push((source.clone(), how));
        if self.untried().is_some() {
            return false;
        }
        self.tried.clear();
        self.third = None;
        self.rounds = self.rounds.saturating_add(1);
        true
    }

    /// The next source of this round.
    fn untried(&self) -> Option<Source> {
        if self.position.role == Role::Reader {
            let store = self.untried_store();
            return store.or_else(|| self.untried_peer());
        }
        let silent = self.tried.iter().any(|(source, how)| {
            matches!(source, Source::Peer(_)) && *how == SourceFailure::NoAnswer
        });
        // The next peer may have failed together with one that is silent, and two waits would be too
        // long.
        if silent && self.may_ask_store() {
            let store = self.untried_store();
            return store.or_else(|| self.untried_peer());
        }
        self.untried_peer().or_else(|| {
            let asks = self.asks_store || self.position.upstream.is_empty();
            asks.then(|| self.untried_store()).flatten()
        })
    }

    /// The store, twice in a round: a connection that the store cut says nothing about the store.
    fn untried_store(&self) -> Option<Source> {
        let tries = self.tried.iter().filter(|(s, _)| *s == Source::Store);
        (tries.count() < STORE_TRIES).then_some(Source::Store)
    }

    /// Those upstream, and one peer more where these answer and have lost the store: it may get
    /// through, and costs nothing.
    fn untried_peer(&self) -> Option<Source> {
        let third = self.third.iter().filter(|_| !self.tried.is_empty());
        let all = self.position.upstream.iter().chain(third);
        let mut peers = all.cloned().map(Source::Peer);
        peers.find(|peer| self.tried.iter().all(|(tried, _)| tried != peer))
    }

    fn may_ask_store(&self) -> bool {
        let lost_to_all = self.store_failures >= STORE_FAILURES;
        !lost_to_all || self.rounds.is_multiple_of(STORE_EVERY)
    }

    /// Whether a source is the store or an instance that answers.
    fn is_there(&self, source: &Source, ranking: &Ranking) -> bool {
        match source {
            Source::Store => true,
            Source::Peer(id) => ranking.all.contains(id),
        }
    }

    fn draw_third(&mut self, me: &InstanceId, all: &[InstanceId]) {
        if self.third.is_none() {
            let upstream = &self.position.upstream;
            let rest = all.iter().filter(|id| *id != me && !upstream.contains(id));
            let rest: Vec<&InstanceId> = rest.collect();
            self.third = self.rng.choice(rest).cloned();
        }
    }

    /// Whether this instance is one of the few that ask the store in this round although peers
    /// answer.
    fn draw_store(&mut self, instances: usize) -> bool {
        if !self.may_ask_store() {
            return false;
        }
        if self.position.role == Role::Relay {
            return true;
        }
        let count = u32::try_from(instances).unwrap_or(u32::MAX);
        let chance = LEAVES_ASK / f64::from(count.max(1));
        self.rng.f64() < chance
    }
}
