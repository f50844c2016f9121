//! Reading bodies within limits.

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

/// Why a body could not be read within what many bodies may hold together.
#[derive(Clone, Copy, Debug, Display, Eq, Error, From, PartialEq)]
pub enum SharedError {
    /// It is wrong in itself.
    Body(BodyError),
    /// All bodies together take as much memory as they may.
    #[display("too many bytes are held by other bodies")]
    #[from(ignore)]
    BudgetExhausted,
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
    let mut share = Budget::new(limit).share();
    let read = read_shared(body, limit, patience, &mut share).await;
    read.map_err(|e| match e {
        SharedError::Body(e) => e,
        // A budget of its own can't be used up by others.
        SharedError::BudgetExhausted => BodyError::TooLarge,
    })
}

/// The same, with the bytes taken from a share of what many bodies may hold together. The share
/// must live as long as the bytes.
///
/// # Errors
/// Tells what was wrong with the body.
pub async fn read_shared(
    body: Incoming,
    limit: usize,
    patience: Duration,
    share: &mut Share,
) -> Result<Bytes, SharedError> {
    // A body that says it is too long is not read at all.
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge.into());
    }
    let parts = read_parts(body, limit, patience, share);
    Timer::new()
        .within(patience.saturating_mul(PARTS_PATIENCE), parts)
        .await
        .unwrap_or(Err(BodyError::TooSlow.into()))
}

async fn read_parts(
    mut body: Incoming,
    limit: usize,
    patience: Duration,
    share: &mut Share,
) -> Result<Bytes, SharedError> {
    let mut alarm = ReusableTimeout::new();
    let mut buf = BytesMut::new();
    loop {
        let frame = alarm
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
            return Err(BodyError::TooLarge.into());
        }
        if !share.grow(data.len()) {
            return Err(SharedError::BudgetExhausted);
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
