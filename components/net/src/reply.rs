//! Bodies and answers.

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

/// The body can't be continued. The connection is closed without the body's end, so that the
/// receiver can tell that something is missing.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the body was cut before its end")]
pub struct BodyAborted;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// Pieces of a streamed body that may wait for a slow receiver. With the client's buffers it
/// bounds what one receiver that does not read can hold.
const CHANNEL_DEPTH: usize = 16;

/// A body of known content.
#[must_use]
pub fn full(content: impl Into<Bytes>) -> Body {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An empty body.
#[must_use]
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body fed through a channel; it ends where the sender says so, and is cut if the sender is
/// dropped before. A full channel makes the sender wait, a receiver that went away makes it fail.
#[must_use]
pub fn channel() -> (BodySender, Body) {
    let (tx, rx) = bounded(CHANNEL_DEPTH);
    let whole = Arc::<AtomicBool>::default();
    let end = Arc::clone(&whole);
    // Asked only once the channel has ended.
    let cut = move |()| (!end.load(Ordering::Acquire)).then_some(Err(BodyAborted));
    let rx = Box::pin(rx.map(Ok).chain(stream::once(()).filter_map(cut)));
    (BodySender { tx, whole }, Fed::new(rx, None).boxed_unsync())
}

/// The sending end of a body.
#[derive(Debug)]
pub struct BodySender {
    tx: Sender<Bytes>,
    whole: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a piece, and waits for a receiver that is slow.
    ///
    /// # Errors
    /// Gives the piece back if the receiver went away or the body was ended.
    pub async fn send(&self, piece: Bytes) -> Result<(), SendError<Bytes>> {
        self.tx.send(piece).await
    }

    /// Sends a piece if it need not wait.
    ///
    /// # Errors
    /// Gives the piece back, and tells why.
    pub fn try_send(&self, piece: Bytes) -> Result<(), TrySendError<Bytes>> {
        self.tx.try_send(piece)
    }

    /// Whether nothing can be sent any more.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Ends the body after what was sent: it is whole.
    pub fn finish(&self) {
        self.whole.store(true, Ordering::Release);
        self.tx.close();
    }

    /// Cuts the body after what was sent, unless it was ended.
    pub fn abort(&self) {
        self.tx.close();
    }
}

/// A body fed by a task, which gets the sending end. It ends once the task has returned; a [`BodyAborted`]
/// ends the connection with it, and so does a panic. The task is dropped with the body: when the
/// receiver goes away, nothing works on for nobody.
#[must_use]
pub fn task_body<F>(feed: impl FnOnce(Sender<Result<Bytes, BodyAborted>>) -> F) -> Body
where
    F: Future<Output = ()> + Send + 'static,
{
    let (tx, rx) = bounded(CHANNEL_DEPTH);
    // Caught, so that a panic ends in the body and not in whoever sends it.
    let feed = AssertUnwindSafe(feed(tx)).catch_unwind();
    let feeder = Some(workers::spawn(feed));
    let rx = Box::pin(rx);
    Fed::new(rx, feeder).boxed_unsync()
}

struct Fed {
    rx: Pin<Box<dyn Stream<Item = Result<Bytes, BodyAborted>> + Send>>,
    /// Dropping it ends the task.
    feeder: Option<Task<thread::Result<()>>>,
    /// It is cut as soon as what went before has been written.
    cut: bool,
}

impl Fed {
    fn new(
        rx: Pin<Box<dyn Stream<Item = Result<Bytes, BodyAborted>> + Send>>,
        feeder: Option<Task<thread::Result<()>>>,
    ) -> Self {
        Self {
            rx,
            feeder,
            cut: false,
        }
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        match ready!(self.rx.as_mut().poll_next(cx)) {
            None => self.poll_end(cx),
            piece => Poll::Ready(piece),
        }
    }

    /// What comes after the last piece: the end, if the feeder came to its own.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        let Some(feeder) = &mut self.feeder else {
            return Poll::Ready(None);
        };
        let ended = ready!(Pin::new(feeder).poll(cx));
        self.feeder = None;
        Poll::Ready(ended.err().map(|_| Err(BodyAborted)))
    }
}

impl HttpBody for Fed {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        if self.cut {
            return Poll::Ready(Some(Err(BodyAborted)));
        }
        match ready!(self.poll_piece(cx)) {
            Some(Err(BodyAborted)) => {
                // The connection drops what it holds once it hears of the cut, be it the head. It
                // writes whenever a body has nothing more for now.
                self.cut = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            piece => Poll::Ready(piece.map(|buf| buf.map(Frame::data))),
        }
    }
}

/// An answer under construction.
#[derive(Debug)]
pub struct Reply {
    inner: Response<Body>,
}

impl Reply {
    /// An answer with an empty body. An impossible status becomes 500.
    #[must_use]
    pub fn new(status: u16) -> Self {
        let mut inner = Response::new(empty());
        *inner.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self { inner }
    }

    /// A JSON answer.
    #[must_use]
    pub fn json(status: u16, content: &impl Serialize) -> Self {
        // Our own types have string keys only, so this can't fail for them.
        let text = serde_json::to_vec(content).unwrap_or_default();
        Self::new(status)
            .with_header("content-type", "application/json")
            .with_body(full(text))
    }

    /// A plain text answer.
    #[must_use]
    pub fn text(status: u16, content: impl Into<Bytes>) -> Self {
        Self::new(status)
            .with_header("content-type", "text/plain; charset=utf-8")
            .with_body(full(content))
    }

    /// Sets a header; one that HTTP does not allow is left out.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            self.inner.headers_mut().insert(name, value);
        }
        self
    }

    /// Adds a header beside those of the same name, as `Set-Cookie` may need; one that HTTP does
    /// not allow is left out.
    #[must_use]
    pub fn with_added(mut self, name: &str, value: &str) -> Self {
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

    /// The finished answer.
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
