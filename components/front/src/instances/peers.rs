//! The other instances: what is known of each, which of them respond, and calls to them.
//!
//! Each instance numbers the members that it has seen with increasing revisions, so that a peer
//! that knows all up to a revision gets only newer ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use derive_more::Display;
use events::{Event, emit};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use net::{Budget, Client, SendError, SendRules, read_shared};
use parking_lot::Mutex;
use placing::{OwnerCandidate, rank_owners};
use prometheus_client::metrics::{counter::Counter, family::Family};
use timer::{NoAnswer, Timer, boot_time};
use types::{InstanceId, Moment};

use crate::{
    instances::{
        joining::GREETED_PER_ORDER,
        wire::{Member, Message, Reply, Topic},
    },
    metrics::PeerBytesLabels,
    store::fanout::Ranking,
};

/// The path for messages between instances.
pub const MESSAGES_PATH: &str = "/peer/v6/messages";
/// The most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1_024 * 1_024;
/// The longest pause within a reply that has begun to arrive.
const BODY_PAUSE: Duration = Duration::from_millis(500);
/// How long a peer is skipped after its first failure; doubled with each further failure in a row.
const BASE_SUSPECT_TIME: Duration = Duration::from_millis(1_500);
/// The longest time that a peer is skipped.
const MAX_SUSPECT_TIME: Duration = Duration::from_secs(20);
/// A peer is passed on to others if it was seen within this time.
const RECENT: Duration = Duration::from_secs(4);

/// What is known of one peer.
#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    /// When it last sent or answered a message.
    last_seen: Option<Moment>,
    /// Calls in a row that have failed.
    failures: u32,
    /// Until then it is skipped after a failure.
    suspect_until: Moment,
    /// The revision at which it was first seen, or seen again after an absence.
    seen_revision: u64,
    /// The revision of its own list of members up to which this instance has received them.
    received_revision: u64,
}

/// Why a peer has not answered.
#[derive(Clone, Debug, Display)]
enum Unanswered {
    /// It failed, or was silent.
    Failed(String),
    /// This instance was too late itself to notice an answer.
    #[display("this instance was too late to notice an answer")]
    Late,
}

/// Members that a peer may not know.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// The members.
    pub members: Vec<Member>,
    /// The revision up to which the peer then knows all members.
    pub revision: u64,
}

/// The other instances.
pub struct Peers {
    me: Member,
    peers: Mutex<BTreeMap<InstanceId, Peer>>,
    /// The latest revision.
    revision: AtomicU64,
    /// Whether instances with more capacity come first as owners and readers.
    by_capacity: bool,
    client: Client,
    timer: Timer,
    /// Counts the bytes of messages and replies.
    bytes: Family<PeerBytesLabels, Counter>,
    /// The memory that replies count against.
    memory: Budget,
}

impl Peers {
    /// Only this instance is known yet.
    #[must_use]
    pub fn new(me: Member, client: Client) -> Self {
        Self {
            me,
            peers: Mutex::default(),
            revision: AtomicU64::new(0),
            by_capacity: true,
            client,
            timer: Timer::new(),
            bytes: Family::default(),
            memory: Budget::unlimited(),
        }
    }

    /// Sets the budget that replies count against while they are read.
    #[must_use]
    pub fn with_memory(mut self, memory: Budget) -> Self {
        self.memory = memory;
        self
    }

    /// Sets whether instances with more capacity come first as owners and readers; else the order
    /// is by hash alone.
    #[must_use]
    pub const fn with_capacity_order(mut self, by_capacity: bool) -> Self {
        self.by_capacity = by_capacity;
        self
    }

    /// Sets the counter of the bytes of messages and replies.
    #[must_use]
    pub fn with_byte_counter(mut self, bytes: Family<PeerBytesLabels, Counter>) -> Self {
        self.bytes = bytes;
        self
    }

    /// This instance as a member.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// The number of known instances, including this one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.lock().len() + 1
    }

    /// Adds a member, or replaces what is known of it if this is a later incarnation.
    pub fn upsert(&self, member: Member) {
        if member.id == self.me.id {
            return;
        }
        let mut peers = self.peers.lock();
        let is_newer = peers
            .get(&member.id)
            .is_none_or(|peer| peer.member.started_at < member.started_at);
        if is_newer {
            let peer = Peer {
                member: member.clone(),
                last_seen: None,
                failures: 0,
                suspect_until: Duration::ZERO,
                seen_revision: 0,
                received_revision: 0,
            };
            peers.insert(Arc::clone(&member.id), peer);
        }
    }

    /// Records that a member has sent a message.
    pub fn mark_seen(&self, member: Member) {
        let id = Arc::clone(&member.id);
        self.upsert(member);
        self.record_contact(&id);
    }

    /// The members seen recently, including this instance, that a peer which knows all up to
    /// `revision` may not know. The whole list in each reply would cost O(n²) bytes.
    #[must_use]
    pub fn members_since(&self, revision: u64) -> Members {
        let latest = self.revision.load(Ordering::Acquire);
        // A revision of an earlier incarnation of this instance has no meaning in this one.
        let revision = if revision > latest { 0 } else { revision };
        let oldest = boot_time().saturating_sub(RECENT);
        let peers = self.peers.lock();
        let seen = peers.values().filter(|peer| {
            peer.seen_revision > revision && peer.last_seen.is_some_and(|at| at >= oldest)
        });
        let mut members: Vec<Member> = seen.map(|peer| peer.member.clone()).collect();
        if revision == 0 {
            members.push(self.me.clone());
        }
        Members {
            members,
            revision: latest,
        }
    }

    /// The first members in the orders of readers. With these a new instance finds sources and
    /// owners; it gets the rest at its first sync. The whole list for each of n new instances would
    /// cost O(n²) bytes.
    #[must_use]
    pub fn leaders(&self) -> Members {
        let orders = [Topic::Operator, Topic::Targets].map(|topic| self.readers(topic));
        let heads = orders
            .iter()
            .flat_map(|order| order.iter().take(GREETED_PER_ORDER));
        let heads: BTreeSet<&InstanceId> = heads.collect();
        let peers = self.peers.lock();
        let others = heads.iter().filter_map(|id| peers.get(*id));
        let mut members: Vec<Member> = others.map(|peer| peer.member.clone()).collect();
        members.push(self.me.clone());
        Members {
            members,
            revision: 0,
        }
    }

    /// The revision of a peer's list of members up to which this instance has received them.
    #[must_use]
    pub fn revision_of(&self, id: &InstanceId) -> u64 {
        let peers = self.peers.lock();
        peers.get(id).map_or(0, |peer| peer.received_revision)
    }

    /// Records the revision of a peer's list of members up to which this instance has received
    /// them.
    pub fn set_revision(&self, id: &InstanceId, revision: u64) {
        if let Some(peer) = self.peers.lock().get_mut(id) {
            peer.received_revision = revision;
        }
    }

    /// The ids of all other known instances.
    #[must_use]
    pub fn ids(&self) -> Vec<InstanceId> {
        self.peers.lock().keys().cloned().collect()
    }

    /// The responsive instances, including this one, ranked as owners of the item `name`.
    #[must_use]
    pub fn owners(&self, name: &str) -> Vec<InstanceId> {
        self.ranked(name, |_| true)
    }

    /// The responsive instances in the order in which they read a topic from the store.
    #[must_use]
    pub fn readers(&self, topic: Topic) -> Vec<InstanceId> {
        self.owners(&reader_name(topic))
    }

    /// The responsive instances in the order in which they read a topic from the store, and those
    /// of this data centre in the order in which they relay it.
    #[must_use]
    pub fn ranking(&self, topic: Topic) -> Ranking {
        let own = &self.me.data_centre;
        Ranking {
            all: self.readers(topic),
            same_data_centre: self.ranked(&reader_name(topic), |member| member.data_centre == *own),
        }
    }

    fn ranked(&self, name: &str, is_eligible: impl Fn(&Member) -> bool) -> Vec<InstanceId> {
        let now = boot_time();
        let peers = self.peers.lock();
        let responsive = peers
            .values()
            .filter(|peer| peer.suspect_until <= now && peer.failures == 0)
            .map(|peer| &peer.member);
        let eligible = responsive
            .chain([&self.me])
            .filter(|member| is_eligible(member));
        let all = eligible.map(|member| OwnerCandidate {
            id: Arc::clone(&member.id),
            capacity: if self.by_capacity { member.capacity } else { 0 },
        });
        rank_owners(name, all)
    }

    /// This instance and the peers whose last call has not failed.
    #[must_use]
    pub fn responsive_members(&self) -> Vec<Member> {
        let peers = self.peers.lock();
        let responsive = peers.values().filter(|peer| peer.failures == 0);
        let members = responsive.map(|peer| peer.member.clone());
        members.chain([self.me.clone()]).collect()
    }

    /// The peers whose last call has failed and that may be called again.
    #[must_use]
    pub fn due_for_retry(&self) -> Vec<InstanceId> {
        let now = boot_time();
        let peers = self.peers.lock();
        peers
            .values()
            .filter(|peer| peer.failures > 0 && peer.suspect_until <= now)
            .map(|peer| Arc::clone(&peer.member.id))
            .collect()
    }

    /// Sends a message and waits for the reply; none if the peer is unknown or does not answer in
    /// time. Records whether it answered.
    pub async fn call(
        &self,
        to: &InstanceId,
        message: &Message,
        timeout: Duration,
    ) -> Option<Reply> {
        let (addr, is_local) = self.address_of(to)?;
        match self.exchange_at(addr, is_local, message, timeout).await {
            Ok(reply) => {
                self.record_contact(to);
                Some(reply)
            }
            Err(Unanswered::Failed(reason)) => {
                self.record_failure(to, &reason);
                None
            }
            // It's no evidence against the peer.
            Err(Unanswered::Late) => None,
        }
    }

    /// Like [`Self::call`], but a missing answer does not count as a failure: the peer may be
    /// starting at the same time.
    pub async fn try_call(
        &self,
        to: &InstanceId,
        message: &Message,
        timeout: Duration,
    ) -> Option<Reply> {
        let (addr, is_local) = self.address_of(to)?;
        let reply = self
            .exchange_at(addr, is_local, message, timeout)
            .await
            .ok()?;
        self.record_contact(to);
        Some(reply)
    }

    /// Sends a request for a target to the peer at an address, which passes it on, and waits at most `timeout`
    /// for the head of the answer.
    ///
    /// # Errors
    /// The error says whether any byte of the request may have been sent.
    pub async fn relay(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        rules: &dyn SendRules,
    ) -> Result<Response<Incoming>, SendError> {
        self.client.send_within(timeout, addr, req, rules).await
    }

    /// The address of a peer, if it is known.
    #[must_use]
    pub fn addr(&self, id: &InstanceId) -> Option<SocketAddr> {
        self.address_of(id).map(|(addr, _)| addr)
    }

    /// Whether an instance is known and has this address.
    #[must_use]
    pub fn is_member(&self, id: &InstanceId, addr: IpAddr) -> bool {
        let peers = self.peers.lock();
        peers
            .get(id)
            .is_some_and(|peer| peer.member.addr.ip() == addr)
    }

    /// A peer's address, and whether the peer is in this data centre.
    fn address_of(&self, id: &InstanceId) -> Option<(SocketAddr, bool)> {
        let peers = self.peers.lock();
        let member = &peers.get(id)?.member;
        Some((member.addr, member.data_centre == self.me.data_centre))
    }

    /// Sends a message to the instance at an address, which may not be known yet.
    ///
    /// # Errors
    /// Returns why there is no reply.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> Result<Reply, String> {
        // The data centre is not known; counted as another one, which most are.
        self.exchange_at(addr, false, message, timeout)
            .await
            .map_err(|e| e.to_string())
    }

    async fn exchange_at(
        &self,
        addr: SocketAddr,
        is_local: bool,
        message: &Message,
        timeout: Duration,
    ) -> Result<Reply, Unanswered> {
        let failed = |e: &dyn std::fmt::Display| Unanswered::Failed(e.to_string());
        let buf = rmp_serde::to_vec(message).map_err(|e| failed(&e))?;
        self.count_bytes(message, "out", is_local, buf.len());
        let req = Request::post(MESSAGES_PATH)
            .body(Full::new(Bytes::from(buf)))
            .map_err(|e| failed(&e))?;
        let sent = async {
            let head = self.client.send(addr, req);
            let resp = match self.timer.await_answer(timeout, head).await {
                Ok(resp) => resp.map_err(|e| failed(&e))?,
                Err(NoAnswer::Silent) => {
                    return Err(failed(&format!("no answer within {timeout:?}")));
                }
                Err(NoAnswer::Late) => return Err(Unanswered::Late),
            };
            let body = resp.into_body();
            // The timeout covers the head only: all listings of a large service take a second over
            // a narrow link.
            let mut memory = self.memory.share();
            let body = read_shared(body, MAX_MESSAGE_BYTES, BODY_PAUSE, &mut memory).await;
            let body = body.map_err(|e| failed(&e))?;
            self.count_bytes(message, "in", is_local, body.len());
            rmp_serde::from_slice(&body).map_err(|e| failed(&e))
        };
        let answer: Result<Reply, Unanswered> = sent.await;
        if matches!(answer, Err(Unanswered::Failed(_))) {
            // Other connections to this address may be dead as well.
            self.client.close_connections(addr);
        }
        answer
    }

    fn count_bytes(
        &self,
        message: &Message,
        direction: &'static str,
        is_local: bool,
        bytes: usize,
    ) {
        let labels = PeerBytesLabels {
            topic: message.topic(),
            direction,
            data_centre: if is_local { "same" } else { "other" },
        };
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes.get_or_create(&labels).inc_by(bytes);
    }

    fn record_contact(&self, id: &InstanceId) {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(id) else {
            return;
        };
        let now = boot_time();
        let was_absent = peer.last_seen.is_none_or(|at| at + RECENT < now);
        if was_absent {
            // Peers that synced during its absence did not get it.
            peer.seen_revision = self.revision.fetch_add(1, Ordering::AcqRel) + 1;
        }
        peer.last_seen = Some(now);
        peer.suspect_until = Duration::ZERO;
        let failures = std::mem::take(&mut peer.failures);
        drop(peers);
        if failures > 0 {
            emit(&Event::PeerRegained {
                peer: Arc::clone(id),
            });
        }
    }

    fn record_failure(&self, id: &InstanceId, reason: &str) {
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(id) else {
            return;
        };
        let doubled = BASE_SUSPECT_TIME.saturating_mul(1 << peer.failures.min(8));
        peer.suspect_until = boot_time() + doubled.min(MAX_SUSPECT_TIME);
        peer.failures = peer.failures.saturating_add(1);
        let is_first = peer.failures == 1;
        drop(peers);
        if is_first {
            emit(&Event::PeerLost {
                peer: Arc::clone(id),
                reason: reason.into(),
            });
        }
    }
}

/// The name under which the readers of a topic are ranked.
fn reader_name(topic: Topic) -> String {
    format!("reader of {topic}")
}
