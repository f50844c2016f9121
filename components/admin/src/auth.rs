//! Operators' bearer keys.

use std::{fmt::Write, sync::Arc};

use hyper::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

/// SHA-256 of a key, in lower-case hexadecimal.
#[must_use]
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Whether a request carries the key of an operator.
///
/// Only hashes are compared, all of them, each in full: neither the time taken nor a copy of the
/// settings tells anything about a key.
#[must_use]
pub fn allows(headers: &HeaderMap, key_hashes: &[Arc<str>]) -> bool {
    let Some(key) = bearer(headers) else {
        return false;
    };
    let hash = hash_key(key);
    let found = key_hashes.iter().fold(Choice::from(0), |found, known| {
        found | known.to_ascii_lowercase().as_bytes().ct_eq(hash.as_bytes())
    });
    found.into()
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
