//! What has been read from a connection, and the memory that the head of a request takes while it arrives.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use parking_lot::Mutex;

use crate::budget::Share;

/// Bytes of a head that fit into the buffer which each connection has.
const BUFFER_BYTES: usize = 8 * 1_024;

/// Counts the bytes that are read from a connection.
#[derive(Debug)]
pub struct ReadMeter {
    /// Bytes have arrived since the last request was answered.
    has_new_bytes: AtomicBool,
    /// No request is being served: what arrives belongs to a head. The reader of a body counts the body.
    is_head: AtomicBool,
    /// Bytes of the head so far.
    head_bytes: AtomicUsize,
    /// The memory of a head beyond [`BUFFER_BYTES`].
    head: Mutex<Share>,
}

impl ReadMeter {
    /// Counts against the budget of `share`, which holds nothing yet.
    pub fn new(share: Share) -> Self {
        Self {
            has_new_bytes: AtomicBool::new(false),
            is_head: AtomicBool::new(true),
            head_bytes: AtomicUsize::new(0),
            head: Mutex::new(share),
        }
    }

    /// Whether bytes have arrived since the last request was answered.
    pub fn has_new_bytes(&self) -> bool {
        self.has_new_bytes.load(Ordering::Acquire)
    }

    /// Records bytes that were read. Returns `false` if there is no memory for them.
    #[must_use]
    pub fn record(&self, count: usize) -> bool {
        if count == 0 {
            return true;
        }
        self.has_new_bytes.store(true, Ordering::Release);
        if !self.is_head.load(Ordering::Acquire) {
            return true;
        }
        let bytes = self.head_bytes.fetch_add(count, Ordering::AcqRel) + count;
        bytes <= BUFFER_BYTES || self.head.lock().resize(bytes - BUFFER_BYTES)
    }

    /// The head of a request is complete; whoever serves the request holds it.
    pub fn end_head(&self) {
        self.is_head.store(false, Ordering::Release);
        if self.head_bytes.swap(0, Ordering::AcqRel) > BUFFER_BYTES {
            // Releasing always succeeds.
            let _ = self.head.lock().resize(0);
        }
    }

    /// The request has been answered; another head may arrive.
    pub fn begin_head(&self) {
        self.has_new_bytes.store(false, Ordering::Release);
        self.is_head.store(true, Ordering::Release);
    }
}
