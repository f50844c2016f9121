//! Orders to roll a version out, and what the coordinator tells the instances.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use types::{ServiceId, StoreVersion, VersionId, bounded};

/// An operator's order to move a service's traffic to targets of another version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The service.
    pub service: ServiceId,
    /// The version that is rolled out.
    pub to: VersionId,
    /// Time from the order until its deadline.
    #[serde(deserialize_with = "bounded")]
    pub duration: Duration,
    /// Revision of the order in the store; a later order has a larger one.
    pub revision: StoreVersion,
}

impl Order {
    /// Whether another order is this one, written again after the store has come back from a copy.
    #[must_use]
    pub fn is_rewritten_as(&self, other: &Self) -> bool {
        other.revision.era > self.revision.era && self.has_content_of(other)
    }

    /// Whether another order is this one: the same row, or the row with the same content in another
    /// era of the store.
    #[must_use]
    pub fn is_same_as(&self, other: &Self) -> bool {
        if self.revision.era == other.revision.era {
            return self.revision == other.revision;
        }
        self.has_content_of(other)
    }

    fn has_content_of(&self, other: &Self) -> bool {
        (&self.service, &self.to, self.duration) == (&other.service, &other.to, other.duration)
    }
}

/// How a rollout has ended.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Outcome {
    /// The version has replaced the others.
    #[display("succeeded")]
    Succeeded,
    /// The version gets no further requests.
    #[display("rolled back")]
    RolledBack,
}

/// Bound on the requests that a version may get before its rollout has succeeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimits {
    /// Part of all requests that reach the service during the rollout.
    pub share: f64,
    /// Requests in addition to that part.
    pub slack: f64,
}

/// What the coordinator tells an instance about a rollout.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum Directive {
    /// The rollout is under way.
    Expose {
        /// Part of the requests to send to the new version, from 0 to 1.
        share: f64,
        /// Requests that the instance may send there in addition to its part of the bound.
        slack: f64,
        /// Time until all requests go to the new version, as far as the bound allows.
        #[serde(deserialize_with = "bounded")]
        turn_in: Duration,
        /// Time until generations are migrated off engines of the other versions.
        #[serde(deserialize_with = "bounded")]
        migrate_in: Duration,
    },
    /// There are no targets of another version, so the bound does not apply.
    Unopposed,
    /// The version gets nothing more; the store does not have the verdict yet.
    Suspended,
    /// The rollout has ended.
    Ended(Outcome),
}
