//! Requests that were read and have no answer yet.

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
use types::Moment;

use crate::callers::refusal::millis;

/// Requests that were read and have no answer yet.
#[derive(Debug, Default)]
pub struct OpenRequests {
    numbers: AtomicU64,
    all: Mutex<HashMap<u64, Request>>,
}

#[derive(Clone, Debug)]
struct Request {
    /// Its caller's id, once the head was understood.
    id: Option<GenerationId>,
    arrived: Moment,
}

/// One of them; no longer counted when dropped.
#[derive(Debug)]
pub struct OpenRequest<'a> {
    requests: &'a OpenRequests,
    number: u64,
}

impl OpenRequests {
    /// Counts one more.
    pub fn enter(&self, arrived: Moment) -> OpenRequest<'_> {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let request = Request { id: None, arrived };
        self.all.lock().insert(number, request);
        OpenRequest {
            requests: self,
            number,
        }
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.all.lock().len()
    }

    /// Their ids, and how long each has been held.
    #[must_use]
    pub fn list(&self) -> Vec<(GenerationId, Duration)> {
        let now = boot_time();
        let all = self.all.lock();
        all.values()
            .map(|request| (request.name(), now.saturating_sub(request.arrived)))
            .collect()
    }
}

impl OpenRequest<'_> {
    /// Notes its caller's id.
    pub fn named(&self, id: &GenerationId) {
        if let Some(request) = self.requests.all.lock().get_mut(&self.number) {
            request.id = Some(GenerationId::clone(id));
        }
    }

    /// Its answer is there.
    pub fn answered(self) {
        self.requests.all.lock().remove(&self.number);
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        // Still there only where the handler was dropped in the middle.
        let Some(request) = self.requests.all.lock().remove(&self.number) else {
            return;
        };
        // A panic is told by an event of its own, and its caller is answered.
        if thread::panicking() {
            return;
        }
        emit(&Event::RequestDropped {
            id: request.name(),
            held_ms: millis(boot_time().saturating_sub(request.arrived)),
        });
    }
}

impl Request {
    fn name(&self) -> GenerationId {
        self.id.clone().unwrap_or_else(|| "-".into())
    }
}
