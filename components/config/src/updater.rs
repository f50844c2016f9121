//! Keeps the configuration of one instance up to date, from peers and the table service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_trait::async_trait;
use parking_lot::Mutex;
use smol::lock::Mutex as AsyncMutex;
use stores::Table;
use timer::Timer;
use types::{ConfigVersion, InstanceId, Moment};

use crate::{
    api::{
        Change, ChangeError, Config, CurrentConfig, Fault, HistoryEntry, OverrideError,
        OverrideOrder, OverrideReport, PeerConfig, Update,
    },
    cache::ConfigCache,
    commit::{self, Attempt},
    gossip,
    overrides::Override,
    pollers,
    store::Store,
};

/// Pause before a change that lost against another one is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a fetch that another task has started.
const FETCH_LOCK_TIMEOUT: Duration = Duration::from_millis(500);
/// Most changes returned by one query of the history.
const MAX_HISTORY_ENTRIES: usize = 1000;

/// Keeps the configuration of one instance up to date.
///
/// Lock order: `store_lock` or `fetch_lock`, then `cache`, then `published`; the last two are never
/// held across an await. The first two are separate so that a read that waits for an unavailable
/// table service does not delay updates from peers.
pub struct ConfigUpdater {
    pub(crate) me: InstanceId,
    pub(crate) store: Store,
    pub(crate) peers: Arc<dyn PeerConfig>,
    pub(crate) timer: Timer,
    pub(crate) cache: Mutex<ConfigCache>,
    /// The configuration in effect, for the request path: applying a change to a large tree takes
    /// some milliseconds under the lock of `cache`, and requests must not wait for it.
    pub(crate) published: Mutex<Option<Arc<CurrentConfig>>>,
    pub(crate) store_lock: AsyncMutex<()>,
    pub(crate) fetch_lock: AsyncMutex<()>,
    pub(crate) attempts: AtomicU64,
    /// When an event last reported that the table service is behind.
    pub(crate) behind_reported_at: Mutex<Option<Moment>>,
    /// Remaining gossip rounds in which new overrides are sent.
    pub(crate) recent_rounds: AtomicU32,
}

impl ConfigUpdater {
    /// Creates an updater without a configuration.
    #[must_use]
    pub fn new(
        me: InstanceId,
        table: Arc<dyn Table>,
        peers: Arc<dyn PeerConfig>,
        timer: Timer,
    ) -> Arc<Self> {
        Arc::new(Self {
            me,
            store: Store::new(table),
            peers,
            timer,
            cache: Mutex::default(),
            published: Mutex::default(),
            store_lock: AsyncMutex::new(()),
            fetch_lock: AsyncMutex::new(()),
            attempts: AtomicU64::new(0),
            behind_reported_at: Mutex::default(),
            recent_rounds: AtomicU32::new(0),
        })
    }

    /// Loads the first configuration, then keeps it up to date for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        self.start().await;
        smol::future::zip(self.poll(), gossip::run(&self)).await;
    }

    /// Peers that are reachable at present.
    pub(crate) fn reachable_peers(&self) -> Vec<InstanceId> {
        self.peers.peers()
    }

    /// The state of the configuration as lines of a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<String> {
        let cache = self.cache.lock();
        let version = cache.version();
        let nodes = cache.tree().snapshot.nodes.len();
        let overridden = cache.overridden();
        drop(cache);
        let is_poller = pollers::is_poller(&self.me, &self.peers.peers());
        vec![format!(
            "configuration: version {version:?}, {nodes} nodes, overridden {overridden:?}, polls \
             the table service: {is_poller}"
        )]
    }

    /// Modifies the cache and publishes the resulting configuration.
    pub(crate) fn update_cache<T>(&self, act: impl FnOnce(&mut ConfigCache) -> T) -> T {
        let mut cache = self.cache.lock();
        let result = act(&mut cache);
        *self.published.lock() = cache.current();
        result
    }

    /// The version in effect; `None` until the first one was loaded.
    pub(crate) fn version(&self) -> Option<ConfigVersion> {
        let published = self.published.lock();
        published.as_ref().map(|current| current.snapshot.version)
    }

    fn has_version(&self, version: ConfigVersion) -> bool {
        self.version().is_some_and(|v| v >= version)
    }

    /// Validates a change against the configuration in effect and builds its history entry.
    fn prepare(&self, change: &Change) -> Result<HistoryEntry, ChangeError> {
        let tree = self.cache.lock().tree();
        commit::check_expected_version(&tree, change)?;
        commit::validate(&tree, change).map_err(|faults| ChangeError::Invalid { faults })?;
        let version = tree.snapshot.version.saturating_add(1);
        Ok(commit::new_entry(version, change, self.new_attempt_id()))
    }

    /// Creates an id that is unique among all attempts of all instances, also across restarts.
    fn new_attempt_id(&self) -> Arc<str> {
        let count = self.attempts.fetch_add(1, Ordering::Relaxed);
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        let chance = pollers::random_u64();
        format!("{}-{time:x}-{chance:x}-{count}", self.me).into()
    }
}

#[async_trait]
impl Config for ConfigUpdater {
    fn current(&self) -> Option<Arc<CurrentConfig>> {
        self.published.lock().clone()
    }

    fn node_version(&self, path: &str) -> Option<ConfigVersion> {
        self.cache.lock().node_version(path)
    }

    fn check(&self, change: &Change) -> Result<(), Vec<Fault>> {
        let tree = self.cache.lock().tree();
        commit::validate(&tree, change)
    }

    async fn change(&self, change: Change) -> Result<ConfigVersion, ChangeError> {
        for _ in 0..commit::max_attempts() {
            self.catch_up()
                .await
                .map_err(|_| ChangeError::StoreUnavailable)?;
            let entry = self.prepare(&change)?;
            let attempt = commit::try_commit(&self.store, &self.timer, &entry).await?;
            if attempt == Attempt::Accepted {
                let version = entry.version;
                self.apply_update(Update::Changes(vec![entry]));
                if !self.has_version(version) {
                    // The change is accepted all the same; the next poll of the table service loads
                    // it.
                    let _ = self.catch_up().await;
                }
                return Ok(version);
            }
            self.timer.sleep(pollers::jittered(RETRY_PAUSE)).await;
        }
        let now = self.node_version(&change.path);
        Err(ChangeError::Conflict { now })
    }

    async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>, ChangeError> {
        let down = |_| ChangeError::StoreUnavailable;
        let head = self.store.read_head().await.map_err(down)?;
        let limit = limit.min(MAX_HISTORY_ENTRIES);
        let after = head.version.saturating_sub(limit as u64);
        let mut entries = self.store.read_changes(after, limit).await.map_err(down)?;
        entries.reverse();
        Ok(entries)
    }

    async fn receive_version(&self, peer: &InstanceId, version: ConfigVersion) {
        if self.has_version(version) {
            return;
        }
        let fetched = {
            // Many peers announce the same version at once; one fetch is enough. A peer that does
            // not answer must not delay the announcements of others for long.
            let _turn = self
                .timer
                .within(FETCH_LOCK_TIMEOUT, self.fetch_lock.lock())
                .await;
            if self.has_version(version) {
                return;
            }
            self.fetch_from(peer).await
        };
        if !fetched || !self.has_version(version) {
            // The table client reports outages with its own events; the next heartbeat tries again.
            let _ = self.catch_up().await;
        }
    }

    fn since(&self, version: ConfigVersion) -> Update {
        self.cache.lock().since(version)
    }

    async fn override_data_centre(
        &self,
        order: OverrideOrder,
    ) -> Result<OverrideReport, OverrideError> {
        let order = self.new_override(order)?;
        if !self.apply_overrides(std::slice::from_ref(&order)) {
            return Err(OverrideError::Rejected);
        }
        Ok(gossip::broadcast(self, order).await)
    }

    fn overrides(&self) -> Vec<Override> {
        self.cache.lock().overrides().list(self.timer.now())
    }

    fn exchange_overrides(&self, theirs: &[Override]) -> Vec<Override> {
        self.apply_overrides(theirs);
        self.overrides()
    }
}
