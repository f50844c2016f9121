//! Randomised runs: operators race on several instances while the table service fails, peers are
//! cut off and instances restart.
//!
//! Longer runs: `PROPTEST_CASES=2000 cargo test --release -p config --test keeping random`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::common::{Deployment, PATIENCE, change, service, version};
use config::{
    ChangeError, Config, ConfigUpdater, HistoryEntry, OverrideOrder,
    overrides::MAX_OVERRIDE_DURATION,
};
use parking_lot::Mutex;
use proptest::prelude::*;
use stores::memory::Fault;
use timer::Timer;
use tree::{Node, Snapshot};

const INSTANCES: usize = 3;
/// The last one is a data centre.
const NODES: usize = 4;
const DATA_CENTRE: &str = "d";

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator changes or deletes a node as the instance shows it, or from memory.
    Change {
        instance: usize,
        node: usize,
        delete: bool,
        stale: bool,
    },
    Heard {
        instance: usize,
        peer: usize,
        ahead: u64,
    },
    /// An operator keeps the data centre out without the table service, or withdraws that.
    Override {
        instance: usize,
        out: bool,
    },
    Exchange {
        instance: usize,
        peer: usize,
    },
    CatchUp(usize),
    Restart(usize),
    Cut(usize),
    Heal,
    Faults(Fault, usize),
    Down(bool),
    Land,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(Fault::AnswerLost),
        Just(Fault::CommitLost),
        Just(Fault::Late),
        Just(Fault::Throttled),
    ];
    let any_change = (0..INSTANCES, 0..NODES, any::<bool>(), any::<bool>());
    prop_oneof![
        8 => any_change.prop_map(|(instance, node, delete, stale)| Step::Change {
            instance, node, delete, stale,
        }),
        4 => (0..INSTANCES, 0..INSTANCES, 0..3_u64).prop_map(|(instance, peer, ahead)| {
            Step::Heard { instance, peer, ahead }
        }),
        2 => (0..INSTANCES, any::<bool>())
            .prop_map(|(instance, out)| Step::Override { instance, out }),
        2 => (0..INSTANCES, 0..INSTANCES)
            .prop_map(|(instance, peer)| Step::Exchange { instance, peer }),
        2 => (0..INSTANCES).prop_map(Step::CatchUp),
        1 => (0..INSTANCES).prop_map(Step::Restart),
        1 => (0..INSTANCES).prop_map(Step::Cut),
        1 => Just(Step::Heal),
        2 => (fault, 1..3_usize).prop_map(|(fault, count)| Step::Faults(fault, count)),
        1 => any::<bool>().prop_map(Step::Down),
        2 => Just(Step::Land),
        2 => (0..30_u64).prop_map(Step::Wait),
    ]
}

fn path(node: usize) -> String {
    match node {
        3 => format!("/data-centres/{DATA_CENTRE}"),
        _ => format!("/services/s{node}"),
    }
}

fn content(node: usize, mark: u64) -> Option<Node> {
    match node {
        3 => Some(Node {
            out: Some(mark.is_multiple_of(2)),
            ..Node::default()
        }),
        _ => service(mark),
    }
}

/// What operators were told; each change carries a mark of its own.
#[derive(Default)]
struct OverrideReport {
    accepted: BTreeMap<u64, u64>,
    refused: BTreeSet<u64>,
}

struct Run {
    all: Deployment,
    updaters: Mutex<Vec<Arc<ConfigUpdater>>>,
    told: Mutex<OverrideReport>,
}

impl Run {
    fn updater(&self, instance: usize) -> Arc<ConfigUpdater> {
        self.updaters.lock()[instance].clone()
    }

    async fn operator(&self, instance: usize, node: usize, mark: u64, delete: bool, stale: bool) {
        let updater = self.updater(instance);
        let path = path(node);
        let seen = match stale {
            true => Some(1),
            false => updater.node_version(&path),
        };
        let content = if delete && seen.is_some() {
            None
        } else {
            content(node, mark)
        };
        let mut wanted = change(&path, content, seen);
        wanted.operator = mark.to_string().into();
        let result = updater.change(wanted).await;
        let mut told = self.told.lock();
        match result {
            Ok(version) => {
                told.accepted.insert(mark, version);
            }
            Err(ChangeError::Unknown) => {}
            Err(_) => {
                told.refused.insert(mark);
            }
        }
    }

    async fn step(self: &Arc<Self>, mark: u64, step: Step) -> Option<smol::Task<()>> {
        match step {
            Step::Change {
                instance,
                node,
                delete,
                stale,
            } => {
                let run = self.clone();
                let operator =
                    async move { run.operator(instance, node, mark, delete, stale).await };
                return Some(workers::spawn(operator));
            }
            Step::Heard {
                instance,
                peer,
                ahead,
            } => {
                let (updater, from, peer) = (self.updater(instance), peer, self.updater(peer));
                let heard = version(&peer).unwrap_or(0) + ahead;
                let name = format!("i{from}").into();
                return Some(workers::spawn(async move {
                    updater.receive_version(&name, heard).await
                }));
            }
            Step::Override { instance, out } => {
                let updater = self.updater(instance);
                let order = OverrideOrder {
                    data_centre: DATA_CENTRE.into(),
                    out,
                    duration: MAX_OVERRIDE_DURATION,
                    operator: "operator".into(),
                };
                // Without a configuration or the data centre in it, it is refused.
                let _ = updater.override_data_centre(order).await;
            }
            Step::Exchange { instance, peer } => {
                let (updater, peer) = (self.updater(instance), self.updater(peer));
                updater.exchange_overrides(&peer.overrides());
            }
            Step::CatchUp(instance) => {
                // During an outage it fails, and what is in force stays.
                let _ = self.updater(instance).catch_up().await;
            }
            Step::Restart(instance) => {
                let fresh = self.all.start(&format!("i{instance}"));
                self.updaters.lock()[instance] = fresh;
            }
            Step::Cut(instance) => self.all.links.cut(&format!("i{instance}")),
            Step::Heal => self.all.links.heal(),
            Step::Faults(fault, count) => self.all.table.add_faults(vec![fault; count]),
            Step::Down(down) => self.all.table.set_down(down),
            Step::Land => {
                self.all.table.apply_late_commits();
            }
            Step::Wait(ms) => Timer::new().sleep(Duration::from_millis(ms)).await,
        }
        None
    }
}

async fn play(steps: Vec<Step>) {
    let all = Deployment::default();
    let updaters = (0..INSTANCES)
        .map(|n| all.start(&format!("i{n}")))
        .collect();
    let run = Arc::new(Run {
        all,
        updaters: Mutex::new(updaters),
        told: Mutex::default(),
    });
    let mut tasks = Vec::new();
    for (mark, step) in (1..).zip(steps) {
        tasks.extend(run.step(mark, step).await);
    }
    run.all.table.set_down(false);
    run.all.table.clear_faults();
    run.all.links.heal();
    for task in tasks {
        let ended = Timer::new().within(PATIENCE, task).await;
        assert!(ended.is_some(), "a change or a fetch hangs");
    }
    run.all.table.apply_late_commits();
    check(&run).await;
}

/// Everybody has the same, and it is what operators were told.
async fn check(run: &Run) {
    let updaters = run.updaters.lock().clone();
    let history = updaters[0].history(1000).await.expect("the table is up");
    let mut expected = Snapshot::default();
    for entry in history.iter().rev() {
        assert_eq!(
            entry.version,
            expected.version + 1,
            "the versions have a gap"
        );
        expected.write(&entry.change.path, entry.change.node.as_ref());
        expected.version = entry.version;
    }
    for updater in &updaters {
        updater.catch_up().await.expect("the table is up");
        let current = updater.current().expect("it is in force");
        assert_eq!(current.snapshot, expected);
    }
    check_told(&run.told.lock(), &history);
    check_overrides(&updaters, &expected);
}

/// All agree on the data centre, and no override stands against a later accepted change.
fn check_overrides(updaters: &[Arc<ConfigUpdater>], accepted: &Snapshot) {
    for updater in updaters {
        for peer in updaters {
            updater.exchange_overrides(&peer.overrides());
        }
    }
    for updater in updaters {
        updater.exchange_overrides(&updaters[0].overrides());
    }
    let path = format!("/data-centres/{DATA_CENTRE}");
    let written = accepted.nodes.get(&*path).and_then(|node| node.out);
    let orders = updaters[0].overrides();
    let order = orders.first();
    let overridden = order.is_some_and(|order| {
        let changed = updaters[0].node_version(&path);
        order.out && changed.is_some_and(|version| version <= order.base_version)
    });
    for updater in updaters {
        let current = updater.current().expect("it is in force");
        let out = !current.effective.data_centres_out().is_empty();
        assert_eq!(out, written == Some(true) || overridden, "{orders:?}");
    }
}

fn check_told(told: &OverrideReport, history: &[HistoryEntry]) {
    let mark = |entry: &HistoryEntry| entry.change.operator.parse::<u64>().unwrap_or(0);
    let marks: Vec<u64> = history.iter().map(mark).collect();
    let unique: BTreeSet<u64> = marks.iter().copied().collect();
    assert_eq!(unique.len(), marks.len(), "a change was accepted twice");
    for (mark, version) in &told.accepted {
        let found = history
            .iter()
            .find(|e| e.change.operator.parse() == Ok(*mark));
        let found = found.map(|e| e.version);
        assert_eq!(found, Some(*version), "an accepted change is not there");
    }
    for mark in &told.refused {
        assert!(
            !unique.contains(mark),
            "a refused change {mark} is in force"
        );
    }
}

proptest! {
    // An operator would notice an accepted change that is missing, a refused one that is in
    // force, or instances that differ. That a version never goes back is asserted inside.
    #[test]
    fn accepted_changes_are_in_force_everywhere_and_no_others(
        steps in prop::collection::vec(step(), 1..50),
    ) {
        smol::block_on(play(steps));
    }
}
