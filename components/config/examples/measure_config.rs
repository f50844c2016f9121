//! Measures the memory and time that the configuration costs an instance: `cargo run --release -p
//! config --example measure_config`. Prints the slopes used on the capacity page.

use std::{
    collections::BTreeMap,
    fs,
    sync::{Arc, Weak},
    time::{Duration, Instant, SystemTime},
};

use async_trait::async_trait;
use config::{
    Change, Config, ConfigUpdater, HistoryEntry, Override, OverrideOrder, PeerConfig, Update,
    cache::{ConfigCache, VersionedTree},
};
use parking_lot::Mutex;
use stores::MemoryTable;
use timer::Timer;
use tree::{EffectiveConfig, Knobs, Node, Rules, Snapshot};
use types::{ConfigVersion, InstanceId};

/// Look-ups timed for each size.
const LOOKUPS: u32 = 100_000;
/// Changes timed for each size.
const CHANGES: u64 = 20;

fn main() {
    for workspaces in [10, 480, 4800] {
        measure_tree(workspaces);
    }
    for instances in [9, 200, 2100] {
        measure_gossip(instances);
    }
}

/// Ten routes of its own for each workspace, 29 services with four routes each.
fn snapshot(workspaces: usize) -> Snapshot {
    let knobs = Knobs {
        max_output: Some(1000),
        ..Knobs::default()
    };
    let node = Node {
        knobs,
        ..Node::default()
    };
    let mut nodes = BTreeMap::new();
    for service in 0..29 {
        nodes.insert(format!("/services/s{service}").into(), node.clone());
        for route in 0..4 {
            let path = format!("/services/s{service}/routes/r{route}");
            nodes.insert(path.into(), node.clone());
        }
    }
    for workspace in 0..workspaces {
        let mut own = node.clone();
        own.key_hashes = vec![key_hash(workspace).into()];
        nodes.insert(format!("/workspaces/w{workspace}").into(), own);
        for route in 0..10 {
            let path = format!("/workspaces/w{workspace}/routes/s{route}/r0");
            nodes.insert(path.into(), node.clone());
        }
    }
    Snapshot { version: 1, nodes }
}

/// Random hashes, distributed like those of real keys.
fn key_hash(workspace: usize) -> String {
    let mut rng = fastrand::Rng::with_seed(workspace as u64);
    (0..64).map(|_| rng.digit(16)).collect()
}

fn measure_tree(workspaces: usize) {
    let snapshot = snapshot(workspaces);
    let count = snapshot.nodes.len();
    let node_versions = snapshot.nodes.keys().map(|p| (p.clone(), 1)).collect();
    let tree = VersionedTree {
        snapshot,
        node_versions,
    };
    let update = Update::Full(tree.snapshot.clone(), tree.node_versions.clone());
    let full_bytes = serde_json::to_string(&update).map_or(0, |text| text.len());
    let before = resident();
    let mut cache = ConfigCache::default();
    cache.replace_tree(tree);
    let memory = resident().saturating_sub(before);

    let start = Instant::now();
    let mut bytes = 0;
    for version in 2..2 + CHANGES {
        let entry = entry(version);
        let update = Update::Changes(vec![entry.clone()]);
        bytes = serde_json::to_string(&update).map_or(0, |text| text.len());
        let result = cache.apply_changes(&[entry]);
        assert_eq!(result, Ok(true), "the change applies");
    }
    let apply = start.elapsed() / u32::try_from(CHANGES).unwrap_or(1);

    let start = Instant::now();
    let faults = tree::check(&cache.tree().snapshot);
    let check = start.elapsed();
    assert_eq!(faults, [], "the tree is valid");

    let rules = Rules::new(&cache.tree().snapshot);
    let (own, hash) = ("w7".into(), key_hash(7));
    let start = Instant::now();
    for _ in 0..LOOKUPS {
        let found = rules.workspace(&hash).and(rules.model(&own, "s3", "r0"));
        assert!(found.is_some(), "the route exists");
    }
    let lookup = start.elapsed() / LOOKUPS;
    println!(
        "{count} nodes: {} KB held, a change applied in {apply:?}, a tree checked in {check:?}, \
         a look-up {lookup:?}, a change {bytes} bytes, the whole {} KB",
        memory / 1024,
        full_bytes / 1024,
    );
}

fn entry(version: ConfigVersion) -> HistoryEntry {
    HistoryEntry {
        version,
        at: SystemTime::now(),
        change: Change {
            path: "/services/s3".into(),
            node: Some(Node::default()),
            expected_version: Some(version - 1),
            operator: "operator".into(),
        },
        id: "instance-17a5b3c2-0".into(),
    }
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1024
}

#[derive(Default)]
struct Links {
    updaters: Mutex<BTreeMap<InstanceId, Weak<ConfigUpdater>>>,
    names: Mutex<Vec<InstanceId>>,
    messages: Mutex<usize>,
}

struct Peers {
    me: InstanceId,
    links: Arc<Links>,
}

#[async_trait]
impl PeerConfig for Peers {
    async fn fetch(&self, peer: &InstanceId, version: ConfigVersion) -> Option<Update> {
        let updater = self.links.updaters.lock().get(peer)?.upgrade()?;
        Some(updater.since(version))
    }

    async fn exchange_overrides(
        &self,
        peer: &InstanceId,
        ours: &[Override],
    ) -> Option<Vec<Override>> {
        *self.links.messages.lock() += 1;
        // Round trip between data centres.
        Timer::new().sleep(Duration::from_millis(3)).await;
        let updater = self.links.updaters.lock().get(peer)?.upgrade()?;
        Some(updater.exchange_overrides(ours))
    }

    fn peers(&self) -> Vec<InstanceId> {
        let names = self.links.names.lock();
        names.iter().filter(|n| **n != self.me).cloned().collect()
    }
}

/// Waits until all instances have started and a second passes without a message.
async fn until_idle(links: &Links, timer: Timer) {
    loop {
        timer.sleep(Duration::from_secs(1)).await;
        if std::mem::take(&mut *links.messages.lock()) == 0 {
            return;
        }
    }
}

/// Measures the time until every one of `instances` instances in this process knows an override.
fn measure_gossip(instances: usize) {
    let table = Arc::new(MemoryTable::new());
    let links = Arc::new(Links::default());
    let timer = Timer::new();
    let mut updaters = Vec::new();
    for number in 0..instances {
        let me: InstanceId = format!("i{number}").into();
        let peers = Peers {
            me: me.clone(),
            links: links.clone(),
        };
        let updater = ConfigUpdater::new(me.clone(), table.clone(), Arc::new(peers), timer);
        let weak = Arc::downgrade(&updater);
        links.updaters.lock().insert(me.clone(), weak);
        links.names.lock().push(me);
        updaters.push(updater);
    }
    smol::block_on(async {
        updaters[0].catch_up().await.expect("the table is up");
        let added = updaters[0].change(Change {
            path: "/data-centres/d".into(),
            node: Some(Node::default()),
            expected_version: None,
            operator: "operator".into(),
        });
        added.await.expect("it is accepted");
        for updater in &updaters {
            updater.catch_up().await.expect("the table is up");
        }
        table.set_down(true);
        let tasks: Vec<_> = updaters
            .iter()
            .map(|updater| workers::spawn(Arc::clone(updater).run()))
            .collect();
        until_idle(&links, timer).await;
        let start = Instant::now();
        let report = updaters[0].override_data_centre(OverrideOrder {
            data_centre: "d".into(),
            out: true,
            duration: Duration::from_secs(600),
            operator: "operator".into(),
        });
        let report = report.await.expect("the override is accepted");
        let answered = start.elapsed();
        while updaters
            .iter()
            .any(|updater| updater.overrides().is_empty())
        {
            timer.sleep(Duration::from_millis(10)).await;
        }
        println!(
            "{instances} instances: the operator's answer in {answered:?} with {} names, known to \
             all in {:?} with {} messages",
            report.accepted_by.len(),
            start.elapsed(),
            links.messages.lock(),
        );
        drop(tasks);
    });
}
