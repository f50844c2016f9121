//! What went wrong with a stream's links since its last token.

use std::time::Duration;

use crate::rhythm::GAP;

/// Refused connections in a row after which an engine counts as gone.
const REFUSED_LIMIT: u32 = 6;
/// Delay before the second try to resume; it doubles with each further one.
pub const BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between two tries.
const BACKOFF_LIMIT: Duration = Duration::from_secs(1);
/// A silence is allowed this many times twice as long.
const DOUBLINGS: u32 = 8;

/// Counts since the last token.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tries {
    /// Links that fell silent.
    silent: u32,
    /// Refused connections in a row.
    refused: u32,
    /// Tries to resume.
    made: u32,
}

impl Tries {
    /// Whether all is well.
    pub const fn is_none(&self) -> bool {
        self.made == 0
    }

    /// A link fell silent.
    pub const fn note_silence(&mut self) {
        self.silent += 1;
    }

    /// A try to resume begins.
    pub const fn note_try(&mut self) {
        self.made += 1;
    }

    /// A connection was made.
    pub const fn note_connection(&mut self) {
        self.refused = 0;
    }

    /// A connection was refused; tells whether that was once too often.
    pub const fn note_refusal(&mut self) -> bool {
        self.refused += 1;
        self.refused >= REFUSED_LIMIT
    }

    /// How long the next silence may last where `usual` is usual. A link that was just made and
    /// is silent all the same: the engine itself stands still, for instance by a preemption, and
    /// asking more often helps nobody.
    pub fn patience(&self, usual: Duration) -> Duration {
        let longer = usual.saturating_mul(1 << self.silent.min(DOUBLINGS));
        longer.min(GAP.ceiling.max(usual))
    }

    /// Time to wait before the next try. The first one comes at once; the spread keeps all
    /// streams of a broken link from coming back in the same instant.
    pub fn delay(&self) -> Duration {
        let Some(before) = self.made.checked_sub(1) else {
            return Duration::ZERO;
        };
        let full = BACKOFF.saturating_mul(1 << before.min(10));
        let spread = fastrand::f64().mul_add(0.5, 0.5);
        full.min(BACKOFF_LIMIT).mul_f64(spread)
    }
}
