//! Messages on their way to peers.
//!
//! One envelope is under way to a peer at a time; what is decided meanwhile goes with the next.
//! Under load that gathers messages by itself, and their order is kept.

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

/// Where peers take envelopes.
pub const MESSAGES_PATH: &str = "/peer/v1/messages";
/// A peer that does not take an envelope within this time gets the next over a new connection.
const SEND_LIMIT: Duration = Duration::from_millis(800);
/// Messages kept for one peer; when it takes none, the oldest are dropped.
const KEPT: usize = 10_000;

/// What could not be delivered, for membership.
pub type Refusals = Receiver<InstanceId>;

struct Line {
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
    lines: Mutex<BTreeMap<InstanceId, Line>>,
    refused: Sender<InstanceId>,
}

/// Messages on their way to peers. Clones share them.
#[derive(Clone)]
pub struct Outbox {
    shared: Arc<Shared>,
}

impl Outbox {
    /// Makes an outbox without peers. Peers that refuse connections are told by the receiver.
    #[must_use]
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        key: Key,
        client: Client,
        timer: Timer,
    ) -> (Self, Refusals) {
        let (refused, refusals) = bounded(64);
        let lines = Mutex::default();
        let shared = Shared {
            me,
            incarnation,
            key,
            client,
            timer,
            lines,
            refused,
        };
        (
            Self {
                shared: Arc::new(shared),
            },
            refusals,
        )
    }

    /// Sets who the peers are.
    pub fn set_peers(&self, peers: &[Member]) {
        let mut lines = self.shared.lines.lock();
        let wanted: BTreeSet<&InstanceId> = peers.iter().map(|m| &m.id).collect();
        lines.retain(|id, _| wanted.contains(id));
        for member in peers {
            if lines
                .get(&member.id)
                .is_some_and(|l| l.member.addr == member.addr)
            {
                continue;
            }
            let (wake, woken) = bounded(1);
            let line = Line {
                member: member.clone(),
                messages: Vec::new(),
                wake,
            };
            lines.insert(member.id.clone(), line);
            let shared = Arc::clone(&self.shared);
            workers::spawn(deliver(shared, member.clone(), woken)).detach();
        }
    }

    /// Adds a message for a peer; one for an unknown peer is dropped.
    pub fn push(&self, to: &InstanceId, message: Message) {
        let mut lines = self.shared.lines.lock();
        let Some(line) = lines.get_mut(to) else {
            return;
        };
        if line.messages.len() >= KEPT {
            line.messages.remove(0);
        }
        line.messages.push(message);
        // Full: the line is awake already.
        let _ = line.wake.try_send(());
    }
}

/// Sends envelopes to one peer until its line is replaced or removed.
async fn deliver(shared: Arc<Shared>, member: Member, woken: Receiver<()>) {
    let mut number = 0;
    let mut fresh = false;
    while woken.recv().await.is_ok() {
        let messages = take(&shared, &member);
        if messages.is_empty() {
            continue;
        }
        number += 1;
        let envelope = Envelope {
            format: Envelope::FORMAT,
            from: shared.me.clone(),
            incarnation: shared.incarnation,
            to: member.id.clone(),
            sequence: number,
            messages,
        };
        fresh = !send(&shared, &member, &envelope, fresh).await;
    }
}

fn take(shared: &Shared, member: &Member) -> Vec<Message> {
    let mut lines = shared.lines.lock();
    lines
        .get_mut(&member.id)
        .map(|l| std::mem::take(&mut l.messages))
        .unwrap_or_default()
}

/// Sends one envelope; tells whether the peer took it. One that was not taken is lost: what it
/// said is made good by the next report of what is held and the next heartbeat.
async fn send(shared: &Shared, member: &Member, envelope: &Envelope, fresh: bool) -> bool {
    let body = Bytes::from(shared.key.seal(envelope));
    let Ok(req) = Request::post(MESSAGES_PATH).body(Full::new(body)) else {
        return false;
    };
    let call = async {
        if fresh {
            shared.client.send_fresh(member.addr, req).await
        } else {
            shared.client.send(member.addr, req).await
        }
    };
    match shared.timer.within(SEND_LIMIT, call).await {
        Some(Ok(resp)) => {
            let taken = resp.status().is_success();
            // Reading the empty body to its end returns the connection to the pool.
            let _ = net::read_all(resp.into_body(), 1024, SEND_LIMIT).await;
            taken
        }
        Some(Err(SendError::Unsent { .. })) => {
            let _ = shared.refused.try_send(member.id.clone());
            false
        }
        Some(Err(SendError::Lost { .. })) | None => false,
    }
}
