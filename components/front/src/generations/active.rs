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
use placing::{ActiveGeneration, GenerationId};
use types::{RouteId, ServiceId, Tokens};
use view::Target;

use crate::adapters::{GenerationSizes, Resume};

/// An order to the task that relays a generation.
#[derive(Debug)]
pub enum RelayCommand {
    /// Its engine is about to stop it for a move; the stream's end is no failure.
    MigrationStarted,
    /// The move came to nothing; the generation stays where it is.
    MigrationCancelled,
    /// How the move ended is unknown; its engine may have stopped the generation.
    MigrationUncertain,
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
pub struct GenerationHandle {
    /// Its id.
    pub run: GenerationId,
    /// Its service.
    pub service: ServiceId,
    /// Tokens of its prompt.
    pub prompt: Tokens,
    /// Its route.
    pub route: RouteId,
    /// Tokens of the longest answer allowed.
    pub longest: Tokens,
    /// The caller's estimate of the answer's tokens.
    pub hint: Option<Tokens>,
    /// Tokens in one event.
    pub per_event: Tokens,
    /// Its rank.
    pub rank: u32,
    target: Mutex<Arc<Target>>,
    started: AtomicBool,
    events: AtomicU64,
    /// Set while it is being carried over.
    migrating: AtomicBool,
    /// A copy that it could go on from if its engine failed.
    copy: Mutex<Option<(Arc<Target>, Resume)>>,
    commands: (Sender<RelayCommand>, Receiver<RelayCommand>),
}

impl GenerationHandle {
    /// A generation on an engine.
    #[must_use]
    pub fn new(run: GenerationId, service: ServiceId, target: Arc<Target>) -> Self {
        Self {
            run,
            service,
            prompt: 0,
            route: "".into(),
            longest: 0,
            hint: None,
            per_event: 1,
            rank: 0,
            target: Mutex::new(target),
            started: AtomicBool::new(false),
            events: AtomicU64::new(0),
            migrating: AtomicBool::new(false),
            copy: Mutex::new(None),
            commands: unbounded(),
        }
    }

    /// Sets its sizes, and the tokens in one event.
    #[must_use]
    pub const fn with_sizes(mut self, sizes: GenerationSizes, per_event: Tokens) -> Self {
        self.prompt = sizes.prompt_tokens;
        self.longest = sizes.max_tokens;
        self.hint = sizes.length_hint;
        self.per_event = per_event;
        self
    }

    /// Sets its route and its rank.
    #[must_use]
    pub fn with_route(mut self, route: RouteId, rank: u32) -> Self {
        self.route = route;
        self.rank = rank;
        self
    }

    /// Tokens made so far.
    #[must_use]
    pub fn tokens_generated(&self) -> Tokens {
        self.events_received() * self.per_event
    }

    /// Events that have come so far, from all engines that it ran on.
    #[must_use]
    pub fn events_received(&self) -> u64 {
        self.events.load(Ordering::Relaxed)
    }

    /// Where it runs.
    #[must_use]
    pub fn target(&self) -> Arc<Target> {
        Arc::clone(&self.target.lock())
    }

    /// Notes that it runs elsewhere now.
    pub fn set_target(&self, target: Arc<Target>) {
        *self.target.lock() = target;
        *self.copy.lock() = None;
    }

    /// Notes an event; tells whether it was the first.
    pub fn record_event(&self) -> bool {
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
    pub fn begin_migration(&self) -> bool {
        !self.migrating.swap(true, Ordering::AcqRel)
    }

    /// Whether somebody carries it over.
    #[must_use]
    pub fn is_migrating(&self) -> bool {
        self.migrating.load(Ordering::Acquire)
    }

    /// Gives the right back.
    pub fn end_migration(&self) {
        self.migrating.store(false, Ordering::Release);
    }

    /// Remembers a copy that it could go on from.
    pub fn store_copy(&self, target: Arc<Target>, resume: Resume) {
        *self.copy.lock() = Some((target, resume));
    }

    /// Takes the copy that it could go on from, if there is one.
    #[must_use]
    pub fn take_copy(&self) -> Option<(Arc<Target>, Resume)> {
        self.copy.lock().take()
    }

    /// Sends an order to the task that relays it. Fails where that task has ended.
    #[must_use]
    pub fn send_command(&self, command: RelayCommand) -> bool {
        self.commands.0.try_send(command).is_ok()
    }

    /// The next order.
    pub async fn next_command(&self) -> Option<RelayCommand> {
        self.commands.1.recv().await.ok()
    }

    /// Takes no further commands.
    pub fn close(&self) {
        self.commands.0.close();
    }

    /// What an owner is told of it.
    #[must_use]
    pub fn snapshot(&self) -> ActiveGeneration {
        ActiveGeneration {
            generation: Arc::clone(&self.run),
            service: Arc::clone(&self.service),
            target: Arc::clone(&self.target.lock().id),
            prompt_tokens: self.prompt,
            tokens_generated: self.tokens_generated(),
            route: Arc::clone(&self.route),
            max_tokens: self.longest,
            length_hint: self.hint,
            priority: self.rank,
            started: self.has_started(),
        }
    }
}

/// All generations of this instance.
#[derive(Debug, Default)]
pub struct ActiveGenerations {
    all: Mutex<HashMap<GenerationId, Arc<GenerationHandle>>>,
}

impl ActiveGenerations {
    /// Adds one.
    pub fn add(&self, generation: &Arc<GenerationHandle>) {
        let run = Arc::clone(&generation.run);
        self.all.lock().insert(run, Arc::clone(generation));
    }

    /// Removes one.
    pub fn remove(&self, run: &str) {
        self.all.lock().remove(run);
    }

    /// Finds one.
    #[must_use]
    pub fn get(&self, run: &str) -> Option<Arc<GenerationHandle>> {
        self.all.lock().get(run).cloned()
    }

    /// What owners are told of them.
    #[must_use]
    pub fn snapshots(&self) -> Vec<ActiveGeneration> {
        self.all
            .lock()
            .values()
            .map(|generation| generation.snapshot())
            .collect()
    }

    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.all.lock().len()
    }
}
