//! Registry of requests that have been read and not yet answered.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use events::{Event, emit};
use parking_lot::Mutex;
use placing::GenerationId;
use timer::boot_time;
use types::{Moment, millis};

/// Requests that have been read and not yet answered.
#[derive(Debug, Default)]
pub struct OpenRequests {
    next_key: AtomicU64,
    by_key: Mutex<HashMap<u64, Request>>,
}

#[derive(Clone, Debug)]
struct Request {
    /// The id, once the head has been parsed.
    id: Option<GenerationId>,
    arrived: Moment,
}

/// The registration of one request; dropping it removes the request.
#[derive(Debug)]
pub struct OpenRequest<'a> {
    requests: &'a OpenRequests,
    key: u64,
}

impl OpenRequests {
    /// Registers a request.
    pub fn register(&self, arrived: Moment) -> OpenRequest<'_> {
        let key = self.next_key.fetch_add(1, Ordering::Relaxed);
        let request = Request { id: None, arrived };
        self.by_key.lock().insert(key, request);
        OpenRequest {
            requests: self,
            key,
        }
    }

    /// Number of open requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_key.lock().len()
    }

    /// Number of open requests that arrived since a moment.
    #[must_use]
    pub fn count_since(&self, since: Moment) -> usize {
        let requests = self.by_key.lock();
        let recent = requests.values().filter(|request| request.arrived >= since);
        recent.count()
    }

    /// The ids of all open requests, and the time since the arrival of each.
    #[must_use]
    pub fn list(&self) -> Vec<(GenerationId, Duration)> {
        let now = boot_time();
        let requests = self.by_key.lock();
        requests
            .values()
            .map(|request| (request.id_or_dash(), now.saturating_sub(request.arrived)))
            .collect()
    }
}

impl OpenRequest<'_> {
    /// Sets the request's id.
    pub fn set_id(&self, id: &GenerationId) {
        if let Some(request) = self.requests.by_key.lock().get_mut(&self.key) {
            request.id = Some(GenerationId::clone(id));
        }
    }

    /// Removes the request because it has been answered.
    pub fn finish(self) {
        self.requests.by_key.lock().remove(&self.key);
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        // Still registered only if the handler was dropped before it had an answer.
        let Some(request) = self.requests.by_key.lock().remove(&self.key) else {
            return;
        };
        // A panic is logged by an event of its own, and the caller gets an answer.
        if thread::panicking() {
            return;
        }
        emit(&Event::RequestDropped {
            id: request.id_or_dash(),
            held_ms: millis(boot_time().saturating_sub(request.arrived)),
        });
    }
}

impl Request {
    fn id_or_dash(&self) -> GenerationId {
        self.id.clone().unwrap_or_else(|| "-".into())
    }
}
