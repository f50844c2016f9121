//! What a deployment is made of, and the settings of its instances.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use settings::{Admin, Instance, Limits, Log, Peers, Platform, Settings, Strategy};
use sha2::{Digest, Sha256};
use standins::{engine::EngineSettings, platform, service::ServiceSettings};
use tree::{Node, NodePath};

use crate::process::free_addr;

/// Key of the operator.
pub const OPERATOR_KEY: &str = "operator-key-of-the-bench";
/// Seconds from the order to stop an instance until it would be killed, if a plan names none.
pub const DEFAULT_SHUTDOWN_SECONDS: u64 = 120;
/// Key between instances.
const PEER_KEY: &str = "peer-key-of-the-bench";

/// What a deployment is made of.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// The data centres; everything is spread over them in turn.
    pub data_centres: Vec<String>,
    /// Number of instances.
    pub instances: usize,
    /// Worker threads of each instance.
    pub workers: usize,
    /// Name of the model's service.
    pub model: String,
    /// Number of engines.
    pub engines: usize,
    /// Their settings.
    #[serde(default)]
    pub engine: EngineSettings,
    /// Name of the plain service.
    pub service: String,
    /// Number of its targets.
    pub replicas: usize,
    /// Their settings.
    #[serde(default)]
    pub replica: ServiceSettings,
    /// Faults and rates of the platform.
    #[serde(default)]
    pub platform: platform::Faults,
    /// The configuration tree; `/data-centres/...` and `/workspaces/W` keys are added.
    #[serde(default)]
    pub tree: BTreeMap<NodePath, Node>,
    /// Seconds from the order to stop an instance until it would be killed.
    #[serde(default = "default_shutdown_seconds")]
    pub shutdown_seconds: u64,
    /// Workspaces; the bearer key of workspace `w` is `key-w`.
    pub workspaces: Vec<String>,
}

/// Time for the longest streams of the scenarios.
fn default_shutdown_seconds() -> u64 {
    DEFAULT_SHUTDOWN_SECONDS
}

/// The bearer key of a workspace.
#[must_use]
pub fn key_of(workspace: &str) -> String {
    format!("key-{workspace}")
}

impl Plan {
    /// The configuration tree with all that is added to it.
    #[must_use]
    pub fn nodes(&self) -> BTreeMap<NodePath, Node> {
        let mut nodes = self.tree.clone();
        nodes.entry("/".into()).or_default();
        for zone in &self.data_centres {
            let path = format!("/data-centres/{zone}");
            nodes.entry(path.into()).or_default();
        }
        for workspace in &self.workspaces {
            let path = format!("/workspaces/{workspace}");
            let node = nodes.entry(path.into()).or_default();
            node.key_hashes.push(sha256(&key_of(workspace)));
        }
        nodes
    }

    /// The data centre of an instance or target.
    #[must_use]
    pub fn zone(&self, number: usize) -> String {
        self.data_centres[number % self.data_centres.len()].clone()
    }

    /// Settings of an instance, with ports that are free at present.
    ///
    /// # Errors
    /// Passes on why there are no ports.
    pub fn settings(
        &self,
        strategy: Strategy,
        number: usize,
        platform: SocketAddr,
    ) -> io::Result<Settings> {
        let name = format!("i{number}");
        let platform: Arc<str> = format!("http://{platform}").into();
        Ok(Settings {
            instance: Instance {
                id: name.as_str().into(),
                data_centre: self.zone(number).into(),
                listen: free_addr()?,
                admin: free_addr()?,
                peer: free_addr()?,
                workers: Some(self.workers),
                strategy,
            },
            platform: Platform {
                table: Arc::clone(&platform),
                objects: Arc::clone(&platform),
                directory: platform,
                // The platform tells instances apart by it, so that it can cut off one of them.
                token: Some(name.as_str().into()),
            },
            peers: Peers {
                key: PEER_KEY.into(),
                heartbeat_ms: 200,
            },
            admin: Admin {
                key_hashes: vec![sha256(OPERATOR_KEY)],
            },
            limits: Limits {
                drain_grace_seconds: 1,
                shutdown_seconds: self.shutdown_seconds,
                ..Limits::default()
            },
            log: Log::default(),
        })
    }
}

fn sha256(text: &str) -> Arc<str> {
    let digest = Sha256::digest(text.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hex.into()
}
