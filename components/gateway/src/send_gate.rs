//! Whether anything of a request was sent to a target, and whether anything may still be.

use std::sync::{
    Arc,
    atomic::{AtomicU8, Ordering},
};

/// Nothing was sent, and something may be.
const OPEN: u8 = 0;
/// Something may have been sent.
const SENT: u8 = 1;
/// Nothing was sent, and nothing will be.
const CLOSED: u8 = 2;

/// The gate that a request passes before it is sent to a target. Clones refer to the same gate.
///
/// A caller that is told that its request has not run must be able to rely on it, also if the request is being
/// sent at that moment.
#[derive(Clone, Debug, Default)]
pub struct SendGate {
    state: Arc<AtomicU8>,
}

impl SendGate {
    /// Passes the gate. Returns `false` if it is closed.
    #[must_use]
    pub fn pass(&self) -> bool {
        self.change(SENT) != CLOSED
    }

    /// Closes the gate unless it was passed. Returns whether it was, so that the request may run.
    #[must_use]
    pub fn close(&self) -> bool {
        self.change(CLOSED) == SENT
    }

    /// Moves to a state from [`OPEN`]; returns the state before.
    fn change(&self, to: u8) -> u8 {
        let changed = self
            .state
            .compare_exchange(OPEN, to, Ordering::AcqRel, Ordering::Acquire);
        changed.unwrap_or_else(|state| state)
    }
}
