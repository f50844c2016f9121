//! One generation under way.

use std::time::Duration;

use bytes::Bytes;
use targets::{Piece, Stream, StreamId, TargetError};
use timer::Alarm;
use types::{Moment, Target, Tokens};

use crate::{
    end::{Broken, End, STALL_LIMIT, Sink},
    relay::Relay,
    rhythm::{GAP, Rhythm},
    tries::{BACKOFF, Tries},
};

/// Time for the head of a resumed stream to arrive.
const RESUME_PATIENCE: Duration = Duration::from_secs(2);
/// Tries to cancel a generation.
const CANCEL_TRIES: u32 = 3;

/// A generation under way. Dropping it before its end cancels it at the engine.
pub struct Running {
    relay: Relay,
    target: Target,
    id: StreamId,
    link: Option<Box<dyn Stream>>,
    /// Offset of the next token to hand out: the one place that says what the caller has.
    next: Tokens,
    /// Offset at which this process took it up.
    from: Tokens,
    begun: Moment,
    first_at: Option<Moment>,
    last_token: Moment,
    rhythm: Rhythm,
    alarm: Alarm,
    tries: Tries,
    resumes: u32,
    /// Whether a broken link stays broken.
    passive: bool,
    /// Whether the engine may still be working on it for us.
    open: bool,
}

impl Running {
    pub(crate) fn new(
        relay: &Relay,
        target: &Target,
        link: Box<dyn Stream>,
        at: Tokens,
        begun: Moment,
    ) -> Self {
        let mut running = Self::detached(relay, target, &link.id(), at, begun);
        running.link = Some(link);
        running.open = true;
        running
    }

    pub(crate) fn detached(
        relay: &Relay,
        target: &Target,
        id: &StreamId,
        at: Tokens,
        begun: Moment,
    ) -> Self {
        Self {
            relay: relay.clone(),
            target: target.clone(),
            id: StreamId::clone(id),
            link: None,
            next: at,
            from: at,
            begun,
            first_at: None,
            last_token: begun,
            rhythm: Rhythm::new(GAP),
            alarm: Alarm::new(),
            tries: Tries::default(),
            resumes: 0,
            passive: false,
            open: false,
        }
    }

    /// Name of the stream at the engine.
    #[must_use]
    pub const fn id(&self) -> &StreamId {
        &self.id
    }

    /// Where it runs.
    #[must_use]
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Tokens handed out, with those before this process took it up.
    #[must_use]
    pub const fn produced(&self) -> Tokens {
        self.next
    }

    /// Time from its start to its first token here.
    #[must_use]
    pub fn first(&self) -> Option<Duration> {
        self.first_at.map(|at| at.saturating_sub(self.begun))
    }

    /// Time since its start.
    #[must_use]
    pub fn took(&self) -> Duration {
        self.relay.timer.now().saturating_sub(self.begun)
    }

    /// How often it was resumed over a new connection.
    #[must_use]
    pub const fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Hands out the next piece, resuming as often as it takes. Dropping the future loses
    /// nothing.
    ///
    /// # Errors
    /// Tells why the generation can't go on.
    pub async fn next(&mut self) -> Result<Piece, Broken> {
        loop {
            let patience = self.patience();
            let Some(link) = &mut self.link else {
                self.resume().await?;
                continue;
            };
            match self.alarm.within(patience, link.next()).await {
                Some(Ok(Piece::Tokens { first, data, .. })) => {
                    if let Some(piece) = self.take(first, data) {
                        return Ok(piece);
                    }
                }
                Some(Ok(Piece::End)) => {
                    self.open = false;
                    return Ok(Piece::End);
                }
                Some(Err(TargetError::Gone)) => return Err(self.broken(Broken::Gone)),
                Some(Err(_)) => self.link = None,
                None => {
                    // Something on the way may have lost track of the connection: then nothing
                    // would ever come over it again, while a new one works.
                    self.link = None;
                    self.tries.note_silence();
                }
            }
        }
    }

    /// Connects a generation that was adopted, with as many tries as it takes.
    ///
    /// # Errors
    /// Tells why it can't go on.
    pub async fn connect(&mut self) -> Result<(), Broken> {
        while self.link.is_none() {
            self.resume().await?;
        }
        // This was the first connection here, not a mended one.
        self.resumes = 0;
        Ok(())
    }

    /// From now on a broken link is not mended: `next` fails instead.
    pub const fn stay_passive(&mut self) {
        self.passive = true;
    }

    /// Hands all pieces to a sink until the end.
    pub async fn pump(&mut self, sink: &mut dyn Sink) -> End {
        loop {
            match self.next().await {
                Ok(Piece::Tokens { first, data, .. }) => {
                    if sink.tokens(first, data).await.is_err() {
                        return End::Closed;
                    }
                }
                Ok(Piece::End) => return End::Finished,
                Err(broken) => return End::Broken(broken),
            }
        }
    }

    /// Lets it run on at the engine without us: somebody else reads it now.
    pub fn release(mut self) {
        self.open = false;
    }

    /// Cancels it at the engine; tells whether the engine knows. If not, it may run on.
    pub async fn cancel(mut self) -> bool {
        if !self.open {
            return true;
        }
        self.open = false;
        self.link = None;
        cancel(&self.relay, &self.target, &self.id).await
    }

    /// How long the present silence may last.
    fn patience(&self) -> Duration {
        let usual = if self.next == 0 {
            self.relay.firsts.limit(&self.target.service)
        } else {
            self.rhythm.limit()
        };
        self.tries.patience(usual)
    }

    /// Takes tokens off the link: repeats are passed over, a gap makes the link useless.
    fn take(&mut self, first: Tokens, mut data: Vec<Bytes>) -> Option<Piece> {
        if first > self.next {
            // Handing it out would lose the caller tokens; the engine still has them.
            self.link = None;
            return None;
        }
        let known = usize::try_from(self.next - first).unwrap_or(usize::MAX);
        if known >= data.len() {
            return None;
        }
        data.drain(..known);
        let first = first + known as Tokens;
        let count = data.len() as Tokens;
        assert!(
            first == self.next,
            "stream {}: token {first} would follow token {}",
            self.id,
            self.next,
        );
        self.next += count;
        self.note_tokens();
        Some(Piece::Tokens { first, count, data })
    }

    fn note_tokens(&mut self) {
        let now = self.relay.timer.now();
        let gap = now.saturating_sub(self.last_token);
        if self.first_at.is_none() {
            self.first_at = Some(now);
            if self.from == 0 {
                self.relay.firsts.observe(&self.target.service, gap);
            }
        } else if self.tries.is_none() {
            // Not after a resumption: that gap tells of the link, not of the engine.
            self.rhythm.observe(gap);
        }
        self.last_token = now;
        self.tries = Tries::default();
    }

    /// One try to go on over a new connection, after a delay that grows with the tries.
    async fn resume(&mut self) -> Result<(), Broken> {
        if self.passive {
            return Err(Broken::LinkLost);
        }
        if self.relay.timer.now().saturating_sub(self.last_token) > STALL_LIMIT {
            return Err(self.broken(Broken::Stalled));
        }
        self.relay.timer.sleep(self.tries.delay()).await;
        self.tries.note_try();
        match self.reconnect().await {
            Ok(()) => self.tries.note_connection(),
            Err(TargetError::Gone) => return Err(self.broken(Broken::Gone)),
            Err(TargetError::Unsent { reason }) if self.tries.note_refusal() => {
                return Err(self.broken(Broken::Unreachable { reason }));
            }
            Err(_) => {}
        }
        Ok(())
    }

    async fn reconnect(&mut self) -> Result<(), TargetError> {
        let resume = self.relay.engine.resume(&self.target, &self.id, self.next);
        let link = self
            .relay
            .timer
            .within(RESUME_PATIENCE, resume)
            .await
            .ok_or_else(|| TargetError::Lost {
                reason: format!("no answer within {RESUME_PATIENCE:?}").into(),
            })??;
        if link.id() != self.id {
            return Err(TargetError::Lost {
                reason: "the engine answered with another stream".into(),
            });
        }
        self.link = Some(link);
        self.open = true;
        self.resumes += 1;
        Ok(())
    }

    fn broken(&mut self, broken: Broken) -> Broken {
        self.link = None;
        self.open &= broken != Broken::Gone;
        broken
    }
}

impl Drop for Running {
    /// A generation that nobody reads would take up the engine's memory until its very end.
    fn drop(&mut self) {
        if !self.open {
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

async fn cancel(relay: &Relay, target: &Target, id: &StreamId) -> bool {
    let mut delay = BACKOFF;
    for _ in 0..CANCEL_TRIES {
        match relay.engine.cancel(target, id).await {
            Ok(()) | Err(TargetError::Gone | TargetError::Wrong { .. }) => return true,
            Err(_) => relay.timer.sleep(delay).await,
        }
        delay *= 2;
    }
    false
}
