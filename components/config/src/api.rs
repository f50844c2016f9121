//! What the administration API and the daemon ask of the configuration.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de, ser};
pub use tree::Fault;
use tree::{EffectiveConfig, Node, NodePath, Snapshot};
use types::{ConfigVersion, DataCentreId, InstanceId};

use crate::overrides::Override;

/// A configuration in force.
pub struct CurrentConfig {
    /// The nodes as written.
    pub snapshot: Snapshot,
    /// The same, ready for look-ups.
    pub effective: Box<dyn EffectiveConfig>,
}

/// A change of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The node.
    pub path: NodePath,
    /// Its new content; `None` deletes it.
    pub node: Option<Node>,
    /// The configuration version that last wrote the node, as the operator saw it; `None` if the
    /// node must not exist yet.
    #[serde(rename = "seen")]
    pub expected_version: Option<ConfigVersion>,
    /// Who changes it.
    #[serde(rename = "who")]
    pub operator: Arc<str>,
}

/// An accepted change, as history keeps it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The version that the change made.
    pub version: ConfigVersion,
    /// When, by the clock of the instance that took it.
    pub at: SystemTime,
    /// The change.
    pub change: Change,
    /// Unique per attempt: tells one's own change from somebody else's when the answer to the
    /// commit was lost.
    #[serde(default)]
    pub id: Arc<str>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum ChangeError {
    /// It is wrong in itself.
    #[display("the change is not valid: {} faults", faults.len())]
    Invalid {
        /// All that is wrong.
        faults: Vec<Fault>,
    },
    /// Somebody else changed the node since the operator saw it.
    #[display("the node was changed by version {now:?} in the meantime")]
    Conflict {
        /// The version that last wrote the node; `None` if it does not exist.
        now: Option<ConfigVersion>,
    },
    /// The table service is down; nothing was changed.
    #[display("the table service can't be reached; nothing was changed")]
    StoreUnavailable,
    /// The table service's answer was lost and it is down since: the change may be in force.
    #[display("the table service's answer was lost; the change may have been accepted")]
    Unknown,
}

/// The configuration of one instance.
#[async_trait]
pub trait Config: Send + Sync {
    /// What is in force here; `None` before the first was found.
    fn current(&self) -> Option<Arc<CurrentConfig>>;

    /// The version that last wrote a node.
    fn node_version(&self, path: &str) -> Option<ConfigVersion>;

    /// Checks a change without applying it.
    ///
    /// # Errors
    /// All faults.
    fn check(&self, change: &Change) -> Result<(), Vec<Fault>>;

    /// Commits a change and puts it in force here.
    async fn change(&self, change: Change) -> Result<ConfigVersion, ChangeError>;

    /// Lists accepted changes up to a version, newest first.
    async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>, ChangeError>;

    /// A peer has a newer version in force: fetch it from there, or from the table service.
    async fn receive_version(&self, peer: &InstanceId, version: ConfigVersion);

    /// Answers a peer: all changes after `version`, or the whole snapshot if they are no longer
    /// kept.
    fn since(&self, version: ConfigVersion) -> Update;

    /// Keeps a data centre out for a limited time although the table service is down, or
    /// withdraws such an override. It is not accepted; once the table service is back, it is
    /// committed as an ordinary change.
    ///
    /// # Errors
    /// Tells why the order can't be taken.
    async fn override_data_centre(
        &self,
        _order: OverrideOrder,
    ) -> Result<OverrideReport, OverrideError> {
        Err(OverrideError::NotReady)
    }

    /// Overrides that are known here, withdrawn ones too.
    fn overrides(&self) -> Vec<Override> {
        Vec::new()
    }

    /// Takes a peer's overrides and answers with those known here.
    fn exchange_overrides(&self, _theirs: &[Override]) -> Vec<Override> {
        Vec::new()
    }
}

/// An operator's order to override.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OverrideOrder {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// `true` keeps it out, `false` withdraws an override.
    pub out: bool,
    /// How long it is to hold, at most `MAX_OVERRIDE_DURATION`.
    #[serde(rename = "within")]
    pub duration: Duration,
    /// The operator.
    #[serde(rename = "who")]
    pub operator: Arc<str>,
}

/// An override and how far it got.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OverrideReport {
    /// The override.
    pub order: Override,
    /// Instances that have taken it.
    #[serde(rename = "taken")]
    pub accepted_by: Vec<InstanceId>,
    /// Instances that are heard but did not answer; they are told again.
    #[serde(rename = "missed")]
    pub unanswered_by: Vec<InstanceId>,
}

/// Why an override can't be taken.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum OverrideError {
    /// No configuration is in force here yet.
    #[display("no configuration is in force here yet")]
    NotReady,
    /// The configuration has no such data centre.
    #[display("the configuration has no such data centre")]
    NoSuchDataCentre,
    /// There are too many overrides, or a newer one for this data centre.
    #[display("there is a newer override, or there are too many")]
    Rejected,
}

/// What a peer needs to come up to date.
///
/// It travels as JSON text, whatever form the messages around it have: nodes leave out what they
/// do not write, and the messages' form has no field names, so a value would be read as another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(remote = "Self")]
pub enum Update {
    /// The changes, in order.
    Changes(Vec<HistoryEntry>),
    /// All of it, with the version that last wrote each node.
    #[serde(rename = "Whole")]
    Full(Snapshot, BTreeMap<NodePath, ConfigVersion>),
}

impl Serialize for Update {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut text = Vec::new();
        Self::serialize(self, &mut serde_json::Serializer::new(&mut text))
            .map_err(ser::Error::custom)?;
        let text = String::from_utf8(text).map_err(ser::Error::custom)?;
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for Update {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let mut json = serde_json::Deserializer::from_str(&text);
        let update = Self::deserialize(&mut json).map_err(de::Error::custom)?;
        json.end().map_err(de::Error::custom)?;
        Ok(update)
    }
}

/// Asks a peer for its configuration.
#[async_trait]
pub trait PeerConfig: Send + Sync {
    /// Fetches what is newer than `version`; `None` if the peer can't be reached.
    async fn fetch(&self, peer: &InstanceId, version: ConfigVersion) -> Option<Update>;

    /// Peers that are heard at present.
    fn peers(&self) -> Vec<InstanceId>;

    /// Tells a peer of overrides and asks for its own; `None` if it can't be reached.
    async fn exchange_overrides(
        &self,
        _peer: &InstanceId,
        _ours: &[Override],
    ) -> Option<Vec<Override>> {
        None
    }
}
