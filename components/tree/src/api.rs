//! Types of the configuration tree.
//!
//! Paths: `/`, `/data-centres/D`, `/services/S`, `/services/S/routes/R`, `/workspaces/W`,
//! `/workspaces/W/routes/S/R`. The effective value for workspace W on route R of service S is the
//! last one set along `/`, `/services/S`, `/services/S/routes/R`, `/workspaces/W`,
//! `/workspaces/W/routes/S/R`.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use types::{Class, ConfigVersion, DataCentreId, RouteId, ServiceId, ServiceKind, WorkspaceId};

/// Path of a node.
pub type NodePath = Arc<str>;

/// Values that a node may set; values that it omits are inherited.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Knobs {
    /// Urgency of requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// Time that a caller waits for the complete answer of a plain call, or for the first token of
    /// a generation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Maximum tokens of an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_output: Option<u64>,
    /// Whether plain calls may be retried.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Maximum requests of a workspace in flight at one instance.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
    /// Maximum permit requests that wait at an owner for one shard.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_limit: Option<u32>,
    /// Maximum concurrent requests of a target in cold start.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_limit: Option<u32>,
    /// Maximum concurrent requests of a warm target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub warm_limit: Option<u32>,
    /// Finished requests after which a cold target counts as warm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub warm_after: Option<u32>,
    /// Memory of an engine in tokens, if the engine reports none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<u64>,
    /// Retries per 100 requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_percent: Option<u32>,
}

/// One node of the tree, as operators set it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Node {
    /// Values for this node and the nodes that inherit from it.
    pub knobs: Knobs,
    /// Services only: kind of the targets.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<ServiceKind>,
    /// Services only: model name that callers use; by default the name of the service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<Arc<str>>,
    /// Routes of plain services only: HTTP method; any method by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<Arc<str>>,
    /// Routes of plain services only: path prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<Arc<str>>,
    /// Workspaces only: SHA-256 of each bearer key, in hexadecimal.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub key_hashes: Vec<Arc<str>>,
    /// Data centres only: whether operators have taken the data centre out of service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub out: Option<bool>,
}

/// The full tree at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Snapshot {
    /// Increases by one with each accepted change; 0 before the first change.
    pub version: ConfigVersion,
    /// All nodes, as operators set them.
    pub nodes: BTreeMap<NodePath, Node>,
}

/// The effective configuration for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The service that serves the request.
    pub service: ServiceId,
    /// Kind of the targets of the service.
    pub kind: ServiceKind,
    /// The route of the service.
    pub route: RouteId,
    /// The effective values; every one is set.
    pub knobs: Knobs,
}

/// A snapshot indexed for look-ups on the request path.
pub trait EffectiveConfig: Send + Sync {
    /// The version of the snapshot.
    fn version(&self) -> ConfigVersion;

    /// The workspace with a bearer key whose SHA-256 hash is `hash` (hexadecimal). The comparison
    /// takes constant time.
    fn workspace(&self, hash: &str) -> Option<WorkspaceId>;

    /// The rule for a generation of this workspace. `route` is a route of the service, `default` if
    /// the caller names none; `None` if the workspace, model or route does not exist.
    fn model(&self, workspace: &WorkspaceId, model: &str, route: &str) -> Option<RouteRule>;

    /// The rule for a plain call of this workspace; the longest matching path prefix wins.
    fn plain(&self, workspace: &WorkspaceId, method: &str, path: &str) -> Option<RouteRule>;

    /// The rule for a service as a whole, without the values of a route or workspace.
    fn service(&self, service: &ServiceId) -> Option<RouteRule>;

    /// All services, sorted by name.
    fn services(&self) -> Vec<ServiceId>;

    /// Data centres that operators have taken out of service.
    fn data_centres_out(&self) -> Vec<DataCentreId>;
}
