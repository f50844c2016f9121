//! The configuration of one instance, kept up to date from peers and the table service.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_trait::async_trait;
use events::{Event, emit};
use parking_lot::Mutex;
use platform::{PlatformError, Table};
use smol::lock::Mutex as AsyncMutex;
use timer::Timer;
use types::{ConfigVersion, DataCentreId, InstanceId, Moment};

use crate::{
    api::{
        Change, ChangeError, Config, Current, Entry, Fault, OverrideError, OverrideOrder,
        PeerConfig, Told, Update,
    },
    commit::{self, Attempt},
    held::{Held, Whole, data_centre_path},
    overrides::{OVERRIDE_LIMIT, Override},
    pollers, spread,
    store::Store,
};

/// Time between two looks at the table service by an instance that polls it.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Time between two rounds of deleting old history.
const PRUNE_PERIOD: Duration = Duration::from_secs(60);
/// Time between two tries while nothing is in force yet.
const START_PERIOD: Duration = Duration::from_millis(200);
/// Time between two events that tell of a missing configuration.
const MISSING_PERIOD: Duration = Duration::from_secs(10);
/// Peers asked at the start.
const START_PEERS: usize = 5;
/// Most changes of one answer about history.
const HISTORY_PAGE: usize = 1000;
/// Changes read at once when catching up; more of them cost more than the whole tree.
const CATCH_UP_LIMIT: usize = 256;

/// Keeps the configuration of one instance.
///
/// Locks: `reading` or `asking` before `held`; `held` is never held over an await. The two are
/// apart so that a read that waits for a dead table service does not keep news of peers waiting.
pub struct Keeper {
    me: InstanceId,
    store: Store,
    peers: Arc<dyn PeerConfig>,
    timer: Timer,
    held: Mutex<Held>,
    reading: AsyncMutex<()>,
    asking: AsyncMutex<()>,
    attempts: AtomicU64,
    /// When an event last told that the table service is behind.
    told_behind: Mutex<Option<Moment>>,
    /// Rounds in which news of overrides are still told.
    news: AtomicU32,
}

/// What there is to spread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ToSpread {
    /// Some override is known.
    pub any: bool,
    /// Some override was learned a few rounds ago at most.
    pub fresh: bool,
}

impl Keeper {
    /// Makes a keeper that holds nothing yet.
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
        smol::future::zip(self.poll(), spread::run(&self)).await;
    }

    /// Looks at the table service for news, if this instance is one of those that do.
    async fn poll(&self) {
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
                let _ = self.store.prune(self.version()).await;
            }
        }
    }

    /// Turns overrides into accepted changes once the table service answers. Several instances
    /// try; the version that they saw lets one win, and the others find it done.
    async fn commit_overrides(&self) {
        let overridden = self.held.lock().overridden();
        for data_centre in overridden {
            let Some(change) = self.out_change(&data_centre) else {
                continue;
            };
            if let Ok(version) = self.change(change).await {
                emit(&Event::OverrideAccepted {
                    data_centre,
                    version,
                });
            }
        }
    }

    /// The change that takes a data centre out; `None` if it is out or gone.
    fn out_change(&self, data_centre: &DataCentreId) -> Option<Change> {
        let held = self.held.lock();
        let path = data_centre_path(data_centre);
        let mut node = held.whole().snapshot.nodes.get(&path)?.clone();
        if node.out == Some(true) {
            return None;
        }
        node.out = Some(true);
        let orders = held.overrides().list(self.timer.now());
        let order = orders.into_iter().find(|o| o.data_centre == *data_centre)?;
        Some(Change {
            seen: held.changed(&path),
            path,
            node: Some(node),
            who: order.who,
        })
    }

    /// Tells a peer of our overrides and takes its own; tells whether it answered.
    pub(crate) async fn exchange_with(&self, peer: &InstanceId) -> bool {
        let ours = self.overrides();
        let Some(theirs) = self.peers.exchange(peer, &ours).await else {
            return false;
        };
        self.take_overrides(&theirs);
        true
    }

    fn take_overrides(&self, orders: &[Override]) -> bool {
        let news = self.held.lock().take_overrides(orders, self.timer.now());
        for order in &news {
            emit(&Event::Overridden {
                data_centre: Arc::clone(&order.data_centre),
                out: order.out,
                who: Arc::clone(&order.who),
                seconds: order.left.as_secs(),
            });
        }
        if !news.is_empty() {
            self.news.store(spread::NEWS_ROUNDS, Ordering::Release);
        }
        !news.is_empty()
    }

    /// What the spreading of overrides needs to know: whether there are any, and whether some
    /// are news. Ends those whose time is up.
    pub(crate) fn to_spread(&self) -> ToSpread {
        let mut held = self.held.lock();
        held.expire_overrides(self.timer.now());
        ToSpread {
            any: !held.overrides().is_empty(),
            fresh: self.take_news_round(),
        }
    }

    fn take_news_round(&self) -> bool {
        let one_less = |rounds: u32| rounds.checked_sub(1);
        let taken = self
            .news
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, one_less);
        taken.is_ok()
    }

    /// Peers that are heard.
    pub(crate) fn peers(&self) -> Vec<InstanceId> {
        self.peers.peers()
    }

    /// The clock.
    pub(crate) const fn timer(&self) -> Timer {
        self.timer
    }

    /// Asks peers and the table service until one of them has a configuration.
    async fn start(&self) {
        let mut told: Option<Duration> = None;
        loop {
            // A service that is down may take its time; peers must not wait for it.
            let (from_store, ()) = smol::future::zip(self.catch_up(), self.ask_peers()).await;
            if self.held.lock().version().is_some() {
                return;
            }
            let now = self.timer.now();
            if told.is_none_or(|at| now.saturating_sub(at) >= MISSING_PERIOD) {
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
    async fn take_from(&self, peer: &InstanceId) -> bool {
        let version = self.held.lock().version();
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
    fn take(&self, update: Update) -> bool {
        let mut held = self.held.lock();
        let (fitted, news) = match update {
            Update::Changes(entries) => match held.take_changes(&entries) {
                Ok(news) => (held.version().is_some(), news),
                Err(_) => (false, true),
            },
            Update::Whole(snapshot, changed) => {
                (true, held.take_whole(Whole { snapshot, changed }))
            }
        };
        let version = held.version().unwrap_or(0);
        drop(held);
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
        let have = self.held.lock().version();
        let Some(have) = have else {
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
            if self.take(Update::Changes(entries)) && self.version() >= head.version {
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
        if told.is_none_or(|at| now.saturating_sub(at) >= MISSING_PERIOD) {
            *told = Some(now);
            emit(&Event::StoreBehind { store, here });
        }
        let reason = format!("version {store} is older than {here}, which is in force");
        PlatformError::Garbled {
            reason: reason.into(),
        }
    }

    async fn take_whole_from_store(&self) -> Result<(), PlatformError> {
        let whole = self.store.whole().await?;
        self.take(Update::Whole(whole.snapshot, whole.changed));
        Ok(())
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

    fn version(&self) -> ConfigVersion {
        self.held.lock().version().unwrap_or(0)
    }

    fn knows(&self, version: ConfigVersion) -> bool {
        self.held.lock().version().is_some_and(|v| v >= version)
    }

    /// Checks a change against what is in force and makes its entry.
    fn prepare(&self, change: &Change) -> Result<Entry, ChangeError> {
        let held = self.held.lock();
        let whole = held.whole();
        commit::seen(whole, change)?;
        commit::fits(whole, change).map_err(|faults| ChangeError::Invalid { faults })?;
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
impl Config for Keeper {
    fn current(&self) -> Option<Arc<Current>> {
        self.held.lock().current()
    }

    fn changed(&self, path: &str) -> Option<ConfigVersion> {
        self.held.lock().changed(path)
    }

    fn check(&self, change: &Change) -> Result<(), Vec<Fault>> {
        commit::fits(self.held.lock().whole(), change)
    }

    async fn change(&self, change: Change) -> Result<ConfigVersion, ChangeError> {
        for _ in 0..commit::attempts() {
            self.catch_up().await.map_err(|_| ChangeError::StoreDown)?;
            let entry = self.prepare(&change)?;
            let attempt = commit::attempt(&self.store, &self.timer, &entry).await?;
            if attempt == Attempt::Accepted {
                let version = entry.version;
                self.take(Update::Changes(vec![entry]));
                return Ok(version);
            }
            self.timer.sleep(pollers::jittered(START_PERIOD / 10)).await;
        }
        let now = self.changed(&change.path);
        Err(ChangeError::Conflict { now })
    }

    async fn history(&self, limit: usize) -> Result<Vec<Entry>, ChangeError> {
        let down = |_| ChangeError::StoreDown;
        let head = self.store.head().await.map_err(down)?;
        let limit = limit.min(HISTORY_PAGE);
        let after = head.version.saturating_sub(limit as u64);
        let mut entries = self.store.changes(after, limit).await.map_err(down)?;
        entries.reverse();
        Ok(entries)
    }

    async fn heard(&self, peer: &InstanceId, version: ConfigVersion) {
        if self.knows(version) {
            return;
        }
        let fetched = {
            // Many peers tell of the same version at once; one fetch is enough.
            let _one = self.asking.lock().await;
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

    async fn override_out(&self, order: OverrideOrder) -> Result<Told, OverrideError> {
        let order = {
            let held = self.held.lock();
            let base = held.version().ok_or(OverrideError::NotReady)?;
            let path = data_centre_path(&order.data_centre);
            if !held.whole().snapshot.nodes.contains_key(&path) {
                return Err(OverrideError::NoSuchDataCentre);
            }
            let number = held.overrides().next_number(&order.data_centre);
            // A withdrawal must outlive every copy of what it withdraws.
            let left = if order.out {
                order.within
            } else {
                OVERRIDE_LIMIT
            };
            Override {
                data_centre: order.data_centre,
                out: order.out,
                number,
                by: Arc::clone(&self.me),
                who: order.who,
                base,
                left: left.min(OVERRIDE_LIMIT),
            }
        };
        if !self.take_overrides(std::slice::from_ref(&order)) {
            return Err(OverrideError::NotTaken);
        }
        Ok(spread::tell(self, order).await)
    }

    fn overrides(&self) -> Vec<Override> {
        self.held.lock().overrides().list(self.timer.now())
    }

    fn exchange(&self, theirs: &[Override]) -> Vec<Override> {
        self.take_overrides(theirs);
        self.overrides()
    }
}
