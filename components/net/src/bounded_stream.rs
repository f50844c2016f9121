//! The client's side of a connection, with bounds on what a server may send.

use std::{
    io::{Error, ErrorKind, Result},
    pin::Pin,
    sync::{
        Arc, Weak,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use crate::linger;

/// The most bytes that may arrive until the head of a response is complete. Interim responses count: a
/// server may send any number of them, and the HTTP library skips them.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// The most bytes that are read without letting other tasks run: a fast server could fill the receive
/// buffer as quickly as it is emptied.
const MAX_BURST_BYTES: usize = 128 * 1_024;

/// Counts the bytes that may still arrive before the head of a response is complete.
#[derive(Debug)]
pub struct HeadBudget {
    left: AtomicUsize,
}

impl HeadBudget {
    /// No response is awaited.
    pub const fn new() -> Self {
        Self {
            left: AtomicUsize::new(MAX_HEAD_BYTES),
        }
    }

    /// A request is sent, whose response is awaited from now on.
    pub fn begin(&self) {
        self.left.store(MAX_HEAD_BYTES, Ordering::Release);
    }

    /// The head of the response has arrived; its reader bounds the body. Returns how many bytes have arrived
    /// since the request was sent.
    pub fn end(&self) -> usize {
        let left = self.left.swap(usize::MAX, Ordering::AcqRel);
        MAX_HEAD_BYTES.saturating_sub(left)
    }

    fn take(&self, count: usize) {
        let left = self.left.load(Ordering::Acquire);
        if left != usize::MAX {
            // The head may have ended meanwhile, in which case the new value stays.
            let _ = self.left.compare_exchange(
                left,
                left.saturating_sub(count),
                Ordering::AcqRel,
                Ordering::Acquire,
            );
        }
    }
}

/// A connection to a server.
#[derive(Debug)]
pub struct BoundedStream {
    inner: TcpStream,
    /// Lets the pool look at the connection for as long as it is open.
    shared: Arc<TcpStream>,
    head: Arc<HeadBudget>,
    /// Bytes read since another task could last run.
    burst: usize,
    /// Whether it ends with a reset alone.
    resets: bool,
}

impl BoundedStream {
    /// Wraps a connection.
    pub fn new(inner: TcpStream, head: Arc<HeadBudget>) -> Self {
        Self {
            shared: Arc::new(inner.clone()),
            inner,
            head,
            burst: 0,
            resets: false,
        }
    }

    /// Resets the connection at its end.
    pub fn with_reset(mut self) -> Self {
        linger::reset(&self.inner);
        self.resets = true;
        self
    }

    /// The connection, until this stream is dropped.
    pub fn downgrade(&self) -> Weak<TcpStream> {
        Arc::downgrade(&self.shared)
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        if self.head.left.load(Ordering::Acquire) == 0 {
            let error = Error::new(
                ErrorKind::InvalidData,
                "the head of the response is too long",
            );
            return Poll::Ready(Err(error));
        }
        if self.burst >= MAX_BURST_BYTES {
            self.burst = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(count)) => {
                self.burst += count;
                self.head.take(*count);
            }
            Poll::Ready(Err(_)) | Poll::Pending => self.burst = 0,
        }
        read
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.resets {
            // After an orderly end what has not arrived yet would not be lost with the reset.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
