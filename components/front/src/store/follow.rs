//! Follows the store, at the store itself or at instances that follow it, and acts on what is new.
//!
//! Each call to the store has its price, and a store that turns some instances away serves the
//! others still. So two instances read each topic at the store, and the rest follow it there: an
//! instance that is cut off from the store learns as early as the others, and as truthfully, for
//! the age of the knowledge comes along.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use events::{Event, emit};
use timer::{Timer, boot_time};
use types::{DataCentreId, InstanceId, Moment, TargetId};
use view::Change;

use crate::{
    adapters::{Record, Store, StoreError},
    callers::refusal::millis,
    generations::evacuation,
    instances::wire::{Message, Reply, Row, Topic, TopicUpdate},
    quarantine::record,
    state::{Front, elapsed_since},
    store::{
        sources::{Source, SourceFailure, SourceSelector},
        timeouts,
        topic_cache::TopicCache,
    },
};

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
pub const MAX_PEER_STATE_AGE: Duration = Duration::from_millis(1_500);
/// Pause after a failed call, at first.
const PAUSE: Duration = Duration::from_millis(60);
/// The longest pause after failed calls in a row.
const PAUSE_MOST: Duration = Duration::from_millis(600);
/// How long an instance that has just started waits until it knows the others.
const INTRODUCTION: Duration = Duration::from_millis(600);
/// How long after its start an instance asks a peer that does not answer yet.
const STARTING: Duration = Duration::from_millis(150);
/// Time for such a peer to answer.
const STARTING_PATIENCE: Duration = Duration::from_millis(100);
/// Pause between two questions to it.
const STARTING_PAUSE: Duration = Duration::from_millis(20);

/// What a source has told.
struct Told {
    news: TopicUpdate,
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
    cache: Arc<TopicCache>,
    sources: SourceSelector,
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
            cache: front.topic_cache(topic),
            sources: SourceSelector::new(fastrand::Rng::new()),
            front,
            store,
            topic,
            lost: None,
            outage_end: None,
        }
    }

    /// Follows.
    pub async fn run(mut self) {
        // An instance that knows no other would read the store itself: O(n) calls at a cold start.
        let peers_known = self.front.peers_known.wait();
        let _ = Timer::new().within(INTRODUCTION, peers_known).await;
        let parts = self.front.cfg.decisions.features;
        loop {
            let me = &self.front.cfg.instance;
            let ranking = self.front.peers.ranking(self.topic);
            let source = if parts.shared_reads {
                self.sources.next(boot_time(), me, &ranking)
            } else {
                Source::Store
            };
            let told = match self.ask(&source).await {
                Ok(told) => told,
                Err(e) => {
                    self.fail(&source, SourceFailure::NoAnswer, &e).await;
                    continue;
                }
            };
            if source == Source::Store {
                self.sources.record_store_answer();
            }
            // Old news is better than none, for one that has just started say; but its source is
            // not to be relied on.
            let good = told.fresh && self.is_newer(&source, &told);
            self.take(&told);
            if good {
                self.regain();
                self.gather(&source, &told.news).await;
            } else {
                let error = silent(format!("{source} has lost the store itself"));
                self.fail(&source, SourceFailure::Stale, &error).await;
            }
        }
    }

    /// Lets changes that come together come in one answer. Engines are reclaimed several at a time,
    /// and each row of theirs would be a call of its own to the store.
    async fn gather(&self, source: &Source, news: &TopicUpdate) {
        if *source == Source::Store && !news.is_full && !news.rows.is_empty() {
            smol::Timer::after(GATHER).await;
        }
    }

    /// Whether a source knows more than this instance. Two instances that lost the store might
    /// follow each other, each content with what the other had from it.
    fn is_newer(&self, source: &Source, told: &Told) -> bool {
        *source == Source::Store
            || Some(told.news.version) > self.cache.version()
            || self
                .cache
                .confirmed_at()
                .is_none_or(|known| told.read > known)
    }

    /// Asks a source.
    async fn ask(&self, source: &Source) -> Result<Told, StoreError> {
        let sent = boot_time();
        let after = self.cache.version();
        match source {
            Source::Store => {
                // One that lost the store, or has just started, does not wait for changes.
                let news = match after {
                    Some(_) if !self.sources.needs_immediate_answer() => {
                        follow(
                            &self.store,
                            self.topic,
                            after,
                            STORE_WAIT,
                            timeouts::FOLLOW_MARGIN,
                        )
                        .await
                    }
                    after => {
                        let patience = if self.front.cfg.decisions.features.adaptive_timeouts {
                            timeouts::outage_timeout(self.sources.store_failures())
                        } else {
                            timeouts::READ_TIMEOUT
                        };
                        follow(&self.store, self.topic, after, Duration::ZERO, patience).await
                    }
                };
                news.map(|news| Told {
                    news,
                    read: sent,
                    fresh: true,
                })
            }
            Source::Peer(peer) => self.ask_peer(peer, after).await,
        }
    }

    /// Asks the store for what a peer can tell from a later version on only: a whole topic for each
    /// follower would fill a peer's link. Where the store does not tell either, or lies behind the peer,
    /// the peer tells everything: asked again and again, the store would be called without end.
    async fn catch_up(&self, peer: &InstanceId, from: u64) -> Result<Told, StoreError> {
        let sent = boot_time();
        let after = self.cache.version().unwrap_or_default();
        let wait = Duration::ZERO;
        let news = self
            .store
            .follow(self.topic, after, wait, timeouts::FOLLOW_MARGIN);
        match news.await {
            Ok(news) if news.version >= from => Ok(Told {
                news,
                read: sent,
                fresh: true,
            }),
            _ => Box::pin(self.ask_peer(peer, None)).await,
        }
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
        let reply =
            if self.cache.version().is_none() && elapsed_since(self.front.started_at) < STARTING {
                self.ask_while_starting(peer, &message).await
            } else {
                self.front.peers.call(peer, &message, patience).await
            };
        match reply {
            Some(Reply::Update {
                update: news,
                before,
                after,
                age,
            }) => Ok(Told {
                news,
                read: (sent + after).saturating_sub(before),
                fresh: age < MAX_PEER_STATE_AGE,
            }),
            Some(Reply::HistoryGone { from }) => self.catch_up(peer, from).await,
            Some(Reply::NoData) => Err(silent(format!("{peer} knows nothing"))),
            _ => Err(silent(format!("{peer} does not answer"))),
        }
    }

    /// Asks a peer until it knows something, for a short while after the start: it may be up a little
    /// later. Callers wait meanwhile, so the store comes next soon.
    async fn ask_while_starting(&self, peer: &InstanceId, message: &Message) -> Option<Reply> {
        while elapsed_since(self.front.started_at) < STARTING {
            let peers = &self.front.peers;
            match peers.try_call(peer, message, STARTING_PATIENCE).await {
                None | Some(Reply::NoData) => {}
                reply => return reply,
            }
            smol::Timer::after(STARTING_PAUSE).await;
        }
        None
    }

    fn take(&self, told: &Told) {
        let mut changed = self.cache.apply(&told.news, told.read);
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
        let Some(read) = self.cache.confirmed_at() else {
            return;
        };
        match self.topic {
            Topic::Operator => self.front.view.confirm_rules(read),
            Topic::Targets => self.front.view.confirm_targets(read),
            Topic::Members => {}
        }
        if self.front.is_ready() {
            self.front.state_known.open();
        }
    }

    fn learn(&self, row: &Row, now: Moment) {
        let view = &self.front.view;
        let change = match self.store.decode(self.topic, row) {
            None => None,
            Some(Record::Rules(rules)) => view.apply_rules(*rules),
            Some(Record::Closed(data_centre)) => view.apply_closed(&data_centre, true),
            Some(Record::Opened(data_centre)) => view.apply_closed(&data_centre, false),
            Some(Record::Listed(target)) => {
                let mut cold = self.front.cold_targets.lock();
                cold.mark_cold(now, &target.id, target.cold_remaining);
                drop(cold);
                view.apply_target(target)
            }
            Some(Record::Unlisted(id)) => view.unlist_target(&id, now, self.outage_end),
            Some(Record::Member(member)) => {
                self.front.peers.upsert(member);
                None
            }
            Some(Record::Quarantined(kept)) => {
                record::apply_stored(&self.front, &kept);
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
        self.sources.record_success();
        self.cache.set_source_lost(self.sources.has_no_source());
        self.set_lost(false);
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

    fn set_lost(&self, lost: bool) {
        if self.topic == Topic::Targets {
            self.front.targets_lost.store(lost, Ordering::Release);
        }
    }

    /// Turns to the next source; pauses once all have failed.
    async fn fail(&mut self, source: &Source, how: SourceFailure, error: &StoreError) {
        let rounds = self.sources.failed_rounds();
        let round_over = self.sources.record_failure(source, how);
        self.cache.set_source_lost(self.sources.has_no_source());
        if !round_over {
            return;
        }
        self.set_lost(true);
        if self.lost.is_none() {
            self.lost = Some(boot_time());
            emit(&Event::StoreLost {
                topic: self.topic.to_string().into(),
                reason: error.to_string().into(),
            });
        }
        let pause = PAUSE.saturating_mul(1 << rounds.min(4)).min(PAUSE_MOST);
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
    patience: Duration,
) -> Result<TopicUpdate, StoreError> {
    let Some(after) = after else {
        return store.read(topic, patience).await;
    };
    match store.follow(topic, after, wait, wait + patience).await {
        Err(StoreError::HistoryGone) => store.read(topic, timeouts::READ_TIMEOUT).await,
        news => news,
    }
}

/// Takes word from somebody else than the store that a target leaves.
pub fn mark_leaving(front: &Arc<Front>, id: &TargetId) {
    if let Some(change) = front.view.mark_leaving(id) {
        act(front, change);
    }
}

/// Acts on what has changed.
fn act(front: &Arc<Front>, change: Change) {
    match change {
        Change::Rules { from, to } => {
            front.apply_connection_limits();
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
            workers::spawn(evacuation::notify_owner(
                Arc::clone(front),
                Arc::clone(&target),
            ))
            .detach();
            workers::spawn(evacuation::evacuate(Arc::clone(front), target)).detach();
        }
        Change::Restarted(target) => {
            emit(&Event::TargetReborn {
                target: Arc::clone(&target.id),
            });
            front.client.forget(target.addr);
            front.placement.owner.lock().remove_engine(&target.id);
        }
        Change::Closed(data_centre) => switched(data_centre, true),
        Change::Opened(data_centre) => switched(data_centre, false),
    }
}

fn silent(reason: String) -> StoreError {
    StoreError::NoAnswer {
        reason: reason.into(),
    }
}

fn switched(data_centre: DataCentreId, out: bool) {
    emit(&Event::DataCentreSwitched { data_centre, out });
}
