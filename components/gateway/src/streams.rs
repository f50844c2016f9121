//! The streams that this instance delivers, and their resumption by callers over another
//! connection, at this or another instance.

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
    prompt_parts::SharedParts,
    refusals,
    request::{self, Caller, RequestOptions},
    resume_handle::ResumeHandle,
    writer::{self, StreamContext},
};

/// Header with the id of the last event that a caller has received.
const LAST_EVENT_ID: &str = "last-event-id";

/// A target and the id of a stream at it.
pub type Key = (TargetId, StreamId);

/// A registered stream.
struct Entry {
    /// Distinguishes registrations of the same stream.
    number: u64,
    /// Closed to notify the delivery that it is superseded.
    tx: Sender<()>,
}

/// The streams that this instance delivers. Clones share them.
#[derive(Clone, Default)]
pub struct Streams {
    entries: Arc<Mutex<HashMap<Key, Entry>>>,
    next_number: Arc<AtomicU64>,
}

/// The registration of a stream, removed when dropped.
pub struct StreamRegistration {
    streams: Streams,
    key: Key,
    number: u64,
    rx: Receiver<()>,
}

/// Notification that the caller has resumed the stream over another connection.
pub struct Superseded {
    rx: Receiver<()>,
}

impl Streams {
    /// Registers a stream that is delivered here. An earlier delivery of the same stream is
    /// superseded.
    pub fn register(&self, target: &TargetId, stream: &StreamId) -> StreamRegistration {
        let key = (TargetId::clone(target), StreamId::clone(stream));
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = bounded(1);
        // Replacing an earlier entry drops its sender and so closes its channel.
        self.entries
            .lock()
            .insert(key.clone(), Entry { number, tx });
        StreamRegistration {
            streams: self.clone(),
            key,
            number,
            rx,
        }
    }

    /// Returns the registered streams, sorted.
    pub fn list(&self) -> Vec<Key> {
        let mut keys: Vec<_> = self.entries.lock().keys().cloned().collect();
        keys.sort();
        keys
    }

    /// Notifies the delivery of a stream at this instance, if any, that it is superseded.
    pub fn supersede(&self, target: &TargetId, stream: &StreamId) {
        let key = (TargetId::clone(target), StreamId::clone(stream));
        if let Some(entry) = self.entries.lock().remove(&key) {
            entry.tx.close();
        }
    }
}

impl StreamRegistration {
    /// Returns the notification to wait for.
    pub fn superseded(&self) -> Superseded {
        Superseded {
            rx: self.rx.clone(),
        }
    }
}

impl Drop for StreamRegistration {
    fn drop(&mut self) {
        let mut entries = self.streams.entries.lock();
        if entries
            .get(&self.key)
            .is_some_and(|e| e.number == self.number)
        {
            entries.remove(&self.key);
        }
    }
}

impl Superseded {
    /// Waits for the notification, which is the closing of the channel; no message is ever sent.
    pub async fn wait(self) {
        let _ = self.rx.recv().await;
    }
}

/// Answers a request to resume a stream.
pub async fn answer(
    core: &Arc<Core>,
    caller: Caller,
    req: &Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let id = request::header(req.headers(), LAST_EVENT_ID)?;
    let (handle, offset) = id
        .and_then(|id| core.resume_handles.decode(&caller.workspace, id))
        .ok_or_else(refusals::bad_event_id)?;
    let options = RequestOptions::read(req.headers())?;
    let target = core
        .admission
        .find_target(&handle.target)
        .ok_or_else(refusals::stream_gone)?;
    let rule = caller.current.effective.service(&target.service);
    let rule = rule.ok_or_else(refusals::stream_gone)?;
    let limit = rule.knobs.in_flight.unwrap_or(DEFAULT_IN_FLIGHT);
    let in_flight = core
        .in_flight
        .enter(&caller.workspace, limit, handle.class)?;

    let at = offset.saturating_add(1);
    let mut stream = core.relay.adopt(&target, &handle.stream, at);
    if stream.connect().await.is_err() {
        in_flight.set_outcome(Outcome::Partial);
        return Err(refusals::stream_gone());
    }
    let deadline = options.deadline(caller.arrived, rule.knobs.deadline_ms);
    let request = admission_request(&caller, &target, &handle, deadline);
    let permit = core.admission.adopt(&target, request, at);
    notify_holder(core, &handle);
    core.metrics.record_adoption();
    let context = StreamContext {
        workspace: caller.workspace,
        route: handle.route,
        class: handle.class,
        prompt_tokens: handle.prompt_tokens,
        max_output: handle.max_output,
        fingerprint: None,
        shared_parts: SharedParts::default(),
        watch: None,
    };
    let reply = writer::start_delivery(core, context, permit, stream, None, in_flight);
    Ok(reply.done())
}

/// Notifies the instance that delivered the stream so far, so that it does not cancel it.
fn notify_holder(core: &Arc<Core>, handle: &ResumeHandle) {
    if handle.holder == core.instance {
        core.streams.supersede(&handle.target, &handle.stream);
        return;
    }
    let Some(takeover) = core.takeover.clone() else {
        return;
    };
    let handle = handle.clone();
    let notify = async move {
        takeover
            .notify(&handle.holder, &handle.target, &handle.stream)
            .await;
    };
    workers::spawn(notify).detach();
}

fn admission_request(
    caller: &Caller,
    target: &Target,
    handle: &ResumeHandle,
    deadline: types::Moment,
) -> AdmissionRequest {
    AdmissionRequest {
        service: target.service.clone(),
        kind: ServiceKind::Model,
        workspace: caller.workspace.clone(),
        route: handle.route.clone(),
        class: handle.class,
        deadline,
        idempotent: false,
        prompt_tokens: handle.prompt_tokens,
        max_output: handle.max_output,
        prefix: Vec::new(),
        true_output: None::<Tokens>,
    }
}
