//! Detects peers that stop reading.

use std::{
    io::{self, ErrorKind},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use smol::{
    Timer,
    future::Future,
    io::{AsyncRead, AsyncWrite},
};

use crate::{budget::Budget, read_meter::ReadMeter};

/// A connection on which a write that makes no progress for `timeout` fails.
///
/// The response to a caller that reads nothing stays in the server's buffers: memory and open
/// connections would grow without any traffic. The time counts from the last write that made
/// progress, so a slow reader is not affected as long as it reads at all.
pub struct WriteTimeoutStream<S> {
    inner: S,
    timeout: Duration,
    /// Runs while a write makes no progress.
    stall_timer: Option<Timer>,
    /// Counts what is read.
    meter: Arc<ReadMeter>,
}

impl<S> WriteTimeoutStream<S> {
    /// Wraps a connection.
    pub fn new(inner: S, timeout: Duration) -> Self {
        Self {
            inner,
            timeout,
            stall_timer: None,
            meter: Arc::new(ReadMeter::new(Budget::unlimited().share())),
        }
    }

    /// Counts what is read.
    #[must_use]
    pub fn with_meter(mut self, meter: &Arc<ReadMeter>) -> Self {
        self.meter = Arc::clone(meter);
        self
    }

    /// Passes on the result of a write, or fails if writes have been pending for too long.
    fn check_progress<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.stall_timer = None;
            return poll;
        }
        let timeout = self.timeout;
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Timer::after(timeout));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeoutStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        match read {
            Poll::Ready(Ok(count)) if !self.meter.record(count) => {
                Poll::Ready(Err(ErrorKind::OutOfMemory.into()))
            }
            read => read,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeoutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_progress(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.inner).poll_flush(cx);
        self.check_progress(cx, poll)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
