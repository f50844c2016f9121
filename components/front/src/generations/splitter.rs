//! Splits a byte stream into complete server-sent events.
//!
//! A target may stop in the middle of an event, and the generation may then be resumed elsewhere.
//! If bytes were forwarded as they arrive, the caller would get part of an event followed by the
//! first event of the next engine. Only complete events are therefore forwarded.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The event id, if it is numeric.
    pub id: Option<u64>,
    /// The bytes of the event, with the blank line at its end.
    pub bytes: Bytes,
}

/// Error: an event exceeds the maximum size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Buffers bytes and yields complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the prefix of `buf` that is known to contain no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Creates an empty splitter.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes of the stream.
    ///
    /// # Errors
    /// The buffered event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(StreamEvent {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Bytes of an incomplete event that are buffered.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Whether no incomplete event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Removes and returns the buffered bytes of an incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// The end of the first event, which is after the first blank line. Lines end with a line feed,
    /// optionally after a carriage return.
    fn find_end(&mut self) -> Option<usize> {
        let mut line_start = self.scanned;
        loop {
            let line_feed = self.buf[line_start..].iter().position(|b| *b == b'\n')?;
            let text = &self.buf[line_start..line_start + line_feed];
            let end = line_start + line_feed + 1;
            if text.is_empty() || text == b"\r" {
                return Some(end);
            }
            line_start = end;
            // Complete lines that do not end an event are not scanned again.
            self.scanned = end;
        }
    }
}

/// The numeric id in the `id` field of an event.
fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
