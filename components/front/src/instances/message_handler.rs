//! Takes the other instances' messages.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::bounded;
use async_trait::async_trait;
use hyper::{Request, Response, body::Incoming};
use net::{Body, Handler, Reply as HttpReply, full, read_limited};
use placing::{Migration, MigrationOutcome};
use timer::boot_time;

use crate::{
    generations::migration,
    instances::{
        peers::{MESSAGE_LIMIT, MESSAGES_PATH, Members},
        wire::{Message, Reply, Topic},
    },
    quarantine::aggregation,
    state::{Front, elapsed_since},
    store::follow::{self, MAX_PEER_STATE_AGE},
    target_rates,
};

/// Time for a message to arrive whole.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time that an instance is kept waiting for news.
const MAX_FOLLOW_WAIT: Duration = Duration::from_secs(3);

/// The longest time that one is kept waiting by an instance that knows nothing yet.
const FIRST_UPDATE_WAIT: Duration = Duration::from_millis(300);

/// Takes the other instances' messages.
pub struct MessageHandler {
    front: Arc<Front>,
}

impl MessageHandler {
    /// Makes it for an instance.
    #[must_use]
    pub const fn new(front: Arc<Front>) -> Self {
        Self { front }
    }

    async fn process(&self, message: Message) -> Reply {
        let front = &self.front;
        let now = boot_time();
        match message {
            Message::Place(ask) => Reply::Placement(front.place_locally(&ask)),
            Message::GenerationUpdates(notes) => {
                let mut owner = front.placement.owner.lock();
                for note in &notes {
                    owner.apply_update(now, note);
                }
                Reply::Acknowledged
            }
            Message::Sync {
                member,
                held,
                known_revision: known,
                quarantine_digest: quarantine,
            } => {
                front.placement.owner.lock().apply_sync(now, &held);
                front.peers.mark_seen(member);
                self.members(front.peers.members_since(known), quarantine)
            }
            Message::Hello {
                member,
                wants_leaders: asks,
            } => {
                front.peers.mark_seen(member);
                if asks {
                    self.members(front.peers.leaders(), 0)
                } else {
                    Reply::Acknowledged
                }
            }
            Message::Follow { topic, after, wait } => self.news(topic, after, wait).await,
            Message::TargetLeaving(target) => {
                follow::mark_leaving(front, &target);
                Reply::Acknowledged
            }
            Message::TargetCrashed(evidence) => {
                aggregation::apply_evidence(front, evidence);
                Reply::Acknowledged
            }
            Message::Verdicts(words) => {
                aggregation::apply_verdicts(front, &words);
                Reply::Acknowledged
            }
            Message::RateReport(report) => {
                target_rates::apply(front, &report);
                Reply::Acknowledged
            }
            Message::ReserveRate { report, max_wait } => {
                Reply::Reservation(target_rates::allocate(front, &report, max_wait))
            }
            Message::Migrate(order) => Reply::Migrated(self.carry(order).await),
        }
    }

    /// Tells of members, and of requests that crash targets what the asker does not know of them.
    fn members(&self, known: Members, quarantine: u64) -> Reply {
        let Members { members, revision } = known;
        Reply::Members {
            members,
            revision,
            verdicts: aggregation::verdicts_unless_known(&self.front, quarantine),
            quarantine_digest: self.front.quarantine.lock().digest(boot_time()),
        }
    }

    /// Carries a generation over, to the end also where the owner that ordered it hangs up: its
    /// engine may have stopped it already.
    async fn carry(&self, order: Migration) -> MigrationOutcome {
        let front = Arc::clone(&self.front);
        let (tx, rx) = bounded(1);
        let carry = async move {
            let outcome = migration::migrate(&front, &order).await;
            // Fails only where the owner has gone.
            let _ = tx.try_send(outcome);
        };
        workers::spawn(carry).detach();
        rx.recv().await.unwrap_or(MigrationOutcome::Lost)
    }

    /// What is new on a topic; waits until something is, or until what is known was confirmed.
    async fn news(&self, topic: Topic, after: Option<u64>, wait: Duration) -> Reply {
        let arrived = boot_time();
        let cache = self.front.topic_cache(topic);
        if cache.confirmed_at().is_none() {
            // Both have just started; told that nothing is known, the asker would turn to the store.
            cache.wait_for_change(wait.min(FIRST_UPDATE_WAIT)).await;
        }
        let fresh = cache
            .confirmed_at()
            .is_some_and(|read| elapsed_since(read) < MAX_PEER_STATE_AGE);
        let from = cache.history_start();
        if fresh && after.is_some_and(|after| after < from) {
            return Reply::HistoryGone { from };
        }
        // Nobody is kept waiting by one that has lost the store itself.
        let nothing_new = after.is_some_and(|after| cache.version() <= Some(after));
        if fresh && nothing_new && !cache.is_source_lost() {
            cache.wait_for_change(wait.min(MAX_FOLLOW_WAIT)).await;
        }
        match cache.update_since(after) {
            Some((news, read)) => Reply::Update {
                update: news,
                before: arrived.saturating_sub(read),
                after: read.saturating_sub(arrived),
                age: boot_time().saturating_sub(read),
            },
            None => Reply::NoData,
        }
    }
}

#[async_trait]
impl Handler for MessageHandler {
    async fn handle(&self, _peer: SocketAddr, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() != MESSAGES_PATH {
            return HttpReply::new(404).done();
        }
        let Ok(body) = read_limited(req.into_body(), MESSAGE_LIMIT, BODY_TIMEOUT).await else {
            return HttpReply::new(400).done();
        };
        let Ok(message) = rmp_serde::from_slice(&body) else {
            return HttpReply::text(400, "not a message").done();
        };
        let reply = self.process(message).await;
        match rmp_serde::to_vec(&reply) {
            Ok(buf) => HttpReply::new(200).with_body(full(buf)).done(),
            Err(e) => HttpReply::text(500, e.to_string()).done(),
        }
    }
}
