//! Coming up to date: from peers, and from the table service.

use std::time::Duration;

use events::{Event, emit};
use stores::PlatformError;
use types::{ConfigVersion, InstanceId};

use crate::{api::Update, cache::VersionedTree, pollers, updater::ConfigUpdater};

/// Time between two looks at the table service by an instance that polls it.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Time between two rounds of deleting old history.
const PRUNE_PERIOD: Duration = Duration::from_secs(60);
/// Time between two tries while nothing is in force yet.
const START_PERIOD: Duration = Duration::from_millis(200);
/// Time between two events that tell of a missing configuration, or of one set back.
const TELL_PERIOD: Duration = Duration::from_secs(10);
/// Peers asked at the start.
const START_PEERS: usize = 5;
/// Changes read at once when catching up; more of them cost more than the whole tree.
const CATCH_UP_LIMIT: usize = 256;

impl ConfigUpdater {
    /// Looks at the table service for news, if this instance is one of those that do.
    pub(crate) async fn poll(&self) {
        let mut pruned = self.timer.now();
        loop {
            self.timer.sleep(pollers::jittered(POLL_PERIOD)).await;
            if !pollers::polls(&self.me, &self.peers.peers()) {
                continue;
            }
            // An outage shows in the table's own events; the next round tries again.
            if self.catch_up().await.is_ok() {
                self.commit_overrides().await;
            }
            let now = self.timer.now();
            if now.saturating_sub(pruned) >= PRUNE_PERIOD {
                pruned = now;
                let _ = self.store.prune(self.version().unwrap_or(0)).await;
            }
        }
    }

    /// Asks peers and the table service until one of them has a configuration.
    pub(crate) async fn start(&self) {
        let mut told: Option<Duration> = None;
        loop {
            // A service that is down may take its time; peers must not wait for it.
            let (from_store, ()) = smol::future::zip(self.catch_up(), self.ask_peers()).await;
            if self.version().is_some() {
                return;
            }
            let now = self.timer.now();
            if told.is_none_or(|at| now.saturating_sub(at) >= TELL_PERIOD) {
                told = Some(now);
                if let Err(error) = from_store {
                    let reason = error.to_string().into();
                    emit(&Event::ConfigMissing { reason });
                }
            }
            self.timer.sleep(pollers::jittered(START_PERIOD)).await;
        }
    }

    /// During an outage of the table service a restarted instance has only its peers to ask.
    async fn ask_peers(&self) {
        for peer in pollers::some(&self.peers.peers(), START_PEERS) {
            self.exchange_with(&peer).await;
            self.take_from(&peer).await;
        }
    }

    /// Takes what a peer has; tells whether it answered with something that fits.
    pub(crate) async fn take_from(&self, peer: &InstanceId) -> bool {
        let version = self.version();
        let Some(update) = self.peers.fetch(peer, version.unwrap_or(0)).await else {
            return false;
        };
        if self.take(update) {
            return true;
        }
        // Changes are missing in between: take all of it.
        match self.peers.fetch(peer, 0).await {
            Some(update) => self.take(update),
            None => false,
        }
    }

    /// Puts an update in force if it is newer; tells whether it fitted.
    pub(crate) fn take(&self, update: Update) -> bool {
        let (fitted, news) = self.update(|held| match update {
            Update::Changes(entries) => match held.take_changes(&entries) {
                Ok(news) => (held.version().is_some(), news),
                Err(_) => (false, true),
            },
            Update::Full(snapshot, changed) => (
                true,
                held.take_whole(VersionedTree {
                    snapshot,
                    node_versions: changed,
                }),
            ),
        });
        let version = self.version().unwrap_or(0);
        if news {
            emit(&Event::ConfigInForce { version });
        }
        fitted
    }

    /// Comes up to date from the table service.
    ///
    /// # Errors
    /// Tells why it could not be read; what is in force stays.
    pub async fn catch_up(&self) -> Result<(), PlatformError> {
        let _one = self.reading.lock().await;
        let Some(have) = self.version() else {
            return self.take_whole_from_store().await;
        };
        let head = self.store.head().await?;
        if head.version < have {
            return Err(self.store_is_behind(head.version, have));
        }
        if head.version == have {
            return Ok(());
        }
        if head.version - have <= CATCH_UP_LIMIT as u64 {
            let entries = self.store.changes(have, CATCH_UP_LIMIT).await?;
            if self.take(Update::Changes(entries)) && self.version() >= Some(head.version) {
                return Ok(());
            }
        }
        self.take_whole_from_store().await
    }

    /// The table service was set back, by a restored backup for instance. What is in force stays,
    /// and no change can be accepted: it would take the number of a change that was accepted
    /// before, and instances would hold two configurations of one version.
    fn store_is_behind(&self, store: ConfigVersion, here: ConfigVersion) -> PlatformError {
        let now = self.timer.now();
        let mut told = self.told_behind.lock();
        if told.is_none_or(|at| now.saturating_sub(at) >= TELL_PERIOD) {
            *told = Some(now);
            emit(&Event::StoreBehind { store, here });
        }
        let reason = format!("version {store} is older than {here}, which is in force");
        PlatformError::Malformed {
            reason: reason.into(),
        }
    }

    async fn take_whole_from_store(&self) -> Result<(), PlatformError> {
        let whole = self.store.whole().await?;
        self.take(Update::Full(whole.snapshot, whole.node_versions));
        Ok(())
    }
}
