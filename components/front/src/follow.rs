//! Follows the store, at the store itself or at instances that follow it, and acts on what is new.
//!
//! Each call to the store has its price, and a store that turns some instances away serves the
//! others still. So two instances read each topic at the store, and the rest follow it there: an
//! instance that is cut off from the store learns as early as the others, and as truthfully, for
//! the age of the knowledge comes along.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use timer::boot_time;
use types::{DataCentreId, InstanceId, Moment, TargetId};
use view::Change;

use crate::{
    eager::first_answer,
    face::{Record, Store, StoreError},
    leaving,
    refuse::millis,
    shelf::Shelf,
    state::Front,
    wire::{Message, News, Reply, Row, Topic},
};

/// Instances that read a topic at the store. A second one, so that nobody has to wait when the
/// first is stopped.
const READERS: usize = 2;
/// How long one call to the store waits for changes. Keys are honoured for less than five seconds
/// after a read was sent; a follower's knowledge is two such calls old when it comes, and a reader
/// that falls silent and the turn to the next source must fit into that too. What changes must be
/// in force everywhere within two seconds: a peer's wait and patience, then a read of the store.
const STORE_WAIT: Duration = Duration::from_millis(800);
/// How long a peer may wait with its answer, as a part of a reader's own wait. It answers when its
/// own call ends, which is a little later than its wait.
const PEER_WAIT_PART: f64 = 1.45;
/// Time for a peer to answer beyond what it was allowed to wait.
const PEER_PATIENCE: Duration = Duration::from_millis(250);
/// Pause after an answer of the store that brought changes. It delays what comes next by as much;
/// engines that leave have at least 1.5 s.
const GATHER: Duration = Duration::from_millis(40);
/// A reader's knowledge is as old as its call to the store when it replies: 0.8 s, and up to 0.4 s
/// more where the store is slow. Older, and the reader itself has lost the store.
pub const PEER_AGE: Duration = Duration::from_millis(1_500);
/// Failures of the store in a row after which a follower takes it for lost to all. One alone may be
/// a connection that was cut.
const STORE_FAILURES: u32 = 3;
/// Rounds of failures between two in which a follower then asks the store itself.
const STORE_EVERY: u32 = 2;
/// Pause after a failed call, at first.
const PAUSE: Duration = Duration::from_millis(60);
/// The longest pause after failed calls in a row.
const PAUSE_MOST: Duration = Duration::from_millis(600);
/// How long another source than the first choice is kept before the first is tried again.
const KEEP_SOURCE: Duration = Duration::from_millis(1_500);

/// Where a topic is followed.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Source {
    Store,
    Peer(InstanceId),
}

/// What a source has told.
struct Told {
    news: News,
    /// When the read was sent that confirmed it.
    read: Moment,
    /// The source itself reads the store.
    fresh: bool,
}

/// Follows one topic for good.
pub struct Follower {
    front: Arc<Front>,
    store: Arc<dyn Store>,
    topic: Topic,
    /// Which of two readers this instance follows.
    turn: bool,
    /// It reads the topic at the store for others.
    reads: bool,
    shelf: Arc<Shelf>,
    /// Sources that failed in a row, which are passed over.
    skipped: usize,
    /// When a source behind the first was taken.
    strayed: Option<Moment>,
    failures: u32,
    /// Failures of the store itself in a row.
    store_failures: u32,
    /// When the first of the failures in a row came.
    lost: Option<Moment>,
    /// When the last outage ended.
    outage_end: Option<Moment>,
}

impl Follower {
    /// Follows nothing yet.
    #[must_use]
    pub fn new(front: Arc<Front>, store: Arc<dyn Store>, topic: Topic) -> Self {
        Self {
            shelf: front.shelf(topic),
            turn: fastrand::bool(),
            reads: false,
            front,
            store,
            topic,
            skipped: 0,
            strayed: None,
            failures: 0,
            store_failures: 0,
            lost: None,
            outage_end: None,
        }
    }

    /// Follows.
    pub async fn run(mut self) {
        loop {
            let sources = self.sources();
            let source = sources[self.skipped % sources.len()].clone();
            let told = match self.ask(&source).await {
                Ok(told) => told,
                Err(e) => {
                    if source == Source::Store {
                        self.store_failures = self.store_failures.saturating_add(1);
                    }
                    self.fail(&e, sources.len()).await;
                    continue;
                }
            };
            // Old news is better than none, for one that has just started say; but its source is
            // not to be relied on.
            if source == Source::Store {
                self.store_failures = 0;
            }
            let good = told.fresh && self.is_newer(&source, &told);
            self.take(&told);
            if good {
                self.regain();
                self.gather(&source, &told.news).await;
            } else {
                let error = silent(format!("{source:?} has lost the store itself"));
                self.fail(&error, sources.len()).await;
            }
        }
    }

    /// Lets changes that come together come in one answer. Engines are reclaimed several at a time,
    /// and each row of theirs would be a call of its own to the store.
    async fn gather(&self, source: &Source, news: &News) {
        if *source == Source::Store && !news.whole && !news.rows.is_empty() {
            smol::Timer::after(GATHER).await;
        }
    }

    /// Whether a source knows more than this instance. Two instances that lost the store might
    /// follow each other, each content with what the other had from it.
    fn is_newer(&self, source: &Source, told: &Told) -> bool {
        *source == Source::Store
            || Some(told.news.version) > self.shelf.version()
            || self.shelf.read().is_none_or(|known| told.read > known)
    }

    /// Sources in the order in which they are tried.
    fn sources(&mut self) -> Vec<Source> {
        if self
            .strayed
            .is_some_and(|at| at + KEEP_SOURCE < boot_time())
        {
            self.skipped = 0;
            self.strayed = None;
        }
        let me = &self.front.cfg.instance;
        let order = self
            .front
            .peers
            .owners(&format!("reader of {}", self.topic));
        let readers: Vec<InstanceId> = order.into_iter().take(READERS).collect();
        self.reads = readers.contains(me);
        let mut others: Vec<Source> = readers
            .into_iter()
            .filter(|id| id != me)
            .map(Source::Peer)
            .collect();
        if self.reads {
            // Twice: a connection that the store cut says nothing about the store.
            others.insert(0, Source::Store);
            others.insert(0, Source::Store);
            return others;
        }
        // Followers spread over the readers. Where one's reader fails the store comes next: the
        // other reader may have failed with it, and two waits would be too long.
        if self.turn && others.len() > 1 {
            others.swap(0, 1);
        }
        // While the store is away for all, the readers find out when it is back; if every follower
        // asked as well, the calls alone would cost more than all others of the day.
        let lost_to_all = self.store_failures >= STORE_FAILURES;
        if others.is_empty() || !lost_to_all || self.failures.is_multiple_of(STORE_EVERY) {
            let second = others.len().min(1);
            others.insert(second, Source::Store);
            others.insert(second, Source::Store);
        }
        others
    }

    /// Asks a source.
    async fn ask(&self, source: &Source) -> Result<Told, StoreError> {
        let sent = boot_time();
        let after = self.shelf.version();
        match source {
            Source::Store => {
                // A reader that lost the store does not wait for a silent call; its followers hear of
                // the store's return from it.
                let lost = self.reads && (self.failures > 0 || self.store_failures > 0);
                let asked = match after {
                    Some(after) if !lost => {
                        let news = follow(&self.store, self.topic, Some(after), STORE_WAIT).await;
                        Some((news, sent))
                    }
                    after => self.ask_eagerly(after).await,
                };
                let (news, sent) = asked.ok_or_else(|| silent("no call was answered".into()))?;
                news.map(|news| Told {
                    news,
                    read: sent,
                    fresh: true,
                })
            }
            Source::Peer(peer) => self.ask_peer(peer, after).await,
        }
    }

    /// Asks the store without waiting for changes, and again while it does not answer.
    async fn ask_eagerly(&self, after: Option<u64>) -> Option<(Result<News, StoreError>, Moment)> {
        first_answer(|| {
            let (store, topic) = (Arc::clone(&self.store), self.topic);
            async move { follow(&store, topic, after, Duration::ZERO).await }
        })
        .await
    }

    async fn ask_peer(&self, peer: &InstanceId, after: Option<u64>) -> Result<Told, StoreError> {
        let sent = boot_time();
        let wait = STORE_WAIT.mul_f64(PEER_WAIT_PART);
        let message = Message::Follow {
            topic: self.topic,
            after,
            wait,
        };
        let patience = wait + PEER_PATIENCE;
        let reply = self.front.peers.call(peer, &message, patience).await;
        match reply {
            Some(Reply::News {
                news,
                before,
                after,
                age,
            }) => Ok(Told {
                news,
                read: (sent + after).saturating_sub(before),
                fresh: age < PEER_AGE,
            }),
            Some(Reply::Nothing) => Err(silent(format!("{peer} knows nothing"))),
            _ => Err(silent(format!("{peer} does not answer"))),
        }
    }

    fn take(&self, told: &Told) {
        let mut changed = self.shelf.take(&told.news, told.read);
        let now = boot_time();
        // A dropped row may stand for a listing that lapsed; take them last, for the same answer
        // may list others.
        changed.sort_by_key(|row| row.value.is_none());
        for row in &changed {
            self.learn(row, now);
        }
        for change in self.front.view.expire_lapsed(now) {
            act(&self.front, change);
        }
        let Some(read) = self.shelf.read() else {
            return;
        };
        match self.topic {
            Topic::Operator => self.front.view.confirm_rules(read),
            Topic::Targets => self.front.view.confirm_targets(read),
            Topic::Members => {}
        }
    }

    fn learn(&self, row: &Row, now: Moment) {
        let view = &self.front.view;
        let change = match self.store.decode(self.topic, row) {
            None => None,
            Some(Record::Rules(rules)) => view.learn_rules(*rules),
            Some(Record::Closed(data_centre)) => view.learn_closed(&data_centre, true),
            Some(Record::Opened(data_centre)) => view.learn_closed(&data_centre, false),
            Some(Record::Listed(target)) => {
                let mut cold = self.front.cold.lock();
                cold.note(now, &target.id, target.cold_left);
                drop(cold);
                view.learn_target(target)
            }
            Some(Record::Unlisted(id)) => view.unlist_target(&id, now, self.outage_end),
            Some(Record::Member(member)) => {
                self.front.peers.learn(member);
                None
            }
            Some(Record::Unreadable { key, reason }) => {
                emit(&Event::RowUnreadable {
                    topic: self.topic.to_string().into(),
                    key: Arc::clone(&key),
                    reason,
                });
                match self.topic {
                    // It names no target to use, whatever it named before.
                    Topic::Targets => view.unlist_target(&key, now, None),
                    Topic::Operator | Topic::Members => None,
                }
            }
        };
        if let Some(change) = change {
            act(&self.front, change);
        }
    }

    fn regain(&mut self) {
        self.failures = 0;
        let Some(lost) = self.lost.take() else {
            return;
        };
        let now = boot_time();
        self.outage_end = Some(now);
        emit(&Event::StoreRegained {
            topic: self.topic.to_string().into(),
            lost_ms: millis(now.saturating_sub(lost)),
        });
    }

    /// Turns to the next source; pauses once all have failed.
    async fn fail(&mut self, error: &StoreError, sources: usize) {
        self.skipped += 1;
        self.strayed = Some(boot_time());
        if !self.skipped.is_multiple_of(sources) {
            return;
        }
        if self.lost.is_none() {
            self.lost = Some(boot_time());
            emit(&Event::StoreLost {
                topic: self.topic.to_string().into(),
                reason: error.to_string().into(),
            });
        }
        let pause = PAUSE
            .saturating_mul(1 << self.failures.min(4))
            .min(PAUSE_MOST);
        self.failures += 1;
        // All instances lose the store at once; they should not come back all at once.
        smol::Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// What is new on a topic of the store, or all of it where its history does not reach back.
async fn follow(
    store: &Arc<dyn Store>,
    topic: Topic,
    after: Option<u64>,
    wait: Duration,
) -> Result<News, StoreError> {
    let Some(after) = after else {
        return store.read(topic).await;
    };
    match store.follow(topic, after, wait).await {
        Err(StoreError::HistoryGone) => store.read(topic).await,
        news => news,
    }
}

/// Takes word from somebody else than the store that a target leaves.
pub fn hear_leaving(front: &Arc<Front>, id: &TargetId) {
    if let Some(change) = front.view.hear_leaving(id) {
        act(front, change);
    }
}

/// Acts on what has changed.
fn act(front: &Arc<Front>, change: Change) {
    match change {
        Change::Rules { from, to } => {
            front.apply_limits();
            emit(&Event::RulesInForce {
                version: to,
                from: from.unwrap_or_default(),
            });
        }
        Change::Joined(target) => emit(&Event::TargetJoined {
            target: Arc::clone(&target.id),
        }),
        Change::Leaving(target) => {
            emit(&Event::TargetLeaving {
                target: Arc::clone(&target.id),
            });
            workers::spawn(leaving::tell_owner(Arc::clone(front), Arc::clone(&target))).detach();
            workers::spawn(leaving::empty(Arc::clone(front), target)).detach();
        }
        Change::Reborn(target) => {
            emit(&Event::TargetReborn {
                target: Arc::clone(&target.id),
            });
            front.client.forget(target.addr);
            front.placement.owner.lock().forget(&target.id);
        }
        Change::Closed(data_centre) => switched(data_centre, true),
        Change::Opened(data_centre) => switched(data_centre, false),
    }
}

fn silent(reason: String) -> StoreError {
    StoreError::Silent {
        reason: reason.into(),
    }
}

fn switched(data_centre: DataCentreId, out: bool) {
    emit(&Event::DataCentreSwitched { data_centre, out });
}
