//! Splits a stream of server-sent events by scanning its bytes.
//!
//! Each token is one event, so this runs for every token. It parses no JSON, and an event's data is
//! a slice of the received buffer where possible.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Largest event in bytes. Without a limit an engine that never ends an event would fill the
/// instance's memory.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One event with data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The `id` field; `None` if it is absent or not a number.
    pub id: Option<u64>,
    /// The `data` field. Several lines are joined with line feeds.
    pub data: Bytes,
}

/// Why a stream of events can't be read any further.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SseError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// Splits a stream that arrives in chunks of any size into events.
#[derive(Debug, Default)]
pub struct Splitter {
    /// The start of an event whose end has not arrived.
    incomplete: BytesMut,
}

impl Splitter {
    /// Creates a splitter for the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes the next chunk and appends the events that it completes to `out`.
    ///
    /// # Errors
    /// Fails if an event is too long. The stream can't be read any further then.
    pub fn push(&mut self, chunk: Bytes, out: &mut Vec<Event>) -> Result<(), SseError> {
        let buf = self.join(chunk);
        let used = split(&buf, out);
        if buf.len() - used > MAX_EVENT_BYTES {
            return Err(SseError::TooLong);
        }
        self.incomplete.extend_from_slice(&buf[used..]);
        Ok(())
    }

    /// Bytes that are buffered until the rest of their event arrives.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.incomplete.len()
    }

    /// Prepends the incomplete event to a chunk. Most chunks contain only complete events, and then
    /// nothing is copied.
    fn join(&mut self, chunk: Bytes) -> Bytes {
        if self.incomplete.is_empty() {
            return chunk;
        }
        self.incomplete.extend_from_slice(&chunk);
        self.incomplete.split().freeze()
    }
}

/// The fields of the event that is being parsed.
#[derive(Default)]
struct EventBuilder {
    id: Option<u64>,
    data: Option<Bytes>,
}

impl EventBuilder {
    fn add_line(&mut self, line: Bytes) {
        if let Some(value) = field(&line, b"data") {
            self.add_data(value);
        } else if let Some(value) = field(&line, b"id") {
            self.id = parse_number(&value);
        }
        // Comments, which engines send to keep the connection alive, and other fields are ignored.
    }

    fn add_data(&mut self, value: Bytes) {
        self.data = Some(match self.data.take() {
            None => value,
            Some(before) => [before, value].join(&b'\n').into(),
        });
    }

    /// Returns the event and starts the next one; `None` if it has no data.
    fn build(&mut self) -> Option<Event> {
        let id = self.id.take();
        let data = self.data.take()?;
        Some(Event { id, data })
    }
}

/// Appends the complete events in `buf` to `out`. Returns the number of their bytes.
fn split(buf: &Bytes, out: &mut Vec<Event>) -> usize {
    let mut used = 0;
    let mut at = 0;
    let mut event = EventBuilder::default();
    while let Some(len) = buf[at..].iter().position(|&b| b == b'\n') {
        let line = without_carriage_return(buf, at, at + len);
        at += len + 1;
        if !line.is_empty() {
            event.add_line(line);
            continue;
        }
        out.extend(event.build());
        used = at;
    }
    used
}

/// Returns the line without a carriage return at its end.
fn without_carriage_return(buf: &Bytes, from: usize, to: usize) -> Bytes {
    let has_return = to > from && buf[to - 1] == b'\r';
    buf.slice(from..to - usize::from(has_return))
}

/// Returns the value of a line if it belongs to the field `name`, without one space after the
/// colon.
fn field(line: &Bytes, name: &[u8]) -> Option<Bytes> {
    let rest = line.strip_prefix(name)?.strip_prefix(b":")?;
    let space = usize::from(rest.first() == Some(&b' '));
    let mut value = line.clone();
    value.advance(name.len() + 1 + space);
    Some(value)
}

/// Parses a decimal number of at most 19 digits.
fn parse_number(text: &[u8]) -> Option<u64> {
    if text.is_empty() || text.len() > 19 {
        return None;
    }
    text.iter().try_fold(0_u64, |sum, digit| {
        digit
            .is_ascii_digit()
            .then(|| sum * 10 + u64::from(digit - b'0'))
    })
}
