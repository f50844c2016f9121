//! Streamed answers: tokens as server-sent events, each with an id to go on from.

use std::{sync::Arc, time::Duration};

use ::quarantine::Fingerprint;
use async_trait::async_trait;
use bytes::{BufMut, Bytes, BytesMut};
use hyper::Response;
use net::{Body, BodySender, Reply, channel};
use relay::{ActiveStream, ReceiverClosed, TokenSink};
use smol::channel::TrySendError;
use targets::{Piece, openai::REQUEST_ID};
use timer::Timer;
use types::{Class, Moment, Refusal, Tokens, WorkspaceId};

use crate::{
    admission::{PermitHandle, WorkOutcome},
    attempt::Tried,
    delivery::{self, Carried},
    gateway::Core,
    generate::{Begun, Generation},
    in_flight::InFlightGuard,
    metrics::Metrics,
    problem,
    progress::Pace,
    resume_handle::ResumeHandle,
};

/// A caller that takes nothing for this long counts as gone. Its stream would otherwise hold
/// engine memory for as long as it likes.
const WRITE_STALL: Duration = Duration::from_secs(20);
/// Bytes around an event's data: field names, line ends and the offset.
const EVENT_EXTRA: usize = 40;
/// What ends a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Answers with a stream. The head goes out with the first token, so that everything before it
/// can still be refused in full.
pub async fn answer(generation: Generation) -> Result<Response<Body>, Refusal> {
    let core = Arc::clone(&generation.core);
    let ask = &generation;
    let (work, begun) = ask
        .tries(|mut work| async move {
            let tried = ask.begin(&mut work).await;
            if let Tried::Good(begun) = &tried {
                // Before any token goes out: from now on the permit can't be pulled back.
                work.permit().report_progress(begun.produced());
            }
            (work, tried)
        })
        .await?;
    let (permit, running) = work.take();
    let running = running.expect("a generation that has begun is running");
    let arrived = generation.caller.arrived;
    let since = core.admission.now().saturating_sub(arrived);
    core.metrics.first_token(since);
    let account = Account::of(&generation);
    let Begun { piece, request } = begun;
    let flight = generation.flight;
    let reply = carry(&core, &account, permit, running, Some(piece), flight);
    Ok(reply.with_header(REQUEST_ID, &request).done())
}

/// For whom a stream runs, and under which terms.
pub struct Account {
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The route it came by.
    pub route: types::RouteId,
    /// Its urgency.
    pub class: Class,
    /// Tokens in the prompt.
    pub prompt_tokens: Tokens,
    /// The most tokens to produce.
    pub max_output: Tokens,
    /// What stays the same of the request when it is sent again, where it is known.
    pub fingerprint: Option<Fingerprint>,
}

impl Account {
    fn of(generation: &Generation) -> Self {
        Self {
            workspace: generation.caller.workspace.clone(),
            route: generation.rule.route.clone(),
            class: generation.class,
            prompt_tokens: generation.call.prompt_tokens,
            max_output: generation.max_output,
            fingerprint: Some(generation.fingerprint),
        }
    }

    fn ticket(&self, core: &Core, running: &ActiveStream) -> String {
        let ticket = ResumeHandle {
            target: running.target().id.clone(),
            stream: running.id().clone(),
            holder: core.instance.clone(),
            route: self.route.clone(),
            class: self.class,
            prompt_tokens: self.prompt_tokens,
            max_output: self.max_output,
        };
        core.tickets.write(&self.workspace, &ticket)
    }
}

/// Starts to carry a stream to its caller, with the first piece if it has come, and gives the
/// answer's head.
pub fn carry(
    core: &Arc<Core>,
    account: &Account,
    permit: Box<dyn PermitHandle>,
    running: ActiveStream,
    piece: Option<Piece>,
    flight: InFlightGuard,
) -> Reply {
    let (tx, body) = channel();
    let ticket = account.ticket(core, &running);
    let writer = Writer::new(core, tx, &ticket, permit);
    let carried = Carried {
        core: Arc::clone(core),
        running,
        workspace: account.workspace.clone(),
        fingerprint: account.fingerprint,
        writer,
        flight: Some(flight),
    };
    workers::spawn(delivery::carry(carried, piece)).detach();
    Reply::new(200)
        .with_header("content-type", "text/event-stream")
        .with_header("cache-control", "no-cache")
        .with_body(body)
}

/// Writes a stream's events to its caller and reports progress.
pub struct Writer {
    timer: Timer,
    tx: BodySender,
    /// `id: TICKET.`
    head: Bytes,
    /// Until the work under it has ended.
    permit: Option<Box<dyn PermitHandle>>,
    metrics: Metrics,
    pace: Pace,
    last: Moment,
}

impl Writer {
    fn new(core: &Core, tx: BodySender, ticket: &str, permit: Box<dyn PermitHandle>) -> Self {
        let now = core.timer.now();
        Self {
            timer: core.timer,
            tx,
            head: format!("id: {ticket}.").into(),
            permit: Some(permit),
            metrics: core.metrics.clone(),
            pace: Pace::new(0, now),
            last: now,
        }
    }

    /// Writes the stream's end.
    pub async fn done(&self) -> Result<(), ReceiverClosed> {
        self.send_last(Bytes::from_static(DONE)).await
    }

    /// Writes that the answer stops short.
    pub async fn partial(&self, refusal: &Refusal) -> Result<(), ReceiverClosed> {
        let mut buf = BytesMut::new();
        buf.put_slice(b"event: partial\ndata: ");
        buf.put_slice(&problem::json(refusal));
        buf.put_slice(b"\n\n");
        self.send_last(buf.freeze()).await
    }

    /// Reports progress, but not for each token.
    pub fn note(&mut self, produced: Tokens) {
        if let Some(permit) = &self.permit
            && self.pace.due(produced, self.timer.now())
        {
            permit.report_progress(produced);
        }
    }

    /// Closes the way to the caller, before the stream's end.
    pub fn close(&self) {
        self.tx.cut();
    }

    /// Reports how the work under the permit ended.
    pub fn finish(&mut self, outcome: WorkOutcome) {
        if let Some(permit) = self.permit.take() {
            permit.finish(outcome);
        }
    }

    /// Sends what tells of the stream's end. Without it the connection ends as one that broke.
    async fn send_last(&self, buf: Bytes) -> Result<(), ReceiverClosed> {
        self.send(buf).await?;
        self.tx.finish();
        Ok(())
    }

    async fn send(&self, buf: Bytes) -> Result<(), ReceiverClosed> {
        let buf = match self.tx.try_send(buf) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Closed(_)) => return Err(ReceiverClosed),
            Err(TrySendError::Full(buf)) => buf,
        };
        match self.timer.within(WRITE_STALL, self.tx.send(buf)).await {
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
            .tokens(data.len() as u64, now.saturating_sub(self.last));
        self.last = now;
        self.note(first + data.len() as Tokens);
        self.send(events(&self.head, first, &data)).await
    }
}

/// Writes events into one buffer: one write for all that came together.
fn events(head: &[u8], first: Tokens, data: &[Bytes]) -> Bytes {
    let size = data
        .iter()
        .map(|part| head.len() + part.len() + EVENT_EXTRA)
        .sum();
    let mut buf = BytesMut::with_capacity(size);
    for (offset, part) in (first..).zip(data) {
        buf.put_slice(head);
        put_number(&mut buf, offset);
        buf.put_slice(b"\ndata: ");
        buf.put_slice(part);
        buf.put_slice(b"\n\n");
    }
    buf.freeze()
}

/// Writes a number in decimal without going through a string.
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
