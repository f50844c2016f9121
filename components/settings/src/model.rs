//! The settings' shape.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use types::{DataCentreId, InstanceId};

/// All settings of one instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Who and where this instance is.
    pub instance: Instance,
    /// Where the platform's services are.
    pub platform: Platform,
    /// How instances talk to each other.
    pub peers: Peers,
    /// The administration API.
    pub admin: Admin,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: Limits,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// Who and where this instance is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Instance {
    /// Its name, unique in the deployment.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect: administration, health, metrics, dump.
    pub admin: SocketAddr,
    /// Where other instances connect.
    pub peer: SocketAddr,
    /// Worker threads; by default one a core, at most 4.
    #[serde(default)]
    pub workers: Option<usize>,
    /// How requests are placed; all but `owner` are baselines to measure against.
    #[serde(default)]
    pub strategy: Strategy,
}

/// How requests are placed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Permits of each target's owner.
    #[default]
    Owner,
    /// Permits of each target's owner, who is told the lengths.
    Oracle,
    /// One target after another, without admission.
    RoundRobin,
    /// The target that reported the least load.
    LeastLoaded,
    /// Each instance alone with a fixed share of each target.
    FixedShare,
}

/// Where the platform's services are, as `http://IP:PORT`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Platform {
    /// The table service.
    pub table: Arc<str>,
    /// The object store.
    pub objects: Arc<str>,
    /// The list of instances and targets.
    pub directory: Arc<str>,
    /// Bearer token for all three.
    #[serde(default)]
    pub token: Option<Arc<str>>,
}

/// How instances talk to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peers {
    /// Shared key that authenticates their messages, at least 16 characters.
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

/// Limits towards callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Limits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Open connections.
    pub connections: usize,
    /// Seconds that a caller may take to send headers, and between two parts of a body.
    pub sender_seconds: u64,
    /// Seconds that a shutdown waits for the balancer to notice.
    pub drain_grace_seconds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            connections: 4096,
            sender_seconds: 10,
            drain_grace_seconds: 5,
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Log {
    /// `error`, `warn`, `info` or `debug`.
    pub level: LogLevel,
    /// Text for people or JSON for machines.
    pub format: LogFormat,
}

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only what needs an operator now.
    Error,
    /// What may need an operator.
    Warn,
    /// What happened.
    #[default]
    Info,
    /// Details for maintainers.
    Debug,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For machines.
    Json,
}
