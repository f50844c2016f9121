//! Authenticates callers.

use std::fmt::Write;

use hyper::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest, Sha256};
use tree::EffectiveConfig;
use types::{Refusal, WorkspaceId};

use crate::refusals;

/// Returns the workspace to which the caller's bearer key belongs.
pub fn workspace(
    headers: &HeaderMap,
    effective: &dyn EffectiveConfig,
) -> Result<WorkspaceId, Refusal> {
    let key = bearer(headers).ok_or_else(refusals::bad_key)?;
    effective
        .workspace(&hex(&Sha256::digest(key)))
        .ok_or_else(refusals::bad_key)
}

fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(7)?;
    let key = key.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"bearer ") && !key.is_empty()).then_some(key)
}

/// Encodes bytes in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
