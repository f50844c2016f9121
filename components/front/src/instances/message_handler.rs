//! Handles the messages of other instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::bounded;
use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Handler, Reply as HttpReply, SharedError, full, read_shared};
use placing::{Migration, MigrationOutcome};
use rollouts::Directive;
use timer::boot_time;
use types::StoreVersion;

use crate::{
    adapters::KvCopyRequest,
    generations::migration,
    instances::{
        peers::{MAX_MESSAGE_BYTES, MESSAGES_PATH, Members},
        wire::{Message, Reply, Topic},
    },
    quarantine::{aggregation, parts},
    reaching::{control, envelope, paths, server},
    rollouts::coordination,
    state::{Front, elapsed_since},
    store::follow::{self, MAX_PEER_STATE_AGE},
    target_rates,
};

/// The longest pause within a message that has begun to arrive.
const BODY_PAUSE: Duration = Duration::from_secs(1);

/// The longest time that a follower waits for changes of a topic.
const MAX_FOLLOW_WAIT: Duration = Duration::from_secs(3);

/// The longest time that a follower waits for the first data on a topic.
const FIRST_UPDATE_WAIT: Duration = Duration::from_millis(300);

/// Handles the messages of other instances, at their own address and at that of the admin server.
pub struct MessageHandler {
    front: Arc<Front>,
}

impl MessageHandler {
    /// Handles messages with the state of this instance.
    #[must_use]
    pub const fn new(front: Arc<Front>) -> Self {
        Self { front }
    }

    async fn process(&self, message: Message) -> Reply {
        let front = &self.front;
        let now = boot_time();
        match message {
            Message::Place(request) => Reply::Placement(front.place_locally(&request)),
            Message::GenerationUpdates(updates) => {
                let mut owner = front.placement.owner.lock();
                for update in &updates {
                    owner.apply_update(now, update);
                }
                Reply::Acknowledged
            }
            Message::Sync {
                member,
                state,
                known_revision,
                quarantine_digest,
            } => {
                front.placement.owner.lock().apply_sync(now, &state);
                front.peers.mark_seen(member);
                self.members(front.peers.members_since(known_revision), quarantine_digest)
            }
            Message::Hello {
                member,
                wants_leaders,
            } => {
                front.peers.mark_seen(member);
                if wants_leaders {
                    self.members(front.peers.leaders(), 0)
                } else {
                    Reply::Acknowledged
                }
            }
            Message::Follow { topic, after, wait } => self.topic_update(topic, after, wait).await,
            Message::TargetLeaving { target, started_at } => {
                follow::mark_leaving(front, &target, started_at);
                Reply::Acknowledged
            }
            Message::TargetCrashed(evidence) => {
                aggregation::apply_evidence(front, evidence);
                Reply::Acknowledged
            }
            Message::Verdicts(verdicts) => {
                aggregation::apply_verdicts(front, &verdicts);
                Reply::Acknowledged
            }
            Message::PartCrashed(evidence) => {
                parts::apply_evidence(front, &evidence);
                Reply::Acknowledged
            }
            Message::PartVerdicts(verdicts) => {
                parts::apply_verdicts(front, &verdicts);
                Reply::Acknowledged
            }
            Message::ExchangePartVerdicts(verdicts) => {
                parts::apply_verdicts(front, &verdicts);
                Reply::PartVerdicts(front.part_quarantine.lock().verdicts(now))
            }
            Message::RequestProbe { service } => {
                Reply::Probe(front.part_quarantine.lock().try_probe(now, &service))
            }
            Message::RateReport(report) => {
                target_rates::apply(front, &report);
                Reply::Acknowledged
            }
            Message::ReserveRate { report, max_wait } => {
                Reply::Reservation(target_rates::allocate(front, &report, max_wait))
            }
            Message::RolloutReport(report) => {
                coordination::receive(front, report).map_or(Reply::NoData, Reply::RolloutDirective)
            }
            Message::RolloutSuspended { service, version } => {
                front.rollouts.suspend(&service, &version);
                Reply::Acknowledged
            }
            Message::RolloutEnded {
                service,
                version,
                outcome,
            } => {
                front.rollouts.end(&service, &version, outcome);
                Reply::Acknowledged
            }
            Message::AskRolloutEnd(record) => match self.front.rollouts.end_of(&record) {
                Some(outcome) => Reply::RolloutDirective(Directive::Ended(outcome)),
                None => Reply::NoData,
            },
            Message::CheckTarget { target, started_at } => {
                Reply::TargetChecked(paths::check(front, &target, started_at).await)
            }
            Message::EngineReport {
                target,
                started_at,
                timeout,
            } => Reply::EngineReport(control::report(front, &target, started_at, timeout).await),
            Message::CopyKv {
                target,
                started_at,
                generation,
                to,
                is_final,
                timeout,
            } => {
                let request = |from| KvCopyRequest {
                    generation: &generation,
                    from,
                    to,
                    is_final,
                    timeout,
                };
                Reply::KvCopied(control::copy_kv(front, &target, started_at, request).await)
            }
            Message::Migrate(order) => Reply::Migrated(self.migrate(order).await),
        }
    }

    /// A reply with members, and with the verdicts that a sender with this digest may not know.
    fn members(&self, members: Members, quarantine_digest: u64) -> Reply {
        let Members { members, revision } = members;
        Reply::Members {
            members,
            revision,
            verdicts: aggregation::verdicts_unless_known(&self.front, quarantine_digest),
            quarantine_digest: aggregation::digest(&self.front),
        }
    }

    /// Migrates a generation. The migration completes even if the owner that ordered it
    /// disconnects, since the engine may already have stopped the generation.
    async fn migrate(&self, order: Migration) -> MigrationOutcome {
        let front = Arc::clone(&self.front);
        let (tx, rx) = bounded(1);
        let migration = async move {
            let outcome = migration::migrate(&front, &order).await;
            // Fails only if the owner has disconnected.
            let _ = tx.try_send(outcome);
        };
        workers::spawn(migration).detach();
        rx.recv().await.unwrap_or(MigrationOutcome::Lost)
    }

    /// The changes of a topic since version `after`. If there are none, waits until there are some
    /// or the cached version is confirmed, for at most `wait`.
    async fn topic_update(
        &self,
        topic: Topic,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> Reply {
        let arrived_at = boot_time();
        let cache = self.front.topic_cache(topic);
        if cache.confirmed_at().is_none() {
            // Both instances have just started. Without any data the follower would turn to the
            // store.
            cache.wait_for_change(wait.min(FIRST_UPDATE_WAIT)).await;
        }
        let is_fresh = cache
            .confirmed_at()
            .is_some_and(|read| elapsed_since(read) < MAX_PEER_STATE_AGE);
        let known_era = cache.version().unwrap_or_default().era;
        if after.is_some_and(|after| after.era > known_era) {
            // The follower knows that the store has come back from a copy, and this instance does not.
            return Reply::NoData;
        }
        let from = cache.history_start();
        if is_fresh && after.is_some_and(|after| after < from) {
            return Reply::HistoryGone { from };
        }
        // An instance that has lost its own source replies at once.
        let is_unchanged = after.is_some_and(|after| cache.version() <= Some(after));
        if is_fresh && is_unchanged && !cache.is_source_lost() {
            cache.wait_for_change(wait.min(MAX_FOLLOW_WAIT)).await;
        }
        match cache.update_since(after) {
            Some((update, read)) => Reply::Update {
                update,
                before: arrived_at.saturating_sub(read),
                after: read.saturating_sub(arrived_at),
                age: boot_time().saturating_sub(read),
            },
            None => Reply::NoData,
        }
    }
}

#[async_trait]
impl Handler for MessageHandler {
    async fn handle(&self, peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        if envelope::is_relayed(req.headers()) {
            return server::serve(&self.front, peer, req).await;
        }
        if req.uri().path() != MESSAGES_PATH {
            return HttpReply::new(404).done();
        }
        let mut memory = self.front.memory.share();
        let body = read_shared(req.into_body(), MAX_MESSAGE_BYTES, BODY_PAUSE, &mut memory);
        let body = match body.await {
            Ok(body) => body,
            Err(SharedError::Body(_)) => return HttpReply::new(400).done(),
            Err(SharedError::BudgetExhausted) => return no_memory(),
        };
        let Ok(message) = rmp_serde::from_slice(&body) else {
            return HttpReply::text(400, "not a message").done();
        };
        drop((body, memory));
        let reply = self.process(message).await;
        match rmp_serde::to_vec(&reply) {
            // An update of all rows may be large, and many instances may ask for one at the same time.
            Ok(buf) => match self.front.memory.hold(buf.into()) {
                Some(buf) => HttpReply::new(200).with_body(full(buf)).done(),
                None => no_memory(),
            },
            Err(e) => HttpReply::text(500, e.to_string()).done(),
        }
    }
}

/// The answer to a message that there is no memory for.
fn no_memory() -> Response<Body> {
    HttpReply::text(503, "no memory is left").done()
}
