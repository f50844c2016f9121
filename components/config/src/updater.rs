//! The configuration of one instance, kept up to date from peers and the table service.

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

/// Pause before a change that was overtaken is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for the answer that somebody else is waiting for already.
const TURN: Duration = Duration::from_millis(500);
/// Most changes of one answer about history.
const HISTORY_PAGE: usize = 1000;

/// Keeps the configuration of one instance.
///
/// Locks: `reading` or `asking`, then `held`, then `shown`; the last two are never held over an
/// await. The first two are apart so that a read that waits for a dead table service does not keep
/// news of peers waiting.
pub struct ConfigUpdater {
    pub(crate) me: InstanceId,
    pub(crate) store: Store,
    pub(crate) peers: Arc<dyn PeerConfig>,
    pub(crate) timer: Timer,
    pub(crate) held: Mutex<ConfigCache>,
    /// What `held` has in force, for the path of requests: a change of a large tree takes some
    /// milliseconds, and requests must not wait for it.
    pub(crate) shown: Mutex<Option<Arc<CurrentConfig>>>,
    pub(crate) reading: AsyncMutex<()>,
    pub(crate) asking: AsyncMutex<()>,
    pub(crate) attempts: AtomicU64,
    /// When an event last told that the table service is behind.
    pub(crate) told_behind: Mutex<Option<Moment>>,
    /// Rounds in which news of overrides are still told.
    pub(crate) news: AtomicU32,
}

impl ConfigUpdater {
    /// Makes an updater that holds nothing yet.
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
            held: Mutex::default(),
            shown: Mutex::default(),
            reading: AsyncMutex::new(()),
            asking: AsyncMutex::new(()),
            attempts: AtomicU64::new(0),
            told_behind: Mutex::default(),
            news: AtomicU32::new(0),
        })
    }

    /// Finds the first configuration, then looks for news for as long as the process lives.
    pub async fn run(self: Arc<Self>) {
        self.start().await;
        smol::future::zip(self.poll(), gossip::run(&self)).await;
    }

    /// Peers that are heard.
    pub(crate) fn heard_peers(&self) -> Vec<InstanceId> {
        self.peers.peers()
    }

    /// Writes the state for a dump.
    #[must_use]
    pub fn dump(&self) -> Vec<String> {
        let held = self.held.lock();
        let version = held.version();
        let nodes = held.whole().snapshot.nodes.len();
        let overridden = held.overridden();
        drop(held);
        let polls = pollers::polls(&self.me, &self.peers.peers());
        vec![format!(
            "configuration: version {version:?}, {nodes} nodes, overridden {overridden:?}, polls \
             the table service: {polls}"
        )]
    }

    /// Changes what is held and shows the result.
    pub(crate) fn update<T>(&self, act: impl FnOnce(&mut ConfigCache) -> T) -> T {
        let mut held = self.held.lock();
        let result = act(&mut held);
        *self.shown.lock() = held.current();
        result
    }

    /// The version in force; `None` before the first was found.
    pub(crate) fn version(&self) -> Option<ConfigVersion> {
        let shown = self.shown.lock();
        shown.as_ref().map(|current| current.snapshot.version)
    }

    fn knows(&self, version: ConfigVersion) -> bool {
        self.version().is_some_and(|v| v >= version)
    }

    /// Checks a change against what is in force and makes its entry.
    fn prepare(&self, change: &Change) -> Result<HistoryEntry, ChangeError> {
        let whole = self.held.lock().whole();
        commit::seen(&whole, change)?;
        commit::fits(&whole, change).map_err(|faults| ChangeError::Invalid { faults })?;
        let version = whole.snapshot.version.saturating_add(1);
        Ok(commit::entry(version, change, self.attempt_id()))
    }

    /// Unique among all attempts of all instances and their lives.
    fn attempt_id(&self) -> Arc<str> {
        let count = self.attempts.fetch_add(1, Ordering::Relaxed);
        let time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos();
        let chance = pollers::chance();
        format!("{}-{time:x}-{chance:x}-{count}", self.me).into()
    }
}

#[async_trait]
impl Config for ConfigUpdater {
    fn current(&self) -> Option<Arc<CurrentConfig>> {
        self.shown.lock().clone()
    }

    fn node_version(&self, path: &str) -> Option<ConfigVersion> {
        self.held.lock().node_version(path)
    }

    fn check(&self, change: &Change) -> Result<(), Vec<Fault>> {
        let whole = self.held.lock().whole();
        commit::fits(&whole, change)
    }

    async fn change(&self, change: Change) -> Result<ConfigVersion, ChangeError> {
        for _ in 0..commit::attempts() {
            self.catch_up()
                .await
                .map_err(|_| ChangeError::StoreUnavailable)?;
            let entry = self.prepare(&change)?;
            let attempt = commit::attempt(&self.store, &self.timer, &entry).await?;
            if attempt == Attempt::Accepted {
                let version = entry.version;
                self.take(Update::Changes(vec![entry]));
                if !self.knows(version) {
                    // Accepted all the same; the next look at the table service brings it.
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
        let head = self.store.head().await.map_err(down)?;
        let limit = limit.min(HISTORY_PAGE);
        let after = head.version.saturating_sub(limit as u64);
        let mut entries = self.store.changes(after, limit).await.map_err(down)?;
        entries.reverse();
        Ok(entries)
    }

    async fn receive_version(&self, peer: &InstanceId, version: ConfigVersion) {
        if self.knows(version) {
            return;
        }
        let fetched = {
            // Many peers tell of the same version at once; one fetch is enough.
            // A peer that is silent must not keep the news of others waiting for long.
            let _turn = self.timer.within(TURN, self.asking.lock()).await;
            if self.knows(version) {
                return;
            }
            self.take_from(peer).await
        };
        if !fetched || !self.knows(version) {
            // An outage shows in the table's own events; the next heartbeat tries again.
            let _ = self.catch_up().await;
        }
    }

    fn since(&self, version: ConfigVersion) -> Update {
        self.held.lock().since(version)
    }

    async fn override_data_centre(
        &self,
        order: OverrideOrder,
    ) -> Result<OverrideReport, OverrideError> {
        let order = self.make_order(order)?;
        if !self.take_overrides(std::slice::from_ref(&order)) {
            return Err(OverrideError::Rejected);
        }
        Ok(gossip::tell(self, order).await)
    }

    fn overrides(&self) -> Vec<Override> {
        self.held.lock().overrides().list(self.timer.now())
    }

    fn exchange_overrides(&self, theirs: &[Override]) -> Vec<Override> {
        self.take_overrides(theirs);
        self.overrides()
    }
}
