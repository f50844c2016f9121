//! Streamed answers: writes tokens as server-sent events, each with an id from which the caller can
//! resume.

use std::{sync::Arc, time::Duration};

use ::quarantine::Fingerprint;
use async_trait::async_trait;
use bytes::{BufMut, Bytes, BytesMut};
use hyper::Response;
use net::{Body, BodySender, Budget, Reply, channel};
use relay::{ActiveStream, ReceiverClosed, TokenSink};
use smol::channel::TrySendError;
use targets::{StreamItem, openai::REQUEST_ID};
use timer::Timer;
use types::{Class, Moment, Refusal, Tokens, WorkspaceId};

use crate::{
    admission::{PermitHandle, WorkOutcome},
    attempt::AttemptResult,
    delivery::{self, StreamDelivery},
    gateway::Core,
    generate::{Generation, StartedGeneration},
    in_flight::InFlightGuard,
    metrics::Metrics,
    problem,
    progress::ProgressThrottle,
    prompt_parts::{SharedParts, SoundnessWatch},
    resume_handle::ResumeHandle,
};

/// A caller that reads nothing for this long counts as disconnected. Its stream would otherwise
/// hold engine memory without a limit.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes that wait for the caller for which the memory of the request suffices.
const UNCOUNTED_BYTES: usize = 1_024;
/// Bytes of an event besides its data and the resume handle: field names, line ends and offset.
const EVENT_OVERHEAD: usize = 40;
/// The last event of a complete stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Answers with a stream. The response head is sent only with the first token, so that any earlier
/// failure can still be answered with a refusal.
pub async fn answer(generation: Generation) -> Result<Response<Body>, Refusal> {
    let core = Arc::clone(&generation.core);
    let request = &generation;
    let (mut attempt, started) = request
        .with_retries(|mut attempt| async move {
            let result = request.start(&mut attempt).await;
            if let AttemptResult::Success(started) = &result {
                // Reported before any token is sent: afterwards the permit can't be revoked.
                attempt.permit().report_progress(started.produced());
            }
            (attempt, result)
        })
        .await?;
    let watch = attempt.watch.take();
    let (permit, stream) = attempt.take();
    let stream = stream.expect("a started generation has a stream");
    let arrived = generation.caller.arrived;
    let time = core.admission.now().saturating_sub(arrived);
    core.metrics.record_first_token(time);
    let context = StreamContext::of(&generation).with_watch(watch);
    let StartedGeneration { item, request } = started;
    let in_flight = generation.in_flight;
    let reply = start_delivery(&core, context, permit, stream, Some(item), in_flight);
    Ok(reply.with_header(REQUEST_ID, &request).done())
}

/// Whose stream it is, and the terms under which it runs.
pub struct StreamContext {
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The route by which the service was chosen.
    pub route: types::RouteId,
    /// Urgency.
    pub class: Class,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// Largest number of tokens to produce.
    pub max_output: Tokens,
    /// Identifies the request across retries; `None` if it is not known here.
    pub fingerprint: Option<Fingerprint>,
    /// The parts of the prompt that other requests may share; none if they are not known here.
    pub shared_parts: SharedParts,
    /// Watches whether the prompt proves sound.
    pub watch: Option<SoundnessWatch>,
}

impl StreamContext {
    fn of(generation: &Generation) -> Self {
        Self {
            workspace: generation.caller.workspace.clone(),
            route: generation.rule.route.clone(),
            class: generation.class,
            prompt_tokens: generation.completion.prompt_tokens,
            max_output: generation.max_output,
            fingerprint: Some(generation.fingerprint),
            shared_parts: generation.shared_parts.clone(),
            watch: None,
        }
    }

    /// Sets what watches whether the prompt proves sound.
    fn with_watch(mut self, watch: Option<SoundnessWatch>) -> Self {
        self.watch = watch;
        self
    }

    fn resume_handle(&self, core: &Core, stream: &ActiveStream) -> String {
        let handle = ResumeHandle {
            target: stream.target().id.clone(),
            stream: stream.id().clone(),
            holder: core.instance.clone(),
            route: self.route.clone(),
            class: self.class,
            prompt_tokens: self.prompt_tokens,
            max_output: self.max_output,
        };
        core.resume_handles.encode(&self.workspace, &handle)
    }
}

/// Starts delivering a stream to its caller in the background, beginning with `item` if it has
/// already been read. Returns the response head with the body to stream.
pub fn start_delivery(
    core: &Arc<Core>,
    context: StreamContext,
    permit: Box<dyn PermitHandle>,
    stream: ActiveStream,
    item: Option<StreamItem>,
    in_flight: InFlightGuard,
) -> Reply {
    let (tx, body) = channel();
    let handle = context.resume_handle(core, &stream);
    let writer = Writer::new(core, tx, &handle, permit).with_watch(context.watch);
    let delivery = StreamDelivery {
        core: Arc::clone(core),
        stream,
        workspace: context.workspace,
        fingerprint: context.fingerprint,
        shared_parts: context.shared_parts,
        writer,
        in_flight: Some(in_flight),
    };
    workers::spawn(delivery::deliver(delivery, item)).detach();
    Reply::new(200)
        .with_header("content-type", "text/event-stream")
        .with_header("cache-control", "no-cache")
        .with_body(body)
}

/// Writes a stream's events to its caller and reports progress under the permit.
pub struct Writer {
    timer: Timer,
    tx: BodySender,
    /// Start of each event: `id: HANDLE.`
    event_prefix: Bytes,
    /// `None` once the permit has been given back.
    permit: Option<Box<dyn PermitHandle>>,
    metrics: Metrics,
    memory: Budget,
    progress: ProgressThrottle,
    last_write_at: Moment,
    /// Watches whether the prompt proves sound.
    pub watch: Option<SoundnessWatch>,
}

impl Writer {
    fn new(core: &Core, tx: BodySender, handle: &str, permit: Box<dyn PermitHandle>) -> Self {
        let now = core.timer.now();
        Self {
            timer: core.timer,
            tx,
            event_prefix: format!("id: {handle}.").into(),
            permit: Some(permit),
            metrics: core.metrics.clone(),
            memory: core.memory.clone(),
            progress: ProgressThrottle::new(0, now),
            last_write_at: now,
            watch: None,
        }
    }

    fn with_watch(mut self, watch: Option<SoundnessWatch>) -> Self {
        self.watch = watch;
        self
    }

    /// Writes the end of a complete stream.
    pub async fn write_done(&self) -> Result<(), ReceiverClosed> {
        self.send_last(Bytes::from_static(DONE)).await
    }

    /// Writes an event that marks the answer as partial, and ends the stream.
    pub async fn write_partial(&self, refusal: &Refusal) -> Result<(), ReceiverClosed> {
        let mut buf = BytesMut::new();
        buf.put_slice(b"event: partial\ndata: ");
        buf.put_slice(&problem::json(refusal));
        buf.put_slice(b"\n\n");
        self.send_last(buf.freeze()).await
    }

    /// Reports the progress, at a limited rate.
    pub fn report_progress(&mut self, produced: Tokens) {
        if let Some(permit) = &self.permit
            && self.progress.is_due(produced, self.timer.now())
        {
            permit.report_progress(produced);
        }
    }

    /// Aborts the response, so that it does not look complete to the caller.
    pub fn close(&self) {
        self.tx.abort();
    }

    /// Reports how the work ended and gives the permit back. Does nothing if called again.
    pub fn finish_permit(&mut self, outcome: WorkOutcome) {
        if let Some(permit) = self.permit.take() {
            permit.finish(outcome);
        }
    }

    /// Events as they wait for the caller: large ones count against the memory budget until they are written.
    fn hold(&self, buf: Bytes) -> Option<Bytes> {
        if buf.len() <= UNCOUNTED_BYTES {
            return Some(buf);
        }
        self.memory.hold(buf)
    }

    /// Sends the last event and ends the response. A response that is not ended this way looks
    /// broken to the caller.
    async fn send_last(&self, buf: Bytes) -> Result<(), ReceiverClosed> {
        self.send(buf).await?;
        self.tx.finish();
        Ok(())
    }

    /// Sends events. A caller for whose events there is no memory counts as disconnected, and can resume.
    async fn send(&self, buf: Bytes) -> Result<(), ReceiverClosed> {
        let Some(buf) = self.hold(buf) else {
            self.tx.abort();
            return Err(ReceiverClosed);
        };
        let buf = match self.tx.try_send(buf) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Closed(_)) => return Err(ReceiverClosed),
            Err(TrySendError::Full(buf)) => buf,
        };
        match self.timer.within(WRITE_TIMEOUT, self.tx.send(buf)).await {
            Some(Ok(())) => Ok(()),
            Some(Err(_)) | None => Err(ReceiverClosed),
        }
    }
}

#[async_trait]
impl TokenSink for Writer {
    async fn write_tokens(
        &mut self,
        first: Tokens,
        data: Vec<Bytes>,
    ) -> Result<(), ReceiverClosed> {
        let now = self.timer.now();
        self.metrics
            .record_tokens(data.len() as u64, now.saturating_sub(self.last_write_at));
        self.last_write_at = now;
        if let Some(watch) = &mut self.watch {
            watch.record_token();
        }
        self.report_progress(first + data.len() as Tokens);
        self.send(encode_events(&self.event_prefix, first, &data))
            .await
    }
}

/// Encodes events into one buffer, so that tokens that arrived together are written together.
fn encode_events(prefix: &[u8], first: Tokens, data: &[Bytes]) -> Bytes {
    let size = data
        .iter()
        .map(|part| prefix.len() + part.len() + EVENT_OVERHEAD)
        .sum();
    let mut buf = BytesMut::with_capacity(size);
    for (offset, part) in (first..).zip(data) {
        buf.put_slice(prefix);
        put_number(&mut buf, offset);
        buf.put_slice(b"\ndata: ");
        buf.put_slice(part);
        buf.put_slice(b"\n\n");
    }
    buf.freeze()
}

/// Appends a number in decimal without allocating a string.
fn put_number(buf: &mut BytesMut, mut number: u64) {
    let mut digits = [0_u8; 20];
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            break;
        }
    }
    buf.put_slice(&digits[at..]);
}
