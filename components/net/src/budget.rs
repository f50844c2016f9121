//! A limit on the memory that many bodies hold together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A number of bytes that many holders share. All clones refer to the same budget.
///
/// The limit on each body does not bound their sum: many connections, each with a body just below
/// the limit, would take more memory than the machine has.
#[derive(Clone, Debug)]
pub struct Budget {
    available: Arc<AtomicUsize>,
}

impl Budget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            available: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Bytes that no share holds.
    #[must_use]
    pub fn available(&self) -> usize {
        self.available.load(Ordering::Acquire)
    }

    /// Returns a share that holds no bytes yet.
    #[must_use]
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            held: 0,
        }
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        self.available
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |available| {
                available.checked_sub(bytes)
            })
            .is_ok()
    }
}

/// The bytes that one holder has reserved from a budget. They are released when it is dropped.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    held: usize,
}

impl Share {
    /// Reserves more bytes. Returns `false`, and reserves nothing, if the budget is used up.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.budget.try_reserve(bytes);
        if reserved {
            self.held += bytes;
        }
        reserved
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.available.fetch_add(self.held, Ordering::AcqRel);
    }
}
