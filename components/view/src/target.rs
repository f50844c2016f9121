//! One target as it is listed.

use std::{net::SocketAddr, time::Duration};

use types::{DataCentreId, ServiceId, ServingState, TargetId};

/// Where a target listens.
pub type Address = SocketAddr;

/// A target as it is listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its id.
    pub id: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: Address,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it stays or leaves.
    pub state: ServingState,
    /// How much longer it is cold, counted from when this was written.
    pub cold_remaining: Duration,
    /// When this life of it began, in Unix milliseconds, if it told; another life under the same
    /// id has forgotten everything.
    pub started_at: Option<u64>,
}

impl Target {
    /// Whether it takes new work as far as its listing tells.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.state == ServingState::Live
    }
}
