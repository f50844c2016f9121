//! Selects the source from which an instance follows a topic: the store or another instance. No
//! I/O.
//!
//! Without failures the sources form the tree of [`crate::store::fanout`]. The order in which other
//! sources are tried after a failure determines how soon all instances are up to date again, and
//! how many calls to the store that takes.

use std::time::Duration;

use derive_more::Display;
use fastrand::Rng;
use types::{InstanceId, Moment};

use crate::store::fanout::{Ranking, Role, TreePosition, position};

/// Time within which each change must be in force at every instance that reaches the store, whatever
/// has become of its other sources.
pub const CHANGE_LIMIT: Duration = Duration::from_secs(2);
/// How long one call to the store waits for changes. Keys are honoured for less than five seconds
/// after a read was sent, and a follower's state is up to two such calls old.
pub const STORE_WAIT: Duration = Duration::from_millis(800);
/// How long a follower goes without a confirmation of its state before it reads the store itself,
/// however many other instances it has asked meanwhile. A reader confirms its state after each
/// `STORE_WAIT`.
pub const PATIENCE: Duration = Duration::from_millis(1_250);
/// The same for a follower of relays, which read the store earlier and on behalf of many.
pub const LEAF_PATIENCE: Duration = Duration::from_millis(1_450);
/// The longest time from a source's read of the store until its confirmation arrives, besides the time
/// for which that read waited. By more than this the patience of the receiver is shorter.
pub const MAX_CONFIRMATION_DELAY: Duration = Duration::from_millis(150);
/// Time for a read of the store that waits for nothing, after the patience has ended: one lost call
/// on a broken connection, then the answer.
pub const STORE_READ_TIME: Duration = Duration::from_millis(400);
/// Another instance that has held a call for less than this had its answer already, perhaps for some time.
const MIN_HELD: Duration = Duration::from_millis(2);
/// Part of the patience that is left for another instance, if the first one has nothing new, or has
/// not answered.
const LAST_CALL_TIME: Duration = Duration::from_millis(250);
/// The shortest time for which another instance is called.
const MIN_CALL_TIME: Duration = Duration::from_millis(50);
// The whole way of a change, whichever sources are ill.
const _: () = assert!(
    LEAF_PATIENCE.as_millis() + MAX_CONFIRMATION_DELAY.as_millis() + STORE_READ_TIME.as_millis()
        <= CHANGE_LIMIT.as_millis()
);

/// Failed calls to the store in a row after which it is considered unavailable to all instances. A
/// single one may be a broken connection.
const STORE_FAILURE_THRESHOLD: u32 = 3;
/// While the store is considered unavailable, it is tried only in every so many rounds.
const STORE_RETRY_ROUNDS: u32 = 2;
/// Mean number of leaves that try the store in one round if the readers respond but have lost it:
/// enough for one to succeed if the store refuses a third of all instances, and few if it is
/// unavailable to all. Relays always try it, because whole data centres follow them.
const LEAVES_AT_STORE: f64 = 8.0;
/// Attempts at the store in one round.
const MAX_STORE_ATTEMPTS: usize = 2;
/// Failures in a row after which an instance considers itself without a source. A single one may be
/// a broken connection.
const FAILURE_THRESHOLD: u32 = 2;
/// State of less than this age is as recent as after a call to the store that has waited for changes.
const RECENT_STATE_AGE: Duration = Duration::from_millis(200);
/// How long a fallback source is used before the preferred one is tried again.
const FALLBACK_TIME: Duration = Duration::from_millis(1_500);

/// The source from which a topic is followed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// The store.
    #[display("the store")]
    Store,
    /// Another instance.
    #[display("{_0}")]
    Peer(InstanceId),
}

/// The limits of a call to another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// How long the other instance may wait for changes.
    pub wait: Duration,
    /// How long its answer is awaited.
    pub timeout: Duration,
}

/// How another instance has held a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hold {
    /// How long.
    pub time: Duration,
    /// How long it was allowed to.
    pub limit: Duration,
}

/// An answer of a source with current state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// When the read of the store was sent that confirmed the state.
    pub read_at: Moment,
    /// How another instance has held the call; none if the source is the store.
    pub hold: Option<Hold>,
}

impl Confirmation {
    /// The earliest time up to which the state may have the changes of the store, if it arrives now.
    fn current_until(&self, now: Moment) -> Moment {
        // Another instance answers as soon as a read of the store has ended, which has waited for changes.
        // Before and after its wait it answers with what it had already.
        let is_new = self
            .hold
            .is_none_or(|hold| (MIN_HELD..hold.limit).contains(&hold.time));
        let waited = if is_new { STORE_WAIT } else { Duration::ZERO };
        now.min(self.read_at.saturating_add(waited + MAX_CONFIRMATION_DELAY))
    }
}

/// How a source failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SourceFailure {
    /// The source did not answer or refused.
    NoAnswer,
    /// The source answered, but its own state is stale.
    Stale,
}

/// Selects sources. A round tries each eligible source until one succeeds or all have failed.
#[derive(Debug)]
pub struct SourceSelector {
    rng: Rng,
    /// Whether a leaf prefers the second of its two upstream instances; spreads the load.
    prefers_second: bool,
    /// This instance's position in the tree at the last selection.
    position: TreePosition,
    /// One more peer besides those upstream, for this round.
    extra_peer: Option<InstanceId>,
    /// Whether the store may be tried in this round although peers respond.
    tries_store: bool,
    /// The fallback source in use, and since when.
    fallback: Option<(Source, Moment)>,
    /// The sources that have failed in this round, and how.
    failed: Vec<(Source, SourceFailure)>,
    /// Failures of any source in a row.
    failures: u32,
    /// Rounds in a row in which all sources failed.
    failed_rounds: u32,
    /// Failed calls to the store in a row.
    store_failures: u32,
    /// Up to when the state is known to be current.
    confirmed_until: Option<Moment>,
    /// Whether the store has failed since the last success of any source.
    store_has_failed: bool,
    /// Whether the store was selected because the patience has ended.
    is_overdue: bool,
}

impl SourceSelector {
    /// A selector without any failure.
    #[must_use]
    pub fn new(mut rng: Rng) -> Self {
        Self {
            prefers_second: rng.bool(),
            rng,
            position: TreePosition {
                role: Role::Leaf,
                upstream: Vec::new(),
                follows_relays: false,
            },
            extra_peer: None,
            tries_store: true,
            fallback: None,
            failed: Vec::new(),
            failures: 0,
            failed_rounds: 0,
            store_failures: 0,
            confirmed_until: None,
            store_has_failed: false,
            is_overdue: false,
        }
    }

    /// The source to use now.
    pub fn next(&mut self, now: Moment, me: &InstanceId, ranking: &Ranking) -> Source {
        self.position = position(me, ranking, self.prefers_second);
        if self.failed.is_empty() {
            self.tries_store = self.draw_store_attempt(ranking.all.len());
        }
        self.is_overdue = self.must_read_store(now);
        if let Some((source, since)) = &self.fallback
            && !self.is_overdue
        {
            let is_valid =
                since.saturating_add(FALLBACK_TIME) >= now && self.is_responsive(source, ranking);
            if is_valid {
                return source.clone();
            }
            self.fallback = None;
        }
        self.draw_extra_peer(me, &ranking.all);
        let source = self
            .untried()
            .filter(|_| !self.is_overdue)
            .unwrap_or(Source::Store);
        // A peer that did not answer is left out of the ranking anyway, and the next one replaces
        // it. One that answers with stale state would be selected again and again, so its
        // replacement is kept for a while.
        let has_stale = self
            .failed
            .iter()
            .any(|(_, failure)| *failure == SourceFailure::Stale);
        self.fallback = has_stale.then(|| (source.clone(), now));
        source
    }

    /// Whether a call to the store should be answered at once and not wait for changes: a source has failed since
    /// the last success, and the cached state is of this age, if there is any. While a peer fails at once and the
    /// store answers, the state is recent, and immediate calls would follow one another without a pause.
    #[must_use]
    pub fn needs_immediate_answer(&self, state_age: Option<Duration>) -> bool {
        (self.failures > 0 || self.is_overdue)
            && state_age.is_none_or(|age| age >= RECENT_STATE_AGE)
    }

    /// The limits of a call to another instance that begins now: all calls since the last confirmation
    /// share the patience.
    #[must_use]
    pub fn call_limits(&self, now: Moment) -> CallLimits {
        let left = self
            .patience_left(now)
            .filter(|left| *left >= MIN_CALL_TIME);
        let timeout = left.unwrap_or_else(|| self.patience());
        CallLimits {
            wait: timeout.saturating_sub(LAST_CALL_TIME),
            timeout,
        }
    }

    /// The pause after a failed round, cut where the store must be read before its end.
    #[must_use]
    pub fn cut_pause(&self, now: Moment, pause: Duration) -> Duration {
        match self.patience_left(now) {
            Some(left) if !self.store_has_failed => pause.min(left),
            _ => pause,
        }
    }

    /// Whether this instance has no source, so that its followers should not wait for it: several
    /// sources in a row have failed. For a reader only failures of the store count, because its
    /// other sources may be following it.
    #[must_use]
    pub fn has_no_source(&self) -> bool {
        let failures = match self.position.role {
            Role::Reader => self.store_failures,
            Role::Relay | Role::Leaf => self.failures,
        };
        failures >= FAILURE_THRESHOLD
    }

    /// Rounds in a row in which all sources failed.
    #[must_use]
    pub const fn failed_rounds(&self) -> u32 {
        self.failed_rounds
    }

    /// Failed calls to the store in a row.
    #[must_use]
    pub const fn store_failures(&self) -> u32 {
        self.store_failures
    }

    /// Records that the store has answered, whatever the answer.
    pub const fn record_store_answer(&mut self) {
        self.store_failures = 0;
    }

    /// Records that a source has supplied current state.
    pub fn record_success(&mut self, now: Moment, confirmation: &Confirmation) {
        // An instance that has just started follows the others at first, as all may start together.
        let is_first = self.confirmed_until.is_none();
        let until = if is_first {
            now
        } else {
            confirmation.current_until(now)
        };
        self.confirmed_until = Some(until);
        self.store_has_failed = false;
        self.failures = 0;
        self.failed_rounds = 0;
        self.failed.clear();
    }

    /// Records the failure of a source. Returns whether all sources of the round have failed.
    pub fn record_failure(&mut self, source: &Source, failure: SourceFailure) -> bool {
        if *source == Source::Store {
            self.store_failures = self.store_failures.saturating_add(1);
            self.store_has_failed = true;
        }
        self.failures = self.failures.saturating_add(1);
        self.fallback = None;
        self.failed.push((source.clone(), failure));
        if self.untried().is_some() {
            return false;
        }
        self.failed.clear();
        self.extra_peer = None;
        self.failed_rounds = self.failed_rounds.saturating_add(1);
        true
    }

    /// How long this instance waits without a confirmation until it reads the store.
    fn patience(&self) -> Duration {
        if self.position.follows_relays {
            LEAF_PATIENCE
        } else {
            PATIENCE
        }
    }

    /// What is left of the patience; none before the first confirmation.
    fn patience_left(&self, now: Moment) -> Option<Duration> {
        let end = self.confirmed_until?.saturating_add(self.patience());
        Some(end.saturating_sub(now))
    }

    /// Whether the patience has ended. The store is then read once, until another source supplies
    /// current state: it may be unavailable to all.
    fn must_read_store(&self, now: Moment) -> bool {
        let is_over = self
            .patience_left(now)
            .is_some_and(|left| left < MIN_CALL_TIME);
        is_over && !self.store_has_failed && self.untried_store().is_some()
    }

    /// The next source of this round that has not failed.
    fn untried(&self) -> Option<Source> {
        if self.position.role == Role::Reader {
            let store = self.untried_store();
            return store.or_else(|| self.untried_peer());
        }
        let has_silent_peer = self.failed.iter().any(|(source, failure)| {
            matches!(source, Source::Peer(_)) && *failure == SourceFailure::NoAnswer
        });
        // The next peer may have failed together with the one that did not answer, and two timeouts
        // in a row would take too long.
        if has_silent_peer && self.may_try_store() {
            let store = self.untried_store();
            return store.or_else(|| self.untried_peer());
        }
        self.untried_peer().or_else(|| {
            let tries_store = self.tries_store || self.position.upstream.is_empty();
            tries_store.then(|| self.untried_store()).flatten()
        })
    }

    /// The store, at most twice in a round: a broken connection does not mean that the store is
    /// unavailable.
    fn untried_store(&self) -> Option<Source> {
        let attempts = self.failed.iter().filter(|(s, _)| *s == Source::Store);
        (attempts.count() < MAX_STORE_ATTEMPTS).then_some(Source::Store)
    }

    /// The upstream instances; after a failure also one more peer, which may still have access to
    /// the store and takes no call to it.
    fn untried_peer(&self) -> Option<Source> {
        let extra = self.extra_peer.iter().filter(|_| !self.failed.is_empty());
        let all = self.position.upstream.iter().chain(extra);
        let mut peers = all.cloned().map(Source::Peer);
        peers.find(|peer| self.failed.iter().all(|(failed, _)| failed != peer))
    }

    fn may_try_store(&self) -> bool {
        let is_unavailable = self.store_failures >= STORE_FAILURE_THRESHOLD;
        !is_unavailable || self.failed_rounds.is_multiple_of(STORE_RETRY_ROUNDS)
    }

    /// Whether a source is the store or a responsive instance.
    fn is_responsive(&self, source: &Source, ranking: &Ranking) -> bool {
        match source {
            Source::Store => true,
            Source::Peer(id) => ranking.all.contains(id),
        }
    }

    fn draw_extra_peer(&mut self, me: &InstanceId, all: &[InstanceId]) {
        if self.extra_peer.is_none() {
            let upstream = &self.position.upstream;
            let rest = all.iter().filter(|id| *id != me && !upstream.contains(id));
            let rest: Vec<&InstanceId> = rest.collect();
            self.extra_peer = self.rng.choice(rest).cloned();
        }
    }

    /// Whether this instance is one of the few that try the store in this round although peers
    /// respond.
    fn draw_store_attempt(&mut self, instances: usize) -> bool {
        if !self.may_try_store() {
            return false;
        }
        if self.position.role == Role::Relay {
            return true;
        }
        let count = u32::try_from(instances).unwrap_or(u32::MAX);
        let probability = LEAVES_AT_STORE / f64::from(count.max(1));
        self.rng.f64() < probability
    }
}
