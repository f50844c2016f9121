//! Goes on with a generation: from its memory, at the engine that has it or at another one, or after its last
//! event where the route allows that.

use std::{sync::Arc, time::Duration};

use events::{Event, emit};
use timer::{Timer, boot_time};
use types::{TargetId, millis};
use view::Target;

use super::{Relay, RelayEnd, is_event_stream, is_framed};
use crate::{
    adapters::Resume,
    generations::{
        attempts::{self, Loss},
        dispatch::{self, Started},
        recovery::{self, Rest, Run},
        resumption::{Cause, Decision, Position, patience},
        stopping::{self, Stopped, Stopping},
    },
    quarantine::parts::Progress,
    reaching::presence,
    send::{SendOutcome, send},
};

/// Time for an engine to answer a resumed generation. Engines admit resumed generations first, in
/// their next step, and a caller gives up long before this time is over.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before a resumption that was not sent is tried again; it doubles each time.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before it is tried again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Why a generation was not resumed at an engine.
pub(super) struct ResumeError {
    pub(super) reason: Arc<str>,
    /// The engine certainly did not resume it, so that its copy can still be used.
    pub(super) not_run: bool,
    /// Nothing was sent to the engine, as no connection to it could be used.
    pub(super) is_unsent: bool,
}

impl Relay {
    /// Resumes the generation from the memory of its engine, if that can still be copied. The
    /// caller of this function holds the right to migrate the generation.
    pub(super) async fn recover(&mut self, cause: Cause, reason: Arc<str>) -> Option<RelayEnd> {
        let generation = Arc::clone(&self.assignment.generation);
        // Closes the connection: what it may still bring would come twice.
        self.body = None;
        let source = generation.target();
        let has_ended = self.running.iter().all(|it| it.id != source.id);
        let run = match self.queued_since {
            _ if has_ended => Run::Ended,
            Some(at) => Run::Sent { at },
            None => Run::Begun,
        };
        let rest = recovery::recover(&self.front, &self.call, &generation, run).await;
        if rest.is_ok() {
            self.record_stopped(&source);
        }
        let resumed = match rest {
            Ok(Rest::Copy(target, resume)) => self
                .resume_at(&target, resume)
                .await
                .map_err(|failure| failure.reason),
            Ok(Rest::Nothing(why)) | Err(why) => Err(why),
        };
        generation.end_migration();
        resumed.err().map(|why| RelayEnd::EngineFailed {
            cause,
            reason: format!("{reason}; recovery failed: {why}").into(),
        })
    }

    /// Resumes the generation at the engine that it was to leave, because the destination did not
    /// take it. The owner can choose another destination if the engine stays up long enough.
    pub(super) async fn resume_at_source(
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
        resumed.err().map(|at_source| RelayEnd::EngineFailed {
            cause: Cause::ConnectionLost,
            reason: why(at_source).into(),
        })
    }

    /// Resumes the generation at an engine from a copy, unless another engine may still work on it.
    pub(super) async fn resume_at(
        &mut self,
        target: &Arc<Target>,
        mut resume: Resume,
    ) -> Result<(), ResumeError> {
        if let Some(other) = self.running.iter().find(|it| it.id != target.id) {
            return Err(ResumeError {
                reason: format!("{} may still work on it", other.id).into(),
                not_run: true,
                is_unsent: false,
            });
        }
        self.running = vec![Arc::clone(target)];
        let resumed = self.send_until_sent(target, &mut resume).await;
        if resumed.as_ref().is_err_and(|failure| failure.not_run) {
            self.record_stopped(target);
        }
        resumed
    }

    /// Sends the generation to an engine. If it is the one that made the copy, no other one can go on from it:
    /// while nothing can be sent there and it has not ended, it may be at its connection limit, and is tried again
    /// for as long as the caller waits.
    async fn send_until_sent(
        &mut self,
        target: &Arc<Target>,
        resume: &mut Resume,
    ) -> Result<(), ResumeError> {
        let patience = patience(self.call.route.objective, self.call.time_left());
        let timer = Timer::new();
        let mut pause = RETRY_PAUSE;
        loop {
            let failure = match self.send_resumption(target, resume).await {
                Err(failure) if failure.is_unsent && resume.source == target.addr => failure,
                resumed => return resumed,
            };
            if timer.now() + pause >= patience || presence::has_ended(&self.front, target).await {
                return Err(failure);
            }
            smol::Timer::after(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    async fn send_resumption(
        &mut self,
        target: &Arc<Target>,
        resume: &mut Resume,
    ) -> Result<(), ResumeError> {
        resume.after = self.last_event;
        self.queued_since = Some(boot_time());
        // Drops the incomplete event of the previous engine; the new stream repeats it.
        let _ = self.splitter.take_rest();
        let timeout = RESUME_TIMEOUT.min(self.call.time_left());
        match send(&self.front, &self.call, target, Some(resume), timeout).await {
            SendOutcome::Response { head, body, .. } if head.status.is_success() => {
                self.framed = is_framed(&head);
                self.has_events = is_event_stream(&head);
                self.maybe_stopped = false;
                self.progress = Progress::RESUMED;
                self.body = Some(body);
                self.monitor.reset(boot_time());
                self.assignment.generation.set_target(Arc::clone(target));
                Ok(())
            }
            SendOutcome::Response { head, .. } => Err(ResumeError {
                reason: format!("status {}", head.status).into(),
                not_run: false,
                is_unsent: false,
            }),
            SendOutcome::NotRun { proof } => Err(ResumeError {
                reason: Arc::clone(proof.reason()),
                not_run: true,
                is_unsent: false,
            }),
            SendOutcome::NotReached { reason } => Err(ResumeError {
                reason,
                not_run: true,
                is_unsent: true,
            }),
            SendOutcome::Withheld { reason } | SendOutcome::Rejected { reason } => {
                Err(ResumeError {
                    reason,
                    not_run: true,
                    is_unsent: false,
                })
            }
            SendOutcome::Unknown { reason, .. } => Err(ResumeError {
                reason,
                not_run: false,
                is_unsent: false,
            }),
        }
    }

    /// Goes on at another engine after the last event, if the route allows it. The events so far, and the
    /// head, stay those of the first engine.
    pub(super) async fn resume_elsewhere(
        &mut self,
        cause: Cause,
        reason: Arc<str>,
    ) -> Option<RelayEnd> {
        let failed_at = boot_time();
        let loss = Loss {
            target: self.assignment.generation.target(),
            cause,
            position: self.position(),
            sent_at: self.sent_at,
        };
        let decision = attempts::decide(&self.front, &self.call, &self.attempts, &loss);
        if matches!(decision, Decision::GiveUp(_)) {
            return Some(RelayEnd::BodyAborted(reason));
        }
        self.body = None;
        // The rest of an incomplete event; the next engine sends the event anew.
        let _ = self.splitter.take_rest();
        match self.stop_running().await {
            Ok(None) => {}
            Ok(Some((target, resume))) => {
                if self.resume_at(&target, resume).await.is_ok() {
                    return None;
                }
                if let Err(why) = self.stop_running().await {
                    return Some(RelayEnd::BodyAborted(format!("{reason}; {why}").into()));
                }
            }
            Err(why) => return Some(RelayEnd::BodyAborted(format!("{reason}; {why}").into())),
        }
        self.assignment.release_early().await;
        let patience = patience(self.call.route.objective, self.call.time_left());
        let after = self.last_event.filter(|_| decision != Decision::Restart);
        let call = self.call.with_resumption(after, patience);
        let unsuitable = self.other_weights(&loss.target);
        let attempts = self.attempts.after_loss(loss.clone(), unsuitable);
        match dispatch::start(&self.front, &call, attempts).await {
            Ok(started) if is_event_stream(&started.head) => {
                let took = boot_time().saturating_sub(failed_at);
                self.record_resumption(&loss, &started, millis(took));
                self.go_on_with(started);
                None
            }
            Ok(_) => Some(RelayEnd::BodyAborted(
                format!("{reason}; the next engine answered no stream").into(),
            )),
            Err(failure) => Some(RelayEnd::BodyAborted(
                format!("{reason}; not resumed: {}", failure.reason()).into(),
            )),
        }
    }

    /// Records that an engine no longer works on the generation.
    pub(super) fn record_stopped(&mut self, engine: &Target) {
        self.running.retain(|it| it.id != engine.id);
    }

    /// Makes sure that no engine works on the generation any more. Returns a copy from which it can go on, if
    /// one was made.
    async fn stop_running(&mut self) -> Result<Option<(Arc<Target>, Resume)>, Arc<str>> {
        let mut copy = None;
        while let Some(engine) = self.running.last().cloned() {
            let to = stopping::any_destination(&self.front, &engine);
            let timeout = patience(self.call.route.objective, self.call.time_left());
            let stopping = Stopping {
                id: &self.call.request.id,
                source: &engine,
                to: &to,
                queued_since: self.queued_since,
            };
            let stopped = stopping::stop(&self.front, &stopping, timeout).await;
            let stopped =
                stopped.map_err(|why| format!("{} may still work on it: {why}", engine.id))?;
            self.record_stopped(&engine);
            if let Stopped::Copied { at, resume } = stopped {
                copy = Some((at, resume));
            }
        }
        Ok(copy)
    }

    /// How much of the stream the caller has received.
    fn position(&self) -> Position {
        if !self.has_events || self.has_unnumbered {
            return Position::Unknown;
        }
        self.last_event.map_or(Position::Start, Position::After)
    }

    /// Engines that would go on with other weights than those that have generated events.
    fn other_weights(&self, first: &Target) -> Vec<TargetId> {
        if self.last_event.is_none() {
            return Vec::new();
        }
        let listed = self.front.view.targets();
        let others = listed
            .values()
            .filter(|target| target.service == first.service && target.weights != first.weights);
        others.map(|target| Arc::clone(&target.id)).collect()
    }

    fn record_resumption(&self, loss: &Loss, started: &Started, took_ms: u64) {
        let cause = loss.cause.label();
        self.front.metrics.count_resumption(cause, "resumed");
        emit(&Event::StreamResumed {
            id: Arc::clone(&self.call.request.id),
            from: Arc::clone(&loss.target.id),
            to: Arc::clone(&started.assignment.generation.target().id),
            after: self.last_event.unwrap_or_default(),
            cause: cause.into(),
            took_ms,
        });
    }

    /// Reads on from an engine that has begun to go on.
    fn go_on_with(&mut self, started: Started) {
        self.framed = is_framed(&started.head);
        self.body = Some(started.body);
        self.running = vec![started.assignment.generation.target()];
        self.assignment = started.assignment;
        self.attempts = started.attempts;
        self.sent_at = started.sent_at;
        self.queued_since = Some(started.sent_at);
        self.stopping = false;
        self.maybe_stopped = false;
        self.progress = Progress::NONE;
        self.monitor.reset(boot_time());
    }
}
