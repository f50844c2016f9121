//! The messages of the API. `docs/admin-api.yml` describes them under their names as schemas, some
//! of which differ from the names of the types.

use std::{collections::BTreeMap, sync::Arc};

use config::Fault;
use serde::{Deserialize, Serialize};
use tree::{Node, NodePath, Origin};
use types::{ConfigVersion, DataCentreId, InstanceId};

/// The readiness of the instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ready {
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Why it doesn't, if so.
    pub reason: Option<Arc<str>>,
}

/// A summary of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Version of the program.
    pub program: Arc<str>,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Why it doesn't, if so.
    pub reason: Option<Arc<str>>,
    /// Version of the configuration in force; `None` before the first was found.
    pub config_version: Option<ConfigVersion>,
    /// Data centres that are out of service.
    pub out: Vec<DataCentreId>,
    /// Data centres that are kept out by an override that is not committed.
    pub overrides: Vec<OverrideView>,
}

/// An override that keeps a data centre out while the table service is unavailable.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OverrideView {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The operator.
    pub who: Arc<str>,
    /// Seconds until the override expires.
    pub seconds_left: u64,
}

/// A request to keep a data centre out for a limited time (schema `OverrideAsk`).
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideRequest {
    /// Duration in minutes, from 1 to 60.
    pub minutes: u32,
}

/// Which instances have applied an override (schema `Overridden`).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OverrideOutcome {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// `true` if the data centre is kept out, `false` if the override was withdrawn.
    pub out: bool,
    /// Seconds until the override expires.
    pub seconds_left: u64,
    /// Instances that have applied it.
    #[serde(rename = "taken")]
    pub accepted_by: Vec<InstanceId>,
    /// Instances that are alive but did not answer; the override is sent to them again.
    #[serde(rename = "missed")]
    pub unanswered_by: Vec<InstanceId>,
}

/// One node as written (schema `Written`).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WrittenNode {
    /// Path of the node.
    pub path: NodePath,
    /// Version of the last change of the node, which is also its `ETag`.
    pub version: Option<ConfigVersion>,
    /// Content of the node.
    pub node: Node,
}

/// The values in force at a path (schema `InForceValues`).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EffectiveValues {
    /// The path; there need not be a written node.
    pub path: NodePath,
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Each value with the node that sets it; a value that no node sets is the default.
    pub values: Vec<Origin>,
}

/// The tree, or a part of it, as one document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of the tree at the time of reading; ignored on writing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigVersion>,
    /// The nodes. On writing, nodes of the tree that are missing here stay as they are.
    pub nodes: BTreeMap<NodePath, Node>,
}

/// The outcome of writing a document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DocumentOutcome {
    /// Version in force after the last accepted change.
    pub version: ConfigVersion,
    /// Nodes that were written.
    pub written: Vec<NodePath>,
    /// Nodes that already had the same content.
    pub unchanged: Vec<NodePath>,
}

/// The answer to an accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// Version of the configuration that the change created.
    pub version: ConfigVersion,
}

/// The result of validating a document (schema `Verdict`).
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ValidationResult {
    /// Whether the document would be accepted.
    pub valid: bool,
    /// All faults of the document.
    pub faults: Vec<Fault>,
}
