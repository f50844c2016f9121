//! Splits a stream into whole events.
//!
//! A target may break off in the middle of an event. If its bytes were passed on as they come,
//! the caller would see a part of one event glued to the next run's. So only whole events pass.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most; longer ones are no stream that we know.
const EVENT_LIMIT: usize = 1_024 * 1_024;

/// A whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line at its end.
    pub bytes: Bytes,
}

/// The event that comes is longer than any that we know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that hold no end of an event.
    seen: usize,
}

impl EventSplitter {
    /// Starts empty.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes as they come.
    ///
    /// # Errors
    /// An event does not end.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        self.buf.extend_from_slice(bytes);
        if self.buf.len() > EVENT_LIMIT {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.seen = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(StreamEvent {
            id: id(&bytes),
            bytes,
        })
    }

    /// Whether a part of an event is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// What is left, which is no whole event.
    pub fn rest(&mut self) -> Bytes {
        self.seen = 0;
        self.buf.split().freeze()
    }

    /// The end of the first event: behind an empty line. Lines end with a line feed, perhaps
    /// after a carriage return.
    fn find_end(&mut self) -> Option<usize> {
        let mut line = self.seen;
        loop {
            let feed = self.buf[line..].iter().position(|b| *b == b'\n')?;
            let text = &self.buf[line..line + feed];
            let end = line + feed + 1;
            if text.is_empty() || text == b"\r" {
                return Some(end);
            }
            line = end;
            // Whole lines that end no event need not be looked at again.
            self.seen = end;
        }
    }
}

/// The id that an event declares.
fn id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
