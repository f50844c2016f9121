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
    let frames = read_frames(body, limit, frame_timeout, CountedBuffer::new(share));
    Timer::new()
        .within(frame_timeout.saturating_mul(BODY_TIMEOUT_FACTOR), frames)
        .await
        .unwrap_or(Err(BodyError::TooSlow.into()))
}

async fn read_frames(
    mut body: Incoming,
    limit: usize,
    frame_timeout: Duration,
    mut buf: CountedBuffer<'_>,
) -> Result<Bytes, SharedError> {
    let mut timer = ReusableTimeout::new();
    loop {
        let frame = timer
            .within(frame_timeout, body.frame())
            .await
            .ok_or(BodyError::TooSlow)?;
        let Some(frame) = frame else {
            return Ok(buf.bytes.freeze());
        };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.bytes.len() + data.len() > limit {
            return Err(BodyError::TooLarge.into());
        }
        if !buf.make_room(data.len(), limit) {
            return Err(SharedError::BudgetExhausted);
        }
        buf.bytes.extend_from_slice(&data);
    }
}

/// The part of a body that has arrived, and the memory that its allocation takes.
struct CountedBuffer<'a> {
    bytes: BytesMut,
    share: &'a mut Share,
    /// Bytes of the allocation that the share holds.
    counted: usize,
}

impl<'a> CountedBuffer<'a> {
    /// Nothing is allocated.
    fn new(share: &'a mut Share) -> Self {
        Self {
            bytes: BytesMut::new(),
            share,
            counted: 0,
        }
    }

    /// Allocates all of a body of known length, for which the share holds the memory already.
    fn allocated(share: &'a mut Share, length: usize) -> Self {
        Self {
            bytes: BytesMut::with_capacity(length),
            share,
            counted: length,
        }
    }

    /// Makes room for more bytes, of at most `limit` in all. Returns `false` if there is no memory for them.
    fn make_room(&mut self, more: usize, limit: usize) -> bool {
        let needed = self.bytes.len() + more;
        if needed <= self.counted {
            return true;
        }
        // Doubling keeps the number of copies small.
        let doubled = needed.max(self.counted.saturating_mul(2)).min(limit);
        let grown = [doubled, needed]
            .into_iter()
            .find(|size| self.share.grow(size - self.counted));
        let Some(size) = grown else {
            return false;
        };
        self.counted = size;
        self.bytes.reserve(size - self.bytes.len());
        true
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
        let buf = match length {
            Some(length) if !budget.could_hold(length) => return Err(SharedError::BudgetExhausted),
            Some(length) => {
                wait_for_room(&mut share, length).await;
                CountedBuffer::allocated(&mut share, length)
            }
            None => CountedBuffer::new(&mut share),
        };
        let read = read_frames(body, limit, timeout, buf).await?;
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
