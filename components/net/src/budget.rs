//! A limit on the memory that all holders of one process take together.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;

/// Bytes that one holder may reserve from the whole budget; beyond them it leaves a part to others.
const SMALL_BYTES: usize = 64 * 1_024;
/// Part of a budget that connections and large holders leave to requests and small holders.
const LARGE_RESERVE_DIVISOR: usize = 4;
/// Part of a budget that new requests leave to those that were admitted.
const REQUEST_RESERVE_DIVISOR: usize = 8;
/// Reserved for a request until its answer has been written: its head, the buffers of the connection to its
/// target, and its state.
const REQUEST_BYTES: usize = 32 * 1_024;
/// Reserved for a connection of a caller: its buffers and state.
const CONNECTION_BYTES: usize = 16 * 1_024;

/// A number of bytes that many holders share. All clones refer to the same budget.
///
/// The limit on each body does not bound their sum: many connections, each with a body just below
/// the limit, would take more memory than the machine has.
///
/// Connections and large holders can't use it up: a part is left for requests and for small bodies and
/// answers, so that other requests are served while some need much.
#[derive(Clone, Debug)]
pub struct Budget {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    available: AtomicUsize,
    total: usize,
    /// Left by large holders.
    large_reserve: usize,
    /// Left by new requests.
    request_reserve: usize,
}

impl Budget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            state: Arc::new(State {
                available: AtomicUsize::new(bytes),
                total: bytes,
                large_reserve: bytes / LARGE_RESERVE_DIVISOR,
                request_reserve: bytes / REQUEST_RESERVE_DIVISOR,
            }),
        }
    }

    /// Creates a budget that is never used up.
    #[must_use]
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Bytes that no share holds.
    #[must_use]
    pub fn available(&self) -> usize {
        self.state.available.load(Ordering::Acquire)
    }

    /// Whether a holder could have this many bytes if there were no others.
    #[must_use]
    pub fn could_hold(&self, bytes: usize) -> bool {
        bytes <= self.state.total - self.state.large_reserve
    }

    /// Returns a share that holds no bytes yet.
    #[must_use]
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            held: 0,
        }
    }

    /// Reserves what a new request takes. Returns `None` if there is no room for another one.
    #[must_use]
    pub fn reserve_request(&self) -> Option<Share> {
        self.reserve(REQUEST_BYTES, self.state.request_reserve)
    }

    /// Reserves what a new connection takes. Returns `None` if there is no room for another one.
    #[must_use]
    pub fn reserve_connection(&self) -> Option<Share> {
        self.reserve(CONNECTION_BYTES, self.state.large_reserve)
    }

    /// Returns `bytes` so that they count against the budget until their last clone and slice are dropped, or
    /// `None` if there is no room for them.
    #[must_use]
    pub fn hold(&self, bytes: Bytes) -> Option<Bytes> {
        let mut share = self.share();
        share.grow(bytes.len()).then(|| share.hold(bytes))
    }

    fn reserve(&self, bytes: usize, left: usize) -> Option<Share> {
        self.try_reserve(bytes, left).then(|| Share {
            budget: self.clone(),
            held: bytes,
        })
    }

    /// Reserves bytes if at least `left` remain.
    fn try_reserve(&self, bytes: usize, left: usize) -> bool {
        self.state
            .available
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |available| {
                let remaining = available.checked_sub(bytes)?;
                (remaining >= left).then_some(remaining)
            })
            .is_ok()
    }

    fn release(&self, bytes: usize) {
        self.state.available.fetch_add(bytes, Ordering::AcqRel);
    }
}

/// The bytes that one holder has reserved from a budget. They are released when it is dropped.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    held: usize,
}

impl Share {
    /// Reserves more bytes. Returns `false`, and reserves nothing, if the budget has no room for them.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let is_small = self.held.saturating_add(bytes) <= SMALL_BYTES;
        let left = if is_small {
            0
        } else {
            self.budget.state.large_reserve
        };
        let reserved = self.budget.try_reserve(bytes, left);
        if reserved {
            self.held += bytes;
        }
        reserved
    }

    /// Reserves or releases bytes so that it holds this many. Returns `false`, and changes nothing, if the
    /// budget has no room for them.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        if let Some(more) = bytes.checked_sub(self.held) {
            return self.grow(more);
        }
        self.budget.release(self.held - bytes);
        self.held = bytes;
        true
    }

    /// Returns `bytes`, for which this share holds the memory, so that they count until their last clone and
    /// slice are dropped.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _share: self,
        })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.release(self.held);
    }
}

/// Bytes and the share that holds their memory.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl fmt::Debug for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Held")
            .field("len", &self.bytes.len())
            .finish()
    }
}
