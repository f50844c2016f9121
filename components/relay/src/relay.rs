//! Starts generations at engines and takes over generations that already run.

use std::{sync::Arc, time::Duration};

use targets::{Engine, EngineCall, MaySend, StreamId, TargetError};
use timer::Timer;
use types::{Target, Tokens};

use crate::{active_stream::ActiveStream, first_token::FirstTokenEstimator, sink::STALL_TIMEOUT};

/// Starts generations and shares their timing estimates. Clones share the estimates.
#[derive(Clone)]
pub struct Relay {
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) timer: Timer,
    pub(crate) first_token: Arc<FirstTokenEstimator>,
    pub(crate) stall_timeout: Duration,
}

impl Relay {
    /// Creates a relay that reaches engines through `engine`.
    #[must_use]
    pub fn new(engine: Arc<dyn Engine>, timer: Timer) -> Self {
        Self {
            engine,
            timer,
            first_token: Arc::default(),
            stall_timeout: STALL_TIMEOUT,
        }
    }

    /// Sets how long a generation may produce no token before it is given up.
    #[must_use]
    pub const fn with_stall_timeout(mut self, timeout: Duration) -> Self {
        self.stall_timeout = timeout;
        self
    }

    /// Starts a generation and waits for the engine to accept it.
    ///
    /// # Errors
    /// Returns the engine's refusal or the connection error. An engine that does not answer
    /// within the first-token timeout of the service counts as a lost connection.
    pub async fn start(
        &self,
        target: &Target,
        call: &EngineCall,
    ) -> Result<ActiveStream, TargetError> {
        self.start_if(target, call, &|| true).await
    }

    /// Like [`Self::start`], if `may_send` still holds once the connection is open.
    ///
    /// # Errors
    /// Returns the engine's refusal or the connection error, or that the generation was withheld.
    pub async fn start_if(
        &self,
        target: &Target,
        call: &EngineCall,
        may_send: MaySend<'_>,
    ) -> Result<ActiveStream, TargetError> {
        let started_at = self.timer.now();
        let timeout = self.first_token.timeout(&target.service);
        let connection = self
            .timer
            .within(timeout, self.engine.start_if(target, call, may_send))
            .await
            .ok_or_else(|| TargetError::Lost {
                reason: format!("no answer within {timeout:?}").into(),
            })??;
        Ok(ActiveStream::new(self, target, connection, 0, started_at))
    }

    /// Takes over a running generation of which the caller already has the first `at` tokens.
    /// Does not connect yet: the first read does.
    #[must_use]
    pub fn adopt(&self, target: &Target, stream: &StreamId, at: Tokens) -> ActiveStream {
        ActiveStream::detached(self, target, stream, at, self.timer.now())
    }
}
