//! Records of rollouts in the store, which survive if all instances are lost at the same time.

use rollouts::Outcome;
use serde::{Deserialize, Serialize};
use types::{ServiceId, VersionId};

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
    pub order: u64,
    /// When the order was given, in Unix milliseconds.
    pub ordered_ms: u64,
    /// Its state. An end is final.
    pub state: RolloutState,
}

/// A record as it was read, with its revision in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRollout {
    /// The record.
    pub record: RolloutRecord,
    /// Its revision.
    pub revision: u64,
}
