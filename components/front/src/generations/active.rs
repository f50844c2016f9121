//! Generations that run for callers of this instance.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender, unbounded};
use parking_lot::Mutex;
use placing::{ActiveGeneration, GenerationId};
use types::{Bounded, Moment, RouteId, ServiceId, TargetId, Tokens};
use view::Target;

use crate::adapters::{GenerationSizes, Resume};

/// A command to the task that relays a generation.
#[derive(Debug)]
pub enum RelayCommand {
    /// The engine is about to stop the generation for a migration; the end of its stream is then
    /// no error.
    MigrationStarted,
    /// The migration was given up; the generation stays on its engine.
    MigrationCancelled,
    /// The outcome of the migration is unknown; the engine may have stopped the generation.
    MigrationUncertain,
    /// Resume the generation from a copy of its KV cache.
    Resume {
        /// The engine that resumes it.
        target: Arc<Target>,
        /// The copy.
        resume: Resume,
        /// Receives whether the generation was resumed.
        done: Sender<bool>,
    },
}

/// State of one generation, shared by the task that relays it and by migrations.
#[derive(Debug)]
pub struct GenerationHandle {
    /// Request id of the generation.
    pub id: GenerationId,
    /// Its service.
    pub service: ServiceId,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Its route.
    pub route: RouteId,
    /// Maximum number of tokens in the answer.
    pub max_tokens: Tokens,
    /// The caller's estimate of the number of tokens in the answer.
    pub length_hint: Option<Tokens>,
    /// Tokens in one event of the stream.
    pub tokens_per_event: Tokens,
    /// Its priority; lower values are served first.
    pub priority: u32,
    target: Mutex<Arc<Target>>,
    /// Whether the first event has been received.
    started: AtomicBool,
    events_received: AtomicU64,
    pauses: Mutex<PauseClock>,
    /// Whether a migration or recovery is in progress.
    migrating: AtomicBool,
    /// A copy from which the generation can be resumed if its engine fails.
    copy: Mutex<Option<(Arc<Target>, Resume)>>,
    /// Engines that have refused to resume it.
    refused_by: Mutex<Vec<TargetId>>,
    commands: (Sender<RelayCommand>, Receiver<RelayCommand>),
}

impl GenerationHandle {
    /// Creates the state of a generation that is assigned to an engine.
    #[must_use]
    pub fn new(id: GenerationId, service: ServiceId, target: Arc<Target>) -> Self {
        Self {
            id,
            service,
            prompt_tokens: 0,
            route: "".into(),
            max_tokens: 0,
            length_hint: None,
            tokens_per_event: 1,
            priority: 0,
            target: Mutex::new(target),
            started: AtomicBool::new(false),
            events_received: AtomicU64::new(0),
            pauses: Mutex::default(),
            migrating: AtomicBool::new(false),
            copy: Mutex::new(None),
            refused_by: Mutex::default(),
            commands: unbounded(),
        }
    }

    /// Sets the sizes, and the number of tokens in one event.
    #[must_use]
    pub const fn with_sizes(mut self, sizes: GenerationSizes, tokens_per_event: Tokens) -> Self {
        self.prompt_tokens = sizes.prompt_tokens;
        self.max_tokens = sizes.max_tokens;
        self.length_hint = sizes.length_hint;
        self.tokens_per_event = tokens_per_event;
        self
    }

    /// Sets the number of events that its caller has already.
    #[must_use]
    pub fn with_events_received(mut self, count: u64) -> Self {
        self.events_received = AtomicU64::new(count);
        self
    }

    /// Sets the route and the priority.
    #[must_use]
    pub fn with_route(mut self, route: RouteId, priority: u32) -> Self {
        self.route = route;
        self.priority = priority;
        self
    }

    /// Tokens generated so far, as counted from the events received.
    #[must_use]
    pub fn tokens_generated(&self) -> Tokens {
        self.events_received()
            .saturating_mul(self.tokens_per_event)
            .bounded()
    }

    /// Events received so far, from all engines that have run the generation.
    #[must_use]
    pub fn events_received(&self) -> u64 {
        self.events_received.load(Ordering::Relaxed)
    }

    /// The engine that runs the generation.
    #[must_use]
    pub fn target(&self) -> Arc<Target> {
        Arc::clone(&self.target.lock())
    }

    /// Sets the engine that runs the generation from now on, and drops the copy.
    pub fn set_target(&self, target: Arc<Target>) {
        *self.target.lock() = target;
        *self.copy.lock() = None;
        let mut pauses = self.pauses.lock();
        pauses.interrupt();
        pauses.last_event_at = None;
    }

    /// Measures the pause that an event of the stream ends.
    pub fn record_pause(&self, now: Moment) {
        self.pauses.lock().record_event(now);
    }

    /// When the last event arrived from the engine that runs the generation.
    fn last_event_at(&self) -> Option<Moment> {
        self.pauses.lock().last_event_at
    }

    /// Leaves out the pause before the next event: something else than the engine delays it.
    pub fn interrupt_pause(&self) {
        self.pauses.lock().interrupt();
    }

    /// The longest pause between two events.
    #[must_use]
    pub fn longest_pause(&self) -> Duration {
        self.pauses.lock().longest_of_all
    }

    /// The longest pause between two events since this was last called.
    #[must_use]
    pub fn take_longest_pause(&self) -> Duration {
        std::mem::take(&mut self.pauses.lock().longest)
    }

    /// Counts an event; returns whether it was the first.
    pub fn record_event(&self) -> bool {
        self.events_received.fetch_add(1, Ordering::Relaxed);
        !self.started.swap(true, Ordering::AcqRel)
    }

    /// Whether the first event has been received.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.started.load(Ordering::Acquire)
    }

    /// Claims the right to migrate the generation; returns false if another task holds it.
    #[must_use]
    pub fn begin_migration(&self) -> bool {
        !self.migrating.swap(true, Ordering::AcqRel)
    }

    /// Whether a migration or recovery is in progress.
    #[must_use]
    pub fn is_migrating(&self) -> bool {
        self.migrating.load(Ordering::Acquire)
    }

    /// Releases the right to migrate the generation.
    pub fn end_migration(&self) {
        self.migrating.store(false, Ordering::Release);
    }

    /// Stores a copy from which the generation can be resumed.
    pub fn store_copy(&self, target: Arc<Target>, resume: Resume) {
        *self.copy.lock() = Some((target, resume));
    }

    /// Takes the stored copy, if there is one.
    #[must_use]
    pub fn take_copy(&self) -> Option<(Arc<Target>, Resume)> {
        self.copy.lock().take()
    }

    /// Records that an engine has refused to resume the generation.
    pub fn record_refusal(&self, target: &TargetId) {
        self.refused_by.lock().push(Arc::clone(target));
    }

    /// Whether an engine has refused to resume the generation.
    #[must_use]
    pub fn was_refused_by(&self, target: &TargetId) -> bool {
        self.refused_by.lock().contains(target)
    }

    /// Sends a command to the relaying task. Returns false if that task has ended.
    #[must_use]
    pub fn send_command(&self, command: RelayCommand) -> bool {
        self.commands.0.try_send(command).is_ok()
    }

    /// Waits for the next command; `None` once the handle is closed.
    pub async fn next_command(&self) -> Option<RelayCommand> {
        self.commands.1.recv().await.ok()
    }

    /// Closes the command channel.
    pub fn close(&self) {
        self.commands.0.close();
    }

    /// The state that is reported to the owner of the engine.
    #[must_use]
    pub fn snapshot(&self) -> ActiveGeneration {
        ActiveGeneration {
            generation: Arc::clone(&self.id),
            service: Arc::clone(&self.service),
            target: Arc::clone(&self.target.lock().id),
            prompt_tokens: self.prompt_tokens,
            tokens_generated: self.tokens_generated(),
            route: Arc::clone(&self.route),
            max_tokens: self.max_tokens,
            length_hint: self.length_hint,
            priority: self.priority,
            started: self.has_started(),
            longest_pause: Duration::ZERO,
        }
    }
}

/// Measures the pauses between the events of one generation.
#[derive(Debug, Default)]
struct PauseClock {
    /// Arrival of the last event, unless the next pause doesn't count.
    last_event: Option<Moment>,
    /// Arrival of the last event from the engine that runs the generation.
    last_event_at: Option<Moment>,
    /// The longest pause since the last report.
    longest: Duration,
    /// The longest pause of all.
    longest_of_all: Duration,
}

impl PauseClock {
    fn record_event(&mut self, now: Moment) {
        self.last_event_at = Some(now);
        if let Some(last) = self.last_event.replace(now) {
            let pause = now.saturating_sub(last);
            self.longest = self.longest.max(pause);
            self.longest_of_all = self.longest_of_all.max(pause);
        }
    }

    const fn interrupt(&mut self) {
        self.last_event = None;
    }
}

/// The active generations of this instance, by request id.
#[derive(Debug, Default)]
pub struct ActiveGenerations {
    by_id: Mutex<HashMap<GenerationId, Arc<GenerationHandle>>>,
}

impl ActiveGenerations {
    /// Adds a generation.
    pub fn add(&self, generation: &Arc<GenerationHandle>) {
        let id = Arc::clone(&generation.id);
        self.by_id.lock().insert(id, Arc::clone(generation));
    }

    /// Removes a generation.
    pub fn remove(&self, id: &str) {
        self.by_id.lock().remove(id);
    }

    /// Finds a generation.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<Arc<GenerationHandle>> {
        self.by_id.lock().get(id).cloned()
    }

    /// The states that are reported to the owners of the engines.
    #[must_use]
    pub fn snapshots(&self) -> Vec<ActiveGeneration> {
        self.by_id
            .lock()
            .values()
            .map(|generation| generation.snapshot())
            .collect()
    }

    /// The states of the generations on some engines, each with its longest pause since the last
    /// call.
    #[must_use]
    pub fn report(
        &self,
        includes: impl Fn(&ServiceId, &TargetId) -> bool,
    ) -> Vec<ActiveGeneration> {
        let by_id = self.by_id.lock();
        let included = |generation: &&Arc<GenerationHandle>| {
            includes(&generation.service, &generation.target.lock().id)
        };
        let report = |generation: &Arc<GenerationHandle>| ActiveGeneration {
            longest_pause: generation.take_longest_pause(),
            ..generation.snapshot()
        };
        by_id.values().filter(included).map(report).collect()
    }

    /// When the last event of any generation arrived from an engine.
    #[must_use]
    pub fn last_event_from(&self, engine: &TargetId) -> Option<Moment> {
        let by_id = self.by_id.lock();
        let from_engine = |it: &&Arc<GenerationHandle>| it.target.lock().id == *engine;
        let generations = by_id.values().filter(from_engine);
        generations.filter_map(|it| it.last_event_at()).max()
    }

    /// Number of active generations.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_id.lock().len()
    }
}
