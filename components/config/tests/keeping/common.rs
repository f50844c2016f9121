//! Instances that keep a configuration over one table in memory and ask each other.

use std::{
    collections::{BTreeMap, HashSet},
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use config::{Change, Config, Keeper, Override, PeerConfig, Update};
use parking_lot::Mutex;
use stores::MemoryTable;
use timer::Timer;
use tree::{Knobs, Node};
use types::{ConfigVersion, InstanceId};

/// Longest wait for anything that has to happen.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Who reaches whom.
#[derive(Default)]
pub struct Links {
    keepers: Mutex<BTreeMap<InstanceId, Weak<Keeper>>>,
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
        let keeper = self.links.keepers.lock().get(peer)?.upgrade()?;
        Some(keeper.since(version))
    }

    async fn exchange(&self, peer: &InstanceId, ours: &[Override]) -> Option<Vec<Override>> {
        if !self.links.reaches(&self.me, peer) {
            return None;
        }
        let keeper = self.links.keepers.lock().get(peer)?.upgrade()?;
        Some(keeper.exchange(ours))
    }

    fn peers(&self) -> Vec<InstanceId> {
        let keepers = self.links.keepers.lock();
        let others = keepers.keys().filter(|id| **id != self.me);
        let heard = others.filter(|id| self.links.reaches(&self.me, id));
        heard.cloned().collect()
    }
}

#[derive(Default)]
pub struct Deployment {
    pub table: Arc<MemoryTable>,
    pub links: Arc<Links>,
}

impl Deployment {
    /// Starts an instance in place of an earlier one of this name; `run` is up to the test.
    pub fn start(&self, name: &str) -> Arc<Keeper> {
        let me: InstanceId = name.into();
        let peers = Peers {
            me: me.clone(),
            links: self.links.clone(),
        };
        let keeper = Keeper::new(
            me.clone(),
            self.table.clone(),
            Arc::new(peers),
            Timer::new(),
        );
        let mut keepers = self.links.keepers.lock();
        keepers.insert(me, Arc::downgrade(&keeper));
        keeper
    }

    /// Starts an instance that comes up to date from the table service.
    pub async fn start_up_to_date(&self, name: &str) -> Arc<Keeper> {
        let keeper = self.start(name);
        keeper.catch_up().await.expect("the table is up");
        keeper
    }
}

pub fn version(keeper: &Keeper) -> Option<ConfigVersion> {
    keeper.current().map(|current| current.snapshot.version)
}

pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not within {PATIENCE:?}: {what}");
        Timer::new().sleep(Duration::from_millis(10)).await;
    }
}

/// A service with a deadline that tells which change wrote it.
pub fn service(mark: u64) -> Option<Node> {
    Some(Node {
        knobs: Knobs {
            deadline_ms: Some(mark),
            ..Knobs::default()
        },
        ..Node::default()
    })
}

pub fn change(path: &str, node: Option<Node>, seen: Option<ConfigVersion>) -> Change {
    Change {
        path: path.into(),
        node,
        seen,
        who: "operator".into(),
    }
}
