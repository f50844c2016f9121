//! Reading of request bodies.

use std::time::Duration;

use hyper::body::Incoming;
use net::{BodyError, read_limited};
use serde::de::DeserializeOwned;

use crate::problem::Problem;

/// Maximum size of a body, in bytes: enough for a document of about ten thousand nodes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum gap between two parts of a body.
const BODY_GAP_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a JSON body.
///
/// # Errors
/// 400 if the body is malformed, 408 if it arrives too slowly, 413 if it is too large.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Problem> {
    let buf = read_limited(body, MAX_BODY_BYTES, BODY_GAP_TIMEOUT)
        .await
        .map_err(unreadable)?;
    // `serde` also decodes a struct from a list of its fields' values. An empty list would be
    // accepted as a node that sets nothing.
    if buf.trim_ascii_start().first() != Some(&b'{') {
        return Err(malformed("an object is expected, in braces"));
    }
    serde_json::from_slice(&buf).map_err(|e| malformed(&e.to_string()))
}

fn malformed(detail: &str) -> Problem {
    let title = "The body is not what is expected here";
    Problem::new(400, "malformed", title, detail)
}

fn unreadable(error: BodyError) -> Problem {
    let status = match error {
        BodyError::TooLarge => 413,
        BodyError::TooSlow => 408,
        BodyError::Broken => 400,
    };
    Problem::new(status, "body", "The body can't be read", error.to_string())
}
