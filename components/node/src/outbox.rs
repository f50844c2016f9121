//! Queues messages to peers and sends them in envelopes.
//!
//! At most one envelope to a peer is in flight; messages queued meanwhile are sent with the next
//! one. This keeps their order, and batches messages under load.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use net::{Client, SendError};
use parking_lot::Mutex;
use smol::channel::{Receiver, Sender, bounded};
use timer::Timer;
use types::{Incarnation, InstanceId, Member};
use wire::{Envelope, Key, Message};

/// Path at which an instance receives envelopes.
pub const MESSAGES_PATH: &str = "/peer/v1/messages";
/// Time limit for sending an envelope. If a peer does not accept one within this time, the next is
/// sent over a new connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of messages queued for one peer. If the queue is full, the oldest is dropped.
const MAX_QUEUED: usize = 10_000;

/// Receives the names of peers whose address refused a connection.
pub type RefusedPeers = Receiver<InstanceId>;

/// The messages to one peer that are not in flight yet.
struct PeerQueue {
    member: Member,
    messages: Vec<Message>,
    wake: Sender<()>,
}

struct Shared {
    me: InstanceId,
    incarnation: Incarnation,
    key: Key,
    client: Client,
    timer: Timer,
    queues: Mutex<BTreeMap<InstanceId, PeerQueue>>,
    refused: Sender<InstanceId>,
}

/// Queues of messages to all peers. Clones share the queues.
#[derive(Clone)]
pub struct Outbox {
    shared: Arc<Shared>,
}

impl Outbox {
    /// Creates an outbox without peers. The receiver reports peers that refuse connections.
    #[must_use]
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        key: Key,
        client: Client,
        timer: Timer,
    ) -> (Self, RefusedPeers) {
        let (refused, refused_peers) = bounded(64);
        let queues = Mutex::default();
        let shared = Shared {
            me,
            incarnation,
            key,
            client,
            timer,
            queues,
            refused,
        };
        (
            Self {
                shared: Arc::new(shared),
            },
            refused_peers,
        )
    }

    /// Sets the peers. Messages to removed peers, and to peers whose address has changed, are
    /// dropped.
    pub fn set_peers(&self, peers: &[Member]) {
        let mut queues = self.shared.queues.lock();
        let wanted: BTreeSet<&InstanceId> = peers.iter().map(|m| &m.id).collect();
        queues.retain(|id, _| wanted.contains(id));
        for member in peers {
            if queues
                .get(&member.id)
                .is_some_and(|q| q.member.addr == member.addr)
            {
                continue;
            }
            let (wake, wake_rx) = bounded(1);
            let queue = PeerQueue {
                member: member.clone(),
                messages: Vec::new(),
                wake,
            };
            queues.insert(member.id.clone(), queue);
            let shared = Arc::clone(&self.shared);
            workers::spawn(deliver(shared, member.clone(), wake_rx)).detach();
        }
    }

    /// Queues a message for a peer. Messages to unknown peers are dropped.
    pub fn push(&self, to: &InstanceId, message: Message) {
        let mut queues = self.shared.queues.lock();
        let Some(queue) = queues.get_mut(to) else {
            return;
        };
        if queue.messages.len() >= MAX_QUEUED {
            queue.messages.remove(0);
        }
        queue.messages.push(message);
        // If the channel is full, the sending task has already been woken.
        let _ = queue.wake.try_send(());
    }
}

/// Sends envelopes to one peer until its queue is replaced or removed.
async fn deliver(shared: Arc<Shared>, member: Member, wake_rx: Receiver<()>) {
    let mut sequence = 0;
    let mut use_new_connection = false;
    while wake_rx.recv().await.is_ok() {
        let messages = take_messages(&shared, &member);
        if messages.is_empty() {
            continue;
        }
        sequence += 1;
        let envelope = Envelope {
            format: Envelope::FORMAT,
            from: shared.me.clone(),
            incarnation: shared.incarnation,
            to: member.id.clone(),
            sequence,
            messages,
        };
        use_new_connection = !send(&shared, &member, &envelope, use_new_connection).await;
    }
}

fn take_messages(shared: &Shared, member: &Member) -> Vec<Message> {
    let mut queues = shared.queues.lock();
    queues
        .get_mut(&member.id)
        .map(|q| std::mem::take(&mut q.messages))
        .unwrap_or_default()
}

/// Sends one envelope; returns whether the peer accepted it. An envelope that was not accepted is
/// not sent again: the next report of held permits and the next heartbeat repeat the state that it
/// described.
async fn send(
    shared: &Shared,
    member: &Member,
    envelope: &Envelope,
    use_new_connection: bool,
) -> bool {
    let body = Bytes::from(shared.key.seal(envelope));
    let Ok(req) = Request::post(MESSAGES_PATH).body(Full::new(body)) else {
        return false;
    };
    let call = async {
        if use_new_connection {
            shared.client.send_fresh(member.addr, req).await
        } else {
            shared.client.send(member.addr, req).await
        }
    };
    match shared.timer.within(SEND_TIMEOUT, call).await {
        Some(Ok(resp)) => {
            let accepted = resp.status().is_success();
            // The connection returns to the pool only after the (empty) body was read to its end.
            let _ = net::read_all(resp.into_body(), 1024, SEND_TIMEOUT).await;
            accepted
        }
        Some(Err(SendError::Unsent(_))) => {
            let _ = shared.refused.try_send(member.id.clone());
            false
        }
        Some(Err(SendError::Lost { .. })) | None => false,
    }
}
