//! The other instances: who they are, who answers, and calls to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use events::{Event, emit};
use http_body_util::Full;
use hyper::Request;
use net::{Client, read_limited};
use parking_lot::Mutex;
use placing::{OwnerCandidate, rank_owners};
use prometheus_client::metrics::{counter::Counter, family::Family};
use timer::{Timer, boot_time};
use types::{InstanceId, Moment};

use crate::{
    instances::{
        joining::GREETED_PER_ORDER,
        wire::{Member, Message, Reply, Topic},
    },
    metrics::PeerBytesLabels,
    store::fanout::Ranking,
};

/// Where instances take each other's messages.
pub const MESSAGES_PATH: &str = "/peer/v4/messages";
/// Bytes of a message at most.
pub const MESSAGE_LIMIT: usize = 4 * 1_024 * 1_024;
/// The longest pause within a message that has begun to arrive.
const BODY_PAUSE: Duration = Duration::from_millis(500);
/// How long a peer that did not answer is left alone at first; doubled with each further time.
const SUSPECT: Duration = Duration::from_millis(1_500);
/// The longest time that a peer is left alone.
const SUSPECT_MOST: Duration = Duration::from_secs(20);
/// A peer is told of to others if it was heard within this time.
const HEARD_LATELY: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    heard: Option<Moment>,
    failures: u32,
    suspect_until: Moment,
    /// Counts up with each member that is first heard, or heard again after a while.
    heard_as: u64,
    /// The mark up to which this member has told of others.
    mark: u64,
}

/// Members that one who asks may not know.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// The members.
    pub members: Vec<Member>,
    /// The mark up to which the asker knows all then.
    pub revision: u64,
}

/// The other instances.
pub struct Peers {
    me: Member,
    known: Mutex<BTreeMap<InstanceId, Known>>,
    /// The mark of the member that was first heard last.
    newest: AtomicU64,
    /// Whether the strongest own and read first.
    strong_first: bool,
    client: Client,
    timer: Timer,
    /// Bytes of messages and replies.
    bytes: Family<PeerBytesLabels, Counter>,
}

impl Peers {
    /// Knows only itself.
    #[must_use]
    pub fn new(me: Member, client: Client) -> Self {
        Self {
            me,
            known: Mutex::default(),
            newest: AtomicU64::new(0),
            strong_first: true,
            client,
            timer: Timer::new(),
            bytes: Family::default(),
        }
    }

    /// Says whether the strongest own and read first; else the order is by hash alone.
    #[must_use]
    pub const fn with_strong_first(mut self, strong_first: bool) -> Self {
        self.strong_first = strong_first;
        self
    }

    /// Counts the bytes of messages and replies there.
    #[must_use]
    pub fn with_bytes(mut self, bytes: Family<PeerBytesLabels, Counter>) -> Self {
        self.bytes = bytes;
        self
    }

    /// This instance as a member.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Instances that share budgets, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.lock().len() + 1
    }

    /// Takes word of a member. One that began a later life replaces what was known of it.
    pub fn upsert(&self, member: Member) {
        if member.id == self.me.id {
            return;
        }
        let mut known = self.known.lock();
        let newer = known
            .get(&member.id)
            .is_none_or(|known| known.member.started_at < member.started_at);
        if newer {
            let fresh = Known {
                member: member.clone(),
                heard: None,
                failures: 0,
                suspect_until: Duration::ZERO,
                heard_as: 0,
                mark: 0,
            };
            known.insert(Arc::clone(&member.id), fresh);
        }
    }

    /// Notes that a member was heard.
    pub fn mark_seen(&self, member: Member) {
        let id = Arc::clone(&member.id);
        self.upsert(member);
        self.answered(&id);
    }

    /// Members that were heard lately, this one included, and that one who knows all up to a mark
    /// may not know. The whole list in each reply would grow with the square of their number.
    #[must_use]
    pub fn members_since(&self, revision: u64) -> Members {
        let newest = self.newest.load(Ordering::Acquire);
        // A mark from this instance's former life says nothing about this one.
        let revision = if revision > newest { 0 } else { revision };
        let oldest = boot_time().saturating_sub(HEARD_LATELY);
        let known = self.known.lock();
        let heard = known.values().filter(|known| {
            known.heard_as > revision && known.heard.is_some_and(|at| at >= oldest)
        });
        let mut members: Vec<Member> = heard.map(|known| known.member.clone()).collect();
        if revision == 0 {
            members.push(self.me.clone());
        }
        Members {
            members,
            revision: newest,
        }
    }

    /// Members at the heads of the orders of readers. A newcomer finds sources and owners with these,
    /// and the rest at its first sync. The whole list for each of n newcomers would be O(n²) bytes.
    #[must_use]
    pub fn leaders(&self) -> Members {
        let orders = [Topic::Operator, Topic::Targets].map(|topic| self.readers(topic));
        let heads = orders
            .iter()
            .flat_map(|order| order.iter().take(GREETED_PER_ORDER));
        let heads: BTreeSet<&InstanceId> = heads.collect();
        let known = self.known.lock();
        let others = heads.iter().filter_map(|id| known.get(*id));
        let mut members: Vec<Member> = others.map(|known| known.member.clone()).collect();
        members.push(self.me.clone());
        Members {
            members,
            revision: 0,
        }
    }

    /// The mark up to which a member has told of others.
    #[must_use]
    pub fn revision_of(&self, id: &InstanceId) -> u64 {
        let known = self.known.lock();
        known.get(id).map_or(0, |known| known.mark)
    }

    /// Notes up to which mark a member has told of others.
    pub fn set_revision(&self, id: &InstanceId, revision: u64) {
        if let Some(known) = self.known.lock().get_mut(id) {
            known.mark = revision;
        }
    }

    /// All members that are known.
    #[must_use]
    pub fn ids(&self) -> Vec<InstanceId> {
        self.known.lock().keys().cloned().collect()
    }

    /// Instances in the order in which they own a service, less those that don't answer.
    #[must_use]
    pub fn owners(&self, service: &str) -> Vec<InstanceId> {
        self.ranked(service, |_| true)
    }

    /// Instances in the order in which they read a topic at the store, less those that don't answer.
    #[must_use]
    pub fn readers(&self, topic: Topic) -> Vec<InstanceId> {
        self.owners(&reading(topic))
    }

    /// Instances in the order in which they read a topic or relay it in this data centre, less
    /// those that don't answer.
    #[must_use]
    pub fn ranking(&self, topic: Topic) -> Ranking {
        let here = &self.me.data_centre;
        Ranking {
            all: self.readers(topic),
            same_data_centre: self.ranked(&reading(topic), |member| member.data_centre == *here),
        }
    }

    fn ranked(&self, what: &str, fits: impl Fn(&Member) -> bool) -> Vec<InstanceId> {
        let now = boot_time();
        let known = self.known.lock();
        let answering = known
            .values()
            .filter(|known| known.suspect_until <= now && known.failures == 0)
            .map(|known| &known.member);
        let fitting = answering.chain([&self.me]).filter(|member| fits(member));
        let all = fitting.map(|member| OwnerCandidate {
            id: Arc::clone(&member.id),
            capacity: if self.strong_first {
                member.capacity
            } else {
                0
            },
        });
        rank_owners(what, all)
    }

    /// Members that did not answer and may be tried again.
    #[must_use]
    pub fn due_for_retry(&self) -> Vec<InstanceId> {
        let now = boot_time();
        let known = self.known.lock();
        known
            .values()
            .filter(|known| known.failures > 0 && known.suspect_until <= now)
            .map(|known| Arc::clone(&known.member.id))
            .collect()
    }

    /// Sends a message and waits for the reply; none if the peer does not answer in time.
    pub async fn call(
        &self,
        to: &InstanceId,
        message: &Message,
        patience: Duration,
    ) -> Option<Reply> {
        let (addr, here) = self.way_to(to)?;
        match self.exchange_with(addr, here, message, patience).await {
            Ok(reply) => {
                self.answered(to);
                Some(reply)
            }
            Err(reason) => {
                self.failed(to, &reason);
                None
            }
        }
    }

    /// Sends a message to a peer that may have started at this moment too: no answer says nothing
    /// about it.
    pub async fn try_call(
        &self,
        to: &InstanceId,
        message: &Message,
        patience: Duration,
    ) -> Option<Reply> {
        let (addr, here) = self.way_to(to)?;
        let reply = self
            .exchange_with(addr, here, message, patience)
            .await
            .ok()?;
        self.answered(to);
        Some(reply)
    }

    /// Where a peer listens, and whether it is in this data centre.
    fn way_to(&self, id: &InstanceId) -> Option<(SocketAddr, bool)> {
        let known = self.known.lock();
        let member = &known.get(id)?.member;
        Some((member.addr, member.data_centre == self.me.data_centre))
    }

    /// Sends a message to an address, whoever listens there.
    ///
    /// # Errors
    /// Tells why there is no reply.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        message: &Message,
        patience: Duration,
    ) -> Result<Reply, String> {
        // Whose address it is is not known; most are elsewhere.
        self.exchange_with(addr, false, message, patience).await
    }

    async fn exchange_with(
        &self,
        addr: SocketAddr,
        here: bool,
        message: &Message,
        patience: Duration,
    ) -> Result<Reply, String> {
        let buf = rmp_serde::to_vec(message).map_err(|e| e.to_string())?;
        self.count_bytes(message, "out", here, buf.len());
        let req = Request::post(MESSAGES_PATH)
            .body(Full::new(Bytes::from(buf)))
            .map_err(|e| e.to_string())?;
        let sent = async {
            let head = self.client.send(addr, req);
            let resp = self.timer.within(patience, head).await;
            let resp = resp.ok_or_else(|| format!("nothing within {patience:?}"))?;
            let body = resp.map_err(|e| e.to_string())?.into_body();
            // All listings of a large service take a second over a narrow link; what arrives has
            // been answered.
            let body = read_limited(body, MESSAGE_LIMIT, BODY_PAUSE).await;
            let body = body.map_err(|e| e.to_string())?;
            self.count_bytes(message, "in", here, body.len());
            rmp_serde::from_slice(&body).map_err(|e| e.to_string())
        };
        let answer: Result<Reply, String> = sent.await;
        if answer.is_err() {
            // Other connections to it may have gone silent as well.
            self.client.forget(addr);
        }
        answer
    }

    fn count_bytes(&self, message: &Message, direction: &'static str, here: bool, bytes: usize) {
        let exchange = PeerBytesLabels {
            topic: message.topic(),
            direction,
            data_centre: if here { "same" } else { "other" },
        };
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes.get_or_create(&exchange).inc_by(bytes);
    }

    fn answered(&self, id: &InstanceId) {
        let mut known = self.known.lock();
        let Some(peer) = known.get_mut(id) else {
            return;
        };
        let now = boot_time();
        let away = peer.heard.is_none_or(|at| at + HEARD_LATELY < now);
        if away {
            // Those who asked while it was away were not told of it.
            peer.heard_as = self.newest.fetch_add(1, Ordering::AcqRel) + 1;
        }
        peer.heard = Some(now);
        peer.suspect_until = Duration::ZERO;
        let was = std::mem::take(&mut peer.failures);
        drop(known);
        if was > 0 {
            emit(&Event::PeerRegained {
                peer: Arc::clone(id),
            });
        }
    }

    fn failed(&self, id: &InstanceId, reason: &str) {
        let mut known = self.known.lock();
        let Some(peer) = known.get_mut(id) else {
            return;
        };
        let doubled = SUSPECT.saturating_mul(1 << peer.failures.min(8));
        peer.suspect_until = boot_time() + doubled.min(SUSPECT_MOST);
        peer.failures = peer.failures.saturating_add(1);
        let first = peer.failures == 1;
        drop(known);
        if first {
            emit(&Event::PeerLost {
                peer: Arc::clone(id),
                reason: reason.into(),
            });
        }
    }
}

/// What instances are ranked for that read a topic.
fn reading(topic: Topic) -> String {
    format!("reader of {topic}")
}
