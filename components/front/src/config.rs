//! The settings of one instance.

use std::{net::SocketAddr, time::Duration};

use types::{DataCentreId, InstanceId};

use crate::decisions::Decisions;

/// Bounds that operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A revoked key is honoured for no longer than this.
    pub revocation_limit: Duration,
    /// Whether that also binds instances that can't reach the store.
    pub strict_revocation: bool,
    /// A target gets no requests later than this after it became known that it leaves.
    pub drain_limit: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Retries allowed, as a fraction of a service's requests.
    pub retry_ratio: f64,
    /// Retries allowed in addition to that fraction.
    pub retry_slack: f64,
    /// The window in which retries are counted.
    pub retry_window: Duration,
    /// Requests allowed to a cold target, as a multiple of its declared rate.
    pub cold_overage: f64,
    /// Requests a second allowed to a cold target in addition to that.
    pub cold_slack: f64,
    /// Part of a service's requests allowed to a version before its rollout has succeeded.
    pub exposure_share: f64,
    /// Requests allowed to such a version in addition to that.
    pub exposure_slack: f64,
}

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The instance's id.
    pub instance: InstanceId,
    /// The instance's data centre.
    pub data_centre: DataCentreId,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// The address for metrics and the state dump, if they are served.
    pub admin: Option<SocketAddr>,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// Admin addresses of some instances, through which a new instance can join while the store is
    /// unavailable. Some of them may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// The address of the store.
    pub store: SocketAddr,
    /// The instance's capacity in thousandths of a core: its share of the processors, or less if
    /// its network link is narrow.
    pub capacity: u32,
    /// The memory that the process may use, in bytes.
    pub memory: usize,
    /// The connections that the process may have open.
    pub connections: usize,
    /// The operators' bounds.
    pub bounds: Bounds,
    /// The operators' overrides of decisions.
    pub decisions: Decisions,
}
