//! Digests that identify a request independently of its request id.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint: long enough that no two requests collide, neither by chance nor by
/// design.
const FINGERPRINT_BYTES: usize = 16;

/// A digest of the parts of a request that stay the same when it is retried under another id.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Digests the parts of a request. The length of each part is hashed before the part, so that
    /// two different lists of parts never hash the same bytes.
    #[must_use]
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// The first eight bytes as a big-endian number, for tables in which a collision does little
    /// harm.
    #[must_use]
    pub fn short(self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
