//! The tree's shape.
//!
//! Paths: `/`, `/data-centres/D`, `/services/S`, `/services/S/routes/R`, `/workspaces/W`,
//! `/workspaces/W/routes/S/R`. A value in force for workspace W on route R of service S is the
//! last one written along `/`, `/services/S`, `/services/S/routes/R`, `/workspaces/W`,
//! `/workspaces/W/routes/S/R`.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use types::{Class, ConfigVersion, DataCentreId, RouteId, ServiceId, ServiceKind, WorkspaceId};

/// Path of a node.
pub type NodePath = Arc<str>;

/// Values that a node may write; what it leaves out is inherited.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Knobs {
    /// Urgency of requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<Class>,
    /// Time a caller waits for the whole answer of a plain call, or the first token.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The most tokens an answer may have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_output: Option<u64>,
    /// Whether plain calls may be repeated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Requests of a workspace in flight at one instance at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
    /// Asks that may wait at an owner for one shard.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_limit: Option<u32>,
    /// Concurrent requests that a target in cold start bears.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_limit: Option<u32>,
    /// Concurrent requests that a warm target bears at most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub warm_limit: Option<u32>,
    /// Finished requests after which a cold target counts as warm.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub warm_after: Option<u32>,
    /// Tokens of an engine's memory where it reports none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<u64>,
    /// Retries per 100 requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_percent: Option<u32>,
}

/// One node as written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Node {
    /// Values for this node and below.
    pub knobs: Knobs,
    /// Services only: what the targets are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<ServiceKind>,
    /// Services only: name of the model that callers give; the service's name by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<Arc<str>>,
    /// Routes of plain services only: HTTP method, any by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<Arc<str>>,
    /// Routes of plain services only: path prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<Arc<str>>,
    /// Workspaces only: SHA-256 of each bearer key, in hexadecimal.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub key_hashes: Vec<Arc<str>>,
    /// Data centres only: taken out by operators.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub out: Option<bool>,
}

/// The whole tree at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Snapshot {
    /// Grows by one with each accepted change; 0 before the first.
    pub version: ConfigVersion,
    /// All nodes as written.
    pub nodes: BTreeMap<NodePath, Node>,
}

/// What holds for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The service.
    pub service: ServiceId,
    /// What its targets are.
    pub kind: ServiceKind,
    /// The route.
    pub route: RouteId,
    /// The values in force, every one filled in.
    pub knobs: Knobs,
}

/// A snapshot made ready for look-ups on the path of requests.
pub trait EffectiveConfig: Send + Sync {
    /// The version.
    fn version(&self) -> ConfigVersion;

    /// The workspace whose bearer key hashes to `hash` (hexadecimal SHA-256); compared in
    /// constant time.
    fn workspace(&self, hash: &str) -> Option<WorkspaceId>;

    /// What holds for a generation by this workspace; `route` names a route of the service,
    /// `default` if the caller names none.
    fn model(&self, workspace: &WorkspaceId, model: &str, route: &str) -> Option<RouteRule>;

    /// What holds for a plain call by this workspace: the longest path prefix wins.
    fn plain(&self, workspace: &WorkspaceId, method: &str, path: &str) -> Option<RouteRule>;

    /// Values in force for a service as a whole.
    fn service(&self, service: &ServiceId) -> Option<RouteRule>;

    /// All services.
    fn services(&self) -> Vec<ServiceId>;

    /// Data centres that operators have taken out.
    fn data_centres_out(&self) -> Vec<DataCentreId>;
}
