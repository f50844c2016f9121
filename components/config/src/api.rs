//! Interface of the configuration for the administration API and the node.

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

/// The configuration that an instance uses at present.
pub struct CurrentConfig {
    /// The accepted tree.
    pub snapshot: Snapshot,
    /// The same configuration, indexed for look-ups.
    pub effective: Box<dyn EffectiveConfig>,
}

/// A change of one node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Path of the node.
    pub path: NodePath,
    /// New content of the node; `None` deletes it.
    pub node: Option<Node>,
    /// The configuration version that last wrote the node, as the operator saw it; `None` if the
    /// node must not exist yet. The change is rejected as a conflict if another version has written
    /// the node.
    #[serde(rename = "seen")]
    pub expected_version: Option<ConfigVersion>,
    /// The operator who makes the change.
    #[serde(rename = "who")]
    pub operator: Arc<str>,
}

/// An accepted change, as stored in the history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// The version that the change created.
    pub version: ConfigVersion,
    /// When the change was made, by the clock of the instance that accepted it.
    pub at: SystemTime,
    /// The change.
    pub change: Change,
    /// Unique per attempt. Distinguishes the attempt's own change from another operator's when the
    /// answer to the commit was lost.
    #[serde(default)]
    pub id: Arc<str>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum ChangeError {
    /// The change is not valid.
    #[display("the change is not valid: {} faults", faults.len())]
    Invalid {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// Another operator changed the node after this operator read it.
    #[display("the node was changed by version {now:?} in the meantime")]
    Conflict {
        /// The version that last wrote the node; `None` if it does not exist.
        now: Option<ConfigVersion>,
    },
    /// The table service is unavailable; nothing was changed.
    #[display("the table service can't be reached; nothing was changed")]
    StoreUnavailable,
    /// The answer of the table service was lost and the service has been unavailable since: the
    /// change may have been accepted.
    #[display("the table service's answer was lost; the change may have been accepted")]
    Unknown,
}

/// The configuration of one instance.
#[async_trait]
pub trait Config: Send + Sync {
    /// The configuration in effect; `None` until the first one was loaded.
    fn current(&self) -> Option<Arc<CurrentConfig>>;

    /// The configuration version that last wrote a node; `None` if the node does not exist.
    fn node_version(&self, path: &str) -> Option<ConfigVersion>;

    /// Validates a change without applying it.
    ///
    /// # Errors
    /// All faults that the change would add, and all faults of the changed node.
    fn check(&self, change: &Change) -> Result<(), Vec<Fault>>;

    /// Commits a change and applies it on this instance.
    async fn change(&self, change: Change) -> Result<ConfigVersion, ChangeError>;

    /// Lists the newest accepted changes, newest first, at most `limit`.
    async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>, ChangeError>;

    /// Handles the announcement that a peer has `version`: if it is newer, fetches it from the
    /// peer, or from the table service if the peer doesn't deliver it.
    async fn receive_version(&self, peer: &InstanceId, version: ConfigVersion);

    /// Returns what a peer at `version` is missing: all later changes, or the full snapshot if
    /// those changes are no longer retained.
    fn since(&self, version: ConfigVersion) -> Update;

    /// Takes a data centre out of service for a limited time while the table service is
    /// unavailable, or withdraws such an override. An override is not an accepted change; it is
    /// committed as one once the table service is available again.
    ///
    /// # Errors
    /// Why the override was rejected.
    async fn override_data_centre(
        &self,
        _order: OverrideOrder,
    ) -> Result<OverrideReport, OverrideError> {
        Err(OverrideError::NotReady)
    }

    /// The unexpired overrides known to this instance, including withdrawals.
    fn overrides(&self) -> Vec<Override> {
        Vec::new()
    }

    /// Merges a peer's overrides and returns all that are known to this instance.
    fn exchange_overrides(&self, _theirs: &[Override]) -> Vec<Override> {
        Vec::new()
    }
}

/// An operator's request for an override.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OverrideOrder {
    /// The data centre to which the override applies.
    pub data_centre: DataCentreId,
    /// `true` takes the data centre out of service, `false` withdraws an override.
    pub out: bool,
    /// How long the override lasts, at most `MAX_OVERRIDE_DURATION`.
    #[serde(rename = "within")]
    pub duration: Duration,
    /// The operator who gave the order.
    #[serde(rename = "who")]
    pub operator: Arc<str>,
}

/// An override and which instances it has reached.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OverrideReport {
    /// The override.
    pub order: Override,
    /// Instances that have confirmed the override.
    #[serde(rename = "taken")]
    pub accepted_by: Vec<InstanceId>,
    /// Instances that are reachable but did not answer; gossip sends it to them again.
    #[serde(rename = "missed")]
    pub unanswered_by: Vec<InstanceId>,
}

/// Why an override was rejected.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum OverrideError {
    /// No configuration has been loaded on this instance yet.
    #[display("no configuration is in force here yet")]
    NotReady,
    /// The configuration has no such data centre.
    #[display("the configuration has no such data centre")]
    NoSuchDataCentre,
    /// There are too many overrides, or there is a newer one for this data centre.
    #[display("there is a newer override, or there are too many")]
    Rejected,
}

/// What a peer needs to reach the sender's version.
///
/// Always serialised as JSON text, also inside of binary messages: nodes omit unset values, and the
/// binary encoding has no field names, so a positional decoder would read one value as another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(remote = "Self")]
pub enum Update {
    /// The missing changes, in order of their versions.
    Changes(Vec<HistoryEntry>),
    /// The full snapshot, and the version that last wrote each node.
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

/// Access to the configuration of peers.
#[async_trait]
pub trait PeerConfig: Send + Sync {
    /// Fetches everything newer than `version`; `None` if the peer can't be reached.
    async fn fetch(&self, peer: &InstanceId, version: ConfigVersion) -> Option<Update>;

    /// Peers that are reachable at present.
    fn peers(&self) -> Vec<InstanceId>;

    /// Sends a peer the overrides known here and returns those it knows; `None` if it can't be
    /// reached.
    async fn exchange_overrides(
        &self,
        _peer: &InstanceId,
        _ours: &[Override],
    ) -> Option<Vec<Override>> {
        None
    }
}
