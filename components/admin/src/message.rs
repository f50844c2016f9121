//! What operators send and get.

use std::{collections::BTreeMap, sync::Arc};

use config::Fault;
use serde::{Deserialize, Serialize};
use tree::{Node, NodePath, Origin};
use types::{ConfigVersion, DataCentreId, InstanceId};

/// Whether the process takes new work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ready {
    /// Whether it does.
    pub ready: bool,
    /// Why not.
    pub reason: Option<Arc<str>>,
}

/// A summary of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// Its name.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Version of the program.
    pub program: Arc<str>,
    /// Whether it takes new work.
    pub ready: bool,
    /// Why not.
    pub reason: Option<Arc<str>>,
    /// Version of the configuration in force; `None` before the first was found.
    pub config_version: Option<ConfigVersion>,
    /// Data centres that are out of service.
    pub out: Vec<DataCentreId>,
    /// Those that are kept out by an order that was not accepted.
    pub overrides: Vec<OverrideView>,
}

/// An order that keeps a data centre out although the table service is down.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OverrideView {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Who gave the order.
    pub who: Arc<str>,
    /// Seconds until it ends by itself.
    pub seconds_left: u64,
}

/// How long a data centre is to be kept out.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideAsk {
    /// Minutes, 60 at most.
    pub minutes: u32,
}

/// How far an order got that was not accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Overridden {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// `true` if it is kept out, `false` if that was withdrawn.
    pub out: bool,
    /// Seconds until the order ends by itself.
    pub seconds_left: u64,
    /// Instances that have taken it.
    pub taken: Vec<InstanceId>,
    /// Instances that are heard but did not answer; they are told again.
    pub missed: Vec<InstanceId>,
}

/// One node as written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Written {
    /// Its path.
    pub path: NodePath,
    /// The version that last wrote it, which is its `ETag` too.
    pub version: Option<ConfigVersion>,
    /// Its content.
    pub node: Node,
}

/// The values in force at a path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InForceValues {
    /// The path. No node need be written there.
    pub path: NodePath,
    /// Version of the configuration in force.
    pub version: ConfigVersion,
    /// Each value, and the node that wrote it; a value that no node wrote is the default.
    pub values: Vec<Origin>,
}

/// A document of many nodes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of the whole tree that it was read at; not looked at when it is written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigVersion>,
    /// The nodes. Nodes of the tree that are not named here stay as they are.
    pub nodes: BTreeMap<NodePath, Node>,
}

/// What became of each node of a document.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DocumentOutcome {
    /// Version in force after the last accepted change.
    pub version: ConfigVersion,
    /// Nodes that were written.
    pub written: Vec<NodePath>,
    /// Nodes that were the same already.
    pub unchanged: Vec<NodePath>,
}

/// The configuration version that a change made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Accepted {
    /// The version.
    pub version: ConfigVersion,
}

/// Whether changes would be accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    /// Whether they would.
    pub valid: bool,
    /// All that is wrong.
    pub faults: Vec<Fault>,
}
