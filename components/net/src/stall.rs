//! Connections whose other side stops reading.

use std::{
    io::{self, ErrorKind},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use smol::{
    Timer,
    future::Future,
    io::{AsyncRead, AsyncWrite},
};

/// A connection on which a write that makes no progress for a while is an error.
///
/// A caller that reads nothing leaves its answer stuck in our buffers: one would see memory and
/// open connections grow without any traffic. The limit counts from the last byte that went out,
/// so a slow reader is left alone as long as it reads at all.
pub struct Watched<S> {
    inner: S,
    limit: Duration,
    stalled: Option<Timer>,
    /// Set when bytes have been read.
    heard: Arc<AtomicBool>,
}

impl<S> Watched<S> {
    /// Watches a connection.
    pub fn new(inner: S, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            stalled: None,
            heard: Arc::default(),
        }
    }

    /// Has a switch set whenever bytes have been read.
    #[must_use]
    pub fn with_heard(mut self, heard: &Arc<AtomicBool>) -> Self {
        self.heard = Arc::clone(heard);
        self
    }

    fn judge<T>(&mut self, cx: &mut Context<'_>, poll: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.stalled = None;
            return poll;
        }
        let limit = self.limit;
        let timer = self.stalled.get_or_insert_with(|| Timer::after(limit));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(len)) if len > 0) {
            self.heard.store(true, Ordering::Release);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.judge(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.inner).poll_flush(cx);
        self.judge(cx, poll)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
