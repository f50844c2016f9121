//! The settings of one instance as types.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use types::{DataCentreId, InstanceId};

/// All settings of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Identity and addresses of this instance.
    pub instance: Instance,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Communication between instances.
    pub peers: Peers,
    /// The administration API.
    pub admin: Admin,
    /// Limits on callers.
    #[serde(default)]
    pub limits: Limits,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Identity and addresses of this instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Instance {
    /// Name of the instance, unique in the deployment.
    pub id: InstanceId,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentreId,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address of the administration API, health, metrics and dump.
    pub admin: SocketAddr,
    /// Address on which other instances connect.
    pub peer: SocketAddr,
    /// Worker threads; by default one for each core, at most 4.
    #[serde(default)]
    pub workers: Option<usize>,
    /// How requests are placed.
    #[serde(default)]
    pub strategy: Strategy,
}

/// How requests are placed. All but [`Strategy::Owner`] are baselines to measure against.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Each target's owner grants permits.
    #[default]
    Owner,
    /// As `Owner`, but owners know the length of each answer in advance.
    Oracle,
    /// One target after another, without admission control.
    RoundRobin,
    /// The target that reported the least load.
    LeastLoaded,
    /// Each instance uses a fixed share of each target's capacity, without coordination.
    FixedShare,
}

/// Addresses of the platform's services, as `http://IP:PORT`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Platform {
    /// The table service.
    pub table: Arc<str>,
    /// The object store.
    pub objects: Arc<str>,
    /// The list of instances and targets.
    pub directory: Arc<str>,
    /// Bearer token for all three services.
    #[serde(default)]
    pub token: Option<Arc<str>>,
}

/// Communication between instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peers {
    /// Shared key that authenticates messages between instances, at least 16 characters.
    pub key: Arc<str>,
    /// Time between heartbeats, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
}

const fn default_heartbeat_ms() -> u64 {
    200
}

impl Peers {
    /// Time between heartbeats.
    #[must_use]
    pub const fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }
}

/// The administration API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Admin {
    /// SHA-256 of each operator's bearer key, in hexadecimal.
    pub key_hashes: Vec<Arc<str>>,
}

/// Limits on callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Seconds that a caller may take to send the headers, and between two parts of a body.
    pub sender_seconds: u64,
    /// Seconds during which a shutdown still accepts requests, so that the load balancer can take
    /// the instance off its list.
    pub drain_grace_seconds: u64,
    /// Seconds from the order to stop until the platform kills the process.
    pub shutdown_seconds: u64,
    /// Memory that the process may use, in megabytes.
    pub memory_megabytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            connections: 4096,
            sender_seconds: 10,
            drain_grace_seconds: 5,
            shutdown_seconds: 30,
            memory_megabytes: 512,
        }
    }
}

/// All that is kept for callers, targets and other instances may take the process's memory divided by this.
const MEMORY_DIVISOR: usize = 5;

impl Limits {
    /// The bytes that all that is kept for callers, targets and other instances may take.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.memory_megabytes * 1_024 * 1_024 / MEMORY_DIVISOR
    }
}

/// Logging.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Log {
    /// Minimum severity of the events that are logged.
    pub level: LogLevel,
    /// Format of log lines.
    pub format: LogFormat,
}

/// Minimum severity of the events that are logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// An operator is needed now.
    Error,
    /// An operator may be needed.
    Warn,
    /// Normal operation.
    #[default]
    Info,
    /// Details for maintainers.
    Debug,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}
