//! Reading server-sent events.

/// One event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Its id.
    pub id: Option<String>,
    /// Its kind, empty if it has none.
    pub kind: String,
    /// Its data.
    pub data: String,
}

/// Cuts bytes as they arrive into events.
#[derive(Debug, Default)]
pub struct Events {
    buf: Vec<u8>,
    next: Event,
}

impl Events {
    /// Takes bytes and gives the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buf.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(len) = self.buf[start..].iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&self.buf[start..start + len]).into_owned();
            start += len + 1;
            events.extend(self.line(line.trim_end_matches('\r')));
        }
        self.buf.drain(..start);
        events
    }

    fn line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.next);
            return (event != Event::default()).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.next.id = Some(value.to_owned()),
            "event" => self.next.kind = value.to_owned(),
            "data" => self.next.data += value,
            _ => {}
        }
        None
    }
}
