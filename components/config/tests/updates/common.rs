//! Instances that share one table in memory and query each other.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use config::{Change, Config, ConfigUpdater, Override, PeerConfig, Update};
use parking_lot::Mutex;
use stores::MemoryTable;
use timer::Timer;
use tree::{Knobs, Node};
use types::{ConfigVersion, InstanceId};

/// Longest wait for anything that has to happen.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Connections between instances.
#[derive(Default)]
pub struct Links {
    updaters: Mutex<BTreeMap<InstanceId, Weak<ConfigUpdater>>>,
    cut_off: Mutex<HashSet<InstanceId>>,
}

impl Links {
    pub fn cut(&self, name: &str) {
        self.cut_off.lock().insert(name.into());
    }

    pub fn heal(&self) {
        self.cut_off.lock().clear();
    }

    fn reaches(&self, from: &InstanceId, to: &InstanceId) -> bool {
        let cut_off = self.cut_off.lock();
        !cut_off.contains(from) && !cut_off.contains(to)
    }
}

struct Peers {
    me: InstanceId,
    links: Arc<Links>,
}

#[async_trait]
impl PeerConfig for Peers {
    async fn fetch(&self, peer: &InstanceId, version: ConfigVersion) -> Option<Update> {
        if !self.links.reaches(&self.me, peer) {
            return None;
        }
        let updater = self.links.updaters.lock().get(peer)?.upgrade()?;
        Some(updater.since(version))
    }

    async fn exchange_overrides(
        &self,
        peer: &InstanceId,
        ours: &[Override],
    ) -> Option<Vec<Override>> {
        if !self.links.reaches(&self.me, peer) {
            return None;
        }
        let updater = self.links.updaters.lock().get(peer)?.upgrade()?;
        Some(updater.exchange_overrides(ours))
    }

    fn peers(&self) -> Vec<InstanceId> {
        let updaters = self.links.updaters.lock();
        let others = updaters.keys().filter(|id| **id != self.me);
        let reachable = others.filter(|id| self.links.reaches(&self.me, id));
        reachable.cloned().collect()
    }
}

#[derive(Default)]
pub struct Deployment {
    pub table: Arc<MemoryTable>,
    pub links: Arc<Links>,
}

impl Deployment {
    /// Starts an instance, replacing an earlier one with this name; the test calls `run` if it
    /// needs it.
    pub fn start(&self, name: &str) -> Arc<ConfigUpdater> {
        let me: InstanceId = name.into();
        let peers = Peers {
            me: me.clone(),
            links: self.links.clone(),
        };
        let updater = ConfigUpdater::new(
            me.clone(),
            self.table.clone(),
            Arc::new(peers),
            Timer::new(),
        );
        let mut updaters = self.links.updaters.lock();
        updaters.insert(me, Arc::downgrade(&updater));
        updater
    }

    /// Starts an instance and updates it from the table service.
    pub async fn start_up_to_date(&self, name: &str) -> Arc<ConfigUpdater> {
        let updater = self.start(name);
        updater.catch_up().await.expect("the table is up");
        updater
    }
}

pub fn version(updater: &ConfigUpdater) -> Option<ConfigVersion> {
    updater.current().map(|current| current.snapshot.version)
}

pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "not within {TIMEOUT:?}: {what}");
        Timer::new().sleep(Duration::from_millis(10)).await;
    }
}

/// A service whose deadline identifies the change that wrote it.
pub fn service(mark: u64) -> Option<Node> {
    Some(Node {
        knobs: Knobs {
            deadline_ms: Some(mark),
            ..Knobs::default()
        },
        ..Node::default()
    })
}

pub fn change(path: &str, node: Option<Node>, expected_version: Option<ConfigVersion>) -> Change {
    Change {
        path: path.into(),
        node,
        expected_version,
        operator: "operator".into(),
    }
}
