//! Updates the configuration from peers and from the table service.

use std::time::Duration;

use events::{Event, emit};
use stores::PlatformError;
use types::{ConfigVersion, InstanceId};

use crate::{api::Update, cache::VersionedTree, pollers, updater::ConfigUpdater};

/// Time between two polls of the table service by an instance that polls it.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Time between two deletions of old history.
const PRUNE_PERIOD: Duration = Duration::from_secs(60);
/// Time between two attempts to load the first configuration.
const START_RETRY_PERIOD: Duration = Duration::from_millis(200);
/// Shortest time between two events about a missing configuration, or about a table service that is
/// behind.
const REPORT_PERIOD: Duration = Duration::from_secs(10);
/// Peers queried in each attempt to load the first configuration.
const START_PEERS: usize = 5;
/// Changes read at once when catching up; reading more of them costs more than reading the full
/// tree.
const CATCH_UP_LIMIT: usize = 256;

impl ConfigUpdater {
    /// Polls the table service, if this instance is one of the pollers.
    pub(crate) async fn poll(&self) {
        let mut pruned = self.timer.now();
        loop {
            self.timer.sleep(pollers::jittered(POLL_PERIOD)).await;
            if !pollers::is_poller(&self.me, &self.peers.peers()) {
                continue;
            }
            // The table client reports outages with its own events; the next round tries again.
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

    /// Queries peers and the table service until one of them delivers a configuration.
    pub(crate) async fn start(&self) {
        let mut reported_at: Option<Duration> = None;
        loop {
            // Both at once: calls to an unavailable service may be slow, and peers must not wait
            // for them.
            let (from_store, ()) =
                smol::future::zip(self.catch_up(), self.fetch_from_peers()).await;
            if self.version().is_some() {
                return;
            }
            let now = self.timer.now();
            if reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_PERIOD) {
                reported_at = Some(now);
                if let Err(error) = from_store {
                    let reason = error.to_string().into();
                    emit(&Event::ConfigMissing { reason });
                }
            }
            self.timer
                .sleep(pollers::jittered(START_RETRY_PERIOD))
                .await;
        }
    }

    /// Fetches overrides and configuration from random peers. While the table service is
    /// unavailable, they are the only source for a restarted instance.
    async fn fetch_from_peers(&self) {
        for peer in pollers::random_peers(&self.peers.peers(), START_PEERS) {
            self.exchange_with(&peer).await;
            self.fetch_from(&peer).await;
        }
    }

    /// Fetches the configuration of a peer; returns whether the peer answered with an update that
    /// could be applied.
    pub(crate) async fn fetch_from(&self, peer: &InstanceId) -> bool {
        let version = self.version();
        let Some(update) = self.peers.fetch(peer, version.unwrap_or(0)).await else {
            return false;
        };
        if self.apply_update(update) {
            return true;
        }
        // The peer's changes leave a gap to the version here, so the full snapshot is needed.
        match self.peers.fetch(peer, 0).await {
            Some(update) => self.apply_update(update),
            None => false,
        }
    }

    /// Applies an update if it is newer; returns whether it could be applied to the version here.
    pub(crate) fn apply_update(&self, update: Update) -> bool {
        let (fits, changed) = self.update_cache(|cache| match update {
            Update::Changes(entries) => match cache.apply_changes(&entries) {
                Ok(changed) => (cache.version().is_some(), changed),
                Err(_) => (false, true),
            },
            Update::Full(snapshot, node_versions) => (
                true,
                cache.replace_tree(VersionedTree {
                    snapshot,
                    node_versions,
                }),
            ),
        });
        let version = self.version().unwrap_or(0);
        if changed {
            emit(&Event::ConfigInForce { version });
        }
        fits
    }

    /// Updates the configuration from the table service.
    ///
    /// # Errors
    /// Why the table service could not be read; the configuration in effect is kept.
    pub async fn catch_up(&self) -> Result<(), PlatformError> {
        let _guard = self.store_lock.lock().await;
        let Some(have) = self.version() else {
            return self.reload_from_store().await;
        };
        let head = self.store.read_head().await?;
        if head.version < have {
            return Err(self.store_is_behind(head.version, have));
        }
        if head.version == have {
            return Ok(());
        }
        if head.version - have <= CATCH_UP_LIMIT as u64 {
            let entries = self.store.read_changes(have, CATCH_UP_LIMIT).await?;
            if self.apply_update(Update::Changes(entries)) && self.version() >= Some(head.version) {
                return Ok(());
            }
        }
        self.reload_from_store().await
    }

    /// Reports that the table service was reset to an older version, for example by restoring a
    /// backup. The configuration in effect is kept, and no change is accepted: it would reuse the
    /// version number of an accepted change, and instances would have two configurations with one
    /// version.
    fn store_is_behind(&self, store: ConfigVersion, here: ConfigVersion) -> PlatformError {
        let now = self.timer.now();
        let mut reported_at = self.behind_reported_at.lock();
        if reported_at.is_none_or(|at| now.saturating_sub(at) >= REPORT_PERIOD) {
            *reported_at = Some(now);
            emit(&Event::StoreBehind { store, here });
        }
        let reason = format!("version {store} is older than {here}, which is in force");
        PlatformError::Malformed {
            reason: reason.into(),
        }
    }

    async fn reload_from_store(&self) -> Result<(), PlatformError> {
        let tree = self.store.read_tree().await?;
        self.apply_update(Update::Full(tree.snapshot, tree.node_versions));
        Ok(())
    }
}
