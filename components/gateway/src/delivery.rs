//! Delivers a stream to its caller until its end, and keeps reading it for a while if the caller
//! disconnects.

use std::{sync::Arc, time::Duration};

use ::quarantine::Fingerprint;
use events::Event;
use futures_lite::future;
use relay::{ActiveStream, StreamEnd, StreamError, TokenSink};
use targets::StreamItem;
use types::{ServiceKind, WorkspaceId};

use crate::{
    admission::WorkOutcome,
    attempt,
    gateway::Core,
    in_flight::InFlightGuard,
    metrics::Outcome,
    prompt_parts::{SharedParts, SoundnessWatch},
    quarantine::LostRun,
    refusals,
    streams::Superseded,
    writer::Writer,
};

/// How long a generation keeps running after its caller disconnected, so that the caller can resume
/// it. Then it is cancelled to free the engine's memory.
pub const RESUME_GRACE: Duration = Duration::from_secs(10);

/// A stream that is being delivered to its caller.
pub struct StreamDelivery {
    /// The gateway's shared state.
    pub core: Arc<Core>,
    /// The generation.
    pub stream: ActiveStream,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// Identifies the request across retries. `None` if the caller resumed the stream here: the
    /// request is then unknown.
    pub fingerprint: Option<Fingerprint>,
    /// The parts of the prompt that other requests may share; none if they are not known here.
    pub shared_parts: SharedParts,
    /// Writes to the caller.
    pub writer: Writer,
    /// Counts the request as in flight; `None` once the request has ended at this instance.
    pub in_flight: Option<InFlightGuard>,
}

impl StreamDelivery {
    fn set_outcome(&self, outcome: Outcome) {
        if let Some(in_flight) = &self.in_flight {
            in_flight.set_outcome(outcome);
        }
    }

    fn finished_outcome(&self) -> WorkOutcome {
        WorkOutcome::Finished {
            produced: self.stream.produced(),
            first: self.stream.time_to_first_token().unwrap_or_default(),
            took: self.stream.elapsed(),
        }
    }
}

/// How the delivery ended.
enum DeliveryEnd {
    /// The stream ended, or its caller disconnected.
    Stream(StreamEnd),
    /// The caller resumed the stream over another connection.
    Superseded,
    /// This instance stops.
    Stopped,
}

/// Delivers a stream until its end, beginning with `item` if it has already been read.
pub async fn deliver(mut delivery: StreamDelivery, item: Option<StreamItem>) {
    let core = Arc::clone(&delivery.core);
    let target = delivery.stream.target().id.clone();
    let registration = core.streams.register(&target, delivery.stream.id());
    let end = forward(&mut delivery, item, registration.superseded()).await;
    if !matches!(end, DeliveryEnd::Stream(StreamEnd::Closed)) {
        drop(registration);
        return finish(delivery, end, false).await;
    }
    let end = wait_for_resumption(&mut delivery, registration.superseded()).await;
    drop(registration);
    finish(delivery, end, true).await;
}

async fn forward(
    delivery: &mut StreamDelivery,
    item: Option<StreamItem>,
    superseded: Superseded,
) -> DeliveryEnd {
    let StreamDelivery {
        core,
        stream,
        writer,
        ..
    } = delivery;
    let core = Arc::clone(core);
    let forward = async {
        let written = match item {
            Some(StreamItem::Tokens { first, data, .. }) => writer.write_tokens(first, data).await,
            Some(StreamItem::End) => return DeliveryEnd::Stream(StreamEnd::Finished),
            None => Ok(()),
        };
        match written {
            Ok(()) => DeliveryEnd::Stream(stream.forward_to(writer).await),
            Err(_) => DeliveryEnd::Stream(StreamEnd::Closed),
        }
    };
    unless_interrupted(forward, superseded, &core).await
}

/// Keeps reading after the caller disconnected, until the stream ends, the caller resumes it or the
/// grace period is over.
async fn wait_for_resumption(delivery: &mut StreamDelivery, superseded: Superseded) -> DeliveryEnd {
    let core = Arc::clone(&delivery.core);
    let timer = core.timer;
    let grace = delivery.core.grace;
    let read = async {
        match read_to_end(delivery).await {
            Ok(()) => DeliveryEnd::Stream(StreamEnd::Finished),
            // The caller may still resume the stream, even if the connection or the engine failed.
            Err(_) => future::pending().await,
        }
    };
    let grace_over = async {
        timer.sleep(grace).await;
        DeliveryEnd::Stream(StreamEnd::Closed)
    };
    unless_interrupted(future::or(read, grace_over), superseded, &core).await
}

/// Reads a stream to its end and only reports progress. A lost connection is not replaced: the
/// caller may have resumed the stream at another instance, and reconnecting here would take the
/// stream away from there.
async fn read_to_end(delivery: &mut StreamDelivery) -> Result<(), StreamError> {
    let StreamDelivery { stream, writer, .. } = delivery;
    stream.disable_resume();
    while let StreamItem::Tokens { .. } = stream.next().await? {
        writer.report_progress(stream.produced());
    }
    Ok(())
}

async fn unless_interrupted(
    work: impl Future<Output = DeliveryEnd>,
    superseded: Superseded,
    core: &Core,
) -> DeliveryEnd {
    let stopped = async {
        core.stop.wait().await;
        DeliveryEnd::Stopped
    };
    let superseded = async {
        superseded.wait().await;
        DeliveryEnd::Superseded
    };
    future::or(stopped, future::or(superseded, work)).await
}

async fn finish(delivery: StreamDelivery, end: DeliveryEnd, caller_left: bool) {
    report_resumptions(&delivery.core, &delivery.stream);
    match end {
        DeliveryEnd::Stream(StreamEnd::Finished) => finished(delivery, caller_left).await,
        DeliveryEnd::Stream(StreamEnd::Failed(error)) => failed(delivery, &error).await,
        DeliveryEnd::Stream(StreamEnd::Closed) => cancelled(delivery).await,
        DeliveryEnd::Superseded => superseded(delivery).await,
        DeliveryEnd::Stopped => stopped(delivery),
    }
}

/// Counts and logs how often the stream was resumed over a new connection.
pub fn report_resumptions(core: &Core, stream: &ActiveStream) {
    let times = stream.resume_count();
    if times == 0 {
        return;
    }
    core.metrics.record_resumptions(times);
    events::emit(&Event::LinkReplaced {
        target: stream.target().id.clone(),
        times,
    });
}

async fn finished(mut delivery: StreamDelivery, caller_left: bool) {
    if let Some(watch) = delivery.writer.watch.take() {
        watch.complete();
    }
    if let Some(fingerprint) = &delivery.fingerprint {
        delivery.core.quarantine.record_success(fingerprint);
    }
    let outcome = delivery.finished_outcome();
    // The permit is given back first, because a slow caller may take a while to read the rest.
    delivery.writer.finish_permit(outcome);
    let left = caller_left || delivery.writer.write_done().await.is_err();
    delivery.set_outcome(if left { Outcome::Left } else { Outcome::Whole });
}

async fn failed(mut delivery: StreamDelivery, error: &StreamError) {
    let produced = delivery.stream.produced();
    if let Some(fingerprint) = delivery.fingerprint {
        let (core, target) = (&delivery.core, delivery.stream.target());
        let sent_at = core
            .admission
            .now()
            .saturating_sub(delivery.stream.elapsed());
        let is_sound = delivery
            .writer
            .watch
            .as_ref()
            .is_some_and(SoundnessWatch::is_sound);
        let run = LostRun {
            fingerprint,
            shared_parts: if is_sound {
                SharedParts::default()
            } else {
                delivery.shared_parts.clone()
            },
            kind: ServiceKind::Model,
            sent_at,
        };
        core.detect_crash(run, target, Vec::new());
    }
    let refusal = refusals::partial(&format!("{error}; {produced} tokens were produced"));
    delivery.writer.finish_permit(WorkOutcome::Failed);
    delivery.core.metrics.record_refusal(&refusal.code);
    delivery.set_outcome(Outcome::Partial);
    events::emit(&Event::AnswerCut {
        workspace: delivery.workspace.clone(),
        target: delivery.stream.target().id.clone(),
        reason: error.to_string().into(),
    });
    // Fails if the caller has disconnected too; then nobody needs the event.
    let _ = delivery.writer.write_partial(&refusal).await;
}

async fn cancelled(delivery: StreamDelivery) {
    let StreamDelivery {
        stream,
        mut writer,
        in_flight,
        ..
    } = delivery;
    let outcome = attempt::cancel(stream).await;
    writer.finish_permit(outcome);
    drop(in_flight);
}

/// Handles a stream that its caller resumed over another connection. The generation still uses
/// memory under the permit held here, so the stream is read to its end and the permit kept until
/// then. The request itself has ended here, and a shutdown does not wait for it.
async fn superseded(mut delivery: StreamDelivery) {
    delivery.writer.close();
    delivery.in_flight = None;
    let result = read_to_end(&mut delivery).await;
    let outcome = match result {
        Ok(()) => delivery.finished_outcome(),
        Err(_) => WorkOutcome::Failed,
    };
    delivery.writer.finish_permit(outcome);
    delivery.stream.detach();
}

/// Cuts a stream because this instance stops. The generation goes on, so that the caller can resume the stream at
/// another instance.
fn stopped(mut delivery: StreamDelivery) {
    delivery.writer.close();
    delivery.writer.finish_permit(WorkOutcome::Failed);
    delivery.set_outcome(Outcome::Partial);
    events::emit(&Event::AnswerCut {
        workspace: delivery.workspace.clone(),
        target: delivery.stream.target().id.clone(),
        reason: "the instance stops".into(),
    });
    delivery.stream.detach();
}
