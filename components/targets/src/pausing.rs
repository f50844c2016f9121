//! Keeps the pauses that targets ask for with `Retry-After`: during a pause nothing is sent to the
//! target but cancellations, which free it of work.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use parking_lot::Mutex;
use rates::Pauses;
use timer::Timer;
use types::{Target, Tokens};

use crate::api::{
    Command, Engine, EngineCall, MaySend, PlainAnswer, PlainCall, PlainService, Stream, StreamId,
    TargetError, TargetReport,
};

/// Is told of each pause: the target, and the time from now until the end of the pause.
pub type PauseListener = dyn Fn(&Target, Duration) + Send + Sync;

/// The pauses that targets have asked this instance for. Clones share them.
#[derive(Clone)]
pub struct TargetPauses {
    pauses: Arc<Mutex<Pauses>>,
    timer: Timer,
    listener: Arc<PauseListener>,
}

impl TargetPauses {
    /// No target pauses yet.
    #[must_use]
    pub fn new(timer: Timer, listener: Arc<PauseListener>) -> Self {
        Self {
            pauses: Arc::default(),
            timer,
            listener,
        }
    }

    /// Fails if a target pauses.
    fn check(&self, target: &Target) -> Result<(), TargetError> {
        let pauses = self.pauses.lock();
        let left = pauses.left(self.timer.now(), &target.id, Some(target.incarnation));
        match left {
            None => Ok(()),
            left => Err(TargetError::Rejected {
                reason: "it wants no requests for a while".into(),
                retry_after: left,
                // Nothing was sent.
                is_certain: true,
            }),
        }
    }

    /// Records the pause that a target asks for in an answer.
    fn record<T>(&self, target: &Target, answer: &Result<T, TargetError>) {
        let Err(TargetError::Rejected {
            retry_after: Some(pause),
            ..
        }) = answer
        else {
            return;
        };
        let (now, incarnation) = (self.timer.now(), Some(target.incarnation));
        let is_new = self
            .pauses
            .lock()
            .record(now, &target.id, incarnation, *pause);
        if is_new {
            (self.listener)(target, *pause);
        }
    }
}

/// An engine client that keeps pauses.
pub struct PausingEngine {
    inner: Arc<dyn Engine>,
    pauses: TargetPauses,
}

impl PausingEngine {
    /// Sends over `inner` what no pause forbids.
    #[must_use]
    pub fn new(inner: Arc<dyn Engine>, pauses: TargetPauses) -> Self {
        Self { inner, pauses }
    }
}

#[async_trait]
impl Engine for PausingEngine {
    async fn start(
        &self,
        target: &Target,
        call: &EngineCall,
    ) -> Result<Box<dyn Stream>, TargetError> {
        self.start_if(target, call, &|| true).await
    }

    async fn start_if(
        &self,
        target: &Target,
        call: &EngineCall,
        may_send: MaySend<'_>,
    ) -> Result<Box<dyn Stream>, TargetError> {
        self.pauses.check(target)?;
        let answer = self.inner.start_if(target, call, may_send).await;
        self.pauses.record(target, &answer);
        answer
    }

    async fn resume(
        &self,
        target: &Target,
        stream: &StreamId,
        at: Tokens,
    ) -> Result<Box<dyn Stream>, TargetError> {
        self.pauses.check(target)?;
        let answer = self.inner.resume(target, stream, at).await;
        self.pauses.record(target, &answer);
        answer
    }

    async fn cancel(&self, target: &Target, stream: &StreamId) -> Result<(), TargetError> {
        let answer = self.inner.cancel(target, stream).await;
        self.pauses.record(target, &answer);
        answer
    }

    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError> {
        self.pauses.check(target)?;
        let answer = self.inner.report(target).await;
        self.pauses.record(target, &answer);
        answer
    }

    async fn send_command(&self, target: &Target, command: &Command) -> Result<(), TargetError> {
        self.pauses.check(target)?;
        let answer = self.inner.send_command(target, command).await;
        self.pauses.record(target, &answer);
        answer
    }
}

/// A client of plain services that keeps pauses.
pub struct PausingPlainService {
    inner: Arc<dyn PlainService>,
    pauses: TargetPauses,
}

impl PausingPlainService {
    /// Sends over `inner` what no pause forbids.
    #[must_use]
    pub fn new(inner: Arc<dyn PlainService>, pauses: TargetPauses) -> Self {
        Self { inner, pauses }
    }
}

#[async_trait]
impl PlainService for PausingPlainService {
    async fn call(
        &self,
        target: &Target,
        call: &PlainCall,
        timeout: Duration,
    ) -> Result<PlainAnswer, TargetError> {
        self.call_if(target, call, timeout, &|| true).await
    }

    async fn call_if(
        &self,
        target: &Target,
        call: &PlainCall,
        timeout: Duration,
        may_send: MaySend<'_>,
    ) -> Result<PlainAnswer, TargetError> {
        self.pauses.check(target)?;
        let answer = self.inner.call_if(target, call, timeout, may_send).await;
        self.pauses.record(target, &answer);
        answer
    }

    async fn report(&self, target: &Target) -> Result<TargetReport, TargetError> {
        self.pauses.check(target)?;
        let answer = self.inner.report(target).await;
        self.pauses.record(target, &answer);
        answer
    }
}
