//! Going on with a stream that began over another connection, here or at another instance.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use hyper::{Request, Response, body::Incoming};
use net::Body;
use parking_lot::Mutex;
use smol::channel::{Receiver, Sender, bounded};
use targets::StreamId;
use types::{Refusal, ServiceKind, Target, TargetId, Tokens};

use crate::{
    admission::AdmissionRequest,
    gateway::Core,
    generate::DEFAULT_IN_FLIGHT,
    metrics::Outcome,
    refusals,
    request::{self, Caller, Wishes},
    resume_handle::ResumeHandle,
    writer::{self, Account},
};

/// Header in which a caller names the last event that it has.
const LAST_EVENT_ID: &str = "last-event-id";

/// A target and the name of a stream there.
pub type Key = (TargetId, StreamId);

/// One stream held here.
struct Entry {
    number: u64,
    /// Closed to tell its carrier that the caller goes on elsewhere.
    tx: Sender<()>,
}

/// The streams that this instance carries. Clones share them.
#[derive(Clone, Default)]
pub struct Streams {
    held: Arc<Mutex<HashMap<Key, Entry>>>,
    numbers: Arc<AtomicU64>,
}

/// A stream held here; forgotten when dropped.
pub struct Hold {
    streams: Streams,
    key: Key,
    number: u64,
    rx: Receiver<()>,
}

/// Completes once a caller goes on with its stream over another connection.
pub struct Superseded {
    rx: Receiver<()>,
}

impl Streams {
    /// Notes that a stream is carried here. Whoever carried it before is told to let go.
    pub fn hold(&self, target: &TargetId, stream: &StreamId) -> Hold {
        let key = (TargetId::clone(target), StreamId::clone(stream));
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = bounded(1);
        // Dropping the sender of the carrier before closes its channel.
        self.held.lock().insert(key.clone(), Entry { number, tx });
        Hold {
            streams: self.clone(),
            key,
            number,
            rx,
        }
    }

    /// Streams held here, as target and name.
    pub fn list(&self) -> Vec<Key> {
        let mut keys: Vec<_> = self.held.lock().keys().cloned().collect();
        keys.sort();
        keys
    }

    /// Tells whoever carries a stream here to let go of it.
    pub fn supersede(&self, target: &TargetId, stream: &StreamId) {
        let key = (TargetId::clone(target), StreamId::clone(stream));
        if let Some(entry) = self.held.lock().remove(&key) {
            entry.tx.close();
        }
    }
}

impl Hold {
    /// A future to wait on.
    pub fn superseded(&self) -> Superseded {
        Superseded {
            rx: self.rx.clone(),
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut held = self.streams.held.lock();
        if held.get(&self.key).is_some_and(|e| e.number == self.number) {
            held.remove(&self.key);
        }
    }
}

impl Superseded {
    /// Waits for it. Nothing is ever sent: the channel just closes.
    pub async fn wait(self) {
        let _ = self.rx.recv().await;
    }
}

/// Answers a caller that goes on with a stream.
pub async fn answer(
    core: &Arc<Core>,
    caller: Caller,
    req: &Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let id = request::header(req.headers(), LAST_EVENT_ID)?;
    let (ticket, offset) = id
        .and_then(|id| core.tickets.read(&caller.workspace, id))
        .ok_or_else(refusals::bad_event_id)?;
    let wishes = Wishes::read(req.headers())?;
    let target = core
        .admission
        .find_target(&ticket.target)
        .ok_or_else(refusals::stream_gone)?;
    let rule = caller.current.in_force.service(&target.service);
    let rule = rule.ok_or_else(refusals::stream_gone)?;
    let limit = rule.knobs.in_flight.unwrap_or(DEFAULT_IN_FLIGHT);
    let flight = core.flights.enter(&caller.workspace, limit, ticket.class)?;

    let at = offset.saturating_add(1);
    let mut running = core.relay.adopt(&target, &ticket.stream, at);
    if running.connect().await.is_err() {
        flight.note(Outcome::Partial);
        return Err(refusals::stream_gone());
    }
    let deadline = wishes.deadline(caller.arrived, rule.knobs.deadline_ms);
    let wanted = wanted(&caller, &target, &ticket, deadline);
    let permit = core.admission.adopt(&target, wanted, at);
    tell_holder(core, &ticket);
    core.metrics.adopted();
    let account = Account {
        workspace: caller.workspace,
        route: ticket.route,
        class: ticket.class,
        prompt_tokens: ticket.prompt_tokens,
        max_output: ticket.max_output,
        fingerprint: None,
    };
    let reply = writer::carry(core, &account, permit, running, None, flight);
    Ok(reply.done())
}

/// Whoever held the stream must not cancel it now.
fn tell_holder(core: &Arc<Core>, ticket: &ResumeHandle) {
    if ticket.holder == core.instance {
        core.streams.supersede(&ticket.target, &ticket.stream);
        return;
    }
    let Some(takeover) = core.takeover.clone() else {
        return;
    };
    let ticket = ticket.clone();
    let tell = async move {
        takeover
            .notify(&ticket.holder, &ticket.target, &ticket.stream)
            .await;
    };
    workers::spawn(tell).detach();
}

fn wanted(
    caller: &Caller,
    target: &Target,
    ticket: &ResumeHandle,
    deadline: types::Moment,
) -> AdmissionRequest {
    AdmissionRequest {
        service: target.service.clone(),
        kind: ServiceKind::Model,
        workspace: caller.workspace.clone(),
        route: ticket.route.clone(),
        class: ticket.class,
        deadline,
        idempotent: false,
        prompt_tokens: ticket.prompt_tokens,
        max_output: ticket.max_output,
        prefix: Vec::new(),
        true_output: None::<Tokens>,
    }
}
