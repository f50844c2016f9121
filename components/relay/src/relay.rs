//! Starting generations and going on with them.

use std::sync::Arc;

use targets::{Engine, EngineCall, StreamId, TargetError};
use timer::Timer;
use types::{Target, Tokens};

use crate::{first::FirstTokens, running::Running};

/// Starts generations at engines and keeps what is learned about their timing. Clones share it.
#[derive(Clone)]
pub struct Relay {
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) timer: Timer,
    pub(crate) firsts: Arc<FirstTokens>,
}

impl Relay {
    /// Makes a relay over an engine client.
    #[must_use]
    pub fn new(engine: Arc<dyn Engine>, timer: Timer) -> Self {
        Self {
            engine,
            timer,
            firsts: Arc::default(),
        }
    }

    /// Starts a generation.
    ///
    /// # Errors
    /// Tells what the engine said or how the link failed. A silent engine counts as a lost link
    /// once the service's usual first-token time is well over.
    pub async fn start(&self, target: &Target, call: &EngineCall) -> Result<Running, TargetError> {
        let begun = self.timer.now();
        let patience = self.firsts.limit(&target.service);
        let link = self
            .timer
            .within(patience, self.engine.start(target, call))
            .await
            .ok_or_else(|| TargetError::Lost {
                reason: format!("no answer within {patience:?}").into(),
            })??;
        Ok(Running::new(self, target, link, 0, begun))
    }

    /// Goes on with a generation of which the caller has `at` tokens. The first wait for a
    /// piece connects.
    #[must_use]
    pub fn adopt(&self, target: &Target, stream: &StreamId, at: Tokens) -> Running {
        Running::detached(self, target, stream, at, self.timer.now())
    }
}
