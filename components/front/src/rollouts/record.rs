//! Records of rollouts in the store, which survive if all instances are lost at the same time.

use rollouts::Outcome;
use serde::{Deserialize, Deserializer, Serialize};
use types::{ServiceId, StoreVersion, VersionId};

/// State of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// It is under way.
    Running,
    /// The version has replaced the others.
    Succeeded,
    /// The version gets no further requests.
    RolledBack,
}

impl RolloutState {
    /// How the rollout has ended, if it has.
    #[must_use]
    pub const fn outcome(self) -> Option<Outcome> {
        match self {
            Self::Running => None,
            Self::Succeeded => Some(Outcome::Succeeded),
            Self::RolledBack => Some(Outcome::RolledBack),
        }
    }
}

impl From<Outcome> for RolloutState {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Succeeded => Self::Succeeded,
            Outcome::RolledBack => Self::RolledBack,
        }
    }
}

/// The record of a service's last rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceId,
    /// The version that is rolled out.
    pub to: VersionId,
    /// Revision of the order.
    #[serde(deserialize_with = "read_revision")]
    pub order: StoreVersion,
    /// When the order was given, in Unix milliseconds.
    pub ordered_ms: u64,
    /// Its state. An end is final.
    pub state: RolloutState,
}

impl RolloutRecord {
    /// Whether this record has to take the place of the one that the store has brought back from a copy.
    /// A later order stays, and so does an end: whoever knows the rollout as running may have been told
    /// of the end by nobody.
    #[must_use]
    pub fn supersedes(&self, stored: Option<&Self>) -> bool {
        let Some(stored) = stored else {
            return true;
        };
        let is_ended_there = stored.to == self.to && stored.state.outcome().is_some();
        if stored.order > self.order || (is_ended_there && self.state.outcome().is_none()) {
            return false;
        }
        (stored.order, stored.state, &stored.to) != (self.order, self.state, &self.to)
    }
}

/// Reads a revision; earlier programs wrote its number alone.
fn read_revision<'de, D: Deserializer<'de>>(deserializer: D) -> Result<StoreVersion, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Stored {
        Number(u64),
        Version(StoreVersion),
    }
    Ok(match Stored::deserialize(deserializer)? {
        Stored::Number(number) => StoreVersion::new(0, number),
        Stored::Version(version) => version,
    })
}

/// What the store has of a service's last rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRollout {
    /// The record, if there is one.
    pub record: Option<RolloutRecord>,
    /// Its revision; number 0 if there is none.
    pub revision: StoreVersion,
}
