//! One running generation, with reconnection to its engine.

use std::time::Duration;

use bytes::Bytes;
use targets::{Stream, StreamId, StreamItem, TargetError};
use timer::ReusableTimeout;
use types::{Moment, Target, Tokens};

use crate::{
    gap_estimator::{GapEstimator, TOKEN_GAP_BOUNDS},
    relay::Relay,
    retry::{INITIAL_BACKOFF, RetryState},
    sink::{StreamEnd, StreamError, TokenSink},
};

/// Time for the response head of a resumed stream to arrive.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts to cancel a generation.
const CANCEL_ATTEMPTS: u32 = 3;

/// A running generation. Dropping it before its end cancels it at the engine.
pub struct ActiveStream {
    relay: Relay,
    target: Target,
    id: StreamId,
    connection: Option<Box<dyn Stream>>,
    /// Offset of the next token to hand out. The only record of what the caller has.
    next_offset: Tokens,
    /// Offset at which this process took over the generation; 0 if it started it.
    start_offset: Tokens,
    started_at: Moment,
    first_token_at: Option<Moment>,
    last_token_at: Moment,
    token_gaps: GapEstimator,
    idle_timer: ReusableTimeout,
    retry: RetryState,
    resume_count: u32,
    /// Whether a lost connection ends the stream instead of being replaced.
    resume_disabled: bool,
    /// Whether the engine may still run the generation on behalf of this process.
    cancel_on_drop: bool,
}

impl ActiveStream {
    pub(crate) fn new(
        relay: &Relay,
        target: &Target,
        connection: Box<dyn Stream>,
        at: Tokens,
        started_at: Moment,
    ) -> Self {
        let mut stream = Self::detached(relay, target, &connection.id(), at, started_at);
        stream.connection = Some(connection);
        stream.cancel_on_drop = true;
        stream
    }

    /// Creates a stream without a connection; reading from it connects.
    pub(crate) fn detached(
        relay: &Relay,
        target: &Target,
        id: &StreamId,
        at: Tokens,
        started_at: Moment,
    ) -> Self {
        Self {
            relay: relay.clone(),
            target: target.clone(),
            id: StreamId::clone(id),
            connection: None,
            next_offset: at,
            start_offset: at,
            started_at,
            first_token_at: None,
            last_token_at: started_at,
            token_gaps: GapEstimator::new(TOKEN_GAP_BOUNDS),
            idle_timer: ReusableTimeout::new(),
            retry: RetryState::default(),
            resume_count: 0,
            resume_disabled: false,
            cancel_on_drop: false,
        }
    }

    /// Returns the engine's id of the stream.
    #[must_use]
    pub const fn id(&self) -> &StreamId {
        &self.id
    }

    /// Returns the target that runs the generation.
    #[must_use]
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the number of tokens handed out, including those before this process took over.
    #[must_use]
    pub const fn produced(&self) -> Tokens {
        self.next_offset
    }

    /// Returns the time from the start, or from the takeover, to the first token read here.
    #[must_use]
    pub fn time_to_first_token(&self) -> Option<Duration> {
        self.first_token_at
            .map(|at| at.saturating_sub(self.started_at))
    }

    /// Returns the time since the start or the takeover.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.relay.timer.now().saturating_sub(self.started_at)
    }

    /// Returns how often the stream was resumed over a new connection.
    #[must_use]
    pub const fn resume_count(&self) -> u32 {
        self.resume_count
    }

    /// Waits for the next item and resumes the stream as often as needed. Cancel-safe: dropping
    /// the future loses no token.
    ///
    /// # Errors
    /// Fails when the generation can't be continued.
    pub async fn next(&mut self) -> Result<StreamItem, StreamError> {
        loop {
            let timeout = self.idle_timeout();
            let Some(connection) = &mut self.connection else {
                self.resume().await?;
                continue;
            };
            match self.idle_timer.within(timeout, connection.next()).await {
                Some(Ok(StreamItem::Tokens { first, data, .. })) => {
                    if let Some(item) = self.accept_tokens(first, data) {
                        return Ok(item);
                    }
                }
                Some(Ok(StreamItem::End)) => {
                    self.cancel_on_drop = false;
                    return Ok(StreamItem::End);
                }
                Some(Err(TargetError::Gone)) => return Err(self.fail(StreamError::Gone)),
                Some(Err(_)) => self.connection = None,
                None => {
                    // A middlebox may have dropped its state of the connection: then nothing
                    // arrives over it any more, while a new connection works.
                    self.connection = None;
                    self.retry.record_silence();
                }
            }
        }
    }

    /// Connects an adopted generation, retrying as often as needed.
    ///
    /// # Errors
    /// Fails when the generation can't be continued.
    pub async fn connect(&mut self) -> Result<(), StreamError> {
        while self.connection.is_none() {
            self.resume().await?;
        }
        // The first connection of an adopted stream does not count as a resumption.
        self.resume_count = 0;
        Ok(())
    }

    /// Stops replacing lost connections: from now on `next` fails instead.
    pub const fn disable_resume(&mut self) {
        self.resume_disabled = true;
    }

    /// Writes all items to a sink until the generation ends, fails or the sink is closed.
    pub async fn forward_to(&mut self, sink: &mut dyn TokenSink) -> StreamEnd {
        loop {
            match self.next().await {
                Ok(StreamItem::Tokens { first, data, .. }) => {
                    if sink.write_tokens(first, data).await.is_err() {
                        return StreamEnd::Closed;
                    }
                }
                Ok(StreamItem::End) => return StreamEnd::Finished,
                Err(error) => return StreamEnd::Failed(error),
            }
        }
    }

    /// Gives up the stream without cancelling the generation, which another reader has taken
    /// over.
    pub fn detach(mut self) {
        self.cancel_on_drop = false;
    }

    /// Cancels the generation at the engine. Returns false if the engine did not confirm, so
    /// that the generation may still run.
    pub async fn cancel(mut self) -> bool {
        if !self.cancel_on_drop {
            return true;
        }
        self.cancel_on_drop = false;
        self.connection = None;
        cancel(&self.relay, &self.target, &self.id).await
    }

    /// Returns how long to wait for the next item before the connection is replaced.
    fn idle_timeout(&self) -> Duration {
        let timeout = if self.next_offset == 0 {
            self.relay.first_token.timeout(&self.target.service)
        } else {
            self.token_gaps.timeout()
        };
        self.retry.idle_timeout(timeout)
    }

    /// Accepts tokens from the connection. Repeated tokens are dropped; a skipped token makes the
    /// connection unusable.
    fn accept_tokens(&mut self, first: Tokens, mut data: Vec<Bytes>) -> Option<StreamItem> {
        if first > self.next_offset {
            // Passing these on would lose tokens in between, which the engine still has.
            self.connection = None;
            return None;
        }
        let repeated = usize::try_from(self.next_offset - first).unwrap_or(usize::MAX);
        if repeated >= data.len() {
            return None;
        }
        data.drain(..repeated);
        let first = first + repeated as Tokens;
        let count = data.len() as Tokens;
        assert!(
            first == self.next_offset,
            "stream {}: token {first} would follow token {}",
            self.id,
            self.next_offset,
        );
        self.next_offset += count;
        self.record_tokens();
        Some(StreamItem::Tokens { first, count, data })
    }

    fn record_tokens(&mut self) {
        let now = self.relay.timer.now();
        let gap = now.saturating_sub(self.last_token_at);
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            if self.start_offset == 0 {
                self.relay.first_token.observe(&self.target.service, gap);
            }
        } else if self.retry.is_initial() {
            // A gap with a resumption in it measures the connection, not the engine.
            self.token_gaps.observe(gap);
        }
        self.last_token_at = now;
        self.retry = RetryState::default();
    }

    /// Makes one attempt to resume over a new connection, after a delay that grows with the
    /// attempts. A failed attempt that may be repeated is not an error.
    async fn resume(&mut self) -> Result<(), StreamError> {
        if self.resume_disabled {
            return Err(StreamError::ConnectionLost);
        }
        if self.relay.timer.now().saturating_sub(self.last_token_at) > self.relay.stall_timeout {
            return Err(self.fail(StreamError::Stalled));
        }
        let now = self.relay.timer.now();
        self.relay.timer.sleep(self.retry.next_delay(now)).await;
        self.retry.record_attempt();
        match self.reconnect().await {
            Ok(()) => self.retry.record_connection(),
            Err(TargetError::Gone) => return Err(self.fail(StreamError::Gone)),
            Err(TargetError::Unsent { reason }) => {
                if self.retry.record_refusal(self.relay.timer.now()) {
                    return Err(self.fail(StreamError::Unreachable { reason }));
                }
            }
            Err(TargetError::Closed { .. }) => self.retry.record_connection(),
            Err(_) => {}
        }
        Ok(())
    }

    async fn reconnect(&mut self) -> Result<(), TargetError> {
        let resume = self
            .relay
            .engine
            .resume(&self.target, &self.id, self.next_offset);
        let connection = self
            .relay
            .timer
            .within(RESUME_TIMEOUT, resume)
            .await
            .ok_or_else(|| TargetError::Lost {
                reason: format!("no answer within {RESUME_TIMEOUT:?}").into(),
            })??;
        if connection.id() != self.id {
            return Err(TargetError::Lost {
                reason: "the engine answered with another stream".into(),
            });
        }
        self.connection = Some(connection);
        self.cancel_on_drop = true;
        self.resume_count += 1;
        Ok(())
    }

    /// Drops the connection and returns the error. A generation that the engine no longer knows
    /// needs no cancellation.
    fn fail(&mut self, error: StreamError) -> StreamError {
        self.connection = None;
        self.cancel_on_drop &= error != StreamError::Gone;
        error
    }
}

impl Drop for ActiveStream {
    /// A generation without a reader would occupy engine memory until its end.
    fn drop(&mut self) {
        if !self.cancel_on_drop {
            return;
        }
        let relay = self.relay.clone();
        let target = self.target.clone();
        let id = StreamId::clone(&self.id);
        workers::spawn(async move {
            cancel(&relay, &target, &id).await;
        })
        .detach();
    }
}

/// Cancels a generation, with a few attempts. Returns whether the engine confirmed that it does
/// not run any more.
async fn cancel(relay: &Relay, target: &Target, id: &StreamId) -> bool {
    let mut delay = INITIAL_BACKOFF;
    for _ in 0..CANCEL_ATTEMPTS {
        match relay.engine.cancel(target, id).await {
            Ok(()) | Err(TargetError::Gone | TargetError::ClientError { .. }) => return true,
            Err(_) => relay.timer.sleep(delay).await,
        }
        delay *= 2;
    }
    false
}
