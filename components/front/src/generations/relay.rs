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
use net::BodyAborted;
use placing::GenerationUpdate;
use smol::future;
use timer::{Timer, boot_time};
use types::{Moment, millis};
use view::Target;

use crate::{
    adapters::Resume,
    callers::call::Call,
    generations::{
        active::RelayCommand,
        dispatch::Assignment,
        idle::{Diagnosis, IdleMonitor, REPORT_TIMEOUT, diagnose},
        recovery,
        splitter::EventSplitter,
    },
    quarantine::{
        aggregation, crash_detection,
        parts::{self, Progress},
    },
    send::{SendOutcome, send},
    signals,
    state::Front,
};

/// The type of a body that consists of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Time for the last events of a stopped engine to arrive and for its stream to close.
const LAST_EVENTS_TIMEOUT: Duration = Duration::from_millis(30);
/// Time for the next command of a migration after the stream has closed: the time of a copy plus a
/// margin.
const MIGRATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for an engine to answer a resumed generation. Engines admit resumed generations first, in
/// their next step, and a caller gives up long before this time is over.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which the caller's reading, not the engine, delays the next event.
const SLOW_READING: Duration = Duration::from_millis(5);

/// Channel to the body of the response to the caller.
pub type EventSender = Sender<Result<Bytes, BodyAborted>>;

/// Relays one generation's event stream.
pub struct Relay {
    front: Arc<Front>,
    call: Call,
    assignment: Assignment,
    body: Incoming,
    /// Whether the stream marks its own end; otherwise it ends when its connection is closed.
    framed: bool,
    /// Whether the body consists of events.
    has_events: bool,
    splitter: EventSplitter,
    /// Id of the last event that was forwarded.
    last_event: Option<u64>,
    /// When the request was sent.
    sent_at: Moment,
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

/// Gaps between events whose mean counts. Those of a whole generation would tell of a slow one only when
/// it ends, several times later than of a fast one.
const SAMPLED_GAPS: u32 = 16;
/// Gaps that a generation needs which ends before.
const MIN_GAPS: u32 = 8;

/// A sample of the times between events of a generation on one engine that has warmed up.
#[derive(Clone, Debug)]
enum GapSample {
    /// No event has arrived from an engine that has warmed up.
    Waiting,
    /// Gaps are counted from an event on.
    Running {
        from: Moment,
        gaps: u32,
        target: Arc<Target>,
    },
    /// It was taken, or the generation was migrated.
    Over,
}

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

/// Why a generation was not resumed at an engine.
struct ResumeError {
    reason: Arc<str>,
    /// The engine certainly did not resume it, so that its copy can still be used.
    not_run: bool,
}

/// Why the relay ends.
enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The caller has closed its connection.
    CallerGone,
    /// The stream can't be continued, for this reason.
    BodyAborted(Arc<str>),
}

impl Relay {
    /// Creates the relay of a stream that has just begun.
    #[must_use]
    pub fn new(
        front: Arc<Front>,
        call: Call,
        assignment: Assignment,
        head: &Parts,
        body: Incoming,
    ) -> Self {
        Self {
            front,
            call,
            assignment,
            body,
            framed: is_framed(head),
            has_events: is_event_stream(head),
            splitter: EventSplitter::new(),
            last_event: None,
            sent_at: boot_time(),
            progress: Progress::NONE,
            gap_sample: GapSample::Waiting,
            stopping: false,
            maybe_stopped: false,
            monitor: IdleMonitor::new(boot_time()),
        }
    }

    /// Sets when the request was sent.
    #[must_use]
    pub const fn with_sent_at(mut self, sent_at: Moment) -> Self {
        self.sent_at = sent_at;
        self
    }

    /// Counts an event for the sample of gaps, and records the sample once it is large enough.
    fn sample_gap(&mut self) {
        let is_over = matches!(self.gap_sample, GapSample::Over);
        if is_over || self.front.rollouts.is_empty() {
            return;
        }
        let target = self.assignment.generation.target();
        match &mut self.gap_sample {
            GapSample::Waiting if self.front.is_warm(&target) => {
                self.gap_sample = GapSample::Running {
                    from: boot_time(),
                    gaps: 0,
                    target,
                };
            }
            GapSample::Running { target: first, .. } if first.id != target.id => {
                self.gap_sample = GapSample::Over;
            }
            GapSample::Running { gaps, .. } => {
                *gaps += 1;
                if *gaps >= SAMPLED_GAPS {
                    self.record_gap();
                }
            }
            GapSample::Waiting | GapSample::Over => {}
        }
    }

    /// Records the mean time between the sampled events, if there are enough.
    fn record_gap(&mut self) {
        let sample = std::mem::replace(&mut self.gap_sample, GapSample::Over);
        if let GapSample::Running { from, gaps, target } = sample
            && gaps >= MIN_GAPS
        {
            let gap = boot_time().saturating_sub(from) / gaps;
            let route = &self.call.route.name;
            self.front.rollouts.record_gap(&target, route, gap);
        }
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
            RelayEnd::BodyAborted(reason) => {
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
                Input::Interrupted(reason) => self.handle_interruption(reason, out).await,
                Input::Command(command) => self.handle_command(command, out).await,
                Input::Idle => self.handle_idle().await,
                Input::DeadlinePassed => {
                    Some(RelayEnd::BodyAborted("the deadline has passed".into()))
                }
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// Waits for the next input.
    async fn next_input(&mut self) -> Input {
        let left = self.call.time_left();
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
                Some(RelayEnd::BodyAborted(
                    "engine does not answer and is no longer listed".into(),
                ))
            }
            // The outcome of a migration in progress decides about the stream.
            Diagnosis::ConnectionLost if !generation.begin_migration() => None,
            Diagnosis::ConnectionLost => {
                self.recover("events of a running engine do not arrive".into())
                    .await
            }
        }
    }

    /// Resumes the generation from the memory of its engine, if that can still be copied. The
    /// caller of this function holds the right to migrate the generation.
    async fn recover(&mut self, reason: Arc<str>) -> Option<RelayEnd> {
        let generation = Arc::clone(&self.assignment.generation);
        let resumed = match recovery::recover(&self.front, &self.call, &generation).await {
            Ok((target, resume)) => self
                .resume_at(&target, resume)
                .await
                .map_err(|failure| failure.reason),
            Err(why) => Err(why),
        };
        generation.end_migration();
        resumed
            .err()
            .map(|why| RelayEnd::BodyAborted(format!("{reason}; recovery failed: {why}").into()))
    }

    /// Forwards the events that are complete after these bytes.
    async fn forward(&mut self, bytes: &[u8], out: &EventSender) -> Result<(), RelayEnd> {
        if self.splitter.push(bytes).is_err() {
            return Err(RelayEnd::BodyAborted(
                "an event exceeds the size limit".into(),
            ));
        }
        let mut ready = Vec::new();
        let received_at = boot_time();
        self.monitor.reset(received_at);
        while let Some(event) = self.splitter.next_event() {
            // A resumed stream may repeat events that the caller already has.
            if event.id.is_some() && event.id <= self.last_event {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.count_event();
            ready.push(event.bytes);
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

    /// Counts an event. The first one is logged, and the owner of the engine is notified.
    fn count_event(&mut self) {
        self.sample_gap();
        if let Some(began) = self.progress.record_event(boot_time()) {
            parts::report_sound(&self.front, &self.call, began);
        }
        let generation = &self.assignment.generation;
        generation.record_pause(boot_time());
        if !generation.record_event() {
            return;
        }
        let target = generation.target();
        self.front
            .record_answer(&self.call, &target, self.sent_at, false);
        emit(&Event::FirstEvent {
            id: Arc::clone(&self.call.request.id),
            target: Arc::clone(&generation.target().id),
            took_ms: millis(self.call.elapsed()),
        });
        let generation_id = Arc::clone(&generation.id);
        let shard = self
            .front
            .shard_of(&generation.service, &generation.target().id);
        Front::notify_owner(
            &self.front,
            &shard,
            GenerationUpdate::Started {
                generation: generation_id,
                work_time_percent: None,
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
            return self.handle_interruption(reason.into(), out).await;
        }
        Some(self.finish(out).await)
    }

    /// Why a stream whose end is not marked may be incomplete.
    async fn incompleteness(&self) -> Option<&'static str> {
        if self.framed {
            return None;
        }
        if self.maybe_stopped {
            return Some("the engine may have stopped it for a migration");
        }
        if self.has_events && !self.splitter.is_empty() {
            return Some("the stream ended in the middle of an event");
        }
        // The connections of a process that exits are closed in the same way as those of a complete
        // stream.
        let target = self.assignment.generation.target();
        if self.front.pause_left(&target).is_some() {
            let is_gone = crash_detection::refuses_connections(target.addr).await;
            return is_gone.then_some("the stream ended and the engine refuses connections");
        }
        let report = signals::request_report(&self.front, &target, REPORT_TIMEOUT).await;
        let reason = "the stream ended and the engine does not answer";
        report.err().map(|_| reason)
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
        let Some((target, resume)) = generation.take_copy() else {
            let recovers = self.front.cfg.decisions.features.stream_recovery;
            if !recovers || !self.assignment.generation.begin_migration() {
                return Some(RelayEnd::BodyAborted(reason));
            }
            return self.recover(reason).await;
        };
        match self.resume_at(&target, resume).await {
            Ok(()) => None,
            Err(failure) => {
                let why = failure.reason;
                Some(RelayEnd::BodyAborted(
                    format!("{reason}; resuming from the copy failed: {why}").into(),
                ))
            }
        }
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
                let source = self.assignment.generation.target();
                let resumed = self.resume_at(&target, resume.clone()).await;
                // Fails only if the migration no longer waits for it.
                let _ = done.try_send(resumed.is_ok());
                return match resumed {
                    // The copy is still unused, and the engine that made it keeps its memory.
                    Err(failure) if failure.not_run => {
                        self.assignment.generation.record_refusal(&target.id);
                        self.resume_at_source(&source, resume, failure).await
                    }
                    resumed => resumed
                        .err()
                        .map(|failure| RelayEnd::BodyAborted(failure.reason)),
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

    /// Resumes the generation at the engine that it was to leave, because the destination did not
    /// take it. The owner can choose another destination if the engine stays up long enough.
    async fn resume_at_source(
        &mut self,
        source: &Arc<Target>,
        resume: Resume,
        failure: ResumeError,
    ) -> Option<RelayEnd> {
        let resumed = self.resume_at(source, resume).await;
        let why = |at_source: ResumeError| {
            format!(
                "{}; resuming at the source failed: {}",
                failure.reason, at_source.reason
            )
        };
        resumed
            .err()
            .map(|at_source| RelayEnd::BodyAborted(why(at_source).into()))
    }

    /// Resumes the generation at an engine from a copy.
    async fn resume_at(
        &mut self,
        target: &Arc<Target>,
        mut resume: Resume,
    ) -> Result<(), ResumeError> {
        resume.after = self.last_event;
        // Drops the incomplete event of the previous engine; the new stream repeats it.
        let _ = self.splitter.take_rest();
        let timeout = RESUME_TIMEOUT.min(self.call.time_left());
        match send(&self.front, &self.call, target, Some(&resume), timeout).await {
            SendOutcome::Response { head, body, .. } if head.status.is_success() => {
                self.framed = is_framed(&head);
                self.has_events = is_event_stream(&head);
                self.maybe_stopped = false;
                self.progress = Progress::RESUMED;
                self.body = body;
                self.monitor.reset(boot_time());
                self.assignment.generation.set_target(Arc::clone(target));
                Ok(())
            }
            SendOutcome::Response { head, .. } => Err(ResumeError {
                reason: format!("status {}", head.status).into(),
                not_run: false,
            }),
            SendOutcome::NotRun { reason }
            | SendOutcome::NotReached { reason }
            | SendOutcome::Withheld { reason } => Err(ResumeError {
                reason,
                not_run: true,
            }),
            SendOutcome::Unknown { reason, .. } | SendOutcome::Rejected { reason } => {
                Err(ResumeError {
                    reason,
                    not_run: false,
                })
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
async fn next_bytes(body: &mut Incoming) -> Input {
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
