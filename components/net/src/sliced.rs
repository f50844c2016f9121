//! Bodies of known content that are sent in slices.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// The largest slice in bytes. The HTTP library copies what it is about to write, whatever the size, so that a
/// body handed over as a whole would take its memory twice.
const MAX_SLICE_BYTES: usize = 16 * 1_024;

/// A body of known content, sent in slices.
#[derive(Clone, Debug, Default)]
pub struct Sliced {
    inner: Full<Bytes>,
    /// What has been taken out of `inner` and not been handed over yet.
    rest: Bytes,
}

impl Sliced {
    /// Wraps a body.
    pub fn new(inner: Full<Bytes>) -> Self {
        Self {
            inner,
            rest: Bytes::new(),
        }
    }
}

impl Body for Sliced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
            match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(data))) => self.rest = data,
                _ => return Poll::Ready(None),
            }
        }
        let length = self.rest.len().min(MAX_SLICE_BYTES);
        let slice = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let inner = self.inner.size_hint().exact().unwrap_or_default();
        let rest = u64::try_from(self.rest.len()).unwrap_or(u64::MAX);
        SizeHint::with_exact(inner.saturating_add(rest))
    }
}
