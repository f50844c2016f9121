//! Claims as the gateway sees them.

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
    row::State,
};

/// Claims of one life of an instance, kept in the table service.
pub struct StoreClaims {
    manager: Arc<ClaimManager>,
}

impl StoreClaims {
    /// Makes the claims of this life of an instance. `run` has to run beside it.
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

    /// Settles what the table service did not take at once, and deletes old claims, for as long
    /// as the process lives.
    pub async fn run(self: Arc<Self>) {
        self.manager.run().await;
    }
}

impl StoreClaims {
    /// Waits until the table service has taken every outcome, at most this long; tells how many
    /// it has not taken. For a planned stop: an outcome that dies with its instance leaves
    /// `unknown` to repeats of a call whose answer was known.
    pub async fn drain(&self, patience: Duration) -> usize {
        self.manager.drain(patience).await
    }
}

#[async_trait]
impl Claims for StoreClaims {
    /// A caller that goes away drops its request at any point. The claim's write could then take
    /// effect with nobody to run the call or to give the key back, and each repeat would wait
    /// for nothing. So the work goes on by itself, and releases a claim that was not taken over.
    async fn claim(
        &self,
        call: &KeyedCall,
        patience: Duration,
    ) -> Result<ClaimOutcome, ClaimError> {
        let (tx, rx) = bounded(1);
        let (taken_tx, taken_rx) = bounded::<()>(1);
        let manager = Arc::clone(&self.manager);
        let call = call.clone();
        let work = async move {
            let result = manager.make(&call, patience).await;
            let mine = result == Ok(ClaimOutcome::Acquired);
            let sent = tx.send(result).await.is_ok();
            let taken = sent && taken_rx.recv().await.is_ok();
            if mine && !taken {
                manager.end(&call, State::Released).await;
            }
        };
        workers::spawn(work).detach();
        let result = rx.recv().await.unwrap_or(Err(ClaimError::StoreUnavailable));
        // There is room for it, and nothing is awaited between this and the return.
        let _ = taken_tx.try_send(());
        result
    }

    async fn record(&self, call: &KeyedCall, answer: RecordedAnswer) {
        let answer = answer::fitting(answer);
        self.manager.end(call, State::Done(answer)).await;
    }

    async fn release(&self, call: &KeyedCall) {
        self.manager.end(call, State::Released).await;
    }

    async fn abandon(&self, call: &KeyedCall) {
        self.manager.end(call, State::Unknown).await;
    }

    fn dump(&self) -> Vec<String> {
        let (running, pending, bytes) = self.manager.counts();
        vec![format!(
            "claims: {running} running, {pending} to be settled, {bytes} bytes of answers"
        )]
    }
}
