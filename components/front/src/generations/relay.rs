//! Relays the event stream of one generation to its caller, across migrations between engines.
//!
//! The caller gets each event complete, once and in order. A stream that can't be continued ends
//! with an error, so that it never looks complete to the caller.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;
use bytes::Bytes;
use events::{Event, emit};
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
    http::response::Parts,
};
use net::{BodyAborted, Share};
use placing::GenerationUpdate;
use smol::future;
use timer::{Timer, boot_time};
use types::{Moment, millis};
use view::Target;

mod gaps;
mod resuming;

use self::gaps::GapSample;
use crate::{
    callers::call::Call,
    generations::{
        active::RelayCommand,
        assignment::Assignment,
        attempts::Attempts,
        dispatch::Started,
        idle::{Diagnosis, IdleMonitor, diagnose},
        resumption::Cause,
        splitter::EventSplitter,
    },
    quarantine::{
        aggregation, crash_detection,
        parts::{self, Progress},
    },
    reaching::presence,
    state::Front,
};

/// Why a stream ends for which there is no memory.
const NO_MEMORY: &str = "no memory is left for an event";
/// The type of a body that consists of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Time for the last events of a stopped engine to arrive and for its stream to close.
const LAST_EVENTS_TIMEOUT: Duration = Duration::from_millis(30);
/// Time for the next command of a migration after the stream has closed: the time of a copy plus a
/// margin.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which the caller's reading, not the engine, delays the next event.
const SLOW_READING: Duration = Duration::from_millis(5);
/// Events of a stream beyond one for each token: comments, counts of tokens, the mark of its end.
const MAX_EXTRA_EVENTS: u64 = 64;
/// Bytes of an incomplete event, and of each event that waits for the caller, for which the memory of the request
/// suffices.
const UNCOUNTED_BYTES: usize = 1_024;
/// Channel to the body of the response to the caller.
pub type EventSender = Sender<Result<Bytes, BodyAborted>>;

/// Relays one generation's event stream.
pub struct Relay {
    front: Arc<Front>,
    call: Call,
    assignment: Assignment,
    /// The stream of the current engine; `None` once it is given up.
    body: Option<Incoming>,
    /// The engines that the generation was sent to.
    attempts: Attempts,
    /// The engines that may work on it.
    running: Vec<Arc<Target>>,
    /// Whether the stream marks its own end; otherwise it ends when its connection is closed.
    framed: bool,
    /// Whether the body consists of events.
    has_events: bool,
    splitter: EventSplitter,
    /// The memory of an incomplete event beyond [`UNCOUNTED_BYTES`].
    memory: Share,
    /// Id of the last event that the caller has received.
    last_event: Option<u64>,
    /// Whether an event was forwarded in this response.
    has_begun: bool,
    /// Whether events without an id were forwarded after that one.
    has_unnumbered: bool,
    /// When the request was sent.
    sent_at: Moment,
    /// When it was sent to the engine that works on it, if no event has come from there: it may still wait in the
    /// engine's queue.
    queued_since: Option<Moment>,
    /// How long work takes on the engine's machine, in percent of the usual time, and when the engine
    /// reported that.
    work_time: Option<(Moment, u32)>,
    /// How far the answer of the current engine has come.
    progress: Progress,
    /// The sample of times between events, until it is taken or can't be.
    gap_sample: GapSample,
    /// The engine is stopping the generation for a migration.
    stopping: bool,
    /// The engine may have stopped the generation for a migration that failed.
    maybe_stopped: bool,
    monitor: IdleMonitor,
}

/// Age up to which a reported work time is passed on; it changes many times a second.
const MAX_WORK_TIME_AGE: Duration = Duration::from_millis(100);
/// What the relay reacts to next.
enum Input {
    Bytes(Bytes),
    End,
    Interrupted(Arc<str>),
    Command(Option<RelayCommand>),
    /// No bytes have arrived for the idle timeout.
    Idle,
    /// The deadline of the call has passed.
    DeadlinePassed,
}

/// Why the relay ends.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller has closed its connection.
    CallerGone,
    /// The stream can't be continued, for this reason.
    BodyAborted(Arc<str>),
    /// The engine failed, and its memory is lost.
    EngineFailed { cause: Cause, reason: Arc<str> },
}

impl Relay {
    /// Creates the relay of a stream that has just begun.
    #[must_use]
    pub fn new(front: Arc<Front>, call: Call, started: Started) -> Self {
        let last_event = call.caller_last_event();
        let memory = front.memory.share();
        let percent = started.load.and_then(|load| load.work_time_percent);
        Self {
            front,
            call,
            running: vec![started.assignment.generation.target()],
            assignment: started.assignment,
            framed: is_framed(&started.head),
            has_events: is_event_stream(&started.head),
            body: Some(started.body),
            attempts: started.attempts,
            splitter: EventSplitter::new(),
            memory,
            last_event,
            has_begun: false,
            has_unnumbered: false,
            sent_at: started.sent_at,
            queued_since: Some(started.sent_at),
            work_time: percent.map(|percent| (boot_time(), percent)),
            progress: Progress::NONE,
            gap_sample: GapSample::Waiting,
            stopping: false,
            maybe_stopped: false,
            monitor: IdleMonitor::new(boot_time()),
        }
    }

    /// The reported work time, if it still holds.
    fn work_time_percent(&self) -> Option<u32> {
        let (at, percent) = self.work_time?;
        let age = boot_time().saturating_sub(at);
        (age <= MAX_WORK_TIME_AGE).then_some(percent)
    }

    /// Forwards events until the stream ends; then records the outcome and logs it.
    pub async fn run(mut self, out: EventSender) {
        let front = Arc::clone(&self.front);
        // Wraps the whole relay: whatever it waits for at a shutdown, the caller gets an error
        // instead of a stream that seems complete.
        let shutdown = async {
            front.shutdown.aborted().await;
            RelayEnd::BodyAborted("the instance stops before the stream ends".into())
        };
        let end = future::or(self.forward_all(&out), shutdown).await;
        let target = self.assignment.generation.target();
        self.log_long_pause(&target);
        match end {
            RelayEnd::Complete => {
                self.assignment.completed = true;
                self.record_gap();
                aggregation::report_success(&self.front, &self.call.fingerprint);
                if let Some(began) = self.progress.began_here() {
                    parts::report_sound(&self.front, &self.call, began);
                }
                self.front
                    .metrics
                    .count_request(self.call.kind(), "answered");
                emit(&Event::RequestAnswered {
                    id: Arc::clone(&self.call.request.id),
                    target: Arc::clone(&target.id),
                    status: 200,
                    took_ms: millis(self.call.elapsed()),
                });
            }
            RelayEnd::CallerGone => {}
            RelayEnd::BodyAborted(reason) | RelayEnd::EngineFailed { reason, .. } => {
                self.front.metrics.count_request(self.call.kind(), "cut");
                emit(&Event::StreamCut {
                    id: Arc::clone(&self.call.request.id),
                    target: Arc::clone(&target.id),
                    reason,
                    last_event: self.last_event.unwrap_or_default(),
                });
                // Fails only if the caller has closed its connection.
                let _ = out.send(Err(BodyAborted)).await;
            }
        }
    }

    /// Logs the longest pause if the route does not allow it.
    fn log_long_pause(&self, target: &Target) {
        let pause = self.assignment.generation.longest_pause();
        if let Some(allowed) = self.call.route.max_pause.filter(|allowed| pause > *allowed) {
            emit(&Event::AnswerPaused {
                id: Arc::clone(&self.call.request.id),
                target: Arc::clone(&target.id),
                pause_ms: millis(pause),
                allowed_ms: millis(allowed),
            });
        }
    }

    async fn forward_all(&mut self, out: &EventSender) -> RelayEnd {
        loop {
            let end = match self.next_input().await {
                Input::Bytes(bytes) => self.forward(&bytes, out).await.err(),
                Input::End => self.handle_end(out).await,
                Input::Interrupted(reason) => {
                    let cause = Cause::ConnectionLost;
                    self.handle_interruption(cause, reason, out).await
                }
                Input::Command(command) => self.handle_command(command, out).await,
                Input::Idle => self.handle_idle().await,
                Input::DeadlinePassed => {
                    Some(RelayEnd::BodyAborted("the deadline has passed".into()))
                }
            };
            let end = match end {
                Some(RelayEnd::EngineFailed { cause, reason }) => {
                    self.resume_elsewhere(cause, reason).await
                }
                end => end,
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Waits for the next input.
    async fn next_input(&mut self) -> Input {
        let left = self.call.time_left();
        if left.is_zero() {
            // Further bytes may be there at any moment, and would go before a timer.
            return Input::DeadlinePassed;
        }
        let idle = if self.front.cfg.decisions.features.idle_detection {
            self.monitor.next_report_at().saturating_sub(boot_time())
        } else {
            left
        };
        let timed_out = if idle < left {
            Input::Idle
        } else {
            Input::DeadlinePassed
        };
        let generation = Arc::clone(&self.assignment.generation);
        let frame = next_bytes(&mut self.body);
        let command = async { Input::Command(generation.next_command().await) };
        // Commands take precedence: the end of a stream that a migration causes is then already
        // known to be no error.
        Timer::new()
            .within(left.min(idle), future::or(command, frame))
            .await
            .unwrap_or(timed_out)
    }

    /// Handles an idle stream: finds out why no events arrive, and recovers the stream if possible.
    async fn handle_idle(&mut self) -> Option<RelayEnd> {
        let generation = Arc::clone(&self.assignment.generation);
        match diagnose(&self.front, &generation, &mut self.monitor).await {
            Diagnosis::Wait => None,
            Diagnosis::EngineGone => {
                self.assignment.target_failed = true;
                let sent = self.call.arrived;
                crash_detection::report_crash(
                    &self.front,
                    &self.call,
                    &generation.target(),
                    sent,
                    self.progress,
                );
                Some(RelayEnd::EngineFailed {
                    cause: Cause::EngineGone,
                    reason: "engine does not answer and is no longer listed".into(),
                })
            }
            // The outcome of a migration in progress decides about the stream.
            Diagnosis::ConnectionLost if !generation.begin_migration() => None,
            Diagnosis::ConnectionLost => {
                let reason = "events of a running engine do not arrive".into();
                self.recover(Cause::ConnectionLost, reason).await
            }
        }
    }

    /// Forwards the events that are complete after these bytes.
    async fn forward(&mut self, bytes: &[u8], out: &EventSender) -> Result<(), RelayEnd> {
        if self.splitter.push(bytes).is_err() {
            return Err(self.give_up_event("an event exceeds the size limit"));
        }
        let mut ready = Vec::new();
        let received_at = boot_time();
        while let Some(event) = self.splitter.next_event() {
            // Bytes that make up no event are no sign of progress.
            self.monitor.reset(received_at);
            // A resumed stream may repeat events that the caller already has.
            if event.id.is_some() && event.id <= self.last_event {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.has_unnumbered = event.id.is_none();
            self.count_event();
            if self.has_too_many_events() {
                return Err(RelayEnd::BodyAborted(
                    "the engine sends more events than were asked for".into(),
                ));
            }
            let Some(bytes) = self.hold(event.bytes) else {
                return Err(self.give_up_event(NO_MEMORY));
            };
            ready.push(bytes);
        }
        let buffered = self.splitter.buffered();
        if !self.memory.resize(buffered.saturating_sub(UNCOUNTED_BYTES)) {
            return Err(self.give_up_event(NO_MEMORY));
        }
        for event in ready {
            out.send(Ok(event))
                .await
                .map_err(|_| RelayEnd::CallerGone)?;
        }
        if boot_time().saturating_sub(received_at) >= SLOW_READING {
            self.assignment.generation.interrupt_pause();
        }
        Ok(())
    }

    /// Gives up the stream of an engine because of an event. Closes the connection: whatever follows is not the
    /// answer.
    fn give_up_event(&mut self, reason: &str) -> RelayEnd {
        self.body = None;
        self.splitter = EventSplitter::new();
        // Releasing always succeeds.
        let _ = self.memory.resize(0);
        RelayEnd::EngineFailed {
            cause: Cause::ConnectionLost,
            reason: reason.into(),
        }
    }

    /// An event as it waits for the caller: a large one counts against the memory budget until it is written.
    /// None if there is no room for it.
    fn hold(&self, event: Bytes) -> Option<Bytes> {
        if event.len() <= UNCOUNTED_BYTES {
            return Some(event);
        }
        self.front.memory.hold(event)
    }

    /// Whether more events have come than the generation may have tokens.
    fn has_too_many_events(&self) -> bool {
        let known = self.call.caller_last_event().unwrap_or_default();
        let received = self.assignment.generation.events_received();
        let sizes = self.call.request.sizes;
        sizes.is_some_and(|sizes| {
            received.saturating_sub(known) > sizes.max_tokens + MAX_EXTRA_EVENTS
        })
    }

    /// Counts an event. The first one is logged, and the owner of the engine is notified.
    fn count_event(&mut self) {
        self.queued_since = None;
        self.sample_gap();
        if let Some(began) = self.progress.record_event(boot_time()) {
            parts::report_sound(&self.front, &self.call, began);
        }
        let is_first = !std::mem::replace(&mut self.has_begun, true);
        let generation = &self.assignment.generation;
        generation.record_pause(boot_time());
        if !generation.record_event() {
            return;
        }
        let target = generation.target();
        self.front
            .record_answer(&self.call, &target, self.sent_at, false);
        if is_first {
            emit(&Event::FirstEvent {
                id: Arc::clone(&self.call.request.id),
                target: Arc::clone(&target.id),
                took_ms: millis(self.call.elapsed()),
            });
        }
        let generation_id = Arc::clone(&generation.id);
        let shard = self
            .front
            .shard_of(&generation.service, &generation.target().id);
        Front::notify_owner(
            &self.front,
            &shard,
            GenerationUpdate::Started {
                generation: generation_id,
                work_time_percent: self.work_time_percent(),
            },
        );
    }

    /// Handles the end of the stream.
    async fn handle_end(&mut self, out: &EventSender) -> Option<RelayEnd> {
        // Without a content length, the stream of a generation that was stopped for a migration
        // ends in the same way.
        if self.stopping
            && let Some(command) = self.migration_outcome().await
        {
            return self.handle_command(Some(command), out).await;
        }
        if let Some(reason) = self.incompleteness().await {
            let cause = Cause::Truncated;
            // The engine itself has ended its answer.
            let engine = self.assignment.generation.target();
            self.record_stopped(&engine);
            return self.handle_interruption(cause, reason.into(), out).await;
        }
        Some(self.finish(out).await)
    }

    /// Why a stream whose end is not marked may be incomplete.
    async fn incompleteness(&self) -> Option<&'static str> {
        let is_within_event = self.has_events && !self.splitter.is_empty();
        if self.framed && !(is_within_event && self.call.route.is_resumable) {
            return None;
        }
        if self.maybe_stopped {
            return Some("the engine may have stopped it for a migration");
        }
        if is_within_event {
            return Some("the stream ended in the middle of an event");
        }
        // The connections of a process that exits are closed in the same way as those of a complete
        // stream.
        let target = self.assignment.generation.target();
        let is_alive = presence::outlives_its_stream(&self.front, &target).await;
        (!is_alive).then_some("the stream ended and the engine does not answer")
    }

    /// Forwards the rest of a complete stream.
    async fn finish(&mut self, out: &EventSender) -> RelayEnd {
        let rest = self.splitter.take_rest();
        if !rest.is_empty() && out.send(Ok(rest)).await.is_err() {
            return RelayEnd::CallerGone;
        }
        RelayEnd::Complete
    }

    /// Handles a stream that was interrupted: resumes the generation from a migration, a stored
    /// copy or the engine's memory.
    async fn handle_interruption(
        &mut self,
        cause: Cause,
        reason: Arc<str>,
        out: &EventSender,
    ) -> Option<RelayEnd> {
        // Waits also if the engine has not been told to stop yet: resuming from a copy made before
        // that would leave two engines generating.
        if let Some(command) = self.migration_outcome().await {
            return self.handle_command(Some(command), out).await;
        }
        let generation = &self.assignment.generation;
        let (target, sent) = (generation.target(), self.call.arrived);
        crash_detection::investigate(&self.front, &self.call, &target, sent, self.progress);
        let recovers = self.front.cfg.decisions.features.stream_recovery;
        if !recovers || !generation.begin_migration() {
            return Some(RelayEnd::EngineFailed { cause, reason });
        }
        self.recover(cause, reason).await
    }

    /// Waits for the outcome of a migration in progress, whose engine has already closed the
    /// stream.
    async fn migration_outcome(&mut self) -> Option<RelayCommand> {
        let generation = Arc::clone(&self.assignment.generation);
        while self.stopping || generation.is_migrating() {
            let timeout = MIGRATION_TIMEOUT.min(self.call.time_left());
            let command = Timer::new()
                .within(timeout, generation.next_command())
                .await;
            match command.flatten() {
                Some(RelayCommand::MigrationStarted) => self.stopping = true,
                Some(RelayCommand::MigrationCancelled) => self.stopping = false,
                Some(RelayCommand::MigrationUncertain) => self.maybe_stopped = true,
                command => {
                    self.maybe_stopped |= command.is_none();
                    self.stopping = false;
                    return command;
                }
            }
        }
        None
    }

    /// Handles a command.
    async fn handle_command(
        &mut self,
        command: Option<RelayCommand>,
        out: &EventSender,
    ) -> Option<RelayEnd> {
        match command {
            Some(RelayCommand::MigrationStarted) => self.stopping = true,
            Some(RelayCommand::MigrationCancelled) => self.stopping = false,
            Some(RelayCommand::MigrationUncertain) => self.maybe_stopped = true,
            Some(RelayCommand::Resume {
                target,
                resume,
                done,
            }) => {
                self.stopping = false;
                if let Err(end) = self.forward_last(out).await {
                    return Some(end);
                }
                // It has answered the request for the final copy.
                let source = self.assignment.generation.target();
                self.record_stopped(&source);
                let is_source = target.id == source.id;
                let resumed = self.resume_at(&target, resume.clone()).await;
                // Fails only if the migration no longer waits for it.
                let _ = done.try_send(resumed.is_ok());
                return match resumed {
                    // The copy is still unused, and the engine that made it keeps its memory.
                    Err(failure) if failure.not_run && !(failure.is_unsent && is_source) => {
                        self.assignment.generation.record_refusal(&target.id);
                        self.resume_at_source(&source, resume, failure).await
                    }
                    resumed => resumed.err().map(|failure| RelayEnd::EngineFailed {
                        cause: Cause::ConnectionLost,
                        reason: failure.reason,
                    }),
                };
            }
            // The handle holds a sender, so the channel is not closed while the relay runs.
            None => {}
        }
        None
    }

    /// Forwards the events that a stopped engine still sends.
    async fn forward_last(&mut self, out: &EventSender) -> Result<(), RelayEnd> {
        let timer = Timer::new();
        let from = timer.now();
        loop {
            let left = LAST_EVENTS_TIMEOUT.saturating_sub(timer.now().saturating_sub(from));
            if left.is_zero() {
                return Ok(());
            }
            let input = timer.within(left, next_bytes(&mut self.body)).await;
            match input {
                Some(Input::Bytes(bytes)) => self.forward(&bytes, out).await?,
                _ => return Ok(()),
            }
        }
    }
}

/// Whether the head of a response tells how its body ends.
fn is_framed(head: &Parts) -> bool {
    [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| head.headers.contains_key(name))
}

/// Whether the body of a response consists of events.
fn is_event_stream(head: &Parts) -> bool {
    let kind = head.headers.get(CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok());
    kind.and_then(|kind| kind.trim_start().get(..EVENT_STREAM.len()))
        .is_some_and(|kind| kind.eq_ignore_ascii_case(EVENT_STREAM))
}

/// Waits for the next bytes of a stream or its end.
async fn next_bytes(body: &mut Option<Incoming>) -> Input {
    let Some(body) = body else {
        return Input::End;
    };
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Input::Bytes(bytes);
                }
            }
            Some(Err(e)) => return Input::Interrupted(format!("stream interrupted: {e}").into()),
            None => return Input::End,
        }
    }
}
