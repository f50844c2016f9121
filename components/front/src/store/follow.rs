//! Follows the topics of the store, at the store or at other instances, and acts on the changes.
//!
//! Each call to the store has a cost, and the store may refuse some instances while it serves
//! others. So two instances follow each topic at the store, and the rest follow those two. An
//! instance that cannot reach the store gets changes as early as the others, and always knows
//! the age of its state.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use events::{Event, emit};
use rollouts::Order;
use timer::{Timer, boot_time};
use types::{DataCentreId, InstanceId, Moment, StoreVersion, TargetId, millis};
use view::Change;

use crate::{
    adapters::{Record, Store, StoreError},
    generations::evacuation,
    instances::wire::{Message, Reply, Row, Topic, TopicUpdate},
    quarantine::record,
    state::{Front, elapsed_since},
    store::{
        restore,
        sources::{
            CallLimits, Confirmation, Hold, STORE_WAIT, Source, SourceFailure, SourceSelector,
        },
        timeouts,
        topic_cache::TopicCache,
    },
};

/// The shortest timeout after which a peer that has not answered counts as failed.
const MIN_TELLING_TIMEOUT: Duration = Duration::from_millis(600);
/// Time beyond the timeout of a call in which a late instance may still notice the answer. A change must
/// be in force in time all the same.
const OWN_LATENESS: Duration = Duration::from_millis(50);
/// Time for an answer of a peer with all rows.
const FULL_UPDATE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after changes from the store, so that the next call collects several. Changes are delayed
/// by as much; an engine that is about to stop announces it at least 1.5 s in advance.
const BATCH_PAUSE: Duration = Duration::from_millis(40);
/// The greatest age of a peer's state. A reader's state is as old as its call to the store: 0.8 s,
/// and up to 0.4 s more if the store is slow. If it is older, the reader itself has lost the store.
pub const MAX_PEER_STATE_AGE: Duration = Duration::from_millis(1_500);
/// Mean pause after the first failed round; doubled with each further one.
const BASE_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The longest mean pause after failed rounds.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Time over which reads of all rows are spread after the store has come back from a copy.
const RESTORE_READ_SPREAD: Duration = Duration::from_millis(200);
/// How long the operator's rows that a copy of the store lacks stay in force, unless they are written
/// again.
const RESTORE_GRACE: Duration = Duration::from_secs(5);
/// How long an instance waits after its start until it knows the others.
const PEERS_TIMEOUT: Duration = Duration::from_millis(600);
/// How long after its start an instance retries a peer that does not answer yet.
const START_TIME: Duration = Duration::from_millis(150);
/// Timeout for a call to such a peer.
const START_CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between two calls to such a peer.
const START_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The answer of a source.
struct SourceAnswer {
    update: TopicUpdate,
    /// How another instance has held the call; none if the source is the store.
    hold: Option<Hold>,
    /// When the read that confirmed the update was sent.
    read_at: Moment,
    /// Whether the source is up to date with the store.
    is_fresh: bool,
}

impl SourceAnswer {
    const fn confirmation(&self) -> Confirmation {
        Confirmation {
            read_at: self.read_at,
            hold: self.hold,
        }
    }
}

/// Follows one topic.
pub struct Follower {
    front: Arc<Front>,
    store: Arc<dyn Store>,
    topic: Topic,
    cache: Arc<TopicCache>,
    sources: SourceSelector,
    /// When the current outage began.
    outage_start: Option<Moment>,
    /// When the last outage ended.
    outage_end: Option<Moment>,
    /// Deletions that a restore of the store implies, and when each takes effect.
    implied_deletions: Vec<(Moment, Row)>,
}

impl Follower {
    /// A follower that has not started yet.
    #[must_use]
    pub fn new(front: Arc<Front>, store: Arc<dyn Store>, topic: Topic) -> Self {
        Self {
            cache: front.topic_cache(topic),
            sources: SourceSelector::new(fastrand::Rng::new()),
            front,
            store,
            topic,
            outage_start: None,
            outage_end: None,
            implied_deletions: Vec::new(),
        }
    }

    /// Follows the topic; does not return.
    pub async fn run(mut self) {
        // An instance that knows no others reads the store itself, which would be O(n) calls when
        // all instances start together.
        let peers_known = self.front.peers_known.wait();
        let _ = Timer::new().within(PEERS_TIMEOUT, peers_known).await;
        let features = self.front.cfg.decisions.features;
        loop {
            let me = &self.front.cfg.instance;
            let ranking = self.front.peers.ranking(self.topic);
            let source = if features.shared_reads {
                self.sources.next(boot_time(), me, &ranking)
            } else {
                Source::Store
            };
            let answer = match self.query(&source).await {
                Ok(answer) => answer,
                Err(e) => {
                    self.record_failure(&source, SourceFailure::NoAnswer, &e)
                        .await;
                    continue;
                }
            };
            if source == Source::Store {
                self.sources.record_store_answer();
            }
            // A stale update is applied too, since it may be the first one; but its source counts
            // as failed.
            let is_current = answer.is_fresh
                && self.is_newer(&source, &answer)
                && !self.is_outdated(&source, &answer);
            self.apply(&answer);
            if is_current {
                self.record_success(&answer.confirmation());
                self.pause_to_batch(&source, &answer.update).await;
            } else {
                let error = no_answer(format!("the state of {source} is stale"));
                self.record_failure(&source, SourceFailure::Stale, &error)
                    .await;
            }
        }
    }

    /// Pauses after changes from the store, so that further ones come in one answer. Several
    /// engines are often reclaimed at once, and each of their rows would otherwise take a call of
    /// its own.
    async fn pause_to_batch(&self, source: &Source, update: &TopicUpdate) {
        if *source == Source::Store && !update.is_full && !update.rows.is_empty() {
            smol::Timer::after(BATCH_PAUSE).await;
        }
    }

    /// Whether an answer of a source is newer than the cached state. Otherwise two instances that
    /// have lost the store could follow each other, each taking its own state back as current.
    fn is_newer(&self, source: &Source, answer: &SourceAnswer) -> bool {
        *source == Source::Store
            || Some(answer.update.version) > self.cache.version()
            || self
                .cache
                .confirmed_at()
                .is_none_or(|cached| answer.read_at > cached)
    }

    /// Whether an answer is older than the cached state in a way that its source can't make up for:
    /// it is of an earlier era, or the store itself is behind. The cache does not take such an answer.
    fn is_outdated(&self, source: &Source, answer: &SourceAnswer) -> bool {
        let cached = self.cache.version().unwrap_or_default();
        match source {
            Source::Store => answer.update.version < cached,
            Source::Peer(_) => answer.update.version.era < cached.era,
        }
    }

    /// Queries a source for changes.
    async fn query(&self, source: &Source) -> Result<SourceAnswer, StoreError> {
        let sent_at = boot_time();
        let after = self.cache.version();
        match source {
            Source::Store => {
                // After a failure, or if nothing is cached yet, the call does not wait for changes.
                let state_age = self.cache.confirmed_at().map(elapsed_since);
                let update = match after {
                    Some(_) if !self.sources.needs_immediate_answer(state_age) => {
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
                        let timeout = if self.front.cfg.decisions.features.adaptive_timeouts {
                            timeouts::outage_timeout(self.sources.store_failures())
                        } else {
                            timeouts::READ_TIMEOUT
                        };
                        follow(&self.store, self.topic, after, Duration::ZERO, timeout).await
                    }
                };
                update.map(|update| SourceAnswer {
                    update,
                    hold: None,
                    read_at: sent_at,
                    is_fresh: true,
                })
            }
            Source::Peer(peer) => self.query_peer(peer, after).await,
        }
    }

    /// Queries the store for changes that a peer no longer has: a full update for each follower
    /// would saturate the peer's link. If the store does not have them either, or is behind the
    /// peer, requests a full update from the peer after all, since retrying the store might never
    /// end.
    async fn catch_up(
        &self,
        peer: &InstanceId,
        from: StoreVersion,
    ) -> Result<SourceAnswer, StoreError> {
        let sent_at = boot_time();
        let after = self.cache.version().unwrap_or_default();
        if from.era > after.era {
            // The store has no changes since a version of an earlier era, and all instances would
            // ask it at once.
            return Box::pin(self.query_peer(peer, None)).await;
        }
        let wait = Duration::ZERO;
        let update = self
            .store
            .follow(self.topic, after, wait, timeouts::FOLLOW_MARGIN);
        match update.await {
            Ok(update) if update.version >= from => Ok(SourceAnswer {
                update,
                hold: None,
                read_at: sent_at,
                is_fresh: true,
            }),
            _ => Box::pin(self.query_peer(peer, None)).await,
        }
    }

    async fn query_peer(
        &self,
        peer: &InstanceId,
        after: Option<StoreVersion>,
    ) -> Result<SourceAnswer, StoreError> {
        let sent_at = boot_time();
        let CallLimits { wait, timeout } = self.sources.call_limits(sent_at);
        let message = Message::Follow {
            topic: self.topic,
            after,
            wait,
        };
        let reply = if self.cache.version().is_none()
            && elapsed_since(self.front.started_at) < START_TIME
        {
            self.query_while_starting(peer, &message).await
        } else {
            self.call_peer(peer, &message, timeout).await
        };
        match reply {
            Some(Reply::Update {
                update,
                before,
                after,
                age,
            }) => Ok(SourceAnswer {
                update,
                hold: Some(Hold {
                    time: (age + after).saturating_sub(before),
                    limit: wait,
                }),
                read_at: (sent_at + after).saturating_sub(before),
                is_fresh: age < MAX_PEER_STATE_AGE,
            }),
            Some(Reply::HistoryGone { from }) => self.catch_up(peer, from).await,
            Some(Reply::NoData) => Err(no_answer(format!("{peer} has no data yet"))),
            _ => Err(no_answer(format!("{peer} does not answer"))),
        }
    }

    /// Calls a peer. What is left of the patience may be too short for a peer that is merely busy, so
    /// that its silence tells nothing then.
    async fn call_peer(
        &self,
        peer: &InstanceId,
        message: &Message,
        timeout: Duration,
    ) -> Option<Reply> {
        let peers = &self.front.peers;
        let call = async {
            if timeout < MIN_TELLING_TIMEOUT {
                peers.try_call(peer, message, timeout).await
            } else {
                peers.call(peer, message, timeout).await
            }
        };
        // All rows may take long over a narrow link, changes do not.
        let is_full = matches!(message, Message::Follow { after: None, .. });
        let limit = if is_full {
            FULL_UPDATE_TIMEOUT
        } else {
            timeout + OWN_LATENESS
        };
        Timer::new().within(limit, call).await.flatten()
    }

    /// Queries a peer repeatedly for a short time after the start, because the peer may be starting
    /// too. Callers wait meanwhile, so the store is tried soon.
    async fn query_while_starting(&self, peer: &InstanceId, message: &Message) -> Option<Reply> {
        while elapsed_since(self.front.started_at) < START_TIME {
            let peers = &self.front.peers;
            match peers.try_call(peer, message, START_CALL_TIMEOUT).await {
                None | Some(Reply::NoData) => {}
                reply => return reply,
            }
            smol::Timer::after(START_RETRY_PAUSE).await;
        }
        None
    }

    /// Applies an answer to the cache and the view, and acts on the changes.
    fn apply(&mut self, answer: &SourceAnswer) {
        let before = self.cache.version();
        let mut changed = self.cache.apply(&answer.update, answer.read_at);
        let now = boot_time();
        // Deleted rows last: a listing may have lapsed during an outage, and the same answer may
        // list other targets.
        changed.sort_by_key(|row| row.value.is_none());
        let restored_from = before.filter(|before| {
            let version = self.cache.version();
            version.is_some_and(|version| version.era > before.era)
        });
        if let Some(before) = restored_from {
            self.begin_restored(before);
            // Targets write their listings again, like after any outage.
            self.outage_end = Some(now);
        }
        for row in &changed {
            if restored_from.is_some() && row.value.is_none() && self.topic == Topic::Operator {
                let deletion = (now + RESTORE_GRACE, row.clone());
                self.implied_deletions.push(deletion);
            } else {
                self.apply_row(row, now);
            }
        }
        self.apply_implied_deletions(now);
        for change in self.front.view.remove_expired_listings(now) {
            act(&self.front, change);
        }
        let Some(confirmed_at) = self.cache.confirmed_at() else {
            return;
        };
        match self.topic {
            Topic::Operator => {
                self.front.view.confirm_rules(confirmed_at);
                self.front.rollouts.confirm_orders(confirmed_at);
            }
            Topic::Targets => self.front.view.confirm_targets(confirmed_at),
            Topic::Members => {}
        }
        if self.front.is_ready() {
            self.front.became_ready.open();
        }
    }

    /// Logs that the store has come back from a copy, and writes again what this instance is
    /// responsible for.
    fn begin_restored(&self, before: StoreVersion) {
        let version = self.cache.version().unwrap_or_default();
        emit(&Event::StoreRestored {
            topic: self.topic.to_string().into(),
            era: version.era,
            before: before.number,
            version: version.number,
        });
        restore::write_again(&self.front, version.era);
    }

    /// Applies the deletions that a restore implied, unless the rows were written again in time. What
    /// the store had acknowledged is written again by the operator; until then it stays in force.
    fn apply_implied_deletions(&mut self, now: Moment) {
        let deletions = std::mem::take(&mut self.implied_deletions);
        for (at, row) in deletions {
            if self.cache.contains(&row.key) {
                continue;
            }
            if at <= now {
                self.apply_row(&row, now);
            } else {
                self.implied_deletions.push((at, row));
            }
        }
    }

    fn apply_row(&self, row: &Row, now: Moment) {
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
                self.front.rollouts.record_listed(now, &target);
                view.apply_target(now, target)
            }
            Some(Record::Unlisted(id)) => view.unlist_target(&id, now, self.outage_end),
            Some(Record::Member(member)) => {
                self.front.peers.upsert(member);
                None
            }
            Some(Record::Quarantined(record)) => {
                record::apply_stored(&self.front, &record);
                None
            }
            Some(Record::RolloutOrdered(order)) => {
                self.apply_order(order, now);
                None
            }
            Some(Record::RolloutWithdrawn(service)) => {
                if self.front.rollouts.withdraw(&service) {
                    emit(&Event::RolloutWithdrawn { service });
                }
                None
            }
            Some(Record::Unreadable { key, reason }) => {
                emit(&Event::RowUnreadable {
                    topic: self.topic.to_string().into(),
                    key: Arc::clone(&key),
                    reason,
                });
                match self.topic {
                    // The target of this key can no longer be used.
                    Topic::Targets => view.unlist_target(&key, now, None),
                    Topic::Operator | Topic::Members => None,
                }
            }
        };
        if let Some(change) = change {
            act(&self.front, change);
        }
    }

    fn apply_order(&self, order: Order, now: Moment) {
        // The first rows show orders of any age.
        let is_start = self.front.view.rules_read_at().is_none();
        let event = Event::RolloutOrdered {
            service: Arc::clone(&order.service),
            version: Arc::clone(&order.to),
            duration_ms: millis(order.duration),
        };
        let limits = self.front.exposure_limits();
        let appeared_at = (!is_start).then_some(now);
        if self.front.rollouts.order(order, appeared_at, limits) {
            emit(&event);
        }
    }

    /// Records that a source has supplied current state, and ends an outage.
    fn record_success(&mut self, confirmation: &Confirmation) {
        self.sources.record_success(boot_time(), confirmation);
        self.cache.set_source_lost(self.sources.has_no_source());
        self.set_targets_lost(false);
        let Some(outage_start) = self.outage_start.take() else {
            return;
        };
        let now = boot_time();
        self.outage_end = Some(now);
        emit(&Event::StoreRegained {
            topic: self.topic.to_string().into(),
            lost_ms: millis(now.saturating_sub(outage_start)),
        });
    }

    fn set_targets_lost(&self, lost: bool) {
        if self.topic == Topic::Targets {
            self.front.targets_lost.store(lost, Ordering::Release);
        }
    }

    /// Records a failure; the next source is selected after it. Once all sources have failed, an
    /// outage begins, and there is a pause.
    async fn record_failure(
        &mut self,
        source: &Source,
        failure: SourceFailure,
        error: &StoreError,
    ) {
        let failed_rounds = self.sources.failed_rounds();
        let is_round_over = self.sources.record_failure(source, failure);
        self.cache.set_source_lost(self.sources.has_no_source());
        if !is_round_over {
            return;
        }
        self.set_targets_lost(true);
        if self.outage_start.is_none() {
            self.outage_start = Some(boot_time());
            emit(&Event::StoreLost {
                topic: self.topic.to_string().into(),
                reason: error.to_string().into(),
            });
        }
        let pause = BASE_RETRY_PAUSE
            .saturating_mul(1 << failed_rounds.min(4))
            .min(MAX_RETRY_PAUSE);
        // All instances lose the store at the same time; their retries are spread.
        let pause = pause.mul_f64(0.5 + fastrand::f64());
        smol::Timer::after(self.sources.cut_pause(boot_time(), pause)).await;
    }
}

/// The changes of a topic since version `after`; all rows if there is none or the store no longer
/// has the changes.
async fn follow(
    store: &Arc<dyn Store>,
    topic: Topic,
    after: Option<StoreVersion>,
    wait: Duration,
    timeout: Duration,
) -> Result<TopicUpdate, StoreError> {
    let Some(after) = after else {
        return store.read(topic, timeout).await;
    };
    match store.follow(topic, after, wait, wait + timeout).await {
        Err(StoreError::HistoryGone) => {
            if store.era() > after.era {
                // All instances that ask the store notice its return at the same time.
                smol::Timer::after(RESTORE_READ_SPREAD.mul_f64(fastrand::f64())).await;
            }
            store.read(topic, timeouts::READ_TIMEOUT).await
        }
        update => update,
    }
}

/// Marks an incarnation of a target as about to stop, on a report from another source than the
/// store. Returns whether it was in service until now.
pub fn mark_leaving(front: &Arc<Front>, id: &TargetId, started_at: Option<u64>) -> bool {
    let change = front.view.mark_leaving(boot_time(), id, started_at);
    let was_in_service = change.is_some();
    if let Some(change) = change {
        act(front, change);
    }
    was_in_service
}

/// Acts on a change of the view.
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
            front.client.close_connections(target.addr);
            front.placement.owner.lock().remove_engine(&target.id);
        }
        Change::Closed(data_centre) => log_switch(data_centre, true),
        Change::Opened(data_centre) => log_switch(data_centre, false),
    }
}

fn no_answer(reason: String) -> StoreError {
    StoreError::NoAnswer {
        reason: reason.into(),
    }
}

fn log_switch(data_centre: DataCentreId, out: bool) {
    emit(&Event::DataCentreSwitched { data_centre, out });
}
