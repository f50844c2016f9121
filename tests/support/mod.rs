//! What the tests with real processes share.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bench::{
    deployment::{Deployment, Plan},
    process::Programs,
};
use settings::Strategy;
use tree::{Knobs, Node};
use types::ServiceKind;

/// The programs that cargo has built for these tests.
pub fn programs() -> Programs {
    Programs {
        celerystand: PathBuf::from(env!("CARGO_BIN_EXE_celerystand")),
        standin: PathBuf::from(env!("CARGO_BIN_EXE_celerystand-standin")),
    }
}

/// Three instances before three engines and three plain services in three data centres.
pub fn plan() -> Plan {
    Plan {
        data_centres: ["dc-1", "dc-2", "dc-3"].map(String::from).to_vec(),
        instances: 3,
        workers: 2,
        model: "catalogue".into(),
        engines: 3,
        engine: standins::engine::EngineSettings::default(),
        service: "viewer".into(),
        replicas: 3,
        replica: standins::service::ServiceSettings::default(),
        platform: standins::platform::Faults::default(),
        tree: tree(),
        workspaces: vec!["editors".into(), "viewers".into()],
    }
}

fn tree() -> BTreeMap<tree::NodePath, Node> {
    let model = Node {
        kind: Some(ServiceKind::Model),
        ..Node::default()
    };
    let plain = Node {
        kind: Some(ServiceKind::Plain),
        ..Node::default()
    };
    let lookups = Node {
        method: Some("GET".into()),
        path: Some("/titles".into()),
        ..Node::default()
    };
    let saves = Node {
        method: Some("POST".into()),
        path: Some("/watchlist".into()),
        knobs: Knobs {
            idempotent: Some(false),
            ..Knobs::default()
        },
        ..Node::default()
    };
    [
        ("/", Node::default()),
        ("/services/catalogue", model),
        ("/services/viewer", plain),
        ("/services/viewer/routes/lookups", lookups),
        ("/services/viewer/routes/saves", saves),
    ]
    .into_iter()
    .map(|(path, node)| (path.into(), node))
    .collect()
}

/// A deployment, and the turn to have one. Deployments of one test program take turns: another
/// that starts at the same time may take a port that this one is about to listen on.
pub struct Setting {
    /// The deployment.
    pub deployment: Deployment,
    // Given back after the deployment has gone, for fields are dropped in this order.
    _turn: MutexGuard<'static, ()>,
}

static TURN: Mutex<()> = Mutex::new(());

/// Starts a deployment; the test fails with the reason if it can't be started.
pub fn start(plan: &Plan) -> Setting {
    // A test that failed before says nothing about this one.
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    match smol::block_on(Deployment::start(programs(), plan, Strategy::Owner, None)) {
        Ok(deployment) => Setting {
            deployment,
            _turn: turn,
        },
        Err(error) => panic!("the deployment did not start: {error}"),
    }
}
