//! Shared helpers of the tests with real processes.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{Mutex, MutexGuard, PoisonError},
};

use bench::{
    deployment::{Deployment, Plan},
    plan::DEFAULT_SHUTDOWN_SECONDS,
    process::Programs,
};
use settings::Strategy;
use tree::{Knobs, Node};
use types::ServiceKind;

/// The binaries that cargo has built for these tests.
pub fn programs() -> Programs {
    Programs {
        celerystand: PathBuf::from(env!("CARGO_BIN_EXE_celerystand")),
        standin: PathBuf::from(env!("CARGO_BIN_EXE_celerystand-standin")),
    }
}

/// Three instances with three engines and three plain services in three data centres.
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
        shutdown_seconds: DEFAULT_SHUTDOWN_SECONDS,
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

/// A deployment and the lock that allows it. Only one deployment of a test binary runs at a time:
/// another one that starts at the same time could take a port on which this one is about to listen.
pub struct TestDeployment {
    /// The deployment.
    pub deployment: Deployment,
    // Released after the deployment is dropped: fields are dropped in the order of their
    // declaration.
    _lock: MutexGuard<'static, ()>,
}

static DEPLOYMENT_LOCK: Mutex<()> = Mutex::new(());

/// Starts a deployment; panics with the reason if it can't be started.
pub fn start(plan: &Plan) -> TestDeployment {
    // A panic of an earlier test poisons the lock but does not affect this one.
    let lock = DEPLOYMENT_LOCK
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    match smol::block_on(Deployment::start(programs(), plan, Strategy::Owner, None)) {
        Ok(deployment) => TestDeployment {
            deployment,
            _lock: lock,
        },
        Err(error) => panic!("the deployment did not start: {error}"),
    }
}
