//! Ring buffer of the latest decisions, shown when an invariant is violated and in dumps.

use std::{collections::VecDeque, fmt::Write};

use types::Moment;

/// Maximum number of lines kept.
const RETAINED_LINES: usize = 48;

/// The latest events and decisions, numbered.
#[derive(Debug, Default)]
pub struct DecisionLog {
    next: u64,
    lines: VecDeque<(u64, Moment, String)>,
}

impl DecisionLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends one line, and drops the oldest if the buffer is full.
    pub fn record(&mut self, now: Moment, line: String) {
        if self.lines.len() == RETAINED_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back((self.next, now, line));
        self.next += 1;
    }

    /// Returns the lines as text, oldest first.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (number, at, line) in &self.lines {
            let _ = writeln!(text, "#{number} {:.3}s {line}", at.as_secs_f64());
        }
        text
    }
}
