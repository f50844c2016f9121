//! Settings of one instance on a platform that lists targets and keeps the configuration.

use std::{net::SocketAddr, time::Duration};

use types::{DataCentreId, InstanceId};

use crate::decisions::Decisions;

/// Bounds that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A key that was taken away is honoured no longer than this.
    pub revocation_limit: Duration,
    /// Whether that binds also instances that can't reach the store.
    pub strict_revocation: bool,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
    /// Second sendings allowed, as a part of a service's requests.
    pub retry_ratio: f64,
    /// Second sendings allowed beside that part.
    pub retry_slack: f64,
    /// Window in which they are counted.
    pub retry_window: Duration,
    /// What a cold target bears, times its declared rate.
    pub cold_overage: f64,
    /// What a cold target bears beside that, in requests a second.
    pub cold_slack: f64,
}

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it takes callers.
    pub ready: SocketAddr,
    /// Where operators read metrics and the state dump, if anywhere.
    pub admin: Option<SocketAddr>,
    /// Where other instances come in.
    pub peers: SocketAddr,
    /// Where some instances may listen for operators and newcomers; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Where the store is.
    pub store: SocketAddr,
    /// Its strength in thousandths of a core: its share of processors, or less where its link is
    /// narrow.
    pub capacity: u32,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Connections that the process may have open.
    pub connections: usize,
    /// The operators' bounds.
    pub bounds: Bounds,
    /// What operators have set of the decisions.
    pub decisions: Decisions,
}
