//! Generations that run for this instance's callers.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use async_channel::{Receiver, Sender, unbounded};
use parking_lot::Mutex;
use placing::{RunId, Running};
use types::{ServiceId, Tokens};
use view::Target;

use crate::face::Resume;

/// An order to the task that relays a generation.
#[derive(Debug)]
pub enum Order {
    /// Its engine is about to stop it for a move; the stream's end is no failure.
    Expect,
    /// The move came to nothing; the generation stays where it is.
    Forget,
    /// Go on there.
    Resume {
        /// The engine.
        target: Arc<Target>,
        /// The copy.
        resume: Resume,
        /// Told whether it goes on.
        done: Sender<bool>,
    },
}

/// One generation.
#[derive(Debug)]
pub struct Live {
    /// Its id.
    pub run: RunId,
    /// Its service.
    pub service: ServiceId,
    /// Tokens of its prompt.
    pub prompt: Tokens,
    /// Tokens that it is expected to make.
    pub expected: Tokens,
    /// Tokens in one event.
    pub per_event: Tokens,
    /// Its rank.
    pub rank: u32,
    target: Mutex<Arc<Target>>,
    started: AtomicBool,
    events: AtomicU64,
    /// Set while it is being carried over.
    carrying: AtomicBool,
    /// A copy that it could go on from if its engine failed.
    copy: Mutex<Option<(Arc<Target>, Resume)>>,
    orders: (Sender<Order>, Receiver<Order>),
}

impl Live {
    /// A generation on an engine.
    #[must_use]
    pub fn new(run: RunId, service: ServiceId, target: Arc<Target>) -> Self {
        Self {
            run,
            service,
            prompt: 0,
            expected: 0,
            per_event: 1,
            rank: 0,
            target: Mutex::new(target),
            started: AtomicBool::new(false),
            events: AtomicU64::new(0),
            carrying: AtomicBool::new(false),
            copy: Mutex::new(None),
            orders: unbounded(),
        }
    }

    /// Sets its sizes in tokens: prompt, expected answer, one event.
    #[must_use]
    pub const fn with_sizes(mut self, prompt: Tokens, expected: Tokens, per_event: Tokens) -> Self {
        self.prompt = prompt;
        self.expected = expected;
        self.per_event = per_event;
        self
    }

    /// Sets its rank.
    #[must_use]
    pub const fn with_rank(mut self, rank: u32) -> Self {
        self.rank = rank;
        self
    }

    /// Where it runs.
    #[must_use]
    pub fn target(&self) -> Arc<Target> {
        Arc::clone(&self.target.lock())
    }

    /// Notes that it runs elsewhere now.
    pub fn moved(&self, target: Arc<Target>) {
        *self.target.lock() = target;
        *self.copy.lock() = None;
    }

    /// Notes an event; tells whether it was the first.
    pub fn event(&self) -> bool {
        self.events.fetch_add(1, Ordering::Relaxed);
        !self.started.swap(true, Ordering::AcqRel)
    }

    /// Whether its first event has come.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.started.load(Ordering::Acquire)
    }

    /// Takes the right to carry it over; false if somebody is at it.
    #[must_use]
    pub fn begin_carry(&self) -> bool {
        !self.carrying.swap(true, Ordering::AcqRel)
    }

    /// Gives the right back.
    pub fn end_carry(&self) {
        self.carrying.store(false, Ordering::Release);
    }

    /// Remembers a copy that it could go on from.
    pub fn copied(&self, target: Arc<Target>, resume: Resume) {
        *self.copy.lock() = Some((target, resume));
    }

    /// Takes the copy that it could go on from, if there is one.
    #[must_use]
    pub fn take_copy(&self) -> Option<(Arc<Target>, Resume)> {
        self.copy.lock().take()
    }

    /// Sends an order to the task that relays it. Fails where that task has ended.
    #[must_use]
    pub fn order(&self, order: Order) -> bool {
        self.orders.0.try_send(order).is_ok()
    }

    /// The next order.
    pub async fn next_order(&self) -> Option<Order> {
        self.orders.1.recv().await.ok()
    }

    /// Takes no further orders.
    pub fn close(&self) {
        self.orders.0.close();
    }

    /// What an owner is told of it.
    #[must_use]
    pub fn running(&self) -> Running {
        Running {
            run: Arc::clone(&self.run),
            service: Arc::clone(&self.service),
            target: Arc::clone(&self.target.lock().id),
            prompt: self.prompt,
            made: self.events.load(Ordering::Relaxed) * self.per_event,
            expected: self.expected,
            rank: self.rank,
            started: self.has_started(),
        }
    }
}

/// All generations of this instance.
#[derive(Debug, Default)]
pub struct LiveRuns {
    all: Mutex<HashMap<RunId, Arc<Live>>>,
}

impl LiveRuns {
    /// Adds one.
    pub fn add(&self, live: &Arc<Live>) {
        let run = Arc::clone(&live.run);
        self.all.lock().insert(run, Arc::clone(live));
    }

    /// Removes one.
    pub fn remove(&self, run: &str) {
        self.all.lock().remove(run);
    }

    /// Finds one.
    #[must_use]
    pub fn get(&self, run: &str) -> Option<Arc<Live>> {
        self.all.lock().get(run).cloned()
    }

    /// What owners are told of them.
    #[must_use]
    pub fn running(&self) -> Vec<Running> {
        self.all
            .lock()
            .values()
            .map(|live| live.running())
            .collect()
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.all.lock().len()
    }
}
