//! Reads request and response bodies within limits of size, time and shared memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use timer::{ReusableTimeout, Timer};

use crate::budget::{Budget, Share};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[display("the body is longer than allowed")]
    TooLarge,
    /// The sender took too long for one frame or for the whole body.
    #[display("the body did not arrive in time")]
    TooSlow,
    /// The connection broke before the end of the body.
    #[display("the connection broke before the end of the body")]
    Broken,
}

/// Why a body could not be read within a memory budget that many bodies share.
#[derive(Clone, Copy, Debug, Display, Eq, Error, From, PartialEq)]
pub enum SharedError {
    /// The body itself could not be read.
    Body(BodyError),
    /// The bodies held at present use up the budget.
    #[display("too many bytes are held by other bodies")]
    #[from(ignore)]
    BudgetExhausted,
}

/// Time limit for a whole body, as a multiple of the time limit for one frame. Without it a sender
/// of one byte at a time, each just in time, would hold a connection and its buffers for days.
const BODY_TIMEOUT_FACTOR: u32 = 6;

/// Reads a whole body of at most `limit` bytes, waiting at most `frame_timeout` for each frame and
/// `BODY_TIMEOUT_FACTOR` times that for the whole body.
///
/// # Errors
/// Fails if the body is too long, too slow or incomplete.
pub async fn read_limited(
    body: Incoming,
    limit: usize,
    frame_timeout: Duration,
) -> Result<Bytes, BodyError> {
    let mut share = Budget::new(limit).share();
    let read = read_shared(body, limit, frame_timeout, &mut share).await;
    read.map_err(|e| match e {
        SharedError::Body(e) => e,
        // No other body uses this budget.
        SharedError::BudgetExhausted => BodyError::TooLarge,
    })
}

/// Reads a body as [`read_limited`] does, and reserves its bytes in `share`. The caller keeps the
/// share for as long as it keeps the bytes.
///
/// # Errors
/// Fails if the body can't be read, or if the budget of the share is used up.
pub async fn read_shared(
    body: Incoming,
    limit: usize,
    frame_timeout: Duration,
    share: &mut Share,
) -> Result<Bytes, SharedError> {
    // A declared length over the limit is rejected before any byte is read.
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge.into());
    }
    let frames = read_frames(body, limit, frame_timeout, share);
    Timer::new()
        .within(frame_timeout.saturating_mul(BODY_TIMEOUT_FACTOR), frames)
        .await
        .unwrap_or(Err(BodyError::TooSlow.into()))
}

async fn read_frames(
    mut body: Incoming,
    limit: usize,
    frame_timeout: Duration,
    share: &mut Share,
) -> Result<Bytes, SharedError> {
    let mut timer = ReusableTimeout::new();
    let mut buf = BytesMut::new();
    loop {
        let frame = timer
            .within(frame_timeout, body.frame())
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
            return Err(BodyError::TooLarge.into());
        }
        if !share.grow(data.len()) {
            return Err(SharedError::BudgetExhausted);
        }
        buf.extend_from_slice(&data);
    }
}

/// Reads the whole body of a trusted peer's response, of at most `limit` bytes within `timeout`.
///
/// # Errors
/// Fails if the body is too long, too slow or incomplete.
pub async fn read_all(body: Incoming, limit: usize, timeout: Duration) -> Result<Bytes, BodyError> {
    let timer = Timer::new();
    let read = read_limited(body, limit, timeout);
    timer
        .within(timeout, read)
        .await
        .unwrap_or(Err(BodyError::TooSlow))
}
