//! A bound on the memory that many bodies may hold together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that many holders share. Clones share them too.
///
/// Each body has its own limit, but a crowd of connections, each with a body just below it,
/// would still take more memory than the machine has.
#[derive(Clone, Debug)]
pub struct Budget {
    left: Arc<AtomicUsize>,
}

impl Budget {
    /// Makes a budget of so many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Bytes that nobody holds.
    #[must_use]
    pub fn left(&self) -> usize {
        self.left.load(Ordering::Acquire)
    }

    /// An empty share.
    #[must_use]
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            held: 0,
        }
    }

    fn take(&self, bytes: usize) -> bool {
        self.left
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
                left.checked_sub(bytes)
            })
            .is_ok()
    }
}

/// What one holder has of a budget; given back when dropped.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    held: usize,
}

impl Share {
    /// Takes more. On `false` the budget is used up and nothing was taken.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.budget.take(bytes);
        if taken {
            self.held += bytes;
        }
        taken
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.left.fetch_add(self.held, Ordering::AcqRel);
    }
}
