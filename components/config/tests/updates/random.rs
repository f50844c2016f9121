//! Random runs: operators race on several instances while the table service fails, peers are cut
//! off and instances restart.
//!
//! Longer runs: `PROPTEST_CASES=2000 cargo test --release -p config --test updates random`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::common::{Deployment, TIMEOUT, change, service, version};
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
/// Number of nodes; the last one is a data centre.
const NODES: usize = 4;
const DATA_CENTRE: &str = "d";

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator changes or deletes a node, based on the version that the instance shows or on a
    /// stale one.
    Change {
        instance: usize,
        node: usize,
        delete: bool,
        stale: bool,
    },
    VersionAnnounced {
        instance: usize,
        peer: usize,
        versions_ahead: u64,
    },
    /// An operator takes the data centre out without the table service, or withdraws the override.
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
    ApplyLateCommits,
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
        4 => (0..INSTANCES, 0..INSTANCES, 0..3_u64).prop_map(|(instance, peer, versions_ahead)| {
            Step::VersionAnnounced { instance, peer, versions_ahead }
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
        2 => Just(Step::ApplyLateCommits),
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

/// The results that operators received; each change is identified by a mark.
#[derive(Default)]
struct OperatorResults {
    accepted: BTreeMap<u64, u64>,
    refused: BTreeSet<u64>,
}

struct Run {
    deployment: Deployment,
    updaters: Mutex<Vec<Arc<ConfigUpdater>>>,
    results: Mutex<OperatorResults>,
}

impl Run {
    fn updater(&self, instance: usize) -> Arc<ConfigUpdater> {
        self.updaters.lock()[instance].clone()
    }

    async fn operator(&self, instance: usize, node: usize, mark: u64, delete: bool, stale: bool) {
        let updater = self.updater(instance);
        let path = path(node);
        let expected_version = match stale {
            true => Some(1),
            false => updater.node_version(&path),
        };
        let content = if delete && expected_version.is_some() {
            None
        } else {
            content(node, mark)
        };
        let mut wanted = change(&path, content, expected_version);
        wanted.operator = mark.to_string().into();
        let result = updater.change(wanted).await;
        let mut results = self.results.lock();
        match result {
            Ok(version) => {
                results.accepted.insert(mark, version);
            }
            Err(ChangeError::Unknown) => {}
            Err(_) => {
                results.refused.insert(mark);
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
            Step::VersionAnnounced {
                instance,
                peer,
                versions_ahead,
            } => {
                let (updater, from, peer) = (self.updater(instance), peer, self.updater(peer));
                let version = version(&peer).unwrap_or(0) + versions_ahead;
                let name = format!("i{from}").into();
                return Some(workers::spawn(async move {
                    updater.receive_version(&name, version).await
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
                // Rejected if the instance has no configuration or the data centre is not in it.
                let _ = updater.override_data_centre(order).await;
            }
            Step::Exchange { instance, peer } => {
                let (updater, peer) = (self.updater(instance), self.updater(peer));
                updater.exchange_overrides(&peer.overrides());
            }
            Step::CatchUp(instance) => {
                // Fails during an outage; the configuration in effect is kept.
                let _ = self.updater(instance).catch_up().await;
            }
            Step::Restart(instance) => {
                let fresh = self.deployment.start(&format!("i{instance}"));
                self.updaters.lock()[instance] = fresh;
            }
            Step::Cut(instance) => self.deployment.links.cut(&format!("i{instance}")),
            Step::Heal => self.deployment.links.heal(),
            Step::Faults(fault, count) => self.deployment.table.add_faults(vec![fault; count]),
            Step::Down(down) => self.deployment.table.set_down(down),
            Step::ApplyLateCommits => {
                self.deployment.table.apply_late_commits();
            }
            Step::Wait(ms) => Timer::new().sleep(Duration::from_millis(ms)).await,
        }
        None
    }
}

async fn run_steps(steps: Vec<Step>) {
    let deployment = Deployment::default();
    let updaters = (0..INSTANCES)
        .map(|n| deployment.start(&format!("i{n}")))
        .collect();
    let run = Arc::new(Run {
        deployment,
        updaters: Mutex::new(updaters),
        results: Mutex::default(),
    });
    let mut tasks = Vec::new();
    for (mark, step) in (1..).zip(steps) {
        tasks.extend(run.step(mark, step).await);
    }
    run.deployment.table.set_down(false);
    run.deployment.table.clear_faults();
    run.deployment.links.heal();
    for task in tasks {
        let ended = Timer::new().within(TIMEOUT, task).await;
        assert!(ended.is_some(), "a change or a fetch hangs");
    }
    run.deployment.table.apply_late_commits();
    check(&run).await;
}

/// Checks that all instances have the same configuration and that it matches the results that
/// operators received.
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
        let current = updater.current().expect("a configuration is loaded");
        assert_eq!(current.snapshot, expected);
    }
    check_results(&run.results.lock(), &history);
    check_overrides(&updaters, &expected);
}

/// Checks that all instances agree on the data centre and that no override outlasts a later
/// accepted change.
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
    let is_overridden = order.is_some_and(|order| {
        let changed = updaters[0].node_version(&path);
        order.out && changed.is_some_and(|version| version <= order.base_version)
    });
    for updater in updaters {
        let current = updater.current().expect("a configuration is loaded");
        let out = !current.effective.data_centres_out().is_empty();
        assert_eq!(out, written == Some(true) || is_overridden, "{orders:?}");
    }
}

fn check_results(results: &OperatorResults, history: &[HistoryEntry]) {
    let mark = |entry: &HistoryEntry| entry.change.operator.parse::<u64>().unwrap_or(0);
    let marks: Vec<u64> = history.iter().map(mark).collect();
    let unique: BTreeSet<u64> = marks.iter().copied().collect();
    assert_eq!(unique.len(), marks.len(), "a change was accepted twice");
    for (mark, version) in &results.accepted {
        let found = history
            .iter()
            .find(|e| e.change.operator.parse() == Ok(*mark));
        let found = found.map(|e| e.version);
        assert_eq!(found, Some(*version), "an accepted change is missing");
    }
    for mark in &results.refused {
        assert!(
            !unique.contains(mark),
            "a refused change {mark} is in effect"
        );
    }
}

proptest! {
    // An accepted change must not get lost, a rejected one must not take effect, and instances must
    // not differ. An assertion in the cache checks that a version never decreases.
    #[test]
    fn exactly_the_accepted_changes_are_in_effect_everywhere(
        steps in prop::collection::vec(step(), 1..50),
    ) {
        smol::block_on(run_steps(steps));
    }
}
