//! Response bodies, and a builder for responses.

use std::{
    panic::AssertUnwindSafe,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    thread,
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body as HttpBody, Frame},
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use serde::Serialize;
use smol::{
    Task,
    channel::{SendError, Sender, TrySendError, bounded},
    future::FutureExt,
    stream::{self, Stream, StreamExt},
};

use crate::sliced::Sliced;

/// The body can't be continued. The connection is closed without the end of the body, so that the
/// receiver can tell that it is incomplete.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the body was cut before its end")]
pub struct BodyAborted;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// Chunks of a streamed body that may wait for a slow receiver. Together with the buffers of the
/// connection it bounds the memory that a receiver which does not read can occupy.
const CHANNEL_CAPACITY: usize = 16;
/// The same for a body whose chunks may be large.
const SHORT_CHANNEL_CAPACITY: usize = 2;

/// A body of known content. Its memory is released once it has been written to the connection.
#[must_use]
pub fn full(content: impl Into<Bytes>) -> Body {
    Sliced::new(Full::new(content.into()))
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An empty body.
#[must_use]
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body that is sent through a channel. It ends with [`BodySender::finish`], and is aborted if
/// the sender is dropped before. A full channel makes the sender wait; if the receiver has left,
/// sending fails.
#[must_use]
pub fn channel() -> (BodySender, Body) {
    let (tx, rx) = bounded(CHANNEL_CAPACITY);
    let finished = Arc::<AtomicBool>::default();
    let has_finished = Arc::clone(&finished);
    // Evaluated only once the channel has been closed.
    let abort = move |()| (!has_finished.load(Ordering::Acquire)).then_some(Err(BodyAborted));
    let rx = Box::pin(rx.map(Ok).chain(stream::once(()).filter_map(abort)));
    (
        BodySender { tx, finished },
        StreamedBody::new(rx, None).boxed_unsync(),
    )
}

/// The sending end of a body made by [`channel`].
#[derive(Debug)]
pub struct BodySender {
    tx: Sender<Bytes>,
    finished: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a chunk. Waits while the channel is full.
    ///
    /// # Errors
    /// Returns the chunk if the receiver has left or the body has ended.
    pub async fn send(&self, chunk: Bytes) -> Result<(), SendError<Bytes>> {
        self.tx.send(chunk).await
    }

    /// Sends a chunk if the channel has room.
    ///
    /// # Errors
    /// Returns the chunk if the channel is full, the receiver has left or the body has ended.
    pub fn try_send(&self, chunk: Bytes) -> Result<(), TrySendError<Bytes>> {
        self.tx.try_send(chunk)
    }

    /// Whether nothing can be sent any more.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Ends the body after the chunks sent so far; it is complete.
    pub fn finish(&self) {
        self.finished.store(true, Ordering::Release);
        self.tx.close();
    }

    /// Aborts the body after the chunks sent so far, unless it has been finished.
    pub fn abort(&self) {
        self.tx.close();
    }
}

/// A body that is sent by a task, which gets the sending end of a channel. The body ends once the
/// task has returned. If the task sends [`BodyAborted`] or panics, the body is aborted and the
/// connection closed. The task is dropped with the body, so that it stops when the receiver leaves.
#[must_use]
pub fn task_body<F>(sending: impl FnOnce(Sender<Result<Bytes, BodyAborted>>) -> F) -> Body
where
    F: Future<Output = ()> + Send + 'static,
{
    task_body_of(CHANNEL_CAPACITY, sending)
}

/// Like [`task_body`], for chunks that may be as large as the buffers of a connection: few of them wait for the
/// receiver.
#[must_use]
pub fn short_task_body<F>(sending: impl FnOnce(Sender<Result<Bytes, BodyAborted>>) -> F) -> Body
where
    F: Future<Output = ()> + Send + 'static,
{
    task_body_of(SHORT_CHANNEL_CAPACITY, sending)
}

fn task_body_of<F>(
    capacity: usize,
    sending: impl FnOnce(Sender<Result<Bytes, BodyAborted>>) -> F,
) -> Body
where
    F: Future<Output = ()> + Send + 'static,
{
    let (tx, rx) = bounded(capacity);
    // A panic aborts the body and does not unwind into the code that polls it.
    let sending = AssertUnwindSafe(sending(tx)).catch_unwind();
    let task = Some(workers::spawn(sending));
    let rx = Box::pin(rx);
    StreamedBody::new(rx, task).boxed_unsync()
}

struct StreamedBody {
    rx: Pin<Box<dyn Stream<Item = Result<Bytes, BodyAborted>> + Send>>,
    /// The task that sends the chunks; dropping it stops the task.
    task: Option<Task<thread::Result<()>>>,
    /// The next poll aborts the body; the chunks before have been handed out.
    aborted: bool,
}

impl StreamedBody {
    fn new(
        rx: Pin<Box<dyn Stream<Item = Result<Bytes, BodyAborted>> + Send>>,
        task: Option<Task<thread::Result<()>>>,
    ) -> Self {
        Self {
            rx,
            task,
            aborted: false,
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        match ready!(self.rx.as_mut().poll_next(cx)) {
            None => self.poll_end(cx),
            chunk => Poll::Ready(chunk),
        }
    }

    /// Ends the body after its last chunk, or aborts it if the task panicked.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        let Some(task) = &mut self.task else {
            return Poll::Ready(None);
        };
        let ended = ready!(Pin::new(task).poll(cx));
        self.task = None;
        Poll::Ready(ended.err().map(|_| Err(BodyAborted)))
    }
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if self.aborted {
            return Poll::Ready(Some(Err(BodyAborted)));
        }
        match ready!(self.poll_chunk(cx)) {
            Some(Err(BodyAborted)) => {
                // On an error hyper discards what it has buffered, even the response's head, but it
                // flushes its buffer when a body is pending. So the error is held back by one poll.
                self.aborted = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            chunk => Poll::Ready(chunk.map(|buf| buf.map(Frame::data))),
        }
    }
}

/// A builder for a response.
#[derive(Debug)]
pub struct Reply {
    inner: Response<Body>,
}

impl Reply {
    /// Starts a response with an empty body. An invalid status code becomes 500.
    #[must_use]
    pub fn new(status: u16) -> Self {
        let mut inner = Response::new(empty());
        *inner.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self { inner }
    }

    /// Starts a JSON response.
    #[must_use]
    pub fn json(status: u16, content: &impl Serialize) -> Self {
        // Serializing fails only for maps with keys that are not strings; our types have none.
        let text = serde_json::to_vec(content).unwrap_or_default();
        Self::new(status)
            .with_header("content-type", "application/json")
            .with_body(full(text))
    }

    /// Starts a plain text response.
    #[must_use]
    pub fn text(status: u16, content: impl Into<Bytes>) -> Self {
        Self::new(status)
            .with_header("content-type", "text/plain; charset=utf-8")
            .with_body(full(content))
    }

    /// Sets a header. An invalid name or value is ignored.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            self.inner.headers_mut().insert(name, value);
        }
        self
    }

    /// Adds a header beside those of the same name, as `Set-Cookie` needs. An invalid name or value
    /// is ignored.
    #[must_use]
    pub fn with_appended_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            self.inner.headers_mut().append(name, value);
        }
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Body) -> Self {
        *self.inner.body_mut() = body;
        self
    }

    /// Returns the finished response.
    #[must_use]
    pub fn done(self) -> Response<Body> {
        self.inner
    }

    /// The content type set so far.
    #[must_use]
    pub fn content_type(&self) -> Option<&str> {
        self.inner.headers().get(CONTENT_TYPE)?.to_str().ok()
    }
}
