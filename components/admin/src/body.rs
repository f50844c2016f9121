//! Reading the bodies that operators send.

use std::time::Duration;

use hyper::body::Incoming;
use net::{BodyError, read_limited};
use serde::de::DeserializeOwned;

use crate::problem::Problem;

/// Bytes of a body: a document of some ten thousand nodes.
const BODY_LIMIT: usize = 8 * 1024 * 1024;
/// Time between two parts of a body.
const BODY_PATIENCE: Duration = Duration::from_secs(10);

/// Reads a JSON body.
///
/// # Errors
/// 400, 408 or 413 with what is wrong with it.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Problem> {
    let buf = read_limited(body, BODY_LIMIT, BODY_PATIENCE)
        .await
        .map_err(unreadable)?;
    // The decoder takes a list for a message too: its items for the fields in their order. An
    // empty list would then pass for a node that writes nothing.
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
