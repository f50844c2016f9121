//! Records of rollouts in the store, which survive if all instances are lost at the same time.

use rollouts::{Order, Outcome};
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

/// What a record says of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Its rollout is under way, ordered at this time in Unix milliseconds.
    Running {
        /// When it was ordered.
        ordered_ms: u64,
    },
    /// Its rollout has ended.
    Ended(Outcome),
    /// The rollout of an earlier order is still under way.
    EarlierRunning,
    /// A later order has taken its place.
    Outdated,
    /// Nothing.
    New,
}

impl RolloutRecord {
    /// What this record says of an order.
    ///
    /// The same content in another era of the store is the same order: after a return from a copy the
    /// operator writes again what the copy lacks, and rows of the copy are read with the new era. In one
    /// era a later row with the same content is another order, unless the rollout is still under way.
    #[must_use]
    pub fn standing(&self, order: &Order) -> Standing {
        let is_other_era = self.order.era != order.revision.era;
        let is_same_version = self.to == order.to;
        match self.state.outcome() {
            None if is_same_version => Standing::Running {
                ordered_ms: self.ordered_ms,
            },
            Some(outcome) if is_same_version && (is_other_era || self.order >= order.revision) => {
                Standing::Ended(outcome)
            }
            _ if self.order > order.revision => Standing::Outdated,
            None => Standing::EarlierRunning,
            Some(_) => Standing::New,
        }
    }

    /// Whether two records are of the same order, by the rule of [`Self::standing`].
    #[must_use]
    pub fn is_of_same_order(&self, other: &Self) -> bool {
        self.is_of_order(&other.to, other.order)
    }

    /// Whether it is the record of the order of a version at a revision, by the same rule.
    #[must_use]
    pub fn is_of_order(&self, to: &VersionId, revision: StoreVersion) -> bool {
        self.to == *to && (self.order.era != revision.era || self.order == revision)
    }

    /// Names the order by the later one of its revisions, if the stored record is of the same order.
    #[must_use]
    pub fn with_later_order(mut self, stored: Option<&Self>) -> Self {
        if let Some(stored) = stored.filter(|stored| self.is_of_same_order(stored)) {
            self.order = self.order.max(stored.order);
        }
        self
    }

    /// Whether this record has to take the place of the one that the store has brought back from a copy.
    /// A later order stays, and so does an end: whoever knows the rollout as running may have been told
    /// of the end by nobody.
    #[must_use]
    pub fn supersedes(&self, stored: Option<&Self>) -> bool {
        let Some(stored) = stored else {
            return true;
        };
        let is_ended_there = stored.to == self.to && stored.state.outcome().is_some();
        if is_ended_there && self.state.outcome().is_none() {
            return false;
        }
        // Of two ends of one order the first that was written stays.
        if is_ended_there && self.is_of_same_order(stored) && self.state != stored.state {
            return false;
        }
        let only_here_ended = self.state.outcome().is_some() && stored.state.outcome().is_none();
        if only_here_ended && self.is_of_same_order(stored) {
            return true;
        }
        if stored.order > self.order {
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
