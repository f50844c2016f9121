//! Passes a generation's events on, across moves from engine to engine.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;
use bytes::Bytes;
use events::{Event, emit};
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response::Parts,
};
use net::Cut;
use placing::GenerationUpdate;
use smol::future;
use timer::{Timer, boot_time};
use view::Target;

use crate::{
    adapters::Resume,
    callers::{call::Call, refusal::millis},
    generations::{
        active::RelayCommand,
        dispatch::Assignment,
        idle::{Diagnosis, IdleMonitor, REPORT_PATIENCE, diagnose},
        recovery,
        splitter::EventSplitter,
    },
    quarantine::{aggregation, crash_detection},
    send::{SendOutcome, send},
    state::Front,
};

/// Time for a stopped engine's last events to arrive and its stream to close.
const LAST_EVENTS: Duration = Duration::from_millis(30);
/// Time for the next word of a move after its stream has closed: a copy, and a little.
const OUTCOME_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time for the next engine to answer. It admits what goes on first, at its next step; a caller
/// has left long before this.
const RESUME_PATIENCE: Duration = Duration::from_millis(1_500);

/// Where the events go.
pub type EventSender = Sender<Result<Bytes, Cut>>;

/// Passes one generation's events on.
pub struct Relay {
    front: Arc<Front>,
    call: Call,
    place: Assignment,
    body: Incoming,
    /// The stream's end is marked; else it ends with its connection.
    framed: bool,
    split: EventSplitter,
    /// The last event that was passed on.
    last: Option<u64>,
    /// The engine is stopping it for a move.
    expecting: bool,
    /// The engine may have stopped it for a move that came to nothing.
    doubtful: bool,
    /// How long nothing has come.
    silence: IdleMonitor,
}

/// What the engine's stream does next.
enum Input {
    Bytes(Bytes),
    End,
    Broken(Arc<str>),
    RelayCommand(Option<RelayCommand>),
    /// Nothing has come for a while.
    Quiet,
    Due,
}

/// Why a generation does not go on at an engine.
struct Failure {
    reason: Arc<str>,
    /// The engine certainly did not take it, so that its copy can still be used.
    not_run: bool,
}

/// Why a stream can't be passed on any further.
enum RelayEnd {
    /// It is complete.
    Whole,
    /// The caller has gone.
    Unread,
    /// Something is missing.
    Cut(Arc<str>),
}

impl Relay {
    /// A relay of a stream that has just begun.
    #[must_use]
    pub fn new(
        front: Arc<Front>,
        call: Call,
        place: Assignment,
        head: &Parts,
        body: Incoming,
    ) -> Self {
        Self {
            front,
            call,
            place,
            body,
            framed: is_framed(head),
            split: EventSplitter::new(),
            last: None,
            expecting: false,
            doubtful: false,
            silence: IdleMonitor::new(boot_time()),
        }
    }

    /// Passes events on to the stream's end.
    pub async fn run(mut self, out: EventSender) {
        let front = Arc::clone(&self.front);
        // Around all of it: whatever it waits for, a caller is told that its answer is not whole.
        let outlived = async {
            front.shutdown.aborted().await;
            RelayEnd::Cut("the instance stops before its end".into())
        };
        let stop = future::or(self.pass_all(&out), outlived).await;
        let target = self.place.live.target();
        match stop {
            RelayEnd::Whole => {
                self.place.whole = true;
                aggregation::served(&self.front, &self.call.fingerprint);
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
            RelayEnd::Unread => {}
            RelayEnd::Cut(reason) => {
                self.front.metrics.count_request(self.call.kind(), "cut");
                emit(&Event::StreamCut {
                    id: Arc::clone(&self.call.request.id),
                    target: Arc::clone(&target.id),
                    reason,
                    last_event: self.last.unwrap_or_default(),
                });
                // Fails only where the caller has gone.
                let _ = out.send(Err(Cut)).await;
            }
        }
    }

    async fn pass_all(&mut self, out: &EventSender) -> RelayEnd {
        loop {
            let stop = match self.step().await {
                Input::Bytes(bytes) => self.pass(&bytes, out).await.err(),
                Input::End => self.ended(out).await,
                Input::Broken(reason) => self.broken(reason, out).await,
                Input::RelayCommand(order) => self.obey(order, out).await,
                Input::Quiet => self.quiet().await,
                Input::Due => Some(RelayEnd::Cut(
                    "the time that the route allows is over".into(),
                )),
            };
            if let Some(stop) = stop {
                return stop;
            }
        }
    }

    /// Waits for the next thing to happen.
    async fn step(&mut self) -> Input {
        let left = self.call.time_left();
        let quiet = if self.front.cfg.decisions.features.idle_detection {
            self.silence.ask_at().saturating_sub(boot_time())
        } else {
            left
        };
        let late = if quiet < left {
            Input::Quiet
        } else {
            Input::Due
        };
        let live = Arc::clone(&self.place.live);
        let frame = next_bytes(&mut self.body);
        let order = async { Input::RelayCommand(live.next_command().await) };
        // The order first: a stream's end that a move causes is no failure once that is known.
        Timer::new()
            .within(left.min(quiet), future::or(order, frame))
            .await
            .unwrap_or(late)
    }

    /// Nothing has come for a while: finds out why, and what can be done.
    async fn quiet(&mut self) -> Option<RelayEnd> {
        let live = Arc::clone(&self.place.live);
        match diagnose(&self.front, &live, &mut self.silence).await {
            Diagnosis::Wait => None,
            Diagnosis::EngineGone => {
                self.place.doubt = true;
                let sent = self.call.arrived;
                crash_detection::ended_under(
                    &self.front,
                    &self.call,
                    &live.target(),
                    sent,
                    live.events_received(),
                );
                Some(RelayEnd::Cut(
                    "its engine is silent and not listed any more".into(),
                ))
            }
            // Where a move is under way, that will say how it ends.
            Diagnosis::ConnectionLost if !live.begin_migration() => None,
            Diagnosis::ConnectionLost => self.recover("its engine goes on unheard".into()).await,
        }
    }

    /// Goes on elsewhere from the engine's memory, if that is still to be had. The right to carry
    /// the generation over is held.
    async fn recover(&mut self, reason: Arc<str>) -> Option<RelayEnd> {
        let live = Arc::clone(&self.place.live);
        let went = match recovery::recover(&self.front, &self.call, &live).await {
            Ok((target, resume)) => self.go_on(&target, resume).await.map_err(|f| f.reason),
            Err(why) => Err(why),
        };
        live.end_migration();
        went.err()
            .map(|why| RelayEnd::Cut(format!("{reason}; from its memory: {why}").into()))
    }

    /// Passes the whole events of some bytes on.
    async fn pass(&mut self, bytes: &[u8], out: &EventSender) -> Result<(), RelayEnd> {
        if self.split.push(bytes).is_err() {
            return Err(RelayEnd::Cut("an event of the stream does not end".into()));
        }
        let mut ready = Vec::new();
        self.silence.heard(boot_time());
        while let Some(event) = self.split.next_event() {
            // What the caller has already may come again after a move.
            if event.id.is_some() && event.id <= self.last {
                continue;
            }
            self.last = event.id.or(self.last);
            self.count_event();
            ready.push(event.bytes);
        }
        for event in ready {
            out.send(Ok(event)).await.map_err(|_| RelayEnd::Unread)?;
        }
        Ok(())
    }

    fn count_event(&self) {
        let live = &self.place.live;
        if !live.record_event() {
            return;
        }
        emit(&Event::FirstEvent {
            id: Arc::clone(&self.call.request.id),
            target: Arc::clone(&live.target().id),
            took_ms: millis(self.call.elapsed()),
        });
        let run = Arc::clone(&live.run);
        let shard = self.front.shard_of(&live.service, &live.target().id);
        Front::notify_owner(
            &self.front,
            &shard,
            GenerationUpdate::Started { generation: run },
        );
    }

    /// The stream has ended as complete.
    async fn ended(&mut self, out: &EventSender) -> Option<RelayEnd> {
        // A stream without a length ends like this also where its engine was told to stop.
        if self.expecting
            && let Some(order) = self.outcome().await
        {
            return self.obey(Some(order), out).await;
        }
        if let Some(reason) = self.missing().await {
            return self.broken(reason.into(), out).await;
        }
        Some(self.whole(out).await)
    }

    /// Why a stream that has ended may lack something, where nothing marks its end.
    async fn missing(&self) -> Option<&'static str> {
        if self.framed {
            return None;
        }
        if self.doubtful {
            return Some("its engine may have stopped it for a move");
        }
        if self.place.live.has_started() && !self.split.is_empty() {
            return Some("the stream ended within an event");
        }
        // A process that ends closes its connections just as a stream that is complete does.
        let addr = self.place.live.target().addr;
        let report = self.front.engines.report(addr, REPORT_PATIENCE).await;
        let gone = "the stream ended with its engine";
        report.err().map(|_| gone)
    }

    async fn whole(&mut self, out: &EventSender) -> RelayEnd {
        let rest = self.split.rest();
        if !rest.is_empty() && out.send(Ok(rest)).await.is_err() {
            return RelayEnd::Unread;
        }
        RelayEnd::Whole
    }

    /// The stream has broken off.
    async fn broken(&mut self, reason: Arc<str>, out: &EventSender) -> Option<RelayEnd> {
        // Also where the engine has not been told to stop yet: going on from a copy made before
        // that would leave two engines at work.
        if let Some(order) = self.outcome().await {
            return self.obey(Some(order), out).await;
        }
        let live = &self.place.live;
        let (target, sent) = (live.target(), self.call.arrived);
        crash_detection::look_into(
            &self.front,
            &self.call,
            &target,
            sent,
            live.events_received(),
        );
        let Some((target, resume)) = live.take_copy() else {
            let fetches = self.front.cfg.decisions.features.stream_recovery;
            if !fetches || !self.place.live.begin_migration() {
                return Some(RelayEnd::Cut(reason));
            }
            return self.recover(reason).await;
        };
        match self.go_on(&target, resume).await {
            Ok(()) => None,
            Err(failure) => {
                let why = failure.reason;
                Some(RelayEnd::Cut(
                    format!("{reason}; from its copy: {why}").into(),
                ))
            }
        }
    }

    /// Waits for how a move ends, if one is under way, whose engine has closed the stream already.
    async fn outcome(&mut self) -> Option<RelayCommand> {
        let live = Arc::clone(&self.place.live);
        while self.expecting || live.is_migrating() {
            let patience = OUTCOME_PATIENCE.min(self.call.time_left());
            let order = Timer::new().within(patience, live.next_command()).await;
            match order.flatten() {
                Some(RelayCommand::MigrationStarted) => self.expecting = true,
                Some(RelayCommand::MigrationCancelled) => self.expecting = false,
                Some(RelayCommand::MigrationUncertain) => self.doubtful = true,
                order => {
                    self.doubtful |= order.is_none();
                    self.expecting = false;
                    return order;
                }
            }
        }
        None
    }

    async fn obey(&mut self, order: Option<RelayCommand>, out: &EventSender) -> Option<RelayEnd> {
        match order {
            Some(RelayCommand::MigrationStarted) => self.expecting = true,
            Some(RelayCommand::MigrationCancelled) => self.expecting = false,
            Some(RelayCommand::MigrationUncertain) => self.doubtful = true,
            Some(RelayCommand::Resume {
                target,
                resume,
                done,
            }) => {
                self.expecting = false;
                if let Err(stop) = self.pass_last(out).await {
                    return Some(stop);
                }
                let source = self.place.live.target();
                let went = self.go_on(&target, resume.clone()).await;
                // Fails only where nobody waits for it any more.
                let _ = done.try_send(went.is_ok());
                return match went {
                    // The copy is unused, and the engine that made it keeps its memory.
                    Err(failure) if failure.not_run => self.go_back(&source, resume, failure).await,
                    went => went.err().map(|failure| RelayEnd::Cut(failure.reason)),
                };
            }
            // The sender lives in `live`, which this relay holds.
            None => {}
        }
        None
    }

    /// Passes on what a stopped engine still sends.
    async fn pass_last(&mut self, out: &EventSender) -> Result<(), RelayEnd> {
        let timer = Timer::new();
        let from = timer.now();
        loop {
            let left = LAST_EVENTS.saturating_sub(timer.now().saturating_sub(from));
            if left.is_zero() {
                return Ok(());
            }
            let step = timer.within(left, next_bytes(&mut self.body)).await;
            match step {
                Some(Input::Bytes(bytes)) => self.pass(&bytes, out).await?,
                _ => return Ok(()),
            }
        }
    }

    /// Goes on at the engine that was to be left, as the other one did not take it. That one will be
    /// left for a third, if it stays long enough.
    async fn go_back(
        &mut self,
        source: &Arc<Target>,
        resume: Resume,
        failure: Failure,
    ) -> Option<RelayEnd> {
        let went = self.go_on(source, resume).await;
        let why = |back: Failure| format!("{}; where it was: {}", failure.reason, back.reason);
        went.err().map(|back| RelayEnd::Cut(why(back).into()))
    }

    /// Goes on at another engine, from a copy.
    async fn go_on(&mut self, target: &Arc<Target>, mut resume: Resume) -> Result<(), Failure> {
        resume.after = self.last;
        // A part of an event that the engine before did not finish; it comes again whole.
        let _ = self.split.rest();
        let limit = RESUME_PATIENCE.min(self.call.time_left());
        match send(&self.front, &self.call, target, Some(&resume), limit).await {
            SendOutcome::Response { head, body, .. } if head.status.is_success() => {
                self.framed = is_framed(&head);
                self.doubtful = false;
                self.body = body;
                self.silence.heard(boot_time());
                self.place.live.set_target(Arc::clone(target));
                Ok(())
            }
            SendOutcome::Response { head, .. } => Err(Failure {
                reason: format!("status {}", head.status).into(),
                not_run: false,
            }),
            SendOutcome::NotRun { reason } => Err(Failure {
                reason,
                not_run: true,
            }),
            SendOutcome::Unknown { reason, .. } | SendOutcome::Rejected { reason } => {
                Err(Failure {
                    reason,
                    not_run: false,
                })
            }
        }
    }
}

/// Whether a stream says where it ends.
fn is_framed(head: &Parts) -> bool {
    [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| head.headers.contains_key(name))
}

/// The next bytes of a stream, or its end.
async fn next_bytes(body: &mut Incoming) -> Input {
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Input::Bytes(bytes);
                }
            }
            Some(Err(e)) => return Input::Broken(format!("the stream broke off: {e}").into()),
            None => return Input::End,
        }
    }
}
