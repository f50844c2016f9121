//! Targets as the store lists them.

use std::{net::SocketAddr, time::Duration};

use types::{DataCentreId, ServiceId, ServingState, TargetId, VersionId};

/// Address that a target listens on.
pub type Address = SocketAddr;

/// A target as the store lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Id of the target.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address that the target listens on.
    pub addr: Address,
    /// Data centre that the target runs in.
    pub data_centre: DataCentreId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target is in service or shutting down.
    pub state: ServingState,
    /// Time left of its cold start when the listing was written.
    pub cold_remaining: Duration,
    /// Version of its software; empty if it is not listed.
    pub version: VersionId,
    /// Version of its model weights, if listed. A generation can't go on from the memory of an engine
    /// with other weights.
    pub weights: Option<u64>,
    /// Start of the target's process in Unix milliseconds, if listed. A restart under the same id
    /// has lost all state.
    pub started_at: Option<u64>,
}

impl Target {
    /// Whether this is the listing of an earlier process under the same id.
    #[must_use]
    pub fn is_earlier_incarnation_of(&self, other: &Self) -> bool {
        let starts = self.started_at.zip(other.started_at);
        starts.is_some_and(|(own, other)| own < other)
    }

    /// Whether the target accepts new work according to its listing.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.state == ServingState::Live
    }
}
