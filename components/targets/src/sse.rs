//! Splitting a stream of server-sent events by scanning bytes.
//!
//! A token is one event, so this runs for every token: no JSON is parsed here, and an event's
//! data stays a slice of what the network gave.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Bytes of one event at most. An engine that never ends an event would otherwise fill the
/// instance's memory.
pub const EVENT_LIMIT: usize = 256 * 1024;

/// One event that carries data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The `id` field as a number; `None` if there is none or it is no number.
    pub id: Option<u64>,
    /// The `data` field; several lines are joined by line feeds.
    pub data: Bytes,
}

/// Why a stream of events can't be read on.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SseError {
    /// An event is longer than `EVENT_LIMIT`.
    #[display("an event is longer than {EVENT_LIMIT} bytes")]
    TooLong,
}

/// Splits chunks of a stream, cut anywhere, into events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// The beginning of an event whose end has not arrived.
    rest: BytesMut,
}

impl Splitter {
    /// Starts at the beginning of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next chunk and appends the events that it completes to `out`.
    ///
    /// # Errors
    /// Fails when an event gets too long; the stream is of no use any more.
    pub fn push(&mut self, chunk: Bytes, out: &mut Vec<Event>) -> Result<(), SseError> {
        let buf = self.join(chunk);
        let used = split(&buf, out);
        if buf.len() - used > EVENT_LIMIT {
            return Err(SseError::TooLong);
        }
        self.rest.extend_from_slice(&buf[used..]);
        Ok(())
    }

    /// Bytes kept until the rest of their event arrives.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.rest.len()
    }

    /// Most chunks hold whole events only, and then nothing is copied.
    fn join(&mut self, chunk: Bytes) -> Bytes {
        if self.rest.is_empty() {
            return chunk;
        }
        self.rest.extend_from_slice(&chunk);
        self.rest.split().freeze()
    }
}

/// An event under construction.
#[derive(Default)]
struct Draft {
    id: Option<u64>,
    data: Option<Bytes>,
}

impl Draft {
    fn take_line(&mut self, line: Bytes) {
        if let Some(value) = field(&line, b"data") {
            self.add_data(value);
        } else if let Some(value) = field(&line, b"id") {
            self.id = number(&value);
        }
        // Comments keep a connection busy; other fields mean nothing here.
    }

    fn add_data(&mut self, value: Bytes) {
        self.data = Some(match self.data.take() {
            None => value,
            Some(before) => [before, value].join(&b'\n').into(),
        });
    }

    fn done(&mut self) -> Option<Event> {
        let id = self.id.take();
        let data = self.data.take()?;
        Some(Event { id, data })
    }
}

/// Appends the whole events in `buf` to `out` and tells how many bytes they take.
fn split(buf: &Bytes, out: &mut Vec<Event>) -> usize {
    let mut used = 0;
    let mut at = 0;
    let mut draft = Draft::default();
    while let Some(len) = buf[at..].iter().position(|&b| b == b'\n') {
        let line = without_return(buf, at, at + len);
        at += len + 1;
        if !line.is_empty() {
            draft.take_line(line);
            continue;
        }
        out.extend(draft.done());
        used = at;
    }
    used
}

fn without_return(buf: &Bytes, from: usize, to: usize) -> Bytes {
    let has_return = to > from && buf[to - 1] == b'\r';
    buf.slice(from..to - usize::from(has_return))
}

/// The value of a line if it is of this field; one space after the colon does not count.
fn field(line: &Bytes, name: &[u8]) -> Option<Bytes> {
    let rest = line.strip_prefix(name)?.strip_prefix(b":")?;
    let space = usize::from(rest.first() == Some(&b' '));
    let mut value = line.clone();
    value.advance(name.len() + 1 + space);
    Some(value)
}

/// Reads a decimal number of at most 19 digits.
fn number(text: &[u8]) -> Option<u64> {
    if text.is_empty() || text.len() > 19 {
        return None;
    }
    text.iter().try_fold(0_u64, |sum, digit| {
        digit
            .is_ascii_digit()
            .then(|| sum * 10 + u64::from(digit - b'0'))
    })
}
