//! What stays the same of a request when it is sent again.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint: too many for two requests to share one by chance or by design.
const LENGTH: usize = 16;

/// A digest of what stays the same of a request when it is sent again under another id.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// Digests the parts of a request. Each counts with its length, so that no two lists of parts
    /// run into the same bytes.
    #[must_use]
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&hasher.finalize()[..LENGTH]);
        Self(bytes)
    }

    /// Its first half, for tables in which a collision does little harm.
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
