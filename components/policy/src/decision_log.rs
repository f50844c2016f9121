//! The last things that happened, numbered, for the message of a broken invariant.

use std::{collections::VecDeque, fmt::Write};

use types::Moment;

/// How many entries are kept.
const RETAINED_LINES: usize = 48;

/// A ring of the newest events and actions.
#[derive(Debug, Default)]
pub struct DecisionLog {
    next: u64,
    lines: VecDeque<(u64, Moment, String)>,
}

impl DecisionLog {
    /// Starts empty.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends one line and drops the oldest when the ring is full.
    pub fn record(&mut self, now: Moment, line: String) {
        if self.lines.len() == RETAINED_LINES {
            self.lines.pop_front();
        }
        self.lines.push_back((self.next, now, line));
        self.next += 1;
    }

    /// Writes the ring, oldest first.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (number, at, line) in &self.lines {
            let _ = writeln!(text, "#{number} {:.3}s {line}", at.as_secs_f64());
        }
        text
    }
}
