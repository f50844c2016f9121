//! Reading bodies within limits.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use timer::Timer;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// It is longer than allowed.
    #[display("the body is longer than allowed")]
    TooLarge,
    /// The sender took too long between two parts.
    #[display("the body did not arrive in time")]
    TooSlow,
    /// The connection broke before its end.
    #[display("the connection broke before the end of the body")]
    Broken,
}

/// A body may take this many times the patience for one part. Without it a sender of one byte
/// at a time, each just in time, would hold a connection and its buffers for days.
const PARTS_PATIENCE: u32 = 6;

/// Reads a whole body of at most `limit` bytes, waiting at most `patience` for each part and
/// a few times that for all of it.
///
/// # Errors
/// Tells what was wrong with the body.
pub async fn read_limited(
    body: Incoming,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, BodyError> {
    // A body that says it is too long is not read at all.
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    let timer = Timer::new();
    let parts = read_parts(body, limit, patience);
    timer
        .within(patience.saturating_mul(PARTS_PATIENCE), parts)
        .await
        .unwrap_or(Err(BodyError::TooSlow))
}

async fn read_parts(
    mut body: Incoming,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, BodyError> {
    let timer = Timer::new();
    let mut buf = BytesMut::new();
    loop {
        let frame = timer
            .within(patience, body.frame())
            .await
            .ok_or(BodyError::TooSlow)?;
        let Some(frame) = frame else {
            return Ok(buf.freeze());
        };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        buf.extend_from_slice(&data);
    }
}

/// Reads a whole body of a trusted peer's answer, of at most `limit` bytes in at most `patience`.
///
/// # Errors
/// Tells what was wrong with the body.
pub async fn read_all(
    body: Incoming,
    limit: usize,
    patience: Duration,
) -> Result<Bytes, BodyError> {
    let timer = Timer::new();
    let read = read_limited(body, limit, patience);
    timer
        .within(patience, read)
        .await
        .unwrap_or(Err(BodyError::TooSlow))
}
