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

/// The most bytes that are allocated before any of a body has arrived.
const MAX_INITIAL_BYTES: usize = 64 * 1_024;
/// Time between two looks at whether a budget has room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);

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
    let mut share = Budget::unlimited().share();
    let read = read_shared(body, limit, frame_timeout, &mut share).await;
    read.map_err(|e| match e {
        SharedError::Body(e) => e,
        // The budget is never used up.
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
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(limit);
    let mut buf = BytesMut::with_capacity(expected.min(MAX_INITIAL_BYTES));
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

/// Reads a body as [`read_shared`] does, at most for `timeout`. Its bytes count against `budget` until their last
/// clone is dropped.
///
/// A body of known length waits until the budget has room for all of it: one that has room for a part only
/// would hold that part in vain.
///
/// # Errors
/// Fails if the body can't be read in time, or if the budget has no room for it.
pub async fn read_held(
    body: Incoming,
    limit: usize,
    timeout: Duration,
    budget: &Budget,
) -> Result<Bytes, SharedError> {
    let read = async {
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyError::TooLarge.into());
        }
        let mut share = budget.share();
        let length = body.size_hint().exact();
        let length = length.and_then(|length| usize::try_from(length).ok());
        if let Some(length) = length {
            wait_for_room(&mut share, length).await;
            let read = read_frames(body, limit, timeout, &mut Budget::unlimited().share()).await?;
            return Ok(share.hold(read));
        }
        let read = read_frames(body, limit, timeout, &mut share).await?;
        Ok(share.hold(read))
    };
    let read = Timer::new().within(timeout, read).await;
    read.unwrap_or(Err(BodyError::TooSlow.into()))
}

/// Waits until the share has grown by this many bytes.
async fn wait_for_room(share: &mut Share, bytes: usize) {
    let mut ticks = Timer::new().every(ROOM_POLL_INTERVAL);
    while !share.grow(bytes) {
        ticks.next().await;
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
