//! Claims stored in the table service, as used by the gateway.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use smol::channel::bounded;
use stores::Table;
use timer::Timer;
use types::{Incarnation, InstanceId};

use crate::{
    answer,
    api::{ClaimError, ClaimOutcome, Claims, KeyedCall, RecordedAnswer},
    liveness::Liveness,
    manager::ClaimManager,
    row::ClaimState,
};

/// Claims of one incarnation of an instance, stored in the table service.
pub struct StoreClaims {
    manager: Arc<ClaimManager>,
}

impl StoreClaims {
    /// Creates the claims of this incarnation of the instance. `run` has to run alongside.
    #[must_use]
    pub fn new(
        me: InstanceId,
        incarnation: Incarnation,
        table: Arc<dyn Table>,
        alive: Arc<dyn Liveness>,
        timer: Timer,
    ) -> Arc<Self> {
        let manager = Arc::new(ClaimManager::new(me, incarnation, table, alive, timer));
        Arc::new(Self { manager })
    }

    /// Finalizes claims that the table service has not accepted yet and deletes expired claims, for
    /// as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        self.manager.run().await;
    }
}

impl StoreClaims {
    /// Waits up to `timeout` until the table service has accepted every outcome; returns how many
    /// it has not. Used on a planned stop: an outcome that is lost with its instance would be
    /// reported as unknown to retries although it was known.
    pub async fn drain(&self, timeout: Duration) -> usize {
        self.manager.drain(timeout).await
    }
}

#[async_trait]
impl Claims for StoreClaims {
    /// A caller that disconnects cancels its request at any point. The write of its claim could
    /// still take effect with no request left to run the call or to release the key, and every
    /// retry would wait in vain. The claim is therefore made in a task of its own, which releases
    /// the key if the request no longer waits for it.
    async fn claim(&self, call: &KeyedCall, timeout: Duration) -> Result<ClaimOutcome, ClaimError> {
        let (tx, rx) = bounded(1);
        let (accepted_tx, accepted_rx) = bounded::<()>(1);
        let manager = Arc::clone(&self.manager);
        let call = call.clone();
        let claim = async move {
            let result = manager.claim(&call, timeout).await;
            let is_acquired = result == Ok(ClaimOutcome::Acquired);
            let sent = tx.send(result).await.is_ok();
            let accepted = sent && accepted_rx.recv().await.is_ok();
            if is_acquired && !accepted {
                manager.finish(&call, ClaimState::Released).await;
            }
        };
        workers::spawn(claim).detach();
        let result = rx.recv().await.unwrap_or(Err(ClaimError::StoreUnavailable));
        // The channel has room for it, and nothing is awaited between this line and the return.
        let _ = accepted_tx.try_send(());
        result
    }

    async fn record(&self, call: &KeyedCall, answer: RecordedAnswer) {
        let answer = answer::fit_to_limit(answer);
        self.manager.finish(call, ClaimState::Done(answer)).await;
    }

    async fn release(&self, call: &KeyedCall) {
        self.manager.finish(call, ClaimState::Released).await;
    }

    async fn abandon(&self, call: &KeyedCall) {
        self.manager.finish(call, ClaimState::Unknown).await;
    }

    fn dump(&self) -> Vec<String> {
        let (running, pending, bytes) = self.manager.counts();
        vec![format!(
            "claims: {running} running, {pending} to be settled, {bytes} bytes of answers"
        )]
    }
}
