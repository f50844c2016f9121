//! Authentication of operators by bearer keys.

use std::{fmt::Write, sync::Arc};

use hyper::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

/// Returns the SHA-256 hash of a key in lower-case hexadecimal.
#[must_use]
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Whether a request carries a valid operator key.
///
/// Settings hold only hashes of keys, and every hash is compared in constant time: neither a copy
/// of the settings nor the response time reveals anything about a key.
#[must_use]
pub fn allows(headers: &HeaderMap, key_hashes: &[Arc<str>]) -> bool {
    let Some(key) = bearer_key(headers) else {
        return false;
    };
    let hash = hash_key(key);
    let is_known = key_hashes.iter().fold(Choice::from(0), |found, known| {
        found | known.to_ascii_lowercase().as_bytes().ct_eq(hash.as_bytes())
    });
    is_known.into()
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
