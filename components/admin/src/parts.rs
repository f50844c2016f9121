//! What the administration API needs of the process around it.

use std::sync::Arc;

use config::Config;
use prometheus_client::registry::Registry;
use serde_json::Value;
use types::{DataCentreId, InstanceId};

/// Shows the state of a process.
pub trait Dump: Send + Sync {
    /// The state as JSON: members, shards, permits, queue, claims, configuration version. It
    /// holds no keys, no hashes of keys and no bodies of requests.
    fn dump(&self) -> Value;
}

/// Tells whether a process can take new work.
pub trait Readiness: Send + Sync {
    /// Whether it can.
    ///
    /// # Errors
    /// The reason why it can't, in a short sentence for an operator.
    fn ready(&self) -> Result<(), Arc<str>>;
}

/// The parts that the administration API is made of.
pub struct AdminParts {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// SHA-256 of each operator's bearer key, in hexadecimal.
    pub key_hashes: Vec<Arc<str>>,
    /// The configuration.
    pub config: Arc<dyn Config>,
    /// The state of the process.
    pub dump: Arc<dyn Dump>,
    /// Whether it can take new work.
    pub readiness: Arc<dyn Readiness>,
    /// Its metrics; all are registered before it is served.
    pub registry: Arc<Registry>,
}
